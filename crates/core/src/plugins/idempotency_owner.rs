//! Stage 3 at the partition owner: keeps idempotency records under tokens in memory first and
//! writes them to the table later.

use jacinthlever_types::{
    Condition, CustomerId, Fingerprint, IdempotencyRecord, IdempotencyReply, InstanceId, PeerMsg,
    RequestId, Transaction, TransactionReply, Write,
};
use serde::Deserialize;
use smol_str::SmolStr;

use crate::idempotency_ledger::{IdempotencyWrite, row_key};
use crate::idempotency_token::IdempotencyToken;
use crate::partitions::PartitionId;
use crate::plugins::{idempotency, limit_owner};
use crate::{Core, PlatformOp, PlatformReply, Plugin};

inventory::submit! {
    Plugin { peer: Some(peer), tick: Some(tick), ..Plugin::named("claim-holder") }
}

/// Maximum number of concurrent writes of idempotency records.
const MAX_CONCURRENT_WRITES: usize = 16;

/// Maximum number of tries to record an outcome that arrives after its record was evicted from
/// memory.
const MAX_RECORD_TRIES: u32 = 600;

fn peer(core: &mut Core, from: &InstanceId, msg: PeerMsg) -> Option<PeerMsg> {
    match msg {
        PeerMsg::IdempotencyRequest {
            id,
            customer,
            key,
            fingerprint,
        } => {
            answer(core, from.clone(), id, customer, key, fingerprint);
        }
        PeerMsg::IdempotencyOutcome {
            id,
            customer,
            key,
            outcome,
        } => {
            let record_key = (customer, key);
            let row = row_key(&record_key.0, &record_key.1);
            let attempt = idempotency::record_attempt_id(&id);
            let is_same_attempt = core
                .idempotency_ledger
                .get(&record_key)
                .is_none_or(|record| record.attempt == attempt);
            if !is_same_attempt {
                return None;
            }
            let in_memory = match outcome.clone() {
                Some(outcome) => {
                    core.idempotency_ledger
                        .set_outcome(&record_key, outcome, core.now)
                }
                None => core.idempotency_ledger.remove(&record_key) == Some(0),
            };
            if !in_memory {
                idempotency::update(core, row, attempt, outcome, MAX_RECORD_TRIES);
            }
        }
        other => return Some(other),
    }
    None
}

fn tick(core: &mut Core) {
    for write in core.idempotency_ledger.due_writes(MAX_CONCURRENT_WRITES) {
        write_record(core, write);
    }
    core.idempotency_ledger.trim(core.now);
}

fn answer(
    core: &mut Core,
    from: InstanceId,
    id: RequestId,
    customer: CustomerId,
    idempotency_key: SmolStr,
    fingerprint: Fingerprint,
) {
    let record = IdempotencyRecord {
        attempt: idempotency::record_attempt_id(&id),
        fingerprint,
        outcome: None,
    };
    match decide(core, &customer, &idempotency_key, &record) {
        Decision::Reply(reply) => core.send(&from, PeerMsg::IdempotencyReply { id, reply }),
        Decision::Insert => idempotency::insert(
            core,
            &customer,
            &idempotency_key,
            record,
            Box::new(move |core, reply| {
                let reply = reply.unwrap_or(IdempotencyReply::NotOwner);
                core.send(&from, PeerMsg::IdempotencyReply { id, reply });
            }),
        ),
        Decision::Read => read_record(core, from, id, row_key(&customer, &idempotency_key)),
    }
}

enum Decision {
    Reply(IdempotencyReply),
    /// Insert into the table, which decides, as all records that are not in memory were written to
    /// it.
    Insert,
    /// Read the table, as records of the token's epoch may be lost; without a record the outcome is
    /// unknown.
    Read,
}

fn decide(
    core: &mut Core,
    customer: &CustomerId,
    idempotency_key: &SmolStr,
    record: &IdempotencyRecord,
) -> Decision {
    let partition = PartitionId::of(customer);
    let token =
        IdempotencyToken::of_key(idempotency_key).filter(|token| token.partition == partition);
    let Some(token) = token.filter(|_| limit_owner::is_authoritative(core, customer)) else {
        return Decision::Reply(IdempotencyReply::NotOwner);
    };
    let key = (customer.clone(), idempotency_key.clone());
    if let Some(found) = core.idempotency_ledger.get(&key) {
        let reply = match found.attempt == record.attempt {
            true => IdempotencyReply::Granted,
            false => IdempotencyReply::Exists(found.clone()),
        };
        return Decision::Reply(reply);
    }
    let partition_record = core.partitions.record(partition);
    if token.epoch > partition_record.epoch || token.epoch <= partition_record.unclean_through {
        return Decision::Read;
    }
    if token.epoch < partition_record.epoch || !core.idempotency_ledger.is_complete(partition) {
        return Decision::Insert;
    }
    core.idempotency_ledger
        .insert(key, record.clone(), core.now);
    Decision::Reply(IdempotencyReply::Granted)
}

fn read_record(core: &mut Core, from: InstanceId, id: RequestId, row: SmolStr) {
    let read = PlatformOp::Rows {
        prefix: row.clone(),
        after: 0,
    };
    core.start_platform_op(
        read,
        Box::new(move |core, result| {
            let reply = match result {
                Ok(PlatformReply::Rows(reply)) => {
                    let found = reply.rows.into_iter().find(|found| found.key == row);
                    let value = found.and_then(|found| found.value);
                    let record = value.and_then(|value| IdempotencyRecord::deserialize(value).ok());
                    record.map_or(IdempotencyReply::Unsettled, IdempotencyReply::Exists)
                }
                _ => IdempotencyReply::NotOwner,
            };
            core.send(&from, PeerMsg::IdempotencyReply { id, reply });
        }),
    );
}

fn write_record(core: &mut Core, write: IdempotencyWrite) {
    let row = row_key(&write.key.0, &write.key.1);
    let transaction = Transaction {
        conditions: vec![Condition {
            key: row.clone(),
            version: write.version,
        }],
        writes: vec![Write {
            key: row,
            value: serde_json::to_value(&write.record).ok(),
        }],
    };
    core.transact(
        transaction,
        Box::new(move |core, result| {
            let version = match result {
                Ok(PlatformReply::Transaction(TransactionReply::Committed(version))) => {
                    Some(version)
                }
                Ok(PlatformReply::Transaction(TransactionReply::Conflicts(conflicts))) => {
                    // An earlier write of this record took effect, but its reply was lost.
                    let version = conflicts.first().map_or(0, |conflict| conflict.version);
                    core.idempotency_ledger.set_version(&write.key, version);
                    None
                }
                _ => None,
            };
            core.idempotency_ledger.write_done(&write.key, version);
        }),
    );
}
