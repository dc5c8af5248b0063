//! Stage 1: identifies the customer and checks access to the route and the ranges of fields.

use std::time::Duration;

use jacinthlever_types::{Code, CustomerId, KeyHash, ModelId, RouteId, RouteRow, Verdict};
use serde_json::json;

use crate::{
    Core, Flow, Plugin, Reply, ReqKey, Stage, Target, plugins::caller_addresses, plugins::finish,
};

inventory::submit! {
    Plugin { stage: Some((Stage::Authenticate, run)), ..Plugin::named("authenticate") }
}

/// Retry delay sent to a caller that is refused because the instance lacks configuration, peers or
/// capacity.
const RETRY_AFTER: Duration = Duration::from_secs(1);

fn run(core: &mut Core, key: ReqKey) -> Flow {
    if let Err(verdict) = admit(core) {
        return Flow::Refuse(verdict);
    }
    let Some(request) = core.requests.get(key) else {
        return Flow::Done;
    };
    let key_hash = request.inbound.key;
    match request.inbound.target.clone() {
        Target::Models => list_models(core, key, key_hash),
        Target::Where => caller_addresses::answer(core, key, key_hash),
        Target::Model {
            model,
            prompt_bytes,
            max_tokens,
            ..
        } => {
            let matched = model_route(core, &model, key_hash);
            match matched.and_then(|matched| {
                let counts = token_counts(core, &model, prompt_bytes, max_tokens)?;
                Ok((matched, counts))
            }) {
                Err(verdict) => Flow::Refuse(verdict),
                Ok((matched, counts)) => set_route(core, key, matched, counts),
            }
        }
        Target::Plain { path, .. } => match plain_route(core, &path, key_hash) {
            Err(verdict) => Flow::Refuse(verdict),
            Ok(matched) => set_route(core, key, matched, TokenCounts::default()),
        },
    }
}

/// A route with the customer that uses it; the customer is `None` on open routes.
type RouteMatch = (RouteId, RouteRow, Option<CustomerId>);

/// Token counts of a model request.
#[derive(Clone, Copy, Debug, Default)]
struct TokenCounts {
    prompt_tokens: u64,
    max_tokens: u32,
}

/// Checks whether the instance accepts requests now.
fn admit(core: &Core) -> Result<(), Verdict> {
    if core.draining {
        let others: Vec<&str> = caller_addresses::addresses(core, None)
            .into_iter()
            .filter_map(|id| {
                core.directory
                    .caller_address(&id)
                    .map(|address| address.as_str())
            })
            .collect();
        let message = format!(
            "this instance is shutting down; use {}",
            others.join(" or ")
        );
        return Err(Verdict::not_run(Code::Draining, message).retry_after(Duration::ZERO));
    }
    if !core.config.is_confirmed() {
        let message = "this instance has no confirmed configuration yet";
        return Err(Verdict::not_run(Code::CutOff, message).retry_after(RETRY_AFTER));
    }
    if core.requests.len() > core.settings.max_requests {
        let message = "this instance has reached its limit of concurrent requests";
        return Err(Verdict::not_run(Code::Overloaded, message).retry_after(RETRY_AFTER));
    }
    Ok(())
}

fn set_route(core: &mut Core, key: ReqKey, matched: RouteMatch, counts: TokenCounts) -> Flow {
    let (route_id, route, customer) = matched;
    let Some(request) = core.requests.get_mut(key) else {
        return Flow::Done;
    };
    request.deadline = request.arrived + Duration::from_millis(route.start_timeout_ms);
    request.class = route.class;
    request.route = Some(route_id);
    request.customer = customer;
    request.prompt_tokens = counts.prompt_tokens;
    request.max_tokens = counts.max_tokens;
    Flow::Next
}

/// Returns the customer of the key that a caller presented.
///
/// Fails if the key is missing or unknown, or if this instance is cut off.
pub(crate) fn customer_of(core: &Core, key: Option<KeyHash>) -> Result<CustomerId, Verdict> {
    if core.table_health.cut_off {
        let message = "this instance is cut off from the table and its peers";
        return Err(Verdict::not_run(Code::CutOff, message).retry_after(RETRY_AFTER));
    }
    let missing = || Verdict::not_run(Code::KeyMissing, "the route needs a key");
    let hash = key.ok_or_else(missing)?;
    let unknown = || Verdict::not_run(Code::KeyUnknown, "the key is not granted");
    let row = core.config.key(&hash).ok_or_else(unknown)?;
    if core.config.customer(&row.customer).is_none() {
        return Err(unknown());
    }
    Ok(row.customer.clone())
}

fn model_route(core: &Core, model: &ModelId, key: Option<KeyHash>) -> Result<RouteMatch, Verdict> {
    let routes: Vec<_> = core.config.model_routes(model).collect();
    if let Some((id, route)) = routes.iter().find(|(_, route)| route.open) {
        return Ok(((*id).clone(), (*route).clone(), None));
    }
    let customer = customer_of(core, key)?;
    if routes.is_empty() || core.config.model(model).is_none() {
        let message = format!("no route serves model {model}");
        return Err(Verdict::not_run(Code::ModelUnknown, message));
    }
    let granted = routes
        .into_iter()
        .find(|(_, route)| route.customers.contains(&customer));
    let (id, route) = granted.ok_or_else(forbidden)?;
    Ok((id.clone(), route.clone(), Some(customer)))
}

fn plain_route(core: &Core, path: &str, key: Option<KeyHash>) -> Result<RouteMatch, Verdict> {
    let matched = core.config.plain_route(path);
    let unknown = || Verdict::not_run(Code::RouteUnknown, "no route matches the path");
    let (id, route) = matched.ok_or_else(unknown)?;
    if route.open {
        return Ok((id.clone(), route.clone(), None));
    }
    let customer = customer_of(core, key)?;
    if !route.customers.contains(&customer) {
        return Err(forbidden());
    }
    Ok((id.clone(), route.clone(), Some(customer)))
}

/// Whether the configuration in force still permits a running request.
pub(crate) fn still_allowed(core: &Core, key: ReqKey) -> bool {
    let Some(request) = core.requests.get(key) else {
        return true;
    };
    let Some(customer) = &request.customer else {
        return true;
    };
    let Some(route) = request.route.as_ref().and_then(|id| core.config.route(id)) else {
        return false;
    };
    let granted = request.inbound.key.and_then(|hash| core.config.key(&hash));
    let is_same_customer = granted.is_some_and(|row| row.customer == *customer);
    let exists = core.config.customer(customer).is_some();
    route.open || (is_same_customer && exists && route.customers.contains(customer))
}

/// Ends the requests whose permission a change of the configuration has revoked.
pub(crate) fn end_revoked_requests(core: &mut Core) {
    let revoked: Vec<ReqKey> = core
        .requests
        .keys()
        .filter(|key| !still_allowed(core, *key))
        .collect();
    for key in revoked {
        let verdict = Verdict::not_run(
            Code::KeyWithdrawn,
            "the key or its access to the route was revoked",
        );
        finish::refuse(core, key, verdict);
    }
}

fn token_counts(
    core: &Core,
    model: &ModelId,
    prompt_bytes: usize,
    max_tokens: Option<u32>,
) -> Result<TokenCounts, Verdict> {
    let unknown = || Verdict::not_run(Code::ModelUnknown, format!("no model {model}"));
    let row = core.config.model(model).ok_or_else(unknown)?;
    let prompt_tokens = row.prompt_tokens_bound(prompt_bytes);
    let max_tokens = max_tokens.unwrap_or(row.default_max_tokens);
    if max_tokens == 0 {
        return Err(Verdict::not_run(
            Code::FieldInvalid,
            "max_tokens: expected at least 1",
        ));
    }
    if prompt_tokens + u64::from(max_tokens) > u64::from(row.context) {
        let message = format!(
            "prompt of up to {prompt_tokens} tokens and max_tokens of {max_tokens} exceed the \
             model's context of {} tokens",
            row.context
        );
        return Err(Verdict::not_run(Code::ContextExceeded, message));
    }
    Ok(TokenCounts {
        prompt_tokens,
        max_tokens,
    })
}

fn list_models(core: &mut Core, key: ReqKey, key_hash: Option<KeyHash>) -> Flow {
    let customer = match customer_of(core, key_hash) {
        Ok(customer) => Some(customer),
        Err(_) if key_hash.is_none() => None,
        Err(verdict) => return Flow::Refuse(verdict),
    };
    let may_use = |route: &RouteRow| {
        route.open
            || customer
                .as_ref()
                .is_some_and(|c| route.customers.contains(c))
    };
    let models: Vec<_> = core
        .config
        .models()
        .keys()
        .filter(|model| {
            core.config
                .model_routes(model)
                .any(|(_, route)| may_use(route))
        })
        .map(|model| json!({"id": model, "object": "model", "owned_by": "jacinthlever"}))
        .collect();
    finish::answer(
        core,
        key,
        Reply::Json(json!({"object": "list", "data": models})),
    );
    Flow::Done
}

fn forbidden() -> Verdict {
    Verdict::not_run(
        Code::RouteForbidden,
        "the route is not granted to the key's customer",
    )
}
