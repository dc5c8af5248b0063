//! Kinds of logged events and their numbers; `docs/EVENTS-INSTANCE.md` is the catalogue.

/// A kind of logged event.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[repr(u16)]
pub enum EventCode {
    /// The process has started.
    Started = 1001,
    /// The process has received SIGTERM and is draining.
    Stopping = 1002,
    /// The process is about to exit.
    Stopped = 1003,
    /// The settings file was read again, and its settings are in force.
    Reloaded = 1004,
    /// The settings file was read again and cannot be used; the previous settings stay in force.
    ReloadFailed = 1005,
    /// Scheduling by load, cost and rate was turned on or off.
    SchedulingChanged = 1006,
    /// The store answers again after it had not.
    StoreRegained = 1101,
    /// A call to the store failed; logged once until the store answers again.
    StoreLost = 1102,
    /// A row of the store cannot be decoded.
    RowUnreadable = 1103,
    /// The store has come back from a copy, and may have lost what was written since.
    StoreRestored = 1104,
    /// A row that this instance writes has another version than its last write gave it; it is read again.
    VersionStale = 1105,
    /// A new configuration has come into force.
    ConfigApplied = 1201,
    /// A restored store has an older configuration than the one in force, which stays in force.
    ConfigOlder = 1202,
    /// The operator has evacuated an availability zone: its servers get no more requests.
    ZoneEvacuated = 1203,
    /// The evacuation of an availability zone has ended.
    ZoneRestored = 1204,
    /// A backend server was registered, or its registration changed.
    ServerChanged = 1301,
    /// A backend server is no longer registered, or its registration cannot be decoded.
    ServerGone = 1302,
    /// A backend server did not answer a call in time, or could not be reached.
    ServerSilent = 1303,
    /// A role change command was sent to an engine.
    StageOrdered = 1304,
    /// A backend server has named a limit of requests per second.
    ServerLimited = 1305,
    /// A backend server no longer names a limit of requests per second.
    ServerUnlimited = 1306,
    /// A backend server named a limit that cannot be decoded.
    LimitUnreadable = 1307,
    /// A backend server has said in an answer that it leaves.
    ServerLeaving = 1308,
    /// A backend server has asked this instance for a pause.
    PauseRequested = 1309,
    /// A backend server has answered after a pause and asks for no further one.
    PauseEnded = 1310,
    /// A backend server asked for a pause that cannot be decoded.
    PauseUnreadable = 1311,
    /// Several servers of a service in succession were missed; others are probed.
    ServiceDoubted = 1312,
    /// No server of a service answers this instance.
    ServiceLost = 1313,
    /// A server of a service that was lost answers again.
    ServiceRegained = 1314,
    /// The software versions of a service's engines were listed in the store.
    VersionsListed = 1315,
    /// A backend server is cold; it gets no more requests than its service tolerates then.
    ServerCold = 1318,
    /// A backend server is no longer cold.
    ServerWarm = 1319,
    /// Reports of a peer instance, or of another zone, arrive for the first time or again.
    PeerRegained = 1401,
    /// Reports of a peer instance, or of another zone, no longer arrive.
    PeerLost = 1402,
    /// The registration of an instance that no longer exists was removed.
    InstanceRemoved = 1403,
    /// A request was answered with a backend server's answer.
    Answered = 1501,
    /// A request was refused; no backend server has run it.
    Refused = 1502,
    /// A request failed after a backend server may have run it.
    Failed = 1503,
    /// A request is being sent to a backend server.
    Sent = 1504,
    /// Sending a request to a backend server failed, or there was no usable answer.
    SendFailed = 1505,
    /// A stream has resumed at another engine, or through another instance, after a failure.
    Resumed = 1506,
    /// A caller disconnected before it got an answer.
    CallerLeft = 1507,
    /// A backend server was unreachable after a request to it failed; the request is now a suspect.
    Suspected = 1508,
    /// The first event of a generation has arrived.
    FirstEvent = 1509,
    /// A generation got no engine memory in time; the fields show the reservations of the engines.
    NoRoom = 1510,
    /// A request exceeded the quota of its customer; the fields show the token bucket.
    OverLimit = 1511,
    /// A stream has ended; the fields show its outcome and its longest pause between events.
    StreamEnded = 1512,
    /// Requests whose prompts have certain parts are refused: servers crashed under these parts.
    PartsQuarantined = 1513,
    /// Parts of prompts are no longer quarantined.
    PartsReleased = 1514,
    /// A caller takes up a stream that is not known here; other instances were asked for its version.
    OriginAsked = 1515,
    /// An engine has sent no answer or no event of a request for too long.
    EngineSilent = 1516,
    /// No other engine takes over a request whose engine failed or is silent.
    NoReplacement = 1517,
    /// A caller's connection was closed since a header section was not complete in time.
    ConnectionTimedOut = 1518,
    /// A request is being passed on to another instance, since no server of its service is reached.
    Relayed = 1519,
    /// Passing a request on to another instance failed.
    RelayFailed = 1520,
    /// A retry is held in the budget; the fields show the budget with it.
    RetryTaken = 1521,
    /// A request was not sent again, since the retry budget is used up; the fields show the budget.
    RetryDenied = 1522,
    /// Records of streams were read from the store, for a stream that no instance knows.
    StreamsLoaded = 1523,
    /// A backend server sent the answer of another request where this one's was expected.
    ForeignAnswer = 1524,
    /// Bodies or answers were refused or dropped, since the memory for them is used up.
    MemoryShort = 1525,
    /// Records of streams were dropped, since too many waited for the store.
    StreamRecordsDropped = 1526,
    /// The store has not recorded in time where a stream begins, so its caller received nothing of it.
    StreamNotRecorded = 1527,
    /// All servers of a service have just refused requests, and a request waits for the first of them.
    ServersFull = 1540,
    /// A backend server refused a request or a control call; the fields show the connection.
    ServerRefused = 1541,
    /// Log lines were dropped because the rate limit or the queue of the log was exceeded.
    LinesDropped = 1601,
}

impl EventCode {
    /// All kinds of events, in the order of their numbers.
    pub const ALL: [Self; 65] = [
        Self::Started,
        Self::Stopping,
        Self::Stopped,
        Self::Reloaded,
        Self::ReloadFailed,
        Self::SchedulingChanged,
        Self::StoreRegained,
        Self::StoreLost,
        Self::RowUnreadable,
        Self::StoreRestored,
        Self::VersionStale,
        Self::ConfigApplied,
        Self::ConfigOlder,
        Self::ZoneEvacuated,
        Self::ZoneRestored,
        Self::ServerChanged,
        Self::ServerGone,
        Self::ServerSilent,
        Self::StageOrdered,
        Self::ServerLimited,
        Self::ServerUnlimited,
        Self::LimitUnreadable,
        Self::ServerLeaving,
        Self::PauseRequested,
        Self::PauseEnded,
        Self::PauseUnreadable,
        Self::ServiceDoubted,
        Self::ServiceLost,
        Self::ServiceRegained,
        Self::VersionsListed,
        Self::ServerCold,
        Self::ServerWarm,
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
        Self::PartsQuarantined,
        Self::PartsReleased,
        Self::OriginAsked,
        Self::EngineSilent,
        Self::NoReplacement,
        Self::ConnectionTimedOut,
        Self::Relayed,
        Self::RelayFailed,
        Self::RetryTaken,
        Self::RetryDenied,
        Self::StreamsLoaded,
        Self::ForeignAnswer,
        Self::MemoryShort,
        Self::StreamRecordsDropped,
        Self::StreamNotRecorded,
        Self::ServersFull,
        Self::ServerRefused,
        Self::LinesDropped,
    ];

    /// Returns the number in the form used in the log, such as `JL1001`.
    pub fn number(self) -> String {
        format!("JL{:04}", self as u16)
    }
}
