//! Client of the platform's table service, object store and list of machines.

use attohttpc::Method;
use jacinthlever_core::{ListDelta, PlatformOp, PlatformReply, Unsettled};
use jacinthlever_types::{ListEntry, RowsReply, Transaction, TransactionReply};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use smol_str::SmolStr;

use crate::{HttpClient, HttpError, Timeouts};

/// Changes of the platform's list of machines after a revision.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ListChanges {
    /// Revision of the list after these changes.
    pub revision: u64,
    /// Entries that were added or changed.
    pub entries: Vec<ListEntry>,
    /// Names of entries that were removed.
    #[serde(default)]
    pub removed: Vec<SmolStr>,
}

impl From<ListChanges> for ListDelta {
    fn from(changes: ListChanges) -> Self {
        Self {
            entries: changes.entries,
            removed: changes.removed,
        }
    }
}

/// Client of the three platform services.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    table: HttpClient,
    objects: HttpClient,
    list: HttpClient,
}

impl PlatformClient {
    /// Creates a client from the addresses (`IP:PORT`) of the services.
    pub fn new(table: &str, objects: &str, list: &str, timeouts: Timeouts) -> Self {
        Self {
            table: HttpClient::new(table, timeouts),
            objects: HttpClient::new(objects, timeouts),
            list: HttpClient::new(list, timeouts),
        }
    }

    /// Executes an operation requested by the core.
    ///
    /// # Errors
    /// Returns [`Unsettled`] if the exchange failed; a write may have taken effect.
    pub fn execute(&self, op: &PlatformOp) -> Result<PlatformReply, Unsettled> {
        let result = match op {
            PlatformOp::Transact(transaction) => {
                self.transact(transaction).map(PlatformReply::Transaction)
            }
            PlatformOp::Rows { prefix, after } => {
                self.changed_rows(prefix, *after).map(PlatformReply::Rows)
            }
            PlatformOp::PutObject { name, value } => {
                self.put_object(name, value).map(|()| PlatformReply::Stored)
            }
            PlatformOp::GetObject { name } => self.get_object(name).map(PlatformReply::Object),
        };
        result.map_err(|_| Unsettled)
    }

    /// Applies a transaction.
    ///
    /// # Errors
    /// See [`HttpError`]; the transaction may have taken effect.
    pub fn transact(&self, transaction: &Transaction) -> Result<TransactionReply, HttpError> {
        self.table.post("/v1/transact", transaction)
    }

    /// Returns the rows with a key prefix that changed after a revision.
    ///
    /// # Errors
    /// See [`HttpError`].
    pub fn changed_rows(&self, prefix: &str, after: u64) -> Result<RowsReply, HttpError> {
        self.table
            .get(&format!("/v1/rows?prefix={prefix}&after={after}"))
    }

    /// Stores an object under a name.
    ///
    /// # Errors
    /// See [`HttpError`].
    pub fn put_object(&self, name: &str, value: &Value) -> Result<(), HttpError> {
        let request = self
            .objects
            .request(Method::PUT, &format!("/v1/objects/{name}"))?;
        request.json(value)?.send()?.error_for_status()?;
        Ok(())
    }

    /// Returns an object; `None` if there is no object of that name.
    ///
    /// # Errors
    /// See [`HttpError`].
    pub fn get_object(&self, name: &str) -> Result<Option<Value>, HttpError> {
        match self.objects.get(&format!("/v1/objects/{name}")) {
            Ok(value) => Ok(Some(value)),
            Err(HttpError::Status(404, _)) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Returns the changes of the list of machines after a revision.
    ///
    /// # Errors
    /// See [`HttpError`].
    pub fn list_changes(&self, after: u64) -> Result<ListChanges, HttpError> {
        self.list.get(&format!("/v1/instances?after={after}"))
    }
}
