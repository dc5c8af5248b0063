//! Sends role changes to engines, on one instance for the whole fleet.
//!
//! The instance that plans roles is recorded in a row of the store. Every round of role changes
//! begins with a conditional write of that row, whose new version is the fencing token; see
//! `docs/design/platform.md`.

use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use http::StatusCode;
use jacinthlever_routing::{EngineProfile, EngineRole, EngineSpec, RoleChange, RolePlanner};
use smol_str::SmolStr;
use tokio::time::sleep;

use crate::context::Context;
use crate::exchange::Exchange;
use crate::store::{OwnVersion, OwnWriteResult, StoreClient, StoreError};
use crate::{EventCode, Row, RowWrite, Table};

/// Interval at which the mix of roles is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Time from the start of the process to the first role change, so that all engines are known.
const STARTUP_DELAY: Duration = Duration::from_millis(4000);

/// Time without a generation at this instance after which there counts as no traffic; role changes
/// are not delayed then.
const IDLE_AFTER: Duration = Duration::from_secs(2);

/// Time for which the mix must be wrong, while there is traffic, before a role is changed.
const IMBALANCE_PERIOD: Duration = Duration::from_secs(3);

/// Time after the end of a role change by which the list of servers should show the new role.
const REGISTRATION_DELAY: Duration = Duration::from_secs(4);

/// Time after the write of the row was sent during which role changes may be sent.
///
/// It is shorter than a lease, and another instance counts the lease from when it sees the row, so it
/// holds however late the answer to the write arrives.
const SEND_PERIOD: Duration = Duration::from_millis(1500);

/// Maximum number of role changes that are sent concurrently.
const MAX_CONCURRENT_CHANGES: usize = 8;

/// Margin after the end of another instance's lease before role planning is taken over from it.
const TAKEOVER_MARGIN: Duration = Duration::from_millis(1000);

/// Key of the row in [`Table::Duties`].
const ROW_KEY: &str = "stages";

/// Plans the roles of engines; runs until the process ends.
pub async fn run(cx: Rc<Context>) {
    let mut coordinator = RoleCoordinator {
        client: StoreClient::new(cx.clone(), "stages"),
        cx,
        owned_version: None,
        imbalanced_since: None,
        not_before: STARTUP_DELAY,
    };
    loop {
        sleep(CHECK_INTERVAL).await;
        coordinator.check().await;
    }
}

/// The role coordinator of one instance.
struct RoleCoordinator {
    cx: Rc<Context>,
    client: StoreClient,
    /// Version of the row that this instance wrote last; `None` if it does not own the row.
    owned_version: Option<OwnVersion>,
    imbalanced_since: Option<Duration>,
    /// Time before which no role is changed.
    not_before: Duration,
}

/// Permission to send role changes.
#[derive(Clone, Copy, Debug)]
struct Fence {
    /// Fencing token: the version of the row.
    token: u64,
    /// When the write of the row was sent.
    written_at: Duration,
}

/// A service with the wrong mix of roles.
struct Imbalance {
    spec: EngineSpec,
    changes: Vec<RoleChange>,
}

impl RoleCoordinator {
    async fn check(&mut self) {
        let now = self.cx.now();
        if now < self.not_before || !self.is_candidate(now) {
            return;
        }
        let has_traffic = self.has_traffic(now);
        let Some(imbalance) = self.imbalance(now, has_traffic) else {
            self.imbalanced_since = None;
            return;
        };
        let since = *self.imbalanced_since.get_or_insert(now);
        if has_traffic && now < since + IMBALANCE_PERIOD {
            return;
        }
        match self.acquire().await {
            Ok(Some(fence)) => self.send_changes(&imbalance, fence).await,
            Ok(None) => self.postpone(self.takeover_after()),
            Err(error) => {
                log::debug!("role planning postponed, the store call failed: {error}");
                self.postpone(self.takeover_after());
            }
        }
    }

    /// Whether this instance should plan roles: it is the delegate of the first zone. The row in
    /// the store excludes a second planner.
    fn is_candidate(&self, now: Duration) -> bool {
        let state = self.cx.state.borrow();
        state.is_serving() && state.members.is_fleet_delegate(now)
    }

    fn has_traffic(&self, now: Duration) -> bool {
        let last = self.cx.last_generation_at.get();
        last.is_some_and(|at| now < at + IDLE_AFTER)
    }

    fn imbalance(&self, now: Duration, has_traffic: bool) -> Option<Imbalance> {
        let state = self.cx.state.borrow();
        let config = state.config.clone()?;
        let profile = self.cx.settings().planning.profile();
        let planner = RolePlanner { profile };
        config.services.iter().find_map(|(name, service)| {
            let spec = service.engine.clone()?;
            let changes = planner.changes(now, &state.pool, name, &spec, has_traffic);
            (!changes.is_empty()).then_some(Imbalance { spec, changes })
        })
    }

    /// Acquires or renews the ownership of the row; `None` if another instance may still own it.
    async fn acquire(&mut self) -> Result<Option<Fence>, StoreError> {
        let expected = match self.owned_version {
            Some(version) => version,
            None => match self.free_row().await? {
                Some(version) => version,
                None => return Ok(None),
            },
        };
        let instance = self.cx.settings().instance.clone();
        let write = RowWrite {
            table: Table::Duties,
            key: ROW_KEY.into(),
            value: Some(instance.as_bytes().to_vec()),
            expected: None,
        };
        let written_at = self.cx.now();
        let is_own = |row: &Row| row.value.as_deref() == Some(instance.as_bytes());
        let mut known = expected;
        let written = self.client.write_own(write, &mut known, is_own).await;
        // Without an answer the row may be this instance's from now on.
        self.owned_version = Some(known);
        match written? {
            OwnWriteResult::Done(token) => Ok(Some(Fence { token, written_at })),
            OwnWriteResult::Held(_) => {
                self.owned_version = None;
                Ok(None)
            }
        }
    }

    /// Returns the version of the row once no other instance can be using it; `None` if it changed
    /// while this instance waited.
    async fn free_row(&mut self) -> Result<Option<OwnVersion>, StoreError> {
        let before = self.row().await?;
        let Some((version, owner)) = before else {
            return Ok(Some(OwnVersion::Absent));
        };
        let is_own = owner == self.cx.settings().instance;
        if !is_own {
            sleep(self.takeover_after()).await;
        }
        let after = self.row().await?;
        let unchanged = after.filter(|(v, _)| *v == version);
        Ok(unchanged.map(|(v, _)| OwnVersion::At(v)))
    }

    async fn row(&mut self) -> Result<Option<(u64, SmolStr)>, StoreError> {
        let rows = self.client.read(Table::Duties).await?;
        let row = rows.rows.into_iter().find(|row| row.key == ROW_KEY);
        Ok(row.map(|row| {
            let owner = row.value.unwrap_or_default();
            (row.version, String::from_utf8_lossy(&owner).into())
        }))
    }

    fn takeover_after(&self) -> Duration {
        Duration::from_millis(self.cx.settings().bounds.lease_ms) + TAKEOVER_MARGIN
    }

    fn postpone(&mut self, by: Duration) {
        self.not_before = self.cx.now() + by;
    }

    async fn send_changes(&mut self, imbalance: &Imbalance, fence: Fence) {
        let until = fence.written_at + SEND_PERIOD;
        for changes in imbalance.changes.chunks(MAX_CONCURRENT_CHANGES) {
            if self.cx.now() >= until {
                break;
            }
            let sends = changes
                .iter()
                .map(|change| self.send_change(*change, fence.token));
            join_all(sends).await;
        }
        // The list of servers shows new roles only after the engines have changed.
        self.postpone(imbalance.spec.role_change_time + REGISTRATION_DELAY);
        self.imbalanced_since = None;
    }

    async fn send_change(&self, change: RoleChange, token: u64) {
        let sender = self.cx.settings().instance.clone();
        let request = (self.cx.adapter.servers.change_role)(change.role, &sender, token);
        let answer = Exchange::call(&self.cx, change.server, request).await;
        let outcome = match &answer {
            Ok((status, _)) => status.as_u16().to_string(),
            Err(error) => error.reason().to_string(),
        };
        if matches!(answer, Ok((StatusCode::ACCEPTED, _))) {
            let mut state = self.cx.state.borrow_mut();
            state.pool.start_role_change(change.server);
        }
        let id = self.cx.state.borrow().pool.id_of(change.server);
        self.cx.log(
            EventCode::StageOrdered,
            [
                ("server", id.as_str().into()),
                ("stage", role_name(change.role).into()),
                ("fencing_token", token.into()),
                ("outcome", outcome.into()),
            ],
        );
    }
}

fn role_name(role: EngineRole) -> &'static str {
    match role {
        EngineRole::Prefill => "prefill",
        EngineRole::Decode => "decode",
    }
}

impl crate::settings::Planning {
    fn profile(&self) -> EngineProfile {
        EngineProfile {
            prompt_tokens: self.prompt_tokens,
            output_tokens: self.output_tokens,
            prefill_tokens_per_ms: self.prefill_tokens_per_ms,
            ms_per_token: self.ms_per_token,
        }
    }
}
