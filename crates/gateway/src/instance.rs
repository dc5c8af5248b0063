//! Starts all tasks of an instance and runs them until the process has drained.

use std::collections::BTreeSet;
use std::future::Future;
use std::io;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use smol_str::{SmolStr, format_smolstr};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;

use crate::context::Context;
use crate::{
    Adapter, EventCode, Settings, Table, callers, cold_servers, directory, drain, peers,
    quarantine, reach, registry, role_coordinator, stream_records, table_sync, version_notes,
};

/// Interval at which expired servers and connections are removed.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

/// Time for the event log to write its last lines before the process exits.
const LOG_FLUSH_TIME: Duration = Duration::from_millis(60);

/// An entry instance.
pub struct Instance {
    cx: Rc<Context>,
    settings_path: PathBuf,
}

impl Instance {
    /// Creates an instance. The settings file at `settings_path` is read again when it changes.
    ///
    /// # Errors
    /// Fails if the event log or the metrics cannot be started.
    pub fn open(settings_path: PathBuf, settings: Settings, adapter: Adapter) -> io::Result<Self> {
        let cx = Context::open(settings, adapter)?;
        Ok(Self { cx, settings_path })
    }

    /// Runs the instance until it has drained after SIGTERM.
    ///
    /// # Errors
    /// Fails if a task cannot start, for instance because an address cannot be bound.
    pub fn run(self) -> io::Result<()> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let local = LocalSet::new();
        local.block_on(&runtime, self.serve())
    }

    async fn serve(self) -> io::Result<()> {
        let Self { cx, settings_path } = self;
        let settings = cx.settings();
        cx.log(
            EventCode::Started,
            [
                ("instance", settings.instance.as_str().into()),
                ("zone", settings.zone.as_str().into()),
                ("incarnation", cx.incarnation.into()),
                ("first_start", settings.is_first_start.into()),
            ],
        );
        let listen = &settings.listen;
        spawn_local(table_sync::run(cx.clone(), Table::Config, "config"));
        spawn_local(table_sync::run(cx.clone(), Table::Servers, "servers"));
        spawn_local(registry::run(cx.clone()));
        spawn_local(role_coordinator::run(cx.clone()));
        spawn_local(quarantine::run(cx.clone()));
        spawn_local(version_notes::run(cx.clone()));
        spawn_local(stream_records::run(cx.clone()));
        spawn_local(reach::run(cx.clone()));
        spawn_local(sweep(cx.clone()));
        let (directory_at, readiness_at) = (listen.directory, listen.readiness);
        let endpoints = [
            (directory_at, directory::resolve as fn(&_, &_) -> _),
            (readiness_at, directory::readiness),
            (listen.metrics, directory::metrics),
        ];
        let [resolving, readiness, metrics] =
            endpoints.map(|(address, answer)| callers::serve_endpoint(cx.clone(), address, answer));
        tokio::select! {
            ended = drain::drain_on_sigterm(cx.clone()) => ended?,
            ended = drain::reload_on_change(cx.clone(), settings_path) => ended?,
            ended = with_task_name("callers", callers::serve(cx.clone())) => ended?,
            ended = with_task_name("relays", callers::serve_relays(cx.clone())) => ended?,
            ended = with_task_name("directory", resolving) => ended?,
            ended = with_task_name("readiness", readiness) => ended?,
            ended = with_task_name("metrics", metrics) => ended?,
            ended = with_task_name("peers", peers::run(cx.clone())) => ended?,
        }
        sleep(LOG_FLUSH_TIME).await;
        drain::finish_writing(&cx).await;
        Ok(())
    }
}

async fn with_task_name(
    task: &str,
    running: impl Future<Output = io::Result<()>>,
) -> io::Result<()> {
    running
        .await
        .map_err(|error| io::Error::new(error.kind(), format!("{task}: {error}")))
}

async fn sweep(cx: Rc<Context>) {
    let mut reachable = BTreeSet::new();
    loop {
        sleep(SWEEP_INTERVAL).await;
        let now = cx.now();
        let mut state = cx.state.borrow_mut();
        state.pool.remove_expired(now);
        cx.metrics.record_restricted_servers(
            state.pool.limited_servers(),
            state.pool.pausing_servers(now),
            state.pool.leaving().count(),
        );
        cx.metrics.record_cold_servers(state.pool.cold_servers(now));
        cx.metrics.record_lost_services(state.lost_services().len());
        if state.is_scheduling_active() {
            cx.metrics.record_known_loads(state.pool.known_loads(now));
        }
        drop(state);
        cold_servers::log_changes(&cx);
        report_memory(&cx);
        cx.connection_pool.evict_expired(now);
        cx.relays.evict_expired(now);
        quarantine::remove_expired(&cx);
        let reachable_now = reachable_members(&cx);
        if !reachable_now.is_subset(&reachable) {
            cx.state.borrow_mut().suspect_parts.share_again(now);
        }
        for name in reachable_now.difference(&reachable) {
            cx.log(EventCode::PeerRegained, [("peer", name.as_str().into())]);
        }
        for name in reachable.difference(&reachable_now) {
            cx.log(EventCode::PeerLost, [("peer", name.as_str().into())]);
        }
        reachable = reachable_now;
    }
}

/// Records what is held, and logs a shortage of memory.
fn report_memory(cx: &Context) {
    if !cx.refresh_memory_budget() {
        return;
    }
    cx.metrics.record_held_bytes(cx.memory.held());
    if let Some(refused) = cx.memory.take_report() {
        cx.metrics.count_memory_refusals(refused);
        cx.log(
            EventCode::MemoryShort,
            [
                ("refused", refused.into()),
                ("held_bytes", cx.memory.held().into()),
                ("budget_bytes", cx.memory.capacity().into()),
            ],
        );
    }
}

/// Returns the names of the peers of this zone and of the other zones that are reachable.
fn reachable_members(cx: &Context) -> BTreeSet<SmolStr> {
    let state = cx.state.borrow();
    let now = cx.now();
    let zones = state.members.reachable_zones(now);
    let zones = zones.map(|zone| format_smolstr!("zone {zone}"));
    zones
        .chain(state.members.reachable_peers(now).cloned())
        .collect()
}
