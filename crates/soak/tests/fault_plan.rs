//! Fault plans depend only on their seed and contain every kind of fault.

use std::collections::BTreeSet;
use std::time::Duration;

use jacinthlever_soak::{FaultPlan, FleetSize};

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
    let expected = "Kill KillAll Link Pause Reload RevokeKey Server Stop Store";
    assert_eq!(kinds.into_iter().collect::<Vec<_>>().join(" "), expected);
}
