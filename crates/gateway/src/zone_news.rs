//! News of the store's tables that an instance has read for the other instances of its zone.

use serde::{Deserialize, Serialize};

use crate::Row;
use crate::context::Context;
use crate::evacuations::{self, SharedEvacuation};
use crate::freshness::{Freshness, TableChange};
use crate::table_updates::{apply_config, apply_peer_changes};

/// Maximum size of a configuration that is sent to peers, in bytes: with it, a message still fits into a
/// datagram. A larger one is read from the store by each instance.
const MAX_CONFIG_BYTES: usize = 24 * 1024;

/// A configuration that an instance has read.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ConfigNews {
    /// Version of the row.
    row: u64,
    /// Key of the row.
    key: String,
    /// Content of the row; `None` if it is too large and must be read from the store.
    content: Option<String>,
}

impl ConfigNews {
    /// Creates the news of a row; `None` if the row was removed.
    pub fn new(row: &Row) -> Option<Self> {
        let value = row.value.as_ref()?;
        let text = std::str::from_utf8(value).ok();
        let content = text.filter(|text| text.len() <= MAX_CONFIG_BYTES);
        Some(Self {
            row: row.version,
            key: row.key.to_string(),
            content: content.map(str::to_string),
        })
    }
}

/// Freshness of the copies of both tables of an instance.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct Verification {
    config: Freshness,
    servers: Freshness,
}

/// What the peers in the zone should learn at once.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct ZoneNews {
    /// Changes of the servers, the oldest first.
    #[serde(default)]
    pub changes: Vec<TableChange>,
    /// The newest configuration.
    #[serde(default)]
    pub config: Option<ConfigNews>,
    /// When the copies were verified, if the other instances wait for that.
    #[serde(default)]
    pub verification: Option<Verification>,
    /// All that is known of evacuated zones, if some of it has changed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub evacuations: Vec<SharedEvacuation>,
}

impl ZoneNews {
    /// Whether there are no news.
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
            && self.config.is_none()
            && self.verification.is_none()
            && self.evacuations.is_empty()
    }

    /// Divides the news into parts of which each fits into a datagram, in the order in which they apply.
    pub fn into_parts(self) -> Vec<Self> {
        let changes = self.changes.into_iter().map(|change| Self {
            changes: vec![change],
            ..Self::default()
        });
        let config = self.config.into_iter().map(|config| Self {
            config: Some(config),
            ..Self::default()
        });
        let mut parts: Vec<Self> = changes.chain(config).collect();
        if parts.is_empty() {
            parts.push(Self::default());
        }
        if let Some(first) = parts.first_mut() {
            first.evacuations = self.evacuations;
        }
        // It holds for copies that have the rows of all parts.
        if let Some(last) = parts.last_mut() {
            last.verification = self.verification;
        }
        parts
    }

    /// Applies news of a peer.
    pub fn apply(&self, cx: &Context) {
        apply_peer_changes(cx, &self.changes);
        evacuations::merge(cx, &self.evacuations);
        if let Some(config) = &self.config {
            apply_config_news(cx, config);
        }
        if let Some(verification) = self.verification {
            let mut state = cx.state.borrow_mut();
            state.merge_freshness(verification.config, verification.servers);
        }
        cx.peer_rows_changed.notify_waiters();
    }
}

fn apply_config_news(cx: &Context, news: &ConfigNews) {
    if news.row <= cx.state.borrow().config_freshness.row {
        return;
    }
    let Some(content) = &news.content else {
        cx.state.borrow_mut().large_config_row = news.row;
        return;
    };
    let row = Row {
        key: news.key.as_str().into(),
        value: Some(content.clone().into_bytes()),
        version: news.row,
    };
    apply_config(cx, &row);
}

/// Adds to the news for the zone, and wakes the task that sends them.
pub fn share(cx: &Context, add: impl FnOnce(&mut ZoneNews)) {
    add(&mut cx.zone_news.borrow_mut());
    cx.zone_news_added.notify_one();
}

/// Returns the freshness of this instance's copies.
pub fn verification(cx: &Context) -> Verification {
    let state = cx.state.borrow();
    Verification {
        config: state.config_freshness,
        servers: state.servers_freshness,
    }
}
