//! The simulation: cores, fakes and the queue of scheduled events.

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
    Deployment, End, FakeEngine, FakeInstance, FakeWorker, LimitAudit, NaiveRouter, Network,
    Outcome, Router, Script, TableFaults,
};

/// Interval between two ticks of a core.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Interval between two reads of the list.
const LIST_READ_INTERVAL: Duration = Duration::from_secs(1);

/// Time within which the engine memory of an ended request must be released.
pub(crate) const MAX_RELEASE_DELAY: Duration = Duration::from_secs(2);

/// Which router the instances run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouterKind {
    /// The decision core.
    Core,
    /// The naive router that serves as the baseline.
    Naive,
}

/// Callback for each message between instances, given its receiver.
pub type OnPeerMessage = Box<dyn FnMut(&InstanceId, &PeerMsg)>;

/// An event of the simulation, processed at its scheduled time.
pub(crate) enum ScheduledEvent {
    Tick(usize, u64),
    ReadList(usize, u64),
    Deliver(usize, u64, Event),
    ApplyLate(Transaction),
    Arrive(Box<Script>, usize, CallerId),
    Disconnect(CallerId),
    PrefillDone(SmolStr, u64),
    KvArrived(SmolStr, u64, SmolStr),
    Step(SmolStr, u64),
    Timeout(SmolStr, u64, SmolStr),
    WorkerDone(SmolStr, CallId),
    CheckReleased(CallerId),
}

/// A simulated deployment: cores, fakes and a virtual clock.
pub struct World {
    /// Time since the start of the simulation.
    pub now: Duration,
    /// Instances, by number.
    pub instances: Vec<FakeInstance>,
    /// Rows of the table service.
    pub table: TableState,
    /// Faults of the table service that are in effect.
    pub table_faults: TableFaults,
    /// Engines, by address.
    pub engines: BTreeMap<SmolStr, FakeEngine>,
    /// Workers, by address.
    pub workers: BTreeMap<SmolStr, FakeWorker>,
    /// Network between all simulated machines.
    pub network: Network,
    /// Requests and their outcomes so far.
    pub outcomes: BTreeMap<CallerId, Outcome>,
    /// Charged and used tokens of every customer.
    pub audit: LimitAudit,
    /// Log events of all instances, each with its time and the instance's number.
    pub log: Vec<(Duration, usize, LogEvent)>,
    /// Answers to operator requests, each with the time of the answer.
    pub operator_replies: BTreeMap<OperatorId, (Duration, OperatorReply)>,
    /// Prompt tokens of prefills that no decode has used yet, by caller.
    pub(crate) unused_prefill: BTreeMap<CallerId, u64>,
    pub(crate) wasted_prefill: u64,
    /// Revoked keys, each with the time at which the revocation was accepted.
    pub revoked_keys: BTreeMap<SmolStr, Duration>,
    /// Descriptions of new work that was sent to leaving machines after their grace time.
    pub late_dispatches: Vec<String>,
    /// Requests that still occupied engine memory too long after they had ended or their caller had
    /// disconnected.
    pub late_releases: Vec<CallerId>,
    /// When the load of a scenario started.
    pub load_started_at: Duration,
    /// Number of messages sent between instances.
    pub peer_messages: u64,
    /// Called with every message between instances.
    pub on_peer_message: Option<OnPeerMessage>,
    /// Whether the engines had free capacity, at each time that this changed.
    pub(crate) capacity_changes: BTreeMap<Duration, bool>,
    /// When listed machines were marked as leaving.
    pub(crate) leaving_since: BTreeMap<SmolStr, Duration>,
    pub(crate) deployment: Deployment,
    pub(crate) kind: RouterKind,
    pub(crate) objects: BTreeMap<SmolStr, Value>,
    pub(crate) list: BTreeMap<SmolStr, (u64, Duration, Option<ListEntry>)>,
    pub(crate) list_revision: u64,
    /// Request ids, by the caller they serve.
    pub(crate) request_ids: BTreeMap<CallerId, SmolStr>,
    pub(crate) queue: BTreeMap<(Duration, u64), ScheduledEvent>,
    pub(crate) sequence: u64,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) next_caller: u64,
    pub(crate) next_operator: u64,
}

impl World {
    /// Creates the simulation and starts all instances.
    pub fn new(deployment: Deployment, kind: RouterKind, seed: u64) -> Self {
        let mut world = Self {
            now: Duration::ZERO,
            instances: Vec::new(),
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
            revoked_keys: BTreeMap::new(),
            late_dispatches: Vec::new(),
            leaving_since: BTreeMap::new(),
            capacity_changes: BTreeMap::new(),
            late_releases: Vec::new(),
            load_started_at: Duration::ZERO,
            peer_messages: 0,
            on_peer_message: None,
            kind,
            objects: BTreeMap::new(),
            list: BTreeMap::new(),
            list_revision: 0,
            request_ids: BTreeMap::new(),
            queue: BTreeMap::new(),
            sequence: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            next_caller: 0,
            next_operator: 0,
            deployment,
        };
        world.write_configuration();
        world.populate_list();
        for number in 0..world.deployment.instances {
            world.start_instance(number);
        }
        world
    }

    /// Returns the simulated deployment.
    pub fn deployment(&self) -> &Deployment {
        &self.deployment
    }

    /// Returns the next number of the simulation's seeded generator.
    pub fn random(&mut self) -> u64 {
        self.rng.next_u64()
    }

    /// Schedules a request to an instance and returns the number of its caller.
    pub fn submit_at(&mut self, at: Duration, instance: usize, script: Script) -> CallerId {
        self.next_caller += 1;
        let caller = CallerId(self.next_caller);
        self.schedule(
            at,
            ScheduledEvent::Arrive(Box::new(script), instance, caller),
        );
        caller
    }

    /// Sends a request to an instance now and returns the number of its caller.
    pub fn submit(&mut self, instance: usize, script: Script) -> CallerId {
        self.submit_at(self.now, instance, script)
    }

    /// Returns the outcome of a request that has already been sent.
    pub fn outcome(&self, caller: CallerId) -> &Outcome {
        &self.outcomes[&caller]
    }

    /// Sends an operator request to an instance.
    pub fn submit_operator_request(
        &mut self,
        instance: usize,
        request: OperatorRequest,
    ) -> OperatorId {
        self.next_operator += 1;
        let operator = OperatorId(self.next_operator);
        let at = self.now;
        self.deliver(at, instance, Event::Operator { operator, request });
        operator
    }

    /// Advances the clock and processes all events that are due.
    pub fn run_for(&mut self, time: Duration) {
        let until = self.now + time;
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > until {
                break;
            }
            let ((at, _), scheduled) = entry.remove_entry();
            self.now = at;
            self.process_event(scheduled);
            self.record_capacity();
        }
        self.now = until;
    }

    /// Advances the clock until a condition holds; returns whether it did before the timeout.
    pub fn run_until(&mut self, timeout: Duration, condition: impl Fn(&Self) -> bool) -> bool {
        let until = self.now + timeout;
        while !condition(self) {
            if self.now >= until {
                return false;
            }
            self.run_for(TICK_INTERVAL);
        }
        true
    }

    /// Runs until the fleet owns all partitions and every instance is ready; returns whether that
    /// happened within a minute.
    pub fn settle(&mut self) -> bool {
        if self.kind == RouterKind::Naive {
            // The naive router has no shared state to agree on; it only reads the list.
            self.run_for(LIST_READ_INTERVAL * 2);
            return true;
        }
        let partitions = jacinthlever_core::PARTITION_COUNT as usize;
        self.run_until(Duration::from_secs(60), |world| {
            let cores: Vec<&Core> = world
                .instances
                .iter()
                .filter_map(FakeInstance::core)
                .collect();
            cores.iter().all(|core| core.is_ready())
                && cores
                    .iter()
                    .map(|core| core.owned_partitions())
                    .sum::<usize>()
                    == partitions
        })
    }

    /// Kills an instance's process.
    pub fn kill(&mut self, instance: usize) {
        let down = &mut self.instances[instance];
        down.router = None;
        down.backlog.clear();
        down.paused = false;
        down.incarnation += 1;
        let interrupted: Vec<CallerId> = self
            .outcomes
            .iter()
            .filter(|(_, outcome)| outcome.instance == instance && outcome.end.is_none())
            .map(|(caller, _)| *caller)
            .collect();
        for caller in interrupted {
            self.drop_connections(caller);
        }
        self.reset_connections(instance);
    }

    /// Reports the connections of a dead process as reset to all peers that can reach it.
    pub(crate) fn reset_connections(&mut self, dead: usize) {
        let id = self.instances[dead].id.clone();
        let at = self.now + self.network.latency();
        for peer in 0..self.instances.len() {
            let own = self.instances[peer].id.clone();
            if peer != dead && self.network.reaches(&own, &id) {
                self.deliver(at, peer, Event::PeerLost(InstanceId(id.clone())));
            }
        }
    }

    /// Restarts an instance's process on the same address.
    pub fn restart(&mut self, instance: usize) {
        self.start_instance(instance);
    }

    /// Pauses an instance's process; events for it queue up.
    pub fn pause(&mut self, instance: usize) {
        self.instances[instance].paused = true;
    }

    /// Resumes an instance's process, which then handles all events that arrived meanwhile.
    pub fn resume(&mut self, instance: usize) {
        self.instances[instance].paused = false;
        let backlog = std::mem::take(&mut self.instances[instance].backlog);
        for event in backlog {
            self.handle(instance, event);
        }
    }

    /// Sets the drift of an instance's clock relative to the simulation's, in parts per million.
    pub fn set_clock_drift(&mut self, instance: usize, ppm: i64) {
        self.instances[instance].drift_ppm = ppm;
    }

    pub(crate) fn start_instance(&mut self, number: usize) {
        let id = format_smolstr!("instance-{number}");
        let zone = format_smolstr!("zone-{}", number % self.deployment.zones);
        let incarnation = self
            .instances
            .get(number)
            .map_or(1, |instance| instance.incarnation + 1);
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
        let instance = FakeInstance {
            id,
            zone,
            router: Some(router),
            paused: false,
            stopped: false,
            started: self.now,
            incarnation,
            backlog: Vec::new(),
            list_revision: 0,
            drift_ppm: self
                .instances
                .get(number)
                .map_or(0, |instance| instance.drift_ppm),
        };
        match self.instances.get_mut(number) {
            Some(old) => *old = instance,
            None => self.instances.push(instance),
        }
        // Instances do not tick in lockstep.
        let offset = Duration::from_micros(self.rng.next_u64() % TICK_INTERVAL.as_micros() as u64);
        self.schedule(self.now + offset, ScheduledEvent::Tick(number, incarnation));
        self.schedule(
            self.now + offset,
            ScheduledEvent::ReadList(number, incarnation),
        );
    }

    pub(crate) fn schedule(&mut self, at: Duration, scheduled: ScheduledEvent) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), scheduled);
    }

    pub(crate) fn deliver(&mut self, at: Duration, instance: usize, event: Event) {
        let incarnation = self.instances[instance].incarnation;
        self.schedule(at, ScheduledEvent::Deliver(instance, incarnation, event));
    }

    pub(crate) fn process_event(&mut self, scheduled: ScheduledEvent) {
        match scheduled {
            ScheduledEvent::Tick(instance, incarnation) => {
                if self.is_running(instance, incarnation) {
                    self.schedule(
                        self.now + TICK_INTERVAL,
                        ScheduledEvent::Tick(instance, incarnation),
                    );
                    if !self.instances[instance].paused {
                        self.handle(instance, Event::Tick);
                    }
                }
            }
            ScheduledEvent::ReadList(instance, incarnation) => {
                if self.is_running(instance, incarnation) {
                    self.schedule(
                        self.now + LIST_READ_INTERVAL,
                        ScheduledEvent::ReadList(instance, incarnation),
                    );
                    self.read_list(instance);
                }
            }
            ScheduledEvent::Deliver(instance, incarnation, event) => {
                if self.is_running(instance, incarnation) {
                    self.handle(instance, event);
                }
            }
            ScheduledEvent::ApplyLate(transaction) => {
                if !self.table_faults.down {
                    self.table.transact(transaction);
                }
            }
            ScheduledEvent::Arrive(script, instance, caller) => {
                self.request_arrived(*script, instance, caller)
            }
            ScheduledEvent::Disconnect(caller) => self.caller_disconnected(caller),
            ScheduledEvent::PrefillDone(engine, generation) => {
                self.prefill_done(&engine, generation)
            }
            ScheduledEvent::KvArrived(engine, generation, attempt) => {
                self.kv_arrived(&engine, generation, &attempt);
            }
            ScheduledEvent::Step(engine, generation) => self.step(&engine, generation),
            ScheduledEvent::Timeout(engine, generation, attempt) => {
                self.timed_out(&engine, generation, &attempt)
            }
            ScheduledEvent::WorkerDone(worker, call) => self.worker_done(&worker, call),
            ScheduledEvent::CheckReleased(caller) => self.check_released(caller),
        }
    }

    pub(crate) fn is_running(&self, instance: usize, incarnation: u64) -> bool {
        let instance = &self.instances[instance];
        instance.router.is_some() && instance.incarnation == incarnation && !instance.stopped
    }

    pub(crate) fn handle(&mut self, instance: usize, event: Event) {
        let now = self.now;
        let target = &mut self.instances[instance];
        if target.paused {
            return target.backlog.push(event);
        }
        let local = target.local_time(now);
        let Some(router) = &mut target.router else {
            return;
        };
        for action in router.handle(local, event) {
            self.perform(instance, action);
        }
    }

    pub(crate) fn perform(&mut self, instance: usize, action: Action) {
        match action {
            Action::Reply { caller, reply } => self.record_reply(caller, reply),
            Action::Call {
                call,
                address,
                request,
            } => self.call(instance, call, address, request),
            Action::Platform { op, request } => self.platform(instance, op, request),
            Action::Send { to, msg, .. } => self.send(instance, &to, msg),
            Action::Operator { operator, reply } => {
                self.operator_replies.insert(operator, (self.now, reply));
            }
            Action::Measure {
                customer, sample, ..
            } => self.record_sample(customer, sample),
            Action::Log(event) => self.log.push((self.now, instance, event)),
            Action::Stopped => self.instances[instance].stopped = true,
        }
    }

    pub(crate) fn record_sample(&mut self, customer: CustomerId, sample: Sample) {
        if let Sample::Charged { id, .. } = sample {
            let name = format_smolstr!("{id}");
            self.audit.record_charge(customer, name, self.now);
        }
    }

    pub(crate) fn send(&mut self, instance: usize, to: &InstanceId, msg: PeerMsg) {
        let from = self.instances[instance].id.clone();
        self.peer_messages += 1;
        if let Some(on_message) = &mut self.on_peer_message {
            on_message(to, &msg);
        }
        let Some(target) = self
            .instances
            .iter()
            .position(|instance| instance.id == to.0)
        else {
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

    pub(crate) fn request_arrived(&mut self, script: Script, instance: usize, caller: CallerId) {
        let inbound = script.inbound();
        if let Some(after) = script.disconnects_after {
            self.schedule(self.now + after, ScheduledEvent::Disconnect(caller));
        }
        self.outcomes
            .insert(caller, Outcome::new(script, instance, self.now));
        self.handle(instance, Event::Arrived { caller, inbound });
    }

    pub(crate) fn caller_disconnected(&mut self, caller: CallerId) {
        let outcome = &self.outcomes[&caller];
        let (instance, running) = (outcome.instance, outcome.end.is_none());
        let position = outcome.tokens;
        if running {
            if let Some(outcome) = self.outcomes.get_mut(&caller) {
                outcome.disconnected_at = Some(self.now);
            }
            self.schedule(
                self.now + MAX_RELEASE_DELAY,
                ScheduledEvent::CheckReleased(caller),
            );
            self.handle(instance, Event::CallerDisconnected { caller, position });
        }
    }

    pub(crate) fn record_reply(&mut self, caller: CallerId, reply: Reply) {
        let now = self.now;
        let Some(outcome) = self.outcomes.get_mut(&caller) else {
            return;
        };
        outcome.answers += 1;
        self.schedule(
            now + MAX_RELEASE_DELAY,
            ScheduledEvent::CheckReleased(caller),
        );
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
