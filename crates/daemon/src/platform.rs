//! The threads that use the platform's services.

use std::io;
use std::thread;
use std::time::Duration;

use crossbeam::channel::{Receiver, Sender, bounded};
use jacinthlever_client::{PlatformClient, Timeouts};
use jacinthlever_core::{Event, OpId, PlatformOp, Unsettled};

use crate::Settings;

/// Time to connect to a platform service.
const CONNECT: Duration = Duration::from_millis(500);

/// Pause between two reads of the list.
const LIST_EVERY: Duration = Duration::from_secs(1);

/// Operations that may wait for a thread.
const WAITING: usize = 256;

/// Threads for writes of lease and slot rows, which nothing may hold up.
const LEASE_THREADS: usize = 2;

/// Threads for other writes.
const WRITE_THREADS: usize = 6;

/// Threads for reads.
const READ_THREADS: usize = 4;

/// Prefix of lease and slot rows.
const FLEET_PREFIX: &str = "fleet/";

type Job = (OpId, PlatformOp);

/// The rings to the threads that use the platform.
#[derive(Clone, Debug)]
pub struct Platform {
    leases: Sender<Job>,
    writes: Sender<Job>,
    reads: Sender<Job>,
    events: Sender<Event>,
}

impl Platform {
    /// Starts the threads, and the one that follows the list.
    ///
    /// # Errors
    /// Fails if a thread cannot be started.
    pub fn spawn(settings: &Settings, events: Sender<Event>) -> io::Result<Self> {
        let timeouts = Timeouts {
            connect: CONNECT,
            read: settings.platform_timeout,
        };
        let client = PlatformClient::new(
            &settings.table_address.to_string(),
            &settings.object_address.to_string(),
            &settings.list_address.to_string(),
            timeouts,
        );
        let pool = |name: &str, threads| spawn_pool(name, threads, &client, &events);
        let platform = Self {
            leases: pool("lease", LEASE_THREADS)?,
            writes: pool("write", WRITE_THREADS)?,
            reads: pool("read", READ_THREADS)?,
            events: events.clone(),
        };
        thread::Builder::new()
            .name("list".into())
            .spawn(move || follow_list(&client, &events))?;
        Ok(platform)
    }

    /// Hands an operation to a thread; with none free it ends unsettled, and was not sent.
    pub fn start(&self, op: OpId, request: PlatformOp) {
        let ring = match &request {
            PlatformOp::Transact(transaction) => {
                let mut writes = transaction.writes.iter();
                match writes.any(|write| write.key.starts_with(FLEET_PREFIX)) {
                    true => &self.leases,
                    false => &self.writes,
                }
            }
            PlatformOp::PutObject { .. } => &self.writes,
            PlatformOp::Rows { .. } | PlatformOp::GetObject { .. } => &self.reads,
        };
        if ring.try_send((op, request)).is_err() {
            let event = Event::Platform {
                op,
                result: Err(Unsettled),
            };
            // The core reads its ring always, but must not wait for itself.
            if self.events.try_send(event).is_err() {
                log::warn!("a platform operation failed and the core's ring was full");
            }
        }
    }
}

fn spawn_pool(
    name: &str,
    threads: usize,
    client: &PlatformClient,
    events: &Sender<Event>,
) -> io::Result<Sender<Job>> {
    let (tx, rx) = bounded(WAITING);
    for number in 0..threads {
        let (client, rx, events) = (client.clone(), rx.clone(), events.clone());
        thread::Builder::new()
            .name(format!("{name}-{number}"))
            .spawn(move || work(&client, &rx, &events))?;
    }
    Ok(tx)
}

fn work(client: &PlatformClient, jobs: &Receiver<Job>, events: &Sender<Event>) {
    while let Ok((op, request)) = jobs.recv() {
        let result = client.execute(&request);
        if events.send(Event::Platform { op, result }).is_err() {
            return;
        }
    }
}

/// Follows the platform's list until the core has ended.
fn follow_list(client: &PlatformClient, events: &Sender<Event>) {
    let mut after = 0;
    loop {
        if let Ok(list) = client.list_changes(after) {
            after = list.revision;
            if events.send(Event::List(list.into())).is_err() {
                return;
            }
        }
        thread::sleep(LIST_EVERY);
    }
}
