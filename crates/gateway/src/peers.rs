//! Gossip between instances, as UDP datagrams: liveness, charged tokens, reserved tokens, suspect
//! requests and the freshness of the store's tables.
//!
//! Within an availability zone every instance sends reports to every other. Between zones one
//! delegate of each zone sends digests. Every datagram carries totals, so the next one makes up for
//! a lost one; see `docs/design/platform.md`.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use jacinthlever_routing::{
    CustomerCharges, DigestOutcome, Fingerprint, ForwardingGroup, Freshness, LoadOrigin,
    LostServices, Member, MemberStatus, QuotaLedger, ReportOutcome, ReportSchedule, ZoneDigest,
};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::context::Context;
use crate::datagram::{self, MAX_DATAGRAM_BYTES};
use crate::departures::{self, Departure};
use crate::evacuations::{self, SharedEvacuation};
use crate::freshness::TableChange;
use crate::paced_socket::PacedSocket;
use crate::permits::{self, PermitAnswer, PermitMessage};
use crate::quarantine::{self, SharedPart};
use crate::registry::own_member;
use crate::server_limits::{self, SharedLimit};
use crate::shared_loads::{self, SharedLoad};
use crate::stream_origins::{self, OriginAnswer, OriginCall, StreamBegan};
use crate::table_updates::apply_peer_changes;
use crate::zone_news::ZoneNews;

/// Pause after a failed receive.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(150);

/// Number of instances of a zone that are sent a digest while the zone's delegate is unknown.
const DIGEST_TARGETS: usize = 2;

/// Time for which a digest of another zone is forwarded in reports within the zone.
const DIGEST_FORWARD_PERIOD: Duration = Duration::from_millis(1000);

/// Number of customers' charges that take as much room in a message as one changed registration.
const TYPICAL_CHARGES_PER_ROW: usize = 12;

/// Delay before urgent news is shared, so that one message carries several.
const URGENT_NEWS_DELAY: Duration = Duration::from_millis(5);

/// Content of a datagram.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Message {
    /// From an instance to the others of its zone.
    Report(Report),
    /// From the delegate of a zone to other zones.
    Digest(Digest),
    /// From an instance to the one that grants the permits of a backend server.
    PermitCall(PermitMessage),
    /// The answer to a call for permits.
    PermitAnswer(PermitAnswer),
    /// From an instance at which a stream began to those that keep its version.
    StreamBegan(StreamBegan),
    /// A call for the version that began a stream.
    OriginCall(OriginCall),
    /// The answer to a call for the version that began a stream.
    OriginAnswer(OriginAnswer),
    /// News on its way through a zone.
    Forward(Forward),
}

/// News for all instances of a zone, and the addresses of those to which the receiver forwards it. It is sent
/// only to instances whose reports announce that they forward.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Forward {
    /// Digests of other zones.
    #[serde(default)]
    pub digests: Vec<Digest>,
    /// What the first sender has read from the store.
    #[serde(default)]
    pub news: ZoneNews,
    /// Addresses for messages between instances.
    #[serde(default)]
    pub to: Vec<SmolStr>,
}

/// Status that an instance sends to the others of its zone.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Report {
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
    /// Changes of the servers that this instance has recently read from the store.
    server_changes: Vec<TableChange>,
    /// Tokens charged to customers since the start of the process.
    charged: Vec<CustomerCharges>,
    /// Tokens that this instance has reserved at each engine.
    reserved: Vec<(SmolStr, u64)>,
    /// Fingerprints of suspect requests, each with the number of crashes.
    suspects: Vec<(u64, u32)>,
    /// Digests of other zones that this instance has received.
    pub digests: Vec<Digest>,
    /// Limits that backend servers have named or lifted lately.
    #[serde(default)]
    limits: Vec<SharedLimit>,
    /// Backend servers that have said that they leave.
    #[serde(default)]
    departures: Vec<Departure>,
    /// What this instance has lately learned of parts of prompts that crash backend servers.
    #[serde(default)]
    suspect_parts: Vec<SharedPart>,
    /// Services of which this instance reaches no server.
    #[serde(default)]
    lost_services: Vec<SmolStr>,
    /// Whether this instance understands [`Message::Forward`].
    #[serde(default)]
    forwards_digests: bool,
    /// All that this instance knows of evacuated zones.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    evacuations: Vec<SharedEvacuation>,
    /// Loads that servers have stated to this instance lately.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    loads: Vec<SharedLoad>,
}

impl Report {
    /// Leaves half of the longest list out, of which the rest can wait for the next report or can be
    /// had from the store; returns `false` if there is nothing to leave out.
    pub fn shorten(&mut self) -> bool {
        let rows = self.server_changes.iter().map(|change| change.rows.len());
        let rows = rows.sum::<usize>() * TYPICAL_CHARGES_PER_ROW;
        if rows > self.charged.len() && rows > self.suspects.len() {
            let half = self.server_changes.len().div_ceil(2);
            self.server_changes.drain(..half);
            return true;
        }
        shorten_charges(&mut self.charged, &mut self.suspects, &mut self.reserved)
    }
}

/// Leaves half of the longest of these lists out: the customers with the smallest recent charges, the
/// servers with the smallest reservations, or requests.
fn shorten_charges(
    charged: &mut Vec<CustomerCharges>,
    suspects: &mut Vec<(u64, u32)>,
    reserved: &mut Vec<(SmolStr, u64)>,
) -> bool {
    let longest = charged.len().max(suspects.len()).max(reserved.len());
    let half = longest / 2;
    if longest < 2 {
        return false;
    }
    if charged.len() == longest {
        charged.sort_by_key(|c| Reverse(c.total.abs_diff(c.before)));
        charged.truncate(half);
    } else if reserved.len() == longest {
        reserved.sort_by_key(|(_, tokens)| Reverse(*tokens));
        reserved.truncate(half);
    } else {
        suspects.truncate(half);
    }
    true
}

/// Summary of a zone that its delegate sends to other zones.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Digest {
    zone: SmolStr,
    #[serde(rename = "speaker")]
    delegate: SmolStr,
    incarnation: u64,
    address: SmolStr,
    size: usize,
    reachable: usize,
    ready: Vec<SmolStr>,
    charged: Vec<CustomerCharges>,
    reserved: Vec<(SmolStr, u64)>,
    suspects: Vec<(u64, u32)>,
    /// Limits that backend servers have named or lifted lately.
    #[serde(default)]
    limits: Vec<SharedLimit>,
    /// Backend servers that have said that they leave.
    #[serde(default)]
    departures: Vec<Departure>,
    /// What the delegate has lately learned of parts of prompts that crash backend servers.
    #[serde(default)]
    suspect_parts: Vec<SharedPart>,
    /// Services of which some instances reach no server, with the positions of these in `ready`.
    #[serde(default)]
    lost_services: BTreeMap<SmolStr, Vec<u16>>,
    /// When the delegate made the digest: Unix time of its start and its uptime, in milliseconds.
    #[serde(default)]
    made_ms: u64,
    /// All that the delegate knows of evacuated zones.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    evacuations: Vec<SharedEvacuation>,
    /// Loads that servers have stated to the zone lately.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    loads: Vec<SharedLoad>,
}

impl Digest {
    /// Leaves half of the longest list out; see [`Report::shorten`].
    pub fn shorten(&mut self) -> bool {
        shorten_charges(&mut self.charged, &mut self.suspects, &mut self.reserved)
    }

    fn lost_services(&self) -> LostServices {
        let mut lost = LostServices::new();
        for (service, positions) in &self.lost_services {
            for position in positions {
                if let Some(address) = self.ready.get(usize::from(*position)) {
                    let services = lost.entry(address.clone()).or_default();
                    services.push(service.clone());
                }
            }
        }
        lost
    }
}

/// Returns the services that are lost, with the positions in `ready` of those that lost them.
fn positions_of(lost: &LostServices, ready: &[SmolStr]) -> BTreeMap<SmolStr, Vec<u16>> {
    let mut positions: BTreeMap<SmolStr, Vec<u16>> = BTreeMap::new();
    for (position, address) in (0..).zip(ready) {
        for service in lost.get(address).into_iter().flatten() {
            positions.entry(service.clone()).or_default().push(position);
        }
    }
    positions
}

impl Forward {
    /// Leaves half of the longest list of one of the digests out; see [`Report::shorten`].
    pub fn shorten(&mut self) -> bool {
        self.digests.iter_mut().any(Digest::shorten)
    }
}

/// Digests that this instance has received from other zones and forwards within its own.
#[derive(Default)]
pub struct ReceivedDigests(Vec<(Duration, Digest)>);

impl ReceivedDigests {
    fn push(&mut self, now: Duration, digest: Digest) {
        self.0.retain(|(at, d)| {
            now < *at + DIGEST_FORWARD_PERIOD
                && (d.zone != digest.zone || d.delegate != digest.delegate)
        });
        self.0.push((now, digest));
    }

    fn recent(&mut self, now: Duration) -> Vec<Digest> {
        self.0.retain(|(at, _)| now < *at + DIGEST_FORWARD_PERIOD);
        let aged = self.0.iter().map(|(at, digest)| {
            let mut digest = digest.clone();
            shared_loads::add_age(&mut digest.loads, now.saturating_sub(*at));
            digest
        });
        aged.collect()
    }
}

/// Sends and receives datagrams; runs until the process ends.
///
/// # Errors
/// Fails if the socket cannot be bound.
pub async fn run(cx: Rc<Context>) -> io::Result<()> {
    let socket = Rc::new(UdpSocket::bind(cx.settings().listen.peers).await?);
    cx.permits.set_socket(socket.clone());
    let sender = Rc::new(PacedSocket::new(cx.clone(), socket.clone()));
    tokio::task::spawn_local(receive(cx.clone(), socket, sender.clone()));
    let mut schedule = ReportSchedule::default();
    let mut turn = 0;
    loop {
        let due = schedule.take_due(cx.now(), &cx.state.borrow().members);
        if due.reports {
            send_reports(&cx, &sender, turn).await;
            turn += 1;
        }
        if due.digests {
            send_digests(&cx, &sender).await;
        }
        let now = cx.now();
        let next = schedule.next(now, &cx.state.borrow().members);
        tokio::select! {
            () = sleep(next.saturating_sub(now)) => {}
            () = cx.urgent_news.notified() => {
                sleep(URGENT_NEWS_DELAY).await;
                schedule.hasten(cx.now());
            }
            () = cx.zone_news_added.notified() => {
                send_news(&cx, &sender, turn).await;
                turn += 1;
            }
        }
    }
}

/// Sends the report of this instance to the peers of the zone, and forwards digests of other zones.
async fn send_reports(cx: &Context, socket: &PacedSocket, turn: usize) {
    let settings = cx.settings();
    let now = cx.now();
    let (addresses, forwarding) = {
        let mut state = cx.state.borrow_mut();
        state.redistribute_allowances(now, &settings);
        state.quotas.set_phase(cx.random());
        let addresses = state.members.zone_peer_addresses(now).cloned();
        let addresses: Vec<SmolStr> = addresses.collect();
        (addresses, state.members.forwarding(now, turn))
    };
    if addresses.is_empty() {
        return;
    }
    let digests = cx.received_digests.borrow_mut().recent(now);
    let report = report(cx);
    if digests.is_empty() {
        return send_report(socket, report, &addresses).await;
    }
    let without = addresses.into_iter();
    let without: Vec<SmolStr> = without
        .filter(|address| !forwarding.direct.contains(address))
        .collect();
    forward(socket, &digests, &ZoneNews::default(), forwarding.groups).await;
    send_report(socket, report.clone(), &without).await;
    send_report(socket, Report { digests, ..report }, &forwarding.direct).await;
}

/// Sends what this instance has read from the store to the peers of the zone. Those that do not forward get
/// changes of the servers in reports, and read the configuration.
async fn send_news(cx: &Context, socket: &PacedSocket, turn: usize) {
    let news = std::mem::take(&mut *cx.zone_news.borrow_mut());
    let forwarding = cx.state.borrow().members.forwarding(cx.now(), turn);
    forward(socket, &[], &news, forwarding.groups).await;
}

/// Sends digests and news to the first instances of groups, which forward them.
async fn forward(
    socket: &PacedSocket,
    digests: &[Digest],
    news: &ZoneNews,
    groups: Vec<ForwardingGroup>,
) {
    for group in groups {
        let forward = Forward {
            digests: digests.to_vec(),
            news: news.clone(),
            to: group.others,
        };
        for bytes in datagram::encode_forward(forward) {
            socket
                .send(&bytes, std::slice::from_ref(&group.first))
                .await;
        }
    }
}

async fn send_report(socket: &PacedSocket, report: Report, addresses: &[SmolStr]) {
    if !addresses.is_empty() {
        for bytes in datagram::encode_report(report) {
            socket.send(&bytes, addresses).await;
        }
    }
}

async fn send_digests(cx: &Context, socket: &PacedSocket) {
    let now = cx.now();
    let targets = {
        let state = cx.state.borrow();
        state.members.digest_targets(now, DIGEST_TARGETS)
    };
    if targets.is_empty() {
        return;
    }
    if let Some(bytes) = datagram::encode_digest(digest(cx)) {
        socket.send(&bytes, &targets).await;
    }
}

/// Returns the report of this instance, without digests of other zones.
fn report(cx: &Context) -> Report {
    let settings = cx.settings();
    let now = cx.now();
    let mut state = cx.state.borrow_mut();
    let server_changes = state.server_changes.recent(now);
    let loads = shared_loads::for_report(&mut state, now);
    drop(state);
    let state = cx.state.borrow();
    let member = own_member(&settings);
    Report {
        instance: settings.instance.clone(),
        incarnation: cx.incarnation,
        uptime_ms: now.as_millis() as u64,
        callers: member.caller_address,
        peers: member.peer_address,
        zone: member.zone,
        is_ready: state.is_ready(now, &settings),
        config: state.config_freshness,
        servers: state.servers_freshness,
        server_changes,
        charged: state.quotas.recent_charges(now),
        reserved: state.pool.own_reserved(),
        suspects: suspects(&state.suspect_requests, now),
        digests: Vec::new(),
        limits: server_limits::recent(&state, now),
        departures: departures::current(&state),
        suspect_parts: quarantine::recent(&state, now),
        lost_services: state.lost_services(),
        forwards_digests: true,
        evacuations: evacuations::current(&state),
        loads,
    }
}

fn digest(cx: &Context) -> Digest {
    let settings = cx.settings();
    let now = cx.now();
    let loads = shared_loads::for_digest(&mut cx.state.borrow_mut(), now);
    let state = cx.state.borrow();
    let member = own_member(&settings);
    let mut ready = state.members.ready_zone_addresses(now);
    let mut lost_services = state.members.zone_lost_services(now);
    if state.is_ready(now, &settings) {
        let lost = state.lost_services();
        if !lost.is_empty() {
            lost_services.insert(member.caller_address.clone(), lost);
        }
        ready.push(member.caller_address);
    }
    let lost_services = positions_of(&lost_services, &ready);
    Digest {
        zone: member.zone,
        delegate: settings.instance.clone(),
        incarnation: cx.incarnation,
        address: member.peer_address,
        size: state.members.zone_size(now),
        reachable: state.members.zone_reachable(now),
        ready,
        charged: state.quotas.recent_zone_charges(now),
        reserved: state.pool.same_zone_reserved(now),
        suspects: suspects(&state.suspect_requests, now),
        limits: server_limits::recent(&state, now),
        departures: departures::current(&state),
        suspect_parts: quarantine::recent(&state, now),
        lost_services,
        made_ms: cx.incarnation + now.as_millis() as u64,
        evacuations: evacuations::current(&state),
        loads,
    }
}

fn suspects(
    suspect_requests: &jacinthlever_routing::SuspectRequests,
    now: Duration,
) -> Vec<(u64, u32)> {
    let suspects = suspect_requests.suspects(now);
    suspects.map(|(f, n)| (f.0, n)).collect()
}

async fn receive(cx: Rc<Context>, socket: Rc<UdpSocket>, sender: Rc<PacedSocket>) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        match socket.recv_from(&mut buf).await {
            Ok((length, from)) => match datagram::decode(&buf[..length]) {
                Ok(Some(message)) => handle_message(&cx, &sender, message, from),
                Ok(None) => {}
                Err(error) => {
                    log::debug!("cannot decode a datagram of {length} bytes from {from}: {error}")
                }
            },
            Err(error) => {
                log::debug!("cannot receive a datagram: {error}");
                sleep(RECEIVE_RETRY_DELAY).await;
            }
        }
    }
}

fn handle_message(cx: &Context, sender: &Rc<PacedSocket>, message: Message, from: SocketAddr) {
    match message {
        Message::Report(report) => apply_report(cx, report),
        Message::Digest(digest) => {
            let outcome = apply_digest(cx, &digest);
            cx.received_digests.borrow_mut().push(cx.now(), digest);
            if outcome == DigestOutcome::Regained {
                // The other instances of this zone do not reach that zone either.
                cx.urgent_news.notify_one();
            }
        }
        Message::PermitCall(call) => permits::handle_call(cx, call, from),
        Message::PermitAnswer(answer) => cx.permits.handle_answer(answer),
        Message::StreamBegan(began) => stream_origins::handle_began(cx, began),
        Message::OriginCall(call) => stream_origins::handle_call(cx, call, from),
        Message::OriginAnswer(answer) => stream_origins::handle_answer(cx, answer),
        Message::Forward(forward) => handle_forward(cx, sender, forward),
    }
}

/// Applies news, and sends it to the instances that the sender names.
fn handle_forward(cx: &Context, sender: &Rc<PacedSocket>, mut forward: Forward) {
    for digest in &forward.digests {
        apply_digest(cx, digest);
    }
    if !forward.news.is_empty() {
        forward.news.apply(cx);
    }
    let to = std::mem::take(&mut forward.to);
    if to.is_empty() {
        return;
    }
    let sender = sender.clone();
    tokio::task::spawn_local(async move {
        for bytes in datagram::encode_forward(forward) {
            sender.send(&bytes, &to).await;
        }
    });
}

fn apply_report(cx: &Context, report: Report) {
    if report.instance == cx.settings().instance {
        return;
    }
    let now = cx.now();
    let mut state = cx.state.borrow_mut();
    let member = Member {
        caller_address: report.callers,
        peer_address: report.peers,
        zone: report.zone,
    };
    let status = MemberStatus {
        incarnation: report.incarnation,
        is_ready: report.is_ready,
        forwards_digests: report.forwards_digests,
    };
    let name = report.instance;
    match state.members.record_report(now, &name, member, status) {
        ReportOutcome::Outdated => return,
        ReportOutcome::Restarted => state.quotas.forget_peer(&name),
        ReportOutcome::Known | ReportOutcome::New => {}
    }
    state.members.set_lost_services(&name, report.lost_services);
    let uptime = Duration::from_millis(report.uptime_ms);
    let is_younger = QuotaLedger::counts_all_charges(uptime, now);
    state.quotas.record_source(now, &name);
    for charged in &report.charged {
        state
            .quotas
            .apply_peer_charges(now, &name, charged, is_younger);
    }
    state.pool.set_peer_reserved(now, &name, &report.reserved);
    state.merge_suspects(now, &report.suspects);
    drop(state);
    apply_peer_changes(cx, &report.server_changes);
    let mut state = cx.state.borrow_mut();
    let has_news = state.merge_freshness(report.config, report.servers);
    drop(state);
    // The tasks that watch the tables count the instance's rank again, which takes a while in a large zone.
    if has_news {
        cx.peer_rows_changed.notify_waiters();
    }
    server_limits::merge(cx, &report.limits);
    departures::merge(cx, &report.departures);
    quarantine::merge(cx, &report.suspect_parts);
    evacuations::merge(cx, &report.evacuations);
    shared_loads::merge(cx, &report.loads, LoadOrigin::Zone);
    for digest in &report.digests {
        apply_digest(cx, digest);
    }
}

fn apply_digest(cx: &Context, digest: &Digest) -> DigestOutcome {
    let now = cx.now();
    let mut state = cx.state.borrow_mut();
    let zone_digest = ZoneDigest {
        delegate: digest.delegate.clone(),
        address: digest.address.clone(),
        size: digest.size,
        reachable: digest.reachable,
        ready: digest.ready.clone(),
        lost: digest.lost_services(),
        made_ms: digest.made_ms,
    };
    let outcome = state.members.record_digest(now, &digest.zone, zone_digest);
    if outcome == DigestOutcome::Ignored {
        return outcome;
    }
    // A delegate that has restarted counts from zero again, so its incarnation is part of the
    // source.
    let source = format!("{}/{}", digest.delegate, digest.incarnation);
    state.quotas.record_source(now, &source);
    for charged in &digest.charged {
        state.quotas.apply_zone_charges(now, &source, charged);
    }
    let pool = &mut state.pool;
    pool.set_zone_reserved(now, &digest.zone, &digest.reserved);
    state.merge_suspects(now, &digest.suspects);
    drop(state);
    server_limits::merge(cx, &digest.limits);
    departures::merge(cx, &digest.departures);
    quarantine::merge(cx, &digest.suspect_parts);
    evacuations::merge(cx, &digest.evacuations);
    shared_loads::merge(cx, &digest.loads, LoadOrigin::OtherZone);
    outcome
}

impl crate::state::State {
    fn merge_suspects(&mut self, now: Duration, suspects: &[(u64, u32)]) {
        for (fingerprint, crashes) in suspects {
            self.suspect_requests
                .merge_crashes(now, Fingerprint(*fingerprint), *crashes);
        }
    }
}
