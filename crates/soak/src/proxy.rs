//! A proxy on loopback that harms the connections through it.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use socket2::SockRef;

/// How often a connection that forwards nothing looks whether it may again.
const LOOK: Duration = Duration::from_millis(20);

/// Bytes that are forwarded at once.
const CHUNK: usize = 16 * 1024;

/// What the proxy does to its connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Harm {
    /// Nothing.
    #[default]
    None,
    /// Bytes are forwarded later.
    Delay(Duration),
    /// Open connections are reset, and new ones at once.
    Reset,
    /// No byte is forwarded, and nothing is closed.
    Silent,
    /// Bytes towards the target are held back, those from it are forwarded.
    NothingThere,
    /// Bytes from the target are held back, those towards it are forwarded.
    NothingBack,
}

/// Which way bytes go.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Way {
    There,
    Back,
}

impl Harm {
    fn holds_back(self, way: Way) -> bool {
        match self {
            Self::Silent => true,
            Self::NothingThere => way == Way::There,
            Self::NothingBack => way == Way::Back,
            Self::None | Self::Delay(_) | Self::Reset => false,
        }
    }
}

/// A running proxy; it ends with the process.
#[derive(Debug)]
pub struct Proxy {
    /// Address to connect to.
    pub address: SocketAddr,
    harm: Arc<Mutex<Harm>>,
}

impl Proxy {
    /// Starts a proxy before a target.
    ///
    /// # Errors
    /// Fails if no port can be bound.
    pub fn spawn(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let proxy = Self {
            address: listener.local_addr()?,
            harm: Arc::default(),
        };
        let harm = proxy.harm.clone();
        thread::spawn(move || {
            for accepted in listener.incoming().flatten() {
                let harm = harm.clone();
                thread::spawn(move || forward(accepted, target, &harm));
            }
        });
        Ok(proxy)
    }

    /// Begins to harm connections, or ends it with [`Harm::None`].
    pub fn set(&self, harm: Harm) {
        *lock(&self.harm) = harm;
    }
}

fn forward(near: TcpStream, target: SocketAddr, harm: &Arc<Mutex<Harm>>) {
    if *lock(harm) == Harm::Reset {
        return reset(&near);
    }
    let Ok(far) = TcpStream::connect(target) else {
        return reset(&near);
    };
    let (Ok(near_again), Ok(far_again)) = (near.try_clone(), far.try_clone()) else {
        return reset(&near);
    };
    let back = {
        let harm = harm.clone();
        thread::spawn(move || copy(far_again, near_again, Way::Back, &harm))
    };
    copy(near, far, Way::There, harm);
    // A thread that has ended by a panic has closed its ends as well.
    let _ = back.join();
}

/// Copies until one end closes or the connection is reset.
fn copy(mut from: TcpStream, mut to: TcpStream, way: Way, harm: &Mutex<Harm>) {
    let timeout = from.set_read_timeout(Some(LOOK));
    let mut buf = vec![0; CHUNK];
    while timeout.is_ok() {
        let now = *lock(harm);
        if now == Harm::Reset {
            reset(&from);
            return reset(&to);
        }
        if now.holds_back(way) {
            thread::sleep(LOOK);
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
        if let Harm::Delay(delay) = now {
            thread::sleep(delay);
        }
        if to.write_all(&buf[..length]).is_err() {
            reset(&from);
            break;
        }
    }
    // The other end may be closed already.
    let _ = to.shutdown(Shutdown::Write);
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
    )
}

/// Closes a connection so that its other end sees a reset.
fn reset(stream: &TcpStream) {
    // The connection may be gone already; then there is nothing to reset.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
    let _ = stream.shutdown(Shutdown::Both);
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}
