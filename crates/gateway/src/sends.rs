//! The sends of a request to backend servers, and what they take from the retry budget.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use jacinthlever_routing::{BudgetUse, RetryBudget};
use smol_str::SmolStr;

use crate::EventCode;
use crate::context::Context;

/// Reason for which a request is not sent again.
pub const BUDGET_SPENT: &str = "retry budget is used up";

/// The sends of one request from this instance, of whatever kind and for whatever reason.
///
/// Every send needs a [`SendTicket`]. The first one takes nothing from the retry budget, and neither
/// does the first prefill that an engine completes; see `docs/design/retries.md`.
pub struct Sends {
    cx: Rc<Context>,
    request_id: SmolStr,
    service: SmolStr,
    /// Whether a ticket that takes nothing from the budget is left.
    has_first: Cell<bool>,
    /// Whether an engine has completed a prefill.
    is_prefilled: Cell<bool>,
    count: Cell<u32>,
    /// When the request was first written to a connection; `None` before that.
    first_sent_at: Cell<Option<Duration>>,
}

impl Sends {
    /// Creates the count of a request that has not been sent yet.
    pub fn new(cx: &Rc<Context>, request_id: &SmolStr, service: &SmolStr) -> Rc<Self> {
        Rc::new(Self {
            cx: cx.clone(),
            request_id: request_id.clone(),
            service: service.clone(),
            has_first: Cell::new(true),
            is_prefilled: Cell::new(false),
            count: Cell::new(0),
            first_sent_at: Cell::new(None),
        })
    }

    /// Returns the number of sends so far.
    pub fn count(&self) -> u32 {
        self.count.get()
    }

    /// Returns when the request was first written to a connection; `None` before that.
    pub fn first_sent_at(&self) -> Option<Duration> {
        self.first_sent_at.get()
    }

    /// Whether an engine has completed a prefill, so that a further one is a retry.
    pub fn is_prefilled(&self) -> bool {
        self.is_prefilled.get()
    }

    /// Returns a ticket for one send; `None` if it would be a retry and the budget is used up.
    pub fn ticket(self: &Rc<Self>) -> Option<SendTicket> {
        let is_retry = !self.has_first.replace(false);
        if is_retry && !self.try_hold() {
            return None;
        }
        Some(SendTicket {
            sends: self.clone(),
            is_retry,
            used_at: Cell::new(None),
        })
    }

    /// Returns the tickets for passing the request on to another instance. That one takes nothing from
    /// its budget for its first send and its first complete prefill, so what has been sent from here is
    /// taken from the budget here.
    pub fn relay_tickets(self: &Rc<Self>) -> Option<Vec<SendTicket>> {
        let count = 1 + usize::from(self.is_prefilled());
        (0..count).map(|_| self.ticket()).collect()
    }

    fn try_hold(&self) -> bool {
        let now = self.cx.now();
        let (is_granted, used) = self.with_budget(|budget| {
            let is_granted = budget.try_hold(now);
            (is_granted, budget.current_use(now))
        });
        let code = match is_granted {
            true => EventCode::RetryTaken,
            false => EventCode::RetryDenied,
        };
        self.log(code, now, &used);
        if !is_granted {
            self.cx.metrics.count_retry(&self.service, false);
        }
        is_granted
    }

    fn with_budget<T>(&self, f: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let settings = self.cx.settings();
        let mut state = self.cx.state.borrow_mut();
        f(state.retry_budget(&settings, &self.service))
    }

    fn log(&self, code: EventCode, now: Duration, used: &BudgetUse) {
        let instances = self.cx.state.borrow().members.fleet_size(now);
        self.cx.log(
            code,
            [
                ("request", self.request_id.as_str().into()),
                ("service", self.service.as_str().into()),
                ("sends", self.count.get().into()),
                ("used", used.retries.into()),
                ("usable", round_to_tenths(used.usable).into()),
                ("requests", used.requests.into()),
                ("share", round_to_tenths(used.allowance).into()),
                ("instances", instances.into()),
                ("uptime_ms", (now.as_millis() as u64).into()),
            ],
        );
    }
}

/// The permission to send a request once. What it holds of the retry budget is returned if it is
/// dropped before it is used.
pub struct SendTicket {
    sends: Rc<Sends>,
    is_retry: bool,
    used_at: Cell<Option<Duration>>,
}

impl SendTicket {
    /// Whether the send is a retry.
    pub fn is_retry(&self) -> bool {
        self.is_retry
    }

    /// Records that the request is about to be written to a connection.
    pub fn record_use(&self) {
        let now = self.sends.cx.now();
        self.used_at.set(Some(now));
        let first_sent_at = &self.sends.first_sent_at;
        first_sent_at.set(first_sent_at.get().or(Some(now)));
        self.sends.count.set(self.sends.count.get() + 1);
        if self.is_retry {
            self.sends.with_budget(|budget| budget.spend(now));
            self.sends.cx.metrics.count_retry(&self.sends.service, true);
        }
    }

    /// Undoes [`Self::record_use`]: the request was not written, or no server has received it.
    pub fn undo_use(&self) {
        if self.used_at.get().is_some() {
            self.sends.count.set(self.sends.count.get() - 1);
            self.make_unused();
        }
    }

    /// Records that an engine has completed the prefill for which this was used. Returns the ticket as
    /// unused if that was the first one.
    pub fn complete_prefill(self) -> Option<Self> {
        let is_first = !self.sends.is_prefilled.replace(true);
        is_first.then(|| {
            self.make_unused();
            self
        })
    }

    fn make_unused(&self) {
        if let Some(at) = self.used_at.take()
            && self.is_retry
        {
            self.sends.with_budget(|budget| budget.undo_spend(at));
        }
    }
}

impl Drop for SendTicket {
    fn drop(&mut self) {
        if self.used_at.get().is_some() {
            return;
        }
        match self.is_retry {
            true => self.sends.with_budget(RetryBudget::release),
            false => self.sends.has_first.set(true),
        }
    }
}

fn round_to_tenths(value: f64) -> f64 {
    (value * 10.0).round() / 10.0
}
