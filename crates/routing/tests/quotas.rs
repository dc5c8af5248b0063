//! Limits of customers that apply to several instances together.

use std::time::Duration;

use jacinthlever_routing::{CustomerCharges, Quota, QuotaDecision, QuotaLedger};
use smol_str::SmolStr;

const QUOTA: Quota = Quota {
    rate: 1_000.0,
    burst: 2_000.0,
    default_tokens: 200,
};

fn ledger(now: Duration) -> QuotaLedger {
    let mut ledger = QuotaLedger::default();
    let customer = (SmolStr::new("crews"), Some(QUOTA));
    ledger.configure(now, [customer].into_iter());
    ledger
}

fn report(total: u64, before: u64) -> CustomerCharges {
    CustomerCharges {
        customer: SmolStr::new("crews"),
        total,
        before,
    }
}

fn try_charge(ledger: &mut QuotaLedger, now: Duration, tokens: u64) -> bool {
    ledger.charge(now, "crews", tokens) == QuotaDecision::Allowed
}

#[test]
fn a_customer_may_use_its_burst_and_then_its_rate() {
    let mut ledger = ledger(Duration::ZERO);
    assert!(try_charge(&mut ledger, Duration::ZERO, 2_000));
    assert!(!try_charge(&mut ledger, Duration::from_millis(400), 500));
    assert!(try_charge(&mut ledger, Duration::from_millis(500), 500));
}

/// Guards against a process that gives customers the burst again which the one before it has given them.
#[test]
fn the_first_buckets_of_a_process_that_follows_another_one_are_empty() {
    let mut ledger = QuotaLedger::following_another();
    let customer = |name| (SmolStr::new(name), Some(QUOTA));
    ledger.configure(Duration::ZERO, [customer("crews")].into_iter());
    assert!(!try_charge(&mut ledger, Duration::ZERO, 100));
    assert!(try_charge(&mut ledger, Duration::from_millis(100), 100));
    // A customer that the operator adds later has used nothing.
    ledger.configure(
        Duration::ZERO,
        [customer("crews"), customer("new")].into_iter(),
    );
    let added = ledger.charge(Duration::from_millis(100), "new", 2_000);
    assert_eq!(added, QuotaDecision::Allowed);
}

#[test]
fn a_new_instance_ignores_what_its_peers_charged_before_it_started() {
    let mut ledger = ledger(Duration::ZERO);
    let at = Duration::from_millis(100);
    ledger.apply_peer_charges(at, "peer", &report(1_000_000, 1_000_000), false);
    assert!(try_charge(&mut ledger, Duration::from_millis(200), 2_000));
}

#[test]
fn charges_of_a_known_peer_count() {
    let mut ledger = ledger(Duration::ZERO);
    ledger.apply_peer_charges(Duration::ZERO, "peer", &report(1_000_000, 1_000_000), false);
    ledger.apply_peer_charges(Duration::ZERO, "peer", &report(1_002_000, 1_002_000), false);
    assert!(!try_charge(&mut ledger, Duration::ZERO, 100));
}

#[test]
fn all_charges_of_a_peer_that_started_later_count() {
    let mut ledger = ledger(Duration::ZERO);
    ledger.apply_peer_charges(Duration::ZERO, "peer", &report(2_000, 2_000), true);
    assert!(!try_charge(&mut ledger, Duration::ZERO, 100));
}

#[test]
fn charges_of_a_restarted_peer_count_from_zero() {
    let mut ledger = ledger(Duration::ZERO);
    ledger.apply_peer_charges(Duration::ZERO, "peer", &report(500_000, 500_000), false);
    ledger.forget_peer("peer");
    ledger.apply_peer_charges(Duration::ZERO, "peer", &report(2_000, 2_000), true);
    assert!(!try_charge(&mut ledger, Duration::ZERO, 100));
}

#[test]
fn a_refund_returns_the_tokens_here_and_at_peers() {
    let mut here = ledger(Duration::ZERO);
    let mut there = ledger(Duration::ZERO);
    there.apply_peer_charges(Duration::ZERO, "here", &report(0, 0), true);
    assert!(try_charge(&mut here, Duration::ZERO, 2_000));
    there.apply_peer_charges(Duration::ZERO, "here", &report(2_000, 2_000), true);
    here.refund(Duration::ZERO, "crews", 2_000);
    there.apply_peer_charges(Duration::ZERO, "here", &report(0, 0), true);
    assert!(try_charge(&mut here, Duration::ZERO, 2_000));
    assert!(try_charge(&mut there, Duration::ZERO, 2_000));
}

#[test]
fn the_sides_of_a_partitioned_fleet_share_the_rate() {
    let seconds = 20;
    let mut total = 0;
    for share in [0.5, 0.5] {
        let mut ledger = ledger(Duration::ZERO);
        ledger.set_fleet_share(Duration::ZERO, share);
        for ms in (0..seconds * 1000).step_by(50) {
            if try_charge(&mut ledger, Duration::from_millis(ms), 100) {
                total += 100;
            }
        }
    }
    // Each side has its own bucket, which was full when the partition began.
    assert!(total <= 1_000 * seconds + 2 * 2_000, "{total} tokens");
}

// Guards against a whole burst for a new customer on each part of a fleet.
#[test]
fn a_customer_that_is_added_during_a_partition_gets_a_share_of_its_burst() {
    let mut ledger = QuotaLedger::default();
    ledger.set_fleet_share(Duration::ZERO, 0.25);
    let customer = (SmolStr::new("crews"), Some(QUOTA));
    ledger.configure(Duration::ZERO, [customer].into_iter());
    assert!(try_charge(&mut ledger, Duration::ZERO, 600));
    assert!(!try_charge(&mut ledger, Duration::ZERO, 100));
}

#[test]
fn a_lower_limit_applies_immediately() {
    let mut ledger = ledger(Duration::ZERO);
    let lower = Quota {
        rate: 100.0,
        burst: 200.0,
        default_tokens: 200,
    };
    let customer = (SmolStr::new("crews"), Some(lower));
    ledger.configure(Duration::ZERO, [customer].into_iter());
    assert!(try_charge(&mut ledger, Duration::ZERO, 200));
    assert!(!try_charge(&mut ledger, Duration::from_millis(500), 100));
}

fn try_reserve(ledger: &mut QuotaLedger, now: Duration, tokens: u64) -> bool {
    ledger.reserve_pending(now, "crews", tokens) == QuotaDecision::Allowed
}

/// In a burst, generations that find no engine memory must not use up the limit of those that do.
#[test]
fn requests_that_wait_without_success_are_not_charged() {
    let mut ledger = ledger(Duration::ZERO);
    assert!(try_reserve(&mut ledger, Duration::ZERO, 1_500));
    assert!(ledger.recent_charges(Duration::ZERO).is_empty());
    assert!(try_charge(&mut ledger, Duration::ZERO, 600));
    ledger.release_pending("crews", 1_500);
    assert!(try_reserve(&mut ledger, Duration::ZERO, 1_400));
}

#[test]
fn pending_reservations_of_an_instance_stay_within_the_limit_together() {
    let mut ledger = ledger(Duration::ZERO);
    assert!(try_reserve(&mut ledger, Duration::ZERO, 1_200));
    assert!(!try_reserve(&mut ledger, Duration::ZERO, 1_200));
    assert!(try_reserve(&mut ledger, Duration::ZERO, 800));
}

#[test]
fn a_waiting_generation_is_refused_when_peers_have_used_up_the_limit() {
    let mut ledger = ledger(Duration::ZERO);
    ledger.apply_peer_charges(Duration::ZERO, "peer", &report(0, 0), true);
    assert!(try_reserve(&mut ledger, Duration::ZERO, 1_500));
    ledger.apply_peer_charges(Duration::ZERO, "peer", &report(1_000, 1_000), true);
    ledger.release_pending("crews", 1_500);
    assert!(!try_charge(&mut ledger, Duration::ZERO, 1_500));
}

/// Only a few of 2,600 customers are active on an instance in any second, so reports must not grow
/// with the number of customers.
#[test]
fn only_active_customers_are_reported_and_each_in_several_reports() {
    let mut ledger = QuotaLedger::default();
    let name = |n: u32| SmolStr::from(format!("customer-{n}"));
    ledger.configure(Duration::ZERO, (0..2_600).map(|n| (name(n), Some(QUOTA))));
    for (ms, n) in [(0, 1), (100, 2), (400, 1)] {
        ledger.charge(Duration::from_millis(ms), &name(n), 100);
    }
    let reported = |ledger: &QuotaLedger, ms| {
        let charges = ledger.recent_charges(Duration::from_millis(ms));
        charges
            .into_iter()
            .map(|c| (c.total, c.before))
            .collect::<Vec<_>>()
    };
    assert_eq!(reported(&ledger, 500), [(200, 0), (100, 0)]);
    assert_eq!(reported(&ledger, 1_550), [(200, 100), (100, 0)]);
    assert_eq!(reported(&ledger, 1_700), [(200, 100)]);
    assert_eq!(reported(&ledger, 2_000), []);
}

#[test]
fn recent_changes_count_when_a_known_peer_reports_a_customer_for_the_first_time() {
    let mut ledger = ledger(Duration::ZERO);
    ledger.record_source(Duration::ZERO, "peer");
    let later = Duration::from_secs(2);
    ledger.apply_peer_charges(later, "peer", &report(901_500, 900_000), false);
    assert!(!try_charge(&mut ledger, later, 600));
    assert!(try_charge(&mut ledger, later, 500));
}

/// The new delegate of a zone reports changes that the previous delegate has reported already.
#[test]
fn a_new_delegate_does_not_charge_recent_changes_again() {
    let mut ledger = ledger(Duration::ZERO);
    ledger.apply_zone_charges(Duration::ZERO, "first", &report(900_000, 900_000));
    ledger.apply_zone_charges(Duration::ZERO, "first", &report(901_500, 900_000));
    ledger.apply_zone_charges(Duration::ZERO, "second", &report(801_500, 800_000));
    assert!(try_charge(&mut ledger, Duration::ZERO, 500));
    ledger.apply_zone_charges(Duration::ZERO, "second", &report(802_000, 800_000));
    assert!(!try_charge(&mut ledger, Duration::ZERO, 100));
}
