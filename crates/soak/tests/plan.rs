//! Plans are drawn from their seed alone, and reach every kind of fault.

use std::collections::BTreeSet;
use std::time::Duration;

use jacinthlever_soak::{Fleet, Plan};

const FLEET: Fleet = Fleet {
    instances: 6,
    servers: 8,
};

#[test]
fn equal_seeds_give_equal_plans() {
    let length = Duration::from_secs(20);
    assert_eq!(Plan::draw(7, length, FLEET), Plan::draw(7, length, FLEET));
    assert_ne!(Plan::draw(7, length, FLEET), Plan::draw(8, length, FLEET));
}

#[test]
fn every_kind_of_fault_is_drawn_and_ends_within_the_run() {
    let length = Duration::from_secs(20);
    let mut kinds = BTreeSet::new();
    for seed in 0..100 {
        for strike in Plan::draw(seed, length, FLEET).strikes {
            assert!(strike.at + strike.lasts <= length, "{strike:?}");
            let name = format!("{:?}", strike.fault);
            kinds.insert(name.split([' ', '(', '{']).next().unwrap_or("").to_string());
        }
    }
    let wanted = "Kill KillAll Link Pause Reload Server Stop Store Withdraw";
    assert_eq!(kinds.into_iter().collect::<Vec<_>>().join(" "), wanted);
}
