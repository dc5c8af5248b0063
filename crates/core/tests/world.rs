//! A complete run on the virtual clock without faults.

use std::time::Duration;

use jacinthlever_fakes::{Deployment, RouterKind, Script, World, invariant_violations};

#[test]
fn a_fleet_without_faults_answers_every_request() {
    let mut world = World::new(Deployment::cuenca(), RouterKind::Core, 1);
    assert!(world.settle(), "the fleet did not settle: {:?}", world.log);
    let mut callers = Vec::new();
    for number in 0..200u64 {
        let at = world.now + Duration::from_millis(50 * number);
        let script = Script::model("key-of-north", 400, 40, 100).content(number.to_string());
        callers.push(world.submit_at(at, number as usize % 6, script));
    }
    world.run_for(Duration::from_secs(20));
    for caller in callers {
        let outcome = world.outcome(caller);
        assert!(outcome.is_complete(), "{outcome:?}");
    }
    assert_eq!(invariant_violations(&mut world), Vec::<String>::new());
}
