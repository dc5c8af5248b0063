//! Starts all duties of an instance and runs them to the end.

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
    Adapter, EventCode, Settings, Table, callers, directory, drain, peers, registry,
    role_coordinator, table_sync,
};

/// Pause between two rounds of forgetting what is out of date.
const SWEEP_EVERY: Duration = Duration::from_millis(250);

/// Time for the journal to write its last lines.
const LAST_LINES: Duration = Duration::from_millis(60);

/// An entry instance.
pub struct Instance {
    cx: Rc<Context>,
    path: PathBuf,
}

impl Instance {
    /// Makes an instance that is ready to run.
    ///
    /// # Errors
    /// Fails if the journal or the metrics cannot be started.
    pub fn open(path: PathBuf, settings: Settings, adapter: Adapter) -> io::Result<Self> {
        let cx = Context::open(settings, adapter)?;
        Ok(Self { cx, path })
    }

    /// Runs until SIGTERM has been obeyed.
    ///
    /// # Errors
    /// Fails if a duty cannot start.
    pub fn run(self) -> io::Result<()> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let local = LocalSet::new();
        local.block_on(&runtime, self.serve())
    }

    async fn serve(self) -> io::Result<()> {
        let Self { cx, path } = self;
        let settings = cx.settings();
        cx.log(
            EventCode::Started,
            [
                ("instance", settings.instance.as_str().into()),
                ("zone", settings.zone.as_str().into()),
                ("incarnation", cx.incarnation.into()),
            ],
        );
        let listen = &settings.listen;
        spawn_local(table_sync::run(cx.clone(), Table::Config, "config"));
        spawn_local(table_sync::run(cx.clone(), Table::Servers, "servers"));
        spawn_local(registry::run(cx.clone()));
        spawn_local(role_coordinator::run(cx.clone()));
        spawn_local(sweep(cx.clone()));
        let (directory_at, readiness_at) = (listen.directory, listen.readiness);
        let questions = [
            (directory_at, directory::resolve as fn(&_, &_) -> _),
            (readiness_at, directory::readiness),
            (listen.metrics, directory::metrics),
        ];
        let [resolving, readiness, metrics] =
            questions.map(|(address, answer)| callers::serve_endpoint(cx.clone(), address, answer));
        tokio::select! {
            ended = drain::drain_on_sigterm(cx.clone()) => ended?,
            ended = drain::reload_on_change(cx.clone(), path) => ended?,
            ended = named("callers", callers::serve(cx.clone())) => ended?,
            ended = named("directory", resolving) => ended?,
            ended = named("readiness", readiness) => ended?,
            ended = named("metrics", metrics) => ended?,
            ended = named("peers", peers::run(cx.clone())) => ended?,
        }
        sleep(LAST_LINES).await;
        Ok(())
    }
}

async fn named(duty: &str, running: impl Future<Output = io::Result<()>>) -> io::Result<()> {
    running
        .await
        .map_err(|error| io::Error::new(error.kind(), format!("{duty}: {error}")))
}

async fn sweep(cx: Rc<Context>) {
    let mut heard = BTreeSet::new();
    loop {
        sleep(SWEEP_EVERY).await;
        let now = cx.now();
        cx.state.borrow_mut().pool.remove_expired(now);
        cx.connection_pool.evict_expired(now);
        let hears = heard_now(&cx);
        for name in hears.difference(&heard) {
            cx.log(EventCode::PeerRegained, [("peer", name.as_str().into())]);
        }
        for name in heard.difference(&hears) {
            cx.log(EventCode::PeerLost, [("peer", name.as_str().into())]);
        }
        heard = hears;
    }
}

/// Returns the peers of this zone and the other zones that are heard.
fn heard_now(cx: &Context) -> BTreeSet<SmolStr> {
    let state = cx.state.borrow();
    let now = cx.now();
    let zones = state.members.reachable_zones(now);
    let zones = zones.map(|zone| format_smolstr!("zone {zone}"));
    zones
        .chain(state.members.reachable_peers(now).cloned())
        .collect()
}
