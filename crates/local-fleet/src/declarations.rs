//! Configuration rows of a local fleet, similar to those of the two organizations that own the
//! router.

use jacinthlever_types::KeyHash;
use serde_json::{Value, json};

/// A customer of a local fleet.
#[derive(Clone, Copy, Debug)]
pub struct CustomerSpec {
    /// Name of the customer, which also determines its key.
    pub name: &'static str,
    /// Rate of its token bucket, in tokens per second.
    pub rate: f64,
    /// Size of its token bucket, in tokens.
    pub burst: f64,
    /// Weight of the customer relative to the others.
    pub weight: f64,
}

impl CustomerSpec {
    /// Returns the customer's key, which is the same in every local fleet.
    pub fn key(&self) -> String {
        format!("key-of-{}-0123456789", self.name)
    }
}

/// Returns the changes that create the customers with their keys, the model `quill` and the routes.
///
/// Every customer may use every route; `/catalogue` needs no key.
pub fn declarations(customers: &[CustomerSpec]) -> Vec<Value> {
    let names: Vec<&str> = customers.iter().map(|customer| customer.name).collect();
    let row = |row: String, value: Value| json!({"row": row, "value": value});
    let plain = |prefix: &str, service: &str, class: &str| {
        json!({
            "kind": {"plain": {"prefix": prefix, "service": service}},
            "customers": names,
            "class": class,
        })
    };
    let mut rows = vec![
        row(
            "model/quill".into(),
            json!({"context": 16_384, "default_max_tokens": 128, "min_bytes_per_token": 4}),
        ),
        row(
            "route/generate".into(),
            json!({"kind": {"model": {"models": ["quill"]}}, "customers": names}),
        ),
        row(
            "route/bookings".into(),
            plain("/bookings", "scheduling", "urgent"),
        ),
        row(
            "route/crews".into(),
            plain("/crews", "scheduling", "urgent"),
        ),
        row(
            "route/donations".into(),
            plain("/donations", "library", "urgent"),
        ),
        row(
            "route/catalogue".into(),
            json!({
                "kind": {"plain": {"prefix": "/catalogue", "service": "library"}},
                "open": true,
                "class": "urgent",
            }),
        ),
    ];
    for customer in customers {
        let limits =
            json!({"rate": customer.rate, "burst": customer.burst, "weight": customer.weight});
        rows.push(row(format!("customer/{}", customer.name), limits));
        let hash = KeyHash::of(&customer.key()).to_hex();
        rows.push(row(
            format!("key/{hash}"),
            json!({"customer": customer.name}),
        ));
    }
    rows
}
