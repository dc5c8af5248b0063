//! The cases of the bench: deployments, loads and faults.

use std::time::Duration;

use jacinthlever_fakes::{Deployment, EngineFaults, RouterKind, World};

use crate::workload::{Phase, Workload, capacity};

/// Time for the fleet to reach a steady state.
const WARM_UP: Duration = Duration::from_secs(8);

/// Time that is measured, with the fault in effect.
pub const MEASURED: Duration = Duration::from_secs(30);

/// Time for the last requests to end.
const DRAIN_TIME: Duration = Duration::from_secs(40);

/// Loads, as fractions of the engines' capacity.
pub const LOADS: [f64; 4] = [0.5, 0.85, 1.0, 2.0];

/// The fault that is in effect while the case is measured.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// No fault.
    None,
    /// A customer sends five times its share of the load.
    Greedy,
    /// An engine crashes and stays down.
    EngineCrash,
    /// An engine accepts work but sends nothing.
    EngineStall,
    /// An engine is three times as slow.
    EngineSlow,
    /// An engine refuses new work.
    EngineFull,
    /// The transfers of a prefill engine stall.
    TransferStall,
    /// Two engines report loads that alternate between empty and full.
    Flapping,
    /// An instance is killed.
    InstanceDeath,
    /// An availability zone is cut off.
    ZoneCut,
}

impl Fault {
    /// All faults, in the order of the output.
    pub const ALL: [Self; 10] = [
        Self::None,
        Self::Greedy,
        Self::EngineCrash,
        Self::EngineStall,
        Self::EngineSlow,
        Self::EngineFull,
        Self::TransferStall,
        Self::Flapping,
        Self::InstanceDeath,
        Self::ZoneCut,
    ];

    /// Returns the name of the fault in the output.
    pub fn name(self) -> &'static str {
        match self {
            Self::None => "calm",
            Self::Greedy => "greedy-customer",
            Self::EngineCrash => "engine-crash",
            Self::EngineStall => "engine-stall",
            Self::EngineSlow => "engine-slow",
            Self::EngineFull => "engine-full",
            Self::TransferStall => "transfer-stall",
            Self::Flapping => "flapping-reports",
            Self::InstanceDeath => "instance-death",
            Self::ZoneCut => "zone-cut",
        }
    }
}

/// One case: a deployment under a load and a fault.
#[derive(Clone, Debug)]
pub struct Case {
    /// Simulated deployment.
    pub deployment: Deployment,
    /// Load as a fraction of the engines' capacity.
    pub load: f64,
    /// Fault in effect while the case is measured.
    pub fault: Fault,
    /// Seed of the simulation and the load.
    pub seed: u64,
}

/// A simulated case.
pub struct SimulatedCase {
    /// State of the simulation at its end.
    pub world: World,
    /// Start of the measured phase.
    pub from: Duration,
    /// End of the measured phase.
    pub to: Duration,
}

impl Case {
    /// Returns every case for a seed.
    pub fn all(seed: u64) -> Vec<Self> {
        let mut cases = Vec::new();
        for deployment in [Deployment::cuenca(), Deployment::tisina()] {
            for load in LOADS {
                for fault in Fault::ALL {
                    cases.push(Self {
                        deployment: deployment.clone(),
                        load,
                        fault,
                        seed,
                    });
                }
            }
        }
        cases
    }

    /// Returns the name that `--only` matches.
    pub fn name(&self) -> String {
        format!(
            "{}/{:.0}/{}",
            self.deployment.name,
            self.load * 100.0,
            self.fault.name()
        )
    }

    /// Returns the fraction of the capacity that remains under the fault.
    pub fn capacity_left(&self) -> f64 {
        let (p, d) = (
            self.deployment.prefill_engines,
            self.deployment.decode_engines,
        );
        let in_zone = |count: usize| count - count.div_ceil(self.deployment.zones);
        let (prefills, decodes) = match self.fault {
            Fault::EngineCrash | Fault::EngineStall | Fault::EngineFull => (p, d - 1),
            // An engine at a third of its speed cannot meet the latency targets.
            Fault::EngineSlow => (p, d - 1),
            Fault::TransferStall => (p - 1, d),
            Fault::ZoneCut => (in_zone(p), in_zone(d)),
            _ => (p, d),
        };
        capacity(&self.deployment, prefills, decodes) / capacity(&self.deployment, p, d)
    }

    /// Simulates the case with a router.
    pub fn simulate(&self, kind: RouterKind) -> SimulatedCase {
        let mut deployment = self.deployment.clone();
        self.set_limits(&mut deployment);
        let mut world = World::new(deployment, kind, self.seed);
        assert!(world.settle(), "{} did not settle", self.name());
        let greedy = (self.fault == Fault::Greedy).then_some(GREEDY_CUSTOMER);
        let workload = Workload {
            load: self.load,
            greedy,
            seed: self.seed,
        };
        let all: Vec<usize> = (0..world.instances.len()).collect();
        let from = world.now + WARM_UP;
        workload.send(&mut world, Phase::Warm, from - WARM_UP, from, &all);
        world.run_for(WARM_UP);
        let instances = self.start_fault(&mut world);
        workload.send(
            &mut world,
            Phase::Measured,
            from,
            from + MEASURED,
            &instances,
        );
        world.run_for(MEASURED + DRAIN_TIME);
        SimulatedCase {
            world,
            from,
            to: from + MEASURED,
        }
    }

    /// Gives each customer three times the rate that its share of the full load needs.
    fn set_limits(&self, deployment: &mut Deployment) {
        let means = crate::workload::means();
        let requests = capacity(
            deployment,
            deployment.prefill_engines,
            deployment.decode_engines,
        );
        // A request is charged its prompt and its output limit, which is on average a quarter above
        // the answer.
        let tokens = requests * (means.prompt + 1.25 * means.answer);
        let shares = [0.35, 0.35, 0.1, 0.1, 0.1];
        for (customer, share) in deployment.customers.iter_mut().zip(shares) {
            customer.rate = 3.0 * tokens * share;
            customer.burst = customer.rate * 10.0;
        }
    }

    /// Starts the fault; returns the instances that callers can reach from then on.
    fn start_fault(&self, world: &mut World) -> Vec<usize> {
        let all: Vec<usize> = (0..world.instances.len()).collect();
        let set = |world: &mut World, engine: &str, faults: EngineFaults| {
            if let Some(engine) = world.engine_mut(engine) {
                engine.faults = faults;
            }
        };
        let none = EngineFaults::default();
        match self.fault {
            Fault::None | Fault::Greedy => {}
            Fault::EngineCrash => world.crash_engine("decode-1"),
            Fault::EngineStall => set(
                world,
                "decode-1",
                EngineFaults {
                    stalled: true,
                    ..none
                },
            ),
            Fault::EngineSlow => set(
                world,
                "decode-1",
                EngineFaults {
                    slow_percent: 300,
                    ..none
                },
            ),
            Fault::EngineFull => set(world, "decode-1", EngineFaults { full: true, ..none }),
            Fault::TransferStall => {
                set(
                    world,
                    "prefill-0",
                    EngineFaults {
                        stalled_export: true,
                        ..none
                    },
                );
            }
            Fault::Flapping => {
                for engine in ["decode-1", "decode-2"] {
                    set(
                        world,
                        engine,
                        EngineFaults {
                            flapping: true,
                            ..none
                        },
                    );
                }
            }
            Fault::InstanceDeath => {
                world.kill(KILLED_INSTANCE);
                // Connections to it are refused, so its callers switch to other instances at once.
                return all
                    .into_iter()
                    .filter(|instance| *instance != KILLED_INSTANCE)
                    .collect();
            }
            Fault::ZoneCut => return cut_zone(world, &all),
        }
        all
    }
}

/// Number of the customer that goes over its rate.
const GREEDY_CUSTOMER: usize = 2;

/// Number of the instance that is killed.
const KILLED_INSTANCE: usize = 1;

/// Availability zone that is cut off from the others.
const CUT_ZONE: &str = "zone-1";

/// Cuts the machines of a zone off from all others and from the platform services; returns the
/// instances of the other zones.
fn cut_zone(world: &mut World, all: &[usize]) -> Vec<usize> {
    let instances: Vec<_> = world
        .instances
        .iter()
        .map(|n| (n.id.clone(), n.zone.clone()))
        .collect();
    let engines: Vec<_> = world
        .engines
        .iter()
        .map(|(a, e)| (a.clone(), e.zone.clone()))
        .collect();
    for (instance, zone) in &instances {
        for (other, other_zone) in instances.iter().chain(&engines) {
            if (zone == CUT_ZONE) != (other_zone == CUT_ZONE) {
                world.network.cut(instance, other);
            }
        }
        if zone == CUT_ZONE {
            world.network.cut(instance, "table");
        }
    }
    all.iter()
        .copied()
        .filter(|instance| instances[*instance].1 != CUT_ZONE)
        .collect()
}
