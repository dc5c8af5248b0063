//! A fake worker of a plain service.

use std::time::Duration;

use jacinthlever_core::{CallId, CallerId};
use smol_str::SmolStr;

/// A run that is under way.
#[derive(Clone, Debug)]
pub(crate) struct WorkerRun {
    pub node: usize,
    pub incarnation: u64,
    pub call: CallId,
    pub caller: CallerId,
}

/// A fake worker, which counts every run.
#[derive(Clone, Debug)]
pub struct FakeWorker {
    /// Name.
    pub id: SmolStr,
    /// Time that a call takes.
    pub takes: Duration,
    /// Whether it accepts connections.
    pub up: bool,
    /// Whether it acts on calls and then sends nothing.
    pub stalled: bool,
    /// Callers whose calls it has acted on, in order.
    pub runs: Vec<CallerId>,
    pub(crate) running: Vec<WorkerRun>,
}

impl FakeWorker {
    /// Makes a healthy worker.
    pub fn new(id: SmolStr, takes: Duration) -> Self {
        Self {
            id,
            takes,
            up: true,
            stalled: false,
            runs: Vec::new(),
            running: Vec::new(),
        }
    }
}
