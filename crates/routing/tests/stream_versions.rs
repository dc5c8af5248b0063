//! Streams that go on after a failure, while engines of several software versions serve.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use common::{entry, pick};
use jacinthlever_routing::{
    EngineRole, KEEPERS, Member, Membership, PickParams, ServerPool, StreamId, StreamOrigin,
    StreamOrigins, retention_end,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const ZONES: usize = 5;

fn secs(s: u64) -> Duration {
    Duration::from_secs(s)
}

fn pool_with_versions() -> ServerPool {
    let mut pool = ServerPool::default();
    for (id, version) in [("a", "v1"), ("b", "v2"), ("c", "v1"), ("d", "v2")] {
        let mut engine = entry(id, "north", Some(EngineRole::Decode));
        engine.version = version.into();
        pool.register(engine);
    }
    pool
}

#[test]
fn a_stream_goes_on_at_engines_of_its_version_only() {
    let pool = pool_with_versions();
    let any = pick(secs(1), &[]);
    let pinned = PickParams {
        version: Some("v1"),
        ..any
    };
    let ids = |pick: &PickParams<'_>| -> BTreeSet<String> {
        let candidates = pool.decode_candidates(pick, 40_000, 100, || 0.5);
        candidates.iter().map(|k| pool.id_of(*k).into()).collect()
    };
    assert_eq!(ids(&any).len(), 4);
    assert_eq!(ids(&pinned), BTreeSet::from(["a".into(), "c".into()]));
    assert!(pool.has_decode_engine(&pinned));
    let gone = PickParams {
        version: Some("v3"),
        ..any
    };
    assert!(!pool.has_decode_engine(&gone));
}

// Guards against a stream of unknown origin that goes on at the only version left, though the one that
// began it has just been replaced.
#[test]
fn a_version_counts_for_a_time_after_its_last_server_is_gone() {
    let mut pool = pool_with_versions();
    let service = entry("a", "north", None).service;
    pool.remove_expired(secs(1));
    for id in ["b", "d"] {
        pool.unregister(secs(2), id, false);
    }
    assert_eq!(pool.versions(&service).len(), 2);
    pool.remove_expired(secs(120));
    assert_eq!(pool.versions(&service).len(), 1);
}

fn origin(version: &str) -> StreamOrigin {
    StreamOrigin {
        service: Some("service".into()),
        version: version.into(),
    }
}

#[test]
fn streams_are_forgotten_after_a_time_and_when_there_are_too_many() {
    let mut origins = StreamOrigins::default();
    let mut record = |at: Duration, stream: u64, version: &str| {
        let until = retention_end(at, at);
        origins.record(at, StreamId(stream), origin(version), until);
    };
    record(secs(1), 1, "v1");
    record(secs(50), 1, "v1");
    record(secs(90), 2, "v2");
    for n in 0..100_000 {
        record(secs(91), n + 10, "v2");
    }
    assert_eq!(origins.find(StreamId(1)), None);
    assert!(origins.find(StreamId(100_009)).is_some());
}

#[test]
fn a_stream_is_known_for_a_minute_after_it_went_on() {
    let mut origins = StreamOrigins::default();
    for (at, stream) in [(secs(1), 1), (secs(50), 1), (secs(90), 2)] {
        let until = retention_end(at, at);
        origins.record(at, StreamId(stream), origin("v1"), until);
    }
    let version = |stream| {
        origins
            .find(StreamId(stream))
            .map(|(o, _)| o.version.as_str())
    };
    assert_eq!(version(1), Some("v1"));
}

/// The members of a fleet, by name, in several zones.
fn members(count: usize) -> BTreeMap<String, Member> {
    let member = |n: usize| Member {
        caller_address: format!("c-{n}").into(),
        peer_address: format!("i-{n}").into(),
        zone: format!("zone-{}", n % ZONES).into(),
    };
    (0..count).map(|n| (format!("i-{n}"), member(n))).collect()
}

/// Returns the view of one instance, to which a share of the others is not registered yet.
fn view(
    own: &str,
    members: &BTreeMap<String, Member>,
    unknown: f64,
    rng: &mut ChaCha8Rng,
) -> Membership {
    let mut view = Membership::new(own.into(), members[own].zone.clone());
    let known = members.iter().filter(|_| !rng.random_bool(unknown));
    let known = known.map(|(name, member)| (name.as_str().into(), member.clone()));
    view.set_registered(known.collect());
    view
}

// Guards against a stream whose version is lost with the instance at which it began, with a zone, or
// since instances disagree on which others there are.
#[test]
fn the_version_of_a_stream_is_found_after_the_loss_of_a_zone() {
    for count in [6, 64, 330] {
        let mut rng = ChaCha8Rng::seed_from_u64(7);
        let members = members(count);
        let names: Vec<&String> = members.keys().collect();
        let views: BTreeMap<&str, Membership> = names
            .iter()
            .map(|name| (name.as_str(), view(name, &members, 0.03, &mut rng)))
            .collect();
        let mut load: BTreeMap<String, usize> = BTreeMap::new();
        let (streams, mut found) = (4000, 0);
        for _ in 0..streams {
            let stream = rng.random();
            let writer = names[rng.random_range(0..count)];
            let mut holders: BTreeSet<String> = BTreeSet::from([writer.clone()]);
            for keeper in views[writer.as_str()].keepers(stream, KEEPERS) {
                *load.entry(keeper.to_string()).or_default() += 1;
                holders.insert(keeper.into());
            }
            let lost_zone = &members[writer].zone;
            let is_lost = |name: &str| members[name].zone == *lost_zone;
            let reader = loop {
                let name = names[rng.random_range(0..count)];
                if !is_lost(name) {
                    break name;
                }
            };
            let asked = views[reader.as_str()].keepers(stream, 2 * KEEPERS);
            let asked = asked.iter().map(|a| a.as_str()).chain([reader.as_str()]);
            let mut asked = asked.filter(|name| !is_lost(name));
            found += usize::from(asked.any(|name| holders.contains(name)));
        }
        assert!(
            found * 1000 >= streams * 995,
            "{count}: {found} of {streams}"
        );
        let mean = streams * KEEPERS / count;
        let most = load.values().max().copied().unwrap_or_default();
        assert!(
            most < 3 * mean + 20,
            "{count}: {most} records at one, mean {mean}"
        );
    }
}
