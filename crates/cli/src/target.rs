//! The instance that the tool sends requests to.

use std::time::Duration;

use jacinthlever_client::{OperatorClient, Timeouts};
use jacinthlever_types::VersionedRow;
use serde::Deserialize;
use serde_json::{Value, json};

use crate::options::Options;
use crate::output::Failure;

/// Time-outs of one request. The read time-out is long because an edit may have to wait for a slow
/// table service.
const TIMEOUTS: Timeouts = Timeouts {
    connect: Duration::from_secs(3),
    read: Duration::from_secs(35),
};

/// Maximum number of times an edit is sent if the response is lost. Every attempt carries the same
/// edit identifier, which makes it safe to repeat the edit.
const MAX_EDIT_ATTEMPTS: u32 = 3;

/// The operators' API of one instance.
pub struct Target {
    client: OperatorClient,
}

impl Target {
    /// Creates a target from the command-line options.
    ///
    /// # Errors
    /// Fails if no credential is given.
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
    /// Fails if the request to the instance fails.
    pub fn rows(&self) -> Result<Vec<VersionedRow>, Failure> {
        let body = self.client.get("/ops/v1/rows")?;
        Vec::deserialize(&body["rows"]).map_err(|error| Failure::Request(error.to_string()))
    }

    /// Returns the state of the fleet as reported by the instance.
    ///
    /// # Errors
    /// Fails if the request to the instance fails.
    pub fn status(&self) -> Result<Value, Failure> {
        Ok(self.client.get("/ops/v1/status")?)
    }

    /// Starts draining the instance; returns its response.
    ///
    /// # Errors
    /// Fails if the request to the instance fails.
    pub fn drain(&self) -> Result<Value, Failure> {
        Ok(self.client.post("/ops/v1/drain", &json!({}))?)
    }

    /// Applies either all changes or none; returns the revision that contains them.
    ///
    /// # Errors
    /// Returns the problems if rows are invalid, the conflicting rows if another edit changed them
    /// first, and otherwise the failure of the last attempt.
    pub fn edit(&self, changes: &[Value]) -> Result<u64, Failure> {
        let body = json!({"edit": random_hex()?, "changes": changes});
        let mut last_failure = None;
        for _ in 0..MAX_EDIT_ATTEMPTS {
            match self
                .client
                .post("/ops/v1/edit", &body)
                .map_err(Failure::from)
            {
                Ok(reply) => return Ok(reply["revision"].as_u64().unwrap_or_default()),
                Err(failure @ Failure::Request(_)) => last_failure = Some(failure),
                Err(failure) => return Err(failure),
            }
        }
        Err(last_failure.unwrap_or_else(|| Failure::Request("the edit was not sent".into())))
    }
}

/// Returns 32 random hexadecimal digits.
///
/// # Errors
/// Fails if the operating system provides no random bytes.
pub fn random_hex() -> Result<String, Failure> {
    let mut bytes = [0u8; 16];
    getrandom::fill(&mut bytes).map_err(|error| Failure::Local(error.to_string()))?;
    Ok(bytes.iter().map(|byte| format!("{byte:02x}")).collect())
}
