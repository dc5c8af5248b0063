//! Requests that crash the backend servers which run them.

use std::collections::BTreeMap;
use std::time::Duration;

/// Crashes after which a request is refused.
const MOST_CRASHES: u32 = 2;

/// How long a request is remembered after its last crash.
const REMEMBERED: Duration = Duration::from_secs(120);

/// Fingerprints that are remembered; the oldest go first.
const MOST_REMEMBERED: usize = 1024;

/// Hash of a request's key, method, path and body.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Fingerprint(pub u64);

#[derive(Debug)]
struct Suspect {
    crashes: u32,
    last: Duration,
}

/// Remembers which requests were running on backend servers that crashed.
#[derive(Debug, Default)]
pub struct SuspectRequests {
    suspects: BTreeMap<Fingerprint, Suspect>,
}

impl SuspectRequests {
    /// Counts a crash of a backend server that was running a request.
    pub fn record_crash(&mut self, now: Duration, fingerprint: Fingerprint) -> u32 {
        self.forget(now);
        let suspect = self.suspects.entry(fingerprint).or_insert(Suspect {
            crashes: 0,
            last: now,
        });
        suspect.crashes += 1;
        suspect.last = now;
        suspect.crashes
    }

    /// Takes in how many crashes a peer has counted for a request.
    pub fn merge_crashes(&mut self, now: Duration, fingerprint: Fingerprint, crashes: u32) {
        self.forget(now);
        let suspect = self.suspects.entry(fingerprint).or_insert(Suspect {
            crashes: 0,
            last: now,
        });
        if crashes > suspect.crashes {
            suspect.crashes = crashes;
            suspect.last = now;
        }
    }

    /// Whether a request must not be sent to any backend server.
    pub fn is_quarantined(&self, now: Duration, fingerprint: Fingerprint) -> bool {
        self.suspects
            .get(&fingerprint)
            .is_some_and(|s| s.crashes >= MOST_CRASHES && now < s.last + REMEMBERED)
    }

    /// Returns what peers should hear: each suspect with its crashes.
    pub fn suspects(&self) -> impl Iterator<Item = (Fingerprint, u32)> + '_ {
        self.suspects.iter().map(|(f, s)| (*f, s.crashes))
    }

    fn forget(&mut self, now: Duration) {
        self.suspects.retain(|_, s| now < s.last + REMEMBERED);
        while self.suspects.len() >= MOST_REMEMBERED {
            let oldest = self.suspects.iter().min_by_key(|(_, s)| s.last);
            let Some(oldest) = oldest.map(|(f, _)| *f) else {
                return;
            };
            self.suspects.remove(&oldest);
        }
    }
}
