//! Whether this instance reaches the backend servers of each service at all; see
//! `docs/design/partitions.md`.

use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use jacinthlever_routing::{Reach, Server, ServerKey};
use smol_str::SmolStr;
use tokio::time::sleep;

use crate::context::Context;
use crate::exchange::{Exchange, PAUSED, SendError};
use crate::permits;
use crate::state::State;
use crate::{EngineRequest, EventCode};

/// Number of servers of a service that are probed at a time.
const PROBED_SERVERS: usize = 3;

/// First interval between two rounds of probes of a lost service; it doubles up to
/// [`MAX_PROBE_INTERVAL`].
pub const PROBE_INTERVAL: Duration = Duration::from_millis(300);

/// Minimum pause between two rounds of probes, also if further services are doubted.
const MIN_PROBE_PAUSE: Duration = Duration::from_millis(100);

/// Maximum interval between two rounds of probes of a lost service.
const MAX_PROBE_INTERVAL: Duration = Duration::from_millis(1000);

/// Width of the random spread of the interval, as a fraction of it: instances that lost a service
/// together do not probe it together.
const PROBE_JITTER: f64 = 0.3;

/// Records that an answer of a server has begun to arrive.
pub fn record_heard(cx: &Context, server: ServerKey) {
    let now = cx.now();
    let mut state = cx.state.borrow_mut();
    let Some(service) = state.pool.get(server).map(|s| s.entry.service.clone()) else {
        return;
    };
    let reach = state.reach.entry(service.clone()).or_default();
    let (before, missed) = (reach.heard_at(), reach.missed());
    if !reach.record_heard(now) {
        return;
    }
    // The instance could not reach them; that was no failure of theirs.
    state.pool.forgive_failures(&service);
    drop(state);
    cx.capacity_queue.notify_waiters();
    cx.urgent_news.notify_one();
    let lost_for = before.map(|at| now.saturating_sub(at).as_millis() as u64);
    cx.log(
        EventCode::ServiceRegained,
        [
            ("service", service.as_str().into()),
            ("missed_servers", missed.into()),
            ("unheard_ms", lost_for.into()),
        ],
    );
}

/// Records that a server could not be connected to, or gave no answer.
pub fn record_missed(cx: &Context, server: ServerKey) {
    let now = cx.now();
    let mut state = cx.state.borrow_mut();
    let Some(service) = state.pool.get(server).map(|s| s.entry.service.clone()) else {
        return;
    };
    let servers = state.pool.available(&service).count();
    let reach = state.reach.entry(service.clone()).or_default();
    if !reach.record_missed(now, server, servers) {
        return;
    }
    drop(state);
    log_missed(cx, EventCode::ServiceDoubted, &service);
    cx.service_doubted.notify_one();
}

/// Whether the servers of a service are probably out of reach.
pub fn is_out_of_reach(cx: &Context, service: &str) -> bool {
    reach_of(cx, service) != Reach::Reached
}

/// Whether the servers of a service are out of reach.
pub fn is_lost(cx: &Context, service: &str) -> bool {
    reach_of(cx, service) == Reach::Lost
}

fn reach_of(cx: &Context, service: &str) -> Reach {
    let state = cx.state.borrow();
    let reach = state.reach.get(service);
    reach.map_or(Reach::Reached, |r| r.reach())
}

/// Probes servers of the services that are doubted or lost; runs until the process ends.
pub async fn run(cx: Rc<Context>) {
    let mut interval = PROBE_INTERVAL;
    loop {
        let services = out_of_reach(&cx);
        if services.is_empty() {
            interval = PROBE_INTERVAL;
            cx.service_doubted.notified().await;
            continue;
        }
        join_all(services.iter().map(|service| probe(&cx, service))).await;
        sleep(MIN_PROBE_PAUSE).await;
        let spread = 1.0 + PROBE_JITTER * (cx.random() - 0.5);
        tokio::select! {
            () = sleep(interval.mul_f64(spread)) => {}
            () = cx.service_doubted.notified() => {}
        }
        interval = (interval * 2).min(MAX_PROBE_INTERVAL);
    }
}

/// Whether a server other than `server` answers this instance; also if there is no other one.
pub async fn hears_another(cx: &Rc<Context>, server: ServerKey) -> bool {
    let others = servers(cx, |key, s| key != server && s.accepts_work());
    probe_servers(cx, others).await != ProbeResult::Missed
}

/// Returns the services that are doubted or lost. What is known of services without servers is
/// dropped: servers that register later are reached or not for themselves.
fn out_of_reach(cx: &Context) -> Vec<SmolStr> {
    let mut state = cx.state.borrow_mut();
    let State { reach, pool, .. } = &mut *state;
    reach.retain(|service, _| pool.available(service).next().is_some());
    let doubtful = reach.iter().filter(|(_, r)| r.reach() != Reach::Reached);
    doubtful.map(|(service, _)| service.clone()).collect()
}

/// Probes some servers of a service, which is lost if none answers.
async fn probe(cx: &Rc<Context>, service: &SmolStr) {
    let of_service = |_, s: &Server| s.entry.service == *service && s.accepts_work();
    let result = probe_servers(cx, servers(cx, of_service)).await;
    if result != ProbeResult::Missed || !record_probes_missed(cx, service) {
        return;
    }
    for server in servers(cx, of_service) {
        cx.connection_pool.close_all(&server);
    }
    log_missed(cx, EventCode::ServiceLost, service);
    cx.urgent_news.notify_one();
    cx.capacity_queue.notify_waiters();
}

fn record_probes_missed(cx: &Context, service: &str) -> bool {
    let mut state = cx.state.borrow_mut();
    let reach = state.reach.get_mut(service);
    reach.is_some_and(|r| r.record_probes_missed())
}

fn servers(cx: &Context, is_wanted: impl Fn(ServerKey, &Server) -> bool) -> Vec<ServerKey> {
    let state = cx.state.borrow();
    let servers = state.pool.iter();
    let wanted = servers.filter(|(key, s)| is_wanted(*key, s));
    wanted.map(|(key, _)| key).collect()
}

/// What probes of servers show.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum ProbeResult {
    /// None was sent.
    Unsent,
    /// No server has answered.
    Missed,
    /// A server has answered.
    Heard,
}

/// Probes up to [`PROBED_SERVERS`] random servers.
async fn probe_servers(cx: &Rc<Context>, mut servers: Vec<ServerKey>) -> ProbeResult {
    let mut probes = Vec::new();
    while probes.len() < PROBED_SERVERS && !servers.is_empty() {
        let index = (cx.random() * servers.len() as f64) as usize;
        probes.push(probe_server(cx, servers.swap_remove(index)));
    }
    let results = join_all(probes).await.into_iter();
    results.max().unwrap_or(ProbeResult::Unsent)
}

fn probe_request(cx: &Context, server: ServerKey) -> Option<EngineRequest> {
    let state = cx.state.borrow();
    let name = &state.pool.get(server)?.entry.service;
    let service = state.config.as_ref()?.services.get(name)?;
    let is_engine = service.engine.is_some();
    Some((cx.adapter.servers.probe)(is_engine, &service.health_path))
}

async fn probe_server(cx: &Rc<Context>, server: ServerKey) -> ProbeResult {
    let Some(request) = probe_request(cx, server) else {
        return ProbeResult::Unsent;
    };
    // A server may count probes against the limit that it names, or during the pause that it wants.
    if permits::acquire(cx, server, 1).await.is_err() {
        return ProbeResult::Unsent;
    }
    match Exchange::call(cx, server, request).await {
        // A refusal is an answer as well.
        Ok(_) | Err(SendError::NotRun(_)) => ProbeResult::Heard,
        Err(PAUSED) => ProbeResult::Unsent,
        Err(SendError::Unsent(_) | SendError::Lost(_)) => ProbeResult::Missed,
    }
}

/// Logs how many servers of a service were missed, and since when none has answered.
fn log_missed(cx: &Context, code: EventCode, service: &str) {
    let now = cx.now();
    let state = cx.state.borrow();
    let Some(reach) = state.reach.get(service) else {
        return;
    };
    let unheard = reach.heard_at().map(|at| now.saturating_sub(at));
    let fields = [
        ("service", service.into()),
        ("servers", state.pool.available(service).count().into()),
        ("missed_servers", reach.missed().into()),
        (
            "unheard_ms",
            unheard.map(|time| time.as_millis() as u64).into(),
        ),
    ];
    cx.log(code, fields);
}
