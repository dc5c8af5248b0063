//! Counters and latency histograms for each customer and route, as Prometheus text.

use std::io;
use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// Bucket bounds of the time histograms, in seconds; they include the latency targets.
const TIME_BOUNDS_S: [f64; 12] = [
    0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.6, 0.9, 1.5, 3.0, 6.0, 14.0,
];

/// Metric instruments of an instance.
pub struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    latency: Histogram<f64>,
    longest_pause: Histogram<f64>,
    sends: Counter<u64>,
    wasted_prefill_tokens: Counter<u64>,
    store_calls: Counter<u64>,
    store_answer_time: Histogram<f64>,
    store_answer_bytes: Counter<u64>,
    limited_servers: Gauge<u64>,
    pausing_servers: Gauge<u64>,
    leaving_servers: Gauge<u64>,
    cold_servers: Gauge<u64>,
    permits: Counter<u64>,
    crashed_runs: Counter<u64>,
    quarantined_parts: Gauge<u64>,
    relayed: Counter<u64>,
    retries: Counter<u64>,
    lost_services: Gauge<u64>,
    evacuated_zones: Gauge<u64>,
    known_loads: Gauge<u64>,
    full_waits: Counter<u64>,
    discarded_rates: Counter<u64>,
    held_bytes: Gauge<u64>,
    memory_refusals: Counter<u64>,
}

impl Metrics {
    /// Creates the instruments.
    ///
    /// # Errors
    /// Fails if the exporter cannot be built.
    pub fn open() -> io::Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .map_err(io::Error::other)?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("jacinthlever");
        let latency = meter
            .f64_histogram("jacinthlever_latency_seconds")
            .with_boundaries(TIME_BOUNDS_S.to_vec())
            .build();
        let longest_pause = meter
            .f64_histogram("jacinthlever_longest_pause_seconds")
            .with_boundaries(TIME_BOUNDS_S.to_vec())
            .build();
        let store_answer_time = meter
            .f64_histogram("jacinthlever_store_answer_seconds")
            .with_boundaries(TIME_BOUNDS_S.to_vec())
            .build();
        Ok(Self {
            requests: meter.u64_counter("jacinthlever_requests").build(),
            latency,
            longest_pause,
            sends: meter.u64_counter("jacinthlever_sends").build(),
            wasted_prefill_tokens: meter
                .u64_counter("jacinthlever_wasted_prefill_tokens")
                .build(),
            store_calls: meter.u64_counter("jacinthlever_store_calls").build(),
            store_answer_time,
            store_answer_bytes: meter.u64_counter("jacinthlever_store_answer_bytes").build(),
            pausing_servers: meter.u64_gauge("jacinthlever_pausing_servers").build(),
            leaving_servers: meter.u64_gauge("jacinthlever_leaving_servers").build(),
            cold_servers: meter.u64_gauge("jacinthlever_cold_servers").build(),
            permits: meter.u64_counter("jacinthlever_permits").build(),
            limited_servers: meter.u64_gauge("jacinthlever_limited_servers").build(),
            crashed_runs: meter.u64_counter("jacinthlever_crashed_runs").build(),
            quarantined_parts: meter.u64_gauge("jacinthlever_quarantined_parts").build(),
            relayed: meter.u64_counter("jacinthlever_relayed_requests").build(),
            retries: meter.u64_counter("jacinthlever_retries").build(),
            lost_services: meter.u64_gauge("jacinthlever_lost_services").build(),
            evacuated_zones: meter.u64_gauge("jacinthlever_evacuated_zones").build(),
            known_loads: meter.u64_gauge("jacinthlever_known_loads").build(),
            full_waits: meter.u64_counter("jacinthlever_full_waits").build(),
            discarded_rates: meter.u64_counter("jacinthlever_discarded_rates").build(),
            held_bytes: meter.u64_gauge("jacinthlever_held_bytes").build(),
            memory_refusals: meter.u64_counter("jacinthlever_memory_refusals").build(),
            registry,
            _provider: provider,
        })
    }

    /// Counts the final answer to a caller's request.
    pub fn count_request(&self, customer: &str, route: &str, outcome: &'static str) {
        let labels = [
            KeyValue::new("customer", customer.to_string()),
            KeyValue::new("route", route.to_string()),
            KeyValue::new("outcome", outcome),
        ];
        self.requests.add(1, &labels);
    }

    /// Records the time from arrival to an answer, or to the first event of a stream.
    pub fn record_latency(&self, customer: &str, route: &str, took: Duration) {
        let labels = [
            KeyValue::new("customer", customer.to_string()),
            KeyValue::new("route", route.to_string()),
        ];
        self.latency.record(took.as_secs_f64(), &labels);
    }

    /// Records the longest pause between two events of a stream.
    pub fn record_longest_pause(&self, customer: &str, route: &str, pause: Duration) {
        let labels = [
            KeyValue::new("customer", customer.to_string()),
            KeyValue::new("route", route.to_string()),
        ];
        self.longest_pause.record(pause.as_secs_f64(), &labels);
    }

    /// Counts a failed send to a backend server of a service; `outcome` is the reason.
    pub fn count_failed_send(&self, service: &str, outcome: &'static str) {
        let labels = [
            KeyValue::new("service", service.to_string()),
            KeyValue::new("outcome", outcome),
        ];
        self.sends.add(1, &labels);
    }

    /// Counts prompt tokens that were prefilled and whose KV cache was not used.
    pub fn count_wasted_prefill(&self, tokens: u64) {
        self.wasted_prefill_tokens.add(tokens, &[]);
    }

    /// Counts a call to the store; `duty` names the purpose.
    pub fn count_store_call(&self, duty: &'static str) {
        self.store_calls.add(1, &[KeyValue::new("duty", duty)]);
    }

    /// Records the time until a call to the store ended, and the bytes of the answer's body that
    /// arrived by then; `is_complete` tells whether that was the whole answer.
    pub fn record_store_answer(
        &self,
        duty: &'static str,
        is_complete: bool,
        took: Duration,
        bytes: usize,
    ) {
        let labels = [
            KeyValue::new("duty", duty),
            KeyValue::new("complete", is_complete),
        ];
        self.store_answer_time.record(took.as_secs_f64(), &labels);
        self.store_answer_bytes.add(bytes as u64, &labels);
    }

    /// Counts a request that was running on a backend server of a service when the server crashed, and
    /// whether its answer had begun.
    pub fn count_crashed_run(&self, service: &str, has_begun: bool) {
        let labels = [
            KeyValue::new("service", service.to_string()),
            KeyValue::new("answer_begun", has_begun),
        ];
        self.crashed_runs.add(1, &labels);
    }

    /// Counts a request for a service that is passed on to another instance.
    pub fn count_relayed(&self, service: &str) {
        let labels = [KeyValue::new("service", service.to_string())];
        self.relayed.add(1, &labels);
    }

    /// Counts a retry of a request for a service, and whether the retry budget permitted it.
    pub fn count_retry(&self, service: &str, is_granted: bool) {
        let labels = [
            KeyValue::new("service", service.to_string()),
            KeyValue::new("granted", is_granted),
        ];
        self.retries.add(1, &labels);
    }

    /// Records the number of services of which this instance reaches no server.
    pub fn record_lost_services(&self, count: usize) {
        self.lost_services.record(count as u64, &[]);
    }

    /// Records the number of availability zones whose servers get no requests.
    pub fn record_evacuated_zones(&self, count: usize) {
        self.evacuated_zones.record(count as u64, &[]);
    }

    /// Records the number of backend servers whose load is known, from their answers to this instance or
    /// to others.
    pub fn record_known_loads(&self, count: usize) {
        self.known_loads.record(count as u64, &[]);
    }

    /// Counts a request for a service that waits, since all servers have just refused requests.
    pub fn count_full_wait(&self, service: &str) {
        let labels = [KeyValue::new("service", service.to_string())];
        self.full_waits.add(1, &labels);
    }

    /// Counts a backend server whose slowdown has changed so much that its learned rates are discarded.
    pub fn count_discarded_rates(&self) {
        self.discarded_rates.add(1, &[]);
    }

    /// Records the number of sets of prompt parts that are quarantined.
    pub fn record_quarantined_parts(&self, count: usize) {
        self.quarantined_parts.record(count as u64, &[]);
    }

    /// Records the number of backend servers that name a limit, that want no requests from this
    /// instance for now, and that have said that they leave.
    pub fn record_restricted_servers(&self, limited: usize, pausing: usize, leaving: usize) {
        self.limited_servers.record(limited as u64, &[]);
        self.pausing_servers.record(pausing as u64, &[]);
        self.leaving_servers.record(leaving as u64, &[]);
    }

    /// Records the number of cold backend servers of services that have a limit for them.
    pub fn record_cold_servers(&self, count: usize) {
        self.cold_servers.record(count as u64, &[]);
    }

    /// Counts permits for requests to backend servers that an instance asked for, and whether this
    /// instance has granted them.
    pub fn count_permits(&self, count: u32, is_granted: bool) {
        let labels = [KeyValue::new("granted", is_granted)];
        self.permits.add(count.into(), &labels);
    }

    /// Records the bytes that are held for callers, instances and servers.
    pub fn record_held_bytes(&self, bytes: usize) {
        self.held_bytes.record(bytes as u64, &[]);
    }

    /// Counts bodies and answers that were refused or dropped for lack of memory.
    pub fn count_memory_refusals(&self, count: u64) {
        self.memory_refusals.add(count, &[]);
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn encode(&self) -> Vec<u8> {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::warn!("metrics cannot be encoded completely: {error}");
        }
        text
    }
}
