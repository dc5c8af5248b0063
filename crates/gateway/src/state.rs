//! What an instance believes: configuration, backend servers, limits and peers.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use jacinthlever_routing::{
    FleetConfig, Membership, PoisonList, QuotaBook, ResendBudget, ServerPool,
};
use smol_str::SmolStr;

use crate::Settings;

/// Margin before a withdrawn key must have stopped working, for the way to a backend server.
const REVOKE_MARGIN: Duration = Duration::from_millis(700);

/// Age of the configuration up to which an unknown route or key is said to be unknown.
const CONFIG_CERTAIN: Duration = Duration::from_millis(3500);

/// All beliefs of an instance.
#[derive(Debug, Default)]
pub struct State {
    /// Configuration in force.
    pub config: Option<Rc<FleetConfig>>,
    /// Version of the row that the configuration came from.
    pub config_row: u64,
    /// When the configuration was last known to be the newest.
    pub config_proved: Option<Duration>,
    /// Backend servers.
    pub pool: ServerPool,
    /// Limits of customers.
    pub quotas: QuotaBook,
    /// Other instances.
    pub members: Membership,
    /// Requests that crash backend servers.
    pub poison: PoisonList,
    /// Budgets of resends by service.
    pub budgets: BTreeMap<SmolStr, ResendBudget>,
    /// When the store answered again after it had failed to tell the servers.
    pub servers_regained: Option<Duration>,
    /// Whether the process is stopping.
    pub is_draining: bool,
}

impl State {
    /// Puts a configuration in force, unless a newer one is.
    pub fn apply(&mut self, now: Duration, row: u64, config: FleetConfig) -> bool {
        if row <= self.config_row {
            return false;
        }
        let customers = config.customers.values();
        let quotas = customers.map(|c| (c.name.clone(), c.quota));
        self.quotas.configure(now, quotas);
        self.config_row = row;
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
        self.config_proved.map(|at| now.saturating_sub(at))
    }

    /// Whether this instance can take requests.
    pub fn is_serving(&self) -> bool {
        self.config.is_some() && !self.is_draining
    }

    /// Returns the budget of resends to a service.
    pub fn budget(&mut self, settings: &Settings, service: &SmolStr) -> &mut ResendBudget {
        let bounds = &settings.bounds;
        self.budgets
            .entry(service.clone())
            .or_insert_with(|| ResendBudget::new(bounds.resend_window(), bounds.resend_ratio, 0.0))
    }

    /// Shares fleet-wide allowances out again, as the fleet is now.
    pub fn share_out(&mut self, now: Duration, settings: &Settings) {
        let fleet = self.members.fleet_size(now) as f64;
        let allowance = settings.bounds.resend_allowance / fleet;
        for budget in self.budgets.values_mut() {
            budget.set_allowance(allowance);
        }
        self.quotas
            .set_share(now, self.members.reachable_share(now));
    }
}
