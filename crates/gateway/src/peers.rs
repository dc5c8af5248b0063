//! Datagrams between instances: who is there, what each has charged and reserved, and how new the
//! store's tables are.
//!
//! Within an availability zone every instance reports to every other; between zones one speaker
//! for each zone sends a digest. Every datagram carries totals, so a lost one is made good by the
//! next; see `docs/design/platform.md`.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use jacinthlever_routing::{
    CustomerCharges, Fingerprint, Member, MemberStatus, ReportOutcome, ZoneDigest, report_interval,
};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep, sleep_until};

use crate::freshness::{Change, Freshness};
use crate::node::Node;
use crate::registry::own_member;
use crate::tables::apply_passed_on;

/// Pause after a datagram could not be received.
const RECEIVE_PAUSE: Duration = Duration::from_millis(150);

/// Time between two digests for other zones.
const DIGEST_INTERVAL: Duration = Duration::from_millis(300);

/// Instances of a zone that get a digest while its speaker is not known.
const DIGEST_TARGETS: usize = 2;

/// How long a digest is passed on within the zone.
const DIGEST_PASSED_ON: Duration = Duration::from_millis(1000);

/// Longest datagram that is read, in bytes.
const MOST_BYTES: usize = 32 * 1024;

/// Version of the datagrams; others are ignored.
const VERSION: u16 = 4;

/// A datagram.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct Datagram {
    version: u16,
    message: Message,
}

/// What a datagram says.
#[derive(Clone, Debug, Deserialize, Serialize)]
enum Message {
    /// From an instance to those of its zone.
    Report(Report),
    /// From the speaker of a zone to other zones.
    Digest(Digest),
}

/// What an instance tells the others of its zone.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct Report {
    instance: SmolStr,
    incarnation: u64,
    /// Time since the start of the process, in milliseconds.
    uptime_ms: u64,
    callers: SmolStr,
    peers: SmolStr,
    zone: SmolStr,
    is_ready: bool,
    config: Freshness,
    servers: Freshness,
    /// Changes of the servers that this instance has read from the store lately.
    server_changes: Vec<Change>,
    /// Tokens charged to customers since the start.
    charged: Vec<CustomerCharges>,
    /// Tokens reserved at each engine.
    reserved: Vec<(SmolStr, u64)>,
    /// Requests that crashed backend servers, each with how many.
    suspects: Vec<(u64, u32)>,
    /// Digests of other zones that came to this instance.
    digests: Vec<Digest>,
}

/// What the speaker of a zone tells other zones.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct Digest {
    zone: SmolStr,
    speaker: SmolStr,
    incarnation: u64,
    address: SmolStr,
    size: usize,
    reachable: usize,
    ready: Vec<SmolStr>,
    charged: Vec<CustomerCharges>,
    reserved: Vec<(SmolStr, u64)>,
    suspects: Vec<(u64, u32)>,
}

/// Digests that came to this instance from other zones, to be passed on in its own.
#[derive(Default)]
pub struct Received(Vec<(Duration, Digest)>);

impl Received {
    fn put(&mut self, now: Duration, digest: Digest) {
        self.0.retain(|(at, d)| {
            now < *at + DIGEST_PASSED_ON && (d.zone != digest.zone || d.speaker != digest.speaker)
        });
        self.0.push((now, digest));
    }

    fn fresh(&mut self, now: Duration) -> Vec<Digest> {
        self.0.retain(|(at, _)| now < *at + DIGEST_PASSED_ON);
        self.0.iter().map(|(_, digest)| digest.clone()).collect()
    }
}

/// Sends and receives datagrams for as long as the process runs.
///
/// # Errors
/// Fails if the socket cannot be bound.
pub async fn exchange(node: Rc<Node>) -> io::Result<()> {
    let socket = Rc::new(UdpSocket::bind(node.settings().listen.peers).await?);
    tokio::task::spawn_local(receive(node.clone(), socket.clone()));
    let mut digest_at = Instant::now();
    loop {
        tell_zone(&node, &socket).await;
        if Instant::now() >= digest_at {
            tell_zones(&node, &socket).await;
            digest_at = Instant::now() + DIGEST_INTERVAL;
        }
        let peers = node.state.borrow().members.zone_size(node.now());
        let interval = report_interval(peers);
        sleep_until(Instant::now() + interval).await;
    }
}

async fn tell_zone(node: &Node, socket: &UdpSocket) {
    let settings = node.settings();
    let now = node.now();
    let addresses: Vec<SmolStr> = {
        let mut state = node.state.borrow_mut();
        state.share_out(now, &settings);
        state.members.zone_peer_addresses(now).cloned().collect()
    };
    if !addresses.is_empty() {
        send(socket, Message::Report(report(node)), &addresses).await;
    }
}

async fn tell_zones(node: &Node, socket: &UdpSocket) {
    let now = node.now();
    let targets = {
        let state = node.state.borrow();
        match state.members.rank(now) {
            0 => state.members.digest_targets(now, DIGEST_TARGETS),
            _ => Vec::new(),
        }
    };
    if !targets.is_empty() {
        send(socket, Message::Digest(digest(node)), &targets).await;
    }
}

async fn send(socket: &UdpSocket, message: Message, addresses: &[SmolStr]) {
    let mut bytes = Vec::new();
    let datagram = Datagram {
        version: VERSION,
        message,
    };
    if let Err(error) = ciborium::into_writer(&datagram, &mut bytes) {
        log::warn!("a datagram cannot be encoded: {error}");
        return;
    }
    for address in addresses {
        // The next datagram makes a lost one good.
        if let Err(error) = socket.send_to(&bytes, address.as_str()).await {
            log::debug!("a datagram to {address} was not sent: {error}");
        }
    }
}

fn report(node: &Node) -> Report {
    let settings = node.settings();
    let now = node.now();
    let digests = node.received.borrow_mut().fresh(now);
    let server_changes = node.state.borrow_mut().server_changes.fresh(now);
    let state = node.state.borrow();
    let member = own_member(&settings);
    Report {
        instance: settings.instance.clone(),
        incarnation: node.incarnation,
        uptime_ms: now.as_millis() as u64,
        callers: member.caller_address,
        peers: member.peer_address,
        zone: member.zone,
        is_ready: state.is_ready(now, &settings),
        config: state.config_fresh,
        servers: state.servers_fresh,
        server_changes,
        charged: state.quotas.recent_charges(now),
        reserved: state.pool.own_reserved(),
        suspects: suspects(&state.poison),
        digests,
    }
}

fn digest(node: &Node) -> Digest {
    let settings = node.settings();
    let now = node.now();
    let state = node.state.borrow();
    let member = own_member(&settings);
    let mut ready = state.members.ready_zone_addresses(now);
    if state.is_ready(now, &settings) {
        ready.push(member.caller_address);
    }
    Digest {
        zone: member.zone,
        speaker: settings.instance.clone(),
        incarnation: node.incarnation,
        address: member.peer_address,
        size: state.members.zone_size(now),
        reachable: state.members.zone_reachable(now),
        ready,
        charged: state.quotas.recent_zone_charges(now),
        reserved: state.pool.same_zone_reserved(now),
        suspects: suspects(&state.poison),
    }
}

fn suspects(poison: &jacinthlever_routing::SuspectRequests) -> Vec<(u64, u32)> {
    poison.suspects().map(|(f, n)| (f.0, n)).collect()
}

async fn receive(node: Rc<Node>, socket: Rc<UdpSocket>) {
    let mut buf = vec![0; MOST_BYTES];
    loop {
        match socket.recv_from(&mut buf).await {
            Ok((length, from)) => match ciborium::from_reader(&buf[..length]) {
                Ok(datagram) => take_in(&node, datagram),
                Err(error) => log::debug!("a datagram from {from} is unreadable: {error}"),
            },
            Err(error) => {
                log::debug!("no datagram was received: {error}");
                sleep(RECEIVE_PAUSE).await;
            }
        }
    }
}

fn take_in(node: &Node, datagram: Datagram) {
    if datagram.version != VERSION {
        return;
    }
    match datagram.message {
        Message::Report(report) => take_report(node, report),
        Message::Digest(digest) => {
            take_digest(node, &digest);
            node.received.borrow_mut().put(node.now(), digest);
        }
    }
}

fn take_report(node: &Node, report: Report) {
    if report.instance == node.settings().instance {
        return;
    }
    let now = node.now();
    let mut state = node.state.borrow_mut();
    let member = Member {
        caller_address: report.callers,
        peer_address: report.peers,
        zone: report.zone,
    };
    let status = MemberStatus {
        incarnation: report.incarnation,
        is_ready: report.is_ready,
    };
    let name = report.instance;
    match state.members.record_report(now, &name, member, status) {
        ReportOutcome::Outdated => return,
        ReportOutcome::Restarted => state.quotas.forget_peer(&name),
        ReportOutcome::Known | ReportOutcome::New => {}
    }
    let is_young = Duration::from_millis(report.uptime_ms) < now;
    state.quotas.record_source(now, &name);
    for charged in &report.charged {
        state
            .quotas
            .apply_peer_charges(now, &name, charged, is_young);
    }
    state.pool.set_peer_reserved(now, &name, &report.reserved);
    state.take_suspects(now, &report.suspects);
    drop(state);
    apply_passed_on(node, report.server_changes);
    let mut state = node.state.borrow_mut();
    state.take_freshness(report.config, report.servers);
    drop(state);
    node.hinted.notify_waiters();
    for digest in &report.digests {
        take_digest(node, digest);
    }
}

fn take_digest(node: &Node, digest: &Digest) {
    let now = node.now();
    let mut state = node.state.borrow_mut();
    let said = ZoneDigest {
        delegate: digest.speaker.clone(),
        address: digest.address.clone(),
        size: digest.size,
        reachable: digest.reachable,
        ready: digest.ready.clone(),
    };
    if !state.members.record_digest(now, &digest.zone, said) {
        return;
    }
    // A speaker that was started anew counts from zero again.
    let source = format!("{}/{}", digest.speaker, digest.incarnation);
    state.quotas.record_source(now, &source);
    for charged in &digest.charged {
        state.quotas.apply_zone_charges(now, &source, charged);
    }
    let pool = &mut state.pool;
    pool.set_zone_reserved(now, &digest.zone, &digest.reserved);
    state.take_suspects(now, &digest.suspects);
}

impl crate::state::State {
    fn take_suspects(&mut self, now: Duration, suspects: &[(u64, u32)]) {
        for (fingerprint, crashes) in suspects {
            self.poison
                .merge_crashes(now, Fingerprint(*fingerprint), *crashes);
        }
    }
}
