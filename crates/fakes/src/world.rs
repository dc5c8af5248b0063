//! The world: cores, fakes and the queue of what happens next.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use jacinthlever_core::{
    Action, Call, CallFault, CallId, CallResult, CallerId, Core, CoreSettings, Event,
    HARMLESS_TOKENS, ListDelta, LogEvent, OpId, OperatorId, OperatorReply, OperatorRequest,
    PlainResponse, PlatformOp, PlatformReply, Reply, Sample, Unsettled,
};
use jacinthlever_standins::TableState;
use jacinthlever_types::{
    CustomerId, EngineRole, FinishReason, InstanceId, KvSource, ListEntry, ListKind, ListState,
    ModelId, PeerMsg, Transaction, Write, ZoneId,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use smol_str::{SmolStr, format_smolstr};

use crate::engine::{DecodeStream, EngineCall, PrefillJob};
use crate::worker::WorkerRun;
use crate::{
    Deployment, End, EngineFaults, FakeEngine, FakeWorker, LimitAudit, NaiveRouter, Network, Node,
    Outcome, Router, Script, TableFaults,
};

/// Pause between two ticks of a core.
const TICK: Duration = Duration::from_millis(20);

/// Pause between two reads of the list.
const LIST_EVERY: Duration = Duration::from_secs(1);

/// Age of what the list shows.
const LIST_LAG: Duration = Duration::from_millis(500);

/// Time without a byte after which a shell gives a prefill up.
const PREFILL_TIMEOUT: Duration = Duration::from_secs(5);

/// Time without a token after which a shell gives a decode up.
const TOKEN_TIMEOUT: Duration = Duration::from_millis(800);

/// Time in which a plain service must answer.
const SERVICE_TIMEOUT: Duration = Duration::from_secs(10);

/// Time in which the news of a free slot travels from its engine over an instance to the keeper.
const NEWS: Duration = Duration::from_millis(10);

/// Time after which a leaving machine gets no new work.
const LEFT_AFTER: Duration = Duration::from_secs(3);

/// Time in which engine memory of an ended request must be free.
const FREED_AFTER: Duration = Duration::from_secs(2);

/// Position at which a poisonous request crashes its decode engine.
const POISON_AT: u32 = 3;

/// Which router the nodes run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouterKind {
    /// The decision core.
    Core,
    /// The naive router.
    Naive,
}

/// What is done with each message between instances.
pub type OnPeerMessage = Box<dyn FnMut(&InstanceId, &PeerMsg)>;

/// Something that happens at a time.
enum Happening {
    Tick(usize, u64),
    ReadList(usize, u64),
    Deliver(usize, u64, Event),
    ApplyLate(Transaction),
    Arrive(Box<Script>, usize, CallerId),
    Leave(CallerId),
    PrefillDone(SmolStr, u64),
    KvArrived(SmolStr, u64, SmolStr),
    Step(SmolStr, u64),
    Timeout(SmolStr, u64, SmolStr),
    WorkerDone(SmolStr, CallId),
    CheckFreed(CallerId),
}

/// Cores, fakes and a virtual clock.
pub struct World {
    /// Time since the world began.
    pub now: Duration,
    /// Instances.
    pub nodes: Vec<Node>,
    /// Rows of the table service.
    pub table: TableState,
    /// What the table service does wrong.
    pub table_faults: TableFaults,
    /// Engines by address.
    pub engines: BTreeMap<SmolStr, FakeEngine>,
    /// Workers by address.
    pub workers: BTreeMap<SmolStr, FakeWorker>,
    /// Network between instances.
    pub network: Network,
    /// Requests and what came of them.
    pub outcomes: BTreeMap<CallerId, Outcome>,
    /// Charges and uses of tokens.
    pub audit: LimitAudit,
    /// Log events of all nodes.
    pub log: Vec<(Duration, usize, LogEvent)>,
    /// Answers to operators.
    pub operator_replies: BTreeMap<OperatorId, (Duration, OperatorReply)>,
    /// Prompt tokens of prefills that no decode has used, by caller.
    unused_prefill: BTreeMap<CallerId, u64>,
    wasted_prefill: u64,
    /// Keys that were withdrawn, and when the withdrawal was accepted.
    pub withdrawn: BTreeMap<SmolStr, Duration>,
    /// New work that leaving machines got too late, as lines for people.
    pub late_work: Vec<String>,
    /// Requests that held engine memory too long after they had ended or their caller had left.
    pub held_too_long: Vec<CallerId>,
    /// When the load of a scenario began.
    pub load_began: Duration,
    /// Messages between instances.
    pub peer_messages: u64,
    /// Called with every message between instances.
    pub on_peer_message: Option<OnPeerMessage>,
    /// Whether there was room in some decode engine, each time that it changed.
    room: BTreeMap<Duration, bool>,
    /// When listed machines began to leave.
    left_at: BTreeMap<SmolStr, Duration>,
    deployment: Deployment,
    kind: RouterKind,
    objects: BTreeMap<SmolStr, Value>,
    list: BTreeMap<SmolStr, (u64, Duration, Option<ListEntry>)>,
    list_revision: u64,
    /// Names of requests by the caller they serve.
    names: BTreeMap<CallerId, SmolStr>,
    queue: BTreeMap<(Duration, u64), Happening>,
    sequence: u64,
    rng: ChaCha8Rng,
    next_caller: u64,
    next_operator: u64,
}

impl World {
    /// Makes a world and starts all nodes.
    pub fn new(deployment: Deployment, kind: RouterKind, seed: u64) -> Self {
        let mut world = Self {
            now: Duration::ZERO,
            nodes: Vec::new(),
            table: TableState::default(),
            table_faults: TableFaults::default(),
            engines: BTreeMap::new(),
            workers: BTreeMap::new(),
            network: Network::default(),
            outcomes: BTreeMap::new(),
            audit: LimitAudit::default(),
            log: Vec::new(),
            operator_replies: BTreeMap::new(),
            unused_prefill: BTreeMap::new(),
            wasted_prefill: 0,
            withdrawn: BTreeMap::new(),
            late_work: Vec::new(),
            left_at: BTreeMap::new(),
            room: BTreeMap::new(),
            held_too_long: Vec::new(),
            load_began: Duration::ZERO,
            peer_messages: 0,
            on_peer_message: None,
            kind,
            objects: BTreeMap::new(),
            list: BTreeMap::new(),
            list_revision: 0,
            names: BTreeMap::new(),
            queue: BTreeMap::new(),
            sequence: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            next_caller: 0,
            next_operator: 0,
            deployment,
        };
        world.declare_all();
        world.list_all();
        for number in 0..world.deployment.instances {
            world.start_node(number);
        }
        world
    }

    /// Returns the deployment.
    pub fn deployment(&self) -> &Deployment {
        &self.deployment
    }

    /// Returns a random number.
    pub fn random(&mut self) -> u64 {
        self.rng.next_u64()
    }

    /// Sends a request to a node at a time; returns its number.
    pub fn arrive_at(&mut self, at: Duration, node: usize, script: Script) -> CallerId {
        self.next_caller += 1;
        let caller = CallerId(self.next_caller);
        self.schedule(at, Happening::Arrive(Box::new(script), node, caller));
        caller
    }

    /// Sends a request to a node now; returns its number.
    pub fn arrive(&mut self, node: usize, script: Script) -> CallerId {
        self.arrive_at(self.now, node, script)
    }

    /// Returns the outcome of a request that has been sent.
    pub fn outcome(&self, caller: CallerId) -> &Outcome {
        &self.outcomes[&caller]
    }

    /// Asks an operator's request of a node.
    pub fn operate(&mut self, node: usize, request: OperatorRequest) -> OperatorId {
        self.next_operator += 1;
        let operator = OperatorId(self.next_operator);
        let at = self.now;
        self.deliver(at, node, Event::Operator { operator, request });
        operator
    }

    /// Lets time pass.
    pub fn run_for(&mut self, time: Duration) {
        let until = self.now + time;
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > until {
                break;
            }
            let ((at, _), happening) = entry.remove_entry();
            self.now = at;
            self.happen(happening);
            self.note_room();
        }
        self.now = until;
    }

    /// Lets time pass until something holds; returns whether it did in time.
    pub fn run_until(&mut self, longest: Duration, holds: impl Fn(&Self) -> bool) -> bool {
        let until = self.now + longest;
        while !holds(self) {
            if self.now >= until {
                return false;
            }
            self.run_for(TICK);
        }
        true
    }

    /// Runs until the fleet holds all slots and has its configuration.
    pub fn settle(&mut self) -> bool {
        let slots = jacinthlever_core::SLOT_COUNT as usize;
        self.run_until(Duration::from_secs(60), |world| {
            let cores: Vec<&Core> = world.nodes.iter().filter_map(Node::core).collect();
            cores.iter().all(|core| core.is_ready())
                && cores.iter().map(|core| core.held_slots()).sum::<usize>() == slots
        }) || self.kind == RouterKind::Naive
    }

    /// Kills a node's process.
    pub fn kill(&mut self, node: usize) {
        let down = &mut self.nodes[node];
        down.router = None;
        down.backlog.clear();
        down.paused = false;
        down.incarnation += 1;
        let cut: Vec<CallerId> = self
            .outcomes
            .iter()
            .filter(|(_, outcome)| outcome.node == node && outcome.end.is_none())
            .map(|(caller, _)| *caller)
            .collect();
        for caller in cut {
            self.drop_connections(caller);
        }
        self.reset_links(node);
    }

    /// Lets the peers of a dead process find its connections reset.
    fn reset_links(&mut self, dead: usize) {
        let id = self.nodes[dead].id.clone();
        let at = self.now + self.network.latency();
        for peer in 0..self.nodes.len() {
            let own = self.nodes[peer].id.clone();
            if peer != dead && self.network.reaches(&own, &id) {
                self.deliver(at, peer, Event::PeerLost(InstanceId(id.clone())));
            }
        }
    }

    /// Starts a node's process again, on the same address.
    pub fn restart(&mut self, node: usize) {
        self.start_node(node);
    }

    /// Freezes a node's process.
    pub fn pause(&mut self, node: usize) {
        self.nodes[node].paused = true;
    }

    /// Thaws a node's process, which then finds all that has come meanwhile.
    pub fn resume(&mut self, node: usize) {
        self.nodes[node].paused = false;
        let backlog = std::mem::take(&mut self.nodes[node].backlog);
        for event in backlog {
            self.handle(node, event);
        }
    }

    /// Sets the rate of a node's clock against the world's, in parts per million.
    pub fn drift(&mut self, node: usize, ppm: i64) {
        self.nodes[node].drift_ppm = ppm;
    }

    /// Crashes an engine.
    pub fn crash_engine(&mut self, id: &str) {
        if let Some(address) = self.engine_address(id) {
            self.crash_at(&address);
        }
    }

    /// Starts an engine again.
    pub fn restart_engine(&mut self, id: &str) {
        if let Some(engine) = self.engine_mut(id) {
            engine.up = true;
        }
    }

    /// Returns an engine by name.
    pub fn engine_mut(&mut self, id: &str) -> Option<&mut FakeEngine> {
        self.engines.values_mut().find(|engine| engine.id == id)
    }

    /// Returns a worker by name.
    pub fn worker_mut(&mut self, id: &str) -> Option<&mut FakeWorker> {
        self.workers.values_mut().find(|worker| worker.id == id)
    }

    /// Marks a listed machine as leaving.
    pub fn leave(&mut self, id: &str) {
        let entry = self.list.get(id).and_then(|(_, _, entry)| entry.clone());
        self.left_at.insert(SmolStr::new(id), self.now);
        if let Some(entry) = entry {
            self.put_listed(ListEntry {
                state: ListState::Leaving,
                ..entry
            });
        }
    }

    /// Writes configuration rows as an operator's accepted edit would, without any node.
    pub fn write_rows(&mut self, rows: Vec<(SmolStr, Option<Value>)>) {
        let mut writes: Vec<Write> = rows
            .into_iter()
            .map(|(key, value)| Write { key, value })
            .collect();
        let key = SmolStr::new_static("config/head");
        writes.push(Write {
            key,
            value: Some(json!({})),
        });
        self.table.transact(Transaction {
            conditions: Vec::new(),
            writes,
        });
    }

    /// Returns how often the call of a caller was run by workers.
    pub fn runs_of(&self, callers: &[CallerId]) -> usize {
        let runs = self.workers.values().flat_map(|worker| &worker.runs);
        runs.filter(|caller| callers.contains(caller)).count()
    }

    /// Notes what every request has used, for the audit of the limits.
    pub fn settle_audit(&mut self) {
        for (caller, name) in &self.names {
            let outcome = &self.outcomes[caller];
            let tokens = u64::from(outcome.script.prompt_tokens) + u64::from(outcome.tokens);
            self.audit.used(name, tokens);
        }
    }

    /// Whether engines that work as they should had two decode slots and a prefill slot free at a
    /// time, for long enough that the news of it had travelled.
    pub fn had_room(&self, at: Duration) -> bool {
        let seen = self.room.range(..=at).next_back();
        seen.is_some_and(|(since, room)| *room && *since + NEWS <= at)
    }

    fn note_room(&mut self) {
        let room = self.has_room();
        if self.room.values().next_back() != Some(&room) {
            self.room.insert(self.now, room);
        }
    }

    fn has_room(&self) -> bool {
        self.has_free(EngineRole::Decode, 2) && self.has_free(EngineRole::Prefill, 1)
    }

    fn has_free(&self, role: EngineRole, spare: u32) -> bool {
        let asker = &self.nodes[0].id;
        self.engines.iter().any(|(address, engine)| {
            let reached = self.network.reaches(asker, address);
            let works = reached && engine.up && engine.faults == EngineFaults::default();
            let used = engine.streams.len() as u32;
            works
                && engine.spec.role == role
                && used + engine.prefills.len() as u32 + spare <= engine.spec.slots
        })
    }

    /// Whether any backend server has seen a request of a caller.
    pub fn was_dispatched(&self, caller: CallerId) -> bool {
        self.names.contains_key(&caller)
    }

    /// Returns the prompt tokens that were prefilled and never decoded from.
    pub fn wasted_prefill(&self) -> u64 {
        self.wasted_prefill + self.unused_prefill.values().sum::<u64>()
    }

    /// Returns the callers for whom engines hold memory.
    pub fn held(&self) -> Vec<CallerId> {
        self.engines
            .values()
            .flat_map(FakeEngine::holders)
            .collect()
    }

    fn declare_all(&mut self) {
        let rows = self.deployment.rows();
        let rows = rows
            .into_iter()
            .map(|(key, value)| (key.table_key(), Some(value)))
            .collect();
        self.write_rows(rows);
    }

    fn list_all(&mut self) {
        let zones = self.deployment.zones;
        let zone = |n: usize| ZoneId::new(format!("zone-{}", n % zones));
        for n in 0..self.deployment.instances {
            let caller_address = format_smolstr!("callers-{n}");
            self.put_listed(ListEntry {
                id: format_smolstr!("instance-{n}"),
                kind: ListKind::Instance { caller_address },
                address: format_smolstr!("instance-{n}"),
                zone: zone(n),
                state: ListState::Live,
            });
        }
        let engines = [
            ("prefill", self.deployment.prefills, self.deployment.prefill),
            ("decode", self.deployment.decodes, self.deployment.decode),
        ];
        for (name, count, spec) in engines {
            for n in 0..count {
                let id = format_smolstr!("{name}-{n}");
                let model = ModelId::new("quill");
                self.put_listed(ListEntry {
                    id: id.clone(),
                    kind: ListKind::Engine {
                        role: spec.role,
                        model,
                    },
                    address: id.clone(),
                    zone: zone(n),
                    state: ListState::Live,
                });
                self.engines
                    .insert(id.clone(), FakeEngine::new(id, zone(n).0, spec));
            }
        }
        for service in ["scheduling", "library"] {
            for n in 0..self.deployment.workers {
                let id = format_smolstr!("{service}-{n}");
                self.put_listed(ListEntry {
                    id: id.clone(),
                    kind: ListKind::Service {
                        service: SmolStr::new(service),
                    },
                    address: id.clone(),
                    zone: zone(n),
                    state: ListState::Live,
                });
                let worker = FakeWorker::new(id.clone(), Duration::from_millis(5));
                self.workers.insert(id, worker);
            }
        }
        // What stood in the list before the world began is not shown late.
        self.list
            .values_mut()
            .for_each(|(_, at, _)| *at = Duration::ZERO);
    }

    fn put_listed(&mut self, entry: ListEntry) {
        self.list_revision += 1;
        let at = self.now + LIST_LAG;
        self.list
            .insert(entry.id.clone(), (self.list_revision, at, Some(entry)));
    }

    fn start_node(&mut self, number: usize) {
        let id = format_smolstr!("instance-{number}");
        let zone = format_smolstr!("zone-{}", number % self.deployment.zones);
        let incarnation = self
            .nodes
            .get(number)
            .map_or(1, |node| node.incarnation + 1);
        let router = match self.kind {
            RouterKind::Core => {
                let settings = CoreSettings {
                    incarnation,
                    seed: self.rng.next_u64(),
                    max_requests: 100_000,
                    ..CoreSettings::new(
                        InstanceId(id.clone()),
                        ZoneId(zone.clone()),
                        format_smolstr!("callers-{number}"),
                    )
                };
                Router::Core(Box::new(Core::new(settings)))
            }
            RouterKind::Naive => {
                let (keys, limits) = (self.deployment.keys(), self.deployment.limits());
                let count = self.deployment.instances;
                Router::Naive(Box::new(NaiveRouter::new(&id, count, keys, limits)))
            }
        };
        let node = Node {
            id,
            zone,
            router: Some(router),
            paused: false,
            stopped: false,
            started: self.now,
            incarnation,
            backlog: Vec::new(),
            list_revision: 0,
            drift_ppm: self.nodes.get(number).map_or(0, |node| node.drift_ppm),
        };
        match self.nodes.get_mut(number) {
            Some(old) => *old = node,
            None => self.nodes.push(node),
        }
        // Nodes do not tick in step.
        let offset = Duration::from_micros(self.rng.next_u64() % TICK.as_micros() as u64);
        self.schedule(self.now + offset, Happening::Tick(number, incarnation));
        self.schedule(self.now + offset, Happening::ReadList(number, incarnation));
    }

    fn schedule(&mut self, at: Duration, happening: Happening) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), happening);
    }

    fn deliver(&mut self, at: Duration, node: usize, event: Event) {
        let incarnation = self.nodes[node].incarnation;
        self.schedule(at, Happening::Deliver(node, incarnation, event));
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Tick(node, incarnation) => {
                if self.is_running(node, incarnation) {
                    self.schedule(self.now + TICK, Happening::Tick(node, incarnation));
                    if !self.nodes[node].paused {
                        self.handle(node, Event::Tick);
                    }
                }
            }
            Happening::ReadList(node, incarnation) => {
                if self.is_running(node, incarnation) {
                    self.schedule(
                        self.now + LIST_EVERY,
                        Happening::ReadList(node, incarnation),
                    );
                    self.read_list(node);
                }
            }
            Happening::Deliver(node, incarnation, event) => {
                if self.is_running(node, incarnation) {
                    self.handle(node, event);
                }
            }
            Happening::ApplyLate(transaction) => {
                if !self.table_faults.down {
                    self.table.transact(transaction);
                }
            }
            Happening::Arrive(script, node, caller) => self.arrived(*script, node, caller),
            Happening::Leave(caller) => self.left(caller),
            Happening::PrefillDone(engine, life) => self.prefill_done(&engine, life),
            Happening::KvArrived(engine, life, attempt) => {
                self.kv_arrived(&engine, life, &attempt);
            }
            Happening::Step(engine, life) => self.step(&engine, life),
            Happening::Timeout(engine, life, attempt) => self.timed_out(&engine, life, &attempt),
            Happening::WorkerDone(worker, call) => self.worker_done(&worker, call),
            Happening::CheckFreed(caller) => self.check_freed(caller),
        }
    }

    fn check_freed(&mut self, caller: CallerId) {
        if !self.held().contains(&caller) {
            return;
        }
        match self.nodes[self.outcomes[&caller].node].paused {
            // Nothing of a frozen process runs; the time counts from its thaw.
            true => self.schedule(self.now + FREED_AFTER, Happening::CheckFreed(caller)),
            false => self.held_too_long.push(caller),
        }
    }

    fn is_running(&self, node: usize, incarnation: u64) -> bool {
        let node = &self.nodes[node];
        node.router.is_some() && node.incarnation == incarnation && !node.stopped
    }

    fn handle(&mut self, node: usize, event: Event) {
        let now = self.now;
        let target = &mut self.nodes[node];
        if target.paused {
            return target.backlog.push(event);
        }
        let local = target.local_time(now);
        let Some(router) = &mut target.router else {
            return;
        };
        for action in router.handle(local, event) {
            self.perform(node, action);
        }
    }

    fn perform(&mut self, node: usize, action: Action) {
        match action {
            Action::Reply { caller, reply } => self.replied(caller, reply),
            Action::Call {
                call,
                address,
                request,
            } => self.call(node, call, address, request),
            Action::Platform { op, request } => self.platform(node, op, request),
            Action::Send { to, msg, .. } => self.send(node, &to, msg),
            Action::Operator { operator, reply } => {
                self.operator_replies.insert(operator, (self.now, reply));
            }
            Action::Measure {
                customer, sample, ..
            } => self.measured(customer, sample),
            Action::Log(event) => self.log.push((self.now, node, event)),
            Action::Stopped => self.nodes[node].stopped = true,
        }
    }

    fn measured(&mut self, customer: CustomerId, sample: Sample) {
        if let Sample::Charged { id, .. } = sample {
            let name = format_smolstr!("{id}");
            self.audit.charged(customer, name, self.now);
        }
    }

    fn send(&mut self, node: usize, to: &InstanceId, msg: PeerMsg) {
        let from = self.nodes[node].id.clone();
        self.peer_messages += 1;
        if let Some(on_message) = &mut self.on_peer_message {
            on_message(to, &msg);
        }
        let Some(target) = self.nodes.iter().position(|node| node.id == to.0) else {
            return;
        };
        let lost = self.rng.next_u64() % 100 < self.network.loss_percent;
        if lost || !self.network.reaches(&from, to.as_str()) {
            return;
        }
        let random = self.rng.next_u64();
        let at = self.network.arrival(&from, to.as_str(), random, self.now);
        self.deliver(
            at,
            target,
            Event::Peer {
                from: InstanceId(from),
                msg,
            },
        );
    }

    fn read_list(&mut self, node: usize) {
        let shown = self.list.values().filter(|(_, at, _)| *at <= self.now);
        let after = self.nodes[node].list_revision;
        let news: Vec<_> = shown
            .filter(|(revision, ..)| *revision > after)
            .cloned()
            .collect();
        let revision = news
            .iter()
            .map(|(revision, ..)| *revision)
            .max()
            .unwrap_or(after);
        let entries = news.into_iter().filter_map(|(_, _, entry)| entry).collect();
        self.nodes[node].list_revision = revision;
        self.handle(
            node,
            Event::List(ListDelta {
                entries,
                removed: Vec::new(),
            }),
        );
    }

    fn platform(&mut self, node: usize, op: OpId, request: PlatformOp) {
        let there = self.network.latency() + self.table_faults.slow;
        let back = self.now + there * 2;
        let gives_up = self.now + TableFaults::TIMEOUT;
        let reaches = self.network.reaches(&self.nodes[node].id.clone(), "table");
        if self.table_faults.down || !reaches || back > gives_up {
            if back > gives_up
                && reaches
                && !self.table_faults.down
                && let PlatformOp::Transact(transaction) = request
            {
                self.schedule(self.now + there, Happening::ApplyLate(transaction));
            }
            return self.deliver(
                gives_up,
                node,
                Event::Platform {
                    op,
                    result: Err(Unsettled),
                },
            );
        }
        let is_write = matches!(request, PlatformOp::Transact(_));
        let roll = self.rng.next_u64() % 100;
        if is_write && roll < self.table_faults.late_writes_percent {
            if let PlatformOp::Transact(transaction) = request {
                let at = self.now + TableFaults::LATE;
                self.schedule(at, Happening::ApplyLate(transaction));
            }
            return self.deliver(
                gives_up,
                node,
                Event::Platform {
                    op,
                    result: Err(Unsettled),
                },
            );
        }
        let reply = self.apply(request);
        if is_write
            && roll < self.table_faults.late_writes_percent + self.table_faults.lost_replies_percent
        {
            return self.deliver(
                gives_up,
                node,
                Event::Platform {
                    op,
                    result: Err(Unsettled),
                },
            );
        }
        self.deliver(
            back,
            node,
            Event::Platform {
                op,
                result: Ok(reply),
            },
        );
    }

    fn apply(&mut self, request: PlatformOp) -> PlatformReply {
        match request {
            PlatformOp::Transact(transaction) => {
                PlatformReply::Transaction(self.table.transact(transaction))
            }
            PlatformOp::Rows { prefix, after } => {
                PlatformReply::Rows(self.table.rows(&prefix, after))
            }
            PlatformOp::PutObject { name, value } => {
                self.objects.insert(name, value);
                PlatformReply::Stored
            }
            PlatformOp::GetObject { name } => {
                PlatformReply::Object(self.objects.get(&name).cloned())
            }
        }
    }

    fn arrived(&mut self, script: Script, node: usize, caller: CallerId) {
        let inbound = script.inbound();
        if let Some(after) = script.leaves_after {
            self.schedule(self.now + after, Happening::Leave(caller));
        }
        self.outcomes
            .insert(caller, Outcome::new(script, node, self.now));
        self.handle(node, Event::Arrived { caller, inbound });
    }

    fn left(&mut self, caller: CallerId) {
        let outcome = &self.outcomes[&caller];
        let (node, running) = (outcome.node, outcome.end.is_none());
        let position = outcome.tokens;
        if running {
            if let Some(outcome) = self.outcomes.get_mut(&caller) {
                outcome.left = Some(self.now);
            }
            self.schedule(self.now + FREED_AFTER, Happening::CheckFreed(caller));
            self.handle(node, Event::CallerGone { caller, position });
        }
    }

    fn replied(&mut self, caller: CallerId, reply: Reply) {
        let now = self.now;
        let Some(outcome) = self.outcomes.get_mut(&caller) else {
            return;
        };
        outcome.answers += 1;
        self.schedule(now + FREED_AFTER, Happening::CheckFreed(caller));
        let Some(outcome) = self.outcomes.get_mut(&caller) else {
            return;
        };
        outcome.ended.get_or_insert(now);
        outcome.end.get_or_insert(match reply {
            Reply::Refused(verdict) => End::Refused(verdict),
            Reply::Finished { .. } => End::Finished,
            Reply::Plain(_) => End::Plain,
            Reply::Recorded(outcome) => End::Recorded(outcome),
            Reply::Json(value) => End::Json(value),
        });
    }

    fn call(&mut self, node: usize, call: CallId, address: SmolStr, request: Call) {
        let is_up = match (self.engines.get(&address), self.workers.get(&address)) {
            (Some(engine), _) => engine.up,
            (_, Some(worker)) => worker.up,
            _ => false,
        };
        let reaches = self.network.reaches(&self.nodes[node].id.clone(), &address);
        if !is_up || !reaches {
            let fault = if reaches {
                CallFault::Refused
            } else {
                CallFault::Stalled
            };
            let wait = if reaches {
                self.network.latency() * 2
            } else {
                TOKEN_TIMEOUT
            };
            let position = self.position_of(&request);
            return self.fail(node, call, fault, position, wait);
        }
        self.note_late_work(&address, &request);
        let incarnation = self.nodes[node].incarnation;
        let job = |caller, attempt| EngineCall {
            node,
            incarnation,
            call,
            caller,
            attempt,
        };
        match request {
            Call::Load => self.load(node, call, &address),
            Call::Cancel { attempt } => {
                if let Some(engine) = self.engines.get_mut(&address) {
                    engine.streams.remove(&attempt);
                    engine.prefills.retain(|job| job.call.attempt != attempt);
                }
                self.result(
                    node,
                    call,
                    CallResult::Cancelled,
                    self.network.latency() * 2,
                );
            }
            Call::Prefill { caller, attempt } => {
                self.name(caller, &attempt);
                self.prefill(&address, job(caller, attempt));
            }
            Call::Decode {
                caller,
                attempt,
                source,
                max_tokens,
                ..
            } => {
                self.name(caller, &attempt);

                self.decode(&address, job(caller, attempt), &source, max_tokens);
            }
            Call::Resume { caller, .. } => {
                // Streams of the world break only with their engine.
                let (fault, position) = (CallFault::KvLost, self.outcomes[&caller].tokens);
                self.fail(node, call, fault, position, self.network.latency() * 2);
            }
            Call::Plain { caller, attempt } => {
                self.name(caller, &attempt);
                self.serve(
                    &address,
                    WorkerRun {
                        node,
                        incarnation,
                        call,
                        caller,
                    },
                );
            }
        }
    }

    fn note_late_work(&mut self, address: &SmolStr, request: &Call) {
        let is_new = matches!(request, Call::Prefill { .. } | Call::Plain { .. });
        let left = self.left_at.get(address).filter(|_| is_new);
        if let Some(left) = left.filter(|left| self.now > **left + LEFT_AFTER) {
            self.late_work.push(format!(
                "{address} left at {left:?}, got work at {:?}",
                self.now
            ));
        }
    }

    /// Remembers which request serves a caller, from the name of its attempt.
    fn name(&mut self, caller: CallerId, attempt: &SmolStr) {
        if let Some((name, _)) = attempt.rsplit_once('-') {
            self.names.insert(caller, SmolStr::new(name));
        }
        if let Some(outcome) = self.outcomes.get_mut(&caller) {
            outcome.attempt = attempt.to_string();
        }
    }

    fn position_of(&self, request: &Call) -> u32 {
        match request {
            Call::Prefill { caller, .. }
            | Call::Decode { caller, .. }
            | Call::Resume { caller, .. } => self.outcomes.get(caller).map_or(0, |o| o.tokens),
            _ => 0,
        }
    }

    fn result(&mut self, node: usize, call: CallId, result: CallResult, after: Duration) {
        self.deliver(self.now + after, node, Event::Call { call, result });
    }

    fn fail(
        &mut self,
        node: usize,
        call: CallId,
        fault: CallFault,
        position: u32,
        after: Duration,
    ) {
        self.result(node, call, CallResult::Failed { fault, position }, after);
    }

    /// Gives the end of an engine's call to the incarnation that made it.
    fn answer(&mut self, job: &EngineCall, result: CallResult, after: Duration) {
        if self.nodes[job.node].incarnation == job.incarnation {
            self.result(job.node, job.call, result, after);
        }
    }

    fn load(&mut self, node: usize, call: CallId, address: &SmolStr) {
        let now = self.now;
        let after = self.network.latency() * 2;
        if let Some(engine) = self.engines.get_mut(address) {
            let load = engine.report(now);
            self.result(node, call, CallResult::Load(load), after);
        }
    }

    fn prefill(&mut self, address: &SmolStr, call: EngineCall) {
        let outcome = &self.outcomes[&call.caller];
        let tokens = outcome.script.prompt_tokens + outcome.tokens;
        let prefix = match &outcome.script.target {
            jacinthlever_core::Target::Model { prefix, .. } => prefix.clone(),
            _ => Vec::new(),
        };
        let position = outcome.tokens;
        let after = self.network.latency() * 2;
        let Some(engine) = self.engines.get_mut(address) else {
            return;
        };
        if !engine.has_room(0) {
            let result = CallResult::Failed {
                fault: CallFault::Full,
                position,
            };
            return self.answer(&call, result, after);
        }
        let (life, attempt) = (engine.life, call.attempt.clone());
        engine.prefills.push_back(PrefillJob {
            call,
            tokens,
            cached: 0,
            prefix,
        });
        let is_first = engine.prefills.len() == 1;
        if engine.faults.stalled {
            let at = self.now + PREFILL_TIMEOUT;
            return self.schedule(at, Happening::Timeout(address.clone(), life, attempt));
        }
        if is_first {
            self.start_prefill(address);
        }
    }

    fn start_prefill(&mut self, address: &SmolStr) {
        let Some(engine) = self.engines.get_mut(address) else {
            return;
        };
        let Some(job) = engine.prefills.front().cloned() else {
            return;
        };
        let cached = engine.cache(&job.prefix, job.tokens);
        if let Some(job) = engine.prefills.front_mut() {
            job.cached = cached;
        }
        let fresh = job.tokens - cached;
        let time = Duration::from_secs_f64(f64::from(fresh) / engine.spec.prefill_rate);
        let time = engine.slowed(time) + Duration::from_millis(2);
        engine.prefilled += u64::from(fresh);
        let life = engine.life;
        self.schedule(
            self.now + time,
            Happening::PrefillDone(address.clone(), life),
        );
    }

    fn prefill_done(&mut self, address: &SmolStr, life: u64) {
        let now = self.now;
        let after = self.network.latency();
        let Some(engine) = self.engines.get_mut(address) else {
            return;
        };
        if engine.life != life || engine.faults.stalled {
            return;
        }
        let Some(job) = engine.prefills.pop_front() else {
            return;
        };
        let kv = engine.keep_kv(job.tokens, now);
        let fresh = u64::from(job.tokens - job.cached);
        let wasted = self.unused_prefill.insert(job.call.caller, fresh);
        self.wasted_prefill += wasted.unwrap_or_default();
        let result = CallResult::Prefilled {
            kv,
            prompt_tokens: job.tokens,
            cached_tokens: job.cached,
        };
        self.answer(&job.call, result, after);
        self.start_prefill(address);
    }

    fn decode(&mut self, address: &SmolStr, call: EngineCall, source: &KvSource, max_tokens: u32) {
        let outcome = &self.outcomes[&call.caller];
        let (position, poison) = (outcome.tokens, outcome.script.poison);
        let end = outcome.script.length;
        let tokens = u64::from(outcome.script.prompt_tokens) + u64::from(max_tokens);
        let pages = FakeEngine::pages(tokens);
        let back = self.network.latency() * 2;
        let failed = |fault| CallResult::Failed { fault, position };
        let has_room = self
            .engines
            .get(address)
            .is_some_and(|engine| engine.has_room(pages));
        if !has_room {
            return self.answer(&call, failed(CallFault::Full), back);
        }
        let Some(arrives) = self.export(source) else {
            return self.answer(&call, failed(CallFault::KvLost), back);
        };
        let now = self.now;
        let Some(engine) = self.engines.get_mut(address) else {
            return;
        };

        let (life, attempt) = (engine.life, call.attempt.clone());
        let stalled = engine.faults.stalled;
        let stream = DecodeStream {
            call,
            position,
            from: position,
            end,
            pages,
            is_poison: poison,
            ready: false,
            since: now,
        };
        engine.streams.insert(attempt.clone(), stream);
        let timeout = now + TOKEN_TIMEOUT;
        self.schedule(
            timeout,
            Happening::Timeout(address.clone(), life, attempt.clone()),
        );
        if let Some(arrives) = arrives.filter(|_| !stalled) {
            self.schedule(
                arrives,
                Happening::KvArrived(address.clone(), life, attempt),
            );
        }
    }

    /// Returns when KV cache arrives; `None` within if the transfer stalls, outside if it is gone.
    fn export(&mut self, source: &KvSource) -> Option<Option<Duration>> {
        let now = self.now + self.network.latency();
        let engine = self
            .engines
            .get_mut(&source.address)
            .filter(|engine| engine.up)?;
        let kv = engine.kv.remove(&source.kv)?;
        if now > kv.made + engine.spec.keep {
            return None;
        }
        if engine.faults.stalled_export {
            return Some(None);
        }
        let time = Duration::from_secs_f64(f64::from(kv.tokens) / engine.spec.link_rate);
        let start = engine.link_free.max(now);
        engine.link_free = start + engine.slowed(time);
        Some(Some(engine.link_free))
    }

    fn kv_arrived(&mut self, address: &SmolStr, life: u64, attempt: &SmolStr) {
        let now = self.now;
        let Some(engine) = self.engines.get_mut(address).filter(|e| e.life == life) else {
            return;
        };
        let Some(stream) = engine.streams.get_mut(attempt) else {
            return;
        };
        stream.ready = true;
        stream.since = now;
        if !engine.stepping {
            engine.stepping = true;
            let time = engine.slowed(engine.spec.step_time(1));
            self.schedule(now + time, Happening::Step(address.clone(), life));
        }
    }

    /// Gives each ready stream of an engine one token.
    fn step(&mut self, address: &SmolStr, life: u64) {
        let now = self.now;
        let Some(engine) = self.engines.get_mut(address).filter(|e| e.life == life) else {
            return;
        };
        if engine.faults.stalled {
            engine.stepping = false;
            return self.freeze(address, life);
        }
        let mut given = Vec::new();
        let mut poisoned = false;
        for stream in engine.streams.values_mut().filter(|stream| stream.ready) {
            poisoned |= stream.is_poison && stream.position >= POISON_AT;
            stream.position += 1;
            stream.since = now;
            given.push(stream.clone());
        }
        if poisoned {
            return self.crash_at(address);
        }
        let ready = given.len();
        engine.stepping = ready > 0;
        let time = engine.slowed(engine.spec.step_time(ready));
        if ready > 0 {
            self.schedule(now + time, Happening::Step(address.clone(), life));
        }
        for stream in given {
            self.give_token(address, stream);
        }
    }

    /// Lets the shells of all streams of an engine that stalls give up in time.
    fn freeze(&mut self, address: &SmolStr, life: u64) {
        let at = self.now + TOKEN_TIMEOUT;
        let Some(engine) = self.engines.get(address) else {
            return;
        };
        let attempts: Vec<SmolStr> = engine.streams.keys().cloned().collect();
        for attempt in attempts {
            self.schedule(at, Happening::Timeout(address.clone(), life, attempt));
        }
    }

    fn give_token(&mut self, address: &SmolStr, stream: DecodeStream) {
        let now = self.now;
        let after = self.network.latency();
        let node = &self.nodes[stream.call.node];
        let connected = node.incarnation == stream.call.incarnation && node.router.is_some();
        let (attempt, position) = (stream.call.attempt.clone(), stream.position);
        if connected && let Some(outcome) = self.outcomes.get_mut(&stream.call.caller) {
            let expected = outcome.attempt == attempt.as_str() && position == outcome.tokens + 1;
            if expected && outcome.left.is_none() && outcome.end.is_none() {
                outcome.tokens = position;
                outcome.first_token.get_or_insert(now + after);
                outcome.last_token = Some(now + after);
            }
        }
        if position == stream.from + 1 {
            self.unused_prefill.remove(&stream.call.caller);
            self.answer(&stream.call, CallResult::FirstToken, after);
        }
        if position == HARMLESS_TOKENS {
            self.answer(&stream.call, CallResult::Harmless, after);
        }
        if position >= stream.end || !connected {
            if let Some(engine) = self.engines.get_mut(address) {
                engine.streams.remove(&attempt);
            }
            let result = CallResult::Decoded {
                finish: FinishReason::Stop,
                position,
            };
            self.answer(&stream.call, result, after);
        }
    }

    fn timed_out(&mut self, address: &SmolStr, life: u64, attempt: &SmolStr) {
        let now = self.now;
        let Some(engine) = self.engines.get_mut(address).filter(|e| e.life == life) else {
            return;
        };
        if let Some(at) = engine
            .prefills
            .iter()
            .position(|job| job.call.attempt == *attempt)
        {
            if let Some(job) = engine.prefills.remove(at) {
                let position = self.outcomes[&job.call.caller].tokens;
                let result = CallResult::Failed {
                    fault: CallFault::Stalled,
                    position,
                };
                self.answer(&job.call, result, Duration::ZERO);
            }
            return;
        }
        let Some(stream) = engine.streams.get(attempt).cloned() else {
            return;
        };
        if now < stream.since + TOKEN_TIMEOUT {
            return;
        }
        // An engine gives up an import by itself; one that stalls does not even do that.
        let importing = !stream.ready && !engine.faults.stalled;
        let fault = if importing {
            CallFault::KvLost
        } else {
            CallFault::Stalled
        };
        let position = self.outcomes[&stream.call.caller].tokens;
        let result = CallResult::Failed { fault, position };
        self.answer(&stream.call, result, Duration::ZERO);
    }

    fn crash_at(&mut self, address: &SmolStr) {
        let after = self.network.latency();
        let Some(engine) = self.engines.get_mut(address) else {
            return;
        };
        engine.up = false;
        engine.crashes += 1;
        let prefills = engine.prefills.iter().map(|job| job.call.clone());
        let streams = engine.streams.values().map(|stream| stream.call.clone());
        let calls: Vec<EngineCall> = prefills.chain(streams).collect();
        engine.clear();
        for call in calls {
            let position = self.outcomes[&call.caller].tokens;
            let result = CallResult::Failed {
                fault: CallFault::Crashed,
                position,
            };
            self.answer(&call, result, after);
        }
    }

    /// Ends the connections that a dead node held to backend servers for a caller.
    fn drop_connections(&mut self, caller: CallerId) {
        for engine in self.engines.values_mut() {
            engine
                .streams
                .retain(|_, stream| stream.call.caller != caller);
            engine.prefills.retain(|job| job.call.caller != caller);
        }
    }

    fn serve(&mut self, address: &SmolStr, run: WorkerRun) {
        let Some(worker) = self.workers.get_mut(address) else {
            return;
        };
        worker.runs.push(run.caller);
        let (takes, stalled, call) = (worker.takes, worker.stalled, run.call);
        if stalled {
            let result = CallResult::Failed {
                fault: CallFault::Stalled,
                position: 0,
            };
            return self.result(run.node, call, result, SERVICE_TIMEOUT);
        }
        worker.running.push(run);
        self.schedule(
            self.now + takes,
            Happening::WorkerDone(address.clone(), call),
        );
    }

    fn worker_done(&mut self, address: &SmolStr, call: CallId) {
        let after = self.network.latency();
        let Some(worker) = self.workers.get_mut(address) else {
            return;
        };
        let Some(at) = worker.running.iter().position(|run| run.call == call) else {
            return;
        };
        let run = worker.running.remove(at);
        let number = worker.runs.len();
        let response = PlainResponse {
            status: 200,
            content_type: SmolStr::new_static("application/json"),
            body: json!({"run": number}).to_string().into_bytes(),
        };
        if self.nodes[run.node].incarnation == run.incarnation {
            self.result(run.node, call, CallResult::Plain(Arc::new(response)), after);
        }
    }

    /// Crashes a worker in the middle of what it runs.
    pub fn crash_worker(&mut self, id: &str) {
        let after = self.network.latency();
        let Some(worker) = self.worker_mut(id) else {
            return;
        };
        worker.up = false;
        for run in std::mem::take(&mut worker.running) {
            let result = CallResult::Failed {
                fault: CallFault::Crashed,
                position: 0,
            };
            if self.nodes[run.node].incarnation == run.incarnation {
                self.result(run.node, run.call, result, after);
            }
        }
    }

    fn engine_address(&self, id: &str) -> Option<SmolStr> {
        let mut engines = self.engines.iter();
        engines
            .find(|(_, engine)| engine.id == id)
            .map(|(address, _)| address.clone())
    }
}
