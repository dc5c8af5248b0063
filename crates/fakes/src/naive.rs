//! The naive router that serves as the baseline for the core.
//!
//! It picks engines round-robin, gives each of n instances one nth of every limit, reserves no
//! engine memory before a prefill, and retries a failed request from its beginning.

use std::collections::BTreeMap;
use std::time::Duration;

use jacinthlever_core::{
    Action, Bucket, Call, CallFault, CallId, CallResult, CallerId, Event, Inbound, Reply, Target,
};
use jacinthlever_types::{
    Code, CustomerId, CustomerRow, EngineRole, InstanceId, KeyHash, KvSource, ListEntry, ListKind,
    ListState, RequestId, Verdict,
};
use smol_str::{SmolStr, format_smolstr};

/// Maximum number of attempts for one request.
const MAX_ATTEMPTS: u32 = 2;

/// Bytes of prompt text that count as one token.
const BYTES_PER_TOKEN: usize = 4;

#[derive(Debug)]
struct NaiveRequest {
    id: RequestId,
    customer: Option<CustomerId>,
    inbound: Inbound,
    servers_tried: u32,
    attempt: u32,
    source: Option<KvSource>,
    max_tokens: u32,
}

/// A router without coordination between its instances.
#[derive(Debug)]
pub struct NaiveRouter {
    instance: InstanceId,
    now: Duration,
    keys: BTreeMap<KeyHash, CustomerId>,
    limits: BTreeMap<CustomerId, CustomerRow>,
    buckets: BTreeMap<CustomerId, Bucket>,
    entries: BTreeMap<SmolStr, ListEntry>,
    requests: BTreeMap<CallerId, NaiveRequest>,
    calls: BTreeMap<CallId, CallerId>,
    next: u64,
    next_server: usize,
    actions: Vec<Action>,
}

impl NaiveRouter {
    /// Creates one of `count` routers with the customers' keys and limits.
    pub fn new(
        instance: &str,
        count: usize,
        keys: BTreeMap<KeyHash, CustomerId>,
        limits: BTreeMap<CustomerId, CustomerRow>,
    ) -> Self {
        let share = 1.0 / count as f64;
        let limits: BTreeMap<CustomerId, CustomerRow> = limits
            .into_iter()
            .map(|(id, row)| {
                let (rate, burst) = (row.rate * share, row.burst * share);
                (id, CustomerRow { rate, burst, ..row })
            })
            .collect();
        Self {
            instance: InstanceId::new(instance),
            now: Duration::ZERO,
            keys,
            limits,
            buckets: BTreeMap::new(),
            entries: BTreeMap::new(),
            requests: BTreeMap::new(),
            calls: BTreeMap::new(),
            next: 0,
            next_server: 0,
            actions: Vec::new(),
        }
    }

    pub(crate) fn handle(&mut self, now: Duration, event: Event) -> Vec<Action> {
        self.now = now;
        match event {
            Event::Arrived { caller, inbound } => self.arrived(caller, inbound),
            Event::CallerDisconnected { caller, .. } => {
                self.requests.remove(&caller);
            }
            Event::Call { call, result } => self.handle_result(call, result),
            Event::List(delta) => {
                self.entries
                    .extend(delta.entries.into_iter().map(|e| (e.id.clone(), e)));
                delta.removed.iter().for_each(|id| {
                    self.entries.remove(id);
                });
            }
            _ => {}
        }
        std::mem::take(&mut self.actions)
    }

    fn arrived(&mut self, caller: CallerId, inbound: Inbound) {
        let customer = inbound.key.and_then(|key| self.keys.get(&key).cloned());
        self.next += 1;
        let id = RequestId {
            instance: self.instance.clone(),
            incarnation: 1,
            number: self.next,
        };
        let (tokens, max_tokens) = match &inbound.target {
            Target::Model {
                prompt_bytes,
                max_tokens,
                ..
            } => {
                let max = max_tokens.unwrap_or(128);
                (
                    prompt_bytes.div_ceil(BYTES_PER_TOKEN) as u64 + u64::from(max),
                    max,
                )
            }
            _ => (0, 0),
        };
        if let Some(customer) = &customer
            && let Some(limits) = self.limits.get(customer)
        {
            let now = self.now;
            let bucket = self
                .buckets
                .entry(customer.clone())
                .or_insert_with(|| Bucket::full(limits, now));
            if bucket.charge(&id, tokens, now).is_err() {
                return self.refuse(
                    caller,
                    Verdict::not_run(Code::RateLimited, "customer is over its token limit"),
                );
            }
            let sample = jacinthlever_core::Sample::Charged {
                id: id.clone(),
                tokens,
            };
            let (customer, class) = (customer.clone(), Default::default());
            self.actions.push(Action::Measure {
                customer,
                class,
                sample,
            });
        }
        let request = NaiveRequest {
            id,
            customer,
            inbound,
            servers_tried: 0,
            attempt: 0,
            source: None,
            max_tokens,
        };
        self.requests.insert(caller, request);
        self.start(caller);
    }

    /// Sends a request to the next engine or worker, starting from its beginning.
    fn start(&mut self, caller: CallerId) {
        let Some(request) = self.requests.get_mut(&caller) else {
            return;
        };
        request.servers_tried += 1;
        request.attempt += 1;
        request.source = None;
        let attempt = request.id.attempt(request.attempt);
        match &request.inbound.target {
            Target::Model { .. } => {
                let call = Call::Prefill { caller, attempt };
                self.call_next(caller, |kind| is_engine(kind, EngineRole::Prefill), call);
            }
            Target::Plain { path, .. } => {
                let service = service_of(path);
                let call = Call::Plain { caller, attempt };
                self.call_next(
                    caller,
                    move |kind| matches!(kind, ListKind::Service { service: s } if *s == service),
                    call,
                );
            }
            Target::Models | Target::Where => {
                let reply = Reply::Json(serde_json::Value::Null);
                self.finish(caller, reply, 0);
            }
        }
    }

    fn call_next(&mut self, caller: CallerId, accepts: impl Fn(&ListKind) -> bool, call: Call) {
        let live = self
            .entries
            .values()
            .filter(|e| e.state == ListState::Live && accepts(&e.kind));
        let live: Vec<&ListEntry> = live.collect();
        if live.is_empty() {
            let verdict =
                Verdict::not_run(Code::BackendMissing, "no live backend server is listed");
            return self.refuse(caller, verdict);
        }
        self.next_server += 1;
        let address = live[self.next_server % live.len()].address.clone();
        self.call(caller, address, call);
    }

    fn call(&mut self, caller: CallerId, address: SmolStr, request: Call) {
        self.next += 1;
        let call = CallId(self.next);
        self.calls.insert(call, caller);
        self.actions.push(Action::Call {
            call,
            address,
            request,
        });
    }

    fn handle_result(&mut self, call: CallId, result: CallResult) {
        let Some(caller) = self.calls.get(&call).copied() else {
            return;
        };
        if !matches!(result, CallResult::FirstToken | CallResult::Cleared) {
            self.calls.remove(&call);
        }
        match result {
            CallResult::Prefilled { kv, .. } => self.decode(caller, kv),
            CallResult::Decoded { finish, position } => {
                let reply = Reply::Finished {
                    finish,
                    prompt_tokens: 0,
                    output_tokens: position,
                };
                self.finish(caller, reply, position);
            }
            CallResult::Plain(response) => self.finish(caller, Reply::Plain(response), 0),
            CallResult::Failed { fault, .. } => self.handle_failure(caller, fault),
            _ => {}
        }
    }

    fn decode(&mut self, caller: CallerId, kv: SmolStr) {
        let Some(request) = self.requests.get_mut(&caller) else {
            return;
        };
        let engine = kv.rsplit_once("-kv").map_or("", |(engine, _)| engine);
        let Some(address) = self.entries.get(engine).map(|entry| entry.address.clone()) else {
            return;
        };
        let source = KvSource { address, kv };
        request.source = Some(source.clone());
        let attempt = request.id.attempt(request.attempt);
        let max_tokens = request.max_tokens;
        let call = Call::Decode {
            caller,
            attempt,
            source,
            max_tokens,
            priority: 0,
        };
        self.call_next(caller, |kind| is_engine(kind, EngineRole::Decode), call);
    }

    fn handle_failure(&mut self, caller: CallerId, fault: CallFault) {
        let Some(request) = self.requests.get(&caller) else {
            return;
        };
        if request.servers_tried < MAX_ATTEMPTS {
            return self.start(caller);
        }
        let code = if fault == CallFault::Full {
            Code::Overloaded
        } else {
            Code::BackendFailed
        };
        let message = format_smolstr!("{fault:?}");
        self.refuse(caller, Verdict::may_have_run(code, message));
    }

    fn finish(&mut self, caller: CallerId, reply: Reply, output: u32) {
        if let Some(request) = self.requests.remove(&caller) {
            let bucket = request
                .customer
                .and_then(|customer| self.buckets.get_mut(&customer));
            if let (Some(bucket), Target::Model { prompt_bytes, .. }) =
                (bucket, &request.inbound.target)
            {
                let used = prompt_bytes.div_ceil(BYTES_PER_TOKEN) as u64 + u64::from(output);
                bucket.settle(&request.id, used, self.now);
            }
        }
        self.actions.push(Action::Reply { caller, reply });
    }

    fn refuse(&mut self, caller: CallerId, verdict: Verdict) {
        self.requests.remove(&caller);
        self.actions.push(Action::Reply {
            caller,
            reply: Reply::Refused(verdict),
        });
    }
}

fn is_engine(kind: &ListKind, wanted: EngineRole) -> bool {
    matches!(kind, ListKind::Engine { role, .. } if *role == wanted)
}

/// Returns the service that the deployments route a path to.
fn service_of(path: &str) -> SmolStr {
    match path.starts_with("/donations") || path.starts_with("/catalogue") {
        true => SmolStr::new_static("library"),
        false => SmolStr::new_static("scheduling"),
    }
}
