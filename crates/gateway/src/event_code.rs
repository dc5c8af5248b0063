//! Numbers of logged events; `docs/EVENTS.md` is their catalogue.

/// A kind of logged event.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[repr(u16)]
pub enum EventCode {
    /// The process has started.
    Started = 500,
    /// The process stops.
    Stopping = 501,
    /// The process ends.
    Stopped = 502,
    /// Settings were read again.
    Reloaded = 503,
    /// Settings were read again and cannot be used.
    ReloadFailed = 504,
    /// The store answers again.
    StoreRegained = 510,
    /// The store does not answer.
    StoreLost = 511,
    /// A row of the store cannot be decoded.
    RowUnreadable = 512,
    /// A configuration is in force.
    ConfigApplied = 520,
    /// A backend server was registered or changed.
    ServerChanged = 530,
    /// A backend server is gone.
    ServerGone = 531,
    /// A backend server does not answer.
    ServerSilent = 532,
    /// An engine was ordered to change its stage.
    StageOrdered = 533,
    /// A peer is heard.
    PeerRegained = 540,
    /// A peer is not heard any more.
    PeerLost = 541,
    /// A request was answered with what a backend server said.
    Answered = 600,
    /// A request was refused without having run.
    Refused = 601,
    /// A request failed after it may have run.
    Failed = 602,
    /// A request is sent to a backend server.
    Sent = 603,
    /// A generation has its first event.
    FirstEvent = 608,
    /// A send to a backend server failed.
    SendFailed = 604,
    /// A stream goes on at another backend server.
    Resumed = 605,
    /// A caller left before its answer.
    CallerLeft = 606,
    /// A request crashed the backend server that ran it.
    Suspected = 607,
    /// Lines were left out to bound the volume.
    LinesDropped = 690,
}
