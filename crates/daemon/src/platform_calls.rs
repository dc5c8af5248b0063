//! The thread pools that call the platform services.

use std::io;
use std::thread;
use std::time::Duration;

use crossbeam::channel::{Receiver, Sender, bounded};
use jacinthlever_client::{PlatformClient, Timeouts};
use jacinthlever_core::{Event, OpId, PlatformOp, Unsettled};

use crate::Settings;

/// Maximum time to connect to a platform service.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval between two reads of the platform's list of machines.
const LIST_INTERVAL: Duration = Duration::from_secs(1);

/// Capacity of the queue of each thread pool.
const QUEUE_CAPACITY: usize = 256;

/// Number of threads for writes of lease and partition rows. They are separate, as other operations
/// must not delay these writes.
const LEASE_THREADS: usize = 2;

/// Number of threads for other writes.
const WRITE_THREADS: usize = 6;

/// Number of threads for reads.
const READ_THREADS: usize = 4;

/// Key prefix of lease and partition rows.
const FLEET_PREFIX: &str = "fleet/";

type Job = (OpId, PlatformOp);

/// The queues of the threads that call the platform services.
#[derive(Clone, Debug)]
pub struct PlatformCalls {
    leases: Sender<Job>,
    writes: Sender<Job>,
    reads: Sender<Job>,
    events: Sender<Event>,
}

impl PlatformCalls {
    /// Starts the thread pools and the thread that polls the list of machines.
    ///
    /// # Errors
    /// Fails if a thread cannot be started.
    pub fn spawn(settings: &Settings, events: Sender<Event>) -> io::Result<Self> {
        let timeouts = Timeouts {
            connect: CONNECT_TIMEOUT,
            read: settings.platform_timeout,
        };
        let client = PlatformClient::new(
            &settings.table_address.to_string(),
            &settings.object_address.to_string(),
            &settings.list_address.to_string(),
            timeouts,
        );
        let pool = |name: &str, threads| spawn_pool(name, threads, &client, &events);
        let platform_calls = Self {
            leases: pool("lease", LEASE_THREADS)?,
            writes: pool("write", WRITE_THREADS)?,
            reads: pool("read", READ_THREADS)?,
            events: events.clone(),
        };
        thread::Builder::new()
            .name("list".into())
            .spawn(move || poll_machine_list(&client, &events))?;
        Ok(platform_calls)
    }

    /// Queues an operation for a thread. If the queue is full, the operation is not sent and
    /// its result is [`Unsettled`].
    pub fn start(&self, op: OpId, request: PlatformOp) {
        let queue = match &request {
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
        if queue.try_send((op, request)).is_err() {
            let event = Event::Platform {
                op,
                result: Err(Unsettled),
            };
            // This runs on the core's thread, which must not block on its own queue.
            if self.events.try_send(event).is_err() {
                log::warn!(
                    "a platform operation was not sent because its queue was full; the core is not \
                     notified, as its event queue is full too"
                );
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
    let (tx, rx) = bounded(QUEUE_CAPACITY);
    for number in 0..threads {
        let (client, rx, events) = (client.clone(), rx.clone(), events.clone());
        thread::Builder::new()
            .name(format!("{name}-{number}"))
            .spawn(move || run_worker(&client, &rx, &events))?;
    }
    Ok(tx)
}

/// Executes queued operations until the core thread has ended.
fn run_worker(client: &PlatformClient, jobs: &Receiver<Job>, events: &Sender<Event>) {
    while let Ok((op, request)) = jobs.recv() {
        let result = client.execute(&request);
        if events.send(Event::Platform { op, result }).is_err() {
            return;
        }
    }
}

/// Polls the platform's list of machines until the core thread has ended.
fn poll_machine_list(client: &PlatformClient, events: &Sender<Event>) {
    let mut after = 0;
    loop {
        if let Ok(list) = client.list_changes(after) {
            after = list.revision;
            if events.send(Event::List(list.into())).is_err() {
                return;
            }
        }
        thread::sleep(LIST_INTERVAL);
    }
}
