//! Membership of the fleet, from the platform's list and from heartbeats.

use std::collections::BTreeMap;
use std::time::Duration;

use jacinthlever_types::{InstanceId, ListState, MemberStatus};

use crate::Directory;

/// Missed heartbeats after which an instance of a small fleet counts as dead.
const DEAD_AFTER_HEARTBEATS: u32 = 3;

/// Time without a heartbeat after which an instance of a large fleet counts as dead.
///
/// It is longer than in a small fleet since gossip takes several hops.
const DEAD_AFTER_LARGE: Duration = Duration::from_millis(2_500);

/// Interval between heartbeats in a fleet too large for a full mesh.
const HEARTBEAT_INTERVAL_LARGE: Duration = Duration::from_millis(500);

/// Time for which a newly listed instance counts as alive without a heartbeat.
const NEW_INSTANCE_GRACE: Duration = Duration::from_secs(3);

/// Peers that an instance sends heartbeats to in a fleet too large for a full mesh.
const NEIGHBOURS: usize = 8;

/// Maximum number of members that one heartbeat reports besides its sender.
const MAX_GOSSIP_MEMBERS: usize = 12;

#[derive(Debug)]
struct Member {
    status: MemberStatus,
    last_heartbeat: Duration,
    /// Set when the link to the member broke, until its next heartbeat.
    lost: bool,
}

/// Liveness of the fleet's instances as one instance sees it.
#[derive(Debug)]
pub struct Members {
    members: BTreeMap<InstanceId, Member>,
    /// Time at which each listed instance was first seen in the list.
    listed: BTreeMap<InstanceId, Duration>,
    /// Instances that count as alive and accept new work, including the local one.
    active: Vec<InstanceId>,
    /// Index of the first member that the next heartbeat reports.
    gossip_cursor: usize,
    /// Interval between heartbeats in a small fleet.
    heartbeat_interval: Duration,
}

impl Members {
    /// Creates an empty fleet.
    ///
    /// In a small fleet, instances send heartbeats at `heartbeat_interval`.
    pub fn new(heartbeat_interval: Duration) -> Self {
        Self {
            members: BTreeMap::new(),
            listed: BTreeMap::new(),
            active: Vec::new(),
            gossip_cursor: 0,
            heartbeat_interval,
        }
    }

    /// Records the status of one member from a heartbeat, unless a newer one is known.
    pub fn record_heartbeat(&mut self, status: MemberStatus, now: Duration) {
        let known = self.members.get(&status.instance);
        let is_newer = known.is_none_or(|known| {
            (status.incarnation, status.heartbeat)
                > (known.status.incarnation, known.status.heartbeat)
        });
        if is_newer {
            self.members.insert(
                status.instance.clone(),
                Member {
                    status,
                    last_heartbeat: now,
                    lost: false,
                },
            );
        }
    }

    /// Marks a member as dead until its next heartbeat, because the link to it broke.
    ///
    /// A process that dies resets its connections, so a broken link is its earliest sign.
    pub fn mark_lost(&mut self, id: &InstanceId) {
        if let Some(member) = self.members.get_mut(id) {
            member.lost = true;
        }
    }

    /// Returns the interval between heartbeats, which is at least `min`.
    pub fn heartbeat_interval(&self, min: Duration) -> Duration {
        if self.is_large() {
            min.max(HEARTBEAT_INTERVAL_LARGE)
        } else {
            min
        }
    }

    /// Returns the time without a heartbeat after which an instance counts as dead.
    pub fn dead_after(&self) -> Duration {
        if self.is_large() {
            DEAD_AFTER_LARGE
        } else {
            self.heartbeat_interval * DEAD_AFTER_HEARTBEATS
        }
    }

    fn is_large(&self) -> bool {
        self.listed.len() > NEIGHBOURS + 1
    }

    /// Recomputes which instances are active; returns those that became inactive, and those that
    /// became active.
    pub fn refresh(
        &mut self,
        own: &MemberStatus,
        directory: &Directory,
        now: Duration,
    ) -> (Vec<InstanceId>, Vec<InstanceId>) {
        self.update_listed(directory, now);
        let mut active: Vec<InstanceId> = self
            .listed
            .keys()
            .filter(|id| self.accepts_work(id, directory, now))
            .cloned()
            .collect();
        active.retain(|id| *id != own.instance);
        if !own.draining {
            active.push(own.instance.clone());
        }
        active.sort();
        let inactive = self
            .active
            .iter()
            .filter(|id| !active.contains(id))
            .cloned()
            .collect();
        let newly_active = active
            .iter()
            .filter(|id| !self.active.contains(id))
            .cloned()
            .collect();
        self.active = active;
        (inactive, newly_active)
    }

    /// Returns the active instances, sorted.
    pub fn active(&self) -> &[InstanceId] {
        &self.active
    }

    /// Whether an instance is active.
    pub fn is_active(&self, id: &InstanceId) -> bool {
        self.active.binary_search(id).is_ok()
    }

    /// Whether a heartbeat of an instance arrived recently; a draining instance counts too.
    pub fn is_reachable(&self, id: &InstanceId, now: Duration) -> bool {
        self.members
            .get(id)
            .is_some_and(|member| self.is_fresh(member, now))
    }

    /// Whether the local instance and the instances it can reach are a majority of the fleet.
    pub fn reaches_majority(&self, own: &InstanceId, now: Duration) -> bool {
        // A draining instance serves no callers, so it does not matter which configuration it has, and
        // it is not counted.
        let others = self
            .listed
            .keys()
            .filter(|id| *id != own && !self.is_draining(id));
        let reachable = others
            .clone()
            .filter(|id| self.is_reachable(id, now))
            .count();
        2 * (reachable + 1) > others.count() + 1
    }

    /// Returns every known member's latest status with the time at which it was received.
    pub fn statuses(&self) -> impl Iterator<Item = (&MemberStatus, Duration)> {
        self.members
            .values()
            .map(|member| (&member.status, member.last_heartbeat))
    }

    /// Returns the latest known incarnation of a member.
    pub fn incarnation(&self, id: &InstanceId) -> Option<u64> {
        self.members.get(id).map(|member| member.status.incarnation)
    }

    /// Returns the peers to send heartbeats to: all in a small fleet, ring neighbours in a large
    /// one.
    pub fn neighbours(&self, own: &InstanceId) -> Vec<InstanceId> {
        let others: Vec<&InstanceId> = self.listed.keys().filter(|id| *id != own).collect();
        if others.len() <= NEIGHBOURS {
            return others.into_iter().cloned().collect();
        }
        let after = others.partition_point(|id| *id < own);
        let step = others.len() / NEIGHBOURS;
        (0..NEIGHBOURS)
            .map(|i| others[(after + i * step) % others.len()].clone())
            .collect()
    }

    /// Returns the members to report in the next heartbeat, cycling through all reachable ones.
    pub fn gossip(&mut self, now: Duration) -> Vec<MemberStatus> {
        let fresh: Vec<&Member> = self
            .members
            .values()
            .filter(|member| self.is_fresh(member, now))
            .collect();
        let count = fresh.len().min(MAX_GOSSIP_MEMBERS);
        let picked = (0..count)
            .map(|i| fresh[(self.gossip_cursor + i) % fresh.len()].status.clone())
            .collect();
        self.gossip_cursor = if fresh.is_empty() {
            0
        } else {
            (self.gossip_cursor + count) % fresh.len()
        };
        picked
    }

    fn update_listed(&mut self, directory: &Directory, now: Duration) {
        let ids: Vec<InstanceId> = directory
            .instances()
            .map(|entry| InstanceId(entry.id.clone()))
            .collect();
        self.listed.retain(|id, _| ids.contains(id));
        for id in ids {
            self.listed.entry(id).or_insert(now);
        }
    }

    fn is_fresh(&self, member: &Member, now: Duration) -> bool {
        !member.lost && now < member.last_heartbeat + self.dead_after()
    }

    fn is_draining(&self, id: &InstanceId) -> bool {
        self.members
            .get(id)
            .is_some_and(|member| member.status.draining)
    }

    fn accepts_work(&self, id: &InstanceId, directory: &Directory, now: Duration) -> bool {
        let entry = directory.get(id.as_str());
        if entry.is_none_or(|entry| entry.state == ListState::Leaving) {
            return false;
        }
        match self.members.get(id) {
            Some(member) => !member.status.draining && self.is_fresh(member, now),
            None => self
                .listed
                .get(id)
                .is_some_and(|since| now < *since + NEW_INSTANCE_GRACE),
        }
    }
}
