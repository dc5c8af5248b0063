//! The kernel: state, stages and the hand-out of events to plug-ins.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use jacinthlever_types::{
    Class, CustomerId, InstanceId, MemberStatus, PeerMsg, RequestId, Run, Transaction, Verdict,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use slotmap::SlotMap as Arena;
use smol_str::SmolStr;

use crate::plugin::{Plugin, registered};
use crate::plugins::{dispatch, finish, limit_holder, membership, operator};
use crate::slots::SlotId;
use crate::{
    Action, Call, CallId, CallerId, ClaimBook, ConfigState, CoreSettings, Directory, Event, Flow,
    Inbound, Keeper, Lease, Limiter, LogEvent, Members, OpId, PlatformOp, PlatformReply, Reply,
    ReqKey, Request, RetryBudget, Sample, Schedule, SlotMap, Suspects, TableHealth, Unsettled,
    Wards, Workers,
};

/// What is done with the result of a platform operation.
pub type OnPlatform = Box<dyn FnOnce(&mut Core, Result<PlatformReply, Unsettled>) + Send>;

/// What is done at a later time.
pub type OnTimer = Box<dyn FnOnce(&mut Core) + Send>;

/// Silence after which the requests of an instance count as lost.
const LOST_AFTER: Duration = Duration::from_secs(10);

/// Who waits for the result of a call.
#[derive(Clone, Debug)]
pub(crate) enum CallOwner {
    /// A request.
    Request(ReqKey),
    /// The keeper, which probes an engine.
    Probe(jacinthlever_types::ShardId, jacinthlever_types::EngineId),
    /// Nobody; the call frees memory.
    Nobody,
}

/// The deterministic decision core of one instance.
///
/// [`Core::handle`] takes a time and an event and returns actions. It does no I/O and reads no
/// clock, so the daemon, the tests and the benches run the same code.
pub struct Core {
    pub(crate) settings: CoreSettings,
    pub(crate) now: Duration,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) config: ConfigState,
    pub(crate) directory: Directory,
    pub(crate) members: Members,
    pub(crate) beat: u64,
    pub(crate) lease: Lease,
    pub(crate) wards: Wards,
    pub(crate) slots: SlotMap,
    pub(crate) limiter: Limiter,
    pub(crate) suspects: Suspects,
    pub(crate) claims: ClaimBook,
    pub(crate) keeper: Keeper,
    pub(crate) workers: Workers,
    pub(crate) retries: RetryBudget,
    pub(crate) table: TableHealth,
    pub(crate) schedule: Schedule,
    /// Version of the row that every edit writes.
    pub(crate) config_head: u64,
    pub(crate) requests: Arena<ReqKey, Request>,
    pub(crate) by_number: BTreeMap<u64, ReqKey>,
    pub(crate) by_caller: BTreeMap<CallerId, ReqKey>,
    pub(crate) calls: BTreeMap<CallId, CallOwner>,
    pub(crate) draining: bool,
    pub(crate) stopped: bool,
    plugins: Vec<&'static Plugin>,
    platform: BTreeMap<OpId, OnPlatform>,
    /// Work for later, in the order of its time.
    timers: BTreeMap<(Duration, u64), OnTimer>,
    /// Messages to this instance itself.
    local: VecDeque<PeerMsg>,
    actions: Vec<Action>,
    next_number: u64,
}

impl Core {
    /// Makes a core that knows nothing but its settings.
    pub fn new(settings: CoreSettings) -> Self {
        Self {
            now: Duration::ZERO,
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            config: ConfigState::default(),
            directory: Directory::default(),
            members: Members::new(settings.beat_every),
            beat: 0,
            lease: Lease::new(&settings),
            wards: Wards::new(&settings),
            slots: SlotMap::default(),
            limiter: Limiter::default(),
            suspects: Suspects::default(),
            claims: ClaimBook::default(),
            keeper: Keeper::default(),
            workers: Workers::default(),
            retries: RetryBudget::default(),
            table: TableHealth::default(),
            schedule: Schedule::default(),
            config_head: 0,
            requests: Arena::with_key(),
            by_number: BTreeMap::new(),
            by_caller: BTreeMap::new(),
            calls: BTreeMap::new(),
            draining: false,
            stopped: false,
            plugins: registered(),
            platform: BTreeMap::new(),
            timers: BTreeMap::new(),
            local: VecDeque::new(),
            actions: vec![Action::Log(LogEvent::Started {
                instance: settings.instance.clone(),
                incarnation: settings.incarnation,
            })],
            next_number: 1,
            settings,
        }
    }

    /// Takes in an event at a time since the start; returns what is to be done outside.
    pub fn handle(&mut self, now: Duration, event: Event) -> Vec<Action> {
        self.now = self.now.max(now);
        match event {
            Event::Tick => self.tick(),
            Event::Arrived { caller, inbound } => self.arrived(caller, inbound),
            Event::CallerGone { caller, position } => finish::caller_gone(self, caller, position),
            Event::Call { call, result } => dispatch::call_result(self, call, result),
            Event::Platform { op, result } => self.platform_result(op, result),
            Event::List(delta) => self.directory.apply(delta),
            Event::Peer { from, msg } => self.peer(&from, msg),
            Event::PeerLost(peer) => membership::peer_lost(self, &peer),
            Event::Operator { operator, request } => operator::request(self, operator, request),
        }
        while let Some(msg) = self.local.pop_front() {
            let own = self.settings.instance.clone();
            self.peer(&own, msg);
        }
        std::mem::take(&mut self.actions)
    }

    /// Returns the number of requests that are not answered yet.
    pub fn running(&self) -> usize {
        self.requests.len()
    }

    /// Describes the requests that are not answered yet, for tests that find them stuck.
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

    /// Whether callers may be sent here.
    pub fn is_ready(&self) -> bool {
        self.config.is_confirmed() && !self.draining && !self.table.cut_off
    }

    /// Whether this instance may charge a customer now.
    pub fn decides_for(&self, customer: &CustomerId) -> bool {
        limit_holder::may_decide(self, customer)
    }

    /// Returns the slots that this instance holds under a valid lease.
    pub fn held_slots(&self) -> usize {
        if !self.lease.is_valid(self.now) {
            return 0;
        }
        self.limiter
            .slots()
            .filter(|slot| self.limiter.holds(*slot))
            .count()
    }

    /// Runs the stages of a request from the one it is in until it waits or ends.
    pub(crate) fn advance(&mut self, key: ReqKey) {
        while let Some(request) = self.requests.get(key) {
            let stage = request.stage;
            let run = self
                .plugins
                .iter()
                .filter_map(|p| p.stage)
                .find(|(s, _)| *s == stage);
            let flow = run.map_or(Flow::Next, |(_, run)| run(self, key));
            if !self.follow(key, flow) {
                return;
            }
        }
    }

    /// Puts a request into the stage after the one it waited in, and runs it.
    pub(crate) fn resume(&mut self, key: ReqKey) {
        if self.follow(key, Flow::Next) {
            self.advance(key);
        }
    }

    /// Applies what a stage decided; returns whether the next stage is to be run.
    fn follow(&mut self, key: ReqKey, flow: Flow) -> bool {
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

    /// Sends a message; one to this instance is handled after the current event.
    pub(crate) fn send(&mut self, to: &InstanceId, msg: PeerMsg) {
        if *to == self.settings.instance {
            return self.local.push_back(msg);
        }
        if let Some(address) = self.directory.peer_address(to) {
            let (to, address) = (to.clone(), address.clone());
            self.actions.push(Action::Send { to, address, msg });
        }
    }

    /// Sends a message to the holder of a customer's slot, if there is one.
    pub(crate) fn send_to_holder(&mut self, customer: &CustomerId, msg: PeerMsg) {
        if let Some(holder) = self.slots.holder(SlotId::of(customer)).cloned() {
            self.send(&holder, msg);
        }
    }

    /// Starts a call to a backend server.
    pub(crate) fn call(&mut self, address: SmolStr, request: Call, owner: CallOwner) -> CallId {
        let call = CallId(self.number());
        self.calls.insert(call, owner);
        self.actions.push(Action::Call {
            call,
            address,
            request,
        });
        call
    }

    /// Starts an operation on a platform service.
    pub(crate) fn platform(&mut self, request: PlatformOp, then: OnPlatform) {
        let op = OpId(self.number());
        self.platform.insert(op, then);
        self.actions.push(Action::Platform { op, request });
    }

    /// Starts a transaction on the table service.
    pub(crate) fn transact(&mut self, transaction: Transaction, then: OnPlatform) {
        self.platform(PlatformOp::Transact(transaction), then);
    }

    /// Does something at a later time, to the precision of a tick.
    pub(crate) fn later(&mut self, at: Duration, then: OnTimer) {
        let number = self.number();
        self.timers.insert((at, number), then);
    }

    pub(crate) fn reply(&mut self, caller: CallerId, reply: Reply) {
        self.actions.push(Action::Reply { caller, reply });
    }

    pub(crate) fn log(&mut self, event: LogEvent) {
        self.actions.push(Action::Log(event));
    }

    pub(crate) fn act(&mut self, action: Action) {
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

    /// Returns a number that no other call, operation or request of this instance has.
    pub(crate) fn number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    pub(crate) fn random(&mut self) -> u64 {
        self.rng.next_u64()
    }

    /// Returns a request of this instance by its name.
    pub(crate) fn find(&self, id: &RequestId) -> Option<ReqKey> {
        let is_own =
            id.instance == self.settings.instance && id.incarnation == self.settings.incarnation;
        is_own.then(|| self.by_number.get(&id.number).copied())?
    }

    pub(crate) fn status(&self) -> MemberStatus {
        MemberStatus {
            instance: self.settings.instance.clone(),
            incarnation: self.settings.incarnation,
            heartbeat: self.beat,
            draining: self.draining,
            revision: self.config.revision(),
        }
    }

    /// Whether a request's instance has died or was started anew.
    pub(crate) fn lost_check(&self) -> impl Fn(&RequestId) -> bool + use<> {
        let own = (self.settings.instance.clone(), self.settings.incarnation);
        let now = self.now;
        let forgotten = LOST_AFTER;
        let heard: BTreeMap<InstanceId, (u64, bool)> = self
            .members
            .statuses()
            .map(|(status, at)| {
                let is_lost = now >= at + forgotten;
                (status.instance.clone(), (status.incarnation, is_lost))
            })
            .collect();
        move |id| match heard.get(&id.instance) {
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
            self.wait(key);
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

    fn wait(&mut self, key: ReqKey) {
        let Some(stage) = self.requests.get(key).map(|request| request.stage) else {
            return;
        };
        let mut plugins = self.plugins.iter();
        let plugin = plugins.find(|p| p.stage.is_some_and(|(s, _)| s == stage));
        if let Some(wait) = plugin.and_then(|plugin| plugin.wait) {
            let flow = wait(self, key);
            if self.follow(key, flow) {
                self.advance(key);
            }
        }
    }

    fn arrived(&mut self, caller: CallerId, inbound: Inbound) {
        let number = self.number();
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
            let Some(taken) = msg.take() else { return };
            msg = match plugin.peer {
                Some(peer) => peer(self, from, taken),
                None => Some(taken),
            };
        }
    }

    fn platform_result(&mut self, op: OpId, result: Result<PlatformReply, Unsettled>) {
        if let Some(then) = self.platform.remove(&op) {
            then(self, result);
        }
    }
}

/// Returns a verdict with the run state of a request.
pub(crate) fn verdict_for(request: &Request, verdict: Verdict) -> Verdict {
    match request.run {
        Run::NotRun => verdict,
        Run::MayHaveRun => Verdict {
            run: Run::MayHaveRun,
            ..verdict
        },
    }
}
