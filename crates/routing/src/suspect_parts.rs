//! Parts of prompts that are suspected of crashing the servers that answer them.
//!
//! Design: `docs/design/poison-requests.md`.

use std::cmp::Reverse;
use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::PromptPart;

/// Number of crashes, one after the other, at which a part is quarantined.
const QUARANTINE_CRASHES: usize = 3;

/// Time for which a part is remembered after its last crash or answer.
const RETENTION: Duration = Duration::from_secs(600);

/// Time for which a change is repeated to peers, so that a few lost messages do no harm.
const SHARE_PERIOD: Duration = Duration::from_millis(2000);

/// Difference of times that the transit of messages explains, since these carry ages.
const AGE_TOLERANCE: Duration = Duration::from_millis(50);

/// Maximum number of suspect parts; the one that changed longest ago is evicted first.
const MAX_SUSPECTS: usize = 256;

/// Maximum number of parts whose last answer is remembered; the oldest is evicted first.
const MAX_ANSWERED: usize = 4096;

/// Maximum number of parts in one message to peers.
const MAX_SHARED: usize = 24;

/// Maximum number of crashes of one part that are remembered; further ones change nothing.
const MAX_CRASHES: usize = 64;

/// Maximum number of crashes of one part in a message to peers, and in the store.
const MAX_SHARED_CRASHES: usize = 8;

/// Identifies the process of a server that crashed.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct CrashId(pub u64);

/// A crash of a server, and the run of a request that it ended; both are times or ages.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Crash {
    /// The process that crashed.
    pub id: CrashId,
    /// When the request was sent to it.
    pub sent: Duration,
    /// When it crashed.
    pub ended: Duration,
}

/// What an instance knows of a suspect part, for its peers and the store. Ages are relative, since
/// the clocks of instances differ.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PartEvidence {
    /// The part.
    pub part: PromptPart,
    /// Crashes that no answer has refuted, with their ages.
    pub crashes: Vec<Crash>,
    /// How long ago a prompt with the part was last answered; `None` if that is unknown.
    pub answered: Option<Duration>,
}

/// Parts that every server crash of a set has in common, as far as is known. Only requests with all
/// of them are refused, since any of them may be the cause.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct QuarantinedParts {
    /// The parts, in order.
    pub parts: Vec<PromptPart>,
    /// Number of servers that crashed.
    pub crashes: usize,
}

impl PartEvidence {
    /// Whether it is too old to matter.
    pub fn is_expired(&self) -> bool {
        let crashes = self.crashes.iter().map(|c| c.ended);
        crashes.chain(self.answered).all(|age| age >= RETENTION)
    }
}

/// Returns the time at which something of an age happened, at a distance from the start of the
/// process that leaves room for what happened before it.
fn time_of(now: Duration, age: Duration) -> Duration {
    (now + RETENTION).saturating_sub(age)
}

/// Crashes by process, with the time of the latest send to it and the time of its end.
type Crashes = BTreeMap<CrashId, (Duration, Duration)>;

#[derive(Clone, Debug, Default)]
struct Suspect {
    /// When each server crashed, as far as no answer has refuted it; see [`time_of`], also for the
    /// other times.
    crashes: Crashes,
    answered: Option<Duration>,
    changed: Duration,
    /// Whether this instance has seen a crash or an answer itself.
    is_own: bool,
}

impl Suspect {
    fn forget_refuted(&mut self) {
        let answered = self.answered;
        self.crashes
            .retain(|_, (_, ended)| answered.is_none_or(|a| a < *ended));
    }

    fn last_time(&self) -> Duration {
        let last_crash = self.crashes.values().map(|(_, ended)| *ended).max();
        last_crash.max(self.answered).unwrap_or_default()
    }
}

/// The parts of prompts that were being answered when servers crashed.
///
/// One part may crash every server that begins to answer a prompt with it, whatever else the request
/// holds, so requests with it are never equal and [`crate::SuspectRequests`] does not find them. A
/// part is exonerated by any answer, so parts that sound requests use are cleared quickly.
#[derive(Debug, Default)]
pub struct SuspectParts {
    suspects: BTreeMap<PromptPart, Suspect>,
    /// When this instance last saw a prompt with a part answered.
    answered: BTreeMap<PromptPart, Duration>,
    quarantined: Vec<QuarantinedParts>,
}

impl SuspectParts {
    /// Records that a server crashed, at a time of this instance, before it had answered a prompt
    /// with these parts. Returns whether that changed what is known.
    pub fn record_crash(&mut self, now: Duration, crash: Crash, parts: &[PromptPart]) -> bool {
        let age = Crash {
            sent: now.saturating_sub(crash.sent),
            ended: now.saturating_sub(crash.ended),
            ..crash
        };
        let mut has_changed = false;
        for part in parts {
            let evidence = PartEvidence {
                part: *part,
                crashes: vec![age],
                answered: None,
            };
            has_changed |= self.merge_part(now, &evidence);
            if let Some(suspect) = self.suspects.get_mut(part) {
                suspect.is_own = true;
            }
        }
        if has_changed {
            self.judge();
        }
        has_changed
    }

    /// Records that a prompt with these parts was answered. Returns whether that clears a suspicion.
    pub fn record_answer(&mut self, now: Duration, parts: &[PromptPart]) -> bool {
        let now = time_of(now, Duration::ZERO);
        let mut has_changed = false;
        for part in parts {
            self.answered.insert(*part, now);
            if let Some(suspect) = self.suspects.get_mut(part)
                && !suspect.crashes.is_empty()
            {
                suspect.answered = Some(now);
                suspect.forget_refuted();
                suspect.changed = now;
                suspect.is_own = true;
                has_changed = true;
            }
        }
        while self.answered.len() > MAX_ANSWERED {
            let oldest = self.answered.iter().min_by_key(|(_, at)| **at);
            let Some(oldest) = oldest.map(|(part, _)| *part) else {
                break;
            };
            self.answered.remove(&oldest);
        }
        if has_changed {
            self.judge();
        }
        has_changed
    }

    /// Merges what a peer or the store knows. Returns whether that changed what is known here.
    pub fn merge(&mut self, now: Duration, evidence: &[PartEvidence]) -> bool {
        let mut has_changed = false;
        for part in evidence {
            has_changed |= self.merge_part(now, part);
        }
        if has_changed {
            self.judge();
        }
        has_changed
    }

    fn merge_part(&mut self, now: Duration, evidence: &PartEvidence) -> bool {
        let own_answer = self.answered.get(&evidence.part).copied();
        let answered = evidence.answered.map(|age| time_of(now, age));
        let is_known = self.suspects.contains_key(&evidence.part);
        if !is_known && evidence.crashes.is_empty() {
            return false;
        }
        let suspect = self.suspects.entry(evidence.part).or_default();
        let before = (suspect.crashes.len(), suspect.answered);
        suspect.answered = suspect.answered.max(answered).max(own_answer);
        suspect.forget_refuted();
        let mut has_changed = !is_known
            || suspect.crashes.len() != before.0
            || (before.1.is_none() && suspect.answered.is_some());
        for crash in &evidence.crashes {
            let (sent, ended) = (time_of(now, crash.sent), time_of(now, crash.ended));
            let is_refuted = suspect.answered.is_some_and(|answered| answered >= ended);
            let is_expired = crash.ended >= RETENTION;
            if is_refuted || is_expired || suspect.crashes.len() >= MAX_CRASHES {
                continue;
            }
            match suspect.crashes.entry(crash.id) {
                Entry::Vacant(entry) => {
                    entry.insert((sent, ended));
                    has_changed = true;
                }
                Entry::Occupied(mut entry) => {
                    let known = &mut entry.get_mut().0;
                    if sent > *known + AGE_TOLERANCE {
                        *known = sent;
                        has_changed = true;
                    }
                }
            }
        }
        if has_changed {
            suspect.changed = time_of(now, Duration::ZERO);
        }
        has_changed
    }

    /// Whether a request with these shared parts must not be sent to any server.
    pub fn is_quarantined(&self, parts: &[PromptPart]) -> bool {
        let mut sets = self.quarantined.iter();
        sets.any(|set| set.parts.iter().all(|part| parts.contains(part)))
    }

    /// Returns the quarantined sets of parts.
    pub fn quarantined(&self) -> &[QuarantinedParts] {
        &self.quarantined
    }

    /// Returns what is known of the quarantined parts under which this instance has seen a server
    /// crash, for the store.
    pub fn own_quarantined(&self, now: Duration) -> Vec<PartEvidence> {
        let now = time_of(now, Duration::ZERO);
        let sets = self.quarantined.iter();
        let parts: BTreeSet<_> = sets.flat_map(|set| set.parts.iter().copied()).collect();
        let suspects = parts
            .iter()
            .filter_map(|p| Some((*p, self.suspects.get(p)?)));
        suspects
            .filter(|(_, s)| s.is_own)
            .map(|(p, s)| evidence(now, p, s))
            .collect()
    }

    /// Returns what changed lately, the latest changes first, for messages to peers; with `only_own`,
    /// only of parts of which this instance has seen a crash or an answer itself.
    pub fn recent(&self, now: Duration, only_own: bool) -> Vec<PartEvidence> {
        let now = time_of(now, Duration::ZERO);
        let suspects = self.suspects.iter();
        let mut recent: Vec<_> = suspects
            .filter(|(_, s)| now < s.changed + SHARE_PERIOD && (s.is_own || !only_own))
            .collect();
        recent.sort_by_key(|(_, s)| Reverse(s.changed));
        recent.truncate(MAX_SHARED);
        recent.iter().map(|(p, s)| evidence(now, **p, s)).collect()
    }

    /// Repeats what is known of quarantined parts to peers, some of which may have missed it.
    pub fn share_again(&mut self, now: Duration) {
        let now = time_of(now, Duration::ZERO);
        for set in &self.quarantined {
            for part in &set.parts {
                if let Some(suspect) = self.suspects.get_mut(part) {
                    suspect.changed = now;
                }
            }
        }
    }

    /// Forgets what has not changed for long.
    pub fn remove_expired(&mut self, now: Duration) {
        let now = time_of(now, Duration::ZERO);
        let before = self.suspects.len();
        self.suspects.retain(|_, s| now < s.last_time() + RETENTION);
        while self.suspects.len() > MAX_SUSPECTS {
            let oldest = self.suspects.iter().min_by_key(|(_, s)| s.changed);
            let Some(oldest) = oldest.map(|(part, _)| *part) else {
                break;
            };
            self.suspects.remove(&oldest);
        }
        if self.suspects.len() != before {
            self.judge();
        }
    }

    /// Finds the smallest explanation of the crashes: parts that were never answered go first, then
    /// those under which most servers crashed. Crashes that a quarantined part explains do not count
    /// against the other parts of the same prompts.
    fn judge(&mut self) {
        let suspects = self.suspects.iter();
        let mut open: BTreeMap<PromptPart, (bool, Crashes)> = suspects
            .filter(|(_, s)| !s.crashes.is_empty())
            .map(|(p, s)| (*p, (s.answered.is_some(), s.crashes.clone())))
            .collect();
        self.quarantined.clear();
        loop {
            let enough = open.iter().filter(|(_, (_, crashes))| {
                successive_crashes(crashes).0.len() >= QUARANTINE_CRASHES
            });
            let most_likely = enough
                .min_by_key(|(_, (was_answered, crashes))| (*was_answered, Reverse(crashes.len())));
            let Some((was_answered, explained)) = most_likely.map(|(_, found)| found.clone())
            else {
                break;
            };
            let is_same = |(answered, crashes): &(bool, Crashes)| {
                *answered == was_answered && crashes.keys().eq(explained.keys())
            };
            let parts = open.iter().filter(|(_, found)| is_same(found));
            self.quarantined.push(QuarantinedParts {
                parts: parts.map(|(p, _)| *p).collect(),
                crashes: explained.len(),
            });
            for (_, crashes) in open.values_mut() {
                crashes.retain(|crash, _| !explained.contains_key(crash));
            }
        }
    }
}

fn evidence(now: Duration, part: PromptPart, suspect: &Suspect) -> PartEvidence {
    let age = |at: Duration| now.saturating_sub(at);
    let (successive, others) = successive_crashes(&suspect.crashes);
    let crashes = successive.iter().chain(&others).take(MAX_SHARED_CRASHES);
    let crash_age = |crash: &Crash| Crash {
        sent: age(crash.sent),
        ended: age(crash.ended),
        ..*crash
    };
    PartEvidence {
        part,
        crashes: crashes.map(crash_age).collect(),
        answered: suspect.answered.map(age),
    }
}

/// Splits crashes into a longest series in which each request was sent after the crash before it,
/// and the others.
///
/// Servers that end at the same moment, as on the loss of a rack, are no evidence against what their
/// requests had in common.
fn successive_crashes(crashes: &Crashes) -> (Vec<Crash>, Vec<Crash>) {
    let crashes = crashes.iter().map(|(id, (sent, ended))| Crash {
        id: *id,
        sent: *sent,
        ended: *ended,
    });
    let mut sorted: Vec<Crash> = crashes.collect();
    sorted.sort_by_key(|crash| crash.ended);
    let mut last_end: Option<Duration> = None;
    sorted.into_iter().partition(|crash| {
        let is_next = last_end.is_none_or(|last| crash.sent >= last);
        if is_next {
            last_end = Some(crash.ended);
        }
        is_next
    })
}
