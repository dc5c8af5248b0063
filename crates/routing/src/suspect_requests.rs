//! Requests that are suspected of crashing the backend servers on which they run.

use std::collections::BTreeMap;
use std::time::Duration;

/// Number of crashes at which a request is quarantined.
const QUARANTINE_CRASHES: u32 = 2;

/// Time for which a request is remembered after its last crash.
const RETENTION: Duration = Duration::from_secs(120);

/// Maximum number of remembered fingerprints; the one with the oldest crash is evicted first.
const MAX_SUSPECTS: usize = 1024;

/// A hash of the caller's key and of the method, URI and body of a request.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Fingerprint(pub u64);

#[derive(Debug)]
struct Suspect {
    crashes: u32,
    last_crash: Duration,
}

/// The requests that were running on backend servers when these crashed.
///
/// A request that crashes every server on which it runs (a "query of death") would take down the
/// service through retries, so it is quarantined.
#[derive(Debug, Default)]
pub struct SuspectRequests {
    suspects: BTreeMap<Fingerprint, Suspect>,
}

impl SuspectRequests {
    /// Records the crash of a backend server that was running a request, and returns the number of
    /// crashes recorded for the request.
    pub fn record_crash(&mut self, now: Duration, fingerprint: Fingerprint) -> u32 {
        self.remove_expired(now);
        let suspect = self.suspects.entry(fingerprint).or_insert(Suspect {
            crashes: 0,
            last_crash: now,
        });
        suspect.crashes += 1;
        suspect.last_crash = now;
        suspect.crashes
    }

    /// Merges the number of crashes that a peer has recorded for a request.
    pub fn merge_crashes(&mut self, now: Duration, fingerprint: Fingerprint, crashes: u32) {
        // Each report repeats all suspects. Only news are worth a look at all of them.
        let known = self.suspects.get(&fingerprint);
        if known.is_some_and(|s| crashes <= s.crashes && now < s.last_crash + RETENTION) {
            return;
        }
        self.remove_expired(now);
        let suspect = self.suspects.entry(fingerprint).or_insert(Suspect {
            crashes: 0,
            last_crash: now,
        });
        if crashes > suspect.crashes {
            suspect.crashes = crashes;
            suspect.last_crash = now;
        }
    }

    /// Whether a request is quarantined and must not be sent to any backend server.
    pub fn is_quarantined(&self, now: Duration, fingerprint: Fingerprint) -> bool {
        self.suspects
            .get(&fingerprint)
            .is_some_and(|s| s.crashes >= QUARANTINE_CRASHES && now < s.last_crash + RETENTION)
    }

    /// Returns each suspect request with its number of crashes, as reported to peers.
    pub fn suspects(&self, now: Duration) -> impl Iterator<Item = (Fingerprint, u32)> + '_ {
        let current = self.suspects.iter();
        let current = current.filter(move |(_, s)| now < s.last_crash + RETENTION);
        current.map(|(f, s)| (*f, s.crashes))
    }

    fn remove_expired(&mut self, now: Duration) {
        self.suspects.retain(|_, s| now < s.last_crash + RETENTION);
        while self.suspects.len() >= MAX_SUSPECTS {
            let oldest = self.suspects.iter().min_by_key(|(_, s)| s.last_crash);
            let Some(oldest) = oldest.map(|(f, _)| *f) else {
                return;
            };
            self.suspects.remove(&oldest);
        }
    }
}
