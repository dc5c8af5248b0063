//! Numbers of logged events; `docs/EVENTS-INSTANCE.md` is their catalogue.

/// A kind of logged event.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[repr(u16)]
pub enum EventCode {
    /// The process has started.
    Started = 1001,
    /// The process stops.
    Stopping = 1002,
    /// The process ends.
    Stopped = 1003,
    /// Settings were read again.
    Reloaded = 1004,
    /// Settings were read again and cannot be used.
    ReloadFailed = 1005,
    /// The store answers again.
    StoreRegained = 1101,
    /// The store does not answer.
    StoreLost = 1102,
    /// A row of the store cannot be decoded.
    RowUnreadable = 1103,
    /// A configuration is in force.
    ConfigApplied = 1201,
    /// A backend server was registered or changed.
    ServerChanged = 1301,
    /// A backend server is gone.
    ServerGone = 1302,
    /// A backend server does not answer.
    ServerSilent = 1303,
    /// An engine was ordered to change its stage.
    StageOrdered = 1304,
    /// A peer is heard.
    PeerRegained = 1401,
    /// A peer is not heard any more.
    PeerLost = 1402,
    /// The registration of an instance that is gone for good was removed.
    InstanceRemoved = 1403,
    /// A request was answered with what a backend server said.
    Answered = 1501,
    /// A request was refused without having run.
    Refused = 1502,
    /// A request failed after it may have run.
    Failed = 1503,
    /// A request is sent to a backend server.
    Sent = 1504,
    /// A send to a backend server failed.
    SendFailed = 1505,
    /// A stream goes on at another backend server.
    Resumed = 1506,
    /// A caller left before its answer.
    CallerLeft = 1507,
    /// A request crashed the backend server that ran it.
    Suspected = 1508,
    /// A generation has its first event.
    FirstEvent = 1509,
    /// A generation waited for engine memory in vain; what engines looked like.
    NoRoom = 1510,
    /// A customer is over its limit; what its bucket looked like.
    OverLimit = 1511,
    /// A stream has ended; how, and how evenly it came.
    StreamEnded = 1512,
    /// Lines were left out to bound the volume.
    LinesDropped = 1601,
}

impl EventCode {
    /// All kinds of events, in the order of their numbers.
    pub const ALL: [Self; 29] = [
        Self::Started,
        Self::Stopping,
        Self::Stopped,
        Self::Reloaded,
        Self::ReloadFailed,
        Self::StoreRegained,
        Self::StoreLost,
        Self::RowUnreadable,
        Self::ConfigApplied,
        Self::ServerChanged,
        Self::ServerGone,
        Self::ServerSilent,
        Self::StageOrdered,
        Self::PeerRegained,
        Self::PeerLost,
        Self::InstanceRemoved,
        Self::Answered,
        Self::Refused,
        Self::Failed,
        Self::Sent,
        Self::SendFailed,
        Self::Resumed,
        Self::CallerLeft,
        Self::Suspected,
        Self::FirstEvent,
        Self::NoRoom,
        Self::OverLimit,
        Self::StreamEnded,
        Self::LinesDropped,
    ];

    /// Returns the number as it stands in the log.
    pub fn number(self) -> String {
        format!("JL{:04}", self as u16)
    }
}
