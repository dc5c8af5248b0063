//! Prints the results of the demo.

use crate::checks::Check;
use crate::fleet::{LIMITED_CUSTOMER, REVOKED_KEY_CUSTOMER};
use crate::tally::{Counts, Tally};

/// Prints the results by customer, the latencies and the results of the checks.
pub fn print(tally: &Tally, checks: &[Check]) {
    let counts = tally.counts();
    println!();
    println!(
        "{:12} {:>7} {:>9} {:>8}  refused",
        "customer", "sent", "answered", "tokens"
    );
    for (name, customer) in &counts.customers {
        let name = if name.is_empty() { "(open)" } else { name };
        let refused: Vec<String> = customer
            .refused
            .iter()
            .map(|(code, count)| format!("{code} {count}"))
            .collect();
        println!(
            "{name:12} {:7} {:9} {:8}  {}",
            customer.sent,
            customer.answered,
            customer.tokens,
            refused.join(", ")
        );
    }
    print_latencies(&counts);
    print_worst_served(&counts);
    println!();
    for check in checks {
        let mark = if check.passed { "held" } else { "BROKEN" };
        println!("{mark:6}  {}: {}", check.guarantee, check.observed);
    }
}

fn print_latencies(counts: &Counts) {
    let show = |name: &str, histogram: &hdrhistogram::Histogram<u64>| {
        let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
        println!(
            "{name}: p50 {:.1} ms, p95 {:.1} ms, p99 {:.1} ms",
            at(0.5),
            at(0.95),
            at(0.99)
        );
    };
    println!();
    show("first token   ", &counts.first_token);
    show("between tokens", &counts.between_tokens);
}

fn print_worst_served(counts: &Counts) {
    let ratio = |answered: u64, sent: u64| answered as f64 / sent.max(1) as f64;
    let excluded = ["", LIMITED_CUSTOMER, REVOKED_KEY_CUSTOMER];
    let customers = counts
        .customers
        .iter()
        .filter(|(name, _)| !excluded.contains(&name.as_str()));
    let worst = customers
        .min_by(|a, b| ratio(a.1.answered, a.1.sent).total_cmp(&ratio(b.1.answered, b.1.sent)));
    if let Some((name, customer)) = worst {
        let percent = 100.0 * ratio(customer.answered, customer.sent);
        println!(
            "worst served  : {name}, {percent:.1} % answered (customers without edited key or limit)"
        );
    }
}
