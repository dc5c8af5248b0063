//! Bursty traffic of five customers, with prompts from tens to tens of thousands of tokens.

use std::time::Duration;

use jacinthlever_core::CallerId;
use jacinthlever_fakes::{Deployment, Script, World};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Share of the model traffic that each customer sends, in the deployments' order of customers.
const TRAFFIC_SHARES: [f64; 5] = [0.35, 0.35, 0.1, 0.1, 0.1];

/// Median prompt length, in tokens.
const PROMPT_MEDIAN: f64 = 600.0;

/// Standard deviation of the logarithm of prompt lengths.
const PROMPT_SIGMA: f64 = 1.1;

/// Shortest and longest prompt, in tokens.
const PROMPT_RANGE: (f64, f64) = (20.0, 16_000.0);

/// Median answer length, in tokens.
const ANSWER_MEDIAN: f64 = 130.0;

/// Standard deviation of the logarithm of answer lengths.
const ANSWER_SIGMA: f64 = 0.6;

/// Shortest and longest answer, in tokens.
const ANSWER_RANGE: (f64, f64) = (8.0, 600.0);

/// Length of the shared prefix of a customer's prompts, in blocks of 256 tokens.
const PREFIX_BLOCKS: u64 = 2;

/// Number of different shared prefixes of one customer.
const PREFIXES: u64 = 4;

/// Mean number of plain calls per model request.
const PLAIN_CALLS_PER_REQUEST: f64 = 0.3;

/// Request rates during a burst and between bursts, relative to the mean.
const RELATIVE_RATES: (f64, f64) = (1.6, 0.8);

/// Durations of a burst and of the time between bursts, in seconds.
const BURST_PERIODS_S: (f64, f64) = (1.0, 2.0);

/// Factor on its share of the load that a customer sends when it goes over its rate.
pub const EXCESS: f64 = 5.0;

/// A random stream of requests.
#[derive(Clone, Copy, Debug)]
pub struct Workload {
    /// Load as a fraction of the engines' capacity.
    pub load: f64,
    /// Customer that sends [`EXCESS`] times its share, if any.
    pub greedy: Option<usize>,
    /// Seed of the random stream.
    pub seed: u64,
}

/// Phase of a case in which requests are sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// Warm-up before the fault.
    Warm,
    /// Measurement, with the fault in effect.
    Measured,
}

/// Mean lengths of the random requests, in tokens.
#[derive(Clone, Copy, Debug)]
pub struct Means {
    /// Mean prompt length.
    pub prompt: f64,
    /// Mean answer length.
    pub answer: f64,
}

/// Returns the means of a large sample with a fixed seed.
pub fn means() -> Means {
    let mut rng = ChaCha8Rng::seed_from_u64(0);
    let count = 20_000;
    let (mut prompt, mut answer) = (0.0, 0.0);
    for _ in 0..count {
        prompt += f64::from(draw(&mut rng, PROMPT_MEDIAN, PROMPT_SIGMA, PROMPT_RANGE));
        answer += f64::from(draw(&mut rng, ANSWER_MEDIAN, ANSWER_SIGMA, ANSWER_RANGE));
    }
    Means {
        prompt: prompt / f64::from(count),
        answer: answer / f64::from(count),
    }
}

/// Returns the model requests per second that a number of engines can serve.
pub fn capacity(deployment: &Deployment, prefills: usize, decodes: usize) -> f64 {
    let means = means();
    let fraction = |share: usize, all: usize| share as f64 / all as f64;
    let decode =
        deployment.decode_tokens_per_second() * fraction(decodes, deployment.decode_engines);
    let prefill =
        deployment.prefill_tokens_per_second() * fraction(prefills, deployment.prefill_engines);
    (decode / means.answer).min(prefill / means.prompt)
}

impl Workload {
    /// Sends the requests of a phase to random instances of `instances`; returns the callers of the
    /// model requests.
    pub fn send(
        &self,
        world: &mut World,
        phase: Phase,
        from: Duration,
        to: Duration,
        instances: &[usize],
    ) -> Vec<CallerId> {
        // The load of a phase depends only on the seed, so both routers get the same load.
        let mut rng =
            ChaCha8Rng::seed_from_u64(self.seed * 2 + u64::from(phase == Phase::Measured));
        let deployment = world.deployment().clone();
        let mean = capacity(
            &deployment,
            deployment.prefill_engines,
            deployment.decode_engines,
        ) * self.load;
        let mut callers = Vec::new();
        let mut at = from.as_secs_f64();
        while at < to.as_secs_f64() {
            let rate = mean * self.relative_rate(at - from.as_secs_f64());
            at += -(1.0 - rng.random::<f64>()).ln() / rate;
            let customer = self.customer(&mut rng);
            let name = deployment.customers[customer].name.clone();
            let key = format!("key-of-{name}");
            let when = Duration::from_secs_f64(at);
            let instance = instances[rng.random_range(0..instances.len())];
            let script = model(&mut rng, &key, customer, callers.len());
            callers.push(world.submit_at(when, instance, script));
            if rng.random::<f64>() < PLAIN_CALLS_PER_REQUEST {
                let content = format!("plain-{phase:?}-{}", callers.len());
                let script = plain(&mut rng, &key, &content);
                world.submit_at(when, instance, script.content(&content));
            }
        }
        callers
    }

    /// Returns the request rate at a time since the start of the phase, relative to the mean.
    fn relative_rate(&self, at: f64) -> f64 {
        let (burst, rest) = BURST_PERIODS_S;
        let greedy = self
            .greedy
            .map_or(0.0, |customer| TRAFFIC_SHARES[customer] * (EXCESS - 1.0));
        let relative_rate = if at % (burst + rest) < burst {
            RELATIVE_RATES.0
        } else {
            RELATIVE_RATES.1
        };
        // Dividing by the mean makes bursts and the time between them average to one.
        let mean = (burst * RELATIVE_RATES.0 + rest * RELATIVE_RATES.1) / (burst + rest);
        relative_rate / mean * (1.0 + greedy)
    }

    fn customer(&self, rng: &mut ChaCha8Rng) -> usize {
        let share = |customer: usize| match self.greedy == Some(customer) {
            true => TRAFFIC_SHARES[customer] * EXCESS,
            false => TRAFFIC_SHARES[customer],
        };
        let total: f64 = (0..TRAFFIC_SHARES.len()).map(share).sum();
        let mut left = rng.random::<f64>() * total;
        for customer in 0..TRAFFIC_SHARES.len() {
            left -= share(customer);
            if left < 0.0 {
                return customer;
            }
        }
        TRAFFIC_SHARES.len() - 1
    }
}

fn model(rng: &mut ChaCha8Rng, key: &str, customer: usize, number: usize) -> Script {
    let prompt = draw(rng, PROMPT_MEDIAN, PROMPT_SIGMA, PROMPT_RANGE);
    let answer = draw(rng, ANSWER_MEDIAN, ANSWER_SIGMA, ANSWER_RANGE);
    // Callers set an output limit somewhat above the length of the answer.
    let max = answer + rng.random_range(0..=answer / 2);
    let shared = customer as u64 * PREFIXES + rng.random_range(0..PREFIXES);
    let blocks = u64::from(prompt) / 256;
    let prefix = (0..blocks).map(|block| match block < PREFIX_BLOCKS {
        true => shared * 1_000 + block,
        false => 1_000_000 + number as u64 * 1_000 + block,
    });
    Script::model(key, prompt, answer, max)
        .prefix(prefix.collect())
        .content(number.to_string())
}

fn plain(rng: &mut ChaCha8Rng, key: &str, content: &str) -> Script {
    match rng.random_range(0..3) {
        0 => Script::plain(key, "/bookings/new", false, Some(content)),
        1 => Script::plain(key, "/bookings/list", true, None),
        _ => Script::plain("", "/catalogue/page", true, None),
    }
}

/// Draws from a log-normal distribution within a range.
fn draw(rng: &mut ChaCha8Rng, median: f64, sigma: f64, range: (f64, f64)) -> u32 {
    // The sum of twelve uniform numbers is close to normal and needs no additional library.
    let normal: f64 = (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
    (median * (sigma * normal).exp()).clamp(range.0, range.1) as u32
}
