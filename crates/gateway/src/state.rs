//! What an instance believes: configuration, backend servers, limits and peers.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use jacinthlever_routing::{
    FleetConfig, Membership, QuotaLedger, RetryBudget, ServerKey, ServerPool, SuspectRequests,
};
use smol_str::SmolStr;

use crate::Settings;
use crate::freshness::{Freshness, RecentChanges, StoreClock};

/// Margin before a withdrawn key must have stopped working, for the way to a backend server.
const REVOKE_MARGIN: Duration = Duration::from_millis(700);

/// Age of the configuration up to which an unknown route or key is said to be unknown.
const CONFIG_CERTAIN: Duration = Duration::from_millis(3500);

/// All beliefs of an instance.
#[derive(Debug, Default)]
pub struct State {
    /// Configuration in force.
    pub config: Option<Rc<FleetConfig>>,
    /// How new the configuration is.
    pub config_fresh: Freshness,
    /// How new the list of backend servers is.
    pub servers_fresh: Freshness,
    /// Changes of the servers that are passed on to peers.
    pub server_changes: RecentChanges,
    /// Newest rows that peers know of the configuration and of the servers.
    pub hinted: (u64, u64),
    /// The store's clock.
    pub store_clock: StoreClock,
    /// Backend servers.
    pub pool: ServerPool,
    /// Limits of customers.
    pub quotas: QuotaLedger,
    /// Other instances.
    pub members: Membership,
    /// Requests that crash backend servers.
    pub poison: SuspectRequests,
    /// Budgets of resends by service.
    pub budgets: BTreeMap<SmolStr, RetryBudget>,
    /// This instance's part of the resends that each service allows beside the ratio.
    pub resend_allowance: f64,
    /// When the store answered again after it had failed to tell the servers.
    pub servers_regained: Option<Duration>,
    /// Whether the process is stopping.
    pub is_draining: bool,
}

impl State {
    /// Makes the beliefs of an instance that has just started.
    pub fn new(settings: &Settings) -> Self {
        Self {
            members: Membership::new(settings.instance.clone(), settings.zone.clone()),
            ..Self::default()
        }
    }

    /// Puts a configuration in force, unless a newer one is.
    pub fn apply(&mut self, now: Duration, row: u64, config: FleetConfig) -> bool {
        if row <= self.config_fresh.row {
            return false;
        }
        let customers = config.customers.values();
        let quotas = customers.map(|c| (c.name.clone(), c.quota));
        self.quotas.configure(now, quotas);
        self.config_fresh.row = row;
        self.config = Some(Rc::new(config));
        true
    }

    /// Whether keys may be accepted: no withdrawal can be older than the bound.
    pub fn keys_are_proved(&self, now: Duration, settings: &Settings) -> bool {
        let longest = settings.bounds.revoke().saturating_sub(REVOKE_MARGIN);
        self.proof_age(now).is_some_and(|age| age < longest)
    }

    /// Whether an unknown route or key is unknown for certain.
    pub fn is_certain(&self, now: Duration) -> bool {
        self.proof_age(now).is_some_and(|age| age < CONFIG_CERTAIN)
    }

    /// Returns how long ago the configuration was known to be the newest.
    pub fn proof_age(&self, now: Duration) -> Option<Duration> {
        self.age(now, self.config_fresh)
    }

    /// Returns how long ago a copy of a table was known to be the newest.
    pub fn age(&self, now: Duration, fresh: Freshness) -> Option<Duration> {
        if fresh.proved_ms == 0 {
            return None;
        }
        let proved = self.store_clock.to_own(fresh.proved_ms)?;
        Some(now.saturating_sub(proved))
    }

    /// Takes in how new a peer's copies are: equal copies are proved with the peer's proof.
    pub fn take_freshness(&mut self, config: Freshness, servers: Freshness) {
        for (own, peer) in [
            (&mut self.config_fresh, config),
            (&mut self.servers_fresh, servers),
        ] {
            if own.row == peer.row {
                own.proved_ms = own.proved_ms.max(peer.proved_ms);
            }
        }
        self.hinted.0 = self.hinted.0.max(config.row);
        self.hinted.1 = self.hinted.1.max(servers.row);
    }

    /// Whether this instance can take requests: it knows routes and backend servers.
    pub fn is_serving(&self) -> bool {
        let knows_servers = self.servers_fresh.proved_ms > 0;
        self.config.is_some() && knows_servers && !self.is_draining
    }

    /// Whether this instance takes requests of all customers.
    pub fn is_ready(&self, now: Duration, settings: &Settings) -> bool {
        self.is_serving() && self.keys_are_proved(now, settings)
    }

    /// Returns how many idle connections this instance may keep to a backend server.
    pub fn idle_connections(&self, now: Duration, server: ServerKey) -> usize {
        let service = self.pool.get(server).map(|s| &s.entry.service);
        let config = self.config.as_ref();
        let known = service.and_then(|name| config?.services.get(name));
        let fleet = self.members.fleet_size(now);
        known.map_or(0, |service| service.max_idle_connections(fleet))
    }

    /// Returns the budget of resends to a service.
    pub fn budget(&mut self, settings: &Settings, service: &SmolStr) -> &mut RetryBudget {
        let bounds = &settings.bounds;
        let allowance = self.resend_allowance;
        self.budgets.entry(service.clone()).or_insert_with(|| {
            RetryBudget::new(bounds.resend_window(), bounds.resend_ratio, allowance)
        })
    }

    /// Shares fleet-wide allowances out again, as the fleet is now.
    pub fn share_out(&mut self, now: Duration, settings: &Settings) {
        let fleet = self.members.fleet_size(now) as f64;
        self.resend_allowance = settings.bounds.resend_allowance / fleet;
        for budget in self.budgets.values_mut() {
            budget.set_allowance(self.resend_allowance);
        }
        self.quotas
            .set_fleet_share(now, self.members.reachable_share(now));
    }
}
