//! The instances of a small deployment, started as the deploy file says.

use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{self, Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::get;
use crate::record::Record;

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

const SIGHUP: i32 = 1;
const SIGTERM: i32 = 15;

pub struct Instance {
    pub name: String,
    pub callers: String,
    readiness: String,
    folder: PathBuf,
    root: PathBuf,
    child: Option<Child>,
    /// Whether the reader of its output pauses; without one, the output goes to a file.
    log_pauses: Option<Arc<AtomicBool>>,
    record: Record,
}

/// Returns a free address. Its port is outside the range that the system gives to outgoing connections, so that it
/// stays free while an instance is down.
fn free_address() -> String {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let number = process::id() * 97 + NEXT.fetch_add(1, Ordering::SeqCst);
        let address = format!("127.0.0.1:{}", 20_000 + number % 12_000);
        if TcpListener::bind(&address).is_ok() && UdpSocket::bind(&address).is_ok() {
            return address;
        }
    }
}

impl Instance {
    /// Starts an instance. `root` is the repository, `folder` a temporary one.
    pub fn start(
        root: &Path,
        folder: &Path,
        name: &str,
        zone: &str,
        store: &str,
        record: &Record,
    ) -> Instance {
        Self::start_with(root, folder, name, zone, store, record, None)
    }

    /// Starts an instance whose output is read from a pipe, except while `log_pauses` is set.
    pub fn start_with(
        root: &Path,
        folder: &Path,
        name: &str,
        zone: &str,
        store: &str,
        record: &Record,
        log_pauses: Option<Arc<AtomicBool>>,
    ) -> Instance {
        let folder = folder.join(name);
        fs::create_dir_all(&folder).expect("no folder for an instance");
        let [callers, directory, readiness, peers, metrics] =
            std::array::from_fn(|_| free_address());
        let mut instance = Instance {
            name: name.into(),
            callers: callers.clone(),
            readiness: readiness.clone(),
            folder,
            root: root.into(),
            child: None,
            log_pauses,
            record: record.clone(),
        };
        let settings = format!(
            r#"{{"instance":"{name}","zone":"{zone}","region":"azuay","first_start":true,
"listen":{{"callers":"{callers}","directory":"{directory}","readiness":"{readiness}","peers":"{peers}","metrics":"{metrics}"}},
"contracts":["base","drain","config","cost","retry","recover","split","stream","engine","tenants","quota","platform"],
"max_descriptors":4100,"max_memory_mb":110,"store":{{"address":"{store}"}},
"bounds":{{"revoke_ms":5000,"grace_s":8,"resend_ratio":0.2,"resend_window_s":10,"resend_allowance":52,"lease_ms":3000,"directory_ttl_s":5}}}}"#
        );
        fs::write(instance.folder.join("boot.json"), settings).expect("no settings file");
        instance.spawn();
        instance
    }

    fn spawn(&mut self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join("log"))
            .expect("no log file");
        let output = match &self.log_pauses {
            Some(_) => Stdio::piped(),
            None => log.try_clone().expect("no log file").into(),
        };
        let mut child = Command::new(self.root.join("target/release/jacinthlever-instance"))
            .current_dir(&self.root)
            .env("JACINTHLEVER_NODE_FILE", self.folder.join("boot.json"))
            .stdin(Stdio::null())
            .stdout(output)
            .spawn()
            .expect("the instance does not start");
        if let (Some(pauses), Some(output)) = (&self.log_pauses, child.stdout.take()) {
            let pauses = pauses.clone();
            thread::spawn(move || read_log(output, log, &pauses));
        }
        self.record.line(&format!(
            "instance {} starts, process {}",
            self.name,
            child.id()
        ));
        self.child = Some(child);
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record
                .line(&format!("instance {} is killed", self.name));
        }
    }

    /// Starts the process again, as the platform does: no longer for the first time.
    pub fn restart(&mut self) {
        self.kill();
        let file = self.folder.join("boot.json");
        let text = fs::read_to_string(&file).expect("no settings file");
        let text = text.replace("\"first_start\":true", "\"first_start\":false");
        fs::write(&file, text).expect("no settings file");
        self.spawn();
    }

    pub fn is_ready(&self) -> bool {
        get(&self.readiness, "/jacinthlever/ready").is_ok_and(|(status, _)| status == 200)
    }

    pub fn wait_ready(&self, patience: Duration) -> bool {
        let until = Instant::now() + patience;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Asks the process to stop, as the platform does before planned work.
    pub fn terminate(&mut self) {
        self.signal(SIGTERM, "SIGTERM");
    }

    /// Tells the process that its settings file has changed.
    pub fn hang_up(&mut self) {
        self.signal(SIGHUP, "SIGHUP");
    }

    fn signal(&mut self, signal: i32, name: &str) {
        if let Some(child) = &self.child {
            // SAFETY: the process is a child that has not been waited for, so the number is its own.
            unsafe { kill(child.id() as i32, signal) };
            self.record
                .line(&format!("instance {} gets {name}", self.name));
        }
    }
}

/// Copies the output of an instance to a file, except while it pauses.
fn read_log(mut output: impl Read, mut log: File, pauses: &AtomicBool) {
    let mut buffer = [0; 4096];
    loop {
        while pauses.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(20));
        }
        match output.read(&mut buffer) {
            Ok(0) | Err(_) => return,
            Ok(count) => {
                let _ = log.write_all(&buffer[..count]);
            }
        }
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
    }
}
