//! Edits and failures while the load runs.

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use jacinthlever_local_fleet::Fleet;
use jacinthlever_types::KeyHash;
use serde_json::json;

use crate::fleet::{CUSTOMERS, INSTANCE_COUNT, LIMITED_CUSTOMER, REVOKED_KEY};
use crate::load::LoadThread;
use crate::tally::Tally;

/// Number of threads of the load.
const LOAD_THREADS: u64 = 40;

/// Number of the instance that is drained.
const DRAINED_INSTANCE: u16 = 5;

/// Name of the engine that crashes and is restarted.
const CRASHED_ENGINE: &str = "decode-1";

/// Rate to which the limit of [`LIMITED_CUSTOMER`] is edited, in tokens per second.
pub const EDITED_RATE: f64 = 500.0;

/// Burst to which the limit of [`LIMITED_CUSTOMER`] is edited, in tokens.
pub const EDITED_BURST: f64 = 2_000.0;

/// Times of the events, since the start of the load.
#[derive(Clone, Copy, Debug, Default)]
pub struct Events {
    /// Time at which the edit that revokes the key was accepted.
    pub key_revoked: Duration,
    /// Time at which the edit of the limit was accepted.
    pub limit_edited: Duration,
    /// Start of the drain, and the end of the load if the instance had exited by then.
    pub drain: (Duration, Option<Duration>),
}

/// Runs the load and the events; returns the times of the events.
///
/// # Errors
/// Fails if an edit is not accepted or the crashed engine cannot be restarted.
pub fn run(
    fleet: &mut Fleet,
    tally: &Tally,
    seconds: u64,
    seed: u64,
) -> Result<Events, Box<dyn std::error::Error>> {
    let start = Instant::now();
    let stop = AtomicBool::new(false);
    let addresses: Vec<String> = (0..INSTANCE_COUNT)
        .map(|n| fleet.caller_address(n))
        .collect();
    let mut events = Events::default();
    thread::scope(|scope| {
        for number in 0..LOAD_THREADS {
            let (addresses, stop) = (&addresses, &stop);
            scope.spawn(move || {
                LoadThread {
                    number,
                    seed,
                    addresses,
                    start,
                    stop,
                    tally,
                }
                .run()
            });
        }
        let result = run_events(fleet, tally, seconds, start, &mut events);
        stop.store(true, Ordering::Relaxed);
        result
    })?;
    Ok(events)
}

fn run_events(
    fleet: &mut Fleet,
    tally: &Tally,
    seconds: u64,
    start: Instant,
    events: &mut Events,
) -> Result<(), Box<dyn std::error::Error>> {
    let at = |tenths: u64| Duration::from_millis(seconds * tenths * 100);
    let wait = |deadline: Duration| wait_with_progress(tally, start, deadline);
    wait(at(2));
    let limits = json!({"rate": EDITED_RATE, "burst": EDITED_BURST, "weight": 1.0});
    let row = format!("customer/{LIMITED_CUSTOMER}");
    fleet.edit(1, "demo-limit", &[json!({"row": row, "value": limits})])?;
    events.limit_edited = start.elapsed();
    println!("  limit of {LIMITED_CUSTOMER} edited: {EDITED_RATE} tokens/s, burst {EDITED_BURST}");
    wait(at(3));
    let row = format!("key/{}", KeyHash::of(REVOKED_KEY).to_hex());
    fleet.edit(2, "demo-withdraw", &[json!({"row": row, "value": null})])?;
    events.key_revoked = start.elapsed();
    println!("  key revoked");
    wait(at(4));
    if let Some(engine) = fleet.engines.get(CRASHED_ENGINE) {
        engine.crash();
        println!("  engine {CRASHED_ENGINE} crashed");
    }
    wait(at(5));
    events.drain.0 = start.elapsed();
    if let Some(daemon) = fleet.instances.remove(&DRAINED_INSTANCE) {
        println!("  instance {DRAINED_INSTANCE} starts to drain");
        daemon.drain();
        let drain_thread = thread::spawn(move || daemon.wait());
        wait(at(7));
        if let Some(engine) = fleet.engines.get(CRASHED_ENGINE) {
            engine.restart()?;
            println!("  engine {CRASHED_ENGINE} restarted");
        }
        wait(at(10));
        events.drain.1 = drain_thread.is_finished().then(|| start.elapsed());
    }
    let names: Vec<&str> = CUSTOMERS.iter().map(|customer| customer.name).collect();
    println!("  load of {} ends", names.join(", "));
    Ok(())
}

/// Waits until `deadline` after the start and prints a line of progress each second.
fn wait_with_progress(tally: &Tally, start: Instant, deadline: Duration) {
    while start.elapsed() < deadline {
        let remaining = deadline.saturating_sub(start.elapsed());
        thread::sleep(remaining.min(Duration::from_secs(1)));
        let counts = tally.counts();
        let sent: u64 = counts
            .customers
            .values()
            .map(|customer| customer.sent)
            .sum();
        let answered: u64 = counts
            .customers
            .values()
            .map(|customer| customer.answered)
            .sum();
        let seconds = start.elapsed().as_secs_f64();
        println!("{seconds:5.1} s  {sent:6} sent  {answered:6} answered completely");
    }
}
