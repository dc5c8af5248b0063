//! Stage 2 at the partition owner: token buckets and crash counts of its customers.

use jacinthlever_types::{
    ChargeDenied, Class, CustomerId, Fingerprint, InstanceId, PeerMsg, RequestId, Transaction,
    Write,
};
use serde::Deserialize;
use serde_json::json;
use smol_str::{SmolStr, format_smolstr};

use crate::partitions::PartitionId;
use crate::{Core, PlatformOp, PlatformReply, Plugin, Sample};

inventory::submit! {
    Plugin { peer: Some(peer), tick: Some(tick), ..Plugin::named("limit-holder") }
}

/// Prefix of the rows that preserve crash counts when a partition changes its owner.
const SUSPECT_PREFIX: &str = "suspect/";

fn peer(core: &mut Core, from: &InstanceId, msg: PeerMsg) -> Option<PeerMsg> {
    match msg {
        PeerMsg::Charge {
            id,
            customer,
            tokens,
            fingerprint,
        } => {
            let denied = charge(core, &id, &customer, tokens, fingerprint).err();
            core.send(from, PeerMsg::Charged { id, denied });
        }
        PeerMsg::SettleCharge {
            id,
            customer,
            fingerprint,
            tokens,
            cleared,
        } => {
            core.limiter.settle(&customer, &id, tokens, core.now);
            core.suspect_requests.end_run(&customer, fingerprint, &id);
            if cleared && core.suspect_requests.crashes(&customer, fingerprint) == 0 {
                core.suspect_requests
                    .mark_cleared(&customer, fingerprint, core.now);
            }
        }
        PeerMsg::Cleared {
            customer,
            fingerprint,
            ..
        } => {
            if core.suspect_requests.crashes(&customer, fingerprint) == 0 {
                core.suspect_requests
                    .mark_cleared(&customer, fingerprint, core.now);
            }
        }
        PeerMsg::Crash {
            customer,
            fingerprint,
            ..
        } => {
            core.suspect_requests
                .count_crash(&customer, fingerprint, core.now);
            record_crash(core, &customer, fingerprint);
        }
        other => return Some(other),
    }
    None
}

fn tick(core: &mut Core) {
    // This only frees memory, so about once a second is enough; it runs at the ticks of every second
    // heartbeat interval.
    if core.heartbeat.is_multiple_of(2) {
        let is_lost = core.lost_instance_check();
        core.suspect_requests.expire(&is_lost, core.now);
        core.limiter.forget(&is_lost);
    }
}

/// Whether this instance owns the customer's partition under a valid lease.
pub(crate) fn is_authoritative(core: &Core, customer: &CustomerId) -> bool {
    core.lease.is_valid(core.now) && core.limiter.owns(PartitionId::of(customer))
}

fn charge(
    core: &mut Core,
    id: &RequestId,
    customer: &CustomerId,
    tokens: u64,
    fingerprint: Fingerprint,
) -> Result<(), ChargeDenied> {
    if !is_authoritative(core, customer) {
        return Err(ChargeDenied::NotOwner);
    }
    if customer.is_anonymous() {
        return core
            .suspect_requests
            .admit(customer, fingerprint, id, core.now);
    }
    let limits = core
        .config
        .customer(customer)
        .cloned()
        .ok_or(ChargeDenied::NotOwner)?;
    core.suspect_requests
        .admit(customer, fingerprint, id, core.now)?;
    let charged = core.limiter.charge(customer, &limits, id, tokens, core.now);
    match charged {
        Err(denied) => {
            core.suspect_requests.end_run(customer, fingerprint, id);
            return Err(denied);
        }
        Ok(false) => {}
        Ok(true) => {
            let id = id.clone();
            let sample = Sample::Charged { id, tokens };
            core.measure_for(customer.clone(), Class::default(), sample);
        }
    }
    Ok(())
}

fn record_crash(core: &mut Core, customer: &CustomerId, fingerprint: Fingerprint) {
    let crashes = core.suspect_requests.crashes(customer, fingerprint);
    let key = format_smolstr!("{SUSPECT_PREFIX}{customer}/{:016x}", fingerprint.0);
    let value = json!({"customer": customer, "fingerprint": fingerprint, "crashes": crashes});
    let write = Write {
        key,
        value: Some(value),
    };
    // Not retried, as a lost write costs at most one more crash after a takeover.
    core.transact(
        Transaction {
            conditions: Vec::new(),
            writes: vec![write],
        },
        Box::new(|_, _| {}),
    );
}

/// Restores the crash counts that earlier partition owners wrote to the table.
pub(crate) fn load_crash_counts(core: &mut Core) {
    let read = PlatformOp::Rows {
        prefix: SmolStr::new_static(SUSPECT_PREFIX),
        after: 0,
    };
    core.start_platform_op(
        read,
        Box::new(|core, result| {
            let Ok(PlatformReply::Rows(reply)) = result else {
                return;
            };
            for value in reply.rows.into_iter().filter_map(|row| row.value) {
                if let Ok(row) = SuspectRow::deserialize(value) {
                    let now = core.now;
                    core.suspect_requests.restore_crashes(
                        &row.customer,
                        row.fingerprint,
                        row.crashes,
                        now,
                    );
                }
            }
        }),
    );
}

#[derive(Deserialize)]
struct SuspectRow {
    customer: CustomerId,
    fingerprint: Fingerprint,
    crashes: usize,
}
