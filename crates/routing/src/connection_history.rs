//! What a connection to a backend server or another instance has carried, which decides what may be sent on
//! it so that each answer on it can be attributed.

use std::hash::{DefaultHasher, Hash, Hasher};

/// Number of calls after which a connection is not reused.
const MAX_CALLS: usize = 512;

/// What the answer to a call on a connection names.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallIdentity<'a> {
    /// The identifier of a caller's request.
    Request(&'a str),
    /// Nothing, as answers to control calls.
    Nameless,
}

/// The calls that a connection has carried.
///
/// A faulty server may send an answer a second time, when any later call on the connection is under way.
/// The answer to a call can be told from such a copy if no earlier call on the connection had an answer that
/// names the same: so a connection carries each request once, and one nameless call.
#[derive(Clone, Debug, Default)]
pub struct ConnectionHistory {
    /// Hashes of the identifiers. Two identifiers with the same hash only cost another connection.
    requests: Vec<u32>,
    has_nameless: bool,
}

impl ConnectionHistory {
    /// Whether the answer to a call can be told from copies of all earlier answers on the connection.
    pub fn may_carry(&self, call: CallIdentity<'_>) -> bool {
        match call {
            CallIdentity::Request(id) => {
                self.requests.len() < MAX_CALLS && !self.requests.contains(&hash(id))
            }
            CallIdentity::Nameless => !self.has_nameless,
        }
    }

    /// Records a call that is about to be sent on the connection.
    pub fn record(&mut self, call: CallIdentity<'_>) {
        match call {
            CallIdentity::Request(id) => self.requests.push(hash(id)),
            CallIdentity::Nameless => self.has_nameless = true,
        }
    }

    /// Whether the connection may carry no further request.
    pub fn is_full(&self) -> bool {
        self.requests.len() >= MAX_CALLS
    }

    /// Returns the number of calls.
    pub fn calls(&self) -> usize {
        self.requests.len() + usize::from(self.has_nameless)
    }
}

fn hash(id: &str) -> u32 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish() as u32
}
