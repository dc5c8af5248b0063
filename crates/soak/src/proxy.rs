//! A loopback proxy that impairs the connections that pass through it.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use socket2::SockRef;

/// Interval at which a stalled connection checks whether it may forward bytes again.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum number of bytes that are forwarded at a time.
const CHUNK_BYTES: usize = 16 * 1024;

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
}

/// The direction in which bytes are forwarded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Direction {
    ToTarget,
    FromTarget,
}

impl Impairment {
    fn stalls(self, direction: Direction) -> bool {
        match self {
            Self::Stall => true,
            Self::StallToTarget => direction == Direction::ToTarget,
            Self::StallFromTarget => direction == Direction::FromTarget,
            Self::None | Self::Delay(_) | Self::Reset => false,
        }
    }
}

/// A running proxy, whose threads run until it is closed or the process exits.
#[derive(Debug)]
pub struct Proxy {
    /// Address at which the proxy accepts connections.
    pub address: SocketAddr,
    impairment: Arc<Mutex<Impairment>>,
    is_closed: Arc<AtomicBool>,
}

impl Proxy {
    /// Starts a proxy that forwards connections to `target`.
    ///
    /// # Errors
    /// Returns an error if no port can be bound.
    pub fn spawn(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let proxy = Self {
            address: listener.local_addr()?,
            impairment: Arc::default(),
            is_closed: Arc::default(),
        };
        let (impairment, is_closed) = (proxy.impairment.clone(), proxy.is_closed.clone());
        thread::spawn(move || {
            for accepted in listener.incoming().flatten() {
                if is_closed.load(Ordering::Relaxed) {
                    return;
                }
                let impairment = impairment.clone();
                thread::spawn(move || forward(accepted, target, &impairment));
            }
        });
        Ok(proxy)
    }

    /// Sets the impairment of all open and new connections; [`Impairment::None`] ends it.
    pub fn set_impairment(&self, impairment: Impairment) {
        *lock(&self.impairment) = impairment;
    }

    /// Resets all connections and refuses new ones, as after a crash of the process at the address.
    pub fn close(&self) {
        self.set_impairment(Impairment::Reset);
        self.is_closed.store(true, Ordering::Relaxed);
        // The listener is dropped when the accepting thread wakes up.
        while TcpStream::connect(self.address).is_ok() {
            thread::yield_now();
        }
    }
}

fn forward(client: TcpStream, target: SocketAddr, impairment: &Arc<Mutex<Impairment>>) {
    if *lock(impairment) == Impairment::Reset {
        return reset(&client);
    }
    let Ok(target_stream) = TcpStream::connect(target) else {
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
        if current == Impairment::Reset {
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
        if *lock(impairment) == Impairment::Reset {
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
