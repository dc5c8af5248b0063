//! Which instances there are, and which of them can be reached.

use std::collections::BTreeMap;
use std::time::Duration;

use smol_str::SmolStr;

/// Silence after which a peer counts as not reachable.
const SILENT_AFTER: Duration = Duration::from_millis(1200);

/// Silence after which a peer no longer counts as a part of the fleet.
const GONE_AFTER: Duration = Duration::from_secs(30);

/// An instance as it is registered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// Address for callers.
    pub callers: SmolStr,
    /// Address for messages between instances.
    pub peers: SmolStr,
    /// Availability zone.
    pub zone: SmolStr,
}

/// What an instance says of itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemberStatus {
    /// Start of the process, in milliseconds of Unix time.
    pub incarnation: u64,
    /// Whether it takes requests.
    pub is_ready: bool,
}

#[derive(Clone, Debug)]
struct Peer {
    member: Member,
    status: Option<MemberStatus>,
    /// When it was last heard or registered.
    heard: Duration,
}

/// The other instances of the fleet.
#[derive(Debug, Default)]
pub struct Membership {
    peers: BTreeMap<SmolStr, Peer>,
}

impl Membership {
    /// Takes in a registration.
    pub fn registered(&mut self, now: Duration, name: SmolStr, member: Member) {
        match self.peers.get_mut(&name) {
            Some(peer) => peer.member = member,
            None => {
                self.peers.insert(
                    name,
                    Peer {
                        member,
                        status: None,
                        heard: now,
                    },
                );
            }
        }
    }

    /// Removes an instance that has left.
    pub fn left(&mut self, name: &str) {
        self.peers.remove(name);
    }

    /// Takes in a message of a peer; true if the peer's process is another one than before.
    pub fn heard(
        &mut self,
        now: Duration,
        name: &SmolStr,
        member: Member,
        status: MemberStatus,
    ) -> bool {
        let before = self.peers.get(name).and_then(|p| p.status);
        // A late datagram of an ended process says nothing of the one that runs.
        if before.is_some_and(|b| b.incarnation > status.incarnation) {
            return false;
        }
        let peer = Peer {
            member,
            status: Some(status),
            heard: now,
        };
        self.peers.insert(name.clone(), peer);
        before.is_some_and(|b| b.incarnation != status.incarnation)
    }

    /// Returns the addresses for messages of all peers that may be there.
    pub fn peer_addresses(&self, now: Duration) -> impl Iterator<Item = &SmolStr> {
        self.peers
            .values()
            .filter(move |p| now < p.heard + GONE_AFTER)
            .map(|p| &p.member.peers)
    }

    /// Returns the peers that take requests now.
    pub fn ready(&self, now: Duration) -> impl Iterator<Item = &Member> {
        self.peers
            .values()
            .filter(move |p| p.is_reachable(now) && p.status.is_some_and(|s| s.is_ready))
            .map(|p| &p.member)
    }

    /// Number of instances in the fleet, this one included.
    pub fn fleet_size(&self, now: Duration) -> usize {
        let there = |p: &&Peer| now < p.heard + GONE_AFTER;
        1 + self.peers.values().filter(there).count()
    }

    /// Number of peers that this instance hears.
    pub fn reachable(&self, now: Duration) -> usize {
        self.peers.values().filter(|p| p.is_reachable(now)).count()
    }

    /// Which part of the fleet hears each other, this instance included.
    pub fn reachable_share(&self, now: Duration) -> f64 {
        (1 + self.reachable(now)) as f64 / self.fleet_size(now) as f64
    }
}

impl Peer {
    fn is_reachable(&self, now: Duration) -> bool {
        self.status.is_some() && now < self.heard + SILENT_AFTER
    }
}
