//! Priority queue of the generations that wait for engine memory.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::time::Duration;

use tokio::sync::Notify;

/// Number of generations at the head of the queue that may request reservations concurrently.
const MAX_CONCURRENT_REQUESTERS: usize = 3;

/// Position in the queue: ordered by priority, then by deadline, then by arrival.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Position {
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Time at which the generation stops waiting.
    pub until: Duration,
    number: u64,
}

/// Queue of the generations of one instance that wait for engine memory.
#[derive(Default)]
pub struct CapacityQueue {
    positions: RefCell<BTreeMap<Position, ()>>,
    next_number: Cell<u64>,
    changed: Notify,
}

/// A waiting generation; it leaves the queue when this is dropped.
pub struct Waiter<'a> {
    queue: &'a CapacityQueue,
    position: Position,
}

impl CapacityQueue {
    /// Adds a generation that waits until `until`.
    pub fn enqueue(&self, priority: u8, until: Duration) -> Waiter<'_> {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let position = Position {
            priority,
            until,
            number,
        };
        self.positions.borrow_mut().insert(position, ());
        Waiter {
            queue: self,
            position,
        }
    }

    /// Returns the number of waiting generations.
    pub fn waiting(&self) -> usize {
        self.positions.borrow().len()
    }

    /// Wakes all waiting generations, since an engine may have free memory.
    pub fn notify_waiters(&self) {
        self.changed.notify_waiters();
    }
}

impl Waiter<'_> {
    /// Whether this generation is close enough to the head of the queue to request reservations.
    pub fn is_turn(&self) -> bool {
        let positions = self.queue.positions.borrow();
        positions
            .keys()
            .take(MAX_CONCURRENT_REQUESTERS)
            .any(|p| *p == self.position)
    }

    /// Waits until an engine may have free memory.
    pub async fn capacity_freed(&self) {
        self.queue.changed.notified().await;
    }
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        self.queue.positions.borrow_mut().remove(&self.position);
    }
}
