//! A caller's request that has been admitted, with its route and service.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use http::header::{self, HeaderMap, HeaderName};
use http::{Method, Uri};
use jacinthlever_routing::{Fingerprint, FleetConfig, PlannedStop, Route, RouteKind};
use smol_str::SmolStr;
use tokio::sync::watch;

use crate::CallerHeaders;
use crate::answer::Verdict;
use crate::charge::Charge;
use crate::context::Context;
use crate::held_body::HeldBody;
use crate::sends::Sends;
use crate::stream_origins::FoundOrigin;

/// Hop-by-hop headers, which apply to one connection only; see RFC 9110, section 7.6.1.
const CONNECTION_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// An admitted request.
pub struct CallerRequest {
    /// Method that is forwarded.
    pub method: Method,
    /// Path and query that are forwarded.
    pub uri: Uri,
    /// Headers that are forwarded to backend servers.
    pub forwarded: HeaderMap,
    /// Headers that routing depends on.
    pub headers: CallerHeaders,
    /// Complete body.
    pub body: HeldBody,
    /// Route that matches the path.
    pub route: Route,
    /// Service selected by the traffic split of the route.
    pub service: SmolStr,
    /// Configuration under which the request was admitted.
    pub config: Rc<FleetConfig>,
    /// Name of the customer; `None` on public routes.
    pub customer: Option<SmolStr>,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Time of arrival, on the clock of the instance.
    pub arrived: Duration,
    /// Time by which the caller must have an answer, on the clock of the instance.
    pub deadline: Duration,
    /// Time until which the caller waits, over all its attempts, on the clock of the instance. It may be later than
    /// the deadline, which is also that of the route.
    pub caller_waits_until: Duration,
    /// Where the stream began that the caller takes up, if that was needed to select the service.
    pub origin: Option<FoundOrigin>,
    /// Hash of key, method, path and body, which identifies equal requests.
    pub fingerprint: Fingerprint,
    /// Number of sends that a backend server may have run: those under way, and those that ended without
    /// the proof that they were not run.
    pub possible_runs: Cell<u32>,
    /// The sends of the request to backend servers.
    pub sends: Rc<Sends>,
    /// Charge against the customer's quota; `None` on public routes.
    pub charge: Option<Charge>,
    /// Whether another instance has passed the request on to this one.
    pub is_relayed: bool,
    /// Schedule of the planned stop of this instance.
    pub stop: watch::Receiver<Option<PlannedStop>>,
}

impl CallerRequest {
    /// Whether a backend server may have run the request.
    pub fn may_have_run(&self) -> bool {
        self.possible_runs.get() > 0
    }

    /// Records that a send begins, which a backend server may run. It is counted as long as it is not
    /// withdrawn, also when it is given up.
    pub fn begin_run(&self) {
        self.possible_runs.set(self.possible_runs.get() + 1);
    }

    /// Records that a send which has begun was not run and will not be. Others may have been.
    pub fn withdraw_run(&self) {
        self.possible_runs.set(self.possible_runs.get() - 1);
    }

    /// Charges the customer, unless that has been done already.
    ///
    /// # Errors
    /// Returns a refusal if the customer has exceeded its quota.
    pub fn confirm_charge(&self) -> Result<(), Verdict> {
        self.charge.as_ref().map_or(Ok(()), Charge::confirm)
    }

    /// Undoes the charge, since another instance is about to charge the customer.
    pub fn withdraw_charge(&self) {
        if let Some(charge) = &self.charge {
            charge.withdraw();
        }
    }

    /// Returns the tokens charged against the customer's quota; 0 on public routes.
    pub fn tokens(&self) -> u64 {
        self.charge.as_ref().map_or(0, |charge| charge.tokens)
    }

    /// Returns the event after which the caller takes a stream up; `None` on routes whose streams may not be
    /// resumed.
    pub fn position(&self) -> Option<u64> {
        self.headers.last_event.filter(|_| self.route.is_resumable)
    }

    /// Returns the time left until the deadline, or until this instance stops; zero once it has passed.
    pub fn time_left(&self, now: Duration) -> Duration {
        let stop = self.stop.borrow();
        let stops_at = stop.as_ref().map(|stop| match self.route.kind {
            RouteKind::Stream => stop.exit_by(),
            RouteKind::Safe | RouteKind::Unsafe => stop.answer_by(),
        });
        let until = stops_at.map_or(self.deadline, |at| at.min(self.deadline));
        until.saturating_sub(now)
    }

    /// Records how long the request has run, now that its answer is whole. A stream that the caller took
    /// up does not count.
    pub fn record_run_time(&self, cx: &Context) {
        let is_taken_up = self.headers.take_up_stream();
        if let Some(sent_at) = self.sends.first_sent_at().filter(|_| !is_taken_up) {
            let took = cx.now().saturating_sub(sent_at);
            let mut state = cx.state.borrow_mut();
            state.run_times.record(&self.route.name, took);
        }
    }

    /// Returns the customer's name for metrics and logs, `public` on public routes.
    pub fn customer_name(&self) -> &str {
        self.customer.as_deref().unwrap_or("public")
    }

    /// Whether the key is still accepted; it may have been revoked since the request arrived.
    pub fn is_still_authorized(&self, cx: &Context) -> bool {
        let Some(key) = &self.headers.key else {
            return true;
        };
        if self.customer.is_none() {
            return true;
        }
        let state = cx.state.borrow();
        let is_verified = state.keys_are_verified(cx.now(), &cx.settings());
        let config = state.config.as_ref();
        let key_owner = config.and_then(|c| c.keys.get(key.as_str()));
        is_verified && key_owner == self.customer.as_ref()
    }
}

impl Drop for CallerRequest {
    fn drop(&mut self) {
        if let Some(charge) = self.charge.as_ref().filter(|_| self.may_have_run()) {
            charge.settle();
        }
    }
}

/// Removes hop-by-hop headers and those listed in `Connection`.
pub fn remove_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&CONNECTION_HEADERS) {
        headers.remove(name);
    }
}

/// Hashes the parts of a request that make it equal to another one for a backend server.
pub fn fingerprint(key: Option<&str>, method: &Method, uri: &Uri, body: &HeldBody) -> Fingerprint {
    let mut hasher = blake3::Hasher::new();
    for part in [key.unwrap_or(""), method.as_str(), &uri.to_string()] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    for segment in body.segments() {
        hasher.update(&segment);
    }
    let mut word = [0; 8];
    word.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    Fingerprint(u64::from_le_bytes(word))
}
