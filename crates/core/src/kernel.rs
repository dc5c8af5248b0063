//! The kernel: the state of the core, the stages of requests and event dispatch to plug-ins.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use jacinthlever_types::{
    Class, CustomerId, InstanceId, MemberStatus, PeerMsg, RequestId, Run, Transaction, Verdict,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use slotmap::SlotMap as Arena;
use smol_str::SmolStr;

use crate::partitions::PartitionId;
use crate::plugin::{Plugin, registered};
use crate::plugins::{dispatch, finish, limit_owner, membership, operator};
use crate::{
    Action, Call, CallId, CallerId, ConfigState, CoreSettings, Directory, Event, Flow,
    IdempotencyLedger, Inbound, Lease, Limiter, LogEvent, Members, OpId, PartitionMap, PeerLeases,
    PeriodicTasks, PlatformOp, PlatformReply, Reply, ReqKey, Request, RetryBudget, Sample,
    Scheduler, SuspectRequests, TableHealth, Unsettled, Workers,
};

/// Callback for the result of a platform operation.
pub type PlatformCallback = Box<dyn FnOnce(&mut Core, Result<PlatformReply, Unsettled>) + Send>;

/// Callback of a timer.
pub type TimerCallback = Box<dyn FnOnce(&mut Core) + Send>;

/// Time without a heartbeat after which the requests of an instance count as lost.
const LOST_AFTER: Duration = Duration::from_secs(10);

/// Recipient of the result of a call.
#[derive(Clone, Debug)]
pub(crate) enum CallOwner {
    /// A request.
    Request(ReqKey),
    /// The scheduler of a shard, which probes an engine.
    Probe(jacinthlever_types::ShardId, jacinthlever_types::EngineId),
    /// No recipient: the call frees engine memory, or its request has ended.
    Detached,
}

/// The deterministic decision core of one instance.
///
/// [`Core::handle`] takes the time and an event and returns actions. It does no I/O and reads no
/// clock, so that the daemon, the tests and the benches run the same code.
pub struct Core {
    pub(crate) settings: CoreSettings,
    pub(crate) now: Duration,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) config: ConfigState,
    pub(crate) directory: Directory,
    pub(crate) members: Members,
    pub(crate) heartbeat: u64,
    pub(crate) lease: Lease,
    pub(crate) peer_leases: PeerLeases,
    pub(crate) partitions: PartitionMap,
    pub(crate) limiter: Limiter,
    pub(crate) suspect_requests: SuspectRequests,
    pub(crate) idempotency_ledger: IdempotencyLedger,
    pub(crate) scheduler: Scheduler,
    pub(crate) workers: Workers,
    pub(crate) retries: RetryBudget,
    pub(crate) table_health: TableHealth,
    pub(crate) tasks: PeriodicTasks,
    /// Version of the row that every configuration edit writes.
    pub(crate) config_head: u64,
    pub(crate) requests: Arena<ReqKey, Request>,
    pub(crate) by_number: BTreeMap<u64, ReqKey>,
    pub(crate) by_caller: BTreeMap<CallerId, ReqKey>,
    pub(crate) calls: BTreeMap<CallId, CallOwner>,
    pub(crate) draining: bool,
    pub(crate) stopped: bool,
    plugins: Vec<&'static Plugin>,
    platform_callbacks: BTreeMap<OpId, PlatformCallback>,
    /// Timers, by due time and number.
    timers: BTreeMap<(Duration, u64), TimerCallback>,
    /// Messages from this instance to itself.
    local_messages: VecDeque<PeerMsg>,
    actions: Vec<Action>,
    next_number: u64,
}

impl Core {
    /// Creates a core in its initial state.
    pub fn new(settings: CoreSettings) -> Self {
        Self {
            now: Duration::ZERO,
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            config: ConfigState::default(),
            directory: Directory::default(),
            members: Members::new(settings.heartbeat_interval),
            heartbeat: 0,
            lease: Lease::new(&settings),
            peer_leases: PeerLeases::new(&settings),
            partitions: PartitionMap::default(),
            limiter: Limiter::default(),
            suspect_requests: SuspectRequests::default(),
            idempotency_ledger: IdempotencyLedger::default(),
            scheduler: Scheduler::default(),
            workers: Workers::default(),
            retries: RetryBudget::default(),
            table_health: TableHealth::default(),
            tasks: PeriodicTasks::default(),
            config_head: 0,
            requests: Arena::with_key(),
            by_number: BTreeMap::new(),
            by_caller: BTreeMap::new(),
            calls: BTreeMap::new(),
            draining: false,
            stopped: false,
            plugins: registered(),
            platform_callbacks: BTreeMap::new(),
            timers: BTreeMap::new(),
            local_messages: VecDeque::new(),
            actions: vec![Action::Log(LogEvent::Started {
                instance: settings.instance.clone(),
                incarnation: settings.incarnation,
            })],
            next_number: 1,
            settings,
        }
    }

    /// Handles an event; returns the resulting actions.
    ///
    /// `now` is the time since the start; the core never goes back to an earlier time.
    pub fn handle(&mut self, now: Duration, event: Event) -> Vec<Action> {
        self.now = self.now.max(now);
        match event {
            Event::Tick => self.tick(),
            Event::Arrived { caller, inbound } => self.arrived(caller, inbound),
            Event::CallerDisconnected { caller, position } => {
                finish::caller_disconnected(self, caller, position)
            }
            Event::Call { call, result } => dispatch::call_result(self, call, result),
            Event::Platform { op, result } => self.platform_result(op, result),
            Event::List(delta) => self.directory.apply(delta),
            Event::Peer { from, msg } => self.peer(&from, msg),
            Event::PeerLost(peer) => membership::peer_lost(self, &peer),
            Event::Operator { operator, request } => operator::request(self, operator, request),
        }
        while let Some(msg) = self.local_messages.pop_front() {
            let own = self.settings.instance.clone();
            self.peer(&own, msg);
        }
        std::mem::take(&mut self.actions)
    }

    /// Returns the number of requests that have not been answered yet.
    pub fn running(&self) -> usize {
        self.requests.len()
    }

    /// Describes the requests that have not been answered yet, for diagnostics in tests.
    pub fn describe_running(&self) -> Vec<String> {
        self.requests
            .values()
            .map(|request| format!("{request:?}"))
            .collect()
    }

    /// Returns the configuration revision in force.
    pub fn revision(&self) -> u64 {
        self.config.revision()
    }

    /// Whether callers should be sent to this instance.
    pub fn is_ready(&self) -> bool {
        self.config.is_confirmed() && !self.draining && !self.table_health.cut_off
    }

    /// Whether this instance owns a customer's partition under a valid lease.
    pub fn is_authoritative_for(&self, customer: &CustomerId) -> bool {
        limit_owner::is_authoritative(self, customer)
    }

    /// Returns the number of partitions that this instance owns under a valid lease.
    pub fn owned_partitions(&self) -> usize {
        if !self.lease.is_valid(self.now) {
            return 0;
        }
        self.limiter
            .partitions()
            .filter(|partition| self.limiter.owns(*partition))
            .count()
    }

    /// Runs a request from its current stage on, until it waits or ends.
    pub(crate) fn advance(&mut self, key: ReqKey) {
        while let Some(request) = self.requests.get(key) {
            let stage = request.stage;
            let run = self
                .plugins
                .iter()
                .filter_map(|p| p.stage)
                .find(|(s, _)| *s == stage);
            let flow = run.map_or(Flow::Next, |(_, run)| run(self, key));
            if !self.apply_flow(key, flow) {
                return;
            }
        }
    }

    /// Moves a waiting request to the next stage and runs it.
    pub(crate) fn resume(&mut self, key: ReqKey) {
        if self.apply_flow(key, Flow::Next) {
            self.advance(key);
        }
    }

    /// Applies the result of a stage; returns whether to run the next stage.
    fn apply_flow(&mut self, key: ReqKey, flow: Flow) -> bool {
        match flow {
            Flow::Next => {
                let Some(request) = self.requests.get_mut(key) else {
                    return false;
                };
                let Some(next) = request.stage.next() else {
                    return false;
                };
                request.stage = next;
                true
            }
            Flow::Wait | Flow::Done => false,
            Flow::Refuse(verdict) => {
                finish::refuse(self, key, verdict);
                false
            }
        }
    }

    /// Sends a message; one to this instance itself is handled after the current event.
    pub(crate) fn send(&mut self, to: &InstanceId, msg: PeerMsg) {
        if *to == self.settings.instance {
            return self.local_messages.push_back(msg);
        }
        if let Some(address) = self.directory.peer_address(to) {
            let (to, address) = (to.clone(), address.clone());
            self.actions.push(Action::Send { to, address, msg });
        }
    }

    /// Sends a message to the owner of a customer's partition, if there is one.
    pub(crate) fn send_to_owner(&mut self, customer: &CustomerId, msg: PeerMsg) {
        if let Some(owner) = self.partitions.owner(PartitionId::of(customer)).cloned() {
            self.send(&owner, msg);
        }
    }

    /// Starts a call to a backend server.
    pub(crate) fn call(&mut self, address: SmolStr, request: Call, owner: CallOwner) -> CallId {
        let call = CallId(self.allocate_number());
        self.calls.insert(call, owner);
        self.actions.push(Action::Call {
            call,
            address,
            request,
        });
        call
    }

    /// Starts an operation on a platform service.
    pub(crate) fn start_platform_op(&mut self, request: PlatformOp, then: PlatformCallback) {
        let op = OpId(self.allocate_number());
        self.platform_callbacks.insert(op, then);
        self.actions.push(Action::Platform { op, request });
    }

    /// Starts a transaction on the table service.
    pub(crate) fn transact(&mut self, transaction: Transaction, then: PlatformCallback) {
        self.start_platform_op(PlatformOp::Transact(transaction), then);
    }

    /// Runs a callback at the first tick at or after the given time.
    pub(crate) fn schedule_at(&mut self, at: Duration, then: TimerCallback) {
        let number = self.allocate_number();
        self.timers.insert((at, number), then);
    }

    pub(crate) fn reply(&mut self, caller: CallerId, reply: Reply) {
        self.actions.push(Action::Reply { caller, reply });
    }

    pub(crate) fn log(&mut self, event: LogEvent) {
        self.actions.push(Action::Log(event));
    }

    pub(crate) fn push_action(&mut self, action: Action) {
        self.actions.push(action);
    }

    pub(crate) fn measure(&mut self, key: ReqKey, sample: Sample) {
        if let Some(request) = self.requests.get(key) {
            let customer = request.customer.clone().unwrap_or_default();
            let class = request.class;
            self.measure_for(customer, class, sample);
        }
    }

    pub(crate) fn measure_for(&mut self, customer: CustomerId, class: Class, sample: Sample) {
        self.actions.push(Action::Measure {
            customer,
            class,
            sample,
        });
    }

    /// Returns a number that is unique among the calls, operations, timers and requests of this
    /// instance.
    pub(crate) fn allocate_number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    pub(crate) fn random(&mut self) -> u64 {
        self.rng.next_u64()
    }

    /// Returns a request of this instance by its id; `None` if it has ended.
    pub(crate) fn find(&self, id: &RequestId) -> Option<ReqKey> {
        let is_own =
            id.instance == self.settings.instance && id.incarnation == self.settings.incarnation;
        is_own.then(|| self.by_number.get(&id.number).copied())?
    }

    pub(crate) fn status(&self) -> MemberStatus {
        MemberStatus {
            instance: self.settings.instance.clone(),
            incarnation: self.settings.incarnation,
            heartbeat: self.heartbeat,
            draining: self.draining,
            revision: self.config.revision(),
        }
    }

    /// Returns a function that tells whether a request is lost: its instance died or restarted.
    pub(crate) fn lost_instance_check(&self) -> impl Fn(&RequestId) -> bool + use<> {
        let own = (self.settings.instance.clone(), self.settings.incarnation);
        let now = self.now;
        let lost_after = LOST_AFTER;
        let known: BTreeMap<InstanceId, (u64, bool)> = self
            .members
            .statuses()
            .map(|(status, at)| {
                let is_lost = now >= at + lost_after;
                (status.instance.clone(), (status.incarnation, is_lost))
            })
            .collect();
        move |id| match known.get(&id.instance) {
            _ if id.instance == own.0 => id.incarnation != own.1,
            Some((incarnation, is_lost)) => *is_lost || *incarnation > id.incarnation,
            None => false,
        }
    }

    fn tick(&mut self) {
        self.run_timers();
        for plugin in self.plugins.clone() {
            if let Some(tick) = plugin.tick {
                tick(self);
            }
        }
        let waiting: Vec<ReqKey> = self.requests.keys().collect();
        for key in waiting {
            self.check_waiting(key);
        }
    }

    fn run_timers(&mut self) {
        while let Some(timer) = self.timers.first_entry() {
            if timer.key().0 > self.now {
                return;
            }
            timer.remove()(self);
        }
    }

    fn check_waiting(&mut self, key: ReqKey) {
        let Some(stage) = self.requests.get(key).map(|request| request.stage) else {
            return;
        };
        let mut plugins = self.plugins.iter();
        let plugin = plugins.find(|p| p.stage.is_some_and(|(s, _)| s == stage));
        if let Some(wait) = plugin.and_then(|plugin| plugin.wait) {
            let flow = wait(self, key);
            if self.apply_flow(key, flow) {
                self.advance(key);
            }
        }
    }

    fn arrived(&mut self, caller: CallerId, inbound: Inbound) {
        let number = self.allocate_number();
        let id = RequestId {
            instance: self.settings.instance.clone(),
            incarnation: self.settings.incarnation,
            number,
        };
        let key = self
            .requests
            .insert(Request::new(id, caller, inbound, self.now));
        self.by_number.insert(number, key);
        self.by_caller.insert(caller, key);
        self.retries.earn();
        self.advance(key);
    }

    fn peer(&mut self, from: &InstanceId, msg: PeerMsg) {
        let mut msg = Some(msg);
        for plugin in self.plugins.clone() {
            let Some(unhandled) = msg.take() else { return };
            msg = match plugin.peer {
                Some(peer) => peer(self, from, unhandled),
                None => Some(unhandled),
            };
        }
    }

    fn platform_result(&mut self, op: OpId, result: Result<PlatformReply, Unsettled>) {
        if let Some(then) = self.platform_callbacks.remove(&op) {
            then(self, result);
        }
    }
}

/// Returns a verdict that also says whether the request may have run on a backend server.
pub(crate) fn verdict_for(request: &Request, verdict: Verdict) -> Verdict {
    match request.run {
        Run::NotRun => verdict,
        Run::MayHaveRun => Verdict {
            run: Run::MayHaveRun,
            ..verdict
        },
    }
}
