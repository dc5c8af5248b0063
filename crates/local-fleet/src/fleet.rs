//! A running local fleet.

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

/// Time-outs of one request to an operators' API.
const TIMEOUTS: Timeouts = Timeouts {
    connect: Duration::from_secs(2),
    read: Duration::from_secs(35),
};

/// Pause between two checks of a condition that is waited for.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Why a fleet did not start, or a condition was not met in time.
#[derive(Debug)]
pub struct FleetError(String);

impl fmt::Display for FleetError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for FleetError {}

impl FleetError {
    fn from_error(error: impl fmt::Display) -> Self {
        Self(error.to_string())
    }
}

/// The stand-ins and instances of a fleet that run in this process.
pub struct Fleet {
    /// Specification from which the fleet was started.
    pub spec: FleetSpec,
    /// Stand-in of the table service.
    pub table: TableStandin,
    /// Stand-in of the object store.
    pub objects: ObjectStandin,
    /// Stand-in of the platform's list of machines.
    pub list: ListStandin,
    /// Stand-ins of the engines by name.
    pub engines: BTreeMap<SmolStr, EngineStandin>,
    /// Stand-ins of the workers of plain services by name.
    pub workers: BTreeMap<SmolStr, ServiceStandin>,
    /// Instances in this process by number.
    pub instances: BTreeMap<u16, Daemon>,
}

impl Fleet {
    /// Starts the stand-ins and all instances.
    ///
    /// # Errors
    /// Names the component that could not be started.
    pub fn spawn(spec: FleetSpec) -> Result<Self, FleetError> {
        let mut fleet = Self::spawn_standins(spec)?;
        for instance in fleet.spec.instances.clone() {
            fleet.start_instance(&instance)?;
        }
        Ok(fleet)
    }

    /// Starts only the stand-ins, for instances that run in separate processes.
    ///
    /// # Errors
    /// Names the stand-in that could not be started.
    pub fn spawn_standins(spec: FleetSpec) -> Result<Self, FleetError> {
        let address = |port| spec.loopback.address(port).to_string();
        let failed =
            |component: &str, error| FleetError(format!("failed to start {component}: {error}"));
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
            let standin = ServiceStandin::spawn(&address(Port::Worker(n)), worker.call_time)
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

    /// Starts an instance in this process.
    ///
    /// # Errors
    /// Fails if the settings are invalid or the instance cannot be started.
    pub fn start_instance(&mut self, instance: &InstanceSpec) -> Result<(), FleetError> {
        let text = self.spec.instance_settings(instance).to_string();
        let settings = Settings::parse("local", &text).map_err(|errors| {
            let errors: Vec<String> = errors.iter().map(ToString::to_string).collect();
            FleetError(errors.join("\n"))
        })?;
        let daemon = Daemon::spawn(&settings).map_err(FleetError::from_error)?;
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

    /// Returns a caller that sends requests to an instance.
    pub fn caller(&self, number: u16, key: &str) -> Caller {
        Caller::new(&self.caller_address(number), key)
    }

    /// Returns a client of an instance's operators' API.
    pub fn operator(&self, number: u16) -> OperatorClient {
        let credential = FleetSpec::operator_credential();
        OperatorClient::new(&self.operator_address(number), credential, TIMEOUTS)
    }

    /// Edits rows through an instance; returns the revision that contains the changes.
    ///
    /// # Errors
    /// See [`OperatorError`].
    pub fn edit(&self, number: u16, id: &str, changes: &[Value]) -> Result<u64, OperatorError> {
        let body = json!({"edit": id, "changes": changes});
        let reply = self.operator(number).post("/ops/v1/edit", &body)?;
        Ok(reply["revision"].as_u64().unwrap_or_default())
    }

    /// Waits until the given instances are ready with a valid lease, together own all partitions of
    /// customers, and have at least the given revision.
    ///
    /// # Errors
    /// Fails if this takes longer than `timeout`.
    pub fn wait_ready(
        &self,
        numbers: &[u16],
        revision: u64,
        timeout: Duration,
    ) -> Result<(), FleetError> {
        self.wait_until(timeout, "the fleet to be ready", || {
            let statuses: Vec<Value> = numbers.iter().map(|n| self.status(*n)).collect();
            let ready = statuses.iter().all(|status| {
                status["ready"] == json!(true)
                    && status["lease_valid"] == json!(true)
                    && status["revision"].as_u64().unwrap_or_default() >= revision
            });
            let owned_partitions: u64 = statuses
                .iter()
                .map(|status| status["held_slots"].as_u64().unwrap_or_default())
                .sum();
            // The customers are divided into 256 partitions.
            ready && owned_partitions == 256
        })
    }

    /// Returns the state of the fleet as reported by an instance; null if the request fails.
    pub fn status(&self, number: u16) -> Value {
        self.operator(number)
            .get("/ops/v1/status")
            .unwrap_or_default()
    }

    /// Waits until a condition is met; `condition` describes it in the error message.
    ///
    /// # Errors
    /// Fails if the condition is not met within `timeout`.
    pub fn wait_until(
        &self,
        timeout: Duration,
        condition: &str,
        mut is_met: impl FnMut() -> bool,
    ) -> Result<(), FleetError> {
        let deadline = Instant::now() + timeout;
        while !is_met() {
            if Instant::now() >= deadline {
                return Err(FleetError(format!(
                    "timed out after {timeout:?} waiting for {condition}"
                )));
            }
            thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }

    /// Returns the number of slots that are in use on all engines now.
    pub fn used_engine_slots(&self) -> u32 {
        self.engines.values().map(|engine| engine.load().used).sum()
    }

    /// Returns all bytes that the table service and the backend servers have received.
    pub fn received(&self) -> Vec<u8> {
        let mut received = self.table.received();
        self.engines
            .values()
            .for_each(|engine| received.extend(engine.received()));
        self.workers
            .values()
            .for_each(|worker| received.extend(worker.received()));
        received
    }
}
