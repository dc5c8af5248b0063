//! Registers this instance in the store, reads which others are registered, and removes those
//! that are gone for good.

use std::rc::Rc;
use std::time::Duration;

use jacinthlever_routing::{Member, StaleRows};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::time::sleep;

use crate::node::Node;
use crate::pause::Pause;
use crate::store::{StoreClient, StoreFault, Written};
use crate::tables::unreadable;
use crate::{EventCode, Row, RowWrite, Settings, Table};

/// Time between two renewals of a registration.
const RENEW_EVERY: Duration = Duration::from_secs(60);

/// Part by which renewals are spread.
const RENEW_SPREAD: f64 = 0.2;

/// Registration of an instance, as it is kept in the store.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct Registration {
    callers: SmolStr,
    peers: SmolStr,
    zone: SmolStr,
}

impl Registration {
    fn of(settings: &Settings) -> Self {
        let member = own_member(settings);
        Self {
            callers: member.caller_address,
            peers: member.peer_address,
            zone: member.zone,
        }
    }
}

/// Returns how this instance is registered.
pub fn own_member(settings: &Settings) -> Member {
    Member {
        caller_address: settings.listen.callers.to_string().into(),
        peer_address: settings.listen.peers.to_string().into(),
        zone: settings.zone.clone(),
    }
}

/// Keeps this instance registered for as long as the process runs.
///
/// The speaker of the first zone removes rows that nobody renews: an instance that is replaced
/// leaves its row behind, and whoever starts would count it as a part of the fleet.
pub async fn keep(node: Rc<Node>) {
    join(node.clone()).await;
    let mut client = StoreClient::new(node.clone(), "renew");
    let mut stale = StaleRows::default();
    loop {
        let spread = 1.0 + RENEW_SPREAD * (node.draw() - 0.5);
        sleep(RENEW_EVERY.mul_f64(spread)).await;
        register(node.clone()).await;
        let removes = node.state.borrow().members.is_fleet_delegate(node.now());
        if removes {
            // What could not be removed is found again at the next read.
            if let Err(fault) = remove_stale(&node, &mut client, &mut stale).await {
                log::debug!("registrations were not looked through: {fault}");
            }
        }
    }
}

async fn remove_stale(
    node: &Node,
    client: &mut StoreClient,
    stale: &mut StaleRows,
) -> Result<(), StoreFault> {
    let rows = client.read(Table::Instances).await?.rows;
    let versions: Vec<_> = rows.into_iter().map(|r| (r.key, r.version)).collect();
    for (key, version) in stale.observe(&versions) {
        let write = RowWrite {
            table: Table::Instances,
            key: key.clone(),
            value: None,
            expected: Some(version),
        };
        // A conflict means that the instance has come back.
        if let Written::Done(_) = client.write(&write).await? {
            let fields = [("instance", key.as_str().into()), ("row", version.into())];
            node.note(EventCode::InstanceRemoved, fields);
        }
    }
    Ok(())
}

/// Registers this instance and reads who else is, until the store has answered both.
///
/// Of two instances that start together, the one that reads later sees the other.
async fn join(node: Rc<Node>) {
    register(node.clone()).await;
    let mut client = StoreClient::new(node.clone(), "instances");
    let mut pause = Pause::default();
    loop {
        match client.read(Table::Instances).await {
            Ok(rows) => {
                for row in &rows.rows {
                    apply_instance(&node, row);
                }
                return;
            }
            Err(_) => sleep(pause.next(node.draw())).await,
        }
    }
}

/// Registers this instance, until the store has taken it.
async fn register(node: Rc<Node>) {
    let mut client = StoreClient::new(node.clone(), "register");
    let mut pause = Pause::default();
    let settings = node.settings();
    let Ok(value) = serde_json::to_vec(&Registration::of(&settings)) else {
        return;
    };
    let write = RowWrite {
        table: Table::Instances,
        key: settings.instance.clone(),
        value: Some(value),
        expected: None,
    };
    while client.write(&write).await.is_err() {
        sleep(pause.next(node.draw())).await;
    }
}

fn apply_instance(node: &Node, row: &Row) {
    if row.key == node.settings().instance {
        return;
    }
    let mut state = node.state.borrow_mut();
    let Some(value) = &row.value else {
        return state.members.remove(&row.key);
    };
    match serde_json::from_slice::<Registration>(value) {
        Ok(registration) => {
            let member = Member {
                caller_address: registration.callers,
                peer_address: registration.peers,
                zone: registration.zone,
            };
            state.members.register(node.now(), row.key.clone(), member);
        }
        Err(error) => {
            drop(state);
            unreadable(node, row, error.to_string());
        }
    }
}
