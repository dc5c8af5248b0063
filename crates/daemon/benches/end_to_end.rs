//! Overhead of an instance over loopback: time to first token compared with a direct call to the
//! same engines, CPU time for each token, and CPU time and memory of an idle process.
//!
//! `cargo bench --bench end_to_end -p jacinthlever-daemon`; times differ between machines.

use std::fs;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use jacinthlever_client::{EngineClient, Timeouts};
use jacinthlever_local_fleet::{CustomerSpec, Fleet, FleetSpec, declarations};
use jacinthlever_types::{DecodeRequest, KvSource, PrefillRequest};
use smol_str::{SmolStr, format_smolstr};

/// Maximum wait for the fleet.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Number of requests for each median.
const REQUESTS: u32 = 60;

/// Number of tokens in each answer.
const TOKENS: u32 = 16;

/// Number of concurrent streams while CPU time is measured.
const STREAMS: u32 = 20;

/// Time for which the idle process is measured.
const IDLE_TIME: Duration = Duration::from_secs(5);

/// Clock ticks per second in `/proc`, a constant of the Linux interface for user space.
const TICKS_PER_SECOND: f64 = 100.0;

const NORTH: CustomerSpec = CustomerSpec {
    name: "north",
    rate: 1e7,
    burst: 1e8,
    weight: 1.0,
};

struct Daemon(Child);

impl Drop for Daemon {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Daemon {
    /// Returns the CPU time used so far, in seconds.
    fn cpu_seconds(&self) -> f64 {
        let text = fs::read_to_string(format!("/proc/{}/stat", self.0.id())).unwrap_or_default();
        let after_name = text.rsplit_once(')').map_or("", |(_, rest)| rest);
        let fields: Vec<&str> = after_name.split_whitespace().collect();
        // User and system time are fields 14 and 15 of the line, by proc(5).
        let ticks = [11, 12].map(|at| fields.get(at).and_then(|f| f.parse::<f64>().ok()));
        ticks.into_iter().flatten().sum::<f64>() / TICKS_PER_SECOND
    }

    /// Returns the resident memory of the process, in megabytes.
    fn memory_mb(&self) -> f64 {
        let text = fs::read_to_string(format!("/proc/{}/status", self.0.id())).unwrap_or_default();
        let line = text
            .lines()
            .find(|line| line.starts_with("VmRSS:"))
            .unwrap_or_default();
        let kilobytes = line
            .split_whitespace()
            .nth(1)
            .and_then(|text| text.parse::<f64>().ok());
        kilobytes.unwrap_or_default() / 1_024.0
    }
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let fleet = Fleet::spawn_standins(FleetSpec::new(1, 1, 1))?;
    let folder = std::env::temp_dir().join(format!("end-to-end-{}", std::process::id()));
    fs::create_dir_all(&folder)?;
    let path = folder.join("instance-0.json");
    fs::write(
        &path,
        fleet
            .spec
            .instance_settings(&fleet.spec.instances[0])
            .to_string(),
    )?;
    let daemon = Command::new(env!("CARGO_BIN_EXE_jacinthleverd"))
        .arg(&path)
        .stdin(Stdio::null())
        .stderr(Stdio::null())
        .spawn()?;
    let daemon = Daemon(daemon);
    fleet.wait_ready(&[0], 0, READY_TIMEOUT)?;
    let revision = fleet.edit(0, "bench", &declarations(&[NORTH]))?;
    fleet.wait_ready(&[0], revision, READY_TIMEOUT)?;
    measure_idle(&daemon);
    measure_first_token(&fleet);
    measure_tokens(&fleet, &daemon);
    println!("memory after the load      {:8.1} MB", daemon.memory_mb());
    fs::remove_dir_all(&folder)?;
    Ok(())
}

/// Measures the idle process.
fn measure_idle(daemon: &Daemon) {
    let before = daemon.cpu_seconds();
    thread::sleep(IDLE_TIME);
    let fraction = (daemon.cpu_seconds() - before) / IDLE_TIME.as_secs_f64();
    println!(
        "idle processor time        {:8.2} % of a core",
        100.0 * fraction
    );
    println!("idle memory                {:8.1} MB", daemon.memory_mb());
}

/// Measures the time to first token of direct and routed requests.
fn measure_first_token(fleet: &Fleet) {
    let mut direct: Vec<Duration> = (0..REQUESTS)
        .filter_map(|n| time_direct_call(fleet, n))
        .collect();
    let caller = fleet.caller(0, &NORTH.key());
    let mut routed: Vec<Duration> = (0..REQUESTS)
        .filter_map(|n| {
            let stream = caller.stream(&format!("routed {n}"), TOKENS).ok()?;
            Some(stream.finish().ok()?.time_to_first_token)
        })
        .collect();
    let median = |times: &mut Vec<Duration>| {
        times.sort();
        times
            .get(times.len() / 2)
            .copied()
            .unwrap_or_default()
            .as_secs_f64()
            * 1_000.0
    };
    let (direct, routed) = (median(&mut direct), median(&mut routed));
    println!("first token, direct        {direct:8.2} ms");
    println!("first token, routed        {routed:8.2} ms");
    println!("first token, added         {:8.2} ms", routed - direct);
}

/// Prefills and decodes by direct calls to the engines; returns the time to the first token.
fn time_direct_call(fleet: &Fleet, number: u32) -> Option<Duration> {
    let timeouts = Timeouts {
        connect: READY_TIMEOUT,
        read: READY_TIMEOUT,
    };
    let client = |id: &str| {
        let address = fleet.engines.get(id)?.address().to_string();
        Some((EngineClient::new(&address, timeouts), SmolStr::new(address)))
    };
    let (prefill, address) = client("prefill-0")?;
    let (decode, _) = client("decode-0")?;
    let request = format_smolstr!("direct-{number}");
    let start = Instant::now();
    let prompt = format!("direct {number}");
    let body = PrefillRequest {
        request: request.clone(),
        prompt,
        generated: 0,
    };
    let kv = prefill.prefill(&body).ok()?.kv;
    let source = KvSource { address, kv };
    let body = DecodeRequest {
        request,
        source,
        from: 0,
        max_tokens: TOKENS,
        priority: 0,
    };
    let mut stream = decode.decode(&body).ok()?;
    stream.next_line().ok()?;
    let first = start.elapsed();
    while stream.next_line().ok()?.finish.is_none() {}
    Some(first)
}

/// Measures throughput and CPU time under load.
fn measure_tokens(fleet: &Fleet, daemon: &Daemon) {
    let before = daemon.cpu_seconds();
    let start = Instant::now();
    let total: u64 = thread::scope(|scope| {
        let streams: Vec<_> = (0..STREAMS)
            .map(|n| {
                let caller = fleet.caller(0, &NORTH.key());
                scope.spawn(move || {
                    let answers = (0..10).filter_map(|round| {
                        let stream = caller.stream(&format!("load {n} {round}"), 60).ok()?;
                        Some(stream.finish().ok()?.tokens)
                    });
                    answers.sum::<u64>()
                })
            })
            .collect();
        streams
            .into_iter()
            .filter_map(|stream| stream.join().ok())
            .sum()
    });
    let cpu = daemon.cpu_seconds() - before;
    let seconds = start.elapsed().as_secs_f64();
    println!(
        "tokens streamed            {:8.0} tokens/s",
        total as f64 / seconds
    );
    println!(
        "processor time for a token {:8.1} us",
        cpu * 1e6 / total as f64
    );
}
