//! An entry instance: accepts requests from callers and forwards them to backend servers.
//!
//! The decisions are made in `jacinthlever-routing`; this crate does the I/O around them. Names on
//! the wire come from an [`Adapter`], so nothing here depends on the platform that it runs on. The
//! entry point is [`Instance::run`]; `docs/design/platform.md` describes the tasks of an instance
//! and the path of a request.

mod adapter;
mod admission;
mod answer;
mod attribution;
mod backoff;
mod caller_request;
mod callers;
mod capacity_queue;
mod charge;
mod clock;
mod cold_servers;
mod connection;
mod connection_pool;
mod context;
mod datagram;
mod departures;
mod directory;
mod drain;
mod evacuations;
mod event_code;
mod event_log;
mod exchange;
mod freshness;
mod generation;
mod held_body;
mod held_events;
mod instance;
mod log_queue;
mod memory_budget;
mod memory_lease;
mod metrics;
mod paced_socket;
mod pauses;
mod peers;
mod permits;
mod plain;
mod prefill;
mod quarantine;
mod reach;
mod read_turns;
mod registry;
mod relay;
mod replacement;
mod reservation;
mod role_coordinator;
mod route_splits;
mod scheduling;
mod sends;
mod server_limits;
mod server_stream;
mod settings;
mod shared_loads;
mod socket_buffers;
mod state;
mod store;
mod store_version;
mod stream;
mod stream_origins;
mod stream_record;
mod stream_records;
mod stream_run;
mod successors;
mod suspects;
mod system_memory;
mod table_sync;
mod table_updates;
mod version_notes;
mod zone_news;

pub use adapter::{
    Adapter, AnswerHead, CallerDialect, CallerHeaders, ConfigRow, DecodeError, EngineRequest,
    GenerationSpec, KvLocation, PrefillResult, Row, RowWrite, Rows, ServerDialect, ServerHeaders,
    ServerLoad, StoreDialect, StoreRequest, Table, WatchResult,
};
pub use clock::Clock;
pub use event_code::EventCode;
pub use event_log::EventLog;
pub use instance::Instance;
pub use log_queue::open as open_log;
pub use settings::{
    Bounds, Listen, Planning, Scheduling, Settings, SettingsError, StoreSettings, TranslateSettings,
};
