//! Budget for the bytes that an instance holds for callers, other instances and backend servers.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::{Rc, Weak};
use std::time::Duration;

use jacinthlever_routing::{HoldingId, HoldingUse, MemoryLedger, MemoryShortage};

use crate::Clock;
use crate::memory_lease::{HeldBytes, MemoryLease};

/// Part of the machine's memory that the budget is. The rest is for the process itself, its connections
/// and what the allocator cannot give back.
const BUDGET_PART: usize = 3;

/// Shortest time between two reports of a shortage.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Budget of one instance.
pub struct MemoryBudget {
    clock: Clock,
    ledger: RefCell<MemoryLedger>,
    held: RefCell<BTreeMap<HoldingId, Weak<HeldBytes>>>,
    /// Bodies and answers refused or shed since the last report.
    unreported: Cell<u64>,
    reported_at: Cell<Duration>,
}

impl MemoryBudget {
    /// Creates a budget that has to be configured.
    pub fn new(clock: Clock) -> Rc<Self> {
        Rc::new(Self {
            clock,
            ledger: RefCell::default(),
            held: RefCell::default(),
            unreported: Cell::new(0),
            reported_at: Cell::new(Duration::ZERO),
        })
    }

    /// Sets the memory that the process may use and the size of the largest legal body, in bytes. The budget
    /// has room for two such bodies at least, so that one is served when there is no overload.
    pub fn configure(&self, memory_bytes: u64, body_bytes: usize) {
        let part = usize::try_from(memory_bytes).unwrap_or(usize::MAX) / BUDGET_PART;
        let capacity = part.max(body_bytes.saturating_mul(2));
        self.ledger.borrow_mut().set_capacity(capacity);
    }

    /// Returns the number of bytes held.
    pub fn held(&self) -> usize {
        self.ledger.borrow().held()
    }

    /// Returns the size of the budget in bytes.
    pub fn capacity(&self) -> usize {
        self.ledger.borrow().capacity()
    }

    /// Opens a lease without bytes. `announced` is the final size, if that is known.
    pub fn open(self: &Rc<Self>, usage: HoldingUse, announced: Option<usize>) -> MemoryLease {
        let now = self.clock.now();
        let id = self.ledger.borrow_mut().open(now, usage, announced);
        let bytes = Rc::new(HeldBytes::default());
        self.held.borrow_mut().insert(id, Rc::downgrade(&bytes));
        MemoryLease::new(self.clone(), id, bytes)
    }

    /// Takes bytes for a lease before they are allocated. What is shed for it is freed at once.
    ///
    /// # Errors
    /// Fails if the memory is short.
    pub fn grow(&self, id: HoldingId, bytes: usize) -> Result<(), MemoryShortage> {
        let now = self.clock.now();
        let (shed, result) = self.ledger.borrow_mut().grow(now, id, bytes);
        let refused = shed.len() as u64 + u64::from(result.is_err());
        self.unreported.set(self.unreported.get() + refused);
        for other in shed {
            let held = self.held.borrow_mut().remove(&other);
            if let Some(held) = held.and_then(|held| held.upgrade()) {
                held.shed();
            }
        }
        result
    }

    /// Records that bytes of a lease were received or sent.
    pub fn record_progress(&self, id: HoldingId, bytes: usize) {
        let now = self.clock.now();
        self.ledger.borrow_mut().record_progress(now, id, bytes);
    }

    /// Changes what a lease is used for.
    pub fn set_use(&self, id: HoldingId, usage: HoldingUse) {
        let now = self.clock.now();
        self.ledger.borrow_mut().set_use(now, id, usage);
    }

    /// Gives back the bytes of a lease.
    pub fn release(&self, id: HoldingId) {
        self.held.borrow_mut().remove(&id);
        self.ledger.borrow_mut().release(id);
    }

    /// Returns how many bodies and answers were refused or shed since the last report, at most once per
    /// [`REPORT_INTERVAL`]; `None` if there were none or it is too early.
    pub fn take_report(&self) -> Option<u64> {
        let now = self.clock.now();
        let is_due = now >= self.reported_at.get() + REPORT_INTERVAL;
        if self.unreported.get() == 0 || !is_due {
            return None;
        }
        self.reported_at.set(now);
        Some(self.unreported.replace(0))
    }
}
