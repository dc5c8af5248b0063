//! The other end of stage 2: buckets and crash counts of the customers held here.

use jacinthlever_types::{
    ChargeDenied, Class, CustomerId, Fingerprint, InstanceId, PeerMsg, RequestId, Transaction,
    Write,
};
use serde::Deserialize;
use serde_json::json;
use smol_str::{SmolStr, format_smolstr};

use crate::slots::SlotId;
use crate::{Core, PlatformOp, PlatformReply, Plugin, Sample};

inventory::submit! {
    Plugin { peer: Some(peer), tick: Some(tick), ..Plugin::named("limit-holder") }
}

/// Prefix of the rows that keep crash counts over a change of holder.
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
            cleared: harmless,
        } => {
            core.limiter.settle(&customer, &id, tokens, core.now);
            core.suspects.ended(&customer, fingerprint, &id);
            if harmless && core.suspects.crashes(&customer, fingerprint) == 0 {
                core.suspects.harmless(&customer, fingerprint, core.now);
            }
        }
        PeerMsg::Cleared {
            customer,
            fingerprint,
            ..
        } => {
            if core.suspects.crashes(&customer, fingerprint) == 0 {
                core.suspects.harmless(&customer, fingerprint, core.now);
            }
        }
        PeerMsg::Crash {
            customer,
            fingerprint,
            ..
        } => {
            core.suspects.crashed(&customer, fingerprint, core.now);
            record_crash(core, &customer, fingerprint);
        }
        other => return Some(other),
    }
    None
}

fn tick(core: &mut Core) {
    // Once a second is enough for what only frees memory.
    if core.beat.is_multiple_of(2) {
        let is_lost = core.lost_check();
        core.suspects.expire(&is_lost, core.now);
        core.limiter.forget(&is_lost);
    }
}

/// Whether this instance may decide for a customer now.
pub(crate) fn may_decide(core: &Core, customer: &CustomerId) -> bool {
    core.lease.is_valid(core.now) && core.limiter.holds(SlotId::of(customer))
}

fn charge(
    core: &mut Core,
    id: &RequestId,
    customer: &CustomerId,
    tokens: u64,
    fingerprint: Fingerprint,
) -> Result<(), ChargeDenied> {
    if !may_decide(core, customer) {
        return Err(ChargeDenied::NotOwner);
    }
    if customer.is_anonymous() {
        return core.suspects.admit(customer, fingerprint, id, core.now);
    }
    let limits = core
        .config
        .customer(customer)
        .cloned()
        .ok_or(ChargeDenied::NotOwner)?;
    core.suspects.admit(customer, fingerprint, id, core.now)?;
    let charged = core.limiter.charge(customer, &limits, id, tokens, core.now);
    match charged {
        Err(denied) => {
            core.suspects.ended(customer, fingerprint, id);
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
    let crashes = core.suspects.crashes(customer, fingerprint);
    let key = format_smolstr!("{SUSPECT_PREFIX}{customer}/{:016x}", fingerprint.0);
    let value = json!({"customer": customer, "fingerprint": fingerprint, "crashes": crashes});
    let write = Write {
        key,
        value: Some(value),
    };
    // A lost write costs at most one more crash after a takeover, so it is not repeated.
    core.transact(
        Transaction {
            conditions: Vec::new(),
            writes: vec![write],
        },
        Box::new(|_, _| {}),
    );
}

/// Reads the crash counts that earlier holders recorded.
pub(crate) fn load_suspects(core: &mut Core) {
    let read = PlatformOp::Rows {
        prefix: SmolStr::new_static(SUSPECT_PREFIX),
        after: 0,
    };
    core.platform(
        read,
        Box::new(|core, result| {
            let Ok(PlatformReply::Rows(reply)) = result else {
                return;
            };
            for value in reply.rows.into_iter().filter_map(|row| row.value) {
                if let Ok(row) = SuspectRow::deserialize(value) {
                    let now = core.now;
                    core.suspects
                        .recorded(&row.customer, row.fingerprint, row.crashes, now);
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
