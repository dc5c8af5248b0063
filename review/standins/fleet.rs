//! Starts instances of the router as the deploy file does, and records what a case sees.

use std::fs::{self, File};
use std::io::Write;
use std::net::{TcpListener, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use crate::http;

pub const HOST: &str = "bookings.example";

/// The outcome of a case, which is the exit code of its script.
pub enum Outcome {
    Held,
    Broken,
    /// The case could not run.
    NotRun(String),
}

/// What a case sees, with the time since its start.
pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    pub fn create(path: &str) -> Self {
        Self {
            file: Mutex::new(File::create(path).expect("the record cannot be written")),
            started: Instant::now(),
        }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("poisoned lock");
        writeln!(file, "{at:9.3} {}", text.as_ref()).expect("the record cannot be written");
    }
}

/// Whether the case runs with its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// An instance of the router, as a process of its own.
pub struct Instance {
    child: Child,
    folder: PathBuf,
    settings: String,
    pub name: String,
    pub callers: String,
    pub directory: String,
    pub readiness: String,
}

impl Instance {
    /// Starts an instance, as the first start of the fleet.
    pub fn start(name: &str, zone: &str, store: &str) -> Self {
        let addresses: Vec<String> = (0..5).map(|_| free_address()).collect();
        let [callers, directory, readiness, metrics, peers] = addresses.try_into().expect("five");
        // The template of the deploy file, filled in for a small deployment.
        let settings = format!(
            "{{\"instance\":\"{name}\",\"zone\":\"{zone}\",\"region\":\"azuay\",\"first_start\":true,\
             \"listen\":{{\"callers\":\"{callers}\",\"directory\":\"{directory}\",\
             \"readiness\":\"{readiness}\",\"peers\":\"{peers}\",\"metrics\":\"{metrics}\"}},\
             \"max_descriptors\":4100,\"store\":{{\"address\":\"{store}\"}},\
             \"bounds\":{{\"revoke_ms\":5000,\"grace_s\":8,\"resend_ratio\":0.2,\
             \"resend_window_s\":10,\"resend_allowance\":52,\"lease_ms\":3000,\
             \"directory_ttl_s\":5}}}}"
        );
        let folder = std::env::temp_dir().join(format!("review-{name}-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("no temporary folder");
        fs::write(folder.join("settings.json"), &settings).expect("settings cannot be written");
        let child = spawn(&folder);
        Self {
            child,
            folder,
            settings,
            name: name.to_string(),
            callers,
            directory,
            readiness,
        }
    }

    /// Waits until the instance says that it is ready.
    pub fn wait_ready(&self) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(20);
        while !self.is_ready() {
            if Instant::now() > until {
                return Err(format!("{} does not become ready", self.name));
            }
            thread::sleep(Duration::from_millis(20));
        }
        Ok(())
    }

    pub fn is_ready(&self) -> bool {
        let within = Duration::from_secs(1);
        let path = "/jacinthlever/ready";
        let answer = http::call(&self.readiness, "GET", path, &[("Host", HOST)], b"", within);
        answer.is_some_and(|a| a.status == 200)
    }

    /// Sends a signal, by its name without `SIG`.
    pub fn signal(&self, name: &str) {
        // Every shell has `kill` built in.
        let command = format!("kill -{name} {}", self.child.id());
        let status = Command::new("sh").args(["-c", command.as_str()]).status();
        status.expect("no shell to send signals");
    }

    pub fn kill(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts the process again, with the settings of a fleet that has run before.
    pub fn start_again(&mut self) {
        let settings = self
            .settings
            .replace("\"first_start\":true", "\"first_start\":false");
        fs::write(self.folder.join("settings.json"), settings).expect("settings cannot be written");
        self.child = spawn(&self.folder);
    }

    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_none())
    }

    pub fn log(&self) -> String {
        fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Starts the program of the deploy file in the repository's root.
fn spawn(folder: &PathBuf) -> Child {
    let log = File::options()
        .create(true)
        .append(true)
        .open(folder.join("log"));
    Command::new("target/release/jacinthlever-instance")
        .env_clear()
        .env("JACINTHLEVER_NODE_FILE", folder.join("settings.json"))
        .stdin(Stdio::null())
        .stdout(log.expect("no log file"))
        .stderr(Stdio::null())
        .spawn()
        .expect("target/release/jacinthlever-instance is not built")
}

/// Returns a free address below the range of outgoing connections.
pub fn free_address() -> String {
    static NEXT: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
    loop {
        let n = NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let port = 12_000 + (std::process::id() * 37 + n) % 18_000;
        let address = format!("127.0.0.1:{port}");
        if TcpListener::bind(&address).is_ok() && UdpSocket::bind(&address).is_ok() {
            return address;
        }
    }
}

/// Returns the row of a worker.
pub fn worker_row(service: &str, address: &str, version: &str, state: &str, stage: &str) -> String {
    worker_row_born(service, address, version, state, stage, 1_764_900_000_000)
}

/// Returns the row of a worker that started at a time, in Unix milliseconds.
pub fn worker_row_born(
    service: &str,
    address: &str,
    version: &str,
    state: &str,
    stage: &str,
    born: u64,
) -> String {
    let stage = match stage {
        "" => String::new(),
        stage => format!(
            "\"stage\":\"{stage}\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],"
        ),
    };
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"azuay-norte\",\
         \"version\":\"{version}\",\"slots\":6,\"state\":\"{state}\",\"coldRemainingMs\":0,{stage}\
         \"seq\":1,\"born\":{born}}}"
    )
}

/// Returns a configuration with a plain service and an engine service. `keys` are those of the tenant.
pub fn configuration(version: u64, keys: &[&str]) -> String {
    let route = |name: &str,
                 kind: &str,
                 service: &str,
                 timeout: u32,
                 target: u32,
                 attempts: u32| {
        let resumable = name == "draft";
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"pathPrefix\":\"/{name}/\",\"kind\":\"{kind}\",\
             \"timeoutMs\":{timeout},\"targetLatencyMs\":{target},\"priority\":1,\
             \"service\":\"{service}\",\"maxAttempts\":{attempts},\"public\":false,\
             \"sticky\":{},\"resumable\":{resumable},\"gapAimMs\":300}}",
            kind == "stream"
        )
    };
    let routes = [
        route("book", "unsafe", "crews", 1500, 100, 1),
        route("look", "safe", "crews", 1500, 100, 2),
        route("draft", "stream", "writers", 14000, 900, 2),
        route("digest", "stream", "writers", 14000, 900, 1),
    ];
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[\
         {{\"name\":\"crews\",\"healthPath\":\"/health\",\"maxConnections\":96,\"protocol\":\"h1\",\"tls\":false}},\
         {{\"name\":\"writers\",\"healthPath\":\"/health\",\"maxConnections\":360,\"protocol\":\"h1\",\"tls\":false,\
         \"engine\":{{\"slots\":64,\"kvTokens\":39101,\"kvTokenBytes\":327680,\"linkMbps\":3600000.0,\
         \"stride\":15,\"kvHoldS\":0.5,\"stageSwitchS\":6.0,\"pinMs\":4000.0,\"holdMs\":2000.0,\
         \"models\":[{{\"name\":\"m\"}}]}}}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"cuenca\",\"apiKeys\":[{}],\"priority\":1,\"unit\":\"token_gen\",\
         \"plainTokens\":200,\"ratePerS\":400000,\"burst\":400000}}]}}",
        routes.join(","),
        keys.join(",")
    )
}
