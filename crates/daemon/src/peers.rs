//! Links between instances: CBOR over WebSocket, opened when there is something to send.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crossbeam::channel::Sender;
use futures_util::{SinkExt, StreamExt};
use jacinthlever_core::Event;
use jacinthlever_types::{InstanceId, PROTOCOL_VERSION, PeerEnvelope, PeerMsg, ZoneId};
use smol_str::SmolStr;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};
use tokio_tungstenite::tungstenite::handshake::server::{ErrorResponse, Request, Response};
use tokio_tungstenite::tungstenite::http::{HeaderValue, StatusCode, header};
use tokio_tungstenite::tungstenite::{Error, Message, client::IntoClientRequest};
use tokio_tungstenite::{WebSocketStream, accept_hdr_async, client_async};

use crate::Settings;

/// Messages to all peers that may wait.
const WAITING: usize = 4_096;

/// Messages to one peer that may wait.
const PEER_WAITING: usize = 1_024;

/// Time to open a link.
const CONNECT: Duration = Duration::from_secs(1);

/// Pause before a link that failed is opened again.
const REOPEN_AFTER: Duration = Duration::from_millis(200);

/// Time for which one message may wait for the network.
const SEND: Duration = Duration::from_secs(2);

/// Silence of the core's side after which a link is closed.
const IDLE: Duration = Duration::from_secs(30);

/// A message with where it goes.
#[derive(Debug)]
struct Outgoing {
    to: InstanceId,
    address: SmolStr,
    msg: PeerMsg,
}

/// What every link needs.
#[derive(Debug)]
struct Links {
    own: InstanceId,
    zone: ZoneId,
    authorization: String,
    events: Sender<Event>,
}

/// The ring to the thread of the peer links.
#[derive(Clone, Debug)]
pub struct Peers {
    outgoing: mpsc::Sender<Outgoing>,
}

impl Peers {
    /// Binds the peer address and starts the thread.
    ///
    /// # Errors
    /// Fails if the address cannot be bound or the thread not be started.
    pub fn spawn(settings: &Settings, events: Sender<Event>) -> io::Result<Self> {
        let listener = std::net::TcpListener::bind(settings.peer_address)?;
        listener.set_nonblocking(true)?;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let (tx, rx) = mpsc::channel(WAITING);
        let links = Arc::new(Links {
            own: settings.instance.clone(),
            zone: settings.zone.clone(),
            authorization: format!("Bearer {}", settings.peer_credential),
            events,
        });
        thread::Builder::new().name("peers".into()).spawn(move || {
            runtime.block_on(async {
                if let Err(error) = run(listener, links, rx).await {
                    log::error!("the peer links stopped: {error}");
                }
            });
        })?;
        Ok(Self { outgoing: tx })
    }

    /// Sends a message, or drops it if too many wait: every protocol repeats what it needs.
    pub fn send(&self, to: InstanceId, address: SmolStr, msg: PeerMsg) {
        if self
            .outgoing
            .try_send(Outgoing { to, address, msg })
            .is_err()
        {
            log::debug!("a message to a peer was dropped");
        }
    }
}

async fn run(
    listener: std::net::TcpListener,
    links: Arc<Links>,
    mut outgoing: mpsc::Receiver<Outgoing>,
) -> io::Result<()> {
    let listener = TcpListener::from_std(listener)?;
    let mut peers: BTreeMap<(InstanceId, SmolStr), mpsc::Sender<PeerMsg>> = BTreeMap::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    tokio::spawn(receive(stream, links.clone()));
                }
                Err(_) => sleep(Duration::from_millis(10)).await,
            },
            message = outgoing.recv() => match message {
                Some(message) => pass(&mut peers, &links, message),
                None => return Ok(()),
            },
        }
    }
}

/// Hands a message to its link, which is opened if there is none.
fn pass(
    peers: &mut BTreeMap<(InstanceId, SmolStr), mpsc::Sender<PeerMsg>>,
    links: &Arc<Links>,
    message: Outgoing,
) {
    peers.retain(|_, link| !link.is_closed());
    let link = peers
        .entry((message.to.clone(), message.address.clone()))
        .or_insert_with(|| {
            let (tx, rx) = mpsc::channel(PEER_WAITING);
            tokio::spawn(transmit(message.to, message.address, links.clone(), rx));
            tx
        });
    if link.try_send(message.msg).is_err() {
        log::debug!("a message to a slow peer was dropped");
    }
}

/// Sends the messages of one link until it fails or has nothing to do.
async fn transmit(
    to: InstanceId,
    address: SmolStr,
    links: Arc<Links>,
    mut messages: mpsc::Receiver<PeerMsg>,
) {
    let opened = timeout(CONNECT, open(&address, &links)).await;
    let Ok(Ok(mut socket)) = opened else {
        log::debug!("no link to {to}");
        let _ = links.events.try_send(Event::PeerLost(to));
        // Messages that come meanwhile are dropped with the link rather than sent late.
        sleep(REOPEN_AFTER).await;
        return;
    };
    loop {
        // Nothing is ever read but the end: a process that dies resets its connections.
        let msg = tokio::select! {
            msg = timeout(IDLE, messages.recv()) => msg,
            read = socket.next() => match read {
                Some(Ok(_)) => continue,
                Some(Err(_)) | None => break,
            },
        };
        let Ok(Some(msg)) = msg else { break };
        let Some(bytes) = encode(&links.own, msg) else {
            continue;
        };
        match timeout(SEND, socket.send(Message::binary(bytes))).await {
            Ok(Ok(())) => {}
            _ => break,
        }
    }
    // Whoever waits for a link that has failed is told, as its messages may be lost.
    let _ = links.events.try_send(Event::PeerLost(to));
}

async fn open(address: &str, links: &Links) -> Result<WebSocketStream<TcpStream>, Error> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let mut request = format!("ws://{address}/peer").into_client_request()?;
    if let Ok(value) = HeaderValue::from_str(&links.authorization) {
        request.headers_mut().insert(header::AUTHORIZATION, value);
    }
    let (mut socket, _) = client_async(request, stream).await?;
    let hello = PeerMsg::Hello {
        version: PROTOCOL_VERSION,
        instance: links.own.clone(),
        zone: links.zone.clone(),
    };
    if let Some(bytes) = encode(&links.own, hello) {
        socket.send(Message::binary(bytes)).await?;
    }
    Ok(socket)
}

/// Reads the messages of one link that a peer has opened.
#[expect(
    clippy::result_large_err,
    reason = "the library fixes the type of the error"
)]
async fn receive(stream: TcpStream, links: Arc<Links>) {
    let check = |request: &Request, response: Response| authorize(request, response, &links);
    let accepted = timeout(CONNECT, accept_hdr_async(stream, check)).await;
    let Ok(Ok(mut socket)) = accepted else { return };
    while let Some(Ok(message)) = socket.next().await {
        if !message.is_binary() {
            continue;
        }
        // A kind of message that this version does not know is left out.
        let Some(envelope) = decode(&message.into_data()) else {
            continue;
        };
        let event = Event::Peer {
            from: envelope.from,
            msg: envelope.msg,
        };
        if links.events.try_send(event).is_err() {
            log::debug!("a message of a peer was dropped");
        }
    }
}

#[expect(
    clippy::result_large_err,
    reason = "the library fixes the type of the error"
)]
fn authorize(
    request: &Request,
    response: Response,
    links: &Links,
) -> Result<Response, ErrorResponse> {
    let shown = request
        .headers()
        .get(header::AUTHORIZATION)
        .map(HeaderValue::as_bytes);
    let shown = blake3::hash(shown.unwrap_or_default());
    // Hashes compare in constant time.
    if shown == blake3::hash(links.authorization.as_bytes()) {
        return Ok(response);
    }
    let mut refusal = ErrorResponse::new(None);
    *refusal.status_mut() = StatusCode::UNAUTHORIZED;
    Err(refusal)
}

fn encode(own: &InstanceId, msg: PeerMsg) -> Option<Vec<u8>> {
    let mut bytes = Vec::new();
    let envelope = PeerEnvelope {
        from: own.clone(),
        msg,
    };
    match ciborium::into_writer(&envelope, &mut bytes) {
        Ok(()) => Some(bytes),
        Err(error) => {
            log::error!("a message to a peer could not be encoded: {error}");
            None
        }
    }
}

fn decode(bytes: &[u8]) -> Option<PeerEnvelope> {
    ciborium::from_reader(bytes).ok()
}
