//! Time of a decision, and its growth with customers, engines and instances.
//!
//! `cargo bench --bench decisions -p jacinthlever-core`

use std::hint::black_box;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use jacinthlever_core::{
    Bucket, Cell, Core, CoreSettings, EngineState, Event, FairQueue, ListDelta,
};
use jacinthlever_types::{
    Class, CustomerId, CustomerRow, EngineId, EngineLoad, EngineRole, InstanceId, ListEntry,
    ListKind, ListState, MemberStatus, ModelId, PeerMsg, RequestId, ReservationEnd,
    ReservationRequest, ShardId, ZoneId,
};
use smol_str::format_smolstr;

fn id(number: u64) -> RequestId {
    RequestId {
        instance: InstanceId::new("instance-0"),
        incarnation: 1,
        number,
    }
}

fn charges(c: &mut Criterion) {
    let row = CustomerRow {
        rate: 1e9,
        burst: 1e9,
        weight: 1.0,
    };
    let mut group = c.benchmark_group("charge and settle beside pending charges");
    for pending in [1u64, 10, 100] {
        group.bench_with_input(
            BenchmarkId::from_parameter(pending),
            &pending,
            |b, pending| {
                let mut bucket = Bucket::full(&row, Duration::ZERO);
                for number in 0..*pending {
                    let _ = bucket.charge(&id(number), 10, Duration::ZERO);
                }
                let mut number = *pending;
                b.iter(|| {
                    number += 1;
                    let now = Duration::from_micros(number);
                    let _ = black_box(bucket.charge(&id(number), 10, now));
                    bucket.settle(&id(number), 5, now);
                });
            },
        );
    }
    group.finish();
}

fn queue(c: &mut Criterion) {
    let mut group = c.benchmark_group("push and pop beside waiting customers");
    for customers in [5u64, 100, 2_600] {
        group.bench_with_input(
            BenchmarkId::from_parameter(customers),
            &customers,
            |b, count| {
                let mut queue = FairQueue::default();
                let name = |n: u64| CustomerId(format_smolstr!("customer-{n}"));
                for n in 0..*count {
                    queue.push(&name(n), 1.0, Class::Patient, 100.0, n, false);
                }
                let mut n = 0;
                b.iter(|| {
                    n = (n + 1) % *count;
                    queue.push(&name(n), 1.0, Class::Patient, 100.0, n, false);
                    black_box(queue.pop());
                });
            },
        );
    }
    group.finish();
}

fn hold(number: u64) -> ReservationRequest {
    ReservationRequest {
        id: id(number),
        attempt: 1,
        shard: ShardId {
            model: ModelId::new("quill"),
            shard: 0,
        },
        customer: CustomerId::new("north"),
        weight: 1.0,
        class: Class::Patient,
        prompt_tokens: 400,
        output_tokens: 100,
        prefix: vec![1, 2, 3],
        due_ms: 1_300,
        suspect: false,
        avoid: Vec::new(),
        prefilled: None,
    }
}

fn placement(c: &mut Criterion) {
    let mut group = c.benchmark_group("grant and release in a cell of engines");
    for engines in [20usize, 64, 3_400] {
        group.bench_with_input(
            BenchmarkId::from_parameter(engines),
            &engines,
            |b, engines| {
                let mut cell = Cell::default();
                for n in 0..*engines {
                    let role = if n % 4 == 0 {
                        EngineRole::Prefill
                    } else {
                        EngineRole::Decode
                    };
                    let name = EngineId(format_smolstr!("engine-{n}"));
                    let engine =
                        EngineState::new(name.clone(), role, "10.0.0.1:1".into(), ZoneId::new("z"));
                    cell.list_engine(engine);
                    let load = EngineLoad {
                        slots: 20,
                        used: 0,
                        pages: 64,
                        used_pages: 0,
                    };
                    cell.probed(&name, Some(load), Duration::ZERO);
                }
                let mut number = 0;
                b.iter(|| {
                    number += 1;
                    let now = Duration::from_micros(number);
                    cell.ask(InstanceId::new("instance-0"), hold(number), now);
                    cell.release(&id(number), ReservationEnd::Done, 50, now);
                    black_box(cell.take_told());
                });
            },
        );
    }
    group.finish();
}

fn ticks(c: &mut Criterion) {
    let mut group = c.benchmark_group("idle tick beside instances");
    for instances in [6usize, 330] {
        group.bench_with_input(
            BenchmarkId::from_parameter(instances),
            &instances,
            |b, count| {
                let name = |n: usize| format_smolstr!("instance-{n}");
                let settings =
                    CoreSettings::new(InstanceId(name(0)), ZoneId::new("z"), "10.0.0.1:1".into());
                let mut core = Core::new(settings);
                let entries = (0..*count).map(|n| ListEntry {
                    id: name(n),
                    kind: ListKind::Instance {
                        caller_address: "10.0.0.1:2".into(),
                    },
                    address: "10.0.0.1:1".into(),
                    zone: ZoneId::new("z"),
                    state: ListState::Live,
                });
                let list = ListDelta {
                    entries: entries.collect(),
                    removed: Vec::new(),
                };
                core.handle(Duration::ZERO, Event::List(list));
                let mut now = Duration::ZERO;
                let mut beat = 0;
                b.iter(|| {
                    // A tick, and the heartbeats that come between two of them.
                    now += Duration::from_millis(20);
                    beat += 1;
                    let status = MemberStatus {
                        instance: InstanceId(name(1)),
                        incarnation: 1,
                        heartbeat: beat,
                        draining: false,
                        revision: 0,
                    };
                    let msg = PeerMsg::Heartbeat {
                        members: vec![status],
                    };
                    let from = InstanceId(name(1));
                    core.handle(now, Event::Peer { from, msg });
                    black_box(core.handle(now, Event::Tick));
                });
            },
        );
    }
    group.finish();
}

criterion_group! {
    name = benches;
    config = Criterion::default().sample_size(20).measurement_time(Duration::from_secs(1)).warm_up_time(Duration::from_millis(300));
    targets = charges, queue, placement, ticks
}
criterion_main!(benches);
