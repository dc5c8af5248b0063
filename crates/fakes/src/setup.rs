//! Deployments of the sizes that the two owners of the project run.

use std::collections::BTreeMap;
use std::time::Duration;

use jacinthlever_types::{CustomerId, CustomerRow, KeyHash, RowKey, RowKind};
use serde_json::{Value, json};
use smol_str::{SmolStr, format_smolstr};

use crate::EngineSpec;

/// One customer and its limits.
#[derive(Clone, Debug)]
pub struct CustomerSetup {
    /// Name of the customer.
    pub name: SmolStr,
    /// Limit in tokens per second.
    pub rate: f64,
    /// Maximum number of tokens at once.
    pub burst: f64,
    /// Weight of the customer's fair share.
    pub weight: f64,
}

impl CustomerSetup {
    /// Returns the customer's key.
    pub fn key(&self) -> SmolStr {
        format_smolstr!("key-of-{}", self.name)
    }

    /// Returns the customer's configuration row.
    pub fn row(&self) -> CustomerRow {
        CustomerRow {
            rate: self.rate,
            burst: self.burst,
            weight: self.weight,
        }
    }
}

/// A deployment of the router with its backend servers and customers.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Name of the deployment.
    pub name: &'static str,
    /// Number of instances.
    pub instances: usize,
    /// Number of availability zones.
    pub zones: usize,
    /// Number of prefill engines.
    pub prefill_engines: usize,
    /// Number of decode engines.
    pub decode_engines: usize,
    /// Capacity and speed of each prefill engine.
    pub prefill: EngineSpec,
    /// Capacity and speed of each decode engine.
    pub decode: EngineSpec,
    /// Number of workers of each plain service.
    pub workers: usize,
    /// Customers of the deployment.
    pub customers: Vec<CustomerSetup>,
    /// Time within which a model request must start, in milliseconds.
    pub start_timeout_ms: u64,
}

impl Deployment {
    /// Returns the Cuenca deployment: 12 engines for drafting, 3 scheduling workers, 5 customers.
    pub fn cuenca() -> Self {
        Self::named("cuenca", 3, 9)
    }

    /// Returns the Tišina deployment: 18 engines for model serving, 3 library workers, 5 customers.
    pub fn tisina() -> Self {
        Self::named("tisina", 5, 13)
    }

    fn named(name: &'static str, prefill_engines: usize, decode_engines: usize) -> Self {
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
            prefill_engines,
            decode_engines,
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
            start_timeout_ms: 1_300,
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
            "patience_ms": self.start_timeout_ms,
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

    /// Returns the customer of each key.
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

    /// Returns the output tokens per second of all decode engines with full slots.
    pub fn decode_tokens_per_second(&self) -> f64 {
        let slots = self.decode.slots as usize;
        let step = self.decode.step_time(slots).as_secs_f64();
        self.decode_engines as f64 * slots as f64 / step
    }

    /// Returns the prompt tokens per second that all prefill engines process.
    pub fn prefill_tokens_per_second(&self) -> f64 {
        self.prefill_engines as f64 * self.prefill.prefill_rate
    }

    /// Returns the time for which the result of a prefill is kept.
    pub fn kv_ttl(&self) -> Duration {
        self.prefill.kv_ttl
    }
}
