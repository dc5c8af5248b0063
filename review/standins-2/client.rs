//! Stand-in of a client that takes streams up again as the pages allow.

use std::io::{self, BufReader, Write};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{connect, read_chunk, read_head};
use crate::record::Record;

/// Time that a client allows a new connection.
const CONNECT_PATIENCE: Duration = Duration::from_secs(1);

/// What a client has seen of one stream, over all its attempts.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    pub name: String,
    /// Versions of the events, in order and each once.
    pub versions: Vec<String>,
    pub events: u64,
    pub last_event: u64,
    pub is_whole: bool,
    /// Attempts to take it up.
    pub take_ups: Vec<Attempt>,
    /// The first attempt.
    pub first: Attempt,
}

/// One attempt of a client.
#[derive(Clone, Debug, Default)]
pub struct Attempt {
    /// When it was sent.
    pub at: f64,
    /// Instance to which it was sent.
    pub address: String,
    /// Status of the answer; 0 without one.
    pub status: u16,
    /// Whether it has brought an event.
    pub went_on: bool,
    /// When its answer broke off, if it did.
    pub broken_at: Option<f64>,
}

/// What a client asks for, and how it tries again.
#[derive(Clone)]
pub struct Plan {
    pub path: String,
    pub pieces: u64,
    pub deadline: Duration,
    /// Least pauses before the further attempts; there are as many attempts as pauses.
    pub pauses: Vec<Duration>,
    pub key: &'static str,
}

/// Addresses of the instances that clients use; those that have failed a client are left out by it.
pub type Addresses = Arc<Mutex<Vec<String>>>;

enum Outcome {
    Whole,
    /// Broken off, with the status, 0 if there was none.
    Broken(u16),
    /// Answered with a failure; with the time after which to come back.
    Refused(u16, Option<Duration>),
}

/// Runs a stream to its end, or until the client gives up.
pub fn run(record: &Record, addresses: &Addresses, name: &str, plan: &Plan) -> Seen {
    let began = Instant::now();
    let mut seen = Seen {
        name: name.into(),
        ..Seen::default()
    };
    let mut failed: Vec<String> = Vec::new();
    let mut first_attempt: Option<String> = None;
    let mut pauses = plan.pauses.iter();
    for number in 1.. {
        let left = plan.deadline.saturating_sub(began.elapsed());
        if left.is_zero() {
            break;
        }
        let attempt = format!("{name}-{number}");
        let address = {
            let known = addresses.lock().unwrap();
            let usable: Vec<&String> = known.iter().filter(|a| !failed.contains(a)).collect();
            let choice = match usable.is_empty() {
                true => known.iter().collect(),
                false => usable,
            };
            let index = attempt.bytes().map(usize::from).sum::<usize>() % choice.len();
            choice[index].clone()
        };
        let at = record.at();
        let had = seen.events;
        let outcome = attempt_once(
            record,
            &address,
            &attempt,
            plan,
            left,
            &mut seen,
            &mut first_attempt,
        );
        let (status, text) = match &outcome {
            Ok(Outcome::Whole) => (200, "whole".to_string()),
            Ok(Outcome::Broken(status)) => (*status, "broken off".to_string()),
            Ok(Outcome::Refused(status, after)) => (*status, format!("retry after {after:?}")),
            Err(error) => (0, format!("no answer: {error}")),
        };
        record.line(&format!(
            "client {attempt} at {address}: {status}, {text}, events to {}, versions {}",
            seen.last_event,
            seen.versions.join("+")
        ));
        let made = Attempt {
            at,
            address: address.clone(),
            status,
            went_on: seen.events > had,
            broken_at: matches!(outcome, Ok(Outcome::Broken(_)) | Err(_)).then(|| record.at()),
        };
        if number == 1 {
            seen.first = made.clone();
        }
        if had > 0 {
            seen.take_ups.push(made);
        }
        let wait = match outcome {
            Ok(Outcome::Whole) => {
                seen.is_whole = true;
                break;
            }
            Ok(Outcome::Refused(_, after)) => after.unwrap_or_default(),
            Ok(Outcome::Broken(_)) | Err(_) => {
                failed.push(address);
                Duration::ZERO
            }
        };
        let Some(pause) = pauses.next() else {
            break;
        };
        let left = plan.deadline.saturating_sub(began.elapsed());
        thread::sleep(wait.min(left / 3).max(*pause).min(left));
    }
    seen
}

fn attempt_once(
    record: &Record,
    address: &str,
    attempt: &str,
    plan: &Plan,
    left: Duration,
    seen: &mut Seen,
    first_attempt: &mut Option<String>,
) -> io::Result<Outcome> {
    let mut stream = connect(address, CONNECT_PATIENCE)?;
    stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
    let mut text = format!(
        "POST {} HTTP/1.1\r\nHost: quotes.example\r\nRequest-Id: {attempt}\r\nModel: m\r\n\
         Token-Counts: 300,{}\r\nPrompt-Prefix: 5c1e07a2:200,{:x}:100\r\nDeadline-Ms: {}\r\nApi-Key: {}\r\n",
        plan.path,
        plan.pieces,
        attempt
            .bytes()
            .fold(7u64, |hash, b| hash.wrapping_mul(31).wrapping_add(b.into())),
        left.as_millis(),
        plan.key,
    );
    if let Some(first) = first_attempt.as_ref() {
        text += &format!("Last-Event-Id: {}\r\nResumes: {first}\r\n", seen.last_event);
    }
    text += "Content-Length: 6\r\n\r\nprompt";
    record.line(&format!(
        "client {attempt} sends to {address} after event {}",
        seen.last_event
    ));
    stream.write_all(text.as_bytes())?;
    let mut input = BufReader::new(stream);
    let head = read_head(&mut input)?;
    let status = head.status();
    if status != 200 || head.header("server-stamp").is_none() {
        let after = head
            .header("retry-after")
            .and_then(|text| text.parse().ok());
        return Ok(Outcome::Refused(status, after.map(Duration::from_secs_f64)));
    }
    let mut text = String::new();
    loop {
        let Ok(chunk) = read_chunk(&mut input) else {
            return Ok(Outcome::Broken(status));
        };
        if chunk.is_empty() {
            return Ok(match seen.last_event == plan.pieces {
                true => Outcome::Whole,
                false => Outcome::Broken(status),
            });
        }
        text += &String::from_utf8_lossy(&chunk);
        while let Some((event, rest)) = text.split_once("\n\n") {
            let field = |name: &str| {
                let mut lines = event.lines();
                lines.find_map(|line| line.strip_prefix(name).map(str::trim))
            };
            let id = field("id:").and_then(|id| id.parse().ok()).unwrap_or(0);
            let version = field("data:").and_then(|data| data.split(' ').next());
            if let Some(version) = version.map(str::to_string)
                && !seen.versions.contains(&version)
            {
                seen.versions.push(version);
            }
            seen.last_event = id;
            seen.events += 1;
            first_attempt.get_or_insert_with(|| attempt.to_string());
            text = rest.to_string();
        }
    }
}
