//! Orders engines to change their stage, as one instance for the whole fleet.
//!
//! The right to give orders is a row of the store. Every round of orders begins with a conditional
//! write of that row, whose new version is the fencing token; see `docs/design/platform.md`.

use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use http::StatusCode;
use jacinthlever_routing::{EngineProfile, EngineRole, EngineSpec, RoleChange, RolePlanner};
use smol_str::SmolStr;
use tokio::time::sleep;

use crate::exchange::Exchange;
use crate::node::Node;
use crate::store::{StoreClient, StoreFault, Written};
use crate::{EventCode, RowWrite, Table};

/// Pause between two looks at the mix of stages.
const LOOK: Duration = Duration::from_millis(500);

/// Time after the start before the first order, so that all engines are known.
const SETTLE: Duration = Duration::from_millis(4000);

/// Time without a generation after which there is no traffic.
const NO_TRAFFIC: Duration = Duration::from_secs(2);

/// How long the mix must be off, while traffic runs, before an engine is changed.
const OFF_FOR: Duration = Duration::from_secs(3);

/// Time beyond a change of stage after which it should show in the list of servers.
const SHOWS_AFTER: Duration = Duration::from_secs(4);

/// Time after the write of the row within which orders may be sent.
const ORDERS_WITHIN: Duration = Duration::from_millis(600);

/// Orders that are sent at the same time.
const ORDERS_AT_ONCE: usize = 8;

/// Time beyond the lease before orders are taken over from another instance.
const TAKEOVER_MARGIN: Duration = Duration::from_millis(1000);

/// Key of the row.
const ROW: &str = "stages";

/// Keeps the mix of stages right for as long as the process runs.
pub async fn keep(node: Rc<Node>) {
    let mut duty = Duty {
        client: StoreClient::new(node.clone(), "stages"),
        node,
        held: None,
        off_since: None,
        not_before: SETTLE,
    };
    loop {
        sleep(LOOK).await;
        duty.look().await;
    }
}

/// The duty of one instance.
struct Duty {
    node: Rc<Node>,
    client: StoreClient,
    /// Version of the row as this instance wrote it.
    held: Option<u64>,
    off_since: Option<Duration>,
    /// Time before which nothing is ordered.
    not_before: Duration,
}

/// A service whose mix is off.
struct Off {
    spec: EngineSpec,
    changes: Vec<RoleChange>,
}

impl Duty {
    async fn look(&mut self) {
        let now = self.node.now();
        if now < self.not_before || !self.is_candidate(now) {
            return;
        }
        let has_traffic = self.has_traffic(now);
        let Some(off) = self.off(now, has_traffic) else {
            self.off_since = None;
            return;
        };
        let since = *self.off_since.get_or_insert(now);
        if has_traffic && now < since + OFF_FOR {
            return;
        }
        match self.take().await {
            Ok(Some(token)) => self.order(&off, token).await,
            Ok(None) => self.postpone(self.takeover_after()),
            Err(fault) => {
                log::debug!("no orders: {fault}");
                self.postpone(self.takeover_after());
            }
        }
    }

    /// The speaker of the first zone orders; a row in the store keeps a second one from it.
    fn is_candidate(&self, now: Duration) -> bool {
        let state = self.node.state.borrow();
        state.is_serving() && state.members.is_fleet_delegate(now)
    }

    fn has_traffic(&self, now: Duration) -> bool {
        let last = self.node.last_generation.get();
        last.is_some_and(|at| now < at + NO_TRAFFIC)
    }

    fn off(&self, now: Duration, has_traffic: bool) -> Option<Off> {
        let state = self.node.state.borrow();
        let config = state.config.clone()?;
        let profile = self.node.settings().planning.profile();
        let plan = RolePlanner { profile };
        config.services.iter().find_map(|(name, service)| {
            let spec = service.engine.clone()?;
            let changes = plan.changes(now, &state.pool, name, &spec, has_traffic);
            (!changes.is_empty()).then_some(Off { spec, changes })
        })
    }

    /// Takes or renews the right to order; `None` if another instance may still have it.
    async fn take(&mut self) -> Result<Option<u64>, StoreFault> {
        let expected = match self.held {
            Some(version) => version,
            None => match self.free_row().await? {
                Some(version) => version,
                None => return Ok(None),
            },
        };
        let write = RowWrite {
            table: Table::Duties,
            key: ROW.into(),
            value: Some(self.node.settings().instance.as_bytes().to_vec()),
            expected: Some(expected),
        };
        self.held = match self.client.write(&write).await? {
            Written::Done(version) => Some(version),
            Written::Conflict => None,
        };
        Ok(self.held)
    }

    /// Returns the version of the row once nobody else can be using it.
    async fn free_row(&mut self) -> Result<Option<u64>, StoreFault> {
        let before = self.row().await?;
        let Some((version, holder)) = before else {
            return Ok(Some(0));
        };
        let own = holder == self.node.settings().instance;
        if !own {
            sleep(self.takeover_after()).await;
        }
        let after = self.row().await?;
        Ok(after.filter(|(v, _)| *v == version).map(|(v, _)| v))
    }

    async fn row(&mut self) -> Result<Option<(u64, SmolStr)>, StoreFault> {
        let rows = self.client.read(Table::Duties).await?;
        let row = rows.rows.into_iter().find(|row| row.key == ROW);
        Ok(row.map(|row| {
            let holder = row.value.unwrap_or_default();
            (row.version, String::from_utf8_lossy(&holder).into())
        }))
    }

    fn takeover_after(&self) -> Duration {
        Duration::from_millis(self.node.settings().bounds.lease_ms) + TAKEOVER_MARGIN
    }

    fn postpone(&mut self, by: Duration) {
        self.not_before = self.node.now() + by;
    }

    async fn order(&mut self, off: &Off, token: u64) {
        let until = self.node.now() + ORDERS_WITHIN;
        for changes in off.changes.chunks(ORDERS_AT_ONCE) {
            if self.node.now() >= until {
                break;
            }
            let orders = changes.iter().map(|change| self.order_one(*change, token));
            join_all(orders).await;
        }
        // The list shows new stages only when the engines have changed.
        self.postpone(off.spec.role_switch + SHOWS_AFTER);
        self.off_since = None;
    }

    async fn order_one(&self, change: RoleChange, token: u64) {
        let holder = self.node.settings().instance.clone();
        let request = (self.node.adapter.servers.set_stage)(change.role, &holder, token);
        let answer = Exchange::call(&self.node, change.server, request).await;
        let outcome = match &answer {
            Ok((status, _)) => status.as_u16().to_string(),
            Err(fault) => fault.reason().to_string(),
        };
        if matches!(answer, Ok((StatusCode::ACCEPTED, _))) {
            let mut state = self.node.state.borrow_mut();
            state.pool.start_role_change(change.server);
        }
        let id = self.node.state.borrow().pool.id_of(change.server);
        self.node.note(
            EventCode::StageOrdered,
            [
                ("server", id.as_str().into()),
                ("stage", stage_name(change.role).into()),
                ("fencing_token", token.into()),
                ("outcome", outcome.into()),
            ],
        );
    }
}

fn stage_name(stage: EngineRole) -> &'static str {
    match stage {
        EngineRole::Prefill => "prefill",
        EngineRole::Decode => "decode",
    }
}

impl crate::settings::Planning {
    fn profile(&self) -> EngineProfile {
        EngineProfile {
            prompt_tokens: self.prompt_tokens,
            output_tokens: self.output_tokens,
            prefill_tokens_per_ms: self.read_tokens_per_ms,
            ms_per_token: self.ms_per_token,
        }
    }
}
