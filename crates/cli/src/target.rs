//! The instance that the tool talks to.

use std::time::Duration;

use jacinthlever_client::{OperatorClient, Timeouts};
use jacinthlever_types::VersionedRow;
use serde::Deserialize;
use serde_json::{Value, json};

use crate::options::Options;
use crate::output::Failure;

/// Bounds of one exchange; an edit may wait for a slow table.
const TIMEOUTS: Timeouts = Timeouts {
    connect: Duration::from_secs(3),
    read: Duration::from_secs(35),
};

/// Tries of an edit whose answer was lost; its identifier makes the repeats harmless.
const EDIT_TRIES: u32 = 3;

/// The operators' API of one instance.
pub struct Target {
    client: OperatorClient,
}

impl Target {
    /// Makes a target from the command line.
    ///
    /// # Errors
    /// Fails without a credential.
    pub fn new(options: &Options) -> Result<Self, Failure> {
        let missing = "set JACINTHLEVER_CREDENTIAL or --credential to the operators' credential";
        let credential = options
            .credential
            .as_ref()
            .ok_or_else(|| Failure::Local(missing.into()))?;
        Ok(Self {
            client: OperatorClient::new(&options.operator, credential, TIMEOUTS),
        })
    }

    /// Returns the rows in force.
    ///
    /// # Errors
    /// Fails if the instance cannot be asked.
    pub fn rows(&self) -> Result<Vec<VersionedRow>, Failure> {
        let body = self.client.get("/ops/v1/rows")?;
        Vec::deserialize(&body["rows"]).map_err(|error| Failure::Asking(error.to_string()))
    }

    /// Returns the fleet as the instance sees it.
    ///
    /// # Errors
    /// Fails if the instance cannot be asked.
    pub fn status(&self) -> Result<Value, Failure> {
        Ok(self.client.get("/ops/v1/status")?)
    }

    /// Starts a drain.
    ///
    /// # Errors
    /// Fails if the instance cannot be asked.
    pub fn drain(&self) -> Result<Value, Failure> {
        Ok(self.client.post("/ops/v1/drain", &json!({}))?)
    }

    /// Applies changes whole or not at all; returns the revision.
    ///
    /// # Errors
    /// Says what does not check, or which other edit came first.
    pub fn edit(&self, changes: &[Value]) -> Result<u64, Failure> {
        let body = json!({"edit": random_text()?, "changes": changes});
        let mut last = None;
        for _ in 0..EDIT_TRIES {
            match self
                .client
                .post("/ops/v1/edit", &body)
                .map_err(Failure::from)
            {
                Ok(reply) => return Ok(reply["revision"].as_u64().unwrap_or_default()),
                Err(failure @ Failure::Asking(_)) => last = Some(failure),
                Err(failure) => return Err(failure),
            }
        }
        Err(last.unwrap_or_else(|| Failure::Asking("the edit was not settled".into())))
    }
}

/// Returns 32 random hexadecimal digits.
///
/// # Errors
/// Fails if the system has no randomness.
pub fn random_text() -> Result<String, Failure> {
    let mut bytes = [0u8; 16];
    getrandom::fill(&mut bytes).map_err(|error| Failure::Local(error.to_string()))?;
    Ok(bytes.iter().map(|byte| format!("{byte:02x}")).collect())
}
