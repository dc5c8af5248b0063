//! Parts of prompts that crash the servers that begin to answer them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use jacinthlever_routing::{Crash, CrashId, PartEvidence, PromptPart, SuspectParts};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const FIRST: PromptPart = PromptPart(1);
const SUBJECT: PromptPart = PromptPart(2);
const OTHER_SUBJECT: PromptPart = PromptPart(3);
const DEADLY: PromptPart = PromptPart(0xdead);

fn secs(s: f64) -> Duration {
    Duration::from_secs_f64(s)
}

fn ended_run(id: u64, sent: f64, ended: f64) -> Crash {
    Crash {
        id: CrashId(id),
        sent: secs(sent),
        ended: secs(ended),
    }
}

/// Records crashes under the same parts, one second apart from `from`.
fn crash(
    suspects: &mut SuspectParts,
    from: f64,
    numbers: std::ops::Range<u64>,
    parts: &[PromptPart],
) {
    for n in numbers.clone() {
        let at = from + (n - numbers.start) as f64;
        suspects.record_crash(secs(at), ended_run(n, at - 0.1, at), parts);
    }
}

#[test]
fn a_part_is_quarantined_at_the_third_crash_and_the_other_parts_are_not() {
    let mut suspects = SuspectParts::default();
    crash(&mut suspects, 1.0, 0..2, &[FIRST, DEADLY]);
    suspects.record_answer(secs(2.5), &[FIRST, SUBJECT]);
    assert!(!suspects.is_quarantined(&[FIRST, DEADLY]));
    crash(&mut suspects, 3.0, 2..3, &[FIRST, DEADLY]);
    assert!(suspects.is_quarantined(&[FIRST, DEADLY]));
    assert!(suspects.is_quarantined(&[DEADLY, SUBJECT]));
    assert!(!suspects.is_quarantined(&[FIRST, SUBJECT]));
}

// Guards against a loss of many servers at once that looks like the fault of what their requests had
// in common.
#[test]
fn servers_that_crash_together_count_once() {
    let mut suspects = SuspectParts::default();
    for n in 0..20 {
        let ended = 1.0 + 0.05 * n as f64;
        let crash = ended_run(n, 0.9, ended);
        suspects.record_crash(secs(ended), crash, &[FIRST, SUBJECT]);
    }
    assert!(!suspects.is_quarantined(&[FIRST, SUBJECT]));
}

// Guards against crashes that seem to overlap, since an earlier request with the same part ran there too.
#[test]
fn the_latest_request_that_a_crash_ended_counts() {
    let mut suspects = SuspectParts::default();
    suspects.record_crash(secs(1.0), ended_run(1, 0.9, 1.0), &[DEADLY]);
    suspects.record_crash(secs(2.0), ended_run(2, 1.9, 2.0), &[DEADLY]);
    suspects.record_crash(secs(3.0), ended_run(3, 0.5, 3.0), &[DEADLY]);
    assert!(!suspects.is_quarantined(&[DEADLY]));
    assert!(suspects.record_crash(secs(3.0), ended_run(3, 2.9, 3.0), &[DEADLY]));
    assert!(suspects.is_quarantined(&[DEADLY]));
}

#[test]
fn parts_that_always_crash_together_are_refused_together_only() {
    let mut suspects = SuspectParts::default();
    crash(&mut suspects, 1.0, 0..3, &[FIRST, SUBJECT, DEADLY]);
    assert!(suspects.is_quarantined(&[FIRST, SUBJECT, DEADLY]));
    assert!(!suspects.is_quarantined(&[FIRST, SUBJECT]));
    assert!(!suspects.is_quarantined(&[FIRST, OTHER_SUBJECT, DEADLY]));
    // The part crashes a server without the subject, and the subject is answered without the part.
    crash(&mut suspects, 4.0, 3..4, &[FIRST, OTHER_SUBJECT, DEADLY]);
    suspects.record_answer(secs(5.0), &[FIRST, SUBJECT]);
    assert!(suspects.is_quarantined(&[OTHER_SUBJECT, DEADLY]));
    assert!(!suspects.is_quarantined(&[FIRST, SUBJECT]));
    assert!(!suspects.is_quarantined(&[FIRST, OTHER_SUBJECT]));
}

#[test]
fn an_answer_releases_a_part_until_it_crashes_servers_again() {
    let mut suspects = SuspectParts::default();
    crash(&mut suspects, 1.0, 0..3, &[SUBJECT]);
    assert!(suspects.is_quarantined(&[SUBJECT]));
    assert!(suspects.record_answer(secs(4.0), &[SUBJECT]));
    assert!(!suspects.is_quarantined(&[SUBJECT]));
    crash(&mut suspects, 5.0, 3..6, &[SUBJECT]);
    assert!(suspects.is_quarantined(&[SUBJECT]));
    suspects.remove_expired(secs(1000.0));
    assert!(!suspects.is_quarantined(&[SUBJECT]));
}

// Guards against an instance that has just started and takes crashes before its start for crashes
// at the same moment.
#[test]
fn evidence_from_before_the_start_of_the_process_counts() {
    let mut suspects = SuspectParts::default();
    let evidence = PartEvidence {
        part: DEADLY,
        crashes: (0..3)
            .map(|n| ended_run(n, 20.1 + n as f64, 20.0 + n as f64))
            .collect(),
        answered: None,
    };
    suspects.merge(secs(0.1), &[evidence]);
    assert!(suspects.is_quarantined(&[DEADLY]));
}

#[test]
fn evidence_merges_to_the_same_quarantine_in_any_order() {
    let mut own = SuspectParts::default();
    let mut peer = SuspectParts::default();
    crash(&mut own, 1.0, 0..2, &[FIRST, DEADLY]);
    crash(&mut peer, 3.0, 2..3, &[FIRST, DEADLY]);
    peer.record_answer(secs(3.5), &[FIRST, SUBJECT]);
    let (from_own, from_peer) = (own.recent(secs(3.6), true), peer.recent(secs(3.6), true));
    for suspects in [&mut own, &mut peer] {
        suspects.merge(secs(3.6), &from_peer);
        suspects.merge(secs(3.6), &from_own);
        assert!(suspects.is_quarantined(&[FIRST, DEADLY]));
        assert!(!suspects.is_quarantined(&[FIRST, SUBJECT]));
    }
    assert_eq!(own.quarantined(), peer.quarantined());
}

/// Shape of a simulated fleet and its load.
struct Load {
    instances: usize,
    servers: usize,
    /// Requests with the deadly part a second.
    deadly_rate: f64,
    /// Sound requests a second.
    sound_rate: f64,
    /// Servers a second that crash for reasons of their own.
    crash_rate: f64,
}

/// Time until a message of an instance has reached all others.
const GOSSIP_DELAY: Duration = Duration::from_millis(900);

/// Time for which an answer is proven or broken.
const ANSWER_TIME: Duration = Duration::from_millis(1200);

/// Time for which a request with the deadly part runs until its server crashes.
const RUN_TIME: Duration = Duration::from_millis(100);

const STEP: Duration = Duration::from_millis(20);

fn delayed(crash: &Crash) -> Crash {
    Crash {
        sent: crash.sent + GOSSIP_DELAY,
        ended: crash.ended + GOSSIP_DELAY,
        ..*crash
    }
}

/// Result of a simulation: requests with the deadly part that were sent later than 3 s after the
/// fifth crash under it, and the share of the sound requests that were refused.
fn simulate(seed: u64, load: &Load) -> (usize, f64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut instances: Vec<SuspectParts> = Vec::new();
    instances.resize_with(load.instances, SuspectParts::default);
    // Arrival of messages, with the evidence and its age at that time.
    let mut messages: BTreeMap<Duration, Vec<Vec<PartEvidence>>> = BTreeMap::new();
    // Running sound requests: server, begin, instance and parts.
    let mut running: Vec<(usize, Duration, usize, Vec<PromptPart>)> = Vec::new();
    let (mut crashes, mut late, mut sound, mut refused) = (Vec::new(), 0, 0, 0);
    let mut next_crash = 0;
    let mut now = Duration::ZERO;
    let deadly_from = secs(3.0);
    while now < secs(40.0) {
        now += STEP;
        for evidence in messages.remove(&now).unwrap_or_default() {
            for instance in &mut instances {
                instance.merge(now, &evidence);
            }
        }
        let mut changed = BTreeSet::new();
        let mut crashed = Vec::new();
        if rng.random_bool(load.sound_rate * STEP.as_secs_f64()) {
            let instance = rng.random_range(0..load.instances);
            let parts = vec![FIRST, PromptPart(10 + rng.random_range(0..30))];
            sound += 1;
            match instances[instance].is_quarantined(&parts) {
                true => refused += 1,
                false => running.push((rng.random_range(0..load.servers), now, instance, parts)),
            }
        }
        if now >= deadly_from && rng.random_bool(load.deadly_rate * STEP.as_secs_f64()) {
            let instance = rng.random_range(0..load.instances);
            let parts = [FIRST, PromptPart(10 + rng.random_range(0..30)), DEADLY];
            if !instances[instance].is_quarantined(&parts) {
                let fifth = crashes.get(4).copied();
                late += usize::from(fifth.is_some_and(|at| now > at + secs(3.0)));
                crashes.push(now);
                crashed.push((rng.random_range(0..load.servers), instance, parts.to_vec()));
            }
        }
        if rng.random_bool(load.crash_rate * STEP.as_secs_f64()) {
            crashed.push((rng.random_range(0..load.servers), 0, Vec::new()));
        }
        for (server, instance, parts) in crashed {
            next_crash += 1;
            let victims = running.extract_if(.., |(s, _, _, _)| *s == server);
            let mut victims: Vec<_> = victims
                .map(|(_, sent, i, parts)| (sent, i, parts))
                .collect();
            victims.push((now.saturating_sub(RUN_TIME), instance, parts));
            for (sent, instance, parts) in victims {
                let crash = Crash {
                    id: CrashId(next_crash),
                    sent,
                    ended: now,
                };
                if instances[instance].record_crash(now, crash, &parts) {
                    changed.insert(instance);
                }
            }
        }
        for (_, _, instance, parts) in
            running.extract_if(.., |(_, begun, _, _)| now >= *begun + ANSWER_TIME)
        {
            if instances[instance].record_answer(now, &parts) {
                changed.insert(instance);
            }
        }
        for instance in changed {
            let evidence = instances[instance].recent(now, true);
            messages.entry(now + GOSSIP_DELAY).or_default().push(
                evidence
                    .into_iter()
                    .map(|e| PartEvidence {
                        crashes: e.crashes.iter().map(delayed).collect(),
                        answered: e.answered.map(|a| a + GOSSIP_DELAY),
                        ..e
                    })
                    .collect(),
            );
        }
    }
    (late, f64::from(refused) / f64::from(sound))
}

// Guards against a part of prompts that crashes one server after the other while sound requests share
// its caller and its other parts, and servers crash for other reasons as well.
#[test]
fn a_fleet_stops_a_deadly_part_and_serves_what_shares_other_parts_with_it() {
    for load in [
        Load {
            instances: 6,
            servers: 12,
            deadly_rate: 1.5,
            sound_rate: 12.0,
            crash_rate: 0.0,
        },
        Load {
            instances: 6,
            servers: 12,
            deadly_rate: 1.5,
            sound_rate: 12.0,
            crash_rate: 0.5,
        },
        Load {
            instances: 6,
            servers: 12,
            deadly_rate: 10.0,
            sound_rate: 6.0,
            crash_rate: 0.2,
        },
        Load {
            instances: 330,
            servers: 840,
            deadly_rate: 8.0,
            sound_rate: 45.0,
            crash_rate: 2.0,
        },
    ] {
        for seed in 0..30 {
            let (late, refused) = simulate(seed, &load);
            let case = format!(
                "seed {seed}, {} instances, {} deadly a second",
                load.instances, load.deadly_rate
            );
            assert!(
                late <= 3,
                "{case}: {late} late requests with the deadly part"
            );
            assert!(
                refused < 0.05,
                "{case}: {refused} of the sound requests refused"
            );
        }
    }
}
