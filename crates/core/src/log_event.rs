//! Numbered log events; `docs/EVENTS.md` is their catalogue.

use std::fmt;

use jacinthlever_types::{EngineFault, EngineId, InstanceId, RequestId, RowKey, ShardId, Verdict};
use smol_str::SmolStr;

/// How much an event asks of an operator.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Severity {
    /// Part of ordinary work.
    Info,
    /// Something failed and was handled.
    Warn,
    /// Something needs an operator.
    Error,
}

macro_rules! log_events {
    ($($number:literal $severity:ident $(#[$doc:meta])* $name:ident { $($field:ident: $type:ty),* } $text:literal;)*) => {
        /// A log event with its fields.
        #[derive(Clone, Debug, PartialEq)]
        pub enum LogEvent {
            $($(#[$doc])* $name { $(#[doc = concat!("Field `", stringify!($field), "` of the event.")] $field: $type),* },)*
        }

        impl LogEvent {
            /// Number and name of every event, as the catalogue lists them.
            pub const CATALOGUE: &'static [(u32, &'static str)] = &[$(($number, stringify!($name)),)*];

            /// Returns the event's number.
            pub fn number(&self) -> u32 {
                match self { $(Self::$name { .. } => $number,)* }
            }

            /// Returns the event's severity.
            pub fn severity(&self) -> Severity {
                match self { $(Self::$name { .. } => Severity::$severity,)* }
            }
        }

        impl fmt::Display for LogEvent {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                match self { $(Self::$name { $($field),* } => write!(f, concat!("JL{:04} ", $text), $number, $($field = $field),*),)* }
            }
        }
    };
}

log_events! {
    101 Info /// The core runs.
    Started { instance: InstanceId, incarnation: u64 } "instance {instance} started as incarnation {incarnation}";
    102 Info /// The instance takes no new work.
    DrainStarted { instance: InstanceId } "instance {instance} drains";
    103 Info /// The last request has ended and all slots are released.
    DrainEnded { instance: InstanceId } "instance {instance} has drained";
    201 Info /// A request ended without a result.
    RequestRefused { id: RequestId, verdict: Verdict } "request {id} refused: {verdict}";
    202 Warn /// A request is tried again.
    RequestRetried { id: RequestId, reason: SmolStr } "request {id} is tried again: {reason}";
    203 Warn /// A request ran on a backend server that crashed.
    RequestSuspect { id: RequestId } "request {id} ran on a backend server that crashed";
    204 Error /// Equal requests have crashed two backend servers and are refused.
    RequestCondemned { id: RequestId } "requests equal to {id} are refused, as they crashed two backend servers";
    301 Info /// Configuration is in force.
    ConfigApplied { revision: u64 } "configuration revision {revision} in force";
    302 Error /// A row of the table cannot be read and counts as absent.
    ConfigRowInvalid { key: RowKey, problem: SmolStr } "row {key} is ignored: {problem}";
    303 Warn /// The table does not answer.
    TableUnreachable { seconds: u64 } "table service has not answered for {seconds} s";
    304 Info /// The table answers again.
    TableReachable { seconds: u64 } "table service answers again after {seconds} s";
    305 Error /// Neither table nor enough peers are reachable; keyed routes are closed.
    CutOff { instance: InstanceId } "instance {instance} is cut off and closes keyed routes";
    306 Info /// Table or peers are reachable again.
    CutOffEnded { instance: InstanceId } "instance {instance} is no longer cut off";
    401 Info /// Slots were taken.
    SlotsTaken { count: usize, from: SmolStr } "took {count} slots from {from}";
    402 Info /// Slots were handed over.
    SlotsReleased { count: usize } "released {count} slots";
    403 Warn /// The lease ended without renewal or promise.
    LeaseLapsed { instance: InstanceId } "lease of {instance} lapsed";
    404 Warn /// Another instance took the slots of this one.
    LeaseDeposed { instance: InstanceId } "lease of {instance} was taken over; it starts a new incarnation";
    501 Warn /// A backend server failed and gets no new work for a while.
    EngineFailed { engine: EngineId, fault: SmolStr } "backend server {engine} failed: {fault}";
    502 Info /// A backend server works again.
    EngineRecovered { engine: EngineId } "backend server {engine} works again";
    503 Info /// The instance schedules a cell.
    CellKept { cell: ShardId, engines: usize } "keeps cell {cell} of {engines} engines";
    504 Info /// Another instance schedules a cell that this one did.
    CellLeft { cell: ShardId } "no longer keeps cell {cell}";
    601 Warn /// A peer is not heard of.
    PeerSilent { peer: InstanceId } "peer {peer} is silent";
    602 Info /// A peer is heard of again.
    PeerHeard { peer: InstanceId } "peer {peer} is heard";
}

/// Returns a fault as log lines and metrics spell it.
pub fn fault_text(fault: EngineFault) -> SmolStr {
    SmolStr::new_static(match fault {
        EngineFault::Down => "refuses connections",
        EngineFault::Crashed => "crashed",
        EngineFault::Stalled => "stalled",
        EngineFault::Full => "full",
        EngineFault::Broken => "broke a stream",
        EngineFault::KvLost => "lost KV cache",
    })
}
