//! Queue of the generations that wait for engine memory; see `docs/design/admission.md`.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use smol_str::SmolStr;

use crate::capacity_estimate::CapacityEstimate;
use crate::customer_shares::CustomerShares;
use crate::waiting_generation::WaitingGeneration;

/// Number of generations at the head of the queue that may request reservations concurrently.
const MAX_CONCURRENT_REQUESTERS: usize = 3;

/// Age up to which a computed order is used again if nothing has joined, left or been granted. All
/// waiting generations ask for their place when memory is freed.
const ORDER_MAX_AGE: Duration = Duration::from_millis(20);

/// Length of the periods in which a generation that gives way may or may not ask for memory.
const ASK_PERIOD: Duration = Duration::from_millis(60);

/// Time for which generations give way to a more urgent priority after one of it has found no room.
const URGENT_WINDOW: Duration = Duration::from_secs(2);

/// Periods by which the interval between two attempts grows for each reason to give way. More of them
/// serve urgent priorities and usual customers better, and leave free memory unused for longer.
const PERIODS_PER_REASON: usize = 4;

/// Identifies a generation in the queue, in the order of arrival.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct WaiterId(u64);

/// What is known of one service.
#[derive(Debug, Default)]
struct ServiceQueue {
    estimate: CapacityEstimate,
    /// What customers were granted, by priority.
    shares: BTreeMap<u8, CustomerShares>,
    /// Waiting generations that have found no room.
    unserved: BTreeSet<WaiterId>,
    /// When a generation of each priority last found no room.
    unserved_at: BTreeMap<u8, Duration>,
    /// Order of the generations, and when it was computed; `None` if it has changed since.
    order: Option<(Duration, Vec<WaiterId>)>,
}

impl ServiceQueue {
    /// Returns the number of periods in one of which a generation may ask for memory.
    ///
    /// It gives way to generations at other instances, of which this one does not know, for each
    /// reason for which others may go before it: each instance orders its own generations only, and
    /// most have few of them.
    fn ask_periods(&self, now: Duration, generation: &WaitingGeneration) -> usize {
        if !generation.gives_way {
            return 1;
        }
        let shares = self.shares.get(&generation.priority);
        let is_above_share = shares.is_some_and(|s| s.is_above_share(&generation.customer));
        let is_late = generation.is_late && !generation.is_overdue(now);
        let urgent = self.unserved_at.range(..generation.priority);
        let urgent = urgent.filter(|(_, at)| now < **at + URGENT_WINDOW).count();
        let reasons = usize::from(is_above_share) + usize::from(is_late) + urgent;
        1 + PERIODS_PER_REASON * reasons
    }
}

/// The waiting generations of one instance.
///
/// While scheduling is off, they are ordered by priority, then by the time at which they stop waiting,
/// then by arrival, over all services. While it is on, each service has an order of its own: by
/// priority, then those that can be on time before late ones, then by the customers' shares, then by
/// the time at which the caller's time began.
#[derive(Debug, Default)]
pub struct WaitingQueue {
    is_scheduling: bool,
    next_number: u64,
    waiting: BTreeMap<WaiterId, WaitingGeneration>,
    /// Order while scheduling is off.
    by_deadline: BTreeSet<(u8, Duration, WaiterId)>,
    services: BTreeMap<SmolStr, ServiceQueue>,
}

impl WaitingQueue {
    /// Turns scheduling on or off.
    pub fn set_scheduling(&mut self, is_on: bool) {
        if self.is_scheduling && !is_on {
            self.services.clear();
        }
        self.is_scheduling = is_on;
    }

    /// Adds a generation.
    pub fn enqueue(&mut self, generation: WaitingGeneration) -> WaiterId {
        let id = WaiterId(self.next_number);
        self.next_number += 1;
        self.by_deadline
            .insert((generation.priority, generation.until, id));
        self.forget_order(&generation.service);
        self.waiting.insert(id, generation);
        id
    }

    /// Removes a generation.
    pub fn remove(&mut self, now: Duration, id: WaiterId) {
        let Some(generation) = self.waiting.remove(&id) else {
            return;
        };
        self.by_deadline
            .remove(&(generation.priority, generation.until, id));
        self.forget_order(&generation.service);
        if let Some(service) = self.services.get_mut(&generation.service)
            && service.unserved.remove(&id)
            && service.unserved.is_empty()
        {
            service.estimate.record_empty_queue(now);
        }
    }

    /// Returns the number of waiting generations.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no generation waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Records that a generation has found no engine with room and goes on waiting.
    pub fn record_no_room(&mut self, now: Duration, id: WaiterId) {
        let Some(priority) = self.waiting.get(&id).map(|g| g.priority) else {
            return;
        };
        if let Some(service) = self.service_mut(id) {
            service.unserved.insert(id);
            service.unserved_at.insert(priority, now);
            service.estimate.record_queue(now);
        }
    }

    /// Records that a generation has obtained memory.
    pub fn record_grant(&mut self, now: Duration, id: WaiterId) {
        let generation = self.waiting.get(&id);
        let Some(WaitingGeneration {
            customer,
            weight,
            tokens,
            priority,
            ..
        }) = generation.cloned()
        else {
            return;
        };
        if let Some(service) = self.service_mut(id) {
            service.estimate.record_grant(now);
            let shares = service.shares.entry(priority).or_default();
            shares.add(now, &customer, weight, tokens);
            service.order = None;
        }
    }

    /// Whether a generation is close enough to the head of the queue to request reservations.
    pub fn is_turn(&mut self, now: Duration, id: WaiterId) -> bool {
        if !self.is_scheduling {
            let mut heads = self.by_deadline.iter().take(MAX_CONCURRENT_REQUESTERS);
            return heads.any(|(_, _, head)| *head == id);
        }
        let order = self.order(now, id).unwrap_or_default();
        let is_near_head = order
            .iter()
            .take(MAX_CONCURRENT_REQUESTERS)
            .any(|h| *h == id);
        let Some(generation) = self.waiting.get(&id).filter(|_| is_near_head) else {
            return false;
        };
        let service = self.services.get(&generation.service);
        service.is_none_or(|s| is_asking_period(now, generation, s.ask_periods(now, generation)))
    }

    /// Returns how many generations of the same service are served before this one if none joins;
    /// `None` while scheduling is off, or if the generation is not in the queue.
    pub fn position(&mut self, now: Duration, id: WaiterId) -> Option<usize> {
        let order = self.order(now, id)?;
        order.iter().position(|waiter| *waiter == id)
    }

    /// Returns the time after which a generation is expected to obtain memory; `None` without an
    /// estimate.
    pub fn expected_wait(&mut self, now: Duration, id: WaiterId) -> Option<Duration> {
        let ahead = self.position(now, id)?;
        let service = &self.waiting.get(&id)?.service;
        self.estimate(service)?.time_for(now, ahead + 1)
    }

    /// Whether a generation is expected to obtain memory only after it has stopped waiting.
    pub fn is_turn_too_late(&mut self, now: Duration, id: WaiterId) -> bool {
        let Some(ahead) = self.position(now, id) else {
            return false;
        };
        let Some(generation) = self.waiting.get(&id) else {
            return false;
        };
        let estimate = self.estimate(&generation.service);
        let least = estimate.and_then(|e| e.least_time_for(now, ahead + 1));
        least.is_some_and(|wait| now + wait > generation.until)
    }

    /// Returns the time after which all waiting generations of a service are expected to have been
    /// served, and a new one after them; `None` without an estimate.
    pub fn drain_time(&self, now: Duration, service: &str) -> Option<Duration> {
        let estimate = self.estimate(service)?;
        let waiting = self.waiting.values().filter(|g| g.service == service);
        estimate.time_for(now, waiting.count().max(1))
    }

    /// Returns the number of grants on which the estimate for a service rests.
    pub fn grants(&self, now: Duration, service: &str) -> usize {
        self.estimate(service).map_or(0, |e| e.grants(now))
    }

    fn estimate(&self, service: &str) -> Option<&CapacityEstimate> {
        self.services.get(service).map(|s| &s.estimate)
    }

    /// Returns what is known of the service of a waiting generation; `None` while scheduling is off.
    fn service_mut(&mut self, id: WaiterId) -> Option<&mut ServiceQueue> {
        let generation = self.waiting.get(&id).filter(|_| self.is_scheduling)?;
        let service = generation.service.clone();
        Some(self.services.entry(service).or_default())
    }

    fn forget_order(&mut self, service: &str) {
        if let Some(service) = self.services.get_mut(service) {
            service.order = None;
        }
    }

    /// Returns the order of the service of a waiting generation; `None` while scheduling is off.
    fn order(&mut self, now: Duration, id: WaiterId) -> Option<&[WaiterId]> {
        let service = self.waiting.get(&id)?.service.clone();
        self.service_mut(id)?;
        self.update_order(now, &service);
        let (_, order) = self.services.get(&service)?.order.as_ref()?;
        Some(order)
    }

    fn update_order(&mut self, now: Duration, name: &SmolStr) {
        let Some(service) = self.services.get_mut(name) else {
            return;
        };
        if service
            .order
            .as_ref()
            .is_some_and(|(at, _)| now < *at + ORDER_MAX_AGE)
        {
            return;
        }
        let waiting: Vec<_> = self
            .waiting
            .iter()
            .filter(|(_, g)| g.service == *name)
            .map(|(id, g)| (*id, g))
            .collect();
        service.order = Some((now, fair_order(now, waiting, &service.shares)));
    }
}

/// Whether a generation that gives way to those of other instances may ask for memory now.
fn is_asking_period(now: Duration, generation: &WaitingGeneration, periods: usize) -> bool {
    let waited = now.saturating_sub(generation.since);
    (waited.as_nanos() / ASK_PERIOD.as_nanos()).is_multiple_of(periods as u128)
}

/// A generation with the tokens, by weight, that its customer has been granted when its turn comes.
struct Ranked<'a> {
    id: WaiterId,
    generation: &'a WaitingGeneration,
    share: f64,
}

/// Orders the waiting generations of a service.
///
/// Within a priority one generation that has waited for half of its time goes first, so that none is
/// passed over until its time is up. It is only one at a time, and the one whose customer was granted
/// least: otherwise a customer with a long queue would gain by having waited.
fn fair_order(
    now: Duration,
    mut waiting: Vec<(WaiterId, &WaitingGeneration)>,
    shares: &BTreeMap<u8, CustomerShares>,
) -> Vec<WaiterId> {
    waiting.sort_by_key(|(id, g)| (g.priority, g.is_late, g.began, *id));
    let granted = |priority: u8, customer| {
        let shares = shares.get(&priority);
        shares.map_or(0.0, |s| s.granted(now, customer))
    };
    let mut totals: BTreeMap<(u8, &str), f64> = BTreeMap::new();
    let mut ranked: Vec<Ranked<'_>> = waiting
        .into_iter()
        .map(|(id, generation)| {
            let (priority, customer) = (generation.priority, generation.customer.as_str());
            let total = totals
                .entry((priority, customer))
                .or_insert_with(|| granted(priority, customer));
            let share = *total / generation.weight;
            *total += generation.tokens as f64;
            Ranked {
                id,
                generation,
                share,
            }
        })
        .collect();
    let by_share = |a: &Ranked<'_>, b: &Ranked<'_>| {
        let began = |r: &Ranked<'_>| (r.generation.began, r.id);
        a.share
            .total_cmp(&b.share)
            .then_with(|| began(a).cmp(&began(b)))
    };
    let class = |r: &Ranked<'_>| (r.generation.priority, r.generation.is_late);
    ranked.sort_by(|a, b| class(a).cmp(&class(b)).then_with(|| by_share(a, b)));
    let mut order = Vec::with_capacity(ranked.len());
    for group in ranked.chunk_by(|a, b| a.generation.priority == b.generation.priority) {
        let overdue = group.iter().filter(|r| r.generation.is_overdue(now));
        let next = overdue.min_by(|a, b| by_share(a, b)).map(|r| r.id);
        order.extend(next);
        order.extend(group.iter().map(|r| r.id).filter(|id| Some(*id) != next));
    }
    order
}
