//! Fleets with real threads and TCP in one process: interrupted streams, disconnects and drains.

use std::collections::BTreeMap;
use std::thread;
use std::time::Duration;

use jacinthlever_local_fleet::{CustomerSpec, Fleet, FleetSpec, StreamEnd, declarations};
use jacinthlever_standins::{Faults, expected_answer};
use jacinthlever_types::KeyHash;
use serde_json::json;

/// Maximum wait for a state; every state is reached much earlier.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// Time in which engine memory must be free again after the last request has ended.
const FREE_WITHIN: Duration = Duration::from_secs(2);

/// Added to guaranteed times for a loaded machine.
const SLACK: Duration = Duration::from_secs(3);

const NORTH: CustomerSpec = CustomerSpec {
    name: "north",
    rate: 1e6,
    burst: 1e7,
    weight: 1.0,
};

const SOUTH: CustomerSpec = CustomerSpec {
    name: "south",
    rate: 1e6,
    burst: 1e7,
    weight: 1.0,
};

fn fleet(instances: u16, prefills: u16, decodes: u16) -> Fleet {
    let fleet = Fleet::spawn(FleetSpec::new(instances, prefills, decodes)).expect("a fleet");
    let numbers: Vec<u16> = (0..instances).collect();
    fleet.wait_ready(&numbers, 0, MAX_WAIT).expect("ready");
    let revision = fleet
        .edit(0, "fixture", &declarations(&[NORTH, SOUTH]))
        .expect("an edit");
    fleet
        .wait_ready(&numbers, revision, MAX_WAIT)
        .expect("in force");
    fleet
}

/// Asserts that all engine memory is freed in time.
fn assert_freed(fleet: &Fleet) {
    let freed = fleet.wait_until(FREE_WITHIN + SLACK, "free memory", || {
        fleet.used_engine_slots() == 0
    });
    freed.expect("engine memory is free");
}

#[test]
fn interrupted_streams_are_resumed_and_every_token_arrives_once() {
    let fleet = fleet(2, 1, 2);
    for engine in ["decode-0", "decode-1"] {
        let faults = Faults {
            break_streams: 2,
            ..Faults::default()
        };
        fleet.engines[engine].set_faults(faults);
    }
    for number in 0..6 {
        let prompt = format!("a quote for house {number}");
        let stream = fleet
            .caller(number % 2, &NORTH.key())
            .stream(&prompt, 30)
            .expect("a stream");
        let answer = stream.finish().expect("a complete answer");
        assert_eq!(answer.text, expected_answer(&prompt, 30));
    }
    assert_freed(&fleet);
}

#[test]
fn misrouted_tokens_reach_no_caller() {
    let fleet = fleet(1, 1, 2);
    fleet.engines["decode-0"].set_faults(Faults {
        misattributed_lines: 3,
        ..Faults::default()
    });
    for number in 0..6 {
        let prompt = format!("a quote for house {number}");
        let answer = fleet
            .caller(0, &NORTH.key())
            .complete(&prompt, 20)
            .expect("an answer");
        assert_eq!(answer.text, expected_answer(&prompt, 20));
    }
    assert_freed(&fleet);
}

#[test]
fn requests_complete_although_engines_crash_or_stall() {
    let fleet = fleet(2, 2, 2);
    thread::scope(|scope| {
        let threads: Vec<_> = (0..12u16)
            .map(|number| {
                let caller = fleet.caller(number % 2, &NORTH.key());
                scope.spawn(move || {
                    let prompt = format!("digest {number}");
                    let answer = caller.stream(&prompt, 60).expect("a stream").finish();
                    assert_eq!(
                        answer.expect("a complete answer").text,
                        expected_answer(&prompt, 60)
                    );
                })
            })
            .collect();
        thread::sleep(Duration::from_millis(400));
        fleet.engines["decode-0"].crash();
        threads
            .into_iter()
            .for_each(|thread| thread.join().expect("an answer"));
    });
    fleet.engines["decode-0"].restart().expect("a restart");
    fleet.engines["decode-1"].set_faults(Faults {
        stall: true,
        ..Faults::default()
    });
    for number in 0..4 {
        let prompt = format!("note {number}");
        let answer = fleet.caller(number % 2, &NORTH.key()).complete(&prompt, 10);
        assert_eq!(
            answer.expect("an answer").text,
            expected_answer(&prompt, 10)
        );
    }
}

#[test]
fn engine_memory_is_freed_when_callers_disconnect_in_any_phase() {
    let fleet = fleet(2, 1, 1);
    let long = "plaster ".repeat(4_000);
    let caller = fleet.caller(0, &NORTH.key());
    // During the decode.
    for _ in 0..3 {
        let mut stream = caller.stream("a long story", 200).expect("a stream");
        stream.next_token().expect("a token");
        drop(stream);
    }
    assert_freed(&fleet);
    // While the request is queued, in prefill and in KV transfer: the connection is closed before
    // a response.
    for wait in [0, 50, 200, 420, 450] {
        let address = fleet.caller_address(1);
        let body = json!({"model": "quill", "prompt": long, "max_tokens": 100, "stream": true});
        send_and_disconnect(&address, &body.to_string(), Duration::from_millis(wait));
    }
    assert_freed(&fleet);
    let answer = caller.complete("still here", 5).expect("an answer");
    assert_eq!(answer.text, expected_answer("still here", 5));
}

/// Sends a completion request and closes the connection after a time.
fn send_and_disconnect(address: &str, body: &str, after: Duration) {
    use std::io::Write;
    let mut stream = std::net::TcpStream::connect(address).expect("a connection");
    let request = format!(
        "POST /v1/completions HTTP/1.1\r\nHost: router\r\nAuthorization: Bearer {}\r\n\
         Content-Length: {}\r\n\r\n{body}",
        NORTH.key(),
        body.len()
    );
    stream.write_all(request.as_bytes()).expect("sent");
    thread::sleep(after);
}

#[test]
fn revoking_a_key_ends_its_streams_and_frees_engine_memory() {
    let fleet = fleet(3, 1, 1);
    let key = "second-key-of-north-0123456789";
    let row = format!("key/{}", KeyHash::of(key).to_hex());
    let revision = fleet
        .edit(
            0,
            "grant",
            &[json!({"row": row, "value": {"customer": "north"}})],
        )
        .expect("granted");
    fleet
        .wait_ready(&[0, 1, 2], revision, MAX_WAIT)
        .expect("in force");
    let mut streams: Vec<_> = (0..3)
        .map(|n| {
            fleet
                .caller(n, key)
                .stream(&format!("story {n}"), 4_000)
                .expect("a stream")
        })
        .collect();
    for stream in &mut streams {
        stream.next_token().expect("a token");
    }
    fleet
        .edit(1, "withdraw", &[json!({"row": row, "value": null})])
        .expect("revoked");
    for stream in streams {
        match stream.finish() {
            // The answer was complete before the edit was in force.
            Ok(answer) => assert!(answer.tokens < 4_000),
            Err(StreamEnd::Refused(refusal)) => assert_eq!(refusal.code, "key_withdrawn"),
            Err(StreamEnd::Disconnected) => panic!("disconnected without an error event"),
        }
    }
    assert_freed(&fleet);
    for number in 0..3 {
        let refusal = fleet
            .caller(number, key)
            .complete("x", 2)
            .expect_err("revoked");
        assert_eq!(
            (refusal.status, refusal.code.as_str()),
            (401, "key_unknown")
        );
        fleet
            .caller(number, &NORTH.key())
            .complete("x", 2)
            .expect("the other key works");
    }
}

#[test]
fn a_draining_instance_completes_its_streams_and_names_other_instances() {
    let mut fleet = fleet(3, 1, 2);
    let mut streams: Vec<_> = (0..6)
        .map(|n| {
            let prompt = format!("estimate {n}");
            (
                prompt.clone(),
                fleet
                    .caller(2, &NORTH.key())
                    .stream(&prompt, 60)
                    .expect("a stream"),
            )
        })
        .collect();
    for (_, stream) in &mut streams {
        stream.next_token().expect("a token");
    }
    let daemon = fleet.instances.remove(&2).expect("an instance");
    daemon.drain();
    let refusal = loop {
        match fleet.caller(2, &NORTH.key()).complete("new work", 2) {
            Ok(_) => thread::sleep(Duration::from_millis(10)),
            Err(refusal) => break refusal,
        }
    };
    assert_eq!(refusal.code, "draining");
    assert!(!refusal.may_have_run);
    assert!(
        refusal.body.contains(&fleet.caller_address(0)),
        "{}",
        refusal.body
    );
    for (prompt, stream) in streams {
        let answer = stream.finish().expect("a complete answer");
        assert_eq!(answer.text, expected_answer(&prompt, 60));
    }
    daemon.wait();
    let addresses = fleet
        .caller(0, &NORTH.key())
        .lookup_addresses()
        .expect("addresses")
        .to_string();
    assert!(!addresses.contains(&fleet.caller_address(2)), "{addresses}");
    fleet
        .wait_ready(&[0, 1], 0, MAX_WAIT)
        .expect("the others own all partitions");
}

#[test]
fn no_key_reaches_a_backend_server_or_a_platform_service() {
    let fleet = fleet(2, 1, 1);
    let caller = fleet.caller(0, &NORTH.key());
    caller.complete("x", 3).expect("an answer");
    caller
        .call("POST", "/bookings/new", "a house", Some("k"))
        .expect("a booking");
    caller
        .call("GET", "/crews/list?day=1", "", None)
        .expect("a lookup");
    let unknown = fleet.caller(1, "a-key-that-was-never-granted");
    unknown.complete("x", 3).expect_err("refused");
    let received = fleet.received();
    for key in [NORTH.key().as_str(), "a-key-that-was-never-granted"] {
        let found = received
            .windows(key.len())
            .any(|window| window == key.as_bytes());
        assert!(!found, "{key} was forwarded");
    }
    assert!(!received.is_empty());
}

#[test]
fn bookings_sent_to_several_instances_at_once_run_once() {
    let fleet = fleet(3, 1, 1);
    thread::scope(|scope| {
        for house in 0..10 {
            for number in 0..3 {
                let caller = fleet.caller(number, &NORTH.key());
                scope.spawn(move || {
                    let (body, key) = (format!("house {house}"), format!("key-{house}"));
                    let answer = caller.call("POST", "/bookings/new", &body, Some(&key));
                    assert_eq!(answer.expect("an outcome").status, 200);
                });
            }
        }
    });
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for run in fleet.workers.values().flat_map(|worker| worker.runs()) {
        *runs.entry(run.body).or_default() += 1;
    }
    assert_eq!(runs.len(), 10);
    assert!(runs.values().all(|count| *count == 1), "{runs:?}");
}

#[test]
fn a_lookup_is_retried_on_another_worker_and_a_booking_is_not() {
    let fleet = fleet(1, 1, 1);
    for worker in ["scheduling-0", "scheduling-1"] {
        fleet.workers[worker].set_faults(Faults {
            lose_replies: 1,
            ..Faults::default()
        });
    }
    let caller = fleet.caller(0, &NORTH.key());
    let refusal = caller
        .call("POST", "/bookings/new", "a house", None)
        .expect_err("lost");
    assert_eq!(
        (refusal.code.as_str(), refusal.may_have_run),
        ("backend_failed", true)
    );
    let answer = caller
        .call("GET", "/crews/list", "", None)
        .expect("an answer of another worker");
    assert_eq!(answer.status, 200);
    let runs = fleet.workers.values().flat_map(|worker| worker.runs());
    assert_eq!(runs.filter(|run| run.method == "POST").count(), 1);
}

#[test]
fn metrics_have_a_histogram_for_each_customer_and_class() {
    let fleet = fleet(1, 1, 1);
    fleet
        .caller(0, &NORTH.key())
        .complete("x", 5)
        .expect("an answer");
    fleet
        .caller(0, &SOUTH.key())
        .complete("y", 5)
        .expect("an answer");
    let has = |text: &str, name: &str, customer: &str| {
        text.lines().any(|line| {
            line.starts_with(name)
                && line.contains(&format!("customer=\"{customer}\""))
                && line.contains("class=\"patient\"")
        })
    };
    let exported = fleet.wait_until(MAX_WAIT, "all histograms", || {
        let text = metrics(&fleet);
        [
            "first_token_seconds_bucket",
            "between_tokens_seconds_bucket",
            "queue_wait_seconds_bucket",
            "tokens_bucket",
        ]
        .iter()
        .all(|name| {
            let name = format!("jacinthlever_{name}");
            has(&text, &name, "north") && has(&text, &name, "south")
        })
    });
    exported.unwrap_or_else(|error| panic!("{error}: {}", metrics(&fleet)));
    assert!(!metrics(&fleet).contains(&NORTH.key()));
}

/// Returns the response to `GET /metrics`.
fn metrics(fleet: &Fleet) -> String {
    use std::io::{Read, Write};
    let mut stream = std::net::TcpStream::connect(fleet.operator_address(0)).expect("connected");
    let request = "GET /metrics HTTP/1.1\r\nHost: router\r\nConnection: close\r\n\r\n";
    stream.write_all(request.as_bytes()).expect("sent");
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("an answer");
    text
}

#[test]
fn the_operators_api_requires_its_credential() {
    let fleet = fleet(1, 1, 1);
    let timeouts = jacinthlever_client::Timeouts {
        connect: MAX_WAIT,
        read: MAX_WAIT,
    };
    let address = fleet.operator_address(0);
    for credential in ["", "wrong", &NORTH.key()] {
        let client = jacinthlever_client::OperatorClient::new(&address, credential, timeouts);
        for path in ["/ops/v1/status", "/ops/v1/rows"] {
            let error = client.get(path).expect_err("refused").to_string();
            assert!(error.contains("401"), "{error}");
        }
        client
            .post("/ops/v1/drain", &json!({}))
            .expect_err("refused");
    }
    assert_eq!(fleet.status(0)["ready"], json!(true));
}

/// Sends a GET request with a key; returns the status and the JSON body.
fn get(fleet: &Fleet, number: u16, path: &str, key: &str) -> (u16, serde_json::Value) {
    use std::io::{Read, Write};
    let mut stream = std::net::TcpStream::connect(fleet.caller_address(number)).expect("connected");
    let request = format!(
        "GET {path} HTTP/1.1\r\nHost: router\r\nAuthorization: Bearer {key}\r\n\
         Connection: close\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).expect("sent");
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("an answer");
    let (head, body) = text.split_once("\r\n\r\n").expect("a head");
    let status = head
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    (
        status.expect("a status"),
        serde_json::from_str(body).unwrap_or_default(),
    )
}

#[test]
fn callers_can_query_models_addresses_and_readiness() {
    let fleet = fleet(2, 1, 1);
    let (status, models) = get(&fleet, 0, "/v1/models", &NORTH.key());
    assert_eq!((status, &models["data"][0]["id"]), (200, &json!("quill")));
    let (status, refusal) = get(&fleet, 0, "/v1/models", "never-granted");
    assert_eq!(
        (status, &refusal["error"]["code"]),
        (401, &json!("key_unknown"))
    );
    let (status, answer) = get(&fleet, 1, "/v1/where", &NORTH.key());
    assert_eq!(status, 200);
    let addresses = answer["addresses"].as_array().expect("addresses");
    for number in 0..2 {
        assert!(
            addresses.contains(&json!(fleet.caller_address(number))),
            "{answer}"
        );
    }
    assert!(answer["keep_ms"].as_u64().is_some_and(|keep| keep > 0));
    assert!(
        answer["ticket"]
            .as_str()
            .is_some_and(|ticket| ticket.starts_with("t1-"))
    );
    for path in ["/healthz", "/readyz"] {
        assert_eq!(get(&fleet, 0, path, "").0, 200, "{path}");
    }
}

#[test]
fn a_chat_has_the_same_answer_with_and_without_streaming() {
    use std::io::{Read, Write};
    let fleet = fleet(1, 1, 1);
    let prompt = "user: Which crew is free?\n";
    let expected = expected_answer(prompt, 9);
    for stream in [false, true] {
        let body = json!({
            "model": "quill", "max_tokens": 9, "stream": stream,
            "stream_options": {"include_usage": true},
            "messages": [{"role": "user", "content": "Which crew is free?"}],
        })
        .to_string();
        let mut socket = std::net::TcpStream::connect(fleet.caller_address(0)).expect("connected");
        let request = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nHost: router\r\nAuthorization: Bearer {}\r\n\
             Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
            NORTH.key(),
            body.len()
        );
        socket.write_all(request.as_bytes()).expect("sent");
        let mut text = String::new();
        socket.read_to_string(&mut text).expect("an answer");
        let values: Vec<serde_json::Value> = match stream {
            true => text
                .lines()
                .filter_map(|line| line.strip_prefix("data: "))
                .filter_map(|data| serde_json::from_str(data).ok())
                .collect(),
            false => {
                let (_, body) = text.split_once("\r\n\r\n").expect("a body");
                vec![serde_json::from_str(body).expect("JSON")]
            }
        };
        let part = |value: &serde_json::Value| {
            let choice = &value["choices"][0];
            let content = if stream {
                &choice["delta"]
            } else {
                &choice["message"]
            };
            content["content"].as_str().unwrap_or_default().to_owned()
        };
        let answer: String = values.iter().map(part).collect();
        assert_eq!(answer, expected, "stream: {stream}");
        let usage = values
            .iter()
            .find_map(|value| value["usage"]["completion_tokens"].as_u64());
        assert_eq!(usage, Some(9), "stream: {stream}: {text}");
        assert_eq!(stream, text.contains("data: [DONE]"));
    }
}
