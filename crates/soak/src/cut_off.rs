//! Requests that ended without an answer, and the check that a fault excuses each of them.

use std::time::Duration;

use crate::{Fault, Impairment, LinkFault, ServerFault};

/// Time after a fault for which it still excuses what is cut off.
const AFTER_FAULT: Duration = Duration::from_secs(1);

/// Time after which a request counts as read by its instance, also if no server ran it.
const READ_TIME: Duration = Duration::from_millis(200);

/// Time after a planned stop until which a request may have arrived that is still run at the end of the grace
/// period.
const LAST_ARRIVAL: Duration = Duration::from_secs(3);

/// A fault that was injected, with its actual times since the start of the run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct InjectedFault {
    /// The fault.
    pub fault: Fault,
    /// When it began.
    pub from: Duration,
    /// When its end began.
    pub ending: Duration,
    /// When it had ended.
    pub until: Duration,
}

impl InjectedFault {
    /// Creates a fault that has not begun.
    pub fn new(fault: Fault) -> Self {
        Self {
            fault,
            from: Duration::MAX,
            ending: Duration::MAX,
            until: Duration::MAX,
        }
    }

    /// Returns from when the fault excuses a request of an instance that some servers ran; `None` if it
    /// does not. Silence of servers, stalled or slow links and changes of the configuration do not.
    fn excuses_from(&self, cut_off: &CutOff, grace_period: Duration) -> Option<Duration> {
        // The instance that the caller asked, or one to which it passed the request on.
        let is_own =
            |instance: usize| instance == cut_off.instance || cut_off.senders.contains(&instance);
        match self.fault {
            Fault::KillAll => Some(self.from),
            Fault::Kill { instance } | Fault::Pause { instance } => {
                is_own(instance).then_some(self.from)
            }
            // At the end of this fault an instance that still runs is killed.
            Fault::Stop { instance } => {
                is_own(instance).then_some(self.ending.min(self.from + grace_period))
            }
            // Servers may outlast the grace period with what came early: its last sixth excuses them.
            Fault::PlannedStop { instance } => {
                let is_early = cut_off.whole <= self.from + LAST_ARRIVAL;
                let is_excused =
                    instance == cut_off.instance && is_early && !cut_off.servers.is_empty();
                is_excused.then(|| self.from + grace_period.mul_f64(5.0 / 6.0))
            }
            Fault::Link(LinkFault::Server { server }, Impairment::Reset)
            | Fault::Server {
                server,
                fault: ServerFault::TruncateResponses,
            } => cut_off.servers.contains(&server).then_some(self.from),
            Fault::Link(
                LinkFault::Servers { instance },
                Impairment::Reset | Impairment::Refuse,
            ) => cut_off.senders.contains(&instance).then_some(self.from),
            _ => None,
        }
    }
}

/// A request whose connection ended, or that its caller gave up at its deadline, without a complete
/// answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CutOff {
    /// Index of the instance to which it was sent.
    pub instance: usize,
    /// Indices of the servers that ran it.
    pub servers: Vec<usize>,
    /// Indices of the instances that sent it to these servers.
    pub senders: Vec<usize>,
    /// When its caller began to send it.
    pub sent: Duration,
    /// When its caller had sent its last byte.
    pub whole: Duration,
    /// When its caller saw the end.
    pub ended: Duration,
}

impl CutOff {
    /// Returns a description of the request if its instance had read it and nothing excuses the end: no
    /// fault of the instance or of a server that ran it, and no time-out.
    pub fn violation(
        &self,
        faults: &[InjectedFault],
        timeout: Duration,
        grace_period: Duration,
    ) -> Option<String> {
        let took = self.ended - self.sent;
        let was_read = !self.servers.is_empty() || self.ended - self.whole > READ_TIME;
        let is_excused = faults.iter().any(|fault| {
            let from = fault.excuses_from(self, grace_period);
            from.is_some_and(|from| {
                from <= self.ended && self.sent <= fault.until.saturating_add(AFTER_FAULT)
            })
        });
        (was_read && took < timeout && !is_excused).then(|| {
            let (instance, servers) = (self.instance, &self.servers);
            let (sent, whole) = (self.sent, self.whole);
            format!("cut off by instance {instance} {took:?} after it was sent at {sent:?}, its last byte at {whole:?}, run by {servers:?}")
        })
    }
}
