//! Decides how much memory an instance may count on.

/// Part of the machine's memory that is used if nothing else limits the process: other processes may run on
/// the machine.
const MACHINE_PART: u64 = 4;

/// Where a limit of the memory comes from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MemorySource {
    /// The settings state it.
    Settings,
    /// The control group of the process.
    ControlGroup,
    /// A resource limit of the process, on its address space or its data.
    ResourceLimit,
    /// The memory of the machine.
    Machine,
}

impl MemorySource {
    /// Returns the name for logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Settings => "settings",
            Self::ControlGroup => "control group",
            Self::ResourceLimit => "resource limit",
            Self::Machine => "machine",
        }
    }
}

/// Memory that an instance may count on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemoryLimit {
    /// Size in bytes.
    pub bytes: u64,
    /// Where it comes from.
    pub source: MemorySource,
}

/// What the operating system says of the memory, in bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SystemMemory {
    /// Lowest limit of the control groups of the process; `None` without any.
    pub control_group: Option<u64>,
    /// Lowest resource limit of the process; `None` without any.
    pub resource_limit: Option<u64>,
    /// Memory of the machine.
    pub machine: u64,
}

impl SystemMemory {
    /// Returns what the settings state, or else the lowest limit of the process, or else a part of the
    /// machine's memory. A limit that is not below the machine's memory is none.
    pub fn limit(&self, stated: Option<u64>) -> MemoryLimit {
        if let Some(bytes) = stated {
            let source = MemorySource::Settings;
            return MemoryLimit { bytes, source };
        }
        let limits = [
            (self.control_group, MemorySource::ControlGroup),
            (self.resource_limit, MemorySource::ResourceLimit),
        ];
        let lowest = limits
            .into_iter()
            .filter_map(|(bytes, source)| bytes.map(|bytes| MemoryLimit { bytes, source }))
            .filter(|limit| limit.bytes < self.machine)
            .min_by_key(|limit| limit.bytes);
        lowest.unwrap_or(MemoryLimit {
            bytes: self.machine / MACHINE_PART,
            source: MemorySource::Machine,
        })
    }
}

/// Returns the files that may hold limits of the control groups of a process, whose `/proc/self/cgroup` is
/// given. A limit also binds the groups below it.
///
/// In a container the paths may be those of the host; the limit is then at the root of the hierarchy.
pub fn control_group_files(cgroups: &str) -> Vec<String> {
    let mut files = Vec::new();
    for line in cgroups.lines() {
        let mut parts = line.splitn(3, ':').skip(1);
        let (Some(controllers), Some(path)) = (parts.next(), parts.next()) else {
            continue;
        };
        let (root, file) = match controllers {
            "" => ("/sys/fs/cgroup", "memory.max"),
            _ if controllers.split(',').any(|c| c == "memory") => {
                ("/sys/fs/cgroup/memory", "memory.limit_in_bytes")
            }
            _ => continue,
        };
        let mut path = path.trim_end_matches('/');
        loop {
            files.push(format!("{root}{path}/{file}"));
            match path.rsplit_once('/') {
                Some((parent, _)) => path = parent,
                None => break,
            }
        }
    }
    files
}

/// Parses the content of such a file; `None` if it states no limit.
pub fn parse_control_group_limit(text: &str) -> Option<u64> {
    text.trim().parse().ok()
}
