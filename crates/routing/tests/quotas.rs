//! Limits of customers over several instances.

use std::time::Duration;

use jacinthlever_routing::{CustomerCharges, Quota, QuotaDecision, QuotaLedger};
use smol_str::SmolStr;

const QUOTA: Quota = Quota {
    rate: 1_000.0,
    burst: 2_000.0,
    default_tokens: 200,
};

fn book(now: Duration) -> QuotaLedger {
    let mut book = QuotaLedger::default();
    let customer = (SmolStr::new("crews"), Some(QUOTA));
    book.configure(now, [customer].into_iter());
    book
}

fn told(total: u64, before: u64) -> CustomerCharges {
    CustomerCharges {
        customer: SmolStr::new("crews"),
        total,
        before,
    }
}

fn charges(book: &mut QuotaLedger, now: Duration, tokens: u64) -> bool {
    book.charge(now, "crews", tokens) == QuotaDecision::Allowed
}

#[test]
fn a_customer_gets_its_burst_and_then_its_rate() {
    let mut book = book(Duration::ZERO);
    assert!(charges(&mut book, Duration::ZERO, 2_000));
    assert!(!charges(&mut book, Duration::from_millis(400), 500));
    assert!(charges(&mut book, Duration::from_millis(500), 500));
}

#[test]
fn an_instance_that_starts_late_does_not_charge_what_its_peers_did_before() {
    let mut book = book(Duration::ZERO);
    let at = Duration::from_millis(100);
    book.apply_peer_charges(at, "peer", &told(1_000_000, 1_000_000), false);
    assert!(charges(&mut book, Duration::from_millis(200), 2_000));
}

#[test]
fn what_a_known_peer_charges_counts() {
    let mut book = book(Duration::ZERO);
    book.apply_peer_charges(Duration::ZERO, "peer", &told(1_000_000, 1_000_000), false);
    book.apply_peer_charges(Duration::ZERO, "peer", &told(1_002_000, 1_002_000), false);
    assert!(!charges(&mut book, Duration::ZERO, 100));
}

#[test]
fn all_that_a_peer_has_charged_since_it_started_counts_if_it_started_later() {
    let mut book = book(Duration::ZERO);
    book.apply_peer_charges(Duration::ZERO, "peer", &told(2_000, 2_000), true);
    assert!(!charges(&mut book, Duration::ZERO, 100));
}

#[test]
fn a_peer_that_starts_anew_is_counted_from_zero() {
    let mut book = book(Duration::ZERO);
    book.apply_peer_charges(Duration::ZERO, "peer", &told(500_000, 500_000), false);
    book.forget_peer("peer");
    book.apply_peer_charges(Duration::ZERO, "peer", &told(2_000, 2_000), true);
    assert!(!charges(&mut book, Duration::ZERO, 100));
}

#[test]
fn a_refund_gives_the_tokens_back_here_and_at_peers() {
    let mut here = book(Duration::ZERO);
    let mut there = book(Duration::ZERO);
    there.apply_peer_charges(Duration::ZERO, "here", &told(0, 0), true);
    assert!(charges(&mut here, Duration::ZERO, 2_000));
    there.apply_peer_charges(Duration::ZERO, "here", &told(2_000, 2_000), true);
    here.refund(Duration::ZERO, "crews", 2_000);
    there.apply_peer_charges(Duration::ZERO, "here", &told(0, 0), true);
    assert!(charges(&mut here, Duration::ZERO, 2_000));
    assert!(charges(&mut there, Duration::ZERO, 2_000));
}

#[test]
fn parts_of_a_fleet_that_do_not_hear_each_other_share_the_rate() {
    let seconds = 20;
    let mut total = 0;
    for part in [0.5, 0.5] {
        let mut book = book(Duration::ZERO);
        book.set_fleet_share(Duration::ZERO, part);
        for ms in (0..seconds * 1000).step_by(50) {
            if charges(&mut book, Duration::from_millis(ms), 100) {
                total += 100;
            }
        }
    }
    // Each part has a bucket of its own, which was full when the fleet fell apart.
    assert!(total <= 1_000 * seconds + 2 * 2_000, "{total} tokens");
}

#[test]
fn a_lower_limit_holds_at_once() {
    let mut book = book(Duration::ZERO);
    let lower = Quota {
        rate: 100.0,
        burst: 200.0,
        default_tokens: 200,
    };
    let customer = (SmolStr::new("crews"), Some(lower));
    book.configure(Duration::ZERO, [customer].into_iter());
    assert!(charges(&mut book, Duration::ZERO, 200));
    assert!(!charges(&mut book, Duration::from_millis(500), 100));
}

fn sets_aside(book: &mut QuotaLedger, now: Duration, tokens: u64) -> bool {
    book.reserve_pending(now, "crews", tokens) == QuotaDecision::Allowed
}

/// Generations that find no engine memory in a rush must not use up the limit of those that do.
#[test]
fn a_rush_that_waits_for_room_in_vain_costs_its_customer_nothing() {
    let mut book = book(Duration::ZERO);
    assert!(sets_aside(&mut book, Duration::ZERO, 1_500));
    assert!(book.recent_charges(Duration::ZERO).is_empty());
    assert!(charges(&mut book, Duration::ZERO, 600));
    book.release_pending("crews", 1_500);
    assert!(sets_aside(&mut book, Duration::ZERO, 1_400));
}

#[test]
fn generations_that_wait_here_fit_into_the_limit_together() {
    let mut book = book(Duration::ZERO);
    assert!(sets_aside(&mut book, Duration::ZERO, 1_200));
    assert!(!sets_aside(&mut book, Duration::ZERO, 1_200));
    assert!(sets_aside(&mut book, Duration::ZERO, 800));
}

#[test]
fn a_waiting_generation_is_refused_when_others_have_used_the_limit_up() {
    let mut book = book(Duration::ZERO);
    book.apply_peer_charges(Duration::ZERO, "peer", &told(0, 0), true);
    assert!(sets_aside(&mut book, Duration::ZERO, 1_500));
    book.apply_peer_charges(Duration::ZERO, "peer", &told(1_000, 1_000), true);
    book.release_pending("crews", 1_500);
    assert!(!charges(&mut book, Duration::ZERO, 1_500));
}

/// Of 2,600 customers a few are at work at an instance in any second.
#[test]
fn only_customers_at_work_are_told_and_each_for_several_reports() {
    let mut book = QuotaLedger::default();
    let name = |n: u32| SmolStr::from(format!("customer-{n}"));
    book.configure(Duration::ZERO, (0..2_600).map(|n| (name(n), Some(QUOTA))));
    for (ms, n) in [(0, 1), (100, 2), (400, 1)] {
        book.charge(Duration::from_millis(ms), &name(n), 100);
    }
    let told = |book: &QuotaLedger, ms| {
        let told = book.recent_charges(Duration::from_millis(ms));
        told.into_iter()
            .map(|c| (c.total, c.before))
            .collect::<Vec<_>>()
    };
    assert_eq!(told(&book, 500), [(200, 0), (100, 0)]);
    assert_eq!(told(&book, 1_550), [(200, 100), (100, 0)]);
    assert_eq!(told(&book, 1_700), [(200, 100)]);
    assert_eq!(told(&book, 2_000), []);
}

#[test]
fn a_customer_that_a_known_peer_names_for_the_first_time_is_charged_its_late_changes() {
    let mut book = book(Duration::ZERO);
    book.record_source(Duration::ZERO, "peer");
    let later = Duration::from_secs(2);
    book.apply_peer_charges(later, "peer", &told(901_500, 900_000), false);
    assert!(!charges(&mut book, later, 600));
    assert!(charges(&mut book, later, 500));
}

/// The next speaker of a zone tells what the last one has told already.
#[test]
fn a_new_speaker_does_not_charge_late_changes_again() {
    let mut book = book(Duration::ZERO);
    book.apply_zone_charges(Duration::ZERO, "first", &told(900_000, 900_000));
    book.apply_zone_charges(Duration::ZERO, "first", &told(901_500, 900_000));
    book.apply_zone_charges(Duration::ZERO, "second", &told(801_500, 800_000));
    assert!(charges(&mut book, Duration::ZERO, 500));
    book.apply_zone_charges(Duration::ZERO, "second", &told(802_000, 800_000));
    assert!(!charges(&mut book, Duration::ZERO, 100));
}
