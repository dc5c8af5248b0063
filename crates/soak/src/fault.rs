//! Faults that are injected into a fleet from outside.

use std::time::Duration;

use crate::{Impairment, Restraint};

/// The connections that are impaired for a time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkFault {
    /// Connections between one instance and the store.
    Store {
        /// Index of the instance.
        instance: usize,
    },
    /// Connections between all instances and one backend server.
    Server {
        /// Index of the server.
        server: usize,
    },
    /// Connections between one instance and all backend servers.
    Servers {
        /// Index of the instance.
        instance: usize,
    },
}

/// The way in which the store fails for a time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreFault {
    /// The store refuses every call.
    RefuseCalls,
    /// The store does not respond to any call.
    Unresponsive,
    /// The store performs writes and does not respond to them.
    LoseResponses,
    /// The store performs writes seconds later and does not respond to them.
    DelayWrites,
    /// The store comes back from a copy that is some seconds old; what it lost is written again at the
    /// end of the fault.
    Restore,
}

/// The way in which a backend server fails for a time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServerFault {
    /// The server responds to the requests that it runs with a failure.
    FailRequests,
    /// The server refuses all requests because it has no capacity.
    NoCapacity,
    /// The server responds with the identifier of another request.
    MismatchResponses,
    /// The server closes the connection before its responses are complete.
    TruncateResponses,
    /// The server names a limit of this many requests per second.
    NameLimit(f64),
    /// The server asks the instances to hold back: it refuses all requests with a pause, or says in all
    /// answers that it leaves, and starts again at the end of the fault.
    Restrain(Restraint),
    /// The server refuses some requests at first, and sends copies of earlier answers before some answers.
    RepeatAnswers,
    /// The server is silent for this time before each answer, and goes on.
    SilentAnswers(Duration),
    /// An engine is silent in each stream for a time, and goes on.
    SilentStreams {
        /// Number of the last event before the silence.
        after: u64,
        /// Time of the silence.
        time: Duration,
    },
}

/// A fault that is injected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// An instance is killed, and is started again at the end of the fault.
    Kill {
        /// Index of the instance.
        instance: usize,
    },
    /// An instance is asked to stop, and is started again at the end of the fault.
    Stop {
        /// Index of the instance.
        instance: usize,
    },
    /// An instance is asked to stop, and has its whole grace period for that.
    PlannedStop {
        /// Index of the instance.
        instance: usize,
    },
    /// An instance is suspended, and is resumed at the end of the fault.
    Pause {
        /// Index of the instance.
        instance: usize,
    },
    /// An instance is asked to reload its settings.
    Reload {
        /// Index of the instance.
        instance: usize,
    },
    /// All instances are killed, and are started again at the end of the fault.
    KillAll,
    /// Connections are impaired.
    Link(LinkFault, Impairment),
    /// The store fails.
    Store(StoreFault),
    /// A backend server fails.
    Server {
        /// Index of the server.
        server: usize,
        /// Way in which the server fails.
        fault: ServerFault,
    },
    /// The registration of a server is removed, although the server goes on serving; it registers again at the end of the
    /// fault. The store may discard the change at once.
    Remove {
        /// Index of the server.
        server: usize,
        /// Whether the store discards its history in the moment of the removal.
        is_discarded: bool,
    },
    /// The operator revokes a key that is in use, and grants it again at the end of the fault.
    RevokeKey,
    /// The operator writes a new version of the configuration that keeps routes, services and keys.
    Reconfigure,
    /// The operator evacuates a zone, and revokes the evacuation at the end of the fault.
    Evacuate,
}
