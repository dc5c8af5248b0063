//! The way of digests of other zones, and of news of the store, through a zone; see `docs/design/size.md`.

use smol_str::SmolStr;

/// Number of groups into which a zone is divided where fewer would do, so that a small one gets its messages
/// without a detour.
const MIN_GROUPS: usize = 8;

/// Instances of a zone that get messages by way of the first of them.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ForwardingGroup {
    /// Address of the instance that gets the messages and forwards them.
    pub first: SmolStr,
    /// Addresses to which it forwards them.
    pub others: Vec<SmolStr>,
}

/// How messages for all instances of a zone reach them.
///
/// To send the digests of all other zones to each peer takes more than the link of a delegate in a large zone.
/// The peers are divided into about as many groups as each has instances, so that nobody sends to more than that
/// many. The groups' first instances change each time: one that is gone costs its group one message.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Forwarding {
    /// Groups of instances that announce that they forward.
    pub groups: Vec<ForwardingGroup>,
    /// Addresses of the other instances, which get what they need in reports or from the store.
    pub direct: Vec<SmolStr>,
}

impl Forwarding {
    /// Divides the instances of a zone. `able` are those that announce that they forward and are reachable,
    /// `unreachable` those that announced it before, and `direct` the others. `turn` is the number of divisions
    /// before this one; each has other first instances.
    pub fn plan(
        able: Vec<SmolStr>,
        unreachable: Vec<SmolStr>,
        direct: Vec<SmolStr>,
        turn: usize,
    ) -> Self {
        if able.is_empty() {
            return Self {
                groups: Vec::new(),
                direct: [direct, unreachable].concat(),
            };
        }
        let size = able.len() + unreachable.len();
        let root = (size as f64).sqrt().ceil() as usize;
        let count = root.max(MIN_GROUPS).min(able.len());
        let mut members = able;
        let start = turn.wrapping_mul(count) % members.len();
        members.rotate_left(start);
        let others = members.split_off(count);
        let mut groups: Vec<ForwardingGroup> = members
            .into_iter()
            .map(|first| ForwardingGroup {
                first,
                others: Vec::new(),
            })
            .collect();
        for (n, address) in others.into_iter().chain(unreachable).enumerate() {
            groups[n % count].others.push(address);
        }
        Self { groups, direct }
    }
}
