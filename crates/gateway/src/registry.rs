//! Registers this instance in the store, reads the registrations of other instances, and removes
//! those that are no longer renewed.

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::{Either, select};
use jacinthlever_routing::{Member, StaleRows};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::time::sleep;

use crate::backoff::Backoff;
use crate::context::Context;
use crate::store::{StoreClient, StoreError, WriteResult};
use crate::table_updates::log_unreadable_row;
use crate::{EventCode, Row, RowWrite, Settings, Table};

/// Interval between renewals of the registration.
const RENEW_INTERVAL: Duration = Duration::from_secs(60);

/// Maximum random delay before the registration is written again to a store that has come back from
/// a copy, so that instances do not all write at once.
const REWRITE_SPREAD: Duration = Duration::from_millis(1000);

/// Time after which the registrations are read although the write of the own one has not been answered:
/// limits of the fleet depend on them.
const WRITE_PATIENCE: Duration = Duration::from_millis(150);

/// Time limit for the answer to the write of a new registration. The store carries writes out one after
/// the other, those of a whole fleet that starts in some seconds; a write that is repeated meanwhile makes
/// the others wait longer.
const REGISTER_PATIENCE: Duration = Duration::from_secs(3);

/// Time after the first read of the registrations until the second one, which has the instances that
/// started together with this one.
const SECOND_READ_DELAY: Duration = Duration::from_secs(3);

/// Width of the random spread of renewals, as a fraction of the interval.
const RENEW_JITTER: f64 = 0.2;

/// Registration of an instance, as stored in [`Table::Instances`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct Registration {
    callers: SmolStr,
    peers: SmolStr,
    zone: SmolStr,
}

impl Registration {
    fn new(settings: &Settings) -> Self {
        let member = own_member(settings);
        Self {
            callers: member.caller_address,
            peers: member.peer_address,
            zone: member.zone,
        }
    }

    fn into_member(self) -> Member {
        Member {
            caller_address: self.callers,
            peer_address: self.peers,
            zone: self.zone,
        }
    }
}

/// Returns the addresses and the zone under which this instance is registered.
pub fn own_member(settings: &Settings) -> Member {
    Member {
        caller_address: settings.listen.callers.to_string().into(),
        peer_address: settings.listen.peers.to_string().into(),
        zone: settings.zone.clone(),
    }
}

/// Keeps this instance registered; runs until the process ends.
///
/// The delegate of the first zone removes rows that are not renewed: an instance that is replaced
/// leaves its row behind, and instances that start would count it as a part of the fleet.
pub async fn run(cx: Rc<Context>) {
    let mut restored = cx.store_restored.subscribe();
    let was_registered = join(cx.clone()).await;
    let mut client = StoreClient::new(cx.clone(), "renew");
    let mut stale = StaleRows::default();
    if !was_registered {
        sleep(SECOND_READ_DELAY).await;
        read_registered(&cx, &mut client).await;
    }
    loop {
        let spread = 1.0 + RENEW_JITTER * (cx.random() - 0.5);
        tokio::select! {
            () = sleep(RENEW_INTERVAL.mul_f64(spread)) => {}
            () = cx.registrations_missed.notified() => {
                read_registered(&cx, &mut client).await;
                sleep(SECOND_READ_DELAY).await;
                continue;
            }
            _ = restored.changed() => {
                sleep(REWRITE_SPREAD.mul_f64(cx.random())).await;
            }
        }
        let mut backoff = Backoff::default();
        while register(&cx, &mut client).await.is_err() {
            sleep(backoff.next_delay(cx.random())).await;
        }
        read_registered(&cx, &mut client).await;
        let is_remover = cx.state.borrow().members.is_fleet_delegate(cx.now());
        if is_remover {
            // Rows that could not be removed are found again at the next read.
            if let Err(error) = remove_stale(&cx, &mut client, &mut stale).await {
                log::debug!(
                    "removal of stale registrations failed, next try after a renewal: {error}"
                );
            }
        }
    }
}

/// Reads which instances are registered. If that fails, the last ones stand until the next read.
async fn read_registered(cx: &Context, client: &mut StoreClient) {
    match client.read(Table::Instances).await {
        Ok(rows) => set_registered(cx, &rows.rows),
        Err(error) => log::debug!("registrations not read, next try after a renewal: {error}"),
    }
}

/// Sets the registrations, from which the keepers of records are chosen and the fleet is counted.
fn set_registered(cx: &Context, rows: &[Row]) {
    let registered = rows.iter().filter_map(|row| {
        let value = row.value.as_ref()?;
        // Rows that cannot be decoded are logged when the instance starts.
        let registration: Registration = serde_json::from_slice(value).ok()?;
        Some((row.key.clone(), registration.into_member()))
    });
    let mut state = cx.state.borrow_mut();
    state.members.set_registered(registered.collect());
    state.redistribute_allowances(cx.now(), &cx.settings());
}

async fn remove_stale(
    cx: &Context,
    client: &mut StoreClient,
    stale: &mut StaleRows,
) -> Result<(), StoreError> {
    let rows = client.read(Table::Instances).await?.rows;
    let versions: Vec<_> = rows.into_iter().map(|r| (r.key, r.version)).collect();
    for (key, version) in stale.observe(&versions) {
        let write = RowWrite {
            table: Table::Instances,
            key: key.clone(),
            value: None,
            expected: Some(version),
        };
        // A conflict means that the instance has renewed its row.
        if let WriteResult::Done(_) = client.write(&write).await? {
            let fields = [("instance", key.as_str().into()), ("row", version.into())];
            cx.log(EventCode::InstanceRemoved, fields);
        }
    }
    Ok(())
}

/// Registers this instance and reads the other registrations; retries until both succeed. Returns whether
/// it was registered already.
///
/// A restarted instance finds its row in place, and those of the others that were restarted with it. It
/// is renewed later. Of two instances that are new, the one that reads later sees the other, so the
/// registrations are read after each write, also after a failed one: a store that loses answers may have
/// carried it out.
async fn join(cx: Rc<Context>) -> bool {
    let mut writer = StoreClient::new(cx.clone(), "register").with_patience(REGISTER_PATIENCE);
    let mut reader = StoreClient::new(cx.clone(), "instances");
    let mut backoff = Backoff::default();
    if !cx.settings().is_first_start && read_others(&cx, &mut reader).await == Ok(true) {
        return true;
    }
    loop {
        let is_registered = {
            let write = pin!(register(&cx, &mut writer));
            let early_read = pin!(async {
                sleep(WRITE_PATIENCE).await;
                read_others(&cx, &mut reader).await
            });
            match select(write, early_read).await {
                Either::Left((written, _)) => written.is_ok(),
                Either::Right((_, write)) => write.await.is_ok(),
            }
        };
        let has_read = read_others(&cx, &mut reader).await.is_ok();
        if is_registered && has_read {
            return false;
        }
        sleep(backoff.next_delay(cx.random())).await;
    }
}

/// Reads the registrations of the other instances; returns whether this one is registered as it should be.
async fn read_others(cx: &Context, client: &mut StoreClient) -> Result<bool, StoreError> {
    let rows = client.read(Table::Instances).await?;
    for row in &rows.rows {
        apply_instance(cx, row);
    }
    set_registered(cx, &rows.rows);
    // The addresses of the peers are known from here on, so the first report need not wait for its turn.
    cx.urgent_news.notify_one();
    let own = rows
        .rows
        .iter()
        .find(|row| row.key == cx.settings().instance);
    let own = own.and_then(|row| serde_json::from_slice(row.value.as_ref()?).ok());
    Ok(own == Some(Registration::new(&cx.settings())))
}

/// Writes the registration of this instance once.
async fn register(cx: &Context, client: &mut StoreClient) -> Result<(), StoreError> {
    let settings = cx.settings();
    let value = serde_json::to_vec(&Registration::new(&settings))
        .map_err(|error| StoreError::Unreadable(error.to_string()))?;
    let write = RowWrite {
        table: Table::Instances,
        key: settings.instance.clone(),
        value: Some(value),
        expected: None,
    };
    client.write(&write).await.map(drop)
}

fn apply_instance(cx: &Context, row: &Row) {
    if row.key == cx.settings().instance {
        return;
    }
    let mut state = cx.state.borrow_mut();
    let Some(value) = &row.value else {
        return state.members.remove(&row.key);
    };
    match serde_json::from_slice::<Registration>(value) {
        Ok(registration) => {
            let member = registration.into_member();
            state.members.register(cx.now(), row.key.clone(), member);
        }
        Err(error) => {
            drop(state);
            log_unreadable_row(cx, row, error.to_string());
        }
    }
}
