//! Tracks the instances of the fleet, their reachability and the delegates of the availability
//! zones; see `docs/design/platform.md`.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use smol_str::SmolStr;

use crate::Forwarding;

/// Minimum time between two reports to each peer of a zone.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(150);

/// Time added to the report interval for each peer of the zone, so that the messages do not flood a
/// large zone.
const REPORT_INTERVAL_PER_PEER: Duration = Duration::from_millis(12);

/// Maximum time between two reports. Two of these intervals are shorter than
/// [`UNREACHABLE_AFTER`], so a peer still counts as reachable when one report is lost.
const MAX_REPORT_INTERVAL: Duration = Duration::from_millis(550);

/// Returns the time between two reports to each of the peers of a zone.
pub fn report_interval(peers: usize) -> Duration {
    // The limit for `u32` has no effect, since the interval is clamped.
    let interval = REPORT_INTERVAL_PER_PEER * u32::try_from(peers).unwrap_or(u32::MAX / 1000);
    interval.clamp(MIN_REPORT_INTERVAL, MAX_REPORT_INTERVAL)
}

/// Time without a report after which a peer counts as unreachable.
const UNREACHABLE_AFTER: Duration = Duration::from_millis(1200);

/// Maximum time after its start for which an instance waits for the first reports of the registered peers
/// of its zone before it acts as one that knows them. Those that started together with it need two
/// messages and a read of the registrations for that; those that are gone send none.
const INTRODUCTION_TIME: Duration = Duration::from_millis(400);

/// Time without a report after which a peer no longer counts as part of the fleet.
const REMOVED_AFTER: Duration = Duration::from_secs(30);

/// Time after which the digest of a zone is outdated.
const DIGEST_TTL: Duration = Duration::from_millis(2000);

/// Time without a digest after which another instance may become the delegate of a zone.
const DELEGATE_TIMEOUT: Duration = Duration::from_millis(800);

/// Fraction of the registered peers of a zone from which an instance waits for no others: some of them may
/// have been replaced, and their registrations not been removed yet.
const INTRODUCED_FRACTION: f64 = 0.9;

/// Number of instances that keep what is recorded under a hash.
pub const KEEPERS: usize = 3;

/// Returns the score of an instance for a hash: FNV-1a of the name, mixed with the finalizer of
/// SplitMix64.
fn rendezvous_score(hash: u64, name: &str) -> u64 {
    let mut x = 0xcbf2_9ce4_8422_2325;
    for byte in name.bytes() {
        x = (x ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    x ^= hash;
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// The registration of an instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// Address and port at which the instance accepts requests of callers.
    pub caller_address: SmolStr,
    /// Address and port at which the instance accepts messages of other instances.
    pub peer_address: SmolStr,
    /// Availability zone.
    pub zone: SmolStr,
}

/// The state that an instance reports of itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemberStatus {
    /// Start time of the process, in milliseconds of Unix time.
    pub incarnation: u64,
    /// Whether the instance accepts requests.
    pub is_ready: bool,
    /// Whether the instance forwards digests of other zones to peers that the sender names.
    pub forwards_digests: bool,
}

/// The state of another availability zone, as reported by its delegate.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ZoneDigest {
    /// Name of the instance that is the delegate of the zone.
    pub delegate: SmolStr,
    /// Address of the delegate for messages between instances.
    pub address: SmolStr,
    /// Number of instances in the zone.
    pub size: usize,
    /// Number of instances that are reachable within the zone.
    pub reachable: usize,
    /// Addresses for callers of the instances that accept requests.
    pub ready: Vec<SmolStr>,
    /// Services of which some of these instances reach no server, by the address for callers.
    pub lost: LostServices,
    /// When the delegate made the digest, in milliseconds of its clock; 0 if it did not say so. Digests
    /// come by way of different instances, so that a later one may arrive first.
    pub made_ms: u64,
}

/// Services of which instances reach no server, by the instances' addresses for callers.
pub type LostServices = BTreeMap<SmolStr, Vec<SmolStr>>;

/// The instances to which requests for a service may be passed on, by their addresses for messages.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RelayCandidates {
    /// Instances that are used first.
    pub preferred: Vec<SmolStr>,
    /// Instances that are used if no preferred one can be.
    pub others: Vec<SmolStr>,
    /// Whether ready instances were left out since their registrations are not known.
    pub is_incomplete: bool,
}

#[derive(Clone, Debug)]
struct Peer {
    member: Member,
    status: Option<MemberStatus>,
    /// Services of which the instance reaches no server.
    lost: Vec<SmolStr>,
    /// Time of the last report, or of the registration if there was no report yet.
    last_seen: Duration,
}

#[derive(Clone, Debug)]
struct Zone {
    digest: ZoneDigest,
    received_at: Duration,
}

/// The effect of a peer's report on the membership.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReportOutcome {
    /// The report is from the process that was known already.
    Known,
    /// The report is the first one of the peer.
    New,
    /// The peer has restarted.
    Restarted,
    /// The report is from a process that has ended, and was ignored.
    Outdated,
}

/// The effect of a digest of another zone on the membership.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DigestOutcome {
    /// The zone had a current digest.
    Known,
    /// The zone had no current digest.
    Regained,
    /// The digest was ignored, because another instance is the delegate of the zone, a later digest was
    /// received, or because it is this instance's own zone.
    Ignored,
}

/// The instance that performs the duties of an availability zone.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Delegate {
    /// This instance.
    Own,
    /// Another instance, with its address for messages between instances.
    Peer(SmolStr),
}

/// The other instances of the fleet and the digests of the other zones.
#[derive(Debug, Default)]
pub struct Membership {
    name: SmolStr,
    zone: SmolStr,
    peers: BTreeMap<SmolStr, Peer>,
    zones: BTreeMap<SmolStr, Zone>,
    /// All registrations of the last read of the store, also those of instances that are gone; empty
    /// before the first read.
    registered: BTreeMap<SmolStr, Member>,
    /// Whether the registrations have been read.
    is_read: bool,
}

impl Membership {
    /// Creates the membership of an instance to which no other instance is known.
    pub fn new(name: SmolStr, zone: SmolStr) -> Self {
        Self {
            name,
            zone,
            ..Self::default()
        }
    }

    /// Adds or updates the registration of an instance.
    pub fn register(&mut self, now: Duration, name: SmolStr, member: Member) {
        match self.peers.get_mut(&name) {
            Some(peer) => peer.member = member,
            None => {
                let peer = Peer {
                    member,
                    status: None,
                    lost: Vec::new(),
                    last_seen: now,
                };
                self.peers.insert(name, peer);
            }
        }
    }

    /// Sets all registrations, for [`Membership::keepers`] and [`Membership::largest_size`].
    pub fn set_registered(&mut self, registered: BTreeMap<SmolStr, Member>) {
        self.registered = registered;
        self.is_read = true;
    }

    /// Returns the addresses for messages of up to `max` other instances that keep what is recorded
    /// under a hash, the best one first.
    ///
    /// The first [`KEEPERS`] are in different zones, as far as there are so many. All instances with
    /// the same registrations return the same ones (rendezvous hashing), except that this instance is
    /// left out.
    pub fn keepers(&self, hash: u64, max: usize) -> Vec<SmolStr> {
        let local = self.peers.iter().map(|(name, peer)| (name, &peer.member));
        let mut known: BTreeMap<&SmolStr, &Member> = self.registered.iter().collect();
        known.extend(local);
        known.remove(&self.name);
        let mut ranked: Vec<(u64, &Member)> = known
            .into_iter()
            .map(|(name, member)| (rendezvous_score(hash, name), member))
            .collect();
        ranked.sort_by_key(|(score, _)| Reverse(*score));
        let mut zones = Vec::new();
        let (mut best, mut others) = (Vec::new(), Vec::new());
        for (_, member) in ranked {
            if best.len() < KEEPERS && !zones.contains(&&member.zone) {
                zones.push(&member.zone);
                best.push(member);
            } else {
                others.push(member);
            }
        }
        let keepers = best.into_iter().chain(others);
        keepers
            .take(max)
            .map(|member| member.peer_address.clone())
            .collect()
    }

    /// Removes an instance whose registration was removed.
    pub fn remove(&mut self, name: &str) {
        self.peers.remove(name);
    }

    /// Records a report of a peer.
    pub fn record_report(
        &mut self,
        now: Duration,
        name: &SmolStr,
        member: Member,
        status: MemberStatus,
    ) -> ReportOutcome {
        let known = self.peers.get(name);
        let is_reachable = known.is_some_and(|p| p.is_reachable(now));
        let previous = known.and_then(|p| p.status);
        let outcome = match previous {
            None => ReportOutcome::New,
            // Processes are distinguished by the wall-clock time of their start, and the clock may
            // have been set back. A report with an earlier start therefore counts as outdated only
            // while the process with the later start is reachable.
            Some(p) if p.incarnation > status.incarnation && is_reachable => {
                return ReportOutcome::Outdated;
            }
            Some(p) if p.incarnation != status.incarnation => ReportOutcome::Restarted,
            Some(_) => ReportOutcome::Known,
        };
        let peer = Peer {
            member,
            status: Some(status),
            lost: Vec::new(),
            last_seen: now,
        };
        self.peers.insert(name.clone(), peer);
        outcome
    }

    /// Sets the services of which a peer reaches no server, as its last report says.
    pub fn set_lost_services(&mut self, name: &str, lost: Vec<SmolStr>) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.lost = lost;
        }
    }

    /// Returns the services of which ready peers of this zone reach no server.
    pub fn zone_lost_services(&self, now: Duration) -> LostServices {
        self.ready_peers(now)
            .filter(|peer| !peer.lost.is_empty())
            .map(|peer| (peer.member.caller_address.clone(), peer.lost.clone()))
            .collect()
    }

    /// Returns the ready instances that reach servers of a service of which this instance reaches
    /// none.
    ///
    /// Those of this zone are preferred, unless fewer of its instances reach the service than do not:
    /// the requests of most of a zone are spread over the whole fleet.
    pub fn relays(&self, now: Duration, service: &str) -> RelayCandidates {
        let reaches = |lost: &[SmolStr]| !lost.iter().any(|name| name == service);
        let (reaching, others): (Vec<&Peer>, Vec<&Peer>) =
            self.ready_peers(now).partition(|peer| reaches(&peer.lost));
        let local = reaching.iter().map(|peer| peer.member.peer_address.clone());
        let mut relays = RelayCandidates {
            preferred: local.collect(),
            ..RelayCandidates::default()
        };
        let known = self.registered.values();
        let known = known.chain(self.peers.values().map(|peer| &peer.member));
        let by_caller_address: BTreeMap<&SmolStr, &SmolStr> = known
            .map(|member| (&member.caller_address, &member.peer_address))
            .collect();
        for zone in self.zones.values().filter(|z| z.is_fresh(now)) {
            let ready = zone.digest.ready.iter();
            let ready = ready.filter(|address| {
                let lost = zone.digest.lost.get(*address);
                lost.is_none_or(|lost| reaches(lost))
            });
            let before = relays.others.len();
            for address in ready {
                match by_caller_address.get(address) {
                    Some(peer) => relays.others.push((*peer).clone()),
                    None => relays.is_incomplete = true,
                }
            }
            // The delegate names its own address, so a zone that has just started has one at least.
            let delegate = &zone.digest.address;
            if relays.others.len() == before && zone.digest.lost.is_empty() {
                relays.others.push(delegate.clone());
            }
        }
        if reaching.len() <= others.len() {
            relays.preferred.append(&mut relays.others);
        }
        relays
    }

    /// Whether the instance with an address for messages is ready, as far as is known.
    pub fn is_ready_at(&self, now: Duration, peer_address: &str) -> bool {
        let relays = self.relays(now, "");
        let mut known = relays.preferred.iter().chain(&relays.others);
        known.any(|address| address == peer_address)
    }

    fn ready_peers(&self, now: Duration) -> impl Iterator<Item = &Peer> {
        let local = self.peers.values();
        local
            .filter(move |p| p.member.zone == self.zone && p.is_reachable(now))
            .filter(|p| p.status.is_some_and(|s| s.is_ready))
    }

    /// Records the digest of another zone.
    ///
    /// One delegate of a zone is accepted at a time. The first by name of those that send digests is the
    /// one on which the zone will agree, so it replaces another one at once.
    pub fn record_digest(
        &mut self,
        now: Duration,
        zone: &SmolStr,
        digest: ZoneDigest,
    ) -> DigestOutcome {
        let known = self.zones.get(zone);
        let has_other_delegate = known.is_some_and(|z| {
            z.digest.delegate < digest.delegate && now < z.received_at + DELEGATE_TIMEOUT
        });
        let is_outdated = known.is_some_and(|z| {
            z.digest.delegate == digest.delegate
                && z.is_fresh(now)
                && digest.made_ms > 0
                && digest.made_ms <= z.digest.made_ms
        });
        if *zone == self.zone || has_other_delegate || is_outdated {
            return DigestOutcome::Ignored;
        }
        let outcome = match known.is_some_and(|z| z.is_fresh(now)) {
            true => DigestOutcome::Known,
            false => DigestOutcome::Regained,
        };
        let entry = Zone {
            digest,
            received_at: now,
        };
        self.zones.insert(zone.clone(), entry);
        outcome
    }

    /// Returns the addresses for messages of the peers in this zone, including those that have been
    /// unreachable for less than 30 seconds.
    pub fn zone_peer_addresses(&self, now: Duration) -> impl Iterator<Item = &SmolStr> {
        self.peers
            .values()
            .filter(move |p| p.member.zone == self.zone && p.is_member(now))
            .map(|p| &p.member.peer_address)
    }

    /// Returns how messages reach all peers in this zone; `turn` is the number of messages that were forwarded
    /// before.
    pub fn forwarding(&self, now: Duration, turn: usize) -> Forwarding {
        let (mut able, mut unreachable, mut direct) = (Vec::new(), Vec::new(), Vec::new());
        let local = self.peers.values().filter(|p| p.member.zone == self.zone);
        for peer in local.filter(|p| p.is_member(now)) {
            let addresses = match peer.status {
                Some(status) if status.forwards_digests && peer.is_reachable(now) => &mut able,
                Some(status) if status.forwards_digests => &mut unreachable,
                _ => &mut direct,
            };
            addresses.push(peer.member.peer_address.clone());
        }
        Forwarding::plan(able, unreachable, direct, turn)
    }

    /// Returns the addresses to which the digest of this zone is sent: for each other zone that of
    /// its delegate or, if it has none, those of up to `max` of its instances.
    pub fn digest_targets(&self, now: Duration, max: usize) -> Vec<SmolStr> {
        let mut targets = Vec::new();
        for zone in self.other_zones() {
            let fresh = self.zones.get(&zone).filter(|z| z.is_fresh(now));
            if let Some(fresh) = fresh {
                targets.push(fresh.digest.address.clone());
            }
            let others = self.peers.values().filter(|p| p.member.zone == zone);
            let addresses = others
                .filter(|p| p.is_member(now))
                .map(|p| p.member.peer_address.clone());
            let limit = if fresh.is_some() { 0 } else { max };
            targets.extend(addresses.take(limit));
        }
        targets
    }

    /// Returns the position of this instance among the reachable ones of its zone, ordered by name;
    /// the instance at position 0 is the delegate of the zone.
    pub fn rank(&self, now: Duration) -> usize {
        self.peers
            .iter()
            .filter(|(_, p)| p.member.zone == self.zone && p.is_reachable(now))
            .filter(|(name, _)| **name < self.name)
            .count()
    }

    /// Returns the position that this instance will probably have in its zone: as [`Membership::rank`], but
    /// until it is introduced, registered peers count as reachable. `None` before the registrations are read.
    pub fn expected_rank(&self, now: Duration) -> Option<usize> {
        if self.is_introduced(now) {
            return Some(self.rank(now));
        }
        let before = self.peers.iter().take_while(|(name, _)| **name < self.name);
        let before = before.filter(|(_, p)| p.member.zone == self.zone);
        self.is_read.then(|| before.count())
    }

    /// Whether this instance has heard from nearly all registered peers of its zone, or has waited long
    /// enough for them. Until then its rank means little: it counts the peers that were heard. The times are
    /// those since its start.
    pub fn is_introduced(&self, now: Duration) -> bool {
        if now >= INTRODUCTION_TIME {
            return true;
        }
        if !self.is_read {
            return false;
        }
        let local = self.peers.values().filter(|p| p.member.zone == self.zone);
        let heard = local.clone().filter(|p| p.status.is_some()).count();
        heard as f64 >= INTRODUCED_FRACTION * local.count() as f64
    }

    /// Whether this instance is the delegate of its zone.
    pub fn is_delegate(&self, now: Duration) -> bool {
        self.is_introduced(now) && self.rank(now) == 0
    }

    /// Whether all other zones with registered instances have current digests.
    pub fn reaches_all_zones(&self, now: Duration) -> bool {
        let zones = self.other_zones();
        let is_fresh = |zone| self.zones.get(zone).is_some_and(|z| z.is_fresh(now));
        zones.iter().all(is_fresh)
    }

    /// Returns the delegate of a zone, or that of the first reachable zone if the zone has no
    /// current digest. Instances that reach each other agree on it, but for the time that a change
    /// takes to reach all of them.
    pub fn delegate_of(&self, now: Duration, zone: &str) -> Delegate {
        let is_reachable = zone == self.zone || self.reachable_zones(now).any(|z| z == zone);
        let first = || self.reachable_zones(now).min().min(Some(&self.zone));
        let zone = if is_reachable {
            zone
        } else {
            first().unwrap_or(&self.zone)
        };
        if let Some(other) = self.zones.get(zone).filter(|_| zone != self.zone) {
            return Delegate::Peer(other.digest.address.clone());
        }
        let mut before = self.peers.iter().take_while(|(name, _)| **name < self.name);
        before
            .find(|(_, p)| p.member.zone == self.zone && p.is_reachable(now))
            .map_or(Delegate::Own, |(_, p)| {
                Delegate::Peer(p.member.peer_address.clone())
            })
    }

    /// Whether the zone of this instance is the first by name among those with a current digest.
    pub fn is_first_zone(&self, now: Duration) -> bool {
        let fresh = self.zones.iter().filter(|(_, z)| z.is_fresh(now));
        fresh.map(|(zone, _)| zone).all(|zone| self.zone < *zone)
    }

    /// Whether this instance is the delegate of the first zone, and so performs the duties that
    /// only one instance of the fleet should perform.
    pub fn is_fleet_delegate(&self, now: Duration) -> bool {
        self.is_delegate(now) && self.is_first_zone(now)
    }

    /// Returns the addresses for callers of the other instances of the fleet that accept requests:
    /// those that reach servers of all services or, if there are none, all.
    pub fn ready_addresses(&self, now: Duration) -> Vec<SmolStr> {
        let mut lost = self.zone_lost_services(now);
        let mut ready = self.ready_zone_addresses(now);
        for zone in self.zones.values().filter(|z| z.is_fresh(now)) {
            ready.extend(zone.digest.ready.iter().cloned());
            lost.extend(zone.digest.lost.clone());
        }
        let reaching = ready.iter().filter(|address| !lost.contains_key(*address));
        let reaching: Vec<SmolStr> = reaching.cloned().collect();
        if reaching.is_empty() { ready } else { reaching }
    }

    /// Returns the addresses for callers of the other instances of this zone that accept requests.
    pub fn ready_zone_addresses(&self, now: Duration) -> Vec<SmolStr> {
        self.ready_peers(now)
            .map(|peer| peer.member.caller_address.clone())
            .collect()
    }

    /// Returns the names of the reachable peers of this zone.
    pub fn reachable_peers(&self, now: Duration) -> impl Iterator<Item = &SmolStr> {
        let local = self.peers.iter();
        local
            .filter(move |(_, p)| p.member.zone == self.zone && p.is_reachable(now))
            .map(|(name, _)| name)
    }

    /// Returns the names of the other zones with a current digest.
    pub fn reachable_zones(&self, now: Duration) -> impl Iterator<Item = &SmolStr> {
        let fresh = self.zones.iter().filter(move |(_, z)| z.is_fresh(now));
        fresh.map(|(zone, _)| zone)
    }

    /// Returns the number of instances in this zone, including this one.
    pub fn zone_size(&self, now: Duration) -> usize {
        1 + self.zone_peer_addresses(now).count()
    }

    /// Returns the number of reachable instances in this zone, including this one.
    pub fn zone_reachable(&self, now: Duration) -> usize {
        let local = self.peers.values().filter(|p| p.member.zone == self.zone);
        1 + local.filter(|p| p.is_reachable(now)).count()
    }

    /// Returns the number of instances in the fleet, including this one.
    pub fn fleet_size(&self, now: Duration) -> usize {
        let remote = self.other_zones().into_iter();
        self.zone_size(now)
            + remote
                .map(|zone| self.other_zone_size(now, &zone))
                .sum::<usize>()
    }

    /// Returns the largest number of instances that the fleet may have now, including this one: the
    /// registered ones or those that reports tell of. `None` until the registrations have been read, when
    /// few instances may be known.
    pub fn largest_size(&self, now: Duration) -> Option<usize> {
        let size = self.registered.len().max(self.fleet_size(now));
        self.is_read.then_some(size)
    }

    /// Returns the reachable fraction of the fleet, including this instance; between 0 and 1.
    pub fn reachable_share(&self, now: Duration) -> f64 {
        let fresh = self.zones.values().filter(|z| z.is_fresh(now));
        let remote: usize = fresh.map(|z| z.digest.reachable).sum();
        let reachable = self.zone_reachable(now) + remote;
        (reachable as f64 / self.fleet_size(now) as f64).min(1.0)
    }

    /// Returns the fraction of the fleet for which this instance may grant permits for cold servers;
    /// `None` while it may grant none.
    ///
    /// Lower than [`Membership::reachable_share`] where that one may be too high for a moment. All
    /// registered instances count as part of the fleet, since those that start together know few
    /// others and may each take themselves for the delegate; and a zone counts as cut off as soon as
    /// a peer does, so that instances that are cut off one by one do not grant its part as well.
    pub fn cold_permit_share(&self, now: Duration) -> Option<f64> {
        if !self.is_introduced(now) {
            return None;
        }
        let zones = self.zones.values();
        let heard = zones.filter(|z| now < z.received_at + UNREACHABLE_AFTER);
        let remote: usize = heard.map(|z| z.digest.reachable).sum();
        let reachable = self.zone_reachable(now) + remote;
        let size = self.registered.len().max(self.fleet_size(now));
        Some((reachable as f64 / size as f64).min(1.0))
    }

    /// Returns the number of instances in another zone: according to its digest or, without a
    /// recent one, according to the registrations.
    fn other_zone_size(&self, now: Duration, zone: &str) -> usize {
        let known = self.zones.get(zone);
        if let Some(known) = known.filter(|z| now < z.received_at + REMOVED_AFTER) {
            return known.digest.size;
        }
        let registered = self.peers.values().filter(|p| p.member.zone == zone);
        registered.filter(|p| p.is_member(now)).count()
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
    fn is_member(&self, now: Duration) -> bool {
        now < self.last_seen + REMOVED_AFTER
    }

    fn is_reachable(&self, now: Duration) -> bool {
        self.status.is_some() && now < self.last_seen + UNREACHABLE_AFTER
    }
}

impl Zone {
    fn is_fresh(&self, now: Duration) -> bool {
        now < self.received_at + DIGEST_TTL
    }
}
