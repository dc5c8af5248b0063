//! Loads that servers state, as instances tell each other: messages that are late, lost or repeated,
//! restarted servers, and figures that cannot be right.

mod common;

use std::time::Duration;

use common::{entry, pick};
use jacinthlever_routing::{
    CallOutcome, LoadOrigin, LoadStatement, MAX_SHARED_LOADS, ServerEntry, ServerKey, ServerPool,
    max_reported_loads, report_interval,
};

const NOW: Duration = Duration::from_secs(10);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn stated(load: u32, age_ms: u64) -> LoadStatement {
    LoadStatement {
        load,
        slowdown: None,
        stated_at: NOW - ms(age_ms),
    }
}

fn pool<const N: usize>(ids: [&str; N]) -> (ServerPool, [ServerKey; N]) {
    let mut pool = ServerPool::default();
    let keys = ids.map(|id| pool.register(entry(id, "a", None)));
    (pool, keys)
}

fn load(pool: &ServerPool, key: ServerKey, now: Duration) -> u32 {
    pool.get(key).expect("a server").load(now)
}

/// Guards against a late or repeated message that replaces newer knowledge.
#[test]
fn the_fresher_statement_wins_and_expires() {
    let (mut pool, [key]) = pool(["a"]);
    pool.merge_load("a", stated(9, 100), LoadOrigin::Zone);
    pool.merge_load("a", stated(20, 300), LoadOrigin::Zone);
    pool.merge_load("a", stated(20, 100), LoadOrigin::Zone);
    pool.merge_load("gone", stated(20, 0), LoadOrigin::Zone);
    assert_eq!(load(&pool, key, NOW), 9);
    let server = pool.get_mut(key).expect("a server");
    server.record_load(stated(3, 0), LoadOrigin::Own);
    assert_eq!(load(&pool, key, NOW), 3);
    assert_eq!(load(&pool, key, NOW + ms(599)), 3);
    assert_eq!(load(&pool, key, NOW + ms(600)), 0);
}

/// Guards against an instance that is cut off from its peers and refuses or stalls.
#[test]
fn a_high_shared_load_never_takes_the_last_server_away() {
    let (mut pool, [key]) = pool(["a"]);
    pool.merge_load("a", stated(u32::MAX, 0), LoadOrigin::Zone);
    assert_eq!(pool.pick_plain_by_cost(&pick(NOW, &[]), || 0.5), Some(key));
    assert_eq!(pool.wait_while_full(&pick(NOW, &[]), ms(150), 0.0), None);
}

/// Guards against messages that grow with the fleet, or repeat what was sent or is too old.
#[test]
fn messages_have_few_fresh_loads_of_the_right_origin() {
    let mut pool = ServerPool::default();
    for i in 0..100_u64 {
        let id = format!("server-{i}");
        let key = pool.register(ServerEntry {
            service: if i < 80 { "service" } else { "model" }.into(),
            ..entry(&id, "a", None)
        });
        let origin = match i % 2 {
            0 => LoadOrigin::Own,
            _ => LoadOrigin::Zone,
        };
        let server = pool.get_mut(key).expect("a server");
        server.record_load(stated(i as u32, 10 * i), origin);
    }
    let is_plain = |service: &str| service == "service";
    let all = pool.loads_to_share(
        NOW,
        Duration::ZERO,
        LoadOrigin::Zone,
        MAX_SHARED_LOADS,
        is_plain,
    );
    assert_eq!(all.len(), MAX_SHARED_LOADS);
    assert!(all.iter().all(|(_, s)| s.age(NOW) < ms(600) && s.load < 32));
    let own = pool.loads_to_share(
        NOW,
        NOW - ms(100),
        LoadOrigin::Own,
        MAX_SHARED_LOADS,
        is_plain,
    );
    let loads: Vec<u32> = own.iter().map(|(_, s)| s.load).collect();
    assert_eq!(loads, [0, 2, 4, 6, 8]);
}

/// Guards against reports that take more than half of what an instance may send, with 20 bytes for a load.
#[test]
fn reports_to_many_peers_have_few_loads() {
    for peers in 1..=110 {
        let interval = report_interval(peers);
        let loads = max_reported_loads(peers, interval);
        let sent = (20 * loads * peers) as f64 / interval.as_secs_f64();
        assert!(sent <= 4000.0, "{peers} peers: {loads}");
    }
    assert_eq!(max_reported_loads(1, report_interval(1)), 30);
}

/// Guards against loads that zones send back to where they come from.
#[test]
fn loads_of_other_zones_are_not_shared_again() {
    let (mut pool, [key]) = pool(["a"]);
    pool.merge_load("a", stated(5, 10), LoadOrigin::OtherZone);
    let to_share = |pool: &ServerPool| {
        let loads = pool.loads_to_share(NOW, Duration::ZERO, LoadOrigin::Zone, 8, |_| true);
        loads.len()
    };
    assert_eq!((to_share(&pool), load(&pool, key, NOW)), (0, 5));
    pool.merge_load("a", stated(6, 5), LoadOrigin::Zone);
    assert_eq!(to_share(&pool), 1);
}

/// Guards against rates of a process that no longer exists, or of a machine that was faster then.
#[test]
fn learned_rates_end_with_the_process_and_with_its_speed() {
    let answered = CallOutcome::Answered { latency: ms(90) };
    let (mut pool, [key]) = pool(["a"]);
    let state = |slowdown: f64, at: u64| LoadStatement {
        load: 1,
        slowdown: Some(slowdown),
        stated_at: NOW + ms(at),
    };
    let server = pool.get_mut(key).expect("a server");
    server.record_load(state(1.0, 0), LoadOrigin::Own);
    server.record_outcome(NOW, answered);
    assert!(!server.record_load(state(1.4, 1), LoadOrigin::Own));
    assert!(server.mean_latency_s().is_some());
    assert!(server.record_load(state(1.5, 2), LoadOrigin::Own));
    assert_eq!(server.mean_latency_s(), None);
    server.record_prefill(3000, ms(900));
    let learned = server.expected_prefill_time(NOW, 3000);
    assert!(server.record_load(state(0.7, 3), LoadOrigin::Zone));
    assert!(server.expected_prefill_time(NOW, 3000) < learned);
    server.record_outcome(NOW, answered);
    let restarted = pool.register(ServerEntry {
        started_ms: Some(2),
        ..entry("a", "a", None)
    });
    let server = pool.get(restarted).expect("a server");
    assert_eq!((server.mean_latency_s(), server.load(NOW)), (None, 0));
}

/// Guards against servers that are sent equal shares although one takes three times as long, and against
/// requests to servers that have just refused one.
#[test]
fn slow_and_full_servers_come_later() {
    let (mut pool, [slow, fast]) = pool(["slow", "fast"]);
    for (key, slowdown) in [(slow, 3.0), (fast, 1.0)] {
        let statement = LoadStatement {
            slowdown: Some(slowdown),
            ..stated(4, 0)
        };
        let server = pool.get_mut(key).expect("a server");
        server.record_load(statement, LoadOrigin::Own);
    }
    assert_eq!(pool.pick_plain_by_cost(&pick(NOW, &[]), || 0.0), Some(fast));
    pool.record_outcome(NOW, fast, CallOutcome::NoCapacity);
    assert_eq!(pool.pick_plain_by_cost(&pick(NOW, &[]), || 0.0), Some(slow));
}

/// Guards against a wait that uses up the target, or that is made although a server may have room.
#[test]
fn a_request_waits_only_if_all_servers_are_full_and_it_can_be_in_time() {
    let (mut pool, [a, b]) = pool(["a", "b"]);
    let wait = |pool: &ServerPool, left, draw| pool.wait_while_full(&pick(NOW, &[]), left, draw);
    pool.record_outcome(NOW - ms(30), a, CallOutcome::NoCapacity);
    assert_eq!(wait(&pool, ms(150), 0.0), None);
    pool.record_outcome(NOW, b, CallOutcome::NoCapacity);
    assert_eq!(wait(&pool, ms(150), 0.0), Some(ms(50)));
    assert_eq!(wait(&pool, ms(150), 1.0), Some(ms(25)));
    assert_eq!(wait(&pool, ms(60), 0.0), Some(ms(30)));
    assert_eq!(wait(&pool, Duration::ZERO, 0.0), None);
    pool.record_outcome(NOW, b, CallOutcome::Answered { latency: ms(120) });
    assert_eq!(wait(&pool, ms(150), 0.0), None);
    assert_eq!(wait(&pool, ms(300), 0.0), Some(ms(50)));
}

/// Guards against a server that refuses requests and draws them, since it states that it is idle.
#[test]
fn the_load_of_a_server_that_refuses_with_free_slots_is_not_used() {
    let (mut pool, [idle, busy]) = pool(["idle", "busy"]);
    for (key, load) in [(idle, 0), (busy, 6)] {
        let server = pool.get_mut(key).expect("a server");
        server.record_load(stated(load, 0), LoadOrigin::Own);
    }
    pool.record_outcome(NOW, busy, CallOutcome::NoCapacity);
    pool.record_outcome(NOW, idle, CallOutcome::NoCapacity);
    let known = |key| pool.get(key).expect("a server").shared_load().trusted(NOW);
    assert_eq!(known(idle), None);
    assert!(known(busy).is_some());
}
