//! A running fleet.

use std::collections::BTreeMap;
use std::fmt;
use std::thread;
use std::time::{Duration, Instant};

use jacinthlever_client::{OperatorClient, OperatorError, Timeouts};
use jacinthlever_daemon::{Daemon, Settings};
use jacinthlever_standins::{
    EngineStandin, ListStandin, ObjectStandin, ServiceStandin, TableStandin,
};
use serde_json::{Value, json};
use smol_str::SmolStr;

use crate::{Caller, FleetSpec, InstanceSpec, Port};

/// Bounds of one exchange with an operators' API.
const TIMEOUTS: Timeouts = Timeouts {
    connect: Duration::from_secs(2),
    read: Duration::from_secs(35),
};

/// Pause between two looks at a state that is waited for.
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// Why a fleet did not start or get ready.
#[derive(Debug)]
pub struct FleetError(String);

impl fmt::Display for FleetError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for FleetError {}

impl FleetError {
    fn of(error: impl fmt::Display) -> Self {
        Self(error.to_string())
    }
}

/// Stand-ins and instances of one process.
pub struct Fleet {
    /// What the fleet is made of.
    pub spec: FleetSpec,
    /// The table service.
    pub table: TableStandin,
    /// The object store.
    pub objects: ObjectStandin,
    /// The list of machines.
    pub list: ListStandin,
    /// Engines by name.
    pub engines: BTreeMap<SmolStr, EngineStandin>,
    /// Workers of plain services by name.
    pub workers: BTreeMap<SmolStr, ServiceStandin>,
    /// Instances by number.
    pub instances: BTreeMap<u16, Daemon>,
}

impl Fleet {
    /// Starts the stand-ins and all instances.
    ///
    /// # Errors
    /// Names what could not be started.
    pub fn spawn(spec: FleetSpec) -> Result<Self, FleetError> {
        let mut fleet = Self::spawn_standins(spec)?;
        for instance in fleet.spec.instances.clone() {
            fleet.start(&instance)?;
        }
        Ok(fleet)
    }

    /// Starts the stand-ins only; the instances may run in processes of their own.
    ///
    /// # Errors
    /// Names what could not be started.
    pub fn spawn_standins(spec: FleetSpec) -> Result<Self, FleetError> {
        let address = |port| spec.loopback.address(port).to_string();
        let failed = |what: &str, error| FleetError(format!("{what}: {error}"));
        let table = TableStandin::spawn(&address(Port::Table)).map_err(|e| failed("table", e))?;
        let objects =
            ObjectStandin::spawn(&address(Port::Objects)).map_err(|e| failed("objects", e))?;
        let list = ListStandin::spawn(&address(Port::List), spec.list(), spec.list_lag)
            .map_err(|e| failed("list", e))?;
        let mut engines = BTreeMap::new();
        for (engine, n) in spec.engines.iter().zip(0..) {
            let standin = EngineStandin::spawn(&address(Port::Engine(n)), engine.settings.clone())
                .map_err(|e| failed(&engine.id, e))?;
            engines.insert(engine.id.clone(), standin);
        }
        let mut workers = BTreeMap::new();
        for (worker, n) in spec.workers.iter().zip(0..) {
            let standin = ServiceStandin::spawn(&address(Port::Worker(n)), worker.takes)
                .map_err(|e| failed(&worker.id, e))?;
            workers.insert(worker.id.clone(), standin);
        }
        let instances = BTreeMap::new();
        Ok(Self {
            spec,
            table,
            objects,
            list,
            engines,
            workers,
            instances,
        })
    }

    /// Starts an instance.
    ///
    /// # Errors
    /// Names what could not be started.
    pub fn start(&mut self, instance: &InstanceSpec) -> Result<(), FleetError> {
        let text = self.spec.instance_settings(instance).to_string();
        let settings = Settings::parse("local", &text).map_err(|errors| {
            let errors: Vec<String> = errors.iter().map(ToString::to_string).collect();
            FleetError(errors.join("\n"))
        })?;
        let daemon = Daemon::spawn(&settings).map_err(FleetError::of)?;
        self.instances.insert(instance.number, daemon);
        Ok(())
    }

    /// Returns the address of an instance for callers.
    pub fn caller_address(&self, number: u16) -> String {
        self.spec
            .loopback
            .address(Port::Callers(number))
            .to_string()
    }

    /// Returns the address of an instance for operators.
    pub fn operator_address(&self, number: u16) -> String {
        self.spec
            .loopback
            .address(Port::Operators(number))
            .to_string()
    }

    /// Returns a caller of an instance.
    pub fn caller(&self, number: u16, key: &str) -> Caller {
        Caller::new(&self.caller_address(number), key)
    }

    /// Returns a client of an instance's operators' API.
    pub fn operator(&self, number: u16) -> OperatorClient {
        let credential = FleetSpec::operator_credential();
        OperatorClient::new(&self.operator_address(number), credential, TIMEOUTS)
    }

    /// Edits rows through an instance; returns the revision.
    ///
    /// # Errors
    /// See [`OperatorError`].
    pub fn edit(&self, number: u16, id: &str, changes: &[Value]) -> Result<u64, OperatorError> {
        let body = json!({"edit": id, "changes": changes});
        let reply = self.operator(number).post("/ops/v1/edit", &body)?;
        Ok(reply["revision"].as_u64().unwrap_or_default())
    }

    /// Waits until some instances are ready, hold all slots between them and have a revision.
    ///
    /// # Errors
    /// Tells the last state if the time is over.
    pub fn wait_ready(
        &self,
        numbers: &[u16],
        revision: u64,
        longest: Duration,
    ) -> Result<(), FleetError> {
        self.wait_until(longest, "the fleet to be ready", || {
            let all: Vec<Value> = numbers.iter().map(|n| self.status(*n)).collect();
            let ready = all.iter().all(|status| {
                status["ready"] == json!(true)
                    && status["lease_valid"] == json!(true)
                    && status["revision"].as_u64().unwrap_or_default() >= revision
            });
            let slots: u64 = all
                .iter()
                .map(|status| status["held_slots"].as_u64().unwrap_or_default())
                .sum();
            ready && slots == 256
        })
    }

    /// Returns the fleet as an instance sees it; null if it does not answer.
    pub fn status(&self, number: u16) -> Value {
        self.operator(number)
            .get("/ops/v1/status")
            .unwrap_or_default()
    }

    /// Waits until something holds.
    ///
    /// # Errors
    /// Says what was waited for if the time is over.
    pub fn wait_until(
        &self,
        longest: Duration,
        what: &str,
        mut holds: impl FnMut() -> bool,
    ) -> Result<(), FleetError> {
        let until = Instant::now() + longest;
        while !holds() {
            if Instant::now() >= until {
                return Err(FleetError(format!("waited {longest:?} in vain for {what}")));
            }
            thread::sleep(LOOK_EVERY);
        }
        Ok(())
    }

    /// Returns the requests that all decode engines hold now.
    pub fn held_by_engines(&self) -> u32 {
        self.engines.values().map(|engine| engine.load().used).sum()
    }

    /// Returns every byte that platform services and backend servers have received.
    pub fn received(&self) -> Vec<u8> {
        let mut all = self.table.received();
        self.engines
            .values()
            .for_each(|engine| all.extend(engine.received()));
        self.workers
            .values()
            .for_each(|worker| all.extend(worker.received()));
        all
    }
}
