//! Registrations that change, lapse and come back.

mod common;

use std::time::Duration;

use common::{entry, pick};
use jacinthlever_routing::{ServerPool, ServerState, StaleRows};

const NOW: Duration = Duration::from_secs(10);

#[test]
fn a_draining_server_gets_no_work() {
    let mut pool = ServerPool::default();
    pool.register(entry("one", "a", None));
    let mut leaving = entry("one", "a", None);
    leaving.state = ServerState::Draining;
    pool.register(leaving);
    assert_eq!(pool.pick_plain(&pick(NOW, &[])), None);
}

#[test]
fn a_server_that_is_gone_while_the_store_is_there_gets_no_work() {
    let mut pool = ServerPool::default();
    pool.register(entry("one", "a", None));
    pool.unregister(NOW, "one", false);
    assert_eq!(pool.pick_plain(&pick(NOW, &[])), None);
}

#[test]
fn a_registration_that_lapsed_with_the_store_is_used_until_it_should_be_back() {
    let mut pool = ServerPool::default();
    let key = pool.register(entry("one", "a", None));
    pool.unregister(NOW, "one", true);
    assert_eq!(pool.pick_plain(&pick(NOW, &[])), Some(key));
    pool.remove_expired(NOW + Duration::from_millis(1900));
    assert_eq!(pool.pick_plain(&pick(NOW, &[])), Some(key));
    pool.remove_expired(NOW + Duration::from_millis(2000));
    assert_eq!(pool.pick_plain(&pick(NOW, &[])), None);
}

#[test]
fn a_registration_that_is_back_stays() {
    let mut pool = ServerPool::default();
    let key = pool.register(entry("one", "a", None));
    pool.unregister(NOW, "one", true);
    pool.register(entry("one", "a", None));
    pool.remove_expired(NOW + Duration::from_secs(60));
    assert_eq!(pool.pick_plain(&pick(NOW, &[])), Some(key));
}

#[test]
fn a_server_that_leaves_by_its_own_word_does_not_lapse() {
    let mut pool = ServerPool::default();
    let mut leaving = entry("one", "a", None);
    leaving.state = ServerState::Draining;
    pool.register(leaving);
    pool.unregister(NOW, "one", true);
    assert_eq!(pool.iter().count(), 0);
}

#[test]
fn a_server_that_starts_anew_under_its_name_has_no_past() {
    let mut pool = ServerPool::default();
    let before = pool.register(entry("one", "a", None));
    if let Some(server) = pool.get_mut(before) {
        server.own_tokens = 9_000;
    }
    let mut restarted = entry("one", "a", None);
    restarted.started_ms = Some(2);
    let after = pool.register(restarted);
    assert_ne!(before, after);
    assert_eq!(pool.get(after).map(|s| s.reserved_tokens(NOW)), Some(0));
}

/// Instances that are replaced day after day leave their rows in the store.
#[test]
fn a_row_that_nobody_renews_is_abandoned_after_some_reads() {
    let mut rows = StaleRows::default();
    for renewed in 10..13 {
        let read = [("gone".into(), 7), ("alive".into(), renewed)];
        assert!(rows.observe(&read).is_empty(), "{renewed}");
    }
    let read = [("gone".into(), 7), ("alive".into(), 13)];
    assert_eq!(rows.observe(&read), [("gone".into(), 7)]);
}

#[test]
fn a_row_that_is_renewed_or_written_anew_counts_from_the_start() {
    let mut rows = StaleRows::default();
    let read = |version| [("late".into(), version)];
    for _ in 0..3 {
        assert!(rows.observe(&read(7)).is_empty());
    }
    assert!(rows.observe(&read(8)).is_empty());
    assert!(rows.observe(&[]).is_empty());
    assert!(rows.observe(&read(8)).is_empty());
}
