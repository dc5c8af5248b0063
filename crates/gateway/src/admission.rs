//! Admission of callers' requests: matches the route, checks the API key, reads the body and
//! charges the customer's quota.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use http::header::{self, HeaderMap};
use http::{Request, StatusCode};
use hyper::body::Incoming;
use jacinthlever_routing::{
    CallerLimits, Customer, FleetConfig, HoldingUse, MAX_CALLER_WAIT, Route,
};
use smol_str::SmolStr;
use tokio::time::timeout;

use crate::CallerHeaders;
use crate::answer::{BODY_TOO_LONG, NO_MEMORY, OLDER_CONFIG, Verdict};
use crate::caller_request::{CallerRequest, fingerprint, remove_connection_headers};
use crate::charge::Charge;
use crate::context::Context;
use crate::drain;
use crate::held_body::{HeldBody, ReadError};
use crate::quarantine;
use crate::relay::{ATTEMPTS_HEADER, CALLER_WAIT_HEADER, CONFIG_HEADER, RelayTerms};
use crate::route_splits::{self, KnownSplits};
use crate::sends::Sends;
use crate::stream_origins::{self, FoundOrigin};

/// `Retry-After` of refusals that are due to a configuration that may be outdated, to a route
/// without a service, or to a server that did not have capacity in time.
pub const RETRY_AFTER_UNVERIFIED: Duration = Duration::from_millis(800);

/// Shortest `Retry-After` of refusals for lack of memory.
const RETRY_AFTER_NO_MEMORY: Duration = Duration::from_millis(500);

/// `Retry-After` of refusals while this instance has no configuration yet.
const RETRY_AFTER_UNCONFIGURED: Duration = Duration::from_millis(700);

/// Properties of a request that are logged with its outcome; filled in during admission.
pub struct RequestSummary {
    /// Identifier of this attempt of the caller.
    pub request_id: SmolStr,
    /// Time of arrival.
    pub arrived: Duration,
    /// Route; empty if none matches.
    pub route: SmolStr,
    /// Customer; empty if the route is public or the key is unknown.
    pub customer: SmolStr,
    /// Tokens that the request counts against the customer's quota.
    pub tokens: u64,
    /// Version of the configuration that was used; 0 if there was none.
    pub config: u64,
}

impl RequestSummary {
    /// Creates a summary from the head of a request; the other fields are empty.
    pub fn new(request_id: SmolStr, arrived: Duration) -> Self {
        Self {
            request_id,
            arrived,
            route: SmolStr::default(),
            customer: SmolStr::default(),
            tokens: 0,
            config: 0,
        }
    }
}

/// Result of matching a request against the configuration.
struct Admission {
    config: Rc<FleetConfig>,
    route: Route,
    customer: Option<Customer>,
    service: SmolStr,
}

impl Admission {
    /// Whether the request goes to a model engine and may have to wait for free engine memory.
    fn waits_for_capacity(&self) -> bool {
        let engine = self.config.generation_engine(&self.route, &self.service);
        engine.is_some()
    }

    /// Returns the tokens that the request counts against its customer's quota: the maximum length
    /// of a generation, or a fixed number for other requests.
    fn tokens(&self, headers: &CallerHeaders) -> u64 {
        let quota = self.customer.as_ref().and_then(|c| c.quota);
        let plain = quota.map_or(0, |q| q.default_tokens);
        let generation = headers.generation;
        generation.map_or(plain, |g| g.prompt_tokens + g.max_output)
    }
}

/// Admits a request and charges its customer. `relayed` is what another instance says of it, if that
/// has passed it on.
///
/// # Errors
/// Returns a [`Verdict::NotRun`] with the reason for the refusal.
pub async fn admit(
    cx: &Rc<Context>,
    req: Request<Incoming>,
    headers: CallerHeaders,
    relayed: Option<RelayTerms>,
    summary: &mut RequestSummary,
) -> Result<CallerRequest, Verdict> {
    let arrived = summary.arrived;
    if relayed.is_some() && cx.state.borrow().is_draining {
        return Err(Verdict::stopping(false));
    }
    let in_force = cx.state.borrow().config.as_ref().map(|c| c.version);
    if relayed.is_some_and(|relayed| in_force.unwrap_or(0) < relayed.config) {
        return Err(Verdict::unavailable(OLDER_CONFIG, RETRY_AFTER_UNVERIFIED));
    }
    let mut admission = match_request(cx, &req, &headers, summary)?;
    if let Some(relayed) = relayed {
        admission.route.max_attempts = admission.route.max_attempts.min(relayed.attempts);
    }
    let origin = find_origin(cx, &mut admission, &headers).await?;
    summary.tokens = admission.tokens(&headers);
    let timeout = headers.timeout.unwrap_or(admission.route.timeout);
    let deadline = arrived + timeout.min(admission.route.timeout);
    let caller_wait = relayed.and_then(|relayed| relayed.caller_wait);
    let caller_wait = caller_wait.unwrap_or(timeout).min(MAX_CALLER_WAIT);
    let (parts, body) = req.into_parts();
    let time_limit = deadline.saturating_sub(arrived);
    let body = tokio::select! {
        biased;
        body = read_body(cx, body, admission.config.limits, time_limit) => body?,
        () = drain::too_late_to_begin(cx, &admission.route, deadline) => {
            return Err(Verdict::stopping_unread());
        }
    };
    let is_refused = relayed.is_some() && cx.state.borrow().is_draining;
    if is_refused || !drain::may_begin(cx, &admission.route, deadline) {
        return Err(Verdict::stopping(false));
    }
    let now = cx.now();
    let fingerprint = fingerprint(headers.key.as_deref(), &parts.method, &parts.uri, &body);
    if cx
        .state
        .borrow()
        .suspect_requests
        .is_quarantined(now, fingerprint)
    {
        let reason = "request crashed the servers that ran it";
        return Err(Verdict::reject(StatusCode::SERVICE_UNAVAILABLE, reason));
    }
    quarantine::check(cx, &headers.shared_parts)?;
    let charge = charge(cx, &admission, summary)?;
    let settings = cx.settings();
    let mut state = cx.state.borrow_mut();
    state
        .retry_budget(&settings, &admission.service)
        .record_request(now);
    let customer = admission.customer;
    let sends = Sends::new(cx, &summary.request_id, &admission.service);
    Ok(CallerRequest {
        method: parts.method,
        uri: parts.uri,
        forwarded: headers_to_forward(parts.headers),
        headers,
        body,
        priority: customer
            .as_ref()
            .and_then(|c| c.priority)
            .unwrap_or(admission.route.priority),
        route: admission.route,
        service: admission.service,
        config: admission.config,
        customer: customer.map(|c| c.name),
        arrived,
        deadline,
        caller_waits_until: arrived + caller_wait,
        origin,
        fingerprint,
        possible_runs: Cell::new(0),
        sends,
        charge,
        is_relayed: relayed.is_some(),
        stop: cx.planned_stop.subscribe(),
    })
}

/// Selects the service of a stream that a caller takes up: the one at which it began, whatever split of the route is
/// in force now. Returns where it began, unless there is only one service at which it can have begun.
///
/// # Errors
/// Returns a refusal if the service is not known, or if the route no longer leads there.
async fn find_origin(
    cx: &Rc<Context>,
    admission: &mut Admission,
    headers: &CallerHeaders,
) -> Result<Option<FoundOrigin>, Verdict> {
    let route = &admission.route;
    if !headers.take_up_stream() || !route_splits::has_resumable_streams(route) {
        return Ok(None);
    }
    let is_only_service = {
        let state = cx.state.borrow();
        let splits = KnownSplits::of(&state.pool, route);
        splits.is_some_and(|splits| splits.services(route, None).len() <= 1)
    };
    if is_only_service || !admission.waits_for_capacity() {
        return Ok(None);
    }
    let refusal = |reason| Verdict::unavailable(reason, RETRY_AFTER_UNVERIFIED);
    let found = stream_origins::find(cx, route, headers.resumes.as_ref()).await;
    let found = found.ok_or_else(|| refusal("service that began the stream is not known"))?;
    let mut destinations = route.destinations.iter();
    if !destinations.any(|destination| destination.service == found.service) {
        return Err(refusal(
            "route no longer leads to the service that began the stream",
        ));
    }
    admission.service = found.service.clone();
    Ok(Some(found))
}

fn headers_to_forward(mut headers: HeaderMap) -> HeaderMap {
    remove_connection_headers(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
    headers.remove(ATTEMPTS_HEADER);
    headers.remove(CONFIG_HEADER);
    headers.remove(CALLER_WAIT_HEADER);
    headers
}

/// Matches a request against the configuration: its route, the customer of its key and its service.
fn match_request(
    cx: &Context,
    req: &Request<Incoming>,
    headers: &CallerHeaders,
    summary: &mut RequestSummary,
) -> Result<Admission, Verdict> {
    let now = cx.now();
    let state = cx.state.borrow();
    let Some(config) = state.config.clone() else {
        return Err(Verdict::unavailable(
            "no configuration",
            RETRY_AFTER_UNCONFIGURED,
        ));
    };
    let is_config_current = state.is_config_current(now);
    let keys_are_verified = state.keys_are_verified(now, &cx.settings());
    drop(state);
    summary.config = config.version;
    let unknown = |status, reason| match is_config_current {
        true => Verdict::reject(status, reason),
        false => Verdict::unavailable("configuration may be old", RETRY_AFTER_UNVERIFIED),
    };
    let host = host_of(req);
    let Some(route) = config.route(host, req.uri().path()).cloned() else {
        return Err(unknown(StatusCode::NOT_FOUND, "no such route"));
    };
    summary.route = route.name.clone();
    let customer = if route.is_public || !config.requires_keys {
        None
    } else {
        let key = headers.key.as_deref();
        let Some(customer) = key.and_then(|key| config.customer_by_key(key)).cloned() else {
            return Err(unknown(StatusCode::UNAUTHORIZED, "unknown key"));
        };
        summary.customer = customer.name.clone();
        if !keys_are_verified {
            return Err(Verdict::unavailable(
                "key is not proved",
                RETRY_AFTER_UNVERIFIED,
            ));
        }
        Some(customer)
    };
    // All attempts at a stream draw the same number, so that it stays at one service while the split does.
    let attempt = headers.first_attempt();
    let draw = match attempt.is_empty() {
        true => cx.random(),
        false => stream_origins::stream_id(attempt).fraction(),
    };
    let Some(service) = route.pick_destination(draw).cloned() else {
        return Err(Verdict::unavailable(
            "route has no service",
            RETRY_AFTER_UNVERIFIED,
        ));
    };
    Ok(Admission {
        config,
        route,
        customer,
        service,
    })
}

fn host_of(req: &Request<Incoming>) -> &str {
    let host = req
        .headers()
        .get(header::HOST)
        .and_then(|v| v.to_str().ok());
    let host = host.or_else(|| req.uri().host()).unwrap_or("");
    host.split(':').next().unwrap_or(host)
}

async fn read_body(
    cx: &Context,
    mut body: Incoming,
    limits: CallerLimits,
    time_limit: Duration,
) -> Result<HeldBody, Verdict> {
    let reading = HeldBody::read(cx, &mut body, limits.body_bytes, HoldingUse::Receiving);
    match timeout(time_limit, reading).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(ReadError::TooLong)) => Err(Verdict::reject(
            StatusCode::PAYLOAD_TOO_LARGE,
            BODY_TOO_LONG,
        )),
        Ok(Err(ReadError::NoMemory)) => {
            // Callers that were refused together do not come back together.
            let retry_after = RETRY_AFTER_NO_MEMORY.mul_f64(1.0 + cx.random());
            Err(Verdict::unavailable(NO_MEMORY, retry_after))
        }
        Ok(Err(ReadError::Broken)) => Err(Verdict::reject(
            StatusCode::BAD_REQUEST,
            "body cannot be read",
        )),
        Err(_) => Err(Verdict::reject(
            StatusCode::REQUEST_TIMEOUT,
            "body took too long",
        )),
    }
}

/// Charges the customer. For a request that may wait for engine memory the tokens are only pending
/// until it is sent.
fn charge(
    cx: &Rc<Context>,
    admission: &Admission,
    summary: &RequestSummary,
) -> Result<Option<Charge>, Verdict> {
    let Some(customer) = &admission.customer else {
        return Ok(None);
    };
    let (id, name) = (&summary.request_id, &customer.name);
    let charge = match admission.waits_for_capacity() {
        true => Charge::pending(cx, id, name, summary.tokens)?,
        false => Charge::immediate(cx, id, name, summary.tokens)?,
    };
    Ok(Some(charge))
}
