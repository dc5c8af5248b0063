//! Each file of `bad_input/` is a request with the refusal that it must lead to.
//!
//! After each refusal the same instance must still answer a valid request.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::Path;
use std::sync::OnceLock;
use std::time::Duration;

use jacinthlever_local_fleet::{CustomerSpec, Fleet, FleetSpec, declarations};
use serde::Deserialize;
use serde_json::{Value, json};

datatest_stable::harness! {
    { test = run, root = "tests/bad_input", pattern = r"\.json$" },
}

/// Maximum wait for a response; the time-outs of the fleet are far shorter.
const MAX_WAIT: Duration = Duration::from_secs(20);

const NORTH: CustomerSpec = CustomerSpec {
    name: "north",
    rate: 1e6,
    burst: 1e6,
    weight: 1.0,
};

const SOUTH: CustomerSpec = CustomerSpec {
    name: "south",
    rate: 100.0,
    burst: 200.0,
    weight: 1.0,
};

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Case {
    #[serde(rename = "about")]
    _about: String,
    #[serde(default = "post")]
    method: String,
    #[serde(default = "completions")]
    path: String,
    /// Customer whose key is presented, or the key itself after an equals sign.
    #[serde(default)]
    key: Option<String>,
    #[serde(default)]
    headers: Vec<(String, String)>,
    /// Number of similar header fields to add.
    #[serde(default)]
    many_headers: usize,
    #[serde(default)]
    body: Option<Value>,
    /// Body that is not JSON.
    #[serde(default)]
    text: Option<String>,
    /// Length of a body of spaces.
    #[serde(default)]
    spaces: Option<usize>,
    /// Number of bytes of the request that are sent; the rest is never sent.
    #[serde(default)]
    only_bytes: Option<usize>,
    /// Number of bytes of the body that are sent.
    #[serde(default)]
    only_body_bytes: Option<usize>,
    status: u16,
    code: String,
    /// Text that the error message must contain.
    #[serde(default)]
    message_contains: String,
}

fn post() -> String {
    "POST".into()
}

fn completions() -> String {
    "/v1/completions".into()
}

fn fleet() -> &'static Fleet {
    static FLEET: OnceLock<Fleet> = OnceLock::new();
    FLEET.get_or_init(|| {
        let mut spec = FleetSpec::new(1, 1, 1);
        spec.settings = json!({
            "head_timeout_ms": 400, "body_timeout_ms": 400, "max_body_bytes": 65_536,
        });
        let fleet = Fleet::spawn(spec).expect("a fleet");
        fleet.wait_ready(&[0], 0, MAX_WAIT).expect("ready");
        let mut changes = declarations(&[NORTH, SOUTH]);
        let private = json!({
            "kind": {"plain": {"prefix": "/private", "service": "library"}},
            "customers": ["south"],
        });
        let strict = json!({
            "kind": {"plain": {"prefix": "/strict", "service": "library", "require_key": true}},
            "customers": ["north"],
        });
        changes.push(json!({"row": "route/private", "value": private}));
        changes.push(json!({"row": "route/strict", "value": strict}));
        let revision = fleet.edit(0, "fixture", &changes).expect("an edit");
        fleet
            .wait_ready(&[0], revision, MAX_WAIT)
            .expect("in force");
        fleet
    })
}

fn run(_: &Path, text: String) -> datatest_stable::Result<()> {
    let case: Case = serde_json::from_str(&text)?;
    let response = exchange(&case)?;
    check(&case, &response)?;
    let valid = fleet().caller(0, &NORTH.key()).complete("still here", 2);
    match valid {
        Ok(response) if response.tokens == 2 => Ok(()),
        other => Err(format!("the instance no longer answers: {other:?}").into()),
    }
}

fn check(case: &Case, response: &str) -> datatest_stable::Result<()> {
    let (head, body) = response
        .split_once("\r\n\r\n")
        .ok_or(format!("no head: {response:?}"))?;
    let status = head.split(' ').nth(1).unwrap_or_default();
    let body: Value = serde_json::from_str(body).map_err(|e| format!("{e}: {response}"))?;
    let error = &body["error"];
    let is_expected = status == case.status.to_string()
        && error["code"] == json!(case.code)
        && error["run"] == json!("not_run")
        && error["message"]
            .as_str()
            .is_some_and(|message| message.contains(&case.message_contains));
    match is_expected {
        true => Ok(()),
        false => Err(format!("expected {} {}: {response}", case.status, case.code).into()),
    }
}

fn exchange(case: &Case) -> datatest_stable::Result<String> {
    let mut stream = TcpStream::connect(fleet().caller_address(0))?;
    stream.set_read_timeout(Some(MAX_WAIT))?;
    let request = request(case);
    let end = case.only_bytes.unwrap_or(request.len());
    // An instance that refuses early may close before the rest is written.
    let _ = stream.write_all(&request[..end]);
    let mut response = String::new();
    match stream.read_to_string(&mut response) {
        Err(error) if response.is_empty() => Err(error.into()),
        _ => Ok(response),
    }
}

fn request(case: &Case) -> Vec<u8> {
    let body = match (&case.body, &case.text, case.spaces) {
        (Some(body), _, _) => body.to_string(),
        (_, Some(text), _) => text.clone(),
        (_, _, Some(count)) => " ".repeat(count),
        _ => String::new(),
    };
    let mut head = format!(
        "{} {} HTTP/1.1\r\nHost: router\r\nConnection: close\r\n",
        case.method, case.path
    );
    let has_length = case.headers.iter().any(|(name, _)| {
        name.eq_ignore_ascii_case("content-length")
            || name.eq_ignore_ascii_case("transfer-encoding")
    });
    if !has_length {
        head.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    match case.key.as_deref() {
        None => {}
        Some(key) if key.starts_with('=') => {
            head.push_str(&format!("Authorization: Bearer {}\r\n", &key[1..]));
        }
        Some(customer) => {
            let key = if customer == "north" {
                NORTH.key()
            } else {
                SOUTH.key()
            };
            head.push_str(&format!("Authorization: Bearer {key}\r\n"));
        }
    }
    for (name, value) in &case.headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    for number in 0..case.many_headers {
        head.push_str(&format!("X-Field-{number}: value\r\n"));
    }
    head.push_str("\r\n");
    let sent_bytes = case.only_body_bytes.unwrap_or(body.len());
    [head.as_bytes(), &body.as_bytes()[..sent_bytes]].concat()
}
