//! Registers this instance in the store, and reads which others are registered.

use std::rc::Rc;

use jacinthlever_routing::Member;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::time::sleep;

use crate::node::Node;
use crate::pause::Pause;
use crate::store::StoreClient;
use crate::tables::unreadable;
use crate::{Row, RowWrite, Settings, Table};

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
            callers: member.callers,
            peers: member.peers,
            zone: member.zone,
        }
    }
}

/// Returns how this instance is registered.
pub fn own_member(settings: &Settings) -> Member {
    Member {
        callers: settings.listen.callers.to_string().into(),
        peers: settings.listen.peers.to_string().into(),
        zone: settings.zone.clone(),
    }
}

/// Registers this instance and reads who else is, until the store has answered both.
///
/// Of two instances that start together, the one that reads later sees the other.
pub async fn join(node: Rc<Node>) {
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
        return state.members.left(&row.key);
    };
    match serde_json::from_slice::<Registration>(value) {
        Ok(registration) => {
            let member = Member {
                callers: registration.callers,
                peers: registration.peers,
                zone: registration.zone,
            };
            state
                .members
                .registered(node.now(), row.key.clone(), member);
        }
        Err(error) => {
            drop(state);
            unreadable(node, row, error.to_string());
        }
    }
}
