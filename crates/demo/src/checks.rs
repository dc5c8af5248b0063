//! Checks the guarantees of the fleet against the observations of callers and stand-ins.

use std::collections::BTreeMap;
use std::time::Duration;

use jacinthlever_local_fleet::Fleet;

use crate::fleet::{CUSTOMERS, LIMITED_CUSTOMER, REVOKED_KEY, REVOKED_KEY_CUSTOMER};
use crate::tally::{Counts, Tally};
use crate::timeline::{EDITED_BURST, EDITED_RATE, Events};

/// Maximum time until an accepted edit is in force on all instances.
const MAX_IN_FORCE_DELAY: Duration = Duration::from_secs(4);

/// Maximum time until all engine memory is released after the load.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(2);

/// Result of checking one guarantee.
pub struct Check {
    /// Description of the guarantee.
    pub guarantee: &'static str,
    /// Whether the fleet kept the guarantee.
    pub passed: bool,
    /// Observations behind the result, for the report.
    pub observed: String,
}

/// Checks all guarantees. Waits for engine memory to be released.
pub fn run(fleet: &Fleet, tally: &Tally, events: &Events) -> Vec<Check> {
    let freed = fleet.wait_until(RELEASE_TIMEOUT, "engine memory to be released", || {
        fleet.used_engine_slots() == 0
    });
    let counts = tally.counts();
    vec![
        check_no_problems(
            "each answer is complete and matches its request",
            &counts.wrong_answers,
        ),
        check_no_problems(
            "no stream was disconnected before its end",
            &counts.truncated_streams,
        ),
        check_bookings(fleet, &counts),
        check_revoked_key(&counts, events),
        check_rate_limit(&counts, events),
        check_refusals(&counts),
        check_drain(events),
        Check {
            guarantee: "ended requests use no engine memory",
            passed: freed.is_ok(),
            observed: format!("{} engine slots in use", fleet.used_engine_slots()),
        },
        check_keys(fleet),
    ]
}

fn check_no_problems(guarantee: &'static str, problems: &[String]) -> Check {
    let observed = match problems.first() {
        None => "no violations".into(),
        Some(first) => format!("{} violations, such as {first}", problems.len()),
    };
    Check {
        guarantee,
        passed: problems.is_empty(),
        observed,
    }
}

fn check_bookings(fleet: &Fleet, counts: &Counts) -> Check {
    let mut runs: BTreeMap<String, u32> = BTreeMap::new();
    for run in fleet.workers.values().flat_map(|worker| worker.runs()) {
        if run.method == "POST" {
            *runs.entry(run.body).or_default() += 1;
        }
    }
    let twice = runs.values().filter(|count| **count > 1).count();
    let lost = counts
        .confirmed_bookings
        .iter()
        .filter(|body| !runs.contains_key(*body))
        .count();
    Check {
        guarantee: "a booking runs at most once, a confirmed booking exactly once",
        passed: twice == 0 && lost == 0,
        observed: format!(
            "{} ran, {twice} more than once, {lost} confirmed but not run",
            runs.len()
        ),
    }
}

fn check_revoked_key(counts: &Counts, events: &Events) -> Check {
    let deadline = events.key_revoked + MAX_IN_FORCE_DELAY;
    let late = counts
        .revoked_key_answers
        .iter()
        .filter(|at| **at > deadline)
        .count();
    let last = counts
        .revoked_key_answers
        .iter()
        .max()
        .copied()
        .unwrap_or_default();
    let after = last.saturating_sub(events.key_revoked);
    let refused = refusal_count(
        counts,
        REVOKED_KEY_CUSTOMER,
        &["key_unknown", "key_withdrawn"],
    );
    Check {
        guarantee: "a revoked key stops working within 4 s",
        passed: late == 0 && refused > 0,
        observed: format!("last answer {after:.1?} after the edit, {refused} requests refused"),
    }
}

fn check_rate_limit(counts: &Counts, events: &Events) -> Check {
    let since = events.limit_edited + MAX_IN_FORCE_DELAY;
    let after: Vec<&(Duration, u64)> = counts
        .limited_answers
        .iter()
        .filter(|(at, _)| *at > since)
        .collect();
    let tokens: u64 = after.iter().map(|(_, tokens)| tokens).sum();
    let last = after.iter().map(|(at, _)| *at).max().unwrap_or(since);
    // The window starts earlier than `since`, because answers that ended in it were charged when
    // they started, which is at most the duration of a stream earlier.
    let length = (last - since + MAX_IN_FORCE_DELAY).as_secs_f64();
    let bound = EDITED_BURST + EDITED_RATE * length;
    let refused = refusal_count(counts, LIMITED_CUSTOMER, &["rate_limited"]);
    Check {
        guarantee: "no customer exceeds its rate and burst",
        passed: tokens as f64 <= bound && refused > 0,
        observed: format!("{tokens} tokens of at most {bound:.0}, {refused} requests refused"),
    }
}

fn refusal_count(counts: &Counts, customer: &str, codes: &[&str]) -> u64 {
    let tally = counts.customers.get(customer);
    let of = |code: &&str| {
        tally
            .and_then(|tally| tally.refused.get(*code))
            .copied()
            .unwrap_or(0)
    };
    codes.iter().map(of).sum()
}

/// Checks that no other request is refused, since the load is within the capacity of the fleet and
/// the limits of the other customers.
fn check_refusals(counts: &Counts) -> Check {
    let expected = |customer: &str, code: &str| match code {
        "rate_limited" => customer == LIMITED_CUSTOMER,
        "key_unknown" | "key_withdrawn" => customer == REVOKED_KEY_CUSTOMER,
        _ => false,
    };
    let mut wrong = Vec::new();
    for (customer, tally) in &counts.customers {
        for (code, count) in &tally.refused {
            if !expected(customer, code) {
                wrong.push(format!("{customer}: {count} {code}"));
            }
        }
    }
    Check {
        guarantee: "no request within the limits is refused",
        passed: wrong.is_empty(),
        observed: if wrong.is_empty() {
            "none".into()
        } else {
            wrong.join(", ")
        },
    }
}

fn check_drain(events: &Events) -> Check {
    let (began, ended) = events.drain;
    Check {
        guarantee: "a drained instance exits",
        passed: ended.is_some(),
        observed: ended.map_or("still running".into(), |at| {
            format!(
                "found stopped {:.1?} after the start of the drain",
                at.saturating_sub(began)
            )
        }),
    }
}

fn check_keys(fleet: &Fleet) -> Check {
    let received = fleet.received();
    let mut keys: Vec<String> = CUSTOMERS.iter().map(|customer| customer.key()).collect();
    keys.push(REVOKED_KEY.into());
    let found = keys
        .iter()
        .filter(|key| contains(&received, key.as_bytes()))
        .count();
    Check {
        guarantee: "no backend server or table service receives a key",
        passed: found == 0,
        observed: format!("{found} keys found in {} bytes received", received.len()),
    }
}

fn contains(haystack: &[u8], needle: &[u8]) -> bool {
    haystack
        .windows(needle.len())
        .any(|window| window == needle)
}
