//! What happens to the fleet while the load runs.

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use jacinthlever_local_fleet::Fleet;
use jacinthlever_types::KeyHash;
use serde_json::json;

use crate::fleet::{CUSTOMERS, INSTANCES, LIMITED_CUSTOMER, WITHDRAWN_KEY};
use crate::load::Load;
use crate::tally::Tally;

/// Threads of the load.
const THREADS: u64 = 40;

/// Instance that is drained.
const DRAINED: u16 = 5;

/// Engine that crashes and comes back.
const CRASHED: &str = "decode-1";

/// Rate that the limited customer is given.
pub const EDITED_RATE: f64 = 500.0;

/// Burst that the limited customer is given.
pub const EDITED_BURST: f64 = 2_000.0;

/// When things happened, since the load began.
#[derive(Clone, Copy, Debug, Default)]
pub struct Events {
    /// The key's withdrawal was accepted.
    pub withdrawn: Duration,
    /// The limit's edit was accepted.
    pub limited: Duration,
    /// The drain began and ended.
    pub drained: (Duration, Option<Duration>),
}

/// Drives load and events; returns when they happened.
///
/// # Errors
/// Fails if an edit is not accepted.
pub fn drive(
    fleet: &mut Fleet,
    tally: &Tally,
    seconds: u64,
    seed: u64,
) -> Result<Events, Box<dyn std::error::Error>> {
    let start = Instant::now();
    let stop = AtomicBool::new(false);
    let addresses: Vec<String> = (0..INSTANCES).map(|n| fleet.caller_address(n)).collect();
    let mut events = Events::default();
    thread::scope(|scope| {
        for number in 0..THREADS {
            let (addresses, stop) = (&addresses, &stop);
            scope.spawn(move || {
                Load {
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
        let happened = happen(fleet, tally, seconds, start, &mut events);
        stop.store(true, Ordering::Relaxed);
        happened
    })?;
    Ok(events)
}

fn happen(
    fleet: &mut Fleet,
    tally: &Tally,
    seconds: u64,
    start: Instant,
    events: &mut Events,
) -> Result<(), Box<dyn std::error::Error>> {
    let at = |tenths: u64| Duration::from_millis(seconds * tenths * 100);
    let wait = |until: Duration| progress(tally, start, until);
    wait(at(2));
    let limits = json!({"rate": EDITED_RATE, "burst": EDITED_BURST, "weight": 1.0});
    let row = format!("customer/{LIMITED_CUSTOMER}");
    fleet.edit(1, "demo-limit", &[json!({"row": row, "value": limits})])?;
    events.limited = start.elapsed();
    println!("  limit of {LIMITED_CUSTOMER} edited: {EDITED_RATE} tokens/s, burst {EDITED_BURST}");
    wait(at(3));
    let row = format!("key/{}", KeyHash::of(WITHDRAWN_KEY).to_hex());
    fleet.edit(2, "demo-withdraw", &[json!({"row": row, "value": null})])?;
    events.withdrawn = start.elapsed();
    println!("  key withdrawn");
    wait(at(4));
    if let Some(engine) = fleet.engines.get(CRASHED) {
        engine.crash();
        println!("  engine {CRASHED} crashed");
    }
    wait(at(5));
    events.drained.0 = start.elapsed();
    if let Some(daemon) = fleet.instances.remove(&DRAINED) {
        println!("  instance {DRAINED} drains");
        daemon.drain();
        let drained = thread::spawn(move || daemon.wait());
        wait(at(7));
        if let Some(engine) = fleet.engines.get(CRASHED) {
            engine.restart()?;
            println!("  engine {CRASHED} is back");
        }
        wait(at(10));
        events.drained.1 = drained.is_finished().then(|| start.elapsed());
    }
    let names: Vec<&str> = CUSTOMERS.iter().map(|customer| customer.name).collect();
    println!("  load of {} ends", names.join(", "));
    Ok(())
}

/// Waits and shows a line of progress each second.
fn progress(tally: &Tally, start: Instant, until: Duration) {
    while start.elapsed() < until {
        let left = until.saturating_sub(start.elapsed());
        thread::sleep(left.min(Duration::from_secs(1)));
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
        println!("{seconds:5.1} s  {sent:6} sent  {answered:6} answered in full");
    }
}
