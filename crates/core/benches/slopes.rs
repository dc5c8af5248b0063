//! Prints the slopes that docs/CAPACITY.md is calculated from, in bytes and messages, not times.
//!
//! `cargo bench --bench slopes -p jacinthlever-core`; every run of a build gives the same figures.

use std::alloc::System;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use jacinthlever_core::{ConfigState, Core, CoreSettings, Event, ListDelta};
use jacinthlever_fakes::{Deployment, RouterKind, Script, World};
use jacinthlever_types::{
    EngineRole, InstanceId, KeyHash, ListEntry, ListKind, ListState, MemberStatus, ModelId,
    PeerEnvelope, PeerMsg, RowKey, RowKind, VersionedRow, ZoneId,
};
use serde_json::json;
use smol_str::format_smolstr;
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

fn main() {
    println!("memory, in bytes that stay allocated");
    println!(
        "  customer row    {:8.0}",
        slope(config_bytes(RowKind::Customer))
    );
    println!(
        "  key row         {:8.0}",
        slope(config_bytes(RowKind::Key))
    );
    println!("  listed engine   {:8.0}", slope(engine_bytes()));
    println!("  member          {:8.0}", slope(member_bytes()));
    println!("  empty core      {:8.0}", empty_core_bytes());
    messages();
}

/// Returns the growth per item between two counts.
fn slope((low, at_low, high, at_high): (usize, usize, usize, usize)) -> f64 {
    (at_high as f64 - at_low as f64) / (high - low) as f64
}

/// Returns the bytes that stay allocated for the value that `make` returns.
fn allocated_bytes<T>(make: impl FnOnce() -> T) -> usize {
    let region = Region::new(ALLOCATOR);
    let value = make();
    let change = region.change();
    let bytes = change.bytes_allocated as isize - change.bytes_deallocated as isize
        + change.bytes_reallocated;
    drop(value);
    bytes.max(0) as usize
}

fn config_bytes(kind: RowKind) -> (usize, usize, usize, usize) {
    let rows = |count: usize| -> Vec<VersionedRow> {
        (0..count)
            .map(|n| {
                let (name, value) = match kind {
                    RowKind::Key => {
                        let hash = KeyHash::of(&n.to_string()).to_hex();
                        (hash, json!({"customer": "north", "label": "desk"}))
                    }
                    _ => {
                        let value = json!({"rate": 1.0, "burst": 1.0, "weight": 1.0});
                        (format_smolstr!("customer-{n}"), value)
                    }
                };
                VersionedRow {
                    key: RowKey::new(kind, name),
                    version: 1,
                    value: Some(value),
                }
            })
            .collect()
    };
    let measure = |count| {
        let rows = rows(count);
        allocated_bytes(|| {
            let mut config = ConfigState::default();
            config.apply(rows.clone());
            config
        })
    };
    (100, measure(100), 2_600, measure(2_600))
}

fn core() -> Core {
    Core::new(CoreSettings::new(
        InstanceId::new("instance-0"),
        ZoneId::new("z"),
        "a:1".into(),
    ))
}

fn empty_core_bytes() -> f64 {
    allocated_bytes(core) as f64
}

fn engine_bytes() -> (usize, usize, usize, usize) {
    let entries = |count: usize| -> Vec<ListEntry> {
        (0..count)
            .map(|n| ListEntry {
                id: format_smolstr!("engine-{n}"),
                kind: ListKind::Engine {
                    role: EngineRole::Decode,
                    model: ModelId::new("quill"),
                },
                address: format_smolstr!("10.0.0.1:{n}"),
                zone: ZoneId::new("z"),
                state: ListState::Live,
            })
            .collect()
    };
    let measure = |count| {
        let entries = entries(count);
        allocated_bytes(|| {
            let mut core = core();
            let list = ListDelta {
                entries: entries.clone(),
                removed: Vec::new(),
            };
            core.handle(Duration::ZERO, Event::List(list));
            core
        })
    };
    (20, measure(20), 3_400, measure(3_400))
}

fn member_bytes() -> (usize, usize, usize, usize) {
    let measure = |count: usize| {
        allocated_bytes(|| {
            let mut core = core();
            for n in 0..count {
                let instance = InstanceId(format_smolstr!("instance-{n}"));
                let status = MemberStatus {
                    instance: instance.clone(),
                    incarnation: 1,
                    heartbeat: 1,
                    draining: false,
                    revision: 0,
                };
                let msg = PeerMsg::Heartbeat {
                    members: vec![status],
                };
                core.handle(
                    Duration::ZERO,
                    Event::Peer {
                        from: instance,
                        msg,
                    },
                );
            }
            core
        })
    };
    (6, measure(6), 330, measure(330))
}

/// Counts and total sizes of messages between instances, by kind.
type Sizes = BTreeMap<String, (u64, u64)>;

fn messages() {
    let (idle, _) = count_messages(0);
    println!("messages between instances, 6 instances, for each instance and second without load");
    let mut total = 0.0;
    for (kind, (count, bytes)) in &idle {
        let per = |number: u64| number as f64 / 6.0 / 30.0;
        println!(
            "  {kind:14} {:7.2} messages {:9.1} bytes",
            per(*count),
            per(*bytes)
        );
        total += per(*bytes);
    }
    println!("  all            {total:17.1} bytes a second sent");
    let (loaded, requests) = count_messages(600);
    println!("messages between instances for each model request, from the slope");
    for (kind, (count, bytes)) in &loaded {
        let (idle_count, idle_bytes) = idle.get(kind).copied().unwrap_or_default();
        let count = count.saturating_sub(idle_count) as f64;
        let bytes = bytes.saturating_sub(idle_bytes) as f64;
        let per_request = count / requests as f64;
        println!(
            "  {kind:14} {per_request:7.2} messages {:9.1} bytes each",
            bytes / count.max(1.0)
        );
    }
}

/// Simulates 30 s with a number of model requests; returns the messages sent and that number.
fn count_messages(requests: u64) -> (Sizes, u64) {
    let mut world = World::new(Deployment::cuenca(), RouterKind::Core, 1);
    assert!(world.settle());
    world.run_for(Duration::from_secs(5));
    let sizes: Rc<RefCell<Sizes>> = Rc::default();
    let recorded = sizes.clone();
    world.on_peer_message = Some(Box::new(move |to, msg| {
        let envelope = PeerEnvelope {
            from: to.clone(),
            msg: msg.clone(),
        };
        let mut bytes = Vec::new();
        if ciborium::into_writer(&envelope, &mut bytes).is_ok() {
            let kind = format!("{msg:?}");
            let kind = kind.split([' ', '(']).next().unwrap_or_default().to_owned();
            let mut recorded = recorded.borrow_mut();
            let entry = recorded.entry(kind).or_default();
            entry.0 += 1;
            entry.1 += bytes.len() as u64;
        }
    }));
    for number in 0..requests {
        let customers = ["north", "south", "old-town", "river", "hill"];
        let key = format!("key-of-{}", customers[number as usize % 5]);
        let script = Script::model(&key, 400, 60, 80).content(number.to_string());
        let at = world.now + Duration::from_millis(number * 40);
        world.submit_at(at, number as usize % 6, script);
    }
    world.run_for(Duration::from_secs(30));
    world.on_peer_message = None;
    (sizes.take(), requests)
}
