//! Generations that arrive faster than engines take them, from callers that retry.

mod load;

use std::time::Duration;

use load::{Load, Outcome, Source, mean, run_all, run_all_unscheduled};

const TARGET: Duration = Duration::from_secs(2);

/// Slots with which the engines take 20 generations a second.
const SLOTS: f64 = 24.0;

/// Share of the attempts that the estimate may refuse although their turn would come in time.
const MAX_WRONG_REFUSALS: f64 = 0.05;

/// Requests or slots by the time in seconds.
type Course = fn(f64) -> f64;

/// Twice the capacity for 5 s, with less than it before and after.
const BURST: Course = |t| match (5.0..10.0).contains(&t) {
    true => 40.0,
    false => 14.0,
};

const STEADY: Course = |_| SLOTS;

const HALVED: Course = |t| if t > 15.0 { SLOTS / 2.0 } else { SLOTS };

const DOUBLED: Course = |t| if t > 15.0 { SLOTS * 2.0 } else { SLOTS };

fn load(instances: usize, rate: Course, slots: Course) -> Load {
    Load {
        instances,
        target: TARGET,
        sources: vec![Source {
            customer: "customer",
            weight: 1.0,
            priority: 0,
            rate,
        }],
        slots,
        is_scheduling: true,
        restart_at: None,
        time: Duration::from_secs(30),
    }
}

fn refused_twice(outcomes: &[Outcome]) -> f64 {
    mean(outcomes, |o| o.share(|r| r.refusals >= 2))
}

fn on_time(outcomes: &[Outcome]) -> f64 {
    mean(outcomes, |o| o.share(|r| r.is_on_time(TARGET)))
}

/// Guards against callers that come back and are refused again, since new arrivals go before them or
/// since they wait as briefly as the first time.
#[test]
fn fewer_callers_are_refused_twice_in_a_burst() {
    for instances in [6, 20, 85] {
        let load = load(instances, BURST, STEADY);
        let (with, without) = (run_all(&load), run_all_unscheduled(&load));
        let shares = (refused_twice(&with), refused_twice(&without));
        println!("{instances} instances: refused twice {shares:.3?}");
        assert!(shares.0 < 0.75 * shares.1, "{instances}: {shares:?}");
        let shares = (on_time(&with), on_time(&without));
        println!("{instances} instances: on time {shares:.3?}");
        assert!(shares.0 > shares.1, "{instances}: {shares:?}");
    }
}

/// The same under a load of 1.5 times the capacity that does not end.
#[test]
fn fewer_callers_are_refused_twice_under_lasting_overload() {
    for instances in [2, 6, 20, 85] {
        let load = load(instances, |_| 30.0, STEADY);
        let (with, without) = (run_all(&load), run_all_unscheduled(&load));
        let shares = (refused_twice(&with), refused_twice(&without));
        println!("{instances} instances: refused twice {shares:.3?}");
        assert!(shares.0 < 0.8 * shares.1, "{instances}: {shares:?}");
        let shares = (on_time(&with), on_time(&without));
        println!("{instances} instances: on time {shares:.3?}");
        assert!(shares.0 > shares.1 - 0.02, "{instances}: {shares:?}");
    }
}

/// Guards against an estimate from a few grants, or from a rate that no longer holds, that refuses
/// callers whose turn would come.
#[test]
fn hardly_any_caller_is_refused_by_the_estimate_that_could_be_served() {
    for instances in [2, 6, 20, 85] {
        for (name, rate, slots) in [
            ("burst", BURST, STEADY),
            ("overload", |_| 30.0, STEADY),
            ("halved", |_| 16.0, HALVED),
            ("doubled", |_| 30.0, DOUBLED),
        ] {
            let outcomes = run_all(&load(instances, rate, slots));
            let early = mean(&outcomes, |o| o.early_refusals as f64 / o.attempts as f64);
            let wrong = mean(&outcomes, Outcome::wrong_refusals);
            println!("{instances} instances, {name}: refused at once {early:.3}, wrong {wrong:.4}");
            assert!(wrong <= MAX_WRONG_REFUSALS, "{instances} {name}: {wrong}");
        }
    }
}

/// Guards against an estimate that lags behind the capacity for more than its window.
#[test]
fn a_change_of_the_capacity_leaves_no_worse_service() {
    for instances in [2, 6, 20, 85] {
        for (name, rate, slots) in [
            ("halved", (|_| 16.0) as Course, HALVED),
            ("doubled", |_| 30.0, DOUBLED),
        ] {
            let load = load(instances, rate, slots);
            let (with, without) = (run_all(&load), run_all_unscheduled(&load));
            let shares = (on_time(&with), on_time(&without));
            println!("{instances} instances, {name}: on time {shares:.3?}");
            assert!(shares.0 > shares.1 - 0.02, "{instances} {name}: {shares:?}");
        }
    }
}

/// The queue of the overload drains at the doubled rate; from 3 s after the change, no one is refused
/// by what was learned before it.
#[test]
fn no_caller_is_refused_by_the_estimate_once_the_capacity_suffices() {
    for instances in [2, 6, 20, 85] {
        let outcomes = run_all(&load(instances, |_| 24.0, DOUBLED));
        let recovered = Duration::from_secs(18);
        let late = mean(&outcomes, |o| {
            o.share(|r| r.refused_early_at.is_some_and(|at| at > recovered))
        });
        assert!(late < 0.001, "{instances}: {late}");
    }
}

/// Guards against refusals by an estimate that rests on nothing, when callers come back to a fleet
/// whose instances have all just been started again.
#[test]
fn a_restart_of_all_instances_refuses_no_one_by_an_estimate() {
    let restart = Duration::from_secs(15);
    for instances in [2, 6, 20, 85] {
        for rate in [(|_| 17.0) as Course, |_| 30.0] {
            let load = Load {
                restart_at: Some(restart),
                ..load(instances, rate, STEADY)
            };
            for outcome in run_all(&load) {
                let until = restart + Duration::from_millis(250);
                let refused = |at: Duration| (restart..until).contains(&at);
                let soon = outcome.share(|r| r.refused_early_at.is_some_and(refused));
                assert_eq!(soon, 0.0, "{instances} instances");
            }
            let unscheduled = run_all_unscheduled(&load);
            let shares = (on_time(&run_all(&load)), on_time(&unscheduled));
            println!("{instances} instances, restart: on time {shares:.3?}");
            assert!(shares.0 > shares.1 - 0.02, "{instances}: {shares:?}");
        }
    }
}
