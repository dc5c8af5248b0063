//! The load of the demo: a mix of completions, lookups, bookings and catalogue reads.

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use jacinthlever_local_fleet::{Caller, Refusal, StreamEnd};
use jacinthlever_standins::expected_answer;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::Value;

use crate::fleet::{CUSTOMERS, LIMITED_CUSTOMER, REVOKED_KEY, REVOKED_KEY_CUSTOMER};
use crate::tally::Tally;

/// Maximum number of times a request is sent if instances are draining or refuse connections.
const MAX_ATTEMPTS: usize = 4;

/// Pause of a caller after a refusal.
const REFUSAL_PAUSE: Duration = Duration::from_millis(200);

/// One thread of the load, which sends requests for one customer.
pub struct LoadThread<'a> {
    /// Number of the thread, starting at 0.
    pub number: u64,
    /// Random seed, the same for all threads.
    pub seed: u64,
    /// Addresses of all instances, used to look up the addresses for a key.
    pub addresses: &'a [String],
    /// When the load began.
    pub start: Instant,
    /// Set to end the load.
    pub stop: &'a AtomicBool,
    /// Observations of all threads.
    pub tally: &'a Tally,
}

/// A customer's key and the addresses of the instances that it should use.
struct Identity {
    customer: &'static str,
    key: String,
    addresses: Vec<String>,
    looked_up_at: Instant,
}

impl LoadThread<'_> {
    /// Sends requests until `stop` is set.
    pub fn run(&self) {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed.wrapping_mul(1_000) + self.number);
        let mut identity = self.new_identity();
        let mut round = 0;
        while !self.stop.load(Ordering::Relaxed) {
            self.refresh_addresses(&mut identity);
            match rng.random_range(0..10) {
                0..=5 => self.completion(&identity, &mut rng, round),
                6..=7 => self.service_call(&identity, "GET", &format!("/crews/{round}"), None),
                8 => self.booking(&identity, &mut rng, round),
                _ => self.catalogue(&identity, round),
            }
            round += 1;
            thread::sleep(Duration::from_millis(rng.random_range(5..40)));
        }
    }

    fn new_identity(&self) -> Identity {
        let customer = &CUSTOMERS[self.number as usize % CUSTOMERS.len()];
        let uses_revoked_key = customer.name == REVOKED_KEY_CUSTOMER && self.number % 2 == 1;
        let key = if uses_revoked_key {
            REVOKED_KEY.into()
        } else {
            customer.key()
        };
        let looked_up_at = Instant::now();
        Identity {
            customer: customer.name,
            key,
            addresses: Vec::new(),
            looked_up_at,
        }
    }

    /// Looks up the instance addresses again when they are older than 3 s.
    fn refresh_addresses(&self, identity: &mut Identity) {
        let max_age = Duration::from_secs(3);
        if !identity.addresses.is_empty() && identity.looked_up_at.elapsed() < max_age {
            return;
        }
        identity.looked_up_at = Instant::now();
        let found = self.addresses.iter().find_map(|address| {
            let answer = Caller::new(address, &identity.key)
                .lookup_addresses()
                .ok()?;
            let addresses = answer["addresses"].as_array()?.iter();
            Some(
                addresses
                    .filter_map(Value::as_str)
                    .map(str::to_owned)
                    .collect::<Vec<_>>(),
            )
        });
        // A lookup with a revoked key is refused. Its callers continue with their old addresses.
        identity.addresses = match found.filter(|found| !found.is_empty()) {
            Some(found) => found,
            None if identity.addresses.is_empty() => self.addresses.to_vec(),
            None => std::mem::take(&mut identity.addresses),
        };
    }

    /// Sends a request, and retries it on the next address if the instance is draining or cannot be
    /// reached.
    fn send<T>(
        &self,
        identity: &Identity,
        request: impl Fn(&Caller) -> Result<T, Refusal>,
    ) -> Result<T, Refusal> {
        self.tally.counts().customer(identity.customer).sent += 1;
        let mut last_refusal = None;
        for address in identity.addresses.iter().cycle().take(MAX_ATTEMPTS) {
            match request(&Caller::new(address, &identity.key)) {
                Err(refusal) if can_retry_elsewhere(&refusal) => last_refusal = Some(refusal),
                other => return other,
            }
        }
        last_refusal.map_or_else(
            || {
                Err(Refusal {
                    status: 0,
                    code: "unsent".into(),
                    may_have_run: false,
                    body: String::new(),
                })
            },
            Err,
        )
    }

    fn completion(&self, identity: &Identity, rng: &mut ChaCha8Rng, round: u64) {
        let words = rng.random_range(20..600);
        let prompt =
            format!("{} {} {} ", identity.customer, self.number, round) + &"plaster ".repeat(words);
        let max_tokens = rng.random_range(8..40);
        let stream = match self.send(identity, |caller| caller.stream(&prompt, max_tokens)) {
            Ok(stream) => stream,
            Err(refusal) => return self.record_refusal(identity, &refusal),
        };
        match stream.finish() {
            Ok(answer) => {
                let at = self.start.elapsed();
                let mut counts = self.tally.counts();
                if answer.text != expected_answer(&prompt, max_tokens) {
                    counts
                        .wrong_answers
                        .push(format!("{prompt:.40}: {}", answer.text));
                }
                let gaps = answer.tokens.saturating_sub(1) as u32;
                let between = (gaps > 0).then(|| answer.streaming_time / gaps);
                counts.record_times(answer.time_to_first_token, between);
                let customer = counts.customer(identity.customer);
                customer.answered += 1;
                customer.tokens += answer.tokens;
                if identity.key == REVOKED_KEY {
                    counts.revoked_key_answers.push(at);
                }
                if identity.customer == LIMITED_CUSTOMER {
                    // The engines count a token for each 4 bytes of a prompt.
                    let used = (prompt.len() as u64).div_ceil(4) + answer.tokens;
                    counts.limited_answers.push((at, used));
                }
            }
            Err(StreamEnd::Refused(refusal)) => self.record_refusal(identity, &refusal),
            Err(end) => {
                self.tally
                    .counts()
                    .truncated_streams
                    .push(format!("{prompt:.40}: {end:?}"));
            }
        }
    }

    fn service_call(&self, identity: &Identity, method: &str, path: &str, key: Option<&str>) {
        let sent = self.send(identity, |caller| caller.call(method, path, "", key));
        match sent {
            Ok(answer) if answer.status == 200 => {
                self.tally.counts().customer(identity.customer).answered += 1;
            }
            Ok(answer) => self
                .tally
                .counts()
                .wrong_answers
                .push(format!("{path}: {answer:?}")),
            Err(refusal) => self.record_refusal(identity, &refusal),
        }
    }

    /// Sends a booking, and a random third of all bookings twice with the same idempotency key.
    fn booking(&self, identity: &Identity, rng: &mut ChaCha8Rng, round: u64) {
        let body = format!("booking {} {round}", self.number);
        let key = format!("{}-{}-{round}", self.seed, self.number);
        let send_count = if rng.random_range(0..3) == 0 { 2 } else { 1 };
        for _ in 0..send_count {
            let sent = self.send(identity, |caller| {
                caller.call("POST", "/bookings/new", &body, Some(&key))
            });
            match sent {
                Ok(_) => {
                    let mut counts = self.tally.counts();
                    counts.customer(identity.customer).answered += 1;
                    counts.confirmed_bookings.push(body.clone());
                }
                Err(refusal) => self.record_refusal(identity, &refusal),
            }
        }
    }

    fn catalogue(&self, identity: &Identity, round: u64) {
        let open = Identity {
            customer: "",
            key: String::new(),
            addresses: identity.addresses.clone(),
            looked_up_at: identity.looked_up_at,
        };
        self.service_call(&open, "GET", &format!("/catalogue/{round}"), None);
    }

    fn record_refusal(&self, identity: &Identity, refusal: &Refusal) {
        let code = match refusal.code.is_empty() {
            true => format!("no answer ({})", refusal.body),
            false => refusal.code.clone(),
        };
        *self
            .tally
            .counts()
            .customer(identity.customer)
            .refused
            .entry(code)
            .or_default() += 1;
        thread::sleep(REFUSAL_PAUSE);
    }
}

/// Whether the request was certainly not executed and another instance can be tried.
fn can_retry_elsewhere(refusal: &Refusal) -> bool {
    !refusal.may_have_run && (refusal.code == "draining" || refusal.status == 0)
}
