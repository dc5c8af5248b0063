//! Answers `GET /v1/where`: which instances a caller should use.

use jacinthlever_types::{CustomerId, InstanceId, KeyHash};
use serde_json::json;

use crate::idempotency_token::IdempotencyToken;
use crate::partitions::PartitionId;
use crate::plugins::{authenticate, finish};
use crate::{Core, Flow, Reply, ReqKey};

/// How long a caller may keep the answer, in milliseconds.
pub(crate) const MAX_AGE_MS: u64 = 3_000;

/// Addresses that an answer names at most.
const ADDRESSES: usize = 4;

/// Answers a caller with addresses and, for a key, a ticket.
pub(crate) fn answer(core: &mut Core, key: ReqKey, key_hash: Option<KeyHash>) -> Flow {
    let customer = match authenticate::customer_of(core, key_hash) {
        Ok(customer) => Some(customer),
        Err(_) if key_hash.is_none() => None,
        Err(verdict) => return Flow::Refuse(verdict),
    };
    let ids = addresses(core, customer.as_ref());
    let addresses: Vec<_> = ids
        .iter()
        .filter_map(|id| {
            core.directory
                .caller_address(id)
                .map(|address| address.to_string())
        })
        .collect();
    let ticket = customer.map(|customer| {
        let slot = PartitionId::of(&customer);
        let nonce = core.random();
        IdempotencyToken {
            partition: slot,
            epoch: core.partitions.record(slot).epoch,
            nonce,
        }
        .to_string()
    });
    let body = json!({"addresses": addresses, "keep_ms": MAX_AGE_MS, "ticket": ticket});
    finish::answer(core, key, Reply::Json(body));
    Flow::Done
}

/// Returns instances for a caller, the best first.
///
/// The holder of the customer's slot goes first, as admission is local there; then the instances
/// of this availability zone, then others. None that drains or is silent is named.
pub(crate) fn addresses(core: &Core, customer: Option<&CustomerId>) -> Vec<InstanceId> {
    let holder = customer.and_then(|customer| core.partitions.owner(PartitionId::of(customer)));
    let salt = customer.map_or("", |customer| customer.as_str());
    let mut ids: Vec<InstanceId> = core.members.active().to_vec();
    ids.retain(|id| !(core.draining && *id == core.settings.instance));
    ids.sort_by_key(|id| {
        let zone = core.directory.get(id.as_str()).map(|entry| &entry.zone);
        let order = crate::rendezvous::score(salt, id.as_str());
        (Some(id) != holder, zone != Some(&core.settings.zone), order)
    });
    ids.truncate(ADDRESSES);
    ids
}
