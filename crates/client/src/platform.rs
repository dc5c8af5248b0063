//! Client of the platform's table service, object store and list.

use attohttpc::Method;
use jacinthlever_core::{ListDelta, PlatformOp, PlatformReply, Unsettled};
use jacinthlever_types::{ListEntry, RowsReply, Transaction, TransactionReply};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use smol_str::SmolStr;

use crate::{HttpClient, HttpError, Timeouts};

/// Answer of the list: what changed after a revision.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct InstanceList {
    /// Revision of the list.
    pub revision: u64,
    /// Added and changed entries.
    pub entries: Vec<ListEntry>,
    /// Names of entries that are gone.
    #[serde(default)]
    pub removed: Vec<SmolStr>,
}

impl From<InstanceList> for ListDelta {
    fn from(list: InstanceList) -> Self {
        Self {
            entries: list.entries,
            removed: list.removed,
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
    /// Makes a client from the services' addresses.
    pub fn new(table: &str, objects: &str, list: &str, timeouts: Timeouts) -> Self {
        Self {
            table: HttpClient::new(table, timeouts),
            objects: HttpClient::new(objects, timeouts),
            list: HttpClient::new(list, timeouts),
        }
    }

    /// Carries out an operation of the core.
    ///
    /// # Errors
    /// After [`Unsettled`] a write may have taken effect.
    pub fn run(&self, op: &PlatformOp) -> Result<PlatformReply, Unsettled> {
        let result = match op {
            PlatformOp::Transact(transaction) => {
                self.transact(transaction).map(PlatformReply::Transaction)
            }
            PlatformOp::Rows { prefix, after } => {
                self.rows(prefix, *after).map(PlatformReply::Rows)
            }
            PlatformOp::PutObject { name, value } => {
                self.put_object(name, value).map(|()| PlatformReply::Stored)
            }
            PlatformOp::GetObject { name } => self.object(name).map(PlatformReply::Object),
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

    /// Reads rows below a prefix that changed after a revision.
    ///
    /// # Errors
    /// See [`HttpError`].
    pub fn rows(&self, prefix: &str, after: u64) -> Result<RowsReply, HttpError> {
        self.table
            .get(&format!("/v1/rows?prefix={prefix}&after={after}"))
    }

    /// Writes an object.
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

    /// Reads an object.
    ///
    /// # Errors
    /// See [`HttpError`].
    pub fn object(&self, name: &str) -> Result<Option<Value>, HttpError> {
        match self.objects.get(&format!("/v1/objects/{name}")) {
            Ok(value) => Ok(Some(value)),
            Err(HttpError::Status(404, _)) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Reads what changed in the list after a revision.
    ///
    /// # Errors
    /// See [`HttpError`].
    pub fn list(&self, after: u64) -> Result<InstanceList, HttpError> {
        self.list.get(&format!("/v1/instances?after={after}"))
    }
}
