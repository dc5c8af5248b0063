//! Evacuations of zones whose news arrive late, twice, out of order or not at all.

use std::collections::BTreeSet;

use jacinthlever_routing::{EvacuationStatement, Evacuations};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smol_str::SmolStr;

const SEEDS: u64 = 200;
const ZONES: [&str; 3] = ["a", "b", "c"];

fn merge_all(from: &[(SmolStr, EvacuationStatement)], into: &mut Evacuations) {
    for (zone, statement) in from {
        into.merge(zone, *statement);
    }
}

/// Guards against instances that disagree on which zones are evacuated, or bring an evacuation back that
/// has ended: one instance reads the store, all send what they know to random others, some messages arrive
/// late, and some instances start again.
#[test]
fn instances_agree_with_the_newest_row_once_news_has_arrived() {
    for seed in 0..SEEDS {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let count = rng.random_range(2..40);
        let mut fleet = vec![Evacuations::default(); count];
        let mut rows: Vec<(SmolStr, EvacuationStatement)> = Vec::new();
        let mut late: Vec<(usize, Vec<(SmolStr, EvacuationStatement)>)> = Vec::new();
        for version in 1..60 {
            let zone: SmolStr = ZONES[rng.random_range(0..ZONES.len())].into();
            let is_active = rng.random_bool(0.5);
            rows.retain(|(z, _)| *z != zone);
            rows.push((zone, EvacuationStatement { version, is_active }));
            merge_all(&rows, &mut fleet[0]);
            for evacuations in &fleet {
                let statements = evacuations.statements();
                let known = statements.map(|(zone, s)| (zone.clone(), s)).collect();
                late.push((rng.random_range(0..count), known));
            }
            if rng.random_bool(0.1) {
                let restarted = rng.random_range(1..count);
                fleet[restarted] = Evacuations::default();
            }
            while late.len() > 2 * count {
                let (to, known) = late.swap_remove(rng.random_range(0..late.len()));
                merge_all(&known, &mut fleet[to]);
            }
        }
        // All that is still under way arrives after the newest rows.
        fleet.iter_mut().for_each(|e| merge_all(&rows, e));
        for (to, known) in late {
            merge_all(&known, &mut fleet[to]);
        }
        for (zone, newest) in &rows {
            let agree = fleet
                .iter()
                .all(|e| e.is_evacuated(zone) == newest.is_active);
            assert!(agree, "seed {seed}, zone {zone}");
        }
    }
}

/// Guards against an evacuation that goes on for good since its removal was missed, and against a read that
/// is older than the evacuation and ends it.
#[test]
fn a_complete_read_ends_the_evacuations_that_it_does_not_have() {
    let mut evacuations = Evacuations::default();
    let at = |version| EvacuationStatement {
        version,
        is_active: true,
    };
    evacuations.merge(&"a".into(), at(5));
    evacuations.merge(&"b".into(), at(20));
    evacuations.merge(&"c".into(), at(7));
    let present = BTreeSet::from(["c".into()]);
    assert_eq!(evacuations.missing(&present, 10), ["a"]);
    assert_eq!(evacuations.active_count(), 3);
}
