//! The removal of a server's registration, and the check that the server gets no more requests.

use std::time::Duration;

use crate::{Fault, InjectedFault};

/// Time from a removal after which no request may reach the server; equals `drain_ms` in the settings.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// Time without a fault after which an instance counts as in touch.
const STABLE_WINDOW: Duration = Duration::from_secs(3);

/// A time for which a server is not registered, although it serves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Removal {
    /// When the store had removed the registration.
    pub from: Duration,
    /// When the server began to register again.
    pub until: Duration,
}

impl Removal {
    /// Returns a description of the requests that reached the server too late, given the instance that sent each
    /// arrival and its time. A fault of the instance itself excuses it; whatever happens to others does not.
    pub fn violation(
        &self,
        arrivals: &[(usize, Duration)],
        faults: &[InjectedFault],
    ) -> Option<String> {
        let late = arrivals.iter().filter(|(instance, at)| {
            let is_late = *at > self.from + DRAIN_TIME && *at < self.until;
            let was_disturbed = |injected: &InjectedFault| {
                is_excuse(injected.fault, *instance)
                    && injected.from <= *at
                    && *at < injected.until.saturating_add(STABLE_WINDOW)
            };
            is_late && !faults.iter().any(was_disturbed)
        });
        let late: Vec<_> = late.collect();
        let (instance, at) = late.first()?;
        Some(format!(
            "{} requests reached a server later than {DRAIN_TIME:?} after its removal, the first one from instance {instance} \
             after {:?}",
            late.len(),
            *at - self.from
        ))
    }
}

/// Whether a fault takes an instance out of touch with the store, or delays what it sends.
fn is_excuse(fault: Fault, of: usize) -> bool {
    match fault {
        Fault::Kill { instance }
        | Fault::Stop { instance }
        | Fault::PlannedStop { instance }
        | Fault::Pause { instance } => instance == of,
        Fault::KillAll | Fault::Store(_) | Fault::Link(..) => true,
        _ => false,
    }
}
