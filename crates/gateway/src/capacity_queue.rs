//! Queue of the generations of one instance that wait for engine memory.

use std::cell::RefCell;
use std::time::Duration;

use jacinthlever_routing::{WaiterId, WaitingGeneration, WaitingQueue};
use tokio::sync::Notify;

use crate::Clock;

/// Queue of the generations of one instance that wait for engine memory.
pub struct CapacityQueue {
    queue: RefCell<WaitingQueue>,
    clock: Clock,
    changed: Notify,
}

/// A waiting generation; it leaves the queue when this is dropped.
pub struct Waiter<'a> {
    queue: &'a CapacityQueue,
    id: WaiterId,
}

impl CapacityQueue {
    /// Creates an empty queue.
    pub fn new(clock: Clock) -> Self {
        Self {
            queue: RefCell::default(),
            clock,
            changed: Notify::new(),
        }
    }

    /// Turns scheduling by shares and estimates on or off.
    pub fn set_scheduling(&self, is_on: bool) {
        self.queue.borrow_mut().set_scheduling(is_on);
    }

    /// Adds a generation.
    pub fn enqueue(&self, generation: WaitingGeneration) -> Waiter<'_> {
        let id = self.queue.borrow_mut().enqueue(generation);
        Waiter { queue: self, id }
    }

    /// Returns the number of waiting generations.
    pub fn waiting(&self) -> usize {
        self.queue.borrow().len()
    }

    /// Returns the time after which the waiting generations of a service are expected to have been
    /// served; `None` without an estimate.
    pub fn drain_time(&self, service: &str) -> Option<Duration> {
        self.queue.borrow().drain_time(self.clock.now(), service)
    }

    /// Returns the number of grants on which the estimate for a service rests.
    pub fn grants(&self, service: &str) -> usize {
        self.queue.borrow().grants(self.clock.now(), service)
    }

    /// Wakes all waiting generations, since an engine may have free memory.
    pub fn notify_waiters(&self) {
        self.changed.notify_waiters();
    }
}

impl Waiter<'_> {
    /// Whether this generation is close enough to the head of the queue to request reservations.
    pub fn is_turn(&self) -> bool {
        let mut queue = self.queue.queue.borrow_mut();
        queue.is_turn(self.queue.clock.now(), self.id)
    }

    /// Returns how many generations are served before this one; `None` while scheduling is off.
    pub fn position(&self) -> Option<usize> {
        let mut queue = self.queue.queue.borrow_mut();
        queue.position(self.queue.clock.now(), self.id)
    }

    /// Returns the time after which this generation is expected to obtain memory; `None` without an
    /// estimate.
    pub fn expected_wait(&self) -> Option<Duration> {
        let mut queue = self.queue.queue.borrow_mut();
        queue.expected_wait(self.queue.clock.now(), self.id)
    }

    /// Whether this generation is expected to obtain memory only after it has stopped waiting.
    pub fn is_turn_too_late(&self) -> bool {
        let mut queue = self.queue.queue.borrow_mut();
        queue.is_turn_too_late(self.queue.clock.now(), self.id)
    }

    /// Records that this generation has obtained memory.
    pub fn record_grant(&self) {
        let mut queue = self.queue.queue.borrow_mut();
        queue.record_grant(self.queue.clock.now(), self.id);
    }

    /// Records that this generation has found no engine with room.
    pub fn record_no_room(&self) {
        let mut queue = self.queue.queue.borrow_mut();
        queue.record_no_room(self.queue.clock.now(), self.id);
    }

    /// Waits until an engine may have free memory.
    pub async fn capacity_freed(&self) {
        self.queue.changed.notified().await;
    }
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        let mut queue = self.queue.queue.borrow_mut();
        queue.remove(self.queue.clock.now(), self.id);
    }
}
