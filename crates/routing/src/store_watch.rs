//! Decides which instances of a zone watch the tables of the store.

use std::time::Duration;

/// Number of store watchers in a zone; the other instances get changes from them.
const WATCHERS_PER_ZONE: usize = 2;

/// Age of a copy's verification from which an instance watches the table itself, even if other
/// instances should.
const VERIFICATION_OVERDUE: Duration = Duration::from_millis(1500);

/// Added to [`VERIFICATION_OVERDUE`] for each rank in the zone, so that instances do not all call
/// the store at once: the first one to reach it sends its verification to the others within that time.
const DELAY_PER_RANK: Duration = Duration::from_millis(40);

/// Maximum of the delay by rank.
const MAX_RANK_DELAY: Duration = Duration::from_millis(600);

/// Number of instances, beside the watchers, that go on calling a store that does not answer. If it answers
/// one of them only, this one sends its verification to the others.
const FIRST_SUBSTITUTES: usize = 4;

/// Factor on the pause of these after a failed call.
const SUBSTITUTE_PAUSE_FACTOR: u32 = 3;

/// Pause of the other instances after a failed call: a store that is away would get the same call from
/// each of them all the time.
const IDLE_PAUSE: Duration = Duration::from_secs(5);

/// The part of an instance in the watching of the store, by its rank in the zone.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreWatch {
    /// It watches for the zone.
    Watcher,
    /// It watches in place of the watchers, as the copy has not been verified in time.
    Substitute,
    /// Others watch.
    Idle,
}

impl StoreWatch {
    /// Returns the part of the instance with a rank, whose copy was verified `age` ago; `None` if it never
    /// was.
    pub fn of(rank: usize, age: Option<Duration>) -> Self {
        if Self::is_watcher(rank) {
            return Self::Watcher;
        }
        let delay = DELAY_PER_RANK * u32::try_from(rank).unwrap_or(u32::MAX / 1000);
        let overdue = VERIFICATION_OVERDUE + delay.min(MAX_RANK_DELAY);
        match age.is_none_or(|age| age > overdue) {
            true => Self::Substitute,
            false => Self::Idle,
        }
    }

    /// Returns the pause of the instance with a rank after a failed call, given the one of a watcher and a
    /// random number from 0 to 1.
    pub fn pause(rank: usize, watcher_pause: Duration, jitter: f64) -> Duration {
        if Self::is_watcher(rank) {
            watcher_pause
        } else if rank < WATCHERS_PER_ZONE + FIRST_SUBSTITUTES {
            watcher_pause * SUBSTITUTE_PAUSE_FACTOR
        } else {
            IDLE_PAUSE.mul_f64(0.6 + 0.4 * jitter)
        }
    }

    /// Whether the instance with a rank watches for its zone.
    pub fn is_watcher(rank: usize) -> bool {
        rank < WATCHERS_PER_ZONE
    }
}
