//! Decides when an instance sends reports and digests; see `docs/design/size.md`.

use std::time::Duration;

use crate::{Membership, report_interval};

/// Interval between digests to other zones.
const DIGEST_INTERVAL: Duration = Duration::from_millis(300);

/// Interval between attempts to send a digest to zones that are not reached: the first one should follow soon
/// after the zone's instances have heard of each other, and may be lost.
const FIRST_DIGEST_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which such attempts are made at that interval. A zone that is not reached then is probably cut
/// off, or none of its instances runs.
const FIRST_DIGESTS_PERIOD: Duration = Duration::from_secs(1);

/// What is to be sent now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DueMessages {
    /// Whether reports to the peers of the zone are due.
    pub reports: bool,
    /// Whether digests to the other zones are due.
    pub digests: bool,
}

/// When the next reports and digests are due.
///
/// Reports are rare in a large zone, since each goes to all peers. Digests have an interval of their own:
/// they go to few instances, and the other zones know nothing of this one without them.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReportSchedule {
    next_report: Duration,
    next_digest: Duration,
    /// Since when some zones are not reached; `None` if all are.
    unreached_since: Option<Duration>,
}

impl ReportSchedule {
    /// Returns what is due, and counts it as sent.
    pub fn take_due(&mut self, now: Duration, members: &Membership) -> DueMessages {
        let reports = now >= self.next_report;
        if reports {
            self.next_report = now + report_interval(members.zone_size(now));
        }
        let digests = members.is_delegate(now) && now >= self.next_digest;
        if digests {
            self.next_digest = now + self.digest_interval(now, members);
        }
        DueMessages { reports, digests }
    }

    fn digest_interval(&mut self, now: Duration, members: &Membership) -> Duration {
        if members.reaches_all_zones(now) {
            self.unreached_since = None;
            return DIGEST_INTERVAL;
        }
        let since = *self.unreached_since.get_or_insert(now);
        match now < since + FIRST_DIGESTS_PERIOD {
            true => FIRST_DIGEST_INTERVAL,
            false => DIGEST_INTERVAL,
        }
    }

    /// Returns when something may be due next.
    pub fn next(&self, now: Duration, members: &Membership) -> Duration {
        let next = match (members.is_introduced(now), members.is_delegate(now)) {
            (true, true) => self.next_report.min(self.next_digest),
            (true, false) => self.next_report,
            (false, _) => self.next_report.min(now + FIRST_DIGEST_INTERVAL),
        };
        next.max(now)
    }

    /// Makes reports and digests due at once, for news that must not wait.
    pub fn hasten(&mut self, now: Duration) {
        self.next_report = self.next_report.min(now);
        self.next_digest = self.next_digest.min(now);
    }
}
