//! A loopback proxy that impairs the connections that pass through it.

use std::io::{self, Read, Write};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use socket2::{Domain, SockRef, Socket, Type};

/// Interval at which a stalled connection checks whether it may forward bytes again.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum number of bytes that are forwarded at a time.
const CHUNK_BYTES: usize = 16 * 1024;

/// Maximum number of connections that wait to be accepted.
const ACCEPT_QUEUE: i32 = 128;

/// Time after which a connection that is not established shows that the queue of a listener is full.
const FULL_AFTER: Duration = Duration::from_millis(50);

/// The impairment that a proxy applies to its connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Impairment {
    /// Bytes are forwarded without impairment.
    #[default]
    None,
    /// Every chunk of bytes is forwarded after this delay.
    Delay(Duration),
    /// Open connections are reset, and new connections are reset as soon as they are accepted.
    Reset,
    /// No bytes are forwarded, and connections stay open.
    Stall,
    /// Bytes to the target are not forwarded; bytes from the target are.
    StallToTarget,
    /// Bytes from the target are not forwarded; bytes to the target are.
    StallFromTarget,
    /// Open connections are reset, and new ones are refused.
    Refuse,
    /// Open connections are forwarded without impairment; new ones are refused.
    RefuseNew,
    /// No bytes are forwarded, open connections stay open, and new ones are not established: their
    /// clients wait in `connect`.
    StallConnects,
}

/// The direction in which bytes are forwarded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Direction {
    ToTarget,
    FromTarget,
}

impl Impairment {
    fn resets(self) -> bool {
        matches!(self, Self::Reset | Self::Refuse)
    }

    fn stalls(self, direction: Direction) -> bool {
        match self {
            Self::Stall | Self::StallConnects => true,
            Self::StallToTarget => direction == Direction::ToTarget,
            Self::StallFromTarget => direction == Direction::FromTarget,
            Self::None | Self::Delay(_) | Self::Reset | Self::Refuse | Self::RefuseNew => false,
        }
    }
}

/// Maximum wait for a port that is in use.
const MAX_PORT_WAIT: Duration = Duration::from_secs(2);

/// How a proxy treats new connections.
#[derive(Debug)]
enum Entrance {
    /// A thread accepts them.
    Open(Arc<TcpListener>),
    /// The port has no listener.
    Closed,
    /// The queue of the listener, which is the first socket, is full of connections.
    Full { _sockets: Vec<Socket> },
}

/// A running proxy, whose threads run until it is closed or the process exits.
#[derive(Debug)]
pub struct Proxy {
    /// Address at which the proxy accepts connections.
    pub address: SocketAddr,
    target: SocketAddr,
    /// Address from which it connects; that of each client if there is none.
    source: Option<IpAddr>,
    impairment: Arc<Mutex<Impairment>>,
    is_closed: Arc<AtomicBool>,
    entrance: Mutex<Entrance>,
    /// Keeps the port while it has no listener.
    _reserved_port: Socket,
}

impl Proxy {
    /// Starts a proxy that forwards connections to `target`.
    ///
    /// # Errors
    /// Returns an error if no port can be bound.
    pub fn spawn(target: SocketAddr) -> io::Result<Self> {
        Self::spawn_from(None, target)
    }

    /// Starts a proxy that forwards connections to `target` from the loopback address `source`, by which
    /// the target, also behind further proxies, tells the clients of this proxy from others.
    ///
    /// # Errors
    /// Returns an error if no port can be bound.
    pub fn spawn_from(source: Option<IpAddr>, target: SocketAddr) -> io::Result<Self> {
        let reserved_port = bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let bound = reserved_port.local_addr()?.as_socket();
        let address = bound.ok_or(io::ErrorKind::AddrNotAvailable)?;
        let proxy = Self {
            address,
            target,
            source,
            impairment: Arc::default(),
            is_closed: Arc::default(),
            entrance: Mutex::new(Entrance::Closed),
            _reserved_port: reserved_port,
        };
        *lock(&proxy.entrance) = proxy.open_entrance()?;
        Ok(proxy)
    }

    /// Sets the impairment of all open and new connections; [`Impairment::None`] ends it.
    ///
    /// # Panics
    /// Panics if the port cannot be bound again after it was closed or full.
    pub fn set_impairment(&self, impairment: Impairment) {
        let mut entrance = lock(&self.entrance);
        *lock(&self.impairment) = impairment;
        if self.is_closed.load(Ordering::Relaxed) {
            return;
        }
        let changed = match (impairment, &*entrance) {
            (Impairment::Refuse | Impairment::RefuseNew, Entrance::Closed)
            | (Impairment::StallConnects, Entrance::Full { .. }) => return,
            (Impairment::Refuse | Impairment::RefuseNew, _) => {
                entrance.close();
                Ok(Entrance::Closed)
            }
            (Impairment::StallConnects, _) => {
                entrance.close();
                retry_while_in_use(|| self.full_entrance())
            }
            (_, Entrance::Open(_)) => return,
            (_, Entrance::Closed | Entrance::Full { .. }) => {
                entrance.close();
                retry_while_in_use(|| self.open_entrance())
            }
        };
        *entrance = changed.expect("the port of the proxy cannot be bound again");
    }

    /// Resets all connections and refuses new ones, as after a crash of the process at the address.
    pub fn close(&self) {
        self.set_impairment(Impairment::Reset);
        self.is_closed.store(true, Ordering::Relaxed);
        // The listener is dropped when the accepting thread wakes up.
        lock(&self.entrance).close();
        while TcpStream::connect(self.address).is_ok() {
            thread::yield_now();
        }
    }

    fn open_entrance(&self) -> io::Result<Entrance> {
        let socket = bind(self.address)?;
        socket.listen(ACCEPT_QUEUE)?;
        let listener = Arc::new(TcpListener::from(socket));
        let (accepting, target, source) = (listener.clone(), self.target, self.source);
        let (impairment, is_closed) = (self.impairment.clone(), self.is_closed.clone());
        thread::spawn(move || {
            // Accepting fails when the entrance is closed.
            while let Ok((accepted, client)) = accepting.accept() {
                if is_closed.load(Ordering::Relaxed) {
                    return;
                }
                let impairment = impairment.clone();
                thread::spawn(move || {
                    let source = source.unwrap_or(client.ip());
                    forward(accepted, source, target, &impairment);
                });
            }
        });
        Ok(Entrance::Open(listener))
    }

    fn full_entrance(&self) -> io::Result<Entrance> {
        let listener = bind(self.address)?;
        listener.listen(0)?;
        let mut sockets = vec![listener];
        loop {
            let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
            let connected = socket.connect_timeout(&self.address.into(), FULL_AFTER);
            sockets.push(socket);
            if connected.is_err() {
                return Ok(Entrance::Full { _sockets: sockets });
            }
        }
    }
}

impl Entrance {
    /// Stops listening; open connections stay.
    fn close(&mut self) {
        if let Self::Open(listener) = self {
            // The thread that accepts wakes up. Fails if it has ended already.
            let _ = SockRef::from(&**listener).shutdown(Shutdown::Both);
        }
        *self = Self::Closed;
    }
}

/// Retries while the port is in use: the thread that accepted on it may not have ended yet.
fn retry_while_in_use<T>(mut open: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let started = Instant::now();
    loop {
        match open() {
            Err(error)
                if error.kind() == io::ErrorKind::AddrInUse
                    && started.elapsed() < MAX_PORT_WAIT =>
            {
                thread::sleep(POLL_INTERVAL);
            }
            opened => return opened,
        }
    }
}

/// Binds a socket to an address at which another one may be bound that does not listen.
fn bind(address: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    Ok(socket)
}

fn connect_from(source: IpAddr, target: SocketAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.bind(&SocketAddr::new(source, 0).into())?;
    socket.connect(&target.into())?;
    Ok(socket.into())
}

fn forward(
    client: TcpStream,
    source: IpAddr,
    target: SocketAddr,
    impairment: &Arc<Mutex<Impairment>>,
) {
    if lock(impairment).resets() {
        return reset(&client);
    }
    let Ok(target_stream) = connect_from(source, target) else {
        return reset(&client);
    };
    let (Ok(client_writer), Ok(target_reader)) = (client.try_clone(), target_stream.try_clone())
    else {
        return reset(&client);
    };
    let return_thread = {
        let impairment = impairment.clone();
        thread::spawn(move || {
            copy(
                target_reader,
                client_writer,
                Direction::FromTarget,
                &impairment,
            )
        })
    };
    copy(client, target_stream, Direction::ToTarget, impairment);
    // A thread that panicked has closed its streams as well, so the result does not matter.
    let _ = return_thread.join();
}

/// Forwards bytes until one side closes or the connection is reset.
fn copy(
    mut from: TcpStream,
    mut to: TcpStream,
    direction: Direction,
    impairment: &Mutex<Impairment>,
) {
    let timeout = from.set_read_timeout(Some(POLL_INTERVAL));
    let mut buf = vec![0; CHUNK_BYTES];
    while timeout.is_ok() {
        let current = *lock(impairment);
        if current.resets() {
            reset(&from);
            return reset(&to);
        }
        if current.stalls(direction) {
            thread::sleep(POLL_INTERVAL);
            continue;
        }
        let length = match from.read(&mut buf) {
            Ok(0) => break,
            Ok(length) => length,
            Err(error) if is_timeout(&error) => continue,
            Err(_) => {
                reset(&to);
                break;
            }
        };
        // The impairment may have changed during the read.
        if lock(impairment).resets() {
            continue;
        }
        if let Impairment::Delay(delay) = current {
            thread::sleep(delay);
        }
        if to.write_all(&buf[..length]).is_err() {
            reset(&from);
            break;
        }
    }
    // Fails if the other side is closed already, which needs no handling.
    let _ = to.shutdown(Shutdown::Write);
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
    )
}

/// Closes a connection so that its peer receives a reset.
fn reset(stream: &TcpStream) {
    // Fails if the connection is closed already; then there is nothing to reset.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
    let _ = stream.shutdown(Shutdown::Both);
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}
