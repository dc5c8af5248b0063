//! Instances of the program as separate processes, with the settings that the template of the deploy file gives.

use std::fs::{self, File};
use std::net::{TcpListener, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Answer, call};
use crate::store::Store;

pub const HOST: &str = "ficu95.example";

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

const SIGTERM: i32 = 15;

pub struct Instance {
    pub name: String,
    pub callers: String,
    pub readiness: String,
    folder: PathBuf,
    child: Option<Child>,
}

/// Ports below the range that the system gives to outgoing connections.
const PORTS: std::ops::Range<u32> = 20_000..32_000;

/// Returns an address whose port is free for TCP and UDP.
fn free_address() -> String {
    static TAKEN: AtomicU32 = AtomicU32::new(0);
    loop {
        let offset = std::process::id() * 97 + TAKEN.fetch_add(1, Ordering::SeqCst);
        let port = PORTS.start + offset % (PORTS.end - PORTS.start);
        let address = format!("127.0.0.1:{port}");
        if TcpListener::bind(&address).is_ok() && UdpSocket::bind(&address).is_ok() {
            return address;
        }
    }
}

impl Instance {
    /// Writes the settings and starts the process.
    pub fn start(name: &str, zone: &str, store: &Store, is_first_start: bool) -> Self {
        let folder = std::env::temp_dir().join(format!("jl-review-{}-{name}", std::process::id()));
        fs::create_dir_all(&folder).expect("folder for the settings");
        let [callers, directory, readiness, peers, metrics] = [(); 5].map(|()| free_address());
        let text = format!(
            "{{\"instance\":\"{name}\",\"zone\":\"{zone}\",\"region\":\"hr-jadran\",\"first_start\":{is_first_start},\
             \"listen\":{{\"callers\":\"{callers}\",\"directory\":\"{directory}\",\"readiness\":\"{readiness}\",\
             \"peers\":\"{peers}\",\"metrics\":\"{metrics}\"}},\
             \"contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"split\",\"stream\",\"engine\",\
             \"tenants\",\"quota\",\"platform\"],\"max_descriptors\":4100,\"max_memory_mb\":110,\
             \"store\":{{\"address\":\"{}\"}},\
             \"bounds\":{{\"revoke_ms\":5000,\"grace_s\":8,\"resend_ratio\":0.2,\"resend_window_s\":10,\
             \"resend_allowance\":52,\"lease_ms\":3000,\"directory_ttl_s\":5}}}}",
            store.address
        );
        fs::write(folder.join("settings.json"), text).expect("settings");
        let mut instance = Self {
            name: name.into(),
            callers,
            readiness,
            folder,
            child: None,
        };
        instance.spawn();
        instance
    }

    /// Starts the process, with the program of the deploy file.
    pub fn spawn(&mut self) {
        let log = File::options().create(true).append(true).open(self.folder.join("log")).expect("log");
        let child = Command::new("target/release/jacinthlever-instance")
            .env_clear()
            .env("JACINTHLEVER_NODE_FILE", self.folder.join("settings.json"))
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("log"))
            .stderr(log)
            .spawn()
            .expect("target/release/jacinthlever-instance");
        self.child = Some(child);
    }

    /// Asks the process to stop.
    pub fn terminate(&self) {
        if let Some(child) = &self.child {
            // SAFETY: the process is a child that has not been waited for.
            unsafe { kill(child.id() as i32, SIGTERM) };
        }
    }

    /// Waits until the process has stopped by itself.
    pub fn wait(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.wait();
        }
    }

    /// Kills the process.
    pub fn end(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn is_ready(&self) -> bool {
        let path = "/jacinthlever/ready";
        call(&self.readiness, "GET", path, &[], b"", Duration::from_millis(500)).status == 200
    }

    pub fn wait_ready(&self, within: Duration) -> bool {
        let until = Instant::now() + within;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(10));
        }
        false
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.end();
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// A client attempt.
pub struct Attempt<'a> {
    pub id: &'a str,
    pub path: &'a str,
    pub key: &'a str,
    pub deadline_ms: u64,
}

impl Attempt<'_> {
    pub fn send(&self, address: &str) -> Answer {
        let headers = [
            ("Host", HOST.to_string()),
            ("Request-Id", self.id.to_string()),
            ("Deadline-Ms", self.deadline_ms.to_string()),
            ("Api-Key", self.key.to_string()),
        ];
        let within = Duration::from_millis(self.deadline_ms);
        let body = format!("{{\"note\":\"{}\"}}", self.id);
        call(address, "POST", self.path, &headers, body.as_bytes(), within)
    }
}

/// Returns a configuration of the operator: unsafe requests at `/member-ledger/`; each key belongs to the tenant of the same number.
pub fn config(version: u64, keys: &[&str]) -> String {
    let tenants: Vec<String> = keys
        .iter()
        .enumerate()
        .map(|(i, key)| {
            format!(
                "{{\"name\":\"tenant{i}\",\"apiKeys\":[\"{key}\"],\"unit\":\"token_gen\",\"plainTokens\":200,\
                 \"ratePerS\":100000,\"burst\":1000000}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"member-ledger\",\"host\":\"{HOST}\",\
         \"pathPrefix\":\"/member-ledger/\",\"kind\":\"unsafe\",\"timeoutMs\":2000,\"targetLatencyMs\":300,\"priority\":1,\
         \"service\":\"zvuk-library\",\"maxAttempts\":1,\"public\":false,\"sticky\":false,\"resumable\":false,\
         \"gapAimMs\":300}}],\"services\":[{{\"name\":\"zvuk-library\",\"healthPath\":\"/health\",\"maxConnections\":96}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}},\"tenants\":[{}]}}",
        tenants.join(",")
    )
}
