//! The simulated platform services: table, object store and list.

use crate::world::ScheduledEvent;
use crate::{FakeEngine, FakeWorker, TableFaults, World};
use jacinthlever_core::{Event, ListDelta, OpId, PlatformOp, PlatformReply, Unsettled};
use jacinthlever_types::{ListEntry, ListKind, ListState, ModelId, Transaction, Write, ZoneId};
use rand::Rng;
use serde_json::Value;
use serde_json::json;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use std::time::Duration;

/// Delay until a change of the list becomes visible to its readers.
const LIST_LAG: Duration = Duration::from_millis(500);

impl World {
    /// Marks a listed machine as leaving.
    pub fn mark_leaving(&mut self, id: &str) {
        let entry = self.list.get(id).and_then(|(_, _, entry)| entry.clone());
        self.leaving_since.insert(SmolStr::new(id), self.now);
        if let Some(entry) = entry {
            self.put_list_entry(ListEntry {
                state: ListState::Leaving,
                ..entry
            });
        }
    }

    /// Writes configuration rows as an accepted operator edit would, but directly to the table.
    pub fn write_rows(&mut self, rows: Vec<(SmolStr, Option<Value>)>) {
        let mut writes: Vec<Write> = rows
            .into_iter()
            .map(|(key, value)| Write { key, value })
            .collect();
        let key = SmolStr::new_static("config/head");
        writes.push(Write {
            key,
            value: Some(json!({})),
        });
        self.table.transact(Transaction {
            conditions: Vec::new(),
            writes,
        });
    }

    pub(crate) fn write_configuration(&mut self) {
        let rows = self.deployment.rows();
        let rows = rows
            .into_iter()
            .map(|(key, value)| (key.table_key(), Some(value)))
            .collect();
        self.write_rows(rows);
    }

    pub(crate) fn populate_list(&mut self) {
        let zones = self.deployment.zones;
        let zone = |n: usize| ZoneId::new(format!("zone-{}", n % zones));
        for n in 0..self.deployment.instances {
            let caller_address = format_smolstr!("callers-{n}");
            self.put_list_entry(ListEntry {
                id: format_smolstr!("instance-{n}"),
                kind: ListKind::Instance { caller_address },
                address: format_smolstr!("instance-{n}"),
                zone: zone(n),
                state: ListState::Live,
            });
        }
        let engines = [
            (
                "prefill",
                self.deployment.prefill_engines,
                self.deployment.prefill,
            ),
            (
                "decode",
                self.deployment.decode_engines,
                self.deployment.decode,
            ),
        ];
        for (name, count, spec) in engines {
            for n in 0..count {
                let id = format_smolstr!("{name}-{n}");
                let model = ModelId::new("quill");
                self.put_list_entry(ListEntry {
                    id: id.clone(),
                    kind: ListKind::Engine {
                        role: spec.role,
                        model,
                    },
                    address: id.clone(),
                    zone: zone(n),
                    state: ListState::Live,
                });
                self.engines
                    .insert(id.clone(), FakeEngine::new(id, zone(n).0, spec));
            }
        }
        for service in ["scheduling", "library"] {
            for n in 0..self.deployment.workers {
                let id = format_smolstr!("{service}-{n}");
                self.put_list_entry(ListEntry {
                    id: id.clone(),
                    kind: ListKind::Service {
                        service: SmolStr::new(service),
                    },
                    address: id.clone(),
                    zone: zone(n),
                    state: ListState::Live,
                });
                let worker = FakeWorker::new(id.clone(), Duration::from_millis(5));
                self.workers.insert(id, worker);
            }
        }
        // Entries that exist before the start of the simulation are visible without delay.
        self.list
            .values_mut()
            .for_each(|(_, at, _)| *at = Duration::ZERO);
    }

    pub(crate) fn put_list_entry(&mut self, entry: ListEntry) {
        self.list_revision += 1;
        let at = self.now + LIST_LAG;
        self.list
            .insert(entry.id.clone(), (self.list_revision, at, Some(entry)));
    }

    pub(crate) fn read_list(&mut self, instance: usize) {
        let shown = self.list.values().filter(|(_, at, _)| *at <= self.now);
        let after = self.instances[instance].list_revision;
        let updates: Vec<_> = shown
            .filter(|(revision, ..)| *revision > after)
            .cloned()
            .collect();
        let revision = updates
            .iter()
            .map(|(revision, ..)| *revision)
            .max()
            .unwrap_or(after);
        let entries = updates
            .into_iter()
            .filter_map(|(_, _, entry)| entry)
            .collect();
        self.instances[instance].list_revision = revision;
        self.handle(
            instance,
            Event::List(ListDelta {
                entries,
                removed: Vec::new(),
            }),
        );
    }

    pub(crate) fn platform(&mut self, instance: usize, op: OpId, request: PlatformOp) {
        let one_way = self.network.latency() + self.table_faults.slow;
        let reply_at = self.now + one_way * 2;
        let timeout_at = self.now + TableFaults::TIMEOUT;
        let reaches = self
            .network
            .reaches(&self.instances[instance].id.clone(), "table");
        if self.table_faults.down || !reaches || reply_at > timeout_at {
            if reply_at > timeout_at
                && reaches
                && !self.table_faults.down
                && let PlatformOp::Transact(transaction) = request
            {
                self.schedule(self.now + one_way, ScheduledEvent::ApplyLate(transaction));
            }
            return self.time_out_operation(timeout_at, instance, op);
        }
        let is_write = matches!(request, PlatformOp::Transact(_));
        let roll = self.rng.next_u64() % 100;
        if is_write && roll < self.table_faults.late_writes_percent {
            if let PlatformOp::Transact(transaction) = request {
                let at = self.now + TableFaults::LATE_WRITE_DELAY;
                self.schedule(at, ScheduledEvent::ApplyLate(transaction));
            }
            return self.time_out_operation(timeout_at, instance, op);
        }
        let reply = self.apply(request);
        if is_write
            && roll < self.table_faults.late_writes_percent + self.table_faults.lost_replies_percent
        {
            return self.time_out_operation(timeout_at, instance, op);
        }
        self.deliver(
            reply_at,
            instance,
            Event::Platform {
                op,
                result: Ok(reply),
            },
        );
    }

    /// Reports to an instance that an operation was not answered in time, so that its effect is
    /// unknown.
    fn time_out_operation(&mut self, at: Duration, instance: usize, op: OpId) {
        let result = Err(Unsettled);
        self.deliver(at, instance, Event::Platform { op, result });
    }

    pub(crate) fn apply(&mut self, request: PlatformOp) -> PlatformReply {
        match request {
            PlatformOp::Transact(transaction) => {
                PlatformReply::Transaction(self.table.transact(transaction))
            }
            PlatformOp::Rows { prefix, after } => {
                PlatformReply::Rows(self.table.rows(&prefix, after))
            }
            PlatformOp::PutObject { name, value } => {
                self.objects.insert(name, value);
                PlatformReply::Stored
            }
            PlatformOp::GetObject { name } => {
                PlatformReply::Object(self.objects.get(&name).cloned())
            }
        }
    }
}
