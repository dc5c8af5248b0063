//! Specification of a local fleet.

use std::time::Duration;

use jacinthlever_standins::EngineSettings;
use jacinthlever_types::{EngineRole, ListEntry, ListKind, ListState, ModelId, ZoneId};
use serde_json::{Value, json};
use smol_str::{SmolStr, format_smolstr};

use crate::{Loopback, Port};

/// Credential of the operators of every local fleet.
const OPERATOR_CREDENTIAL: &str = "local-operator-credential";

/// Credential that the instances of every local fleet present to each other.
const PEER_CREDENTIAL: &str = "local-peer-credential";

/// Specification of an instance.
#[derive(Clone, Debug)]
pub struct InstanceSpec {
    /// Number of the instance, starting at 0.
    pub number: u16,
    /// Availability zone.
    pub zone: ZoneId,
}

/// Specification of an engine.
#[derive(Clone, Debug)]
pub struct EngineSpec {
    /// Name of the engine.
    pub id: SmolStr,
    /// Model that the engine runs.
    pub model: ModelId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Role, capacity and speed.
    pub settings: EngineSettings,
}

/// Specification of a worker of a plain service.
#[derive(Clone, Debug)]
pub struct WorkerSpec {
    /// Name of the worker.
    pub id: SmolStr,
    /// Name of the service.
    pub service: SmolStr,
    /// Availability zone.
    pub zone: ZoneId,
    /// Processing time of a call.
    pub call_time: Duration,
}

/// Specification of a fleet.
#[derive(Clone, Debug)]
pub struct FleetSpec {
    /// Loopback addresses of the fleet.
    pub loopback: Loopback,
    /// Instances.
    pub instances: Vec<InstanceSpec>,
    /// Engines.
    pub engines: Vec<EngineSpec>,
    /// Workers of plain services.
    pub workers: Vec<WorkerSpec>,
    /// Time after which changes appear in the platform's list.
    pub list_lag: Duration,
    /// Additional settings of every instance, a JSON object. They override the generated ones.
    pub settings: Value,
}

impl FleetSpec {
    /// Creates a specification with the given numbers of instances, prefill engines and decode
    /// engines, spread over three availability zones, and two workers of each of the services
    /// `scheduling` and `library`.
    pub fn new(instances: u16, prefill_engines: u16, decode_engines: u16) -> Self {
        let zone = |n: u16| ZoneId::new(format!("zone-{}", n % 3));
        let engine = |role, n: u16| EngineSpec {
            id: match role {
                EngineRole::Prefill => format_smolstr!("prefill-{n}"),
                EngineRole::Decode => format_smolstr!("decode-{n}"),
            },
            model: ModelId::new("quill"),
            zone: zone(n),
            settings: match role {
                EngineRole::Prefill => EngineSettings::prefill(),
                EngineRole::Decode => EngineSettings::decode(),
            },
        };
        let worker = |service: &str, n: u16| WorkerSpec {
            id: format_smolstr!("{service}-{n}"),
            service: SmolStr::new(service),
            zone: zone(n),
            call_time: Duration::from_millis(5),
        };
        let prefill = (0..prefill_engines).map(|n| engine(EngineRole::Prefill, n));
        let decode = (0..decode_engines).map(|n| engine(EngineRole::Decode, n));
        let scheduling = (0..2).map(|n| worker("scheduling", n));
        let library = (0..2).map(|n| worker("library", n));
        Self {
            loopback: Loopback::allocate(),
            instances: (0..instances)
                .map(|n| InstanceSpec {
                    number: n,
                    zone: zone(n),
                })
                .collect(),
            engines: prefill.chain(decode).collect(),
            workers: scheduling.chain(library).collect(),
            list_lag: Duration::from_millis(500),
            settings: json!({}),
        }
    }

    /// Returns the name of an instance.
    pub fn instance_name(number: u16) -> SmolStr {
        format_smolstr!("instance-{number}")
    }

    /// Returns the credential for the operators' API of every instance.
    pub fn operator_credential() -> &'static str {
        OPERATOR_CREDENTIAL
    }

    /// Returns the contents of an instance's settings file.
    pub fn instance_settings(&self, instance: &InstanceSpec) -> Value {
        let address = |port| self.loopback.address(port).to_string();
        let number = instance.number;
        let mut settings = json!({
            "instance": Self::instance_name(number),
            "zone": instance.zone,
            "region": "local",
            "caller_address": address(Port::Callers(number)),
            "peer_address": address(Port::Peers(number)),
            "operator_address": address(Port::Operators(number)),
            "table_address": address(Port::Table),
            "object_address": address(Port::Objects),
            "list_address": address(Port::List),
            "operator_credential": OPERATOR_CREDENTIAL,
            "peer_credential": PEER_CREDENTIAL,
        });
        for (name, value) in self.settings.as_object().into_iter().flatten() {
            settings[name] = value.clone();
        }
        settings
    }

    /// Returns the entries of the platform's list of machines.
    pub fn list(&self) -> Vec<ListEntry> {
        let address = |port| SmolStr::new(self.loopback.address(port).to_string());
        let entry = |id: SmolStr, kind, port, zone: &ZoneId| ListEntry {
            id,
            kind,
            address: address(port),
            zone: zone.clone(),
            state: ListState::Live,
        };
        let instances = self.instances.iter().map(|instance| {
            let caller_address = address(Port::Callers(instance.number));
            let id = Self::instance_name(instance.number);
            let port = Port::Peers(instance.number);
            entry(
                id,
                ListKind::Instance { caller_address },
                port,
                &instance.zone,
            )
        });
        let engines = self.engines.iter().zip(0..).map(|(engine, n)| {
            let kind = ListKind::Engine {
                role: engine.settings.role,
                model: engine.model.clone(),
            };
            entry(engine.id.clone(), kind, Port::Engine(n), &engine.zone)
        });
        let workers = self.workers.iter().zip(0..).map(|(worker, n)| {
            let kind = ListKind::Service {
                service: worker.service.clone(),
            };
            entry(worker.id.clone(), kind, Port::Worker(n), &worker.zone)
        });
        instances.chain(engines).chain(workers).collect()
    }
}
