//! What the store lists for instances that start: at which software versions, and under which traffic splits,
//! streams may have begun that callers still take up.

use std::collections::{BTreeMap, BTreeSet};

use smol_str::SmolStr;

use crate::ROUTE_SPLITS;
use crate::server_pool::is_route_list;

/// Versions of a service, or splits of the routes, and until when callers may take up streams of each, by the
/// store's clock in milliseconds. 0 means that no caller waits for longer than
/// [`MIN_STREAM_RETENTION`](crate::MIN_STREAM_RETENTION).
pub type Listed = BTreeMap<SmolStr, u64>;

/// The list of each service, and that of the routes.
pub type Versions = BTreeMap<SmolStr, Listed>;

/// The lists of the store, as far as this instance knows them.
///
/// A version is listed before an engine of it gets its first stream, and until no caller can take up a stream
/// that began there. An instance that starts therefore knows that a stream may have begun at a version of
/// which no engine is left; see `docs/design/stream-versions.md`.
///
/// The versions that join a list are recorded ahead: a caller receives no event of a stream before the store has its
/// record. A stream of which nobody knows and that the store has no record of therefore began at the one version
/// that is not recorded ahead, whatever has joined since.
#[derive(Clone, Debug)]
pub struct VersionNotes {
    /// The lists as they were last read or written; `None` before.
    stored: Option<Versions>,
    /// All that this instance has seen in the lists and that is not forgotten, with the latest time.
    seen: Versions,
    /// The versions in the stored lists that are recorded ahead.
    ahead: BTreeMap<SmolStr, BTreeSet<SmolStr>>,
    /// Listed versions of which no engine was left for so long that others may have taken them off the list.
    doubted: BTreeSet<(SmolStr, SmolStr)>,
    /// Whether records of streams cannot be written now.
    are_records_failing: bool,
    /// Whether no instance ran before this one, so that the list has nothing that matters.
    is_first_start: bool,
}

impl VersionNotes {
    /// Creates the notes of an instance that has read no list yet.
    pub fn new(is_first_start: bool) -> Self {
        Self {
            stored: None,
            seen: Versions::new(),
            ahead: BTreeMap::new(),
            doubted: BTreeSet::new(),
            are_records_failing: false,
            is_first_start,
        }
    }

    /// Whether it is known which versions served lately.
    pub fn is_known(&self) -> bool {
        self.is_first_start || self.stored.is_some()
    }

    /// Whether engines of a version may get streams: it is listed, or nothing is listed for the
    /// service, in which case no instance infers the version of a stream from the list.
    pub fn may_begin(&self, service: &str, version: &str) -> bool {
        if self.is_doubted(service, version) {
            return false;
        }
        match &self.stored {
            None => self.is_first_start,
            Some(stored) => {
                let is_listed =
                    |list: &Versions| list.get(service).map(|v| v.contains_key(version));
                is_listed(stored) != Some(false) || is_listed(&self.seen) == Some(true)
            }
        }
    }

    /// Returns the only version of a service, or split of a route, with which streams begin without a record in the
    /// store; `None` if there are several, or none is listed.
    pub fn unrecorded(&self, subject: &str) -> Option<&SmolStr> {
        let ahead = self.ahead.get(subject);
        let is_ahead = |name: &SmolStr| ahead.is_some_and(|ahead| ahead.contains(name));
        let mut unrecorded = self.listed(subject).filter(|(name, _)| !is_ahead(name));
        let (first, _) = unrecorded.next()?;
        let is_only = unrecorded.next().is_none() && !self.is_doubted(subject, first);
        is_only.then_some(first)
    }

    /// Whether a stream may begin at a version while records cannot be written.
    pub fn may_begin_unrecorded(&self, service: &str, version: &str) -> bool {
        !self.are_records_failing || self.unrecorded(service).is_some_and(|v| v == version)
    }

    /// Sets whether records of streams cannot be written now.
    pub fn set_records_failing(&mut self, are_failing: bool) {
        self.are_records_failing = are_failing;
    }

    /// Whether versions of one service only are listed.
    pub fn has_one_service(&self) -> bool {
        self.seen.keys().filter(|s| !is_route_list(s)).count() == 1
    }

    /// Returns the versions or splits that are recorded ahead if a list becomes `wanted`: all that join it. At the
    /// first start all streams so far have been recorded, so that one of the first need not be.
    pub fn ahead_in(&self, subject: &str, wanted: &Listed) -> BTreeSet<SmolStr> {
        let stored = self.stored.as_ref().and_then(|stored| stored.get(subject));
        let is_empty = stored.is_none_or(BTreeMap::is_empty);
        if subject == ROUTE_SPLITS || (is_empty && !self.is_first_start) {
            return BTreeSet::new();
        }
        let known = self.ahead.get(subject);
        let joins = |name: &&SmolStr| {
            let is_stored = stored.is_some_and(|list| list.contains_key(*name));
            !is_stored || known.is_some_and(|ahead| ahead.contains(*name))
        };
        let mut ahead: BTreeSet<SmolStr> = wanted.keys().filter(joins).cloned().collect();
        if ahead.len() == wanted.len() {
            // No caller takes up streams of the others any longer.
            ahead.pop_first();
        }
        ahead
    }

    /// Has a version confirmed by the store before streams begin there again, since its last engine left long ago.
    pub fn doubt(&mut self, service: &SmolStr, version: &SmolStr) {
        self.doubted.insert((service.clone(), version.clone()));
    }

    /// Whether the store has to confirm what is listed; see [`VersionNotes::doubt`].
    pub fn is_doubted(&self, subject: &str, name: &str) -> bool {
        self.doubted.contains(&(subject.into(), name.into()))
    }

    /// Returns what is listed for a service, or for the routes.
    pub fn listed(&self, subject: &str) -> impl Iterator<Item = (&SmolStr, u64)> {
        let seen = self.seen.get(subject).into_iter().flatten();
        seen.map(|(name, until_ms)| (name, *until_ms))
    }

    /// Returns the time until which callers may take up streams of a version, as far as the store lists it.
    pub fn stored_until(&self, service: &str, version: &str) -> u64 {
        let list = self.stored.as_ref().and_then(|stored| stored.get(service));
        list.and_then(|list| list.get(version))
            .copied()
            .unwrap_or(0)
    }

    /// Sets which versions of a service are recorded ahead, according to a list that was read or written.
    pub fn set_ahead(&mut self, service: SmolStr, ahead: BTreeSet<SmolStr>) {
        self.ahead.insert(service, ahead);
    }

    /// Replaces the lists by what was read from the store.
    pub fn set_stored(&mut self, stored: Versions) {
        self.doubted.clear();
        for (subject, list) in &stored {
            merge(self.seen.entry(subject.clone()).or_default(), list);
        }
        self.stored = Some(stored);
    }

    /// Replaces one list by what was written to the store.
    pub fn set_stored_of(&mut self, subject: SmolStr, list: Listed) {
        self.doubted.retain(|(service, _)| *service != subject);
        self.seen.insert(subject.clone(), list.clone());
        let stored = self.stored.get_or_insert_default();
        stored.insert(subject, list);
    }

    /// Forgets what another instance has taken off the lists, unless callers may still take up streams of it:
    /// builds up to 57e2313 do not know of that time.
    pub fn forget_removed(&mut self, store_ms: u64) {
        let Some(stored) = &self.stored else {
            return;
        };
        for (subject, seen) in &mut self.seen {
            let listed = stored.get(subject);
            seen.retain(|name, until_ms| {
                store_ms < *until_ms || listed.is_some_and(|l| l.contains_key(name))
            });
        }
    }

    /// Returns the lists that the store should have and does not, given what is in use or was lately. What was
    /// seen in a list and is in neither is kept while callers may take up streams of it. Without `may_forget` it is
    /// kept in any case: an instance that has just started cannot tell what was in use.
    pub fn changes(&self, in_use: &Versions, may_forget: bool, store_ms: u64) -> Versions {
        let Some(stored) = &self.stored else {
            return Versions::new();
        };
        let mut changes = Versions::new();
        for (subject, list) in in_use {
            let mut wanted = list.clone();
            for (name, until_ms) in self.listed(subject) {
                let is_awaited = store_ms < until_ms;
                if !may_forget || is_awaited {
                    wanted.entry(name.clone()).or_default();
                }
                if let Some(wanted) = wanted.get_mut(name).filter(|_| is_awaited) {
                    *wanted = until_ms.max(*wanted);
                }
            }
            let is_doubted = |name: &SmolStr| self.is_doubted(subject, name);
            if !covers(stored.get(subject), &wanted) || wanted.keys().any(is_doubted) {
                changes.insert(subject.clone(), wanted);
            }
        }
        changes
    }
}

/// Adds a list to another one; the later time stands.
fn merge(list: &mut Listed, other: &Listed) {
    for (name, until_ms) in other {
        let known = list.entry(name.clone()).or_default();
        *known = (*known).max(*until_ms);
    }
}

/// Whether a stored list has the wanted names and no others, and for none of them an earlier time.
fn covers(stored: Option<&Listed>, wanted: &Listed) -> bool {
    let is_later = |(name, until_ms): (&SmolStr, &u64)| {
        stored
            .and_then(|list| list.get(name))
            .is_some_and(|stored| stored >= until_ms)
    };
    wanted.iter().all(is_later) && stored.map_or(0, BTreeMap::len) == wanted.len()
}
