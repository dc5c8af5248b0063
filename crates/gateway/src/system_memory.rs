//! Reads what the operating system says of the memory.

use std::fs;

use jacinthlever_routing::{SystemMemory, control_group_files, parse_control_group_limit};
use rustix::process::{Resource, getrlimit};
use rustix::system::sysinfo;

/// File that names the control groups of this process.
const CONTROL_GROUPS: &str = "/proc/self/cgroup";

/// Reads the limits of this process and the memory of the machine. Without control groups, or if they cannot
/// be read, only the other limits count.
pub fn read() -> SystemMemory {
    let groups = fs::read_to_string(CONTROL_GROUPS).unwrap_or_default();
    let limit_of = |file: String| parse_control_group_limit(&fs::read_to_string(file).ok()?);
    let control_group = control_group_files(&groups)
        .into_iter()
        .filter_map(limit_of)
        .min();
    let resources = [Resource::As, Resource::Data];
    let resource_limit = resources
        .into_iter()
        .filter_map(|r| getrlimit(r).current)
        .min();
    let system = sysinfo();
    SystemMemory {
        control_group,
        resource_limit,
        machine: system.totalram as u64 * u64::from(system.mem_unit),
    }
}
