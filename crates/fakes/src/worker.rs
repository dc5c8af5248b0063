//! A fake worker of a plain service.

use std::time::Duration;

use jacinthlever_core::{CallId, CallerId};
use smol_str::SmolStr;

/// A call that a worker is running.
#[derive(Clone, Debug)]
pub(crate) struct WorkerRun {
    pub instance: usize,
    pub incarnation: u64,
    pub call: CallId,
    pub caller: CallerId,
}

/// A fake worker that records every call it runs.
#[derive(Clone, Debug)]
pub struct FakeWorker {
    /// Name of the worker.
    pub id: SmolStr,
    /// Duration of a call.
    pub call_time: Duration,
    /// Whether it accepts connections.
    pub up: bool,
    /// Whether it runs calls but never answers them.
    pub stalled: bool,
    /// Callers whose calls it has run, in order.
    pub runs: Vec<CallerId>,
    pub(crate) running: Vec<WorkerRun>,
}

impl FakeWorker {
    /// Creates a running worker without faults.
    pub fn new(id: SmolStr, call_time: Duration) -> Self {
        Self {
            id,
            call_time,
            up: true,
            stalled: false,
            runs: Vec::new(),
            running: Vec::new(),
        }
    }
}
