//! Generations that wait for engine memory, in the order in which they should get it.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::time::Duration;

use tokio::sync::Notify;

/// Waiting generations that may ask engines at the same time.
const ASKING: usize = 3;

/// Place in the queue: the more urgent first, then the one that must start sooner.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Place {
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// When it is given up.
    pub until: Duration,
    number: u64,
}

/// The queue of one instance.
#[derive(Default)]
pub struct CapacityQueue {
    places: RefCell<BTreeMap<Place, ()>>,
    next: Cell<u64>,
    changed: Notify,
}

/// A place that is given up when this is dropped.
pub struct Waiter<'a> {
    queue: &'a CapacityQueue,
    place: Place,
}

impl CapacityQueue {
    /// Joins the queue.
    pub fn enqueue(&self, priority: u8, until: Duration) -> Waiter<'_> {
        let number = self.next.get();
        self.next.set(number + 1);
        let place = Place {
            priority,
            until,
            number,
        };
        self.places.borrow_mut().insert(place, ());
        Waiter { queue: self, place }
    }

    /// Number of generations that wait.
    pub fn waiting(&self) -> usize {
        self.places.borrow().len()
    }

    /// Takes in that an engine may have room.
    pub fn notify_waiters(&self) {
        self.changed.notify_waiters();
    }
}

impl Waiter<'_> {
    /// Whether it is this generation's turn to ask engines.
    pub fn may_ask(&self) -> bool {
        let places = self.queue.places.borrow();
        places.keys().take(ASKING).any(|p| *p == self.place)
    }

    /// Waits until an engine may have room.
    pub async fn changed(&self) {
        self.queue.changed.notified().await;
    }
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        self.queue.places.borrow_mut().remove(&self.place);
    }
}
