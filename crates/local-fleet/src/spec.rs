//! What a fleet is made of.

use std::time::Duration;

use jacinthlever_standins::EngineSettings;
use jacinthlever_types::{EngineRole, ListEntry, ListKind, ListState, ModelId, ZoneId};
use serde_json::{Value, json};
use smol_str::{SmolStr, format_smolstr};

use crate::{Loopback, Port};

/// Credential of the operators of a local fleet.
const OPERATOR_CREDENTIAL: &str = "local-operator-credential";

/// Credential of the instances of a local fleet.
const PEER_CREDENTIAL: &str = "local-peer-credential";

/// One instance.
#[derive(Clone, Debug)]
pub struct InstanceSpec {
    /// Number, from 0.
    pub number: u16,
    /// Availability zone.
    pub zone: ZoneId,
}

/// One engine.
#[derive(Clone, Debug)]
pub struct EngineSpec {
    /// Name.
    pub id: SmolStr,
    /// Model.
    pub model: ModelId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Role, capacity and speed.
    pub settings: EngineSettings,
}

/// One worker of a plain service.
#[derive(Clone, Debug)]
pub struct ServiceSpec {
    /// Name.
    pub id: SmolStr,
    /// Service.
    pub service: SmolStr,
    /// Availability zone.
    pub zone: ZoneId,
    /// Time that a call takes.
    pub takes: Duration,
}

/// A whole fleet.
#[derive(Clone, Debug)]
pub struct FleetSpec {
    /// Addresses.
    pub loopback: Loopback,
    /// Instances.
    pub instances: Vec<InstanceSpec>,
    /// Engines.
    pub engines: Vec<EngineSpec>,
    /// Workers.
    pub workers: Vec<ServiceSpec>,
    /// Lag of the platform's list.
    pub list_lag: Duration,
    /// Settings of every instance beside the addresses.
    pub settings: Value,
}

impl FleetSpec {
    /// Makes a fleet of some instances, prefill and decode engines in three availability zones,
    /// and two workers of each service `scheduling` and `library`.
    pub fn new(instances: u16, prefills: u16, decodes: u16) -> Self {
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
        let worker = |service: &str, n: u16| ServiceSpec {
            id: format_smolstr!("{service}-{n}"),
            service: SmolStr::new(service),
            zone: zone(n),
            takes: Duration::from_millis(5),
        };
        let prefill = (0..prefills).map(|n| engine(EngineRole::Prefill, n));
        let decode = (0..decodes).map(|n| engine(EngineRole::Decode, n));
        let scheduling = (0..2).map(|n| worker("scheduling", n));
        let library = (0..2).map(|n| worker("library", n));
        Self {
            loopback: Loopback::pick(),
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

    /// Returns the credential of the operators.
    pub fn operator_credential() -> &'static str {
        OPERATOR_CREDENTIAL
    }

    /// Returns the settings file of an instance.
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

    /// Returns the entries of the platform's list.
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
