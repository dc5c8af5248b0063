//! What a request takes out of its customer's limit.

use std::cell::Cell;
use std::rc::Rc;

use http::StatusCode;
use jacinthlever_routing::{OverLimit, QuotaDecision};
use smol_str::SmolStr;

use crate::EventCode;
use crate::answer::Verdict;
use crate::node::Node;

/// Tokens of a request, given back to its customer when this is dropped before they are spent.
///
/// A request that waits for room only sets its tokens aside here; it is charged, and peers hear of
/// it, when it is about to be sent. See `docs/design/platform.md`, "Limits".
pub struct Charge {
    node: Rc<Node>,
    request_id: SmolStr,
    customer: SmolStr,
    /// Tokens that the request counts as.
    pub tokens: u64,
    stage: Cell<Stage>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    SetAside,
    Charged,
    /// Nothing is given back.
    Settled,
}

impl Charge {
    /// Sets tokens aside for a request that may have to wait.
    ///
    /// # Errors
    /// Fails with a refusal if the customer is over its limit.
    pub fn set_aside(
        node: &Rc<Node>,
        request_id: &SmolStr,
        customer: &SmolStr,
        tokens: u64,
    ) -> Result<Self, Verdict> {
        let charge = Self::new(node, request_id, customer, tokens);
        let mut state = node.state.borrow_mut();
        let decision = state.quotas.reserve_pending(node.now(), customer, tokens);
        drop(state);
        charge.enter(Stage::SetAside, decision)?;
        Ok(charge)
    }

    /// Charges the customer for a request that is sent at once.
    ///
    /// # Errors
    /// Fails with a refusal if the customer is over its limit.
    pub fn take(
        node: &Rc<Node>,
        request_id: &SmolStr,
        customer: &SmolStr,
        tokens: u64,
    ) -> Result<Self, Verdict> {
        let charge = Self::new(node, request_id, customer, tokens);
        charge.charge()?;
        Ok(charge)
    }

    fn new(node: &Rc<Node>, request_id: &SmolStr, customer: &SmolStr, tokens: u64) -> Self {
        Self {
            node: node.clone(),
            request_id: request_id.clone(),
            customer: customer.clone(),
            tokens,
            stage: Cell::new(Stage::Settled),
        }
    }

    /// Charges the customer, unless it is charged already.
    ///
    /// # Errors
    /// Fails with a refusal if the customer has come over its limit since the tokens were set
    /// aside.
    pub fn confirm(&self) -> Result<(), Verdict> {
        if self.stage.get() != Stage::SetAside {
            return Ok(());
        }
        self.stage.set(Stage::Settled);
        let mut state = self.node.state.borrow_mut();
        state.quotas.release_pending(&self.customer, self.tokens);
        drop(state);
        self.charge()
    }

    fn charge(&self) -> Result<(), Verdict> {
        let mut state = self.node.state.borrow_mut();
        let now = self.node.now();
        let decision = state.quotas.charge(now, &self.customer, self.tokens);
        drop(state);
        self.enter(Stage::Charged, decision)
    }

    /// Takes in that a server may have run the request, so nothing is given back.
    pub fn spend(&self) {
        if self.stage.get() == Stage::Charged {
            self.stage.set(Stage::Settled);
        }
    }

    fn enter(&self, stage: Stage, decision: QuotaDecision) -> Result<(), Verdict> {
        match decision {
            QuotaDecision::Allowed => {
                self.stage.set(stage);
                Ok(())
            }
            QuotaDecision::OverLimit(over) => Err(self.refusal(&over)),
        }
    }

    /// Refuses the request, and logs what the bucket looked like.
    fn refusal(&self, over: &OverLimit) -> Verdict {
        self.node.note(
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
        let mut state = self.node.state.borrow_mut();
        match self.stage.get() {
            Stage::SetAside => state.quotas.release_pending(&self.customer, self.tokens),
            Stage::Charged => {
                let now = self.node.now();
                state.quotas.refund(now, &self.customer, self.tokens);
            }
            Stage::Settled => {}
        }
    }
}
