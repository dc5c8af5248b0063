//! Datagrams between instances: who is there, and what each has charged and reserved.
//!
//! Every datagram carries totals, so a lost one is made good by the next; see
//! `docs/design/platform.md`.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use jacinthlever_routing::{Fingerprint, Member, MemberStatus};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::feeds::own_member;
use crate::node::Node;

/// Time between two datagrams to each peer.
const INTERVAL: Duration = Duration::from_millis(150);

/// Longest datagram that is read, in bytes.
const MOST_BYTES: usize = 16 * 1024;

/// Version of the datagrams; others are ignored.
const VERSION: u16 = 1;

/// What an instance tells its peers.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct Report {
    version: u16,
    instance: SmolStr,
    incarnation: u64,
    callers: SmolStr,
    peers: SmolStr,
    zone: SmolStr,
    is_ready: bool,
    /// Tokens charged to each customer since the start.
    charged: Vec<(SmolStr, u64)>,
    /// Tokens reserved at each engine.
    reserved: Vec<(SmolStr, u64)>,
    /// Requests that crashed backend servers, each with how many.
    suspects: Vec<(u64, u32)>,
}

/// Sends and receives datagrams for as long as the process runs.
///
/// # Errors
/// Fails if the socket cannot be bound.
pub async fn exchange(node: Rc<Node>) -> io::Result<()> {
    let socket = Rc::new(UdpSocket::bind(node.settings().listen.peers).await?);
    tokio::task::spawn_local(receive(node.clone(), socket.clone()));
    loop {
        tell(&node, &socket).await;
        sleep(INTERVAL).await;
    }
}

async fn tell(node: &Node, socket: &UdpSocket) {
    let settings = node.settings();
    let now = node.now();
    let addresses: Vec<SmolStr> = {
        let mut state = node.state.borrow_mut();
        state.share_out(now, &settings);
        state.members.peer_addresses(now).cloned().collect()
    };
    let mut bytes = Vec::new();
    if let Err(error) = ciborium::into_writer(&own_report(node), &mut bytes) {
        log::warn!("a report to peers cannot be encoded: {error}");
        return;
    }
    for address in addresses {
        // The next report makes a lost one good.
        if let Err(error) = socket.send_to(&bytes, address.as_str()).await {
            log::debug!("a report to {address} was not sent: {error}");
        }
    }
}

fn own_report(node: &Node) -> Report {
    let settings = node.settings();
    let state = node.state.borrow();
    let member = own_member(&settings);
    let now = node.now();
    Report {
        version: VERSION,
        instance: settings.instance.clone(),
        incarnation: node.incarnation,
        callers: member.callers,
        peers: member.peers,
        zone: member.zone,
        is_ready: state.is_serving() && state.keys_are_proved(now, &settings),
        charged: state
            .quotas
            .charged()
            .map(|(customer, tokens)| (customer.clone(), tokens))
            .collect(),
        reserved: state.pool.own_reserved(),
        suspects: state.poison.suspects().map(|(f, n)| (f.0, n)).collect(),
    }
}

async fn receive(node: Rc<Node>, socket: Rc<UdpSocket>) {
    let mut buf = vec![0; MOST_BYTES];
    loop {
        match socket.recv_from(&mut buf).await {
            Ok((length, from)) => match ciborium::from_reader(&buf[..length]) {
                Ok(report) => take_in(&node, report),
                Err(error) => log::debug!("a datagram from {from} is unreadable: {error}"),
            },
            Err(error) => {
                log::debug!("no datagram was received: {error}");
                sleep(INTERVAL).await;
            }
        }
    }
}

fn take_in(node: &Node, report: Report) {
    if report.version != VERSION || report.instance == node.settings().instance {
        return;
    }
    let now = node.now();
    let mut state = node.state.borrow_mut();
    let member = Member {
        callers: report.callers,
        peers: report.peers,
        zone: report.zone,
    };
    let status = MemberStatus {
        incarnation: report.incarnation,
        is_ready: report.is_ready,
    };
    let name = report.instance;
    if state.members.heard(now, &name, member, status) {
        state.quotas.forget_peer(&name);
    }
    for (customer, tokens) in &report.charged {
        state.quotas.heard(now, &name, customer, *tokens);
    }
    state.pool.peer_reserved(now, &name, &report.reserved);
    for (fingerprint, crashes) in report.suspects {
        state.poison.heard(now, Fingerprint(fingerprint), crashes);
    }
}
