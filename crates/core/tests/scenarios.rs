//! Runs each file of `scenarios/`: a load, faults and the expected outcome.
//!
//! Every scenario also checks the invariants of `jacinthlever_fakes::invariant_violations`.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

use jacinthlever_core::{CallerId, OperatorRequest, RowChange};
use jacinthlever_fakes::{
    Deployment, EngineFaults, RouterKind, Script, TableFaults, World, invariant_violations,
};
use jacinthlever_types::{KeyHash, RowKey, RowKind};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use serde_json::Value;
use smol_str::SmolStr;

datatest_stable::harness! {
    { test = run_file, root = "tests/scenarios", pattern = r"\.json$" },
}

/// Time for the last requests to end after the load.
const SETTLE_TIME: Duration = Duration::from_secs(25);

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Scenario {
    /// Description of what the scenario shows.
    #[serde(rename = "about")]
    _about: String,
    deployment: String,
    #[serde(default)]
    instances: Option<usize>,
    seeds: Vec<u64>,
    run_ms: u64,
    load: Vec<Load>,
    #[serde(default)]
    steps: Vec<Step>,
    expect: Expect,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Load {
    customer: SmolStr,
    per_second: f64,
    #[serde(default)]
    from_ms: u64,
    to_ms: u64,
    /// Instances that receive the requests in turn; a random one for each request if empty.
    #[serde(default, rename = "nodes")]
    instances: Vec<usize>,
    #[serde(flatten)]
    kind: RequestKind,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
enum RequestKind {
    Model {
        prompt: u32,
        length: u32,
        max: u32,
        #[serde(default, rename = "leaves_after_ms")]
        disconnects_after_ms: Option<u64>,
    },
    /// A call that must not be repeated, sent this many times at once with one idempotency key.
    Booking {
        sends: usize,
    },
    /// The same model request every time, which crashes the engine that decodes it.
    #[serde(rename = "poison")]
    CrashesEngine {},
    Lookup {},
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Step {
    at_ms: u64,
    #[serde(rename = "do")]
    action: Action,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
enum Action {
    Kill(usize),
    Restart(usize),
    Pause(usize),
    Resume(usize),
    Drain(usize),
    Table(TableFaultSettings),
    Cut(SmolStr, SmolStr),
    Isolate(usize),
    #[serde(rename = "mend")]
    HealNetwork,
    LossPercent(u64),
    CrashEngine(SmolStr),
    RestartEngine(SmolStr),
    Engine(SmolStr, EngineFaultSettings),
    CrashWorker(SmolStr),
    StallWorker(SmolStr),
    #[serde(rename = "leave")]
    MarkLeaving(SmolStr),
    Write(SmolStr, Option<Value>),
    #[serde(rename = "withdraw")]
    Revoke(SmolStr),
    /// Revokes a customer's key by an edit through an instance.
    #[serde(rename = "withdraw_through")]
    RevokeThrough(usize, SmolStr),
}

#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct TableFaultSettings {
    down: bool,
    slow_ms: u64,
    lost_replies_percent: u64,
    late_writes_percent: u64,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct EngineFaultSettings {
    stalled: bool,
    full: bool,
    slow_percent: u32,
    stalled_export: bool,
    flapping: bool,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Expect {
    /// Minimum share of the requests that got their result, in percent.
    answered_percent_at_least: f64,
    /// Error codes that the scenario explains; any other is a failure.
    #[serde(default)]
    allowed_codes: Vec<String>,
    /// Error codes that must occur, so that the scenario is known to exercise its faults.
    #[serde(default, rename = "seen_codes")]
    required_codes: Vec<String>,
    /// Window since the start of the load in which all refused requests must have arrived.
    #[serde(default)]
    refused_between_ms: Option<(u64, u64)>,
    /// Maximum number of engines that crash because of the requests.
    #[serde(default)]
    engines_crashed_at_most: u32,
    /// Instances whose requests may remain unanswered because they were killed.
    #[serde(default)]
    killed_instances: Vec<usize>,
    /// Whether the naive router must violate an invariant in the same scenario.
    #[serde(default, rename = "naive_breaks")]
    naive_violates_invariants: bool,
    /// Number of partitions that all instances together must own at the end.
    #[serde(default, rename = "slots_held")]
    owned_partitions: Option<usize>,
}

fn run_file(path: &Path, text: String) -> datatest_stable::Result<()> {
    let scenario: Scenario = serde_json::from_str(&text)?;
    for seed in &scenario.seeds {
        let problems = run(&scenario, *seed);
        if !problems.is_empty() {
            let name = path.display();
            let shown = problems
                .iter()
                .take(5)
                .cloned()
                .collect::<Vec<_>>()
                .join("\n  ");
            return Err(format!(
                "{name}, seed {seed}: {} problems\n  {shown}",
                problems.len()
            )
            .into());
        }
    }
    Ok(())
}

fn run(scenario: &Scenario, seed: u64) -> Vec<String> {
    let mut world = simulate(scenario, seed, RouterKind::Core);
    let mut problems = invariant_violations(&mut world);
    problems.extend(unmet_expectations(scenario, &world));
    if scenario.expect.naive_violates_invariants {
        let mut naive = simulate(scenario, seed, RouterKind::Naive);
        if invariant_violations(&mut naive).is_empty() {
            problems.push(
                "the naive router violated no invariant, so the scenario tests nothing".into(),
            );
        }
    }
    problems
}

fn simulate(scenario: &Scenario, seed: u64, kind: RouterKind) -> World {
    let mut deployment = match scenario.deployment.as_str() {
        "cuenca" => Deployment::cuenca(),
        "tisina" => Deployment::tisina(),
        other => panic!("unknown deployment {other}"),
    };
    deployment.instances = scenario.instances.unwrap_or(deployment.instances);
    let mut world = World::new(deployment, kind, seed);
    assert!(world.settle(), "the fleet did not settle");
    let start = world.now;
    world.load_started_at = start;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    for (number, load) in scenario.load.iter().enumerate() {
        send(&mut world, load, number, start, &mut rng);
    }
    let mut steps: Vec<&Step> = scenario.steps.iter().collect();
    steps.sort_by_key(|step| step.at_ms);
    for step in steps {
        let at = start + Duration::from_millis(step.at_ms);
        world.run_for(at.saturating_sub(world.now));
        apply_action(&mut world, &step.action);
    }
    let end = start + Duration::from_millis(scenario.run_ms);
    world.run_for(end.saturating_sub(world.now) + SETTLE_TIME);
    world
}

fn send(world: &mut World, load: &Load, number: usize, start: Duration, rng: &mut ChaCha8Rng) {
    let key = format!("key-of-{}", load.customer);
    let instances = world.instances.len();
    let mut at = load.from_ms as f64;
    let mut count = 0;
    loop {
        // Exponential gaps give a Poisson process.
        let gap = -(1.0 - rng.random::<f64>()).ln() / load.per_second;
        at += gap * 1_000.0;
        if at >= load.to_ms as f64 {
            return;
        }
        count += 1;
        let content = format!("{number}-{count}");
        let when = start + Duration::from_micros((at * 1_000.0) as u64);
        let instance = match load.instances.is_empty() {
            true => rng.random_range(0..instances),
            false => load.instances[count % load.instances.len()],
        };
        let (script, sends) = script(&load.kind, &key, &content);
        for send in 0..sends {
            world.submit_at(when, (instance + send) % instances, script.clone());
        }
    }
}

fn script(kind: &RequestKind, key: &str, content: &str) -> (Script, usize) {
    match kind {
        RequestKind::Model {
            prompt,
            length,
            max,
            disconnects_after_ms,
        } => {
            let mut script = Script::model(key, *prompt, *length, *max).content(content);
            script.disconnects_after = disconnects_after_ms.map(Duration::from_millis);
            (script, 1)
        }
        RequestKind::Booking { sends } => (
            Script::plain(key, "/bookings/new", false, Some(content)).content(content),
            *sends,
        ),
        RequestKind::CrashesEngine {} => {
            let mut script = Script::model(key, 200, 60, 60).content("poison");
            script.crashes_engine = true;
            (script, 1)
        }
        RequestKind::Lookup {} => (Script::plain(key, "/bookings/list", true, None), 1),
    }
}

fn apply_action(world: &mut World, action: &Action) {
    match action {
        Action::Kill(instance) => world.kill(*instance),
        Action::Restart(instance) => world.restart(*instance),
        Action::Pause(instance) => world.pause(*instance),
        Action::Resume(instance) => world.resume(*instance),
        Action::Drain(instance) => {
            world.submit_operator_request(*instance, OperatorRequest::Drain);
        }
        Action::Table(faults) => {
            world.table_faults = TableFaults {
                down: faults.down,
                slow: Duration::from_millis(faults.slow_ms),
                lost_replies_percent: faults.lost_replies_percent,
                late_writes_percent: faults.late_writes_percent,
            };
        }
        Action::Cut(a, b) => world.network.cut(a, b),
        Action::Isolate(instance) => isolate(world, *instance),
        Action::HealNetwork => world.network.heal(),
        Action::LossPercent(percent) => world.network.loss_percent = *percent,
        Action::CrashEngine(id) => world.crash_engine(id),
        Action::RestartEngine(id) => world.restart_engine(id),
        Action::Engine(id, faults) => {
            if let Some(engine) = world.engine_mut(id) {
                engine.faults = EngineFaults {
                    stalled: faults.stalled,
                    full: faults.full,
                    slow_percent: faults.slow_percent,
                    stalled_export: faults.stalled_export,
                    flapping: faults.flapping,
                };
            }
        }
        Action::CrashWorker(id) => world.crash_worker(id),
        Action::StallWorker(id) => {
            if let Some(worker) = world.worker_mut(id) {
                worker.stalled = true;
            }
        }
        Action::MarkLeaving(id) => world.mark_leaving(id),
        Action::Revoke(customer) => {
            let hash = KeyHash::of(&format!("key-of-{customer}")).to_hex();
            world.write_rows(vec![(format!("config/key/{hash}").into(), None)]);
            world
                .revoked_keys
                .insert(format!("key-of-{customer}").into(), world.now);
        }
        Action::RevokeThrough(instance, customer) => {
            let key = format!("key-of-{customer}");
            let row = RowKey::new(RowKind::Key, KeyHash::of(&key).to_hex());
            let changes = vec![RowChange {
                key: row,
                version: None,
                value: None,
            }];
            let edit = format!("withdraw-{customer}").into();
            world.submit_operator_request(*instance, OperatorRequest::Edit { edit, changes });
            world.revoked_keys.insert(key.into(), world.now);
        }
        Action::Write(key, value) => world.write_rows(vec![(key.clone(), value.clone())]),
    }
}

/// Cuts an instance off from the table and from every other instance.
fn isolate(world: &mut World, instance: usize) {
    let own = world.instances[instance].id.clone();
    let others: Vec<SmolStr> = world
        .instances
        .iter()
        .map(|instance| instance.id.clone())
        .collect();
    for other in others.iter().filter(|other| **other != own) {
        world.network.cut(&own, other);
    }
    world.network.cut(&own, "table");
}

fn unmet_expectations(scenario: &Scenario, world: &World) -> Vec<String> {
    let expect = &scenario.expect;
    let mut problems = Vec::new();
    let mut codes: BTreeMap<&str, Vec<CallerId>> = BTreeMap::new();
    let mut answered = 0;
    for (caller, outcome) in &world.outcomes {
        if outcome.disconnected_at.is_some() {
            answered += 1;
            continue;
        }
        match &outcome.end {
            None if expect.killed_instances.contains(&outcome.instance) => {}
            None => problems.push(format!("{caller:?} got no answer: {outcome:?}")),
            Some(_) if outcome.verdict().is_some() => {
                codes.entry(outcome.code()).or_default().push(*caller);
            }
            Some(_) => answered += 1,
        }
    }
    for (code, callers) in &codes {
        if !expect.allowed_codes.iter().any(|allowed| allowed == code) {
            let first = world.outcome(callers[0]);
            problems.push(format!(
                "{} requests refused with {code}, first {first:?}",
                callers.len()
            ));
        }
    }
    for code in &expect.required_codes {
        if !codes.contains_key(code.as_str()) {
            problems.push(format!("no request was refused with {code}"));
        }
    }
    if let Some((from, to)) = expect.refused_between_ms {
        let window = world.load_started_at + Duration::from_millis(from)
            ..=world.load_started_at + Duration::from_millis(to);
        let outside = codes
            .values()
            .flatten()
            .filter(|c| !window.contains(&world.outcome(**c).arrived));
        for caller in outside.take(3) {
            problems.push(format!(
                "refused outside the window: {:?}",
                world.outcome(*caller)
            ));
        }
    }
    let percent = 100.0 * f64::from(answered) / world.outcomes.len().max(1) as f64;
    if percent < expect.answered_percent_at_least {
        let shown: Vec<_> = codes
            .values()
            .filter_map(|callers| world.outcome(callers[0]).verdict())
            .collect();
        problems.push(format!("refused requests got {shown:?}"));
        problems.push(format!(
            "{percent:.2} % of {} answered: {codes:?}",
            world.outcomes.len()
        ));
    }
    let crashes: u32 = world.engines.values().map(|engine| engine.crashes).sum();
    let steps = scenario.steps.iter();
    let intended = steps
        .filter(|step| matches!(step.action, Action::CrashEngine(_)))
        .count() as u32;
    if crashes > intended + expect.engines_crashed_at_most {
        problems.push(format!("{crashes} engines crashed"));
    }
    if let Some(partitions) = expect.owned_partitions {
        let cores = world
            .instances
            .iter()
            .filter_map(|instance| instance.core());
        let owned: usize = cores.map(|core| core.owned_partitions()).sum();
        if owned != partitions {
            problems.push(format!(
                "{owned} partitions are owned, expected {partitions}"
            ));
        }
    }
    problems
}
