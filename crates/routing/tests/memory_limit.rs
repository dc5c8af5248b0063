//! Tests of how much memory an instance counts on.

use jacinthlever_routing::{
    MemoryLimit, MemorySource, SystemMemory, control_group_files, parse_control_group_limit,
};

const MACHINE: u64 = 32_000_000_000;

fn limit(
    control_group: Option<u64>,
    resource_limit: Option<u64>,
    stated: Option<u64>,
) -> MemoryLimit {
    let system = SystemMemory {
        control_group,
        resource_limit,
        machine: MACHINE,
    };
    system.limit(stated)
}

/// Guards against an instance that nothing bounds, since its settings do not state the memory.
#[test]
fn the_lowest_limit_of_the_process_holds_unless_the_settings_state_one() {
    let of = |bytes, source| MemoryLimit { bytes, source };
    let (group, process) = (Some(500_000_000), Some(300_000_000));
    let stated = of(88_000_000, MemorySource::Settings);
    assert_eq!(limit(group, process, Some(88_000_000)), stated);
    assert_eq!(
        limit(group, None, None),
        of(500_000_000, MemorySource::ControlGroup)
    );
    assert_eq!(
        limit(group, process, None),
        of(300_000_000, MemorySource::ResourceLimit)
    );
    let machine = of(MACHINE / 4, MemorySource::Machine);
    assert_eq!(limit(None, None, None), machine);
    // Version 1 of control groups states a huge number where there is no limit.
    assert_eq!(limit(Some(9_223_372_036_854_771_712), None, None), machine);
}

#[test]
fn limits_of_all_enclosing_control_groups_are_read() {
    let cgroups = "12:cpu,cpuacct:/a\n7:memory:/kube/pod\n0::/user.slice/app.scope\n";
    let expected = [
        "/sys/fs/cgroup/memory/kube/pod/memory.limit_in_bytes",
        "/sys/fs/cgroup/memory/kube/memory.limit_in_bytes",
        "/sys/fs/cgroup/memory/memory.limit_in_bytes",
        "/sys/fs/cgroup/user.slice/app.scope/memory.max",
        "/sys/fs/cgroup/user.slice/memory.max",
        "/sys/fs/cgroup/memory.max",
    ];
    assert_eq!(control_group_files(cgroups), expected);
    assert_eq!(control_group_files("0::/\n"), ["/sys/fs/cgroup/memory.max"]);
    assert_eq!(parse_control_group_limit("max\n"), None);
    assert_eq!(parse_control_group_limit("104857600\n"), Some(104_857_600));
}
