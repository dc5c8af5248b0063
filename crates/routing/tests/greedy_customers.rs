//! One customer with several times its usual load beside usual ones, with less capacity than demand.

mod load;

use std::time::Duration;

use load::{Load, Outcome, Source, mean, run_all, run_all_unscheduled};

const TARGET: Duration = Duration::from_secs(2);

/// Rate of each usual customer, in requests a second.
const USUAL: f64 = 4.0;

const CUSTOMERS: [&str; 4] = ["first", "second", "third", "fourth"];

fn source(customer: &'static str, weight: f64, rate: fn(f64) -> f64) -> Source {
    Source {
        customer,
        weight,
        priority: 0,
        rate,
    }
}

/// Four customers with their usual load, and one with 5 times its own; the engines take 24 a second.
fn load(instances: usize) -> Load {
    let mut sources: Vec<Source> = CUSTOMERS
        .iter()
        .map(|name| source(name, 1.0, |_| USUAL))
        .collect();
    sources.push(source("greedy", 1.0, |_| 5.0 * USUAL));
    Load {
        instances,
        target: TARGET,
        sources,
        slots: |_| 28.8,
        is_scheduling: true,
        restart_at: None,
        time: Duration::from_secs(30),
    }
}

fn usual_on_time(outcomes: &[Outcome]) -> f64 {
    mean(outcomes, |o| {
        let share = |n| o.share_of(n, |r| r.is_on_time(TARGET));
        (0..CUSTOMERS.len()).map(share).sum::<f64>() / CUSTOMERS.len() as f64
    })
}

/// Guards against a customer that gets the capacity of others by sending more than they do.
#[test]
fn usual_customers_are_served_beside_a_greedy_one() {
    for (instances, least) in [(2, 0.95), (6, 0.9), (20, 0.7)] {
        let load = load(instances);
        let (with, without) = (run_all(&load), run_all_unscheduled(&load));
        let shares = (usual_on_time(&with), usual_on_time(&without));
        let greedy = CUSTOMERS.len();
        let greedy = |o: &[Outcome]| mean(o, |o| o.share_of(greedy, |r| r.is_on_time(TARGET)));
        let greedy = (greedy(&with), greedy(&without));
        println!("{instances} instances: usual on time {shares:.3?}, greedy {greedy:.3?}");
        assert!(shares.0 > least, "{instances}: {shares:?}");
        assert!(shares.0 > shares.1, "{instances}: {shares:?}");
    }
}

/// Guards against capacity that is kept for customers who send nothing.
#[test]
fn a_customer_alone_gets_everything() {
    for instances in [2, 20] {
        let mut load = load(instances);
        load.sources.drain(..CUSTOMERS.len());
        let served = mean(&run_all(&load), |o| o.share(|r| r.is_on_time(TARGET)));
        println!("{instances} instances: on time {served:.3}");
        assert!(served > 0.97, "{instances}: {served}");
    }
}

/// Two customers that both ask for more than their part; one has twice the limit of the other.
#[test]
fn shares_are_in_proportion_to_the_limits() {
    let mut load = load(2);
    load.sources = vec![
        source("double", 2_000.0, |_| 30.0),
        source("single", 1_000.0, |_| 30.0),
    ];
    let outcomes = run_all(&load);
    let served = |n| mean(&outcomes, |o| o.share_of(n, |r| r.is_on_time(TARGET)));
    let ratio = served(0) / served(1);
    println!("ratio {ratio:.2}");
    assert!((1.6..2.4).contains(&ratio), "{ratio}");
}
