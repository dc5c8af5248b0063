//! Traffic splits of routes under which streams may have begun, as they are listed for instances that start.

use std::collections::BTreeSet;
use std::time::Duration;

use jacinthlever_routing::{Listed, ROUTE_SPLITS, ServerPool, VersionNotes, Versions};
use smol_str::SmolStr;

fn secs(s: u64) -> Duration {
    Duration::from_secs(s)
}

fn splits(names: &[&str]) -> BTreeSet<SmolStr> {
    names.iter().map(SmolStr::new).collect()
}

fn start() -> ServerPool {
    let mut pool = ServerPool::default();
    pool.keep_notes(VersionNotes::new(false));
    pool.notes_mut()
        .expect("no notes")
        .set_stored(Versions::new());
    pool
}

/// Writes what the store lacks, and returns the list of splits if it was written.
fn write(pool: &mut ServerPool, now: Duration) -> Option<Listed> {
    let store_ms = now.as_millis() as u64;
    pool.remove_expired(now);
    pool.forget_versions(now, store_ms);
    let list = pool.note_changes(now, store_ms).remove(ROUTE_SPLITS)?;
    let notes = pool.notes_mut().expect("no notes");
    notes.set_stored_of(ROUTE_SPLITS.into(), list.clone());
    Some(list)
}

fn names(list: Option<Listed>) -> Option<BTreeSet<SmolStr>> {
    list.map(|list| list.into_keys().collect())
}

// Guards against calls to the store for routes whose streams have only one service, and whose service stays.
#[test]
fn nothing_is_listed_without_a_split_or_a_change() {
    let mut pool = start();
    pool.set_route_splits(secs(1), BTreeSet::new(), BTreeSet::new());
    assert_eq!(write(&mut pool, secs(2)), None);
}

// Guards against an instance that starts after the weights have changed, and takes the present split for the one under
// which all streams have begun.
#[test]
fn a_split_stays_listed_for_a_minute_after_it_was_replaced() {
    let mut pool = start();
    pool.set_route_splits(secs(1), splits(&["first"]), BTreeSet::new());
    assert_eq!(names(write(&mut pool, secs(1))), Some(splits(&["first"])));
    pool.set_route_splits(secs(30), splits(&["second"]), splits(&["first"]));
    let both = splits(&["first", "second"]);
    assert_eq!(names(write(&mut pool, secs(30))), Some(both.clone()));
    assert_eq!(write(&mut pool, secs(89)), None);
    assert_eq!(pool.versions(ROUTE_SPLITS).len(), 2);
    assert_eq!(names(write(&mut pool, secs(91))), Some(splits(&["second"])));
    // The route leads to one service again, and nothing needs to be listed in the end.
    pool.set_route_splits(secs(100), BTreeSet::new(), splits(&["second"]));
    assert_eq!(write(&mut pool, secs(110)), None);
    assert_eq!(names(write(&mut pool, secs(161))), Some(splits(&[])));
    assert!(pool.versions(ROUTE_SPLITS).is_empty());
}

// Guards against a split that is taken off the list while callers wait for streams that began under it.
#[test]
fn a_split_stays_listed_until_no_caller_can_take_up_its_streams() {
    let mut pool = start();
    let first = SmolStr::new("first");
    pool.set_route_splits(secs(1), splits(&["first"]), BTreeSet::new());
    pool.await_callers("service", &first, 200_000, 100_000);
    write(&mut pool, secs(1));
    pool.set_route_splits(secs(2), splits(&["second"]), splits(&["first"]));
    write(&mut pool, secs(2));
    for s in 3..200 {
        write(&mut pool, secs(s));
        assert_eq!(pool.versions(ROUTE_SPLITS).len(), 2, "at {s} s");
    }
    (300..420).for_each(|s| drop(write(&mut pool, secs(s))));
    assert_eq!(pool.versions(ROUTE_SPLITS).len(), 1);
}

// Guards against a row that the store refuses for its size, after which nothing would be listed any more.
#[test]
fn too_many_splits_are_listed_as_one_from_which_nothing_is_inferred() {
    let mut pool = start();
    let many: Vec<String> = (0..5000).map(|n| format!("split {n}")).collect();
    let many = many.iter().map(SmolStr::new).collect();
    pool.set_route_splits(secs(1), many, BTreeSet::new());
    let listed = names(write(&mut pool, secs(1))).expect("nothing is listed");
    assert_eq!(listed, splits(&["too many"]));
}
