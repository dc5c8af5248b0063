//! One entry instance: it takes requests from callers and forwards them to backend servers.
//!
//! The decisions are in `jacinthlever-routing`; this crate does the I/O around them. Names on the
//! wire come from an [`Adapter`], so nothing here depends on the platform that it runs on. Start
//! at [`Instance::run`]; `docs/design/platform.md` shows the duties and the way of a request.

mod adapter;
mod admission;
mod answer;
mod caller_request;
mod callers;
mod charge;
mod clock;
mod connection;
mod directory;
mod drain;
mod engine_room;
mod event_code;
mod exchange;
mod feeds;
mod freshness;
mod generation;
mod instance;
mod journal;
mod metrics;
mod node;
mod pause;
mod peers;
mod plain;
mod registry;
mod room_queue;
mod settings;
mod stages;
mod state;
mod store;
mod stream;
mod stream_record;
mod suspects;
mod tables;
mod upstreams;

pub use adapter::{
    Adapter, AnswerHead, CallerDialect, CallerHeaders, DecodeError, EngineRequest, Feed,
    GenerationSpec, KvLocation, PrefillResult, Row, RowWrite, Rows, ServerDialect, ServerHeaders,
    ServerLoad, StoreDialect, StoreRequest, Table,
};
pub use clock::Clock;
pub use event_code::EventCode;
pub use instance::Instance;
pub use journal::Journal;
pub use settings::{Bounds, Listen, Planning, Settings, SettingsError, StoreSettings};
