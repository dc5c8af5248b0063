//! The other end of stage 3: claims made in memory under tickets, recorded in the table later.

use jacinthlever_types::{
    Condition, CustomerId, Fingerprint, IdempotencyRecord, IdempotencyReply, InstanceId, PeerMsg,
    RequestId, Transaction, TransactionReply, Write,
};
use serde::Deserialize;
use smol_str::SmolStr;

use crate::claims::{ClaimWrite, row_key};
use crate::plugins::{claim, limit_holder};
use crate::slots::SlotId;
use crate::ticket::Ticket;
use crate::{Core, PlatformOp, PlatformReply, Plugin};

inventory::submit! {
    Plugin { peer: Some(peer), tick: Some(tick), ..Plugin::named("claim-holder") }
}

/// Writes of claims that are under way at once at most.
const WRITES_AT_ONCE: usize = 16;

/// Tries to record an outcome that came after the claim left memory.
const RECORD_TRIES: u32 = 600;

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
            let claim_key = (customer, key);
            let row = row_key(&claim_key.0, &claim_key.1);
            let attempt = claim::attempt_of(&id);
            let owns = core
                .claims
                .get(&claim_key)
                .is_none_or(|record| record.attempt == attempt);
            if !owns {
                return None;
            }
            let in_memory = match outcome.clone() {
                Some(outcome) => core.claims.outcome(&claim_key, outcome, core.now),
                None => core.claims.withdraw(&claim_key) == Some(0),
            };
            if !in_memory {
                claim::update(core, row, attempt, outcome, RECORD_TRIES);
            }
        }
        other => return Some(other),
    }
    None
}

fn tick(core: &mut Core) {
    for write in core.claims.due_writes(WRITES_AT_ONCE) {
        record(core, write);
    }
    core.claims.trim(core.now);
}

fn answer(
    core: &mut Core,
    from: InstanceId,
    id: RequestId,
    customer: CustomerId,
    name: SmolStr,
    fingerprint: Fingerprint,
) {
    let record = IdempotencyRecord {
        attempt: claim::attempt_of(&id),
        fingerprint,
        outcome: None,
    };
    match decide(core, &customer, &name, &record) {
        Decision::Reply(reply) => core.send(&from, PeerMsg::IdempotencyReply { id, reply }),
        Decision::Insert => claim::insert(
            core,
            &customer,
            &name,
            record,
            Box::new(move |core, reply| {
                let reply = reply.unwrap_or(IdempotencyReply::NotOwner);
                core.send(&from, PeerMsg::IdempotencyReply { id, reply });
            }),
        ),
        Decision::Read => read(core, from, id, row_key(&customer, &name)),
    }
}

enum Decision {
    Reply(IdempotencyReply),
    /// The table decides, as the ticket's epoch ended with all its claims recorded.
    Insert,
    /// Only a record tells, as the ticket's epoch ended with claims lost.
    Read,
}

fn decide(
    core: &mut Core,
    customer: &CustomerId,
    name: &SmolStr,
    record: &IdempotencyRecord,
) -> Decision {
    let slot = SlotId::of(customer);
    let ticket = Ticket::of_key(name).filter(|ticket| ticket.slot == slot);
    let Some(ticket) = ticket.filter(|_| limit_holder::may_decide(core, customer)) else {
        return Decision::Reply(IdempotencyReply::NotOwner);
    };
    let key = (customer.clone(), name.clone());
    if let Some(found) = core.claims.get(&key) {
        let reply = match found.attempt == record.attempt {
            true => IdempotencyReply::Granted,
            false => IdempotencyReply::Exists(found.clone()),
        };
        return Decision::Reply(reply);
    }
    let slot_record = core.slots.record(slot);
    if ticket.epoch > slot_record.epoch || ticket.epoch <= slot_record.unclean_through {
        return Decision::Read;
    }
    if ticket.epoch < slot_record.epoch || !core.claims.is_complete(slot) {
        return Decision::Insert;
    }
    core.claims.insert(key, record.clone(), core.now);
    Decision::Reply(IdempotencyReply::Granted)
}

fn read(core: &mut Core, from: InstanceId, id: RequestId, row: SmolStr) {
    let read = PlatformOp::Rows {
        prefix: row.clone(),
        after: 0,
    };
    core.platform(
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

fn record(core: &mut Core, write: ClaimWrite) {
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
                    // An earlier write of this claim took effect although its reply was lost.
                    let version = conflicts.first().map_or(0, |conflict| conflict.version);
                    core.claims.found(&write.key, version);
                    None
                }
                _ => None,
            };
            core.claims.written(&write.key, version);
        }),
    );
}
