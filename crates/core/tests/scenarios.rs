//! Runs each file of `scenarios/`: a load, things that fail, and what must come of it.
//!
//! Every scenario also checks all promises of `jacinthlever_fakes::broken_promises`.

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

/// Time for the last requests to end.
const REST: Duration = Duration::from_secs(25);

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Scenario {
    /// What the scenario shows, for readers.
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
    /// Instances asked in turn; all if empty.
    #[serde(default)]
    instances: Vec<usize>,
    #[serde(flatten)]
    what: What,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
enum What {
    Model {
        prompt: u32,
        length: u32,
        max: u32,
        #[serde(default)]
        leaves_after_ms: Option<u64>,
    },
    /// A call that may not be repeated, sent this often at once with one idempotency key.
    Booking {
        sends: usize,
    },
    /// The same model request every time, which crashes the engine that decodes it.
    Poison {},
    Lookup {},
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Step {
    at_ms: u64,
    #[serde(rename = "do")]
    action: Do,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
enum Do {
    Kill(usize),
    Restart(usize),
    Pause(usize),
    Resume(usize),
    Drain(usize),
    Table(TableDo),
    Cut(SmolStr, SmolStr),
    Isolate(usize),
    Mend,
    LossPercent(u64),
    CrashEngine(SmolStr),
    RestartEngine(SmolStr),
    Engine(SmolStr, EngineDo),
    CrashWorker(SmolStr),
    StallWorker(SmolStr),
    Leave(SmolStr),
    Write(SmolStr, Option<Value>),
    Withdraw(SmolStr),
    /// Withdraws a customer's key by an edit through an instance.
    WithdrawThrough(usize, SmolStr),
}

#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct TableDo {
    down: bool,
    slow_ms: u64,
    lost_replies_percent: u64,
    late_writes_percent: u64,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct EngineDo {
    stalled: bool,
    full: bool,
    slow_percent: u32,
    stalled_export: bool,
    flapping: bool,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Expect {
    /// Part of the requests that got their result, in percent.
    answered_percent_at_least: f64,
    /// Codes of refusals that the scenario explains; any other is a failure.
    #[serde(default)]
    allowed_codes: Vec<String>,
    /// Codes that must have been seen, so that the scenario shows what it is about.
    #[serde(default)]
    seen_codes: Vec<String>,
    /// When requests that are refused with such a code have arrived, since the load began.
    #[serde(default)]
    refused_between_ms: Option<(u64, u64)>,
    /// Engines that may crash because of the requests.
    #[serde(default)]
    engines_crashed_at_most: u32,
    /// Requests that may stay without an answer, as their instance was killed.
    #[serde(default)]
    killed_instances: Vec<usize>,
    /// Whether the naive router breaks a promise under the same scenario.
    #[serde(default)]
    naive_breaks: bool,
    /// Slots held at the end by all instances together.
    #[serde(default)]
    slots_held: Option<usize>,
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
    let mut world = play(scenario, seed, RouterKind::Core);
    let mut problems = invariant_violations(&mut world);
    problems.extend(unmet(scenario, &world));
    if scenario.expect.naive_breaks {
        let mut naive = play(scenario, seed, RouterKind::Naive);
        if invariant_violations(&mut naive).is_empty() {
            problems
                .push("the naive router kept every promise, so the scenario shows nothing".into());
        }
    }
    problems
}

fn play(scenario: &Scenario, seed: u64, kind: RouterKind) -> World {
    let mut deployment = match scenario.deployment.as_str() {
        "cuenca" => Deployment::cuenca(),
        "tisina" => Deployment::tisina(),
        other => panic!("no deployment {other}"),
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
        act(&mut world, &step.action);
    }
    let end = start + Duration::from_millis(scenario.run_ms);
    world.run_for(end.saturating_sub(world.now) + REST);
    world
}

fn send(world: &mut World, load: &Load, number: usize, start: Duration, rng: &mut ChaCha8Rng) {
    let key = format!("key-of-{}", load.customer);
    let instances = world.instances.len();
    let mut at = load.from_ms as f64;
    let mut count = 0;
    loop {
        // Exponential gaps make a Poisson stream.
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
        let (script, sends) = script(&load.what, &key, &content);
        for send in 0..sends {
            world.submit_at(when, (instance + send) % instances, script.clone());
        }
    }
}

fn script(what: &What, key: &str, content: &str) -> (Script, usize) {
    match what {
        What::Model {
            prompt,
            length,
            max,
            leaves_after_ms,
        } => {
            let mut script = Script::model(key, *prompt, *length, *max).content(content);
            script.disconnects_after = leaves_after_ms.map(Duration::from_millis);
            (script, 1)
        }
        What::Booking { sends } => (
            Script::plain(key, "/bookings/new", false, Some(content)).content(content),
            *sends,
        ),
        What::Poison {} => {
            let mut script = Script::model(key, 200, 60, 60).content("poison");
            script.crashes_server = true;
            (script, 1)
        }
        What::Lookup {} => (Script::plain(key, "/bookings/list", true, None), 1),
    }
}

fn act(world: &mut World, action: &Do) {
    match action {
        Do::Kill(instance) => world.kill(*instance),
        Do::Restart(instance) => world.restart(*instance),
        Do::Pause(instance) => world.pause(*instance),
        Do::Resume(instance) => world.resume(*instance),
        Do::Drain(instance) => {
            world.submit_operator_request(*instance, OperatorRequest::Drain);
        }
        Do::Table(faults) => {
            world.table_faults = TableFaults {
                down: faults.down,
                slow: Duration::from_millis(faults.slow_ms),
                lost_replies_percent: faults.lost_replies_percent,
                late_writes_percent: faults.late_writes_percent,
            };
        }
        Do::Cut(a, b) => world.network.cut(a, b),
        Do::Isolate(instance) => isolate(world, *instance),
        Do::Mend => world.network.heal(),
        Do::LossPercent(percent) => world.network.loss_percent = *percent,
        Do::CrashEngine(id) => world.crash_engine(id),
        Do::RestartEngine(id) => world.restart_engine(id),
        Do::Engine(id, faults) => {
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
        Do::CrashWorker(id) => world.crash_worker(id),
        Do::StallWorker(id) => {
            if let Some(worker) = world.worker_mut(id) {
                worker.stalled = true;
            }
        }
        Do::Leave(id) => world.mark_leaving(id),
        Do::Withdraw(customer) => {
            let hash = KeyHash::of(&format!("key-of-{customer}")).to_hex();
            world.write_rows(vec![(format!("config/key/{hash}").into(), None)]);
            world
                .revoked_keys
                .insert(format!("key-of-{customer}").into(), world.now);
        }
        Do::WithdrawThrough(instance, customer) => {
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
        Do::Write(key, value) => world.write_rows(vec![(key.clone(), value.clone())]),
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

fn unmet(scenario: &Scenario, world: &World) -> Vec<String> {
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
                "{} refused with {code}, such as {first:?}",
                callers.len()
            ));
        }
    }
    for code in &expect.seen_codes {
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
        problems.push(format!("refused such as {shown:?}"));
        problems.push(format!(
            "{percent:.2} % of {} answered: {codes:?}",
            world.outcomes.len()
        ));
    }
    let crashes: u32 = world.engines.values().map(|engine| engine.crashes).sum();
    let steps = scenario.steps.iter();
    let meant = steps
        .filter(|step| matches!(step.action, Do::CrashEngine(_)))
        .count() as u32;
    if crashes > meant + expect.engines_crashed_at_most {
        problems.push(format!("{crashes} engines crashed"));
    }
    if let Some(slots) = expect.slots_held {
        let cores = world
            .instances
            .iter()
            .filter_map(|instance| instance.core());
        let held: usize = cores.map(|core| core.owned_partitions()).sum();
        if held != slots {
            problems.push(format!("{held} slots are held"));
        }
    }
    problems
}
