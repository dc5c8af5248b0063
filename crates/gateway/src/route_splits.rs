//! Traffic splits of the routes whose streams callers may take up: at which services a stream may have begun.
//!
//! The service of a stream is drawn by its identifier and the split that was in force when it began. That may have
//! been replaced since, so the splits of the routes are listed in the store beside the versions of services; see
//! `docs/design/stream-versions.md`.

use std::collections::BTreeSet;
use std::time::Duration;

use jacinthlever_routing::{
    Destination, FleetConfig, ROUTE_SPLITS, Route, RouteKind, ServerPool, StreamId,
};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// A traffic split of a route, as it is listed.
#[derive(Debug, Deserialize, Serialize)]
struct ListedSplit {
    route: SmolStr,
    /// Services and their weights, in the order in which one is drawn.
    split: Vec<(SmolStr, u32)>,
}

impl ListedSplit {
    /// Returns the service at which a stream begins under this split.
    fn draw(&self, route: &Route, stream: StreamId) -> Option<SmolStr> {
        let destinations = self.split.iter().map(|(service, weight)| Destination {
            service: service.clone(),
            weight: *weight,
        });
        let route = Route {
            destinations: destinations.collect(),
            ..route.clone()
        };
        route.pick_destination(stream.fraction()).cloned()
    }
}

/// Whether callers may take up streams of a route.
pub fn has_resumable_streams(route: &Route) -> bool {
    route.kind == RouteKind::Stream && route.is_resumable
}

/// Whether the streams of a route begin at several services.
pub fn is_split(route: &Route) -> bool {
    route.destinations.len() > 1
}

/// Returns the split of a route that is in force, as it is listed.
pub fn in_force(route: &Route) -> SmolStr {
    let split = route.destinations.iter();
    let listed = ListedSplit {
        route: route.name.clone(),
        split: split.map(|d| (d.service.clone(), d.weight)).collect(),
    };
    match serde_json::to_string(&listed) {
        Ok(text) => text.into(),
        Err(error) => {
            log::debug!("split of route {} cannot be encoded: {error}", route.name);
            route.name.clone()
        }
    }
}

/// Returns the splits in force of the routes that lead to engines and whose streams callers may take up; only of
/// those whose streams begin at several services if `has_several`.
fn all_in_force(config: &FleetConfig, has_several: bool) -> BTreeSet<SmolStr> {
    let routes = resumable_to_engines(config);
    let routes = routes.filter(|r| !has_several || is_split(r));
    routes.map(in_force).collect()
}

fn resumable_to_engines(config: &FleetConfig) -> impl Iterator<Item = &Route> {
    let routes = config.routes.iter().filter(|r| has_resumable_streams(r));
    routes.filter(|route| {
        let mut destinations = route.destinations.iter();
        destinations.any(|d| config.generation_engine(route, &d.service).is_some())
    })
}

/// Records the splits of a configuration that comes into force, and those that it replaces.
pub fn record(
    pool: &mut ServerPool,
    now: Duration,
    before: Option<&FleetConfig>,
    config: &FleetConfig,
) {
    let mut replaced = before.map_or_else(BTreeSet::new, |before| all_in_force(before, false));
    for split in all_in_force(config, false) {
        replaced.remove(&split);
    }
    pool.set_route_splits(now, all_in_force(config, true), replaced);
    let routes = resumable_to_engines(config);
    pool.set_stream_routes(now, routes.map(|r| (r.name.clone(), in_force(r))).collect());
}

/// Splits of a route under which streams may have begun that callers still take up.
pub struct KnownSplits(Vec<ListedSplit>);

impl KnownSplits {
    /// Returns the only split of a route under which streams begin without a record in the store.
    pub fn unrecorded(pool: &ServerPool, route: &Route) -> Option<Self> {
        Self::decode(pool.unrecorded_split(&route.name), route)
    }

    /// Returns the split in force and the earlier ones that are listed or that this instance has seen; `None` if one
    /// cannot be decoded.
    pub fn of(pool: &ServerPool, route: &Route) -> Option<Self> {
        let mut listed = pool.versions(ROUTE_SPLITS);
        let present = in_force(route);
        listed.insert(&present);
        Self::decode(listed, route)
    }

    fn decode<'a>(listed: impl IntoIterator<Item = &'a SmolStr>, route: &Route) -> Option<Self> {
        let mut splits = Vec::new();
        for text in listed {
            match serde_json::from_str::<ListedSplit>(text) {
                Ok(split) if split.route == route.name => splits.push(split),
                Ok(_) => {}
                Err(error) => {
                    log::debug!("listed split {text} cannot be decoded: {error}");
                    return None;
                }
            }
        }
        Some(Self(splits))
    }

    /// Whether there were several splits.
    pub fn have_changed(&self) -> bool {
        self.0.len() > 1
    }

    /// Returns all services at which a stream of the route may have begun, or those where the given one may have.
    pub fn services(&self, route: &Route, stream: Option<StreamId>) -> BTreeSet<SmolStr> {
        let splits = self.0.iter();
        match stream {
            Some(stream) => splits.filter_map(|s| s.draw(route, stream)).collect(),
            None => {
                let destinations = splits.flat_map(|split| &split.split);
                destinations.map(|(service, _)| service.clone()).collect()
            }
        }
    }
}
