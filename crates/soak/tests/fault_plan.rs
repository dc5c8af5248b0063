//! Fault plans depend only on their seed and contain every kind of fault.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use jacinthlever_soak::{Fault, FaultPlan, FleetSize, LinkFault, PlannedFault, ServerFault};

const FLEET: FleetSize = FleetSize {
    instances: 6,
    servers: 8,
};

#[test]
fn equal_seeds_give_equal_plans() {
    let length = Duration::from_secs(20);
    assert_eq!(
        FaultPlan::generate(7, length, FLEET),
        FaultPlan::generate(7, length, FLEET)
    );
    assert_ne!(
        FaultPlan::generate(7, length, FLEET),
        FaultPlan::generate(8, length, FLEET)
    );
}

#[test]
fn every_kind_of_fault_occurs_and_ends_within_the_run() {
    let length = Duration::from_secs(20);
    let mut kinds = BTreeSet::new();
    for seed in 0..100 {
        for planned in FaultPlan::generate(seed, length, FLEET).faults {
            assert!(planned.at + planned.duration <= length, "{planned:?}");
            let name = format!("{:?}", planned.fault);
            kinds.insert(name.split([' ', '(', '{']).next().unwrap_or("").to_string());
        }
    }
    let expected =
        "Evacuate Kill KillAll Link Pause Reconfigure Reload RevokeKey Server Stop Store";
    assert_eq!(kinds.into_iter().collect::<Vec<_>>().join(" "), expected);
}

/// Guards against silences that keep the checks of limits and restraints from looking: a period with
/// another fault of its server is left out.
#[test]
fn a_server_with_a_limit_or_a_restraint_is_silent_in_streams_only() {
    let length = Duration::from_secs(20);
    let mut forms = [0; 2];
    for seed in 0..100 {
        let faults = FaultPlan::generate(seed, length, FLEET).faults;
        for silence in &faults {
            let Fault::Server { server, fault } = silence.fault else {
                continue;
            };
            match fault {
                ServerFault::SilentStreams { time, .. } => {
                    forms[0] += 1;
                    assert!((800..=2500).contains(&time.as_millis()), "{silence:?}");
                }
                ServerFault::SilentAnswers(time) => {
                    forms[1] += 1;
                    assert!((800..=2500).contains(&time.as_millis()), "{silence:?}");
                    let is_beside = |other: &&PlannedFault| {
                        let asks = matches!(
                            other.fault,
                            Fault::Server {
                                server: s,
                                fault: ServerFault::NameLimit(_) | ServerFault::Restrain(_),
                            } if s == server
                        );
                        let until = silence.at + silence.duration + time;
                        asks && other.at < until && silence.at < other.at + other.duration
                    };
                    assert_eq!(faults.iter().find(is_beside), None, "{silence:?}");
                }
                _ => {}
            }
        }
    }
    assert!(forms.iter().all(|count| *count > 50), "{forms:?}");
}

#[test]
fn cuts_from_all_servers_last_three_to_six_seconds_and_leave_an_instance() {
    let length = Duration::from_secs(20);
    let mut sizes = BTreeSet::new();
    let mut forms = BTreeSet::new();
    for seed in 0..100 {
        let mut cuts: Vec<(PlannedFault, BTreeSet<usize>)> = Vec::new();
        for planned in FaultPlan::generate(seed, length, FLEET).faults {
            if let Fault::Link(LinkFault::Servers { instance }, form) = planned.fault {
                forms.insert(format!("{form:?}"));
                match cuts.last_mut().filter(|(cut, _)| cut.at == planned.at) {
                    Some((_, instances)) => assert!(instances.insert(instance)),
                    None => cuts.push((planned, BTreeSet::from([instance]))),
                }
            }
        }
        assert_eq!(cuts.is_empty(), seed % 3 == 0);
        for (cut, instances) in &cuts {
            assert!((3000..=6000).contains(&cut.duration.as_millis()));
            assert!(instances.len() < FLEET.instances);
            sizes.insert(instances.len());
        }
        for pair in cuts.windows(2) {
            assert!(pair[0].0.at + pair[0].0.duration < pair[1].0.at);
        }
    }
    assert_eq!(sizes.into_iter().collect::<Vec<_>>(), [1, 2, 3, 4, 5]);
    assert_eq!(forms.len(), 5);
}

#[test]
fn a_single_instance_is_never_cut_from_all_servers() {
    let fleet = FleetSize {
        instances: 1,
        ..FLEET
    };
    let plan = FaultPlan::generate(1, Duration::from_secs(20), fleet);
    let is_cut =
        |planned: &PlannedFault| matches!(planned.fault, Fault::Link(LinkFault::Servers { .. }, _));
    assert!(!plan.faults.iter().any(is_cut));
}

// Guards against copies at a part of the servers only: no request would be sent to the same server again.
#[test]
fn all_servers_repeat_answers_at_the_same_time() {
    let length = Duration::from_secs(20);
    for seed in 0..20 {
        let mut counts = BTreeMap::new();
        for planned in FaultPlan::generate(seed, length, FLEET).faults {
            if let Fault::Server {
                fault: ServerFault::RepeatAnswers,
                ..
            } = planned.fault
            {
                *counts.entry(planned.at).or_insert(0) += 1;
            }
        }
        assert_eq!(counts.is_empty(), !matches!(seed % 5, 2 | 3));
        assert!(counts.values().all(|count| *count == FLEET.servers));
    }
}
