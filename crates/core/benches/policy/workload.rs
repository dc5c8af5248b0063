//! Bursty traffic of five customers, with prompts from tens to tens of thousands of tokens.

use std::time::Duration;

use jacinthlever_core::CallerId;
use jacinthlever_fakes::{Deployment, Script, World};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Part of the model traffic that each customer sends; the order is that of the deployments.
const PARTS: [f64; 5] = [0.35, 0.35, 0.1, 0.1, 0.1];

/// Median prompt, in tokens.
const PROMPT_MEDIAN: f64 = 600.0;

/// Spread of the logarithm of prompts.
const PROMPT_SIGMA: f64 = 1.1;

/// Shortest and longest prompt, in tokens.
const PROMPT_RANGE: (f64, f64) = (20.0, 16_000.0);

/// Median answer, in tokens.
const ANSWER_MEDIAN: f64 = 130.0;

/// Spread of the logarithm of answers.
const ANSWER_SIGMA: f64 = 0.6;

/// Shortest and longest answer, in tokens.
const ANSWER_RANGE: (f64, f64) = (8.0, 600.0);

/// Shared prefixes of prompts of one customer, in blocks of 256 tokens.
const PREFIX_BLOCKS: u64 = 2;

/// Different shared prefixes of one customer.
const PREFIXES: u64 = 4;

/// Plain calls for each model request.
const PLAIN_PART: f64 = 0.3;

/// TokenRate of a burst relative to the mean, and of the time between bursts.
const BURST_PACE: (f64, f64) = (1.6, 0.8);

/// Length of a burst and of the time between bursts, in seconds.
const BURST_SECONDS: (f64, f64) = (1.0, 2.0);

/// Times its own part that a customer sends when it goes over its rate.
pub const EXCESS: f64 = 5.0;

/// A stream of requests.
#[derive(Clone, Copy, Debug)]
pub struct Workload {
    /// Load as a part of the engines' capacity.
    pub load: f64,
    /// Customer that sends several times its part.
    pub greedy: Option<usize>,
    /// Seed.
    pub seed: u64,
}

/// Part of a case that requests are sent in.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Span {
    /// Before the fault.
    Warm,
    /// While the figures are taken.
    Measured,
}

/// Means of the drawn requests, in tokens.
#[derive(Clone, Copy, Debug)]
pub struct Means {
    /// Prompt.
    pub prompt: f64,
    /// Answer.
    pub answer: f64,
}

/// Returns the means of a large sample, the same on every run.
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

/// Returns the model requests a second that the engines can serve.
pub fn capacity(deployment: &Deployment, prefills: usize, decodes: usize) -> f64 {
    let means = means();
    let of = |part: usize, all: usize| part as f64 / all as f64;
    let decode = deployment.decode_tokens_per_second() * of(decodes, deployment.decode_engines);
    let prefill = deployment.prefill_tokens_per_second() * of(prefills, deployment.prefill_engines);
    (decode / means.answer).min(prefill / means.prompt)
}

impl Workload {
    /// Sends the requests of a span to the nodes that `nodes` names; returns the model requests.
    pub fn send(
        &self,
        world: &mut World,
        span: Span,
        from: Duration,
        to: Duration,
        instances: &[usize],
    ) -> Vec<CallerId> {
        // The load of a span depends on the seed alone, so both routers meet the same one.
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed * 2 + u64::from(span == Span::Measured));
        let deployment = world.deployment().clone();
        let mean = capacity(
            &deployment,
            deployment.prefill_engines,
            deployment.decode_engines,
        ) * self.load;
        let mut callers = Vec::new();
        let mut at = from.as_secs_f64();
        while at < to.as_secs_f64() {
            let pace = mean * self.pace(at - from.as_secs_f64());
            at += -(1.0 - rng.random::<f64>()).ln() / pace;
            let customer = self.customer(&mut rng);
            let name = deployment.customers[customer].name.clone();
            let key = format!("key-of-{name}");
            let when = Duration::from_secs_f64(at);
            let instance = instances[rng.random_range(0..instances.len())];
            let script = model(&mut rng, &key, customer, callers.len());
            callers.push(world.submit_at(when, instance, script));
            if rng.random::<f64>() < PLAIN_PART {
                let content = format!("plain-{span:?}-{}", callers.len());
                let script = plain(&mut rng, &key, &content);
                world.submit_at(when, instance, script.content(&content));
            }
        }
        callers
    }

    /// Returns the pace at a time, relative to the mean, through bursts.
    fn pace(&self, at: f64) -> f64 {
        let (burst, rest) = BURST_SECONDS;
        let greedy = self
            .greedy
            .map_or(0.0, |customer| PARTS[customer] * (EXCESS - 1.0));
        let wave = if at % (burst + rest) < burst {
            BURST_PACE.0
        } else {
            BURST_PACE.1
        };
        // Bursts and rests average to one.
        let mean = (burst * BURST_PACE.0 + rest * BURST_PACE.1) / (burst + rest);
        wave / mean * (1.0 + greedy)
    }

    fn customer(&self, rng: &mut ChaCha8Rng) -> usize {
        let part = |customer: usize| match self.greedy == Some(customer) {
            true => PARTS[customer] * EXCESS,
            false => PARTS[customer],
        };
        let total: f64 = (0..PARTS.len()).map(part).sum();
        let mut left = rng.random::<f64>() * total;
        for customer in 0..PARTS.len() {
            left -= part(customer);
            if left < 0.0 {
                return customer;
            }
        }
        PARTS.len() - 1
    }
}

fn model(rng: &mut ChaCha8Rng, key: &str, customer: usize, number: usize) -> Script {
    let prompt = draw(rng, PROMPT_MEDIAN, PROMPT_SIGMA, PROMPT_RANGE);
    let answer = draw(rng, ANSWER_MEDIAN, ANSWER_SIGMA, ANSWER_RANGE);
    // Callers name a limit somewhat above what they get.
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
    // The sum of twelve uniform numbers is close to normal, and needs no further library.
    let normal: f64 = (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
    (median * (sigma * normal).exp()).clamp(range.0, range.1) as u32
}
