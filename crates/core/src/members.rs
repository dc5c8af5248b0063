//! Which instances are alive, from the platform's list and from heartbeats.

use std::collections::BTreeMap;
use std::time::Duration;

use jacinthlever_types::{InstanceId, ListState, MemberStatus};

use crate::Directory;

/// Silence after which an instance of a small fleet counts as dead, in heartbeats.
const DEAD_BEATS: u32 = 3;

/// Silence after which an instance of a large fleet counts as dead, as gossip takes its time.
const DEAD_AFTER_LARGE: Duration = Duration::from_millis(2_500);

/// Pause between two heartbeats in a fleet too large for a full mesh.
const BEAT_LARGE: Duration = Duration::from_millis(500);

/// Time during which a newly listed instance counts as alive without having been heard.
const GRACE: Duration = Duration::from_secs(3);

/// Peers that get heartbeats directly in a fleet too large for a full mesh.
const NEIGHBOURS: usize = 8;

/// Members that one heartbeat tells of beside its sender.
const GOSSIP_MEMBERS: usize = 12;

#[derive(Debug)]
struct Member {
    status: MemberStatus,
    heard: Duration,
    /// Set when the link to it broke, until it is heard again.
    lost: bool,
}

/// Liveness of the fleet as one instance sees it.
#[derive(Debug)]
pub struct Members {
    members: BTreeMap<InstanceId, Member>,
    /// When a listed instance was first seen in the list.
    listed: BTreeMap<InstanceId, Duration>,
    /// Instances that count as alive and take new work, the own one included.
    active: Vec<InstanceId>,
    /// Gossip goes round the members from here.
    cursor: usize,
    /// Pause between two heartbeats of a small fleet.
    beat: Duration,
}

impl Members {
    /// Makes an empty fleet whose instances send heartbeats at a pace.
    pub fn new(beat: Duration) -> Self {
        Self {
            members: BTreeMap::new(),
            listed: BTreeMap::new(),
            active: Vec::new(),
            cursor: 0,
            beat,
        }
    }

    /// Takes in what a heartbeat tells of one member.
    pub fn hear(&mut self, status: MemberStatus, now: Duration) {
        let known = self.members.get(&status.instance);
        let is_news = known.is_none_or(|known| {
            (status.incarnation, status.heartbeat)
                > (known.status.incarnation, known.status.heartbeat)
        });
        if is_news {
            self.members.insert(
                status.instance.clone(),
                Member {
                    status,
                    heard: now,
                    lost: false,
                },
            );
        }
    }

    /// Takes in that the link to a member broke: it counts as dead until it is heard again.
    ///
    /// A process that dies resets its connections, so this is how its death shows first.
    pub fn lose(&mut self, id: &InstanceId) {
        if let Some(member) = self.members.get_mut(id) {
            member.lost = true;
        }
    }

    /// Returns the pause between two heartbeats.
    pub fn beat_every(&self, least: Duration) -> Duration {
        if self.is_large() {
            least.max(BEAT_LARGE)
        } else {
            least
        }
    }

    /// Returns the silence after which an instance counts as dead.
    pub fn dead_after(&self) -> Duration {
        if self.is_large() {
            DEAD_AFTER_LARGE
        } else {
            self.beat * DEAD_BEATS
        }
    }

    fn is_large(&self) -> bool {
        self.listed.len() > NEIGHBOURS + 1
    }

    /// Recomputes which instances are active; returns those that became silent and heard again.
    pub fn refresh(
        &mut self,
        own: &MemberStatus,
        directory: &Directory,
        now: Duration,
    ) -> (Vec<InstanceId>, Vec<InstanceId>) {
        self.note_listed(directory, now);
        let mut active: Vec<InstanceId> = self
            .listed
            .keys()
            .filter(|id| self.takes_work(id, directory, now))
            .cloned()
            .collect();
        active.retain(|id| *id != own.instance);
        if !own.draining {
            active.push(own.instance.clone());
        }
        active.sort();
        let silent = self
            .active
            .iter()
            .filter(|id| !active.contains(id))
            .cloned()
            .collect();
        let heard = active
            .iter()
            .filter(|id| !self.active.contains(id))
            .cloned()
            .collect();
        self.active = active;
        (silent, heard)
    }

    /// Returns the active instances, sorted.
    pub fn active(&self) -> &[InstanceId] {
        &self.active
    }

    /// Whether an instance is active.
    pub fn is_active(&self, id: &InstanceId) -> bool {
        self.active.binary_search(id).is_ok()
    }

    /// Whether an instance was heard lately, draining or not.
    pub fn is_heard(&self, id: &InstanceId, now: Duration) -> bool {
        self.members
            .get(id)
            .is_some_and(|member| self.is_fresh(member, now))
    }

    /// Whether enough listed instances are heard to count as the larger part of the fleet.
    pub fn hears_majority(&self, own: &InstanceId, now: Duration) -> bool {
        // An instance that has drained serves nobody, so nothing hangs on what it knows.
        let others = self
            .listed
            .keys()
            .filter(|id| *id != own && !self.has_drained(id));
        let heard = others.clone().filter(|id| self.is_heard(id, now)).count();
        2 * (heard + 1) > others.count() + 1
    }

    /// Returns the status of every member ever heard.
    pub fn statuses(&self) -> impl Iterator<Item = (&MemberStatus, Duration)> {
        self.members
            .values()
            .map(|member| (&member.status, member.heard))
    }

    /// Returns the incarnation of a member last heard.
    pub fn incarnation(&self, id: &InstanceId) -> Option<u64> {
        self.members.get(id).map(|member| member.status.incarnation)
    }

    /// Returns the peers that get heartbeats: all of a small fleet, ring neighbours of a large one.
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

    /// Returns members to tell of in the next heartbeat, going round all that are heard.
    pub fn gossip(&mut self, now: Duration) -> Vec<MemberStatus> {
        let fresh: Vec<&Member> = self
            .members
            .values()
            .filter(|member| self.is_fresh(member, now))
            .collect();
        let count = fresh.len().min(GOSSIP_MEMBERS);
        let picked = (0..count)
            .map(|i| fresh[(self.cursor + i) % fresh.len()].status.clone())
            .collect();
        self.cursor = if fresh.is_empty() {
            0
        } else {
            (self.cursor + count) % fresh.len()
        };
        picked
    }

    fn note_listed(&mut self, directory: &Directory, now: Duration) {
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
        !member.lost && now < member.heard + self.dead_after()
    }

    fn has_drained(&self, id: &InstanceId) -> bool {
        self.members
            .get(id)
            .is_some_and(|member| member.status.draining)
    }

    fn takes_work(&self, id: &InstanceId, directory: &Directory, now: Duration) -> bool {
        let entry = directory.get(id.as_str());
        if entry.is_none_or(|entry| entry.state == ListState::Leaving) {
            return false;
        }
        match self.members.get(id) {
            Some(member) => !member.status.draining && self.is_fresh(member, now),
            None => self
                .listed
                .get(id)
                .is_some_and(|since| now < *since + GRACE),
        }
    }
}
