//! Generations of three priorities that arrive faster than engines take them.

mod load;

use std::time::Duration;

use load::{Load, Source, mean, run_all};

const TARGET: Duration = Duration::from_secs(2);

/// Rates of the priorities by the time in seconds, the most urgent first.
type Rates = [fn(f64) -> f64; 3];

fn load(instances: usize, rates: Rates) -> Load {
    let sources = rates.iter().enumerate().map(|(n, rate)| Source {
        customer: ["first", "second", "third"][n],
        // A larger share of a less urgent priority takes nothing from a more urgent one.
        weight: [1.0, 10.0, 100.0][n],
        priority: n as u8,
        rate: *rate,
    });
    Load {
        instances,
        target: TARGET,
        sources: sources.collect(),
        slots: |_| 24.0,
        is_scheduling: true,
        restart_at: None,
        time: Duration::from_secs(30),
    }
}

/// Guards against shares, retries or overdue generations that let a less urgent priority go first.
#[test]
fn a_less_urgent_priority_never_fares_better() {
    let loads: [Rates; 3] = [
        [|_| 10.0, |_| 10.0, |_| 10.0],
        [|_| 16.0, |_| 8.0, |_| 8.0],
        [|_| 4.0, |_| 8.0, |_| 24.0],
    ];
    for instances in [2, 6, 20, 85] {
        for rates in loads {
            let outcomes = run_all(&load(instances, rates));
            let on_time = |n| mean(&outcomes, |o| o.share_of(n, |r| r.is_on_time(TARGET)));
            let shares = [on_time(0), on_time(1), on_time(2)];
            println!("{instances} instances: on time {shares:.3?}");
            assert!(shares.is_sorted_by(|a, b| a >= b), "{instances} {shares:?}");
            for outcome in &outcomes {
                let refused = |n| outcome.share_of(n, |r| r.early_refusals > 0);
                let refused = [refused(0), refused(1), refused(2)];
                assert!(refused[0] <= refused[2] + 0.02, "{instances} {refused:?}");
            }
        }
    }
}
