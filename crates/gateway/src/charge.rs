//! The tokens that a request takes from its customer's quota.

use std::cell::Cell;
use std::rc::Rc;

use http::StatusCode;
use jacinthlever_routing::{OverLimit, QuotaDecision};
use smol_str::SmolStr;

use crate::EventCode;
use crate::answer::Verdict;
use crate::context::Context;

/// Quota tokens of one request. They are refunded if this is dropped before they are settled.
///
/// While a request waits for engine memory its tokens are pending on this instance only. They are
/// charged, and reported to peers, when the request is about to be sent. See
/// `docs/design/platform.md`, "Limits".
pub struct Charge {
    cx: Rc<Context>,
    request_id: SmolStr,
    customer: SmolStr,
    /// Tokens that the request counts against the quota.
    pub tokens: u64,
    state: Cell<ChargeState>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ChargeState {
    Pending,
    Charged,
    /// Refunded, since another instance charges the request.
    Withdrawn,
    /// Nothing is refunded.
    Settled,
}

impl Charge {
    /// Reserves tokens as pending, for a request that may have to wait.
    ///
    /// # Errors
    /// Returns a refusal if the customer has exceeded its quota.
    pub fn pending(
        cx: &Rc<Context>,
        request_id: &SmolStr,
        customer: &SmolStr,
        tokens: u64,
    ) -> Result<Self, Verdict> {
        let charge = Self::new(cx, request_id, customer, tokens);
        let mut state = cx.state.borrow_mut();
        let decision = state.quotas.reserve_pending(cx.now(), customer, tokens);
        drop(state);
        charge.transition(ChargeState::Pending, decision)?;
        Ok(charge)
    }

    /// Charges the customer for a request that is sent without waiting.
    ///
    /// # Errors
    /// Returns a refusal if the customer has exceeded its quota.
    pub fn immediate(
        cx: &Rc<Context>,
        request_id: &SmolStr,
        customer: &SmolStr,
        tokens: u64,
    ) -> Result<Self, Verdict> {
        let charge = Self::new(cx, request_id, customer, tokens);
        charge.charge()?;
        Ok(charge)
    }

    fn new(cx: &Rc<Context>, request_id: &SmolStr, customer: &SmolStr, tokens: u64) -> Self {
        Self {
            cx: cx.clone(),
            request_id: request_id.clone(),
            customer: customer.clone(),
            tokens,
            state: Cell::new(ChargeState::Settled),
        }
    }

    /// Charges pending or withdrawn tokens; does nothing if they are charged already.
    ///
    /// # Errors
    /// Returns a refusal if the customer has exceeded its quota since the tokens became pending.
    pub fn confirm(&self) -> Result<(), Verdict> {
        match self.state.get() {
            ChargeState::Pending => self.withdraw(),
            ChargeState::Withdrawn => {}
            ChargeState::Charged | ChargeState::Settled => return Ok(()),
        }
        self.state.set(ChargeState::Settled);
        self.charge()
    }

    /// Refunds the tokens, since another instance is about to charge the request.
    pub fn withdraw(&self) {
        let mut state = self.cx.state.borrow_mut();
        match self.state.get() {
            ChargeState::Pending => state.quotas.release_pending(&self.customer, self.tokens),
            ChargeState::Charged => {
                let now = self.cx.now();
                state.quotas.refund(now, &self.customer, self.tokens);
            }
            ChargeState::Withdrawn | ChargeState::Settled => return,
        }
        self.state.set(ChargeState::Withdrawn);
    }

    fn charge(&self) -> Result<(), Verdict> {
        let mut state = self.cx.state.borrow_mut();
        let now = self.cx.now();
        let decision = state.quotas.charge(now, &self.customer, self.tokens);
        drop(state);
        self.transition(ChargeState::Charged, decision)
    }

    /// Settles charged tokens, since a backend server may have run the request: nothing is
    /// refunded.
    pub fn settle(&self) {
        if self.state.get() == ChargeState::Charged {
            self.state.set(ChargeState::Settled);
        }
    }

    fn transition(&self, state: ChargeState, decision: QuotaDecision) -> Result<(), Verdict> {
        match decision {
            QuotaDecision::Allowed => {
                self.state.set(state);
                Ok(())
            }
            QuotaDecision::OverLimit(over) => Err(self.refusal(&over)),
        }
    }

    /// Builds the refusal of the request and logs the state of the customer's token bucket.
    fn refusal(&self, over: &OverLimit) -> Verdict {
        self.cx.log(
            EventCode::OverLimit,
            [
                ("request", self.request_id.as_str().into()),
                ("customer", self.customer.as_str().into()),
                ("rate", over.quota.rate.into()),
                ("burst", over.quota.burst.into()),
                ("level", over.level.round().into()),
                ("fleet_share", over.fleet_share.into()),
            ],
        );
        Verdict::NotRun {
            status: StatusCode::TOO_MANY_REQUESTS,
            reason: "customer is over its limit",
            retry_after: Some(over.retry_after),
        }
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.withdraw();
    }
}
