//! Faults that strike a fleet from outside.

use crate::Harm;

/// A connection that is harmed for a while.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkFault {
    /// Between one instance and the store.
    Store {
        /// The instance.
        instance: usize,
    },
    /// Between all instances and one backend server.
    Server {
        /// The server.
        server: usize,
    },
}

/// How the store fails for a while.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreFault {
    /// It refuses every call.
    Busy,
    /// It answers no call.
    Silent,
    /// It carries writes out and does not answer them.
    LostAnswers,
    /// It carries writes out seconds later, unanswered.
    Late,
}

/// How a backend server fails for a while.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServerFault {
    /// It fails what it runs.
    Failing,
    /// It refuses everything as full.
    Full,
    /// It answers with the identifier of another request.
    Crossed,
    /// It breaks its answers off.
    Broken,
}

/// What strikes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// A process of the system is killed and started again afterwards.
    Kill {
        /// The instance.
        instance: usize,
    },
    /// A process is told to stop, and started again afterwards.
    Stop {
        /// The instance.
        instance: usize,
    },
    /// A process stands still.
    Pause {
        /// The instance.
        instance: usize,
    },
    /// A process is told to read its settings again.
    Reload {
        /// The instance.
        instance: usize,
    },
    /// All processes are killed at once.
    KillAll,
    /// A connection is harmed.
    Link(LinkFault, Harm),
    /// The store fails.
    Store(StoreFault),
    /// A backend server fails.
    Server {
        /// The server.
        server: usize,
        /// How.
        how: ServerFault,
    },
    /// The operator withdraws a key that is in use; it is granted again afterwards.
    Withdraw,
}
