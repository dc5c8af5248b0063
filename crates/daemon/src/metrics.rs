//! Metrics for each customer and class in the Prometheus text format; see
//! `docs/operators/metrics.md`.

use std::io;
use std::thread;
use std::time::Duration;

use crossbeam::channel::{Receiver, Sender, bounded};
use jacinthlever_core::Sample;
use jacinthlever_types::{Class, CustomerId};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// Capacity of the queue of samples.
const QUEUE_CAPACITY: usize = 16_384;

/// Bucket bounds of histograms of times, which include the latency targets.
const TIME_BOUNDS_S: [f64; 14] = [
    0.005, 0.01, 0.02, 0.04, 0.061, 0.1, 0.2, 0.4, 0.8, 1.3, 2.5, 5.0, 10.0, 30.0,
];

/// Bucket bounds of histograms of token counts.
const TOKEN_BOUNDS: [f64; 8] = [
    16.0, 64.0, 256.0, 1_024.0, 4_096.0, 16_384.0, 65_536.0, 262_144.0,
];

/// A sample with its customer and class.
type LabelledSample = (CustomerId, Class, Sample);

/// The queue of the thread that records samples, and the registry that exports them.
#[derive(Clone)]
pub struct Metrics {
    samples: Sender<LabelledSample>,
    registry: Registry,
}

impl Metrics {
    /// Starts the thread that records samples.
    ///
    /// # Errors
    /// Fails if the exporter or the thread cannot be started.
    pub fn spawn() -> io::Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .map_err(io::Error::other)?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let (tx, rx) = bounded(QUEUE_CAPACITY);
        thread::Builder::new()
            .name("metrics".into())
            .spawn(move || {
                Instruments::new(&provider).record_all(&rx);
            })?;
        Ok(Self {
            samples: tx,
            registry,
        })
    }

    /// Records a sample, or drops it if the queue is full, as metrics must not delay requests.
    pub fn record(&self, customer: CustomerId, class: Class, sample: Sample) {
        if self.samples.try_send((customer, class, sample)).is_err() {
            log::debug!("a metrics sample was dropped because the queue is full");
        }
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::warn!("could not encode the metrics as text, the response is incomplete: {error}");
        }
        String::from_utf8_lossy(&text).into_owned()
    }
}

struct Instruments {
    first_token: Histogram<f64>,
    between_tokens: Histogram<f64>,
    queue_wait: Histogram<f64>,
    tokens: Histogram<u64>,
    ended: Counter<u64>,
    wasted_prefill: Counter<u64>,
    charged: Counter<u64>,
}

impl Instruments {
    fn new(provider: &SdkMeterProvider) -> Self {
        let meter = provider.meter("jacinthlever");
        let seconds = |name, description| {
            let builder = meter
                .f64_histogram(name)
                .with_unit("s")
                .with_description(description);
            builder.with_boundaries(TIME_BOUNDS_S.to_vec()).build()
        };
        let counter = |name, description| {
            meter
                .u64_counter(name)
                .with_description(description)
                .build()
        };
        Self {
            first_token: seconds(
                "jacinthlever_first_token",
                "Time from a request's arrival to its first token",
            ),
            between_tokens: seconds(
                "jacinthlever_between_tokens",
                "Mean time between the tokens of an answer",
            ),
            queue_wait: seconds(
                "jacinthlever_queue_wait",
                "Time that a request waited for engines",
            ),
            tokens: meter
                .u64_histogram("jacinthlever_tokens")
                .with_description("Tokens of prompt and answer that a request used")
                .with_boundaries(TOKEN_BOUNDS.to_vec())
                .build(),
            ended: counter("jacinthlever_requests", "Requests that have ended, by code"),
            charged: counter(
                "jacinthlever_charged_tokens",
                "Tokens charged at admission by the holder of a customer's limit",
            ),
            wasted_prefill: counter(
                "jacinthlever_wasted_prefill_tokens",
                "Prompt tokens that were prefilled and never decoded from",
            ),
        }
    }

    fn record_all(&self, samples: &Receiver<LabelledSample>) {
        while let Ok((customer, class, sample)) = samples.recv() {
            let labels = [
                KeyValue::new("customer", customer.as_str().to_owned()),
                KeyValue::new("class", class.as_str()),
            ];
            self.record(sample, &labels);
        }
    }

    fn record(&self, sample: Sample, labels: &[KeyValue]) {
        let seconds = |time: Duration| time.as_secs_f64();
        match sample {
            Sample::FirstToken(time) => self.first_token.record(seconds(time), labels),
            Sample::QueueWait(time) => self.queue_wait.record(seconds(time), labels),
            Sample::BetweenTokens(time) => self.between_tokens.record(seconds(time), labels),
            Sample::Tokens(tokens) => self.tokens.record(tokens, labels),
            Sample::WastedPrefill(tokens) => self.wasted_prefill.add(tokens, labels),
            Sample::Charged { tokens, .. } => self.charged.add(tokens, labels),
            Sample::Ended(code) => {
                // The code is empty for a complete answer.
                let code = if code.is_empty() { "answered" } else { code };
                let labels = [labels, &[KeyValue::new("code", code)]].concat();
                self.ended.add(1, &labels);
            }
        }
    }
}
