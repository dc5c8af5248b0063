//! The cases: deployments, loads and faults.

use std::time::Duration;

use jacinthlever_fakes::{Deployment, EngineFaults, RouterKind, World};

use crate::workload::{Span, Workload, capacity};

/// Time for the fleet to reach its pace.
const WARM: Duration = Duration::from_secs(8);

/// Time that is measured, with the fault on.
pub const MEASURED: Duration = Duration::from_secs(30);

/// Time for the last answers.
const REST: Duration = Duration::from_secs(40);

/// Loads, as parts of the engines' capacity.
pub const LOADS: [f64; 4] = [0.5, 0.85, 1.0, 2.0];

/// What fails while the case is measured.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// Nothing.
    Calm,
    /// A customer sends five times its part.
    Greedy,
    /// An engine crashes and stays down.
    EngineCrash,
    /// An engine accepts and then sends nothing.
    EngineStall,
    /// An engine takes three times as long.
    EngineSlow,
    /// An engine refuses new work.
    EngineFull,
    /// The transfers of a prefill engine stall.
    TransferStall,
    /// Two engines report loads that jump.
    Flapping,
    /// An instance dies.
    InstanceDeath,
    /// An availability zone is cut off.
    ZoneCut,
}

impl Fault {
    /// All faults.
    pub const ALL: [Self; 10] = [
        Self::Calm,
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

    /// Returns the name that the output shows.
    pub fn name(self) -> &'static str {
        match self {
            Self::Calm => "calm",
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

/// One case.
#[derive(Clone, Debug)]
pub struct Case {
    /// Deployment.
    pub deployment: Deployment,
    /// Load as a part of capacity.
    pub load: f64,
    /// Fault.
    pub fault: Fault,
    /// Seed.
    pub seed: u64,
}

/// A played case.
pub struct Played {
    /// The world after it.
    pub world: World,
    /// Start of the measured span.
    pub from: Duration,
    /// End of the measured span.
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

    /// Returns the name that `--only` looks at.
    pub fn name(&self) -> String {
        format!(
            "{}/{:.0}/{}",
            self.deployment.name,
            self.load * 100.0,
            self.fault.name()
        )
    }

    /// Returns the part of the capacity that the fault leaves.
    pub fn capacity_left(&self) -> f64 {
        let (p, d) = (
            self.deployment.prefill_engines,
            self.deployment.decode_engines,
        );
        let in_zone = |count: usize| count - count.div_ceil(self.deployment.zones);
        let (prefills, decodes) = match self.fault {
            Fault::EngineCrash | Fault::EngineStall | Fault::EngineFull => (p, d - 1),
            // A third of its pace is worth nothing under the latency targets.
            Fault::EngineSlow => (p, d - 1),
            Fault::TransferStall => (p - 1, d),
            Fault::ZoneCut => (in_zone(p), in_zone(d)),
            _ => (p, d),
        };
        capacity(&self.deployment, prefills, decodes) / capacity(&self.deployment, p, d)
    }

    /// Plays the case with a router.
    pub fn play(&self, kind: RouterKind) -> Played {
        let mut deployment = self.deployment.clone();
        self.set_limits(&mut deployment);
        let mut world = World::new(deployment, kind, self.seed);
        assert!(world.settle(), "{} did not settle", self.name());
        let greedy = (self.fault == Fault::Greedy).then_some(GREEDY);
        let workload = Workload {
            load: self.load,
            greedy,
            seed: self.seed,
        };
        let all: Vec<usize> = (0..world.instances.len()).collect();
        let from = world.now + WARM;
        workload.send(&mut world, Span::Warm, from - WARM, from, &all);
        world.run_for(WARM);
        let instances = self.begin_fault(&mut world);
        workload.send(
            &mut world,
            Span::Measured,
            from,
            from + MEASURED,
            &instances,
        );
        world.run_for(MEASURED + REST);
        Played {
            world,
            from,
            to: from + MEASURED,
        }
    }

    /// Gives each customer three times the rate that its part of the full load takes.
    fn set_limits(&self, deployment: &mut Deployment) {
        let means = crate::workload::means();
        let requests = capacity(
            deployment,
            deployment.prefill_engines,
            deployment.decode_engines,
        );
        // What is charged is the prompt and the named output limit, a quarter above the answer.
        let tokens = requests * (means.prompt + 1.25 * means.answer);
        let parts = [0.35, 0.35, 0.1, 0.1, 0.1];
        for (customer, part) in deployment.customers.iter_mut().zip(parts) {
            customer.rate = 3.0 * tokens * part;
            customer.burst = customer.rate * 10.0;
        }
    }

    /// Turns the fault on; returns the nodes that callers reach from then on.
    fn begin_fault(&self, world: &mut World) -> Vec<usize> {
        let all: Vec<usize> = (0..world.instances.len()).collect();
        let set = |world: &mut World, engine: &str, faults: EngineFaults| {
            if let Some(engine) = world.engine_mut(engine) {
                engine.faults = faults;
            }
        };
        let none = EngineFaults::default();
        match self.fault {
            Fault::Calm | Fault::Greedy => {}
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
                world.kill(DEAD);
                // Its callers are refused connections and go elsewhere at once.
                return all
                    .into_iter()
                    .filter(|instance| *instance != DEAD)
                    .collect();
            }
            Fault::ZoneCut => return cut_zone(world, &all),
        }
        all
    }
}

/// Customer that goes over its rate.
const GREEDY: usize = 2;

/// Instance that dies.
const DEAD: usize = 1;

/// Availability zone that is cut off.
const CUT: &str = "zone-1";

/// Cuts a zone's machines off from all others, the platform's services among them.
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
            if (zone == CUT) != (other_zone == CUT) {
                world.network.cut(instance, other);
            }
        }
        if zone == CUT {
            world.network.cut(instance, "table");
        }
    }
    all.iter()
        .copied()
        .filter(|instance| instances[*instance].1 != CUT)
        .collect()
}
