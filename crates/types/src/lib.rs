//! Identifiers, configuration rows, verdicts and messages shared by every jacinthlever program.
//!
//! This crate does no I/O and makes no decisions; `docs/ARCHITECTURE.md` lists which program uses
//! which type.

mod declaration;
mod engine;
mod ids;
mod instance_list;
mod peer;
mod row;
mod table;
mod verdict;

pub use declaration::{CheckError, Declarations};
pub use engine::{
    CancelRequest, DecodeLine, DecodeRequest, EngineLoad, EngineRole, ExportRequest, FinishReason,
    KvSource, PrefillReply, PrefillRequest, ResumeRequest,
};
pub use ids::{CustomerId, EngineId, Fingerprint, InstanceId, KeyHash, ModelId, RouteId, ZoneId};
pub use instance_list::{ListEntry, ListKind, ListState};
pub use peer::{
    Allocation, ChargeDenied, EngineFault, IdempotencyRecord, IdempotencyReply, MemberStatus,
    PROTOCOL_VERSION, PeerEnvelope, PeerMsg, RecordedOutcome, RequestId, ReservationEnd,
    ReservationOutcome, ReservationRequest, ReservationTransfer, ShardId,
};
pub use row::{
    Class, ConfigRow, CustomerRow, KeyRow, ModelRow, RouteKind, RouteRow, RowKey, RowKind,
    VersionedRow,
};
pub use table::{Condition, Conflict, RowsReply, TableRow, Transaction, TransactionReply, Write};
pub use verdict::{Code, Run, Verdict};
