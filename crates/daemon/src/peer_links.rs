//! Links between instances: CBOR over WebSocket, opened on demand.

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

/// Capacity of the queue of messages to all peers.
const QUEUE_CAPACITY: usize = 4_096;

/// Capacity of the queue of messages to one peer.
const LINK_QUEUE_CAPACITY: usize = 1_024;

/// Maximum time to open a link.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Delay before a link that could not be opened is opened again.
const REOPEN_DELAY: Duration = Duration::from_millis(200);

/// Maximum time to send one message.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);

/// Time without a message to send after which a link is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// A message with its receiver.
#[derive(Debug)]
struct Outgoing {
    to: InstanceId,
    address: SmolStr,
    msg: PeerMsg,
}

/// State shared by all links.
#[derive(Debug)]
struct LinkContext {
    instance: InstanceId,
    zone: ZoneId,
    authorization: String,
    events: Sender<Event>,
}

/// The queue of the thread that runs the links to peers.
#[derive(Clone, Debug)]
pub struct PeerLinks {
    outgoing: mpsc::Sender<Outgoing>,
}

impl PeerLinks {
    /// Binds the peer address and starts the thread.
    ///
    /// # Errors
    /// Fails if the address cannot be bound or the thread cannot be started.
    pub fn spawn(settings: &Settings, events: Sender<Event>) -> io::Result<Self> {
        let listener = std::net::TcpListener::bind(settings.peer_address)?;
        listener.set_nonblocking(true)?;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let (tx, rx) = mpsc::channel(QUEUE_CAPACITY);
        let cx = Arc::new(LinkContext {
            instance: settings.instance.clone(),
            zone: settings.zone.clone(),
            authorization: format!("Bearer {}", settings.peer_credential),
            events,
        });
        thread::Builder::new().name("peers".into()).spawn(move || {
            runtime.block_on(async {
                if let Err(error) = run(listener, cx, rx).await {
                    log::error!(
                        "peer links stopped, no more messages are exchanged with peers: {error}"
                    );
                }
            });
        })?;
        Ok(Self { outgoing: tx })
    }

    /// Queues a message, or drops it if the queue is full: every protocol repeats lost messages.
    pub fn send(&self, to: InstanceId, address: SmolStr, msg: PeerMsg) {
        if self
            .outgoing
            .try_send(Outgoing { to, address, msg })
            .is_err()
        {
            log::debug!("a message to a peer was dropped because the queue of all peers is full");
        }
    }
}

async fn run(
    listener: std::net::TcpListener,
    cx: Arc<LinkContext>,
    mut outgoing: mpsc::Receiver<Outgoing>,
) -> io::Result<()> {
    let listener = TcpListener::from_std(listener)?;
    let mut peers: BTreeMap<(InstanceId, SmolStr), mpsc::Sender<PeerMsg>> = BTreeMap::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    tokio::spawn(receive(stream, cx.clone()));
                }
                Err(_) => sleep(Duration::from_millis(10)).await,
            },
            message = outgoing.recv() => match message {
                Some(message) => route(&mut peers, &cx, message),
                None => return Ok(()),
            },
        }
    }
}

/// Queues a message for its link, which is opened if there is none.
fn route(
    peers: &mut BTreeMap<(InstanceId, SmolStr), mpsc::Sender<PeerMsg>>,
    cx: &Arc<LinkContext>,
    message: Outgoing,
) {
    peers.retain(|_, link| !link.is_closed());
    let link = peers
        .entry((message.to.clone(), message.address.clone()))
        .or_insert_with(|| {
            let (tx, rx) = mpsc::channel(LINK_QUEUE_CAPACITY);
            tokio::spawn(transmit(message.to, message.address, cx.clone(), rx));
            tx
        });
    if link.try_send(message.msg).is_err() {
        log::debug!("a message to a peer was dropped because the queue of its link is full");
    }
}

/// Sends the messages of one link until it fails or is idle.
async fn transmit(
    to: InstanceId,
    address: SmolStr,
    cx: Arc<LinkContext>,
    mut messages: mpsc::Receiver<PeerMsg>,
) {
    let opened = timeout(CONNECT_TIMEOUT, open(&address, &cx)).await;
    let Ok(Ok(mut socket)) = opened else {
        log::debug!("could not open a link to {to} at {address}; its queued messages are dropped");
        let _ = cx.events.try_send(Event::PeerLost(to));
        // Messages that are queued during the delay are dropped with the link, not sent late.
        sleep(REOPEN_DELAY).await;
        return;
    };
    loop {
        // The peer sends nothing on this link. Reading detects its end, as the connections of a
        // process that dies are reset.
        let msg = tokio::select! {
            msg = timeout(IDLE_TIMEOUT, messages.recv()) => msg,
            read = socket.next() => match read {
                Some(Ok(_)) => continue,
                Some(Err(_)) | None => break,
            },
        };
        let Ok(Some(msg)) = msg else { break };
        let Some(bytes) = encode(&cx.instance, msg) else {
            continue;
        };
        match timeout(SEND_TIMEOUT, socket.send(Message::binary(bytes))).await {
            Ok(Ok(())) => {}
            _ => break,
        }
    }
    // The core is notified, as messages sent on a link that failed may be lost.
    let _ = cx.events.try_send(Event::PeerLost(to));
}

/// Opens a link to a peer and sends [`PeerMsg::Hello`], the first message of every link.
async fn open(address: &str, cx: &LinkContext) -> Result<WebSocketStream<TcpStream>, Error> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let mut request = format!("ws://{address}/peer").into_client_request()?;
    if let Ok(value) = HeaderValue::from_str(&cx.authorization) {
        request.headers_mut().insert(header::AUTHORIZATION, value);
    }
    let (mut socket, _) = client_async(request, stream).await?;
    let hello = PeerMsg::Hello {
        version: PROTOCOL_VERSION,
        instance: cx.instance.clone(),
        zone: cx.zone.clone(),
    };
    if let Some(bytes) = encode(&cx.instance, hello) {
        socket.send(Message::binary(bytes)).await?;
    }
    Ok(socket)
}

/// Receives the messages of one link that a peer has opened.
#[expect(
    clippy::result_large_err,
    reason = "the library fixes the type of the error"
)]
async fn receive(stream: TcpStream, cx: Arc<LinkContext>) {
    let check = |request: &Request, response: Response| authorize(request, response, &cx);
    let accepted = timeout(CONNECT_TIMEOUT, accept_hdr_async(stream, check)).await;
    let Ok(Ok(mut socket)) = accepted else { return };
    while let Some(Ok(message)) = socket.next().await {
        if !message.is_binary() {
            continue;
        }
        // Messages that this version cannot decode are ignored.
        let Some(envelope) = decode(&message.into_data()) else {
            continue;
        };
        let event = Event::Peer {
            from: envelope.from,
            msg: envelope.msg,
        };
        if cx.events.try_send(event).is_err() {
            log::debug!(
                "a message from a peer was dropped because the event queue of the core is full"
            );
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
    cx: &LinkContext,
) -> Result<Response, ErrorResponse> {
    let presented = request
        .headers()
        .get(header::AUTHORIZATION)
        .map(HeaderValue::as_bytes);
    let presented = blake3::hash(presented.unwrap_or_default());
    // Hashes are compared in constant time, so the response time reveals nothing about the
    // credential.
    if presented == blake3::hash(cx.authorization.as_bytes()) {
        return Ok(response);
    }
    let mut refusal = ErrorResponse::new(None);
    *refusal.status_mut() = StatusCode::UNAUTHORIZED;
    Err(refusal)
}

fn encode(instance: &InstanceId, msg: PeerMsg) -> Option<Vec<u8>> {
    let mut bytes = Vec::new();
    let envelope = PeerEnvelope {
        from: instance.clone(),
        msg,
    };
    match ciborium::into_writer(&envelope, &mut bytes) {
        Ok(()) => Some(bytes),
        Err(error) => {
            log::error!("could not encode a message to a peer, it is not sent: {error}");
            None
        }
    }
}

fn decode(bytes: &[u8]) -> Option<PeerEnvelope> {
    ciborium::from_reader(bytes).ok()
}
