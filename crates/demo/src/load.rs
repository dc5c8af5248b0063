//! The mixed load: completions, lookups, bookings and catalogue reads.

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use jacinthlever_local_fleet::{Caller, Refusal, StreamEnd};
use jacinthlever_standins::expected_answer;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::Value;

use crate::fleet::{CUSTOMERS, LIMITED_CUSTOMER, WITHDRAWN_CUSTOMER, WITHDRAWN_KEY};
use crate::tally::Tally;

/// Tries of a request that an instance was shutting down for.
const TRIES: usize = 4;

/// Longest pause of a caller that was told when to come back.
const LONGEST_PAUSE: Duration = Duration::from_millis(200);

/// One thread of the load.
pub struct Load<'a> {
    /// Number of the thread.
    pub number: u64,
    /// Seed of the whole load.
    pub seed: u64,
    /// Addresses of all instances, to ask for where to go.
    pub addresses: &'a [String],
    /// When the load began.
    pub start: Instant,
    /// Set when the load ends.
    pub stop: &'a AtomicBool,
    /// What was seen.
    pub tally: &'a Tally,
}

/// A customer's key and the addresses that it should use.
struct Identity {
    customer: &'static str,
    key: String,
    addresses: Vec<String>,
    asked: Instant,
}

impl Load<'_> {
    /// Sends requests until the load ends.
    pub fn run(&self) {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed.wrapping_mul(1_000) + self.number);
        let mut identity = self.identity();
        let mut round = 0;
        while !self.stop.load(Ordering::Relaxed) {
            self.refresh(&mut identity);
            match rng.random_range(0..10) {
                0..=5 => self.completion(&identity, &mut rng, round),
                6..=7 => self.plain(&identity, "GET", &format!("/crews/{round}"), None),
                8 => self.booking(&identity, &mut rng, round),
                _ => self.catalogue(&identity, round),
            }
            round += 1;
            thread::sleep(Duration::from_millis(rng.random_range(5..40)));
        }
    }

    fn identity(&self) -> Identity {
        let customer = &CUSTOMERS[self.number as usize % CUSTOMERS.len()];
        let second = customer.name == WITHDRAWN_CUSTOMER && self.number % 2 == 1;
        let key = if second {
            WITHDRAWN_KEY.into()
        } else {
            customer.key()
        };
        let asked = Instant::now();
        Identity {
            customer: customer.name,
            key,
            addresses: Vec::new(),
            asked,
        }
    }

    /// Asks where to go, as often as the last answer says.
    fn refresh(&self, identity: &mut Identity) {
        let keep = Duration::from_secs(3);
        if !identity.addresses.is_empty() && identity.asked.elapsed() < keep {
            return;
        }
        identity.asked = Instant::now();
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
        // A withdrawn key is told nothing; its callers go on where they were.
        identity.addresses = match found.filter(|found| !found.is_empty()) {
            Some(found) => found,
            None if identity.addresses.is_empty() => self.addresses.to_vec(),
            None => std::mem::take(&mut identity.addresses),
        };
    }

    /// Sends a request, and again elsewhere if an instance says that it is shutting down.
    fn send<T>(
        &self,
        identity: &Identity,
        request: impl Fn(&Caller) -> Result<T, Refusal>,
    ) -> Result<T, Refusal> {
        self.tally.counts().customer(identity.customer).sent += 1;
        let mut last = None;
        for address in identity.addresses.iter().cycle().take(TRIES) {
            match request(&Caller::new(address, &identity.key)) {
                Err(refusal) if is_elsewhere(&refusal) => last = Some(refusal),
                other => return other,
            }
        }
        last.map_or_else(
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
            Err(refusal) => return self.refused(identity, &refusal),
        };
        match stream.finish() {
            Ok(answer) => {
                let at = self.start.elapsed();
                let mut counts = self.tally.counts();
                if answer.text != expected_answer(&prompt, max_tokens) {
                    counts.wrong.push(format!("{prompt:.40}: {}", answer.text));
                }
                let gaps = answer.tokens.saturating_sub(1) as u32;
                let between = (gaps > 0).then(|| answer.streaming_time / gaps);
                counts.times(answer.time_to_first_token, between);
                let customer = counts.customer(identity.customer);
                customer.answered += 1;
                customer.tokens += answer.tokens;
                if identity.key == WITHDRAWN_KEY {
                    counts.withdrawn_answers.push(at);
                }
                if identity.customer == LIMITED_CUSTOMER {
                    let used = (prompt.len() as u64).div_ceil(4) + answer.tokens;
                    counts.limited.push((at, used));
                }
            }
            Err(StreamEnd::Refused(refusal)) => self.refused(identity, &refusal),
            Err(end) => {
                self.tally
                    .counts()
                    .cut
                    .push(format!("{prompt:.40}: {end:?}"));
            }
        }
    }

    fn plain(&self, identity: &Identity, method: &str, path: &str, key: Option<&str>) {
        let sent = self.send(identity, |caller| caller.call(method, path, "", key));
        match sent {
            Ok(answer) if answer.status == 200 => {
                self.tally.counts().customer(identity.customer).answered += 1;
            }
            Ok(answer) => self
                .tally
                .counts()
                .wrong
                .push(format!("{path}: {answer:?}")),
            Err(refusal) => self.refused(identity, &refusal),
        }
    }

    /// Books once, and sends every third booking again through another instance.
    fn booking(&self, identity: &Identity, rng: &mut ChaCha8Rng, round: u64) {
        let body = format!("booking {} {round}", self.number);
        let key = format!("{}-{}-{round}", self.seed, self.number);
        let sends = if rng.random_range(0..3) == 0 { 2 } else { 1 };
        for _ in 0..sends {
            let sent = self.send(identity, |caller| {
                caller.call("POST", "/bookings/new", &body, Some(&key))
            });
            match sent {
                Ok(_) => {
                    let mut counts = self.tally.counts();
                    counts.customer(identity.customer).answered += 1;
                    counts.confirmed.push(body.clone());
                }
                Err(refusal) => self.refused(identity, &refusal),
            }
        }
    }

    fn catalogue(&self, identity: &Identity, round: u64) {
        let open = Identity {
            customer: "",
            key: String::new(),
            addresses: identity.addresses.clone(),
            asked: identity.asked,
        };
        self.plain(&open, "GET", &format!("/catalogue/{round}"), None);
    }

    fn refused(&self, identity: &Identity, refusal: &Refusal) {
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
        thread::sleep(LONGEST_PAUSE);
    }
}

/// Whether the request was certainly not run here and another instance takes it.
fn is_elsewhere(refusal: &Refusal) -> bool {
    !refusal.may_have_run && (refusal.code == "draining" || refusal.status == 0)
}
