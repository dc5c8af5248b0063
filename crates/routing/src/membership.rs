//! Which instances there are, which of them can be reached, and who speaks for an availability
//! zone; see `docs/design/platform.md`.

use std::collections::BTreeMap;
use std::time::Duration;

use smol_str::SmolStr;

/// Shortest time between two reports to each peer of a zone.
const MIN_INTERVAL: Duration = Duration::from_millis(150);

/// Time between two reports for each peer of the zone, so that a large zone is not flooded.
const INTERVAL_A_PEER: Duration = Duration::from_millis(12);

/// Longest time between two reports: of two in a row one may be lost, and the peer still counts as
/// reachable.
const MAX_INTERVAL: Duration = Duration::from_millis(550);

/// Returns the time between two reports to each of the peers of a zone.
pub fn report_interval(peers: usize) -> Duration {
    let spread = INTERVAL_A_PEER * u32::try_from(peers).unwrap_or(u32::MAX / 1000);
    spread.clamp(MIN_INTERVAL, MAX_INTERVAL)
}

/// Silence after which a peer counts as not reachable.
const SILENT_AFTER: Duration = Duration::from_millis(1200);

/// Silence after which a peer no longer counts as a part of the fleet.
const GONE_AFTER: Duration = Duration::from_secs(30);

/// Silence after which a zone's digest says nothing any more.
const DIGEST_FRESH: Duration = Duration::from_millis(2000);

/// Silence after which another instance may speak for a zone.
const SPEAKER_SILENT: Duration = Duration::from_millis(800);

/// An instance as it is registered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// Address for callers.
    pub caller_address: SmolStr,
    /// Address for messages between instances.
    pub peer_address: SmolStr,
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

/// What the speaker of another availability zone says of it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ZoneDigest {
    /// The instance that speaks.
    pub delegate: SmolStr,
    /// Its address for messages between instances.
    pub address: SmolStr,
    /// Instances of the zone, and how many of them are reachable there.
    pub size: usize,
    /// Instances that are reachable in the zone.
    pub reachable: usize,
    /// Addresses for callers of the instances that take requests.
    pub ready: Vec<SmolStr>,
}

#[derive(Clone, Debug)]
struct Peer {
    member: Member,
    status: Option<MemberStatus>,
    /// When it was last heard or registered.
    heard: Duration,
}

#[derive(Clone, Debug)]
struct Zone {
    digest: ZoneDigest,
    heard: Duration,
}

/// What a message of a peer changes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReportOutcome {
    /// The peer's process is the one that was known.
    Known,
    /// The peer was not known.
    New,
    /// The peer has been started anew.
    Restarted,
    /// The message is of a process that has ended.
    Outdated,
}

/// The other instances of the fleet, and what other zones say of theirs.
#[derive(Debug, Default)]
pub struct Membership {
    name: SmolStr,
    zone: SmolStr,
    peers: BTreeMap<SmolStr, Peer>,
    zones: BTreeMap<SmolStr, Zone>,
}

impl Membership {
    /// Makes the membership of an instance that knows no other.
    pub fn new(name: SmolStr, zone: SmolStr) -> Self {
        Self {
            name,
            zone,
            ..Self::default()
        }
    }

    /// Takes in a registration.
    pub fn register(&mut self, now: Duration, name: SmolStr, member: Member) {
        match self.peers.get_mut(&name) {
            Some(peer) => peer.member = member,
            None => {
                let peer = Peer {
                    member,
                    status: None,
                    heard: now,
                };
                self.peers.insert(name, peer);
            }
        }
    }

    /// Removes an instance that has left.
    pub fn remove(&mut self, name: &str) {
        self.peers.remove(name);
    }

    /// Takes in a message of a peer.
    pub fn record_report(
        &mut self,
        now: Duration,
        name: &SmolStr,
        member: Member,
        status: MemberStatus,
    ) -> ReportOutcome {
        let known = self.peers.get(name);
        let is_reachable = known.is_some_and(|p| p.is_reachable(now));
        let before = known.and_then(|p| p.status);
        let heard = match before {
            None => ReportOutcome::New,
            // Starts are told apart by the time of day, which may have been set back: the message
            // is of a process that has ended only while a later one is heard.
            Some(b) if b.incarnation > status.incarnation && is_reachable => {
                return ReportOutcome::Outdated;
            }
            Some(b) if b.incarnation != status.incarnation => ReportOutcome::Restarted,
            Some(_) => ReportOutcome::Known,
        };
        let peer = Peer {
            member,
            status: Some(status),
            heard: now,
        };
        self.peers.insert(name.clone(), peer);
        heard
    }

    /// Takes in a digest of another zone; false if another instance speaks for that zone.
    pub fn record_digest(&mut self, now: Duration, zone: &SmolStr, digest: ZoneDigest) -> bool {
        if *zone == self.zone {
            return false;
        }
        let other_speaks = self.zones.get(zone).is_some_and(|z| {
            z.digest.delegate != digest.delegate && now < z.heard + SPEAKER_SILENT
        });
        if other_speaks {
            return false;
        }
        let heard = Zone { digest, heard: now };
        self.zones.insert(zone.clone(), heard);
        true
    }

    /// Returns the addresses for messages of the peers in this zone that may be there.
    pub fn zone_peer_addresses(&self, now: Duration) -> impl Iterator<Item = &SmolStr> {
        self.peers
            .values()
            .filter(move |p| p.member.zone == self.zone && p.is_there(now))
            .map(|p| &p.member.peer_address)
    }

    /// Returns to whom a digest for another zone goes: its speaker, or else some of its instances.
    pub fn digest_targets(&self, now: Duration, most: usize) -> Vec<SmolStr> {
        let mut targets = Vec::new();
        for zone in self.other_zones() {
            let fresh = self.zones.get(&zone).filter(|z| z.is_fresh(now));
            if let Some(fresh) = fresh {
                targets.push(fresh.digest.address.clone());
            }
            let others = self.peers.values().filter(|p| p.member.zone == zone);
            let addresses = others
                .filter(|p| p.is_there(now))
                .map(|p| p.member.peer_address.clone());
            let missing = if fresh.is_some() { 0 } else { most };
            targets.extend(addresses.take(missing));
        }
        targets
    }

    /// Position of this instance among the reachable ones of its zone; 0 speaks for the zone.
    pub fn rank(&self, now: Duration) -> usize {
        self.peers
            .iter()
            .filter(|(_, p)| p.member.zone == self.zone && p.is_reachable(now))
            .filter(|(name, _)| **name < self.name)
            .count()
    }

    /// Whether this instance's zone is the first of those that are heard.
    pub fn is_first_zone(&self, now: Duration) -> bool {
        let heard = self.zones.iter().filter(|(_, z)| z.is_fresh(now));
        heard.map(|(zone, _)| zone).all(|zone| self.zone < *zone)
    }

    /// Whether this instance speaks for the first zone, and so has the duties that one instance of
    /// the fleet should have.
    pub fn is_fleet_delegate(&self, now: Duration) -> bool {
        self.rank(now) == 0 && self.is_first_zone(now)
    }

    /// Returns the addresses for callers of the instances that take requests, this one left out.
    pub fn ready_addresses(&self, now: Duration) -> Vec<SmolStr> {
        let near = self
            .peers
            .values()
            .filter(|p| p.member.zone == self.zone && p.is_reachable(now))
            .filter(|p| p.status.is_some_and(|s| s.is_ready))
            .map(|p| p.member.caller_address.clone());
        let fresh = self.zones.values().filter(|z| z.is_fresh(now));
        let far = fresh.flat_map(|z| z.digest.ready.iter().cloned());
        near.chain(far).collect()
    }

    /// Returns the ready instances of this zone, this one left out.
    pub fn ready_zone_addresses(&self, now: Duration) -> Vec<SmolStr> {
        self.peers
            .values()
            .filter(|p| p.member.zone == self.zone && p.is_reachable(now))
            .filter(|p| p.status.is_some_and(|s| s.is_ready))
            .map(|p| p.member.caller_address.clone())
            .collect()
    }

    /// Returns the names of the peers of this zone that are heard.
    pub fn reachable_peers(&self, now: Duration) -> impl Iterator<Item = &SmolStr> {
        let near = self.peers.iter();
        near.filter(move |(_, p)| p.member.zone == self.zone && p.is_reachable(now))
            .map(|(name, _)| name)
    }

    /// Returns the other zones whose speakers are heard.
    pub fn reachable_zones(&self, now: Duration) -> impl Iterator<Item = &SmolStr> {
        let fresh = self.zones.iter().filter(move |(_, z)| z.is_fresh(now));
        fresh.map(|(zone, _)| zone)
    }

    /// Number of instances in this zone, this one included.
    pub fn zone_size(&self, now: Duration) -> usize {
        1 + self.zone_peer_addresses(now).count()
    }

    /// Number of instances in this zone that are heard, this one included.
    pub fn zone_reachable(&self, now: Duration) -> usize {
        let near = self.peers.values().filter(|p| p.member.zone == self.zone);
        1 + near.filter(|p| p.is_reachable(now)).count()
    }

    /// Number of instances in the fleet, this one included.
    pub fn fleet_size(&self, now: Duration) -> usize {
        let far = self.other_zones().into_iter();
        self.zone_size(now) + far.map(|zone| self.size_of(now, &zone)).sum::<usize>()
    }

    /// Which part of the fleet hears each other, this instance included.
    pub fn reachable_share(&self, now: Duration) -> f64 {
        let fresh = self.zones.values().filter(|z| z.is_fresh(now));
        let far: usize = fresh.map(|z| z.digest.reachable).sum();
        let heard = self.zone_reachable(now) + far;
        (heard as f64 / self.fleet_size(now) as f64).min(1.0)
    }

    fn size_of(&self, now: Duration, zone: &str) -> usize {
        let said = self.zones.get(zone);
        if let Some(said) = said.filter(|z| now < z.heard + GONE_AFTER) {
            return said.digest.size;
        }
        let registered = self.peers.values().filter(|p| p.member.zone == zone);
        registered.filter(|p| p.is_there(now)).count()
    }

    fn other_zones(&self) -> Vec<SmolStr> {
        let registered = self.peers.values().map(|p| &p.member.zone);
        let mut zones: Vec<SmolStr> = registered.chain(self.zones.keys()).cloned().collect();
        zones.sort();
        zones.dedup();
        zones.retain(|zone| *zone != self.zone);
        zones
    }
}

impl Peer {
    fn is_there(&self, now: Duration) -> bool {
        now < self.heard + GONE_AFTER
    }

    fn is_reachable(&self, now: Duration) -> bool {
        self.status.is_some() && now < self.heard + SILENT_AFTER
    }
}

impl Zone {
    fn is_fresh(&self, now: Duration) -> bool {
        now < self.heard + DIGEST_FRESH
    }
}
