//! From 5 s after an evacuation was accepted until it is revoked, instances in touch send nothing there.

use std::time::Duration;

use jacinthlever_soak::{
    Evacuation, Fault, Impairment, InjectedFault, LinkFault, StoreFault, ZoneArrival,
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Whether a request of instance 1 that reaches server 2 of the zone at a time is reported, beside a fault
/// from 11 s to 12 s. The zone is evacuated from 10 s to 20 s.
fn is_reported(at: u64, fault: Option<Fault>) -> bool {
    let evacuation = Evacuation {
        from: ms(10_000),
        until: ms(20_000),
    };
    let arrival = ZoneArrival {
        instance: 1,
        server: 2,
        is_evacuated: true,
        at: ms(at),
    };
    let injected = fault.map(|fault| InjectedFault {
        from: ms(11_000),
        ending: ms(12_000),
        until: ms(12_000),
        ..InjectedFault::new(fault)
    });
    let faults: Vec<InjectedFault> = injected.into_iter().collect();
    evacuation.violation(&[arrival], &faults).is_some()
}

/// Guards against a check that expects too much too early, or looks away too long.
#[test]
fn requests_count_from_five_seconds_on_until_the_revocation() {
    assert!(!is_reported(14_999, None));
    assert!(is_reported(15_000, None));
    assert!(is_reported(19_999, None));
    assert!(!is_reported(20_000, None));
}

/// Guards against a check that excuses an instance for the faults of others, or for longer than 5 s.
#[test]
fn faults_of_the_instance_the_store_and_the_link_excuse_for_five_seconds() {
    let store = |instance| Fault::Link(LinkFault::Store { instance }, Impairment::Stall);
    let link = |server| Fault::Link(LinkFault::Server { server }, Impairment::Stall);
    for fault in [
        Fault::KillAll,
        Fault::Pause { instance: 1 },
        store(1),
        link(2),
    ] {
        assert!(!is_reported(16_999, Some(fault)), "{fault:?}");
        assert!(is_reported(17_001, Some(fault)), "{fault:?}");
    }
    for fault in [
        Fault::Pause { instance: 2 },
        store(2),
        link(1),
        Fault::Reload { instance: 1 },
    ] {
        assert!(is_reported(16_000, Some(fault)), "{fault:?}");
    }
}

/// Guards against a check that excuses an instance that loses touch after it has learned of an evacuation.
#[test]
fn what_is_known_stays_in_force() {
    let evacuation = Evacuation {
        from: ms(5000),
        until: ms(20_000),
    };
    let arrival = ZoneArrival {
        instance: 1,
        server: 2,
        is_evacuated: true,
        at: ms(13_000),
    };
    let is_reported = |fault| {
        let injected = InjectedFault {
            from: ms(11_000),
            ending: ms(12_000),
            until: ms(12_000),
            ..InjectedFault::new(fault)
        };
        evacuation.violation(&[arrival], &[injected]).is_some()
    };
    assert!(is_reported(Fault::Store(StoreFault::Unresponsive)));
    assert!(!is_reported(Fault::Store(StoreFault::Restore)));
    assert!(!is_reported(Fault::Kill { instance: 1 }));
}
