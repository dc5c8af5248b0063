//! News of the store's tables that an instance has read for the other instances of its zone.

use jacinthlever_routing::Freshness;
use serde::{Deserialize, Serialize};

use crate::context::Context;
use crate::evacuations::{self, SharedEvacuation};
use crate::freshness::{Span, TableChange};
use crate::table_updates::{ConfigUpdate, apply_config, apply_peer_changes};
use crate::{ConfigRow, Row};

/// Maximum size of a configuration that is sent to peers, in bytes: with it, a message still fits into a
/// datagram. A larger one is read from the store by each instance.
const MAX_CONFIG_BYTES: usize = 24 * 1024;

/// Changes of the operator's table that an instance has read.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ConfigNews {
    /// Version of the row of the newest configuration.
    row: u64,
    /// Key of the row; empty if it has not changed.
    key: String,
    /// Content of the row; `None` if it has not changed, or is too large and must be read from the store.
    content: Option<String>,
    /// Positions of copies that lack nothing after the changes are applied; `None` from builds up to dbdb84d, which
    /// do not state them.
    #[serde(default)]
    span: Option<Span>,
    /// Position after the changes.
    #[serde(default)]
    to: u64,
    /// The other rows that have changed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    others: Vec<Row>,
}

impl ConfigNews {
    /// Creates the news of a change, in which `config` is the newest configuration, if there is one. `None` if the
    /// configuration was removed.
    pub fn new(cx: &Context, config: Option<&Row>, change: TableChange) -> Option<Self> {
        let content = match config {
            Some(row) => {
                let text = std::str::from_utf8(row.value.as_ref()?).ok();
                text.filter(|text| text.len() <= MAX_CONFIG_BYTES)
            }
            None => None,
        };
        let kind = cx.adapter.store.config_row;
        let others = change.rows.into_iter();
        let others = others.filter(|row| kind(&row.key) != ConfigRow::Config);
        Some(Self {
            row: config.map_or(cx.state.borrow().config_freshness.row, |row| row.version),
            key: config.map(|row| row.key.to_string()).unwrap_or_default(),
            content: content.map(str::to_string),
            span: change.span,
            to: change.to,
            others: others.collect(),
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

    /// Adds changes of the operator's table, which follow those that are not sent yet.
    pub fn add_config(&mut self, mut news: ConfigNews) {
        if let Some(before) = self.config.take() {
            let spans = before.span.zip(news.span);
            news.span = spans.map(|(before, span)| *before.start()..=*before.end().min(span.end()));
            if news.key.is_empty() {
                (news.key, news.content) = (before.key, before.content);
            }
            news.others = before.others.into_iter().chain(news.others).collect();
        }
        self.config = Some(news);
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
    evacuations::apply_rows(cx, &news.others);
    if news.row > cx.state.borrow().config_freshness.row {
        let Some(content) = &news.content else {
            cx.state.borrow_mut().large_config_row = news.row;
            return;
        };
        let row = Row {
            key: news.key.as_str().into(),
            value: Some(content.clone().into_bytes()),
            version: news.row,
        };
        if apply_config(cx, &row) != ConfigUpdate::Current {
            return;
        }
    }
    let freshness = &mut cx.state.borrow_mut().config_freshness;
    let precedes = |span| freshness.precedes(span, news.to);
    if news.span.as_ref().is_some_and(precedes) {
        freshness.record_change(news.to);
    }
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
