//! Streams whose callers wait for longer than a minute: what is known of them must last until then, and no longer.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use common::entry;
use jacinthlever_routing::{
    EngineRole, JournalRow, MAX_CALLER_WAIT, ServerPool, StreamId, StreamJournal, StreamOrigin,
    StreamOrigins, VersionNotes, Versions, retention_end,
};
use smol_str::SmolStr;

/// Time for which the callers wait, over all their attempts.
const WAIT: Duration = Duration::from_secs(100);

fn secs(s: u64) -> Duration {
    Duration::from_secs(s)
}

fn ms(time: Duration) -> u64 {
    time.as_millis() as u64
}

fn origin(version: &str) -> StreamOrigin {
    StreamOrigin {
        service: Some("service".into()),
        version: version.into(),
    }
}

// Guards against a stream of which nobody knows any more while its caller still waits: the record was dropped
// after a fixed minute.
#[test]
fn a_stream_is_known_until_its_caller_gives_up() {
    let mut origins = StreamOrigins::default();
    let until = retention_end(secs(1), secs(1) + WAIT);
    origins.record(secs(1), StreamId(1), origin("v1"), until);
    for s in 2..=101 {
        let short = retention_end(secs(s), secs(s + 4));
        origins.record(secs(s), StreamId(s), origin("v2"), short);
    }
    let known = origins.find(StreamId(1)).map(|(origin, _)| origin.clone());
    assert_eq!(known, Some(origin("v1")));
    origins.record(secs(150), StreamId(200), origin("v2"), secs(300));
    assert_eq!(origins.find(StreamId(1)), None);
}

// Guards against memory that callers can have held for as long as they like, by the deadline that they state.
#[test]
fn a_deadline_of_any_length_is_followed_for_an_hour_at_most() {
    let until = retention_end(secs(1), Duration::MAX);
    assert!(until <= secs(1) + MAX_CALLER_WAIT + secs(5));
    let mut origins = StreamOrigins::default();
    for n in 0..100_000 {
        origins.record(secs(1), StreamId(n), origin("v1"), until);
    }
    let known = (0..100_000).filter(|n| origins.find(StreamId(*n)).is_some());
    assert!(known.count() <= 16 * 1024);
}

// Guards against streams with long deadlines that make an instance forget the ones whose callers are about to
// come back: the oldest record was dropped first.
#[test]
fn if_there_are_too_many_streams_those_are_forgotten_whose_callers_give_up_first() {
    let mut origins = StreamOrigins::default();
    origins.record(secs(1), StreamId(0), origin("v1"), secs(200));
    for n in 1..20_000 {
        origins.record(secs(2), StreamId(n), origin("v1"), secs(100));
    }
    assert!(origins.find(StreamId(0)).is_some());
}

// Guards against rows of records that are replaced while callers may take up their streams, and against more of
// them than that needs.
#[test]
fn the_rows_in_the_store_have_all_streams_whose_callers_wait() {
    let mut journal = StreamJournal::default();
    let mut store: BTreeMap<u32, JournalRow> = BTreeMap::new();
    let mut began = Vec::new();
    for tick in 0..3000 {
        let now = Duration::from_millis(tick * 100);
        // One stream in four has a caller that waits for long.
        let wait = if tick % 4 == 0 { WAIT } else { secs(14) };
        let until = retention_end(now, now + wait);
        journal.push(now, StreamId(tick), origin("v1"), until);
        began.push((tick, now + wait));
        while let Some(row) = journal.next_row() {
            store.insert(row.index, row);
        }
        let is_stored = |stream: u64| {
            let mut streams = store.values().flat_map(|row| row.streams.values());
            streams.any(|list| list.contains(&StreamId(stream)))
        };
        if tick % 97 == 0 {
            let waiting = began.iter().filter(|(_, deadline)| now < *deadline);
            let lost: Vec<_> = waiting.filter(|(n, _)| !is_stored(*n)).collect();
            assert!(lost.is_empty(), "at {now:?}: {lost:?}");
        }
    }
    assert!(store.len() <= 24, "{} rows", store.len());
}

// Guards against records that pile up without a bound while the store takes no writes.
#[test]
fn records_that_wait_for_the_store_are_bounded() {
    let mut journal = StreamJournal::default();
    for n in 0..200_000 {
        let now = Duration::from_millis(n);
        journal.push(now, StreamId(n), origin("v1"), now + secs(3600));
    }
    let mut waiting = 0;
    while let Some(row) = journal.next_row() {
        waiting += row.len();
    }
    assert!(waiting <= 40_000, "{waiting} streams wait");
    assert_eq!(waiting + journal.take_dropped(), 200_000);
}

/// Returns a pool with an engine of each version, as of an instance that is not the first to run.
fn pool(versions: &[&str]) -> ServerPool {
    let mut pool = ServerPool::default();
    pool.keep_notes(VersionNotes::new(false));
    for version in versions {
        let mut engine = entry(version, "north", Some(EngineRole::Decode));
        engine.version = (*version).into();
        pool.register(engine);
    }
    pool.remove_expired(Duration::ZERO);
    pool
}

fn set_stored(pool: &mut ServerPool, stored: Versions) {
    pool.notes_mut().expect("no notes").set_stored(stored);
}

/// Writes what the store lacks, as seen by an instance whose clock shows the store's time; returns whether there was
/// anything.
fn write(pool: &mut ServerPool, now: Duration, stored: &mut Versions) -> bool {
    set_stored(pool, stored.clone());
    pool.remove_expired(now);
    pool.forget_versions(now, ms(now));
    let changes = pool.note_changes(now, ms(now));
    let has_changes = !changes.is_empty();
    for (subject, list) in changes {
        stored.insert(subject.clone(), list.clone());
        let notes = pool.notes_mut().expect("no notes");
        notes.set_stored_of(subject, list);
    }
    has_changes
}

fn is_listed(stored: &Versions, version: &str) -> bool {
    let list = stored.get("service");
    list.is_some_and(|list| list.contains_key(version))
}

// Guards against streams that are joined from two versions: the list of versions was cut a minute after the last
// engine of a version had left, and the only version left was taken for the one that began the stream.
#[test]
fn a_version_is_listed_until_no_caller_can_take_up_its_streams() {
    let mut stored = Versions::new();
    let mut first = pool(&["v1"]);
    // The route allows so much up to 20 s; then its time is cut, and the streams go on.
    for s in 1..=30 {
        let now = secs(s);
        if s <= 20 {
            first.await_callers("service", &"split".into(), ms(now + WAIT), ms(WAIT));
        }
        write(&mut first, now, &mut stored);
        let is_covered = first.is_listed_until("service", ms(now + WAIT));
        assert!(s > 20 || is_covered, "not listed at {s} s");
        if s == 25 {
            first.unregister(now, "v1", false);
            let mut engine = entry("v2", "north", Some(EngineRole::Decode));
            engine.version = "v2".into();
            first.register(engine);
        }
    }
    // All instances are replaced by ones that know only what the store lists.
    let mut second = pool(&["v2"]);
    let mut gone_at = None;
    for s in 31..=600 {
        write(&mut second, secs(s), &mut stored);
        let is_mixed = second.is_mixed("service");
        assert_eq!(is_mixed, is_listed(&stored, "v1"), "at {s} s");
        if !is_mixed {
            gone_at.get_or_insert(s);
        }
    }
    let gone_at = gone_at.expect("v1 is listed for ever");
    assert!((120..=330).contains(&gone_at), "taken off at {gone_at} s");
}

// Guards against a list that is written for each stream, or that a stream has to wait for, while callers with long
// deadlines come all the time.
#[test]
fn callers_with_long_deadlines_cost_few_writes() {
    let mut stored = Versions::new();
    let mut pool = pool(&["v1"]);
    let (mut writes, mut waits) = (0, 0);
    for tick in 10..6000 {
        let now = Duration::from_millis(tick * 100);
        pool.await_callers("service", &"split".into(), ms(now + WAIT), ms(WAIT));
        waits += u32::from(!pool.is_listed_until("service", ms(now + WAIT)));
        writes += u32::from(write(&mut pool, now, &mut stored));
    }
    assert!(writes <= 14, "{writes} writes in 10 minutes");
    assert!(waits <= 1, "{waits} streams waited");
}

// Guards against a list that an instance of an older build cuts, since it knows nothing of deadlines.
#[test]
fn a_version_that_an_older_build_takes_off_the_list_is_listed_again() {
    let mut stored = Versions::new();
    let mut pool = pool(&["v1"]);
    pool.await_callers("service", &"split".into(), ms(secs(1) + WAIT), ms(WAIT));
    write(&mut pool, secs(1), &mut stored);
    pool.unregister(secs(2), "v1", false);
    let mut engine = entry("v2", "north", Some(EngineRole::Decode));
    engine.version = "v2".into();
    pool.register(engine);
    write(&mut pool, secs(3), &mut stored);
    let cut = BTreeMap::from([(SmolStr::new("v2"), 0)]);
    stored.insert("service".into(), cut);
    assert!(write(&mut pool, secs(70), &mut stored));
    assert!(is_listed(&stored, "v1") && pool.is_mixed("service"));
}
