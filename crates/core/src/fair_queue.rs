//! Weighted fair queueing of requests by customer; see `docs/design/fairness.md`.

use std::collections::{BTreeMap, VecDeque};

use jacinthlever_types::{Class, CustomerId};

/// Tokens, for a customer of weight 1, by which an urgent request is served before its fair turn.
///
/// The lead is finite, so urgent requests of one customer cannot starve the others.
pub const URGENT_LEAD_TOKENS: f64 = 8_192.0;

/// Maximum service credit, in tokens for a customer of weight 1, that a customer without waiting
/// requests keeps.
///
/// The latency targets keep queues short, and the credit evens out service over short queues.
pub const MAX_CREDIT_TOKENS: f64 = 8_192.0;

#[derive(Debug)]
struct Entry<K> {
    key: K,
    /// Cost in tokens.
    cost: f64,
}

#[derive(Debug)]
struct Flow<K> {
    weight: f64,
    /// Virtual finish time of the customer's last granted request.
    finish: f64,
    urgent: VecDeque<Entry<K>>,
    patient: VecDeque<Entry<K>>,
}

impl<K: Copy + Eq> Flow<K> {
    fn queue(&mut self, class: Class) -> &mut VecDeque<Entry<K>> {
        match class {
            Class::Urgent => &mut self.urgent,
            Class::Patient => &mut self.patient,
        }
    }

    /// Returns the virtual start time of the customer's next request.
    fn start(&self, virtual_time: f64) -> f64 {
        self.finish.max(virtual_time - MAX_CREDIT_TOKENS)
    }

    /// Returns the total cost of the customer's waiting requests that are served before a new one.
    fn cost_ahead(&self, class: Class) -> f64 {
        let patient = self.patient.iter().filter(|_| class == Class::Patient);
        self.urgent
            .iter()
            .chain(patient)
            .map(|entry| entry.cost)
            .sum()
    }

    fn len(&self) -> usize {
        self.urgent.len() + self.patient.len()
    }

    fn next_class(&self) -> Option<Class> {
        match (self.urgent.is_empty(), self.patient.is_empty()) {
            (false, _) => Some(Class::Urgent),
            (true, false) => Some(Class::Patient),
            (true, true) => None,
        }
    }
}

/// Start-time fair queueing (Goyal, Vin and Cheng, 1996) with a bounded lead for urgent requests.
#[derive(Debug)]
pub struct FairQueue<K> {
    flows: BTreeMap<CustomerId, Flow<K>>,
    virtual_time: f64,
}

impl<K> Default for FairQueue<K> {
    fn default() -> Self {
        Self {
            flows: BTreeMap::new(),
            virtual_time: 0.0,
        }
    }
}

impl<K: Copy + Eq> FairQueue<K> {
    /// Adds a request at the back of its customer's queue, or at the front if `at_front` is set.
    pub fn push(
        &mut self,
        customer: &CustomerId,
        weight: f64,
        class: Class,
        cost: f64,
        key: K,
        at_front: bool,
    ) {
        let flow = self.flows.entry(customer.clone()).or_insert_with(|| Flow {
            weight,
            finish: 0.0,
            urgent: VecDeque::new(),
            patient: VecDeque::new(),
        });
        flow.weight = weight;
        let entry = Entry { key, cost };
        match at_front {
            true => flow.queue(class).push_front(entry),
            false => flow.queue(class).push_back(entry),
        }
    }

    /// Returns the request to be served next.
    pub fn peek(&self) -> Option<K> {
        let (customer, class) = self.next()?;
        let flow = self.flows.get(&customer)?;
        let queue = match class {
            Class::Urgent => &flow.urgent,
            Class::Patient => &flow.patient,
        };
        queue.front().map(|entry| entry.key)
    }

    /// Removes the request to be served next and charges its cost to its customer.
    pub fn pop(&mut self) -> Option<K> {
        let (customer, class) = self.next()?;
        self.virtual_time = self.virtual_time.max(self.min_start());
        let virtual_time = self.virtual_time;
        let flow = self.flows.get_mut(&customer)?;
        let entry = flow.queue(class).pop_front()?;
        flow.finish = flow.start(virtual_time) + entry.cost / flow.weight;
        self.drop_idle();
        Some(entry.key)
    }

    /// Removes a request without charging its cost.
    pub fn remove(&mut self, key: K) {
        for flow in self.flows.values_mut() {
            flow.urgent.retain(|entry| entry.key != key);
            flow.patient.retain(|entry| entry.key != key);
        }
    }

    /// Refunds cost that was charged to a customer and not used.
    pub fn credit(&mut self, customer: &CustomerId, tokens: f64) {
        if let Some(flow) = self.flows.get_mut(customer) {
            flow.finish -= tokens / flow.weight;
        }
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.flows.values().map(Flow::len).sum()
    }

    /// Whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.flows.values().all(|flow| flow.len() == 0)
    }

    /// Returns the tokens that are served before a new request of a customer would be.
    pub fn tokens_before(&self, customer: &CustomerId, weight: f64, class: Class) -> f64 {
        let lead = if class == Class::Urgent {
            URGENT_LEAD_TOKENS
        } else {
            0.0
        };
        let (start, ahead) = match self.flows.get(customer) {
            None => (self.virtual_time - MAX_CREDIT_TOKENS, 0.0),
            Some(flow) => (flow.start(self.virtual_time), flow.cost_ahead(class)),
        };
        let turn = start + ahead / weight - lead;
        let others = self.flows.iter().filter(|(id, _)| *id != customer);
        // Until that turn, each backlogged customer is served up to the same virtual time.
        let tokens = others.map(|(_, flow)| {
            let behind = (turn - flow.start(self.virtual_time)).max(0.0);
            (behind * flow.weight).min(flow.cost_ahead(Class::Patient))
        });
        ahead + tokens.sum::<f64>()
    }

    fn next(&self) -> Option<(CustomerId, Class)> {
        let backlogged = self.flows.iter().filter_map(|(customer, flow)| {
            let class = flow.next_class()?;
            let lead = if class == Class::Urgent {
                URGENT_LEAD_TOKENS
            } else {
                0.0
            };
            Some((flow.start(self.virtual_time) - lead, customer, class))
        });
        let next = backlogged.min_by(|a, b| a.0.total_cmp(&b.0));
        next.map(|(_, customer, class)| (customer.clone(), class))
    }

    fn min_start(&self) -> f64 {
        let waiting = self.flows.values().filter(|flow| flow.len() > 0);
        let starts = waiting.map(|flow| flow.start(self.virtual_time));
        starts.min_by(f64::total_cmp).unwrap_or(self.virtual_time)
    }

    /// Removes idle customers whose credit has reached the maximum, which is the state of a new
    /// one.
    fn drop_idle(&mut self) {
        let virtual_time = self.virtual_time;
        let oldest = virtual_time - MAX_CREDIT_TOKENS;
        self.flows
            .retain(|_, flow| flow.len() > 0 || flow.finish > oldest);
    }
}
