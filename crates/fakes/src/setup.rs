//! Deployments like those of the two joint owners.

use std::collections::BTreeMap;
use std::time::Duration;

use jacinthlever_types::{CustomerId, CustomerRow, KeyHash, RowKey, RowKind};
use serde_json::{Value, json};
use smol_str::{SmolStr, format_smolstr};

use crate::EngineSpec;

/// One customer with its key.
#[derive(Clone, Debug)]
pub struct CustomerSetup {
    /// Name.
    pub name: SmolStr,
    /// Tokens a second.
    pub rate: f64,
    /// Tokens at once.
    pub burst: f64,
    /// Weight.
    pub weight: f64,
}

impl CustomerSetup {
    /// Returns the customer's key.
    pub fn key(&self) -> SmolStr {
        format_smolstr!("key-of-{}", self.name)
    }

    /// Returns the customer's row.
    pub fn row(&self) -> CustomerRow {
        CustomerRow {
            rate: self.rate,
            burst: self.burst,
            weight: self.weight,
        }
    }
}

/// A deployment of the router with what stands around it.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Name.
    pub name: &'static str,
    /// Instances.
    pub instances: usize,
    /// Availability zones.
    pub zones: usize,
    /// Prefill engines.
    pub prefills: usize,
    /// Decode engines.
    pub decodes: usize,
    /// Prefill engine.
    pub prefill: EngineSpec,
    /// Decode engine.
    pub decode: EngineSpec,
    /// Workers of each plain service.
    pub workers: usize,
    /// Customers.
    pub customers: Vec<CustomerSetup>,
    /// Time in which a model request must start, in milliseconds.
    pub patience_ms: u64,
}

impl Deployment {
    /// Cuenca: 12 drafting workers and 3 scheduling workers, 5 customers.
    pub fn cuenca() -> Self {
        Self::named("cuenca", 3, 9)
    }

    /// Tišina: 18 model-serving workers and 3 library workers, 5 customers.
    pub fn tisina() -> Self {
        Self::named("tisina", 5, 13)
    }

    fn named(name: &'static str, prefills: usize, decodes: usize) -> Self {
        let customer = |name: &str, rate: f64, weight: f64| CustomerSetup {
            name: SmolStr::new(name),
            rate,
            burst: rate * 10.0,
            weight,
        };
        Self {
            name,
            instances: 6,
            zones: 3,
            prefills,
            decodes,
            prefill: EngineSpec::prefill(),
            decode: EngineSpec::decode(),
            workers: 3,
            customers: vec![
                customer("north", 40_000.0, 4.0),
                customer("south", 40_000.0, 4.0),
                customer("old-town", 10_000.0, 1.0),
                customer("river", 10_000.0, 1.0),
                customer("hill", 10_000.0, 1.0),
            ],
            patience_ms: 1_300,
        }
    }

    /// Returns the configuration rows.
    pub fn rows(&self) -> Vec<(RowKey, Value)> {
        let names: Vec<&SmolStr> = self
            .customers
            .iter()
            .map(|customer| &customer.name)
            .collect();
        let row = |kind, name: &str, value| (RowKey::new(kind, name), value);
        let plain = |prefix: &str, service: &str, open: bool| {
            json!({
                "kind": {"plain": {"prefix": prefix, "service": service}},
                "customers": names, "open": open, "class": "urgent",
            })
        };
        let model = json!({
            "kind": {"model": {"models": ["quill"]}},
            "customers": names,
            "patience_ms": self.patience_ms,
        });
        let size = json!({
            "context": 32_768, "default_max_tokens": 256, "min_bytes_per_token": 4,
        });
        let mut rows = vec![
            row(RowKind::Model, "quill", size),
            row(RowKind::Route, "generate", model),
            row(
                RowKind::Route,
                "bookings",
                plain("/bookings", "scheduling", false),
            ),
            row(
                RowKind::Route,
                "donations",
                plain("/donations", "library", false),
            ),
            row(
                RowKind::Route,
                "catalogue",
                plain("/catalogue", "library", true),
            ),
        ];
        for customer in &self.customers {
            let value = serde_json::to_value(customer.row()).unwrap_or_default();
            rows.push(row(RowKind::Customer, &customer.name, value));
            let hash = KeyHash::of(&customer.key()).to_hex();
            rows.push(row(RowKind::Key, &hash, json!({"customer": customer.name})));
        }
        rows
    }

    /// Returns the customers of the keys.
    pub fn keys(&self) -> BTreeMap<KeyHash, CustomerId> {
        let customers = self.customers.iter();
        customers
            .map(|c| (KeyHash::of(&c.key()), CustomerId::new(&c.name)))
            .collect()
    }

    /// Returns the customers' limits and weights.
    pub fn limits(&self) -> BTreeMap<CustomerId, CustomerRow> {
        self.customers
            .iter()
            .map(|c| (CustomerId::new(&c.name), c.row()))
            .collect()
    }

    /// Returns the output tokens a second that all decode engines give with full slots.
    pub fn decode_tokens_per_second(&self) -> f64 {
        let slots = self.decode.slots as usize;
        let step = self.decode.step_time(slots).as_secs_f64();
        self.decodes as f64 * slots as f64 / step
    }

    /// Returns the prompt tokens a second that all prefill engines process.
    pub fn prefill_tokens_per_second(&self) -> f64 {
        self.prefills as f64 * self.prefill.prefill_rate
    }

    /// Returns the time for which a result of a prefill is kept.
    pub fn keep(&self) -> Duration {
        self.prefill.keep
    }
}
