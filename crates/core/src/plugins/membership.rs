//! Exchanges heartbeats between instances and drains this instance.

use std::time::Duration;

use jacinthlever_types::{InstanceId, PeerMsg};

use crate::plugins::caller_addresses::MAX_AGE_MS;
use crate::plugins::{configuration, scheduling};
use crate::{Action, Core, LogEvent, Plugin};

inventory::submit! {
    Plugin { tick: Some(tick), peer: Some(peer), ..Plugin::named("membership") }
}

/// Interval between updates of the set of active instances.
const REFRESH_INTERVAL: Duration = Duration::from_millis(80);

/// Time after which a drain ends even if partitions could not be handed over.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(15);

fn tick(core: &mut Core) {
    if core.now >= core.tasks.next_heartbeat {
        core.tasks.next_heartbeat = core.now
            + core
                .members
                .heartbeat_interval(core.settings.heartbeat_interval);
        send_heartbeat(core);
    }
    if core.now >= core.tasks.next_members_refresh {
        core.tasks.next_members_refresh = core.now + REFRESH_INTERVAL;
        refresh(core);
    }
    if core.draining && !core.stopped {
        drain(core);
    }
}

/// Marks a peer as lost after its link broke.
pub(crate) fn peer_lost(core: &mut Core, peer: &InstanceId) {
    core.members.mark_lost(peer);
    refresh(core);
    scheduling::update_shards(core);
}

fn refresh(core: &mut Core) {
    let own = core.status();
    let (inactive, newly_active) = core.members.refresh(&own, &core.directory, core.now);
    let others = |ids: Vec<InstanceId>| ids.into_iter().filter(|id| *id != own.instance);
    others(inactive).for_each(|peer| core.log(LogEvent::PeerSilent { peer }));
    others(newly_active).for_each(|peer| core.log(LogEvent::PeerHeard { peer }));
}

fn send_heartbeat(core: &mut Core) {
    core.heartbeat += 1;
    let mut members = vec![core.status()];
    members.extend(core.members.gossip(core.now));
    for peer in core.members.neighbours(&core.settings.instance) {
        core.send(
            &peer,
            PeerMsg::Heartbeat {
                members: members.clone(),
            },
        );
    }
}

fn drain(core: &mut Core) {
    let started_at = *core.tasks.drain_started.get_or_insert(core.now);
    let cache_time = Duration::from_millis(MAX_AGE_MS);
    if core.now < started_at + cache_time || !core.requests.is_empty() {
        return;
    }
    let no_active_instance = core.members.active().is_empty();
    let released = no_active_instance || core.limiter.partitions().next().is_none();
    let handed_over = released && core.idempotency_ledger.all_stored();
    if handed_over || core.now >= started_at + DRAIN_TIMEOUT {
        core.stopped = true;
        let instance = core.settings.instance.clone();
        core.log(LogEvent::DrainEnded { instance });
        core.push_action(Action::Stopped);
    }
}

fn peer(core: &mut Core, from: &InstanceId, msg: PeerMsg) -> Option<PeerMsg> {
    match msg {
        PeerMsg::Heartbeat { members } => {
            if let Some(sender) = members.first() {
                configuration::pull_if_newer(core, from, sender.revision);
            }
            for status in members {
                if status.instance != core.settings.instance {
                    core.members.record_heartbeat(status, core.now);
                }
            }
            None
        }
        PeerMsg::Hello { .. } => None,
        other => Some(other),
    }
}
