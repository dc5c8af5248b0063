//! A caller's request, once it is known where it leads.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{self, HeaderMap, HeaderName};
use http::{Method, Uri};
use jacinthlever_routing::{Fingerprint, FleetConfig, Route};
use smol_str::SmolStr;

use crate::CallerHeaders;
use crate::answer::Verdict;
use crate::charge::Charge;
use crate::context::Context;

/// Headers that concern one connection only; see RFC 9110, section 7.6.1.
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

/// A request that was accepted.
pub struct CallerRequest {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers that are forwarded.
    pub forwarded: HeaderMap,
    /// Headers that routing depends on.
    pub headers: CallerHeaders,
    /// Body.
    pub body: Bytes,
    /// Route.
    pub route: Route,
    /// Service that was drawn for it.
    pub service: SmolStr,
    /// Configuration under which it was accepted.
    pub config: Rc<FleetConfig>,
    /// Name of the customer; `None` on public routes.
    pub customer: Option<SmolStr>,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// When it arrived.
    pub arrived: Duration,
    /// When the caller is answered at the latest.
    pub deadline: Duration,
    /// Hash of key, method, path and body.
    pub fingerprint: Fingerprint,
    /// Whether a backend server may have run it.
    pub may_have_run: Cell<bool>,
    /// What it takes out of its customer's limit; `None` on public routes.
    pub charge: Option<Charge>,
}

impl CallerRequest {
    /// Charges the customer, if that has not been done yet.
    ///
    /// # Errors
    /// Fails with a refusal if the customer is over its limit.
    pub fn confirm_charge(&self) -> Result<(), Verdict> {
        self.charge.as_ref().map_or(Ok(()), Charge::confirm)
    }

    /// Returns the tokens that it counts as against its customer's limit.
    pub fn tokens(&self) -> u64 {
        self.charge.as_ref().map_or(0, |charge| charge.tokens)
    }

    /// Returns the time that is left for an answer.
    pub fn time_left(&self, now: Duration) -> Duration {
        self.deadline.saturating_sub(now)
    }

    /// Returns the customer's name for metrics and logs.
    pub fn customer_name(&self) -> &str {
        self.customer.as_deref().unwrap_or("public")
    }

    /// Whether it is still allowed: a key may have been withdrawn since it arrived.
    pub fn is_still_authorized(&self, cx: &Context) -> bool {
        let Some(key) = &self.headers.key else {
            return true;
        };
        if self.customer.is_none() {
            return true;
        }
        let state = cx.state.borrow();
        let proved = state.keys_are_verified(cx.now(), &cx.settings());
        let config = state.config.as_ref();
        let holder = config.and_then(|c| c.keys.get(key.as_str()));
        proved && holder == self.customer.as_ref()
    }
}

impl Drop for CallerRequest {
    fn drop(&mut self) {
        if let Some(charge) = self.charge.as_ref().filter(|_| self.may_have_run.get()) {
            charge.settle();
        }
    }
}

/// Removes headers that concern one connection only, and those that `Connection` names.
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

/// Hashes what makes two requests the same to a backend server.
pub fn fingerprint(key: Option<&str>, method: &Method, uri: &Uri, body: &[u8]) -> Fingerprint {
    let mut hasher = blake3::Hasher::new();
    for part in [key.unwrap_or(""), method.as_str(), &uri.to_string()] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    hasher.update(body);
    let mut word = [0; 8];
    word.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    Fingerprint(u64::from_le_bytes(word))
}
