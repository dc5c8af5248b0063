//! The view that an instance has of the fleet: configuration, backend servers, quotas and peers.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use jacinthlever_routing::{
    AllowanceShare, FleetConfig, Freshness, Membership, OutputEstimates, QuotaLedger, Reach,
    RetryBudget, RunTimes, ServerKey, ServerPool, ServiceReach, StreamJournal, StreamOrigins,
    SuspectParts, SuspectRequests, VersionNotes,
};
use smol_str::SmolStr;

use crate::Settings;
use crate::freshness::{RecentChanges, StoreClock};
use crate::route_splits;

/// Margin before the deadline of a key's revocation, for the transit to a backend server.
const REVOCATION_MARGIN: Duration = Duration::from_millis(700);

/// Age of the configuration up to which an unknown route or key is refused as unknown. With an
/// older one it may have been added since, so the caller is told to retry.
const MAX_CONFIG_AGE: Duration = Duration::from_millis(3500);

/// The view that an instance has of the fleet.
#[derive(Debug, Default)]
pub struct State {
    /// Configuration in force; `None` until the first one is read.
    pub config: Option<Rc<FleetConfig>>,
    /// How current the copy of the operator's table is; its row is that of the configuration in force.
    pub config_freshness: Freshness,
    /// How current the list of backend servers is.
    pub servers_freshness: Freshness,
    /// Recent changes of the servers, which are sent to peers.
    pub server_changes: RecentChanges,
    /// Newest rows of the configuration and of the servers that peers have reported.
    pub newest_peer_rows: (u64, u64),
    /// Lowest positions of the configuration and of the servers that peers of the zone have reported since the start
    /// of this process; `None` before any.
    pub lowest_peer_positions: (Option<u64>, Option<u64>),
    /// When peers last verified their copies of the configuration and of the servers, by the store's clock.
    pub newest_peer_verifications: (u64, u64),
    /// Row of a configuration that is too large to be sent by peers; 0 if there was none.
    pub large_config_row: u64,
    /// Offset of the store's clock.
    pub store_clock: StoreClock,
    /// Backend servers.
    pub pool: ServerPool,
    /// Quotas of customers.
    pub quotas: QuotaLedger,
    /// Other instances.
    pub members: Membership,
    /// Requests that ran on backend servers that crashed.
    pub suspect_requests: SuspectRequests,
    /// Parts of prompts that were being answered on backend servers that crashed.
    pub suspect_parts: SuspectParts,
    /// Software versions that began streams.
    pub stream_origins: StreamOrigins,
    /// Streams and their versions that this instance writes to the store.
    pub stream_journal: StreamJournal,
    /// Whether this instance reaches the servers of each service.
    pub reach: BTreeMap<SmolStr, ServiceReach>,
    /// Retry budgets by service.
    pub retry_budgets: BTreeMap<SmolStr, RetryBudget>,
    /// This instance's share of the retries that each service allows in addition to the ratio.
    pub retry_share: AllowanceShare,
    /// The retries of that share.
    pub retry_allowance: f64,
    /// When reads of the servers succeeded again after the store had been unreachable; `None` if it
    /// never was.
    pub servers_recovered_at: Option<Duration>,
    /// Whether the process is shutting down.
    pub is_draining: bool,
    /// Whether the settings turn scheduling by load, cost and rate on.
    pub is_scheduling_configured: bool,
    /// Whether a backend server has stated its slowdown since the start of the process, which turns
    /// scheduling on as well.
    pub is_slowdown_stated: bool,
    /// When the loads of servers were last put into a report.
    pub loads_reported_at: Duration,
    /// When the loads of servers were last put into a digest.
    pub loads_digested_at: Duration,
    /// Learned output of generations.
    pub output_estimates: OutputEstimates,
    /// Learned run times of requests.
    pub run_times: RunTimes,
}

impl State {
    /// Creates the view of an instance that has just started.
    pub fn new(settings: &Settings) -> Self {
        let mut pool = ServerPool::default();
        pool.keep_notes(VersionNotes::new(settings.is_first_start));
        Self {
            pool,
            members: Membership::new(settings.instance.clone(), settings.zone.clone()),
            retry_share: AllowanceShare::new(settings.bounds.retry_window()),
            quotas: match settings.is_first_start {
                true => QuotaLedger::default(),
                false => QuotaLedger::following_another(),
            },
            is_scheduling_configured: settings.scheduling.is_active,
            ..Self::default()
        }
    }

    /// Whether requests are placed and admitted by shared load, cost and rate.
    pub fn is_scheduling_active(&self) -> bool {
        self.is_scheduling_configured || self.is_slowdown_stated
    }

    /// Puts the configuration of a row in force, unless the present one is as new or newer. Returns
    /// whether it did.
    pub fn apply(&mut self, now: Duration, row: u64, config: FleetConfig) -> bool {
        if row <= self.config_freshness.row {
            return false;
        }
        let customers = config.customers.values();
        let quotas = customers.map(|c| (c.name.clone(), c.quota));
        self.quotas.configure(now, quotas);
        let services = config.services.iter();
        let cold_rates = services.filter_map(|(name, s)| Some((name.clone(), s.cold_rate?)));
        self.pool.set_cold_rates(cold_rates.collect());
        let routes = &config.routes;
        let is_kept = |name: &SmolStr| routes.iter().any(|route| route.name == *name);
        self.run_times.retain(is_kept);
        route_splits::record(&mut self.pool, now, self.config.as_deref(), &config);
        self.config_freshness.row = row;
        self.config = Some(Rc::new(config));
        true
    }

    /// Whether keys may be accepted: the configuration was verified within the time that a revoked
    /// key may still work, less [`REVOCATION_MARGIN`]. A key that was revoked after that may still
    /// be accepted.
    pub fn keys_are_verified(&self, now: Duration, settings: &Settings) -> bool {
        let max_age = settings
            .bounds
            .revocation_time()
            .saturating_sub(REVOCATION_MARGIN);
        self.config_verification_age(now)
            .is_some_and(|age| age < max_age)
    }

    /// Whether the configuration is recent enough to refuse an unknown route or key for good.
    pub fn is_config_current(&self, now: Duration) -> bool {
        self.config_verification_age(now)
            .is_some_and(|age| age < MAX_CONFIG_AGE)
    }

    /// Returns how long ago the configuration was verified; `None` if it never was.
    pub fn config_verification_age(&self, now: Duration) -> Option<Duration> {
        self.verification_age(now, self.config_freshness)
    }

    /// Returns how long ago a copy of a table was verified; `None` if it never was, or if the
    /// offset of the store's clock is unknown.
    pub fn verification_age(&self, now: Duration, freshness: Freshness) -> Option<Duration> {
        if freshness.verified_ms == 0 {
            return None;
        }
        let verified = self.store_clock.to_local(freshness.verified_ms)?;
        Some(now.saturating_sub(verified))
    }

    /// Merges the freshness of a peer's copies; see [`Freshness::merge`]. Returns whether it has newer rows than
    /// any that was reported before.
    pub fn merge_freshness(&mut self, config: Freshness, servers: Freshness) -> bool {
        self.config_freshness.merge(&config);
        self.servers_freshness.merge(&servers);
        let lowest = &mut self.lowest_peer_positions;
        for (lowest, peer) in [(&mut lowest.0, config), (&mut lowest.1, servers)] {
            if peer.position > 0 {
                *lowest = Some(lowest.map_or(peer.position, |known| known.min(peer.position)));
            }
        }
        let newest = &mut self.newest_peer_rows;
        let has_news = config.row > newest.0 || servers.row > newest.1;
        newest.0 = newest.0.max(config.row);
        newest.1 = newest.1.max(servers.row);
        let verified = &mut self.newest_peer_verifications;
        verified.0 = verified.0.max(config.verified_ms);
        verified.1 = verified.1.max(servers.verified_ms);
        has_news
    }

    /// Whether this instance can serve requests: it has a configuration and the list of backend
    /// servers, and is not shutting down.
    pub fn is_serving(&self) -> bool {
        let has_servers = self.servers_freshness.verified_ms > 0;
        self.config.is_some() && has_servers && !self.is_draining
    }

    /// Whether this instance serves requests of all customers, including those with keys.
    pub fn is_ready(&self, now: Duration, settings: &Settings) -> bool {
        self.is_serving() && self.keys_are_verified(now, settings)
    }

    /// Returns the services of which this instance reaches no server.
    pub fn lost_services(&self) -> Vec<SmolStr> {
        let lost = self.reach.iter().filter(|(_, r)| r.reach() == Reach::Lost);
        lost.map(|(service, _)| service.clone()).collect()
    }

    /// Returns the maximum number of idle connections from this instance to a backend server; 0 if
    /// the server or its service is unknown.
    pub fn max_idle_connections(&self, now: Duration, server: ServerKey) -> usize {
        let service = self.pool.get(server).map(|s| &s.entry.service);
        let config = self.config.as_ref();
        let service = service.and_then(|name| config?.services.get(name));
        let fleet = self.members.fleet_size(now);
        service.map_or(0, |service| service.max_idle_connections(fleet))
    }

    /// Returns the retry budget of a service.
    pub fn retry_budget(&mut self, settings: &Settings, service: &SmolStr) -> &mut RetryBudget {
        let bounds = &settings.bounds;
        let allowance = self.retry_allowance;
        self.retry_budgets
            .entry(service.clone())
            .or_insert_with(|| {
                let window = bounds.retry_window();
                let full_from = match settings.is_first_start {
                    true => Duration::ZERO,
                    false => window,
                };
                RetryBudget::new(window, bounds.retry_ratio, allowance, full_from)
            })
    }

    /// Recomputes this instance's share of fleet-wide allowances from the present size of the
    /// fleet.
    pub fn redistribute_allowances(&mut self, now: Duration, settings: &Settings) {
        if let Some(size) = self.members.largest_size(now) {
            self.retry_share.record_size(now, size);
        }
        self.retry_allowance = settings.bounds.retry_allowance * self.retry_share.fraction();
        for budget in self.retry_budgets.values_mut() {
            budget.set_allowance(self.retry_allowance);
        }
        self.quotas
            .set_fleet_share(now, self.members.reachable_share(now));
    }
}
