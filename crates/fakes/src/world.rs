//! The world: cores, fakes and the queue of what happens next.

use std::collections::BTreeMap;
use std::time::Duration;

use jacinthlever_core::{
    Action, CallId, CallerId, Core, CoreSettings, Event, LogEvent, OperatorId, OperatorReply,
    OperatorRequest, Reply, Sample,
};
use jacinthlever_standins::TableState;
use jacinthlever_types::{CustomerId, InstanceId, ListEntry, PeerMsg, Transaction, ZoneId};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use smol_str::{SmolStr, format_smolstr};

use crate::{
    Deployment, End, FakeEngine, FakeWorker, LimitAudit, NaiveRouter, Network, Node, Outcome,
    Router, Script, TableFaults,
};

/// Pause between two ticks of a core.
const TICK: Duration = Duration::from_millis(20);

/// Pause between two reads of the list.
const LIST_EVERY: Duration = Duration::from_secs(1);

/// Time in which engine memory of an ended request must be free.
pub(crate) const FREED_AFTER: Duration = Duration::from_secs(2);

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
pub(crate) enum Happening {
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
    pub(crate) unused_prefill: BTreeMap<CallerId, u64>,
    pub(crate) wasted_prefill: u64,
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
    pub(crate) room: BTreeMap<Duration, bool>,
    /// When listed machines began to leave.
    pub(crate) left_at: BTreeMap<SmolStr, Duration>,
    pub(crate) deployment: Deployment,
    pub(crate) kind: RouterKind,
    pub(crate) objects: BTreeMap<SmolStr, Value>,
    pub(crate) list: BTreeMap<SmolStr, (u64, Duration, Option<ListEntry>)>,
    pub(crate) list_revision: u64,
    /// Names of requests by the caller they serve.
    pub(crate) names: BTreeMap<CallerId, SmolStr>,
    pub(crate) queue: BTreeMap<(Duration, u64), Happening>,
    pub(crate) sequence: u64,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) next_caller: u64,
    pub(crate) next_operator: u64,
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
        if self.kind == RouterKind::Naive {
            // It has nothing to agree on; it only reads the list.
            self.run_for(LIST_EVERY * 2);
            return true;
        }
        let slots = jacinthlever_core::PARTITION_COUNT as usize;
        self.run_until(Duration::from_secs(60), |world| {
            let cores: Vec<&Core> = world.nodes.iter().filter_map(Node::core).collect();
            cores.iter().all(|core| core.is_ready())
                && cores
                    .iter()
                    .map(|core| core.owned_partitions())
                    .sum::<usize>()
                    == slots
        })
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
    pub(crate) fn reset_links(&mut self, dead: usize) {
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

    pub(crate) fn start_node(&mut self, number: usize) {
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

    pub(crate) fn schedule(&mut self, at: Duration, happening: Happening) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), happening);
    }

    pub(crate) fn deliver(&mut self, at: Duration, node: usize, event: Event) {
        let incarnation = self.nodes[node].incarnation;
        self.schedule(at, Happening::Deliver(node, incarnation, event));
    }

    pub(crate) fn happen(&mut self, happening: Happening) {
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

    pub(crate) fn is_running(&self, node: usize, incarnation: u64) -> bool {
        let node = &self.nodes[node];
        node.router.is_some() && node.incarnation == incarnation && !node.stopped
    }

    pub(crate) fn handle(&mut self, node: usize, event: Event) {
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

    pub(crate) fn perform(&mut self, node: usize, action: Action) {
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

    pub(crate) fn measured(&mut self, customer: CustomerId, sample: Sample) {
        if let Sample::Charged { id, .. } = sample {
            let name = format_smolstr!("{id}");
            self.audit.charged(customer, name, self.now);
        }
    }

    pub(crate) fn send(&mut self, node: usize, to: &InstanceId, msg: PeerMsg) {
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

    pub(crate) fn arrived(&mut self, script: Script, node: usize, caller: CallerId) {
        let inbound = script.inbound();
        if let Some(after) = script.leaves_after {
            self.schedule(self.now + after, Happening::Leave(caller));
        }
        self.outcomes
            .insert(caller, Outcome::new(script, node, self.now));
        self.handle(node, Event::Arrived { caller, inbound });
    }

    pub(crate) fn left(&mut self, caller: CallerId) {
        let outcome = &self.outcomes[&caller];
        let (node, running) = (outcome.node, outcome.end.is_none());
        let position = outcome.tokens;
        if running {
            if let Some(outcome) = self.outcomes.get_mut(&caller) {
                outcome.left = Some(self.now);
            }
            self.schedule(self.now + FREED_AFTER, Happening::CheckFreed(caller));
            self.handle(node, Event::CallerDisconnected { caller, position });
        }
    }

    pub(crate) fn replied(&mut self, caller: CallerId, reply: Reply) {
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
}
