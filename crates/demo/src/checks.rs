//! Checks what the fleet promised against what callers and stand-ins have seen.

use std::collections::BTreeMap;
use std::time::Duration;

use jacinthlever_local_fleet::Fleet;

use crate::fleet::{CUSTOMERS, LIMITED_CUSTOMER, WITHDRAWN_CUSTOMER, WITHDRAWN_KEY};
use crate::tally::{Counts, Tally};
use crate::timeline::{EDITED_BURST, EDITED_RATE, Events};

/// Time in which an accepted edit must be in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(4);

/// Time in which engine memory must be free again.
const FREED: Duration = Duration::from_secs(2);

/// One promise and whether it held.
pub struct Check {
    /// The promise.
    pub promise: &'static str,
    /// Whether it held.
    pub holds: bool,
    /// What was seen.
    pub seen: String,
}

/// Checks every promise.
pub fn run(fleet: &Fleet, tally: &Tally, events: &Events) -> Vec<Check> {
    let freed = fleet.wait_until(FREED, "engine memory", || fleet.used_engine_slots() == 0);
    let counts = tally.counts();
    vec![
        check("each answer is whole and its caller's own", &counts.wrong),
        check("no request was cut off", &counts.cut),
        bookings(fleet, &counts),
        withdrawn(&counts, events),
        limited(&counts, events),
        refusals(&counts),
        drained(events),
        Check {
            promise: "no engine memory is held by ended requests",
            holds: freed.is_ok(),
            seen: format!("{} requests held", fleet.used_engine_slots()),
        },
        keys(fleet),
    ]
}

fn check(promise: &'static str, problems: &[String]) -> Check {
    let seen = match problems.first() {
        None => "none otherwise".into(),
        Some(first) => format!("{} otherwise, such as {first}", problems.len()),
    };
    Check {
        promise,
        holds: problems.is_empty(),
        seen,
    }
}

fn bookings(fleet: &Fleet, counts: &Counts) -> Check {
    let mut runs: BTreeMap<String, u32> = BTreeMap::new();
    for run in fleet.workers.values().flat_map(|worker| worker.runs()) {
        if run.method == "POST" {
            *runs.entry(run.body).or_default() += 1;
        }
    }
    let twice = runs.values().filter(|count| **count > 1).count();
    let lost = counts
        .confirmed
        .iter()
        .filter(|body| !runs.contains_key(*body))
        .count();
    Check {
        promise: "a booking runs at most once, a confirmed one just once",
        holds: twice == 0 && lost == 0,
        seen: format!(
            "{} ran, {twice} twice, {lost} confirmed and lost",
            runs.len()
        ),
    }
}

fn withdrawn(counts: &Counts, events: &Events) -> Check {
    let until = events.withdrawn + IN_FORCE;
    let late = counts
        .withdrawn_answers
        .iter()
        .filter(|at| **at > until)
        .count();
    let last = counts
        .withdrawn_answers
        .iter()
        .max()
        .copied()
        .unwrap_or_default();
    let after = last.saturating_sub(events.withdrawn);
    let refused = refused(
        counts,
        WITHDRAWN_CUSTOMER,
        &["key_unknown", "key_withdrawn"],
    );
    Check {
        promise: "a withdrawn key stops within 4 s",
        holds: late == 0 && refused > 0,
        seen: format!("last answer {after:.1?} after, {refused} refused"),
    }
}

fn limited(counts: &Counts, events: &Events) -> Check {
    let since = events.limited + IN_FORCE;
    let after: Vec<&(Duration, u64)> = counts
        .limited
        .iter()
        .filter(|(at, _)| *at > since)
        .collect();
    let tokens: u64 = after.iter().map(|(_, tokens)| tokens).sum();
    let last = after.iter().map(|(at, _)| *at).max().unwrap_or(since);
    // Answers that end in the window were charged before they ended, at most a stream earlier.
    let length = (last - since + IN_FORCE).as_secs_f64();
    let bound = EDITED_BURST + EDITED_RATE * length;
    let refused = refused(counts, LIMITED_CUSTOMER, &["rate_limited"]);
    Check {
        promise: "no customer gets more than its rate and burst",
        holds: tokens as f64 <= bound && refused > 0,
        seen: format!("{tokens} tokens of at most {bound:.0}, {refused} refused"),
    }
}

fn refused(counts: &Counts, customer: &str, codes: &[&str]) -> u64 {
    let tally = counts.customers.get(customer);
    let of = |code: &&str| {
        tally
            .and_then(|tally| tally.refused.get(*code))
            .copied()
            .unwrap_or(0)
    };
    codes.iter().map(of).sum()
}

/// Nobody else is refused: the load is within capacity and within the other limits.
fn refusals(counts: &Counts) -> Check {
    let expected = |customer: &str, code: &str| match code {
        "rate_limited" => customer == LIMITED_CUSTOMER,
        "key_unknown" | "key_withdrawn" => customer == WITHDRAWN_CUSTOMER,
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
        promise: "nobody inside its rate is refused",
        holds: wrong.is_empty(),
        seen: if wrong.is_empty() {
            "none".into()
        } else {
            wrong.join(", ")
        },
    }
}

fn drained(events: &Events) -> Check {
    let (began, ended) = events.drained;
    Check {
        promise: "a drained instance ends",
        holds: ended.is_some(),
        seen: ended.map_or("still running".into(), |at| {
            format!("seen ended {:.1?} after", at.saturating_sub(began))
        }),
    }
}

fn keys(fleet: &Fleet) -> Check {
    let received = fleet.received();
    let mut keys: Vec<String> = CUSTOMERS.iter().map(|customer| customer.key()).collect();
    keys.push(WITHDRAWN_KEY.into());
    let found = keys
        .iter()
        .filter(|key| contains(&received, key.as_bytes()))
        .count();
    Check {
        promise: "no backend server or platform service sees a key",
        holds: found == 0,
        seen: format!("{found} keys in {} bytes received", received.len()),
    }
}

fn contains(haystack: &[u8], needle: &[u8]) -> bool {
    haystack
        .windows(needle.len())
        .any(|window| window == needle)
}
