//! Decides whether a request may go on: route, key, body, limit.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{self, HeaderMap};
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use jacinthlever_routing::{CallerLimits, Customer, FleetConfig, Route};
use smol_str::SmolStr;
use tokio::time::timeout;

use crate::CallerHeaders;
use crate::answer::Verdict;
use crate::caller_request::{CallerRequest, fingerprint, remove_connection_headers};
use crate::charge::Charge;
use crate::node::Node;

/// Time after which a caller may come back if the configuration here may be old.
pub const RETRY_UNPROVED: Duration = Duration::from_millis(800);

/// Time after which a caller may come back if this instance knows no configuration.
const RETRY_UNCONFIGURED: Duration = Duration::from_millis(700);

/// What is known of a request so far, for the log line of its end.
pub struct Trail {
    /// Identifier of the attempt.
    pub request_id: SmolStr,
    /// When it arrived.
    pub arrived: Duration,
    /// Route; empty if there is none.
    pub route: SmolStr,
    /// Customer; empty if it is not known.
    pub customer: SmolStr,
    /// Tokens that it counts as.
    pub tokens: u64,
    /// Version of the configuration.
    pub config: u64,
}

impl Trail {
    /// Begins with what the head of the request says.
    pub fn start(request_id: SmolStr, arrived: Duration) -> Self {
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

/// Whose request it is and where it leads.
struct Admission {
    config: Rc<FleetConfig>,
    route: Route,
    customer: Option<Customer>,
    service: SmolStr,
}

impl Admission {
    /// Whether the request may have to wait for memory of an engine.
    fn waits_for_room(&self) -> bool {
        let engine = self.config.generation_engine(&self.route, &self.service);
        engine.is_some()
    }

    /// Tokens that the request counts as against its customer's limit.
    fn tokens(&self, headers: &CallerHeaders) -> u64 {
        let quota = self.customer.as_ref().and_then(|c| c.quota);
        let plain = quota.map_or(0, |q| q.default_tokens);
        let generation = headers.generation;
        generation.map_or(plain, |g| g.prompt_tokens + g.max_output)
    }
}

/// Decides whether a request may go on; it is charged to its customer then.
///
/// # Errors
/// Fails with a verdict that says why it has not run.
pub async fn accept(
    node: &Rc<Node>,
    req: Request<Incoming>,
    headers: CallerHeaders,
    trail: &mut Trail,
) -> Result<CallerRequest, Verdict> {
    let arrived = trail.arrived;
    let admission = admit(node, &req, &headers, trail)?;
    trail.tokens = admission.tokens(&headers);
    let patience = headers.patience.unwrap_or(admission.route.timeout);
    let give_up = arrived + patience.min(admission.route.timeout);
    let (parts, body) = req.into_parts();
    let body = read_body(
        body,
        admission.config.limits,
        give_up.saturating_sub(arrived),
    )
    .await?;
    let now = node.now();
    let fingerprint = fingerprint(headers.key.as_deref(), &parts.method, &parts.uri, &body);
    if node.state.borrow().poison.is_quarantined(now, fingerprint) {
        let reason = "request crashed the servers that ran it";
        return Err(Verdict::reject(StatusCode::SERVICE_UNAVAILABLE, reason));
    }
    let charge = charge(node, &admission, trail)?;
    let settings = node.settings();
    let mut state = node.state.borrow_mut();
    state
        .budget(&settings, &admission.service)
        .record_request(now);
    let customer = admission.customer;
    Ok(CallerRequest {
        method: parts.method,
        uri: parts.uri,
        forwarded: forwarded(parts.headers),
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
        give_up,
        fingerprint,
        may_have_run: Cell::new(false),
        charge,
    })
}

fn forwarded(mut headers: HeaderMap) -> HeaderMap {
    remove_connection_headers(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
    headers
}

fn admit(
    node: &Node,
    req: &Request<Incoming>,
    headers: &CallerHeaders,
    trail: &mut Trail,
) -> Result<Admission, Verdict> {
    let now = node.now();
    let state = node.state.borrow();
    let Some(config) = state.config.clone() else {
        return Err(Verdict::unavailable("no configuration", RETRY_UNCONFIGURED));
    };
    let is_certain = state.is_certain(now);
    let keys_are_proved = state.keys_are_proved(now, &node.settings());
    drop(state);
    trail.config = config.version;
    let unknown = |status, reason| match is_certain {
        true => Verdict::reject(status, reason),
        false => Verdict::unavailable("configuration may be old", RETRY_UNPROVED),
    };
    let host = host_of(req);
    let Some(route) = config.route(host, req.uri().path()).cloned() else {
        return Err(unknown(StatusCode::NOT_FOUND, "no such route"));
    };
    trail.route = route.name.clone();
    let customer = if route.is_public || !config.requires_keys {
        None
    } else {
        let key = headers.key.as_deref();
        let Some(customer) = key.and_then(|key| config.customer_by_key(key)).cloned() else {
            return Err(unknown(StatusCode::UNAUTHORIZED, "unknown key"));
        };
        trail.customer = customer.name.clone();
        if !keys_are_proved {
            return Err(Verdict::unavailable("key is not proved", RETRY_UNPROVED));
        }
        Some(customer)
    };
    let Some(service) = route.pick_destination(node.draw()).cloned() else {
        return Err(Verdict::unavailable("route has no service", RETRY_UNPROVED));
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
    body: Incoming,
    limits: CallerLimits,
    within: Duration,
) -> Result<Bytes, Verdict> {
    let read = timeout(within, Limited::new(body, limits.body_bytes).collect()).await;
    match read {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => Err(Verdict::reject(
            StatusCode::PAYLOAD_TOO_LARGE,
            "body is too long",
        )),
        Ok(Err(_)) => Err(Verdict::reject(
            StatusCode::BAD_REQUEST,
            "body cannot be read",
        )),
        Err(_) => Err(Verdict::reject(
            StatusCode::REQUEST_TIMEOUT,
            "body took too long",
        )),
    }
}

/// Charges the customer. A request that may wait for room only has its tokens set aside.
fn charge(
    node: &Rc<Node>,
    admission: &Admission,
    trail: &Trail,
) -> Result<Option<Charge>, Verdict> {
    let Some(customer) = &admission.customer else {
        return Ok(None);
    };
    let (id, name) = (&trail.request_id, &customer.name);
    let charge = match admission.waits_for_room() {
        true => Charge::set_aside(node, id, name, trail.tokens)?,
        false => Charge::take(node, id, name, trail.tokens)?,
    };
    Ok(Some(charge))
}
