//! Instances that start, fall silent and speak for their zones.

use std::time::Duration;

use jacinthlever_routing::{
    Member, MemberStatus, Membership, ReportOutcome, ZoneDigest, report_interval,
};
use smol_str::SmolStr;

fn secs(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn member(name: &str, zone: &str) -> Member {
    Member {
        caller_address: SmolStr::new(format!("{name}:80")),
        peer_address: SmolStr::new(format!("{name}:76")),
        zone: SmolStr::new(zone),
    }
}

fn status(incarnation: u64) -> MemberStatus {
    MemberStatus {
        incarnation,
        is_ready: true,
    }
}

fn digest(speaker: &str, size: usize, reachable: usize) -> ZoneDigest {
    ZoneDigest {
        delegate: SmolStr::new(speaker),
        address: SmolStr::new(format!("{speaker}:76")),
        size,
        reachable,
        ready: vec![SmolStr::new(format!("{speaker}:80"))],
    }
}

fn hear(members: &mut Membership, now: Duration, name: &str, incarnation: u64) -> ReportOutcome {
    let name = SmolStr::new(name);
    let said = member(&name, "a");
    members.record_report(now, &name, said, status(incarnation))
}

fn members() -> Membership {
    Membership::new(SmolStr::new("m"), SmolStr::new("a"))
}

#[test]
fn a_process_that_has_ended_says_nothing_of_the_next() {
    let mut members = members();
    assert_eq!(hear(&mut members, secs(0.0), "b", 7), ReportOutcome::New);
    assert_eq!(
        hear(&mut members, secs(0.1), "b", 8),
        ReportOutcome::Restarted
    );
    assert_eq!(
        hear(&mut members, secs(0.2), "b", 7),
        ReportOutcome::Outdated
    );
    assert_eq!(hear(&mut members, secs(0.3), "b", 8), ReportOutcome::Known);
}

#[test]
fn a_process_that_starts_with_its_clock_set_back_is_heard_once_the_old_one_is_silent() {
    let mut members = members();
    hear(&mut members, secs(0.0), "b", 2_000);
    assert_eq!(
        hear(&mut members, secs(1.0), "b", 500),
        ReportOutcome::Outdated
    );
    assert_eq!(
        hear(&mut members, secs(1.3), "b", 500),
        ReportOutcome::Restarted
    );
    assert_eq!(
        hear(&mut members, secs(1.4), "b", 500),
        ReportOutcome::Known
    );
}

#[test]
fn callers_are_sent_to_reachable_instances_only() {
    let mut members = members();
    hear(&mut members, secs(0.0), "b", 1);
    assert_eq!(members.ready_addresses(secs(1.0)), ["b:80"]);
    assert_eq!(members.ready_addresses(secs(2.0)), [""; 0]);
}

#[test]
fn the_first_reachable_instance_of_a_zone_speaks() {
    let mut members = members();
    assert_eq!(members.rank(secs(0.0)), 0);
    hear(&mut members, secs(0.0), "b", 1);
    hear(&mut members, secs(0.0), "x", 1);
    assert_eq!(members.rank(secs(1.0)), 1);
    assert_eq!(members.rank(secs(3.0)), 0);
}

#[test]
fn one_speaker_at_a_time_is_believed() {
    let mut members = members();
    let zone = SmolStr::new("z");
    assert!(members.record_digest(secs(0.0), &zone, digest("one", 3, 3)));
    assert!(!members.record_digest(secs(0.3), &zone, digest("two", 3, 3)));
    assert!(members.record_digest(secs(1.0), &zone, digest("two", 3, 2)));
}

#[test]
fn an_instance_that_hears_nobody_counts_for_its_part_only() {
    let mut members = members();
    hear(&mut members, secs(0.0), "b", 1);
    members.record_digest(secs(0.0), &SmolStr::new("z"), digest("far", 2, 2));
    assert_eq!(members.reachable_share(secs(0.5)), 1.0);
    assert_eq!(members.reachable_share(secs(5.0)), 0.25);
}

#[test]
fn parts_of_a_fleet_never_count_for_more_than_the_whole() {
    let mut here = members();
    hear(&mut here, secs(0.0), "b", 1);
    here.record_digest(secs(0.0), &SmolStr::new("z"), digest("far", 4, 4));
    // The other zone is cut off; each side hears itself only.
    let near = here.reachable_share(secs(4.0) - secs(3.1));
    assert_eq!(near, 1.0);
    hear(&mut here, secs(4.0), "b", 1);
    let here_part = here.reachable_share(secs(4.0));
    let mut there = Membership::new(SmolStr::new("f"), SmolStr::new("z"));
    for name in ["g", "h", "i"] {
        let name = SmolStr::new(name);
        there.record_report(secs(4.0), &name, member(&name, "z"), status(1));
    }
    there.record_digest(secs(0.0), &SmolStr::new("a"), digest("m", 2, 2));
    let there_part = there.reachable_share(secs(4.0));
    assert!(here_part + there_part <= 1.0, "{here_part} + {there_part}");
}

#[test]
fn a_zone_without_a_known_speaker_is_told_through_its_registered_instances() {
    let mut members = members();
    let zone = SmolStr::new("z");
    for name in ["f", "g", "h"] {
        members.register(secs(0.0), SmolStr::new(name), member(name, "z"));
    }
    assert_eq!(members.digest_targets(secs(1.0), 2), ["f:76", "g:76"]);
    members.record_digest(secs(1.0), &zone, digest("h", 3, 3));
    assert_eq!(members.digest_targets(secs(1.5), 2), ["h:76"]);
}

/// In a zone of a hundred, reports once came as rarely as silence was allowed to last.
#[test]
fn a_peer_stays_reachable_in_a_zone_of_any_size_when_one_report_is_lost() {
    for peers in 1..400 {
        let mut members = members();
        hear(&mut members, secs(0.0), "b", 1);
        let next_but_one = report_interval(peers) * 2;
        assert_eq!(
            members.ready_addresses(next_but_one),
            ["b:80"],
            "{peers} peers"
        );
    }
}
