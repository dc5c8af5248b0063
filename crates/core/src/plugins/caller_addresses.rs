//! Answers `GET /v1/where` with the addresses of the instances that a caller should use.

use jacinthlever_types::{CustomerId, InstanceId, KeyHash};
use serde_json::json;

use crate::idempotency_token::IdempotencyToken;
use crate::partitions::PartitionId;
use crate::plugins::{authenticate, finish};
use crate::{Core, Flow, Reply, ReqKey};

/// Time for which a caller may cache the answer, in milliseconds.
pub(crate) const MAX_AGE_MS: u64 = 3_000;

/// Maximum number of addresses in an answer.
const MAX_ADDRESSES: usize = 4;

/// Answers a caller with addresses and, if it presented a key, an idempotency token.
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
    let token = customer.map(|customer| {
        let partition = PartitionId::of(&customer);
        let nonce = core.random();
        IdempotencyToken {
            partition,
            epoch: core.partitions.record(partition).epoch,
            nonce,
        }
        .to_string()
    });
    let body = json!({"addresses": addresses, "keep_ms": MAX_AGE_MS, "ticket": token});
    finish::answer(core, key, Reply::Json(body));
    Flow::Done
}

/// Returns instances for a caller, in order of preference.
///
/// The owner of the customer's partition comes first, as admission is local there; then the
/// instances of this availability zone, then others. Instances that drain or are unresponsive are
/// left out.
pub(crate) fn addresses(core: &Core, customer: Option<&CustomerId>) -> Vec<InstanceId> {
    let owner = customer.and_then(|customer| core.partitions.owner(PartitionId::of(customer)));
    let salt = customer.map_or("", |customer| customer.as_str());
    let mut ids: Vec<InstanceId> = core.members.active().to_vec();
    ids.retain(|id| !(core.draining && *id == core.settings.instance));
    ids.sort_by_key(|id| {
        let zone = core.directory.get(id.as_str()).map(|entry| &entry.zone);
        let order = crate::rendezvous::score(salt, id.as_str());
        (Some(id) != owner, zone != Some(&core.settings.zone), order)
    });
    ids.truncate(MAX_ADDRESSES);
    ids
}
