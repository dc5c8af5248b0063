//! Numbered log events, as catalogued in `docs/EVENTS.md`.

use std::fmt;

use jacinthlever_types::{EngineFault, EngineId, InstanceId, RequestId, RowKey, ShardId, Verdict};
use smol_str::SmolStr;

/// Severity of a log event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Severity {
    /// Normal operation.
    Info,
    /// A failure that was handled.
    Warn,
    /// A failure that needs an operator.
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
            /// Number and name of every event.
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
    101 Info /// The instance started.
    Started { instance: InstanceId, incarnation: u64 } "instance {instance} started as incarnation {incarnation}";
    102 Info /// The instance drains: it accepts no new requests.
    DrainStarted { instance: InstanceId } "instance {instance} is draining and accepts no new requests";
    103 Info /// The drain ended; the last request has ended and all partitions are released.
    DrainEnded { instance: InstanceId } "instance {instance} is drained";
    201 Info /// A request was refused or failed.
    RequestRefused { id: RequestId, verdict: Verdict } "request {id} refused: {verdict}";
    202 Warn /// A request is retried.
    RequestRetried { id: RequestId, reason: SmolStr } "retrying request {id}, as its backend server failed: {reason}";
    203 Warn /// A request became a suspect, as it ran on a backend server that crashed.
    RequestSuspect { id: RequestId } "request {id} is a suspect: it ran on a backend server that crashed";
    204 Error /// Requests are quarantined, as equal requests crashed two backend servers.
    RequestCondemned { id: RequestId } "requests equal to {id} are quarantined: they crashed two backend servers";
    301 Info /// A configuration revision came into force.
    ConfigApplied { revision: u64 } "configuration revision {revision} is in force";
    302 Error /// A configuration row cannot be parsed and counts as absent.
    ConfigRowInvalid { key: RowKey, problem: SmolStr } "ignoring invalid configuration row {key}: {problem}";
    303 Warn /// The table service does not answer.
    TableUnreachable { seconds: u64 } "table service has not answered for {seconds} s";
    304 Info /// The table service answers again.
    TableReachable { seconds: u64 } "table service answers again after {seconds} s";
    305 Error /// Neither the table nor a majority of peers is reachable; keyed routes are closed.
    CutOff { instance: InstanceId } "instance {instance} reaches neither the table service nor a majority of its peers; keyed routes are closed";
    306 Info /// The table service or a majority of peers is reachable again.
    CutOffEnded { instance: InstanceId } "instance {instance} reaches the table service or a majority of its peers again; keyed routes are open";
    401 Info /// The instance acquired partitions.
    SlotsTaken { count: usize, from: SmolStr } "acquired {count} partitions from {from}";
    402 Info /// The instance released partitions.
    SlotsReleased { count: usize } "released {count} partitions";
    403 Warn /// The lease expired without a renewal or promises of its successors.
    LeaseLapsed { instance: InstanceId } "lease of {instance} expired; its partitions cannot be charged until it is renewed";
    404 Warn /// Another instance took over the lease and partitions of this one.
    LeaseDeposed { instance: InstanceId } "lease of {instance} was taken over; the instance starts a new incarnation";
    501 Warn /// A backend server failed and gets no new requests during a backoff.
    EngineFailed { engine: EngineId, fault: SmolStr } "backend server {engine} failed: {fault}";
    502 Info /// A backend server recovered.
    EngineRecovered { engine: EngineId } "backend server {engine} recovered";
    503 Info /// The instance became the scheduler of an engine shard.
    CellKept { shard: ShardId, engines: usize } "scheduling engine shard {shard} with {engines} engines";
    504 Info /// The instance is no longer the scheduler of an engine shard.
    CellLeft { shard: ShardId } "no longer scheduling engine shard {shard}";
    601 Warn /// A peer became inactive: no heartbeat, link lost, draining or delisted.
    PeerSilent { peer: InstanceId } "peer {peer} is inactive: no heartbeat, link lost, draining or removed from the list";
    602 Info /// A peer became active.
    PeerHeard { peer: InstanceId } "peer {peer} is active";
}

/// Returns the text of a fault for log lines and metrics.
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
