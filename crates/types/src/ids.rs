//! Identifiers, each with its own type so that one cannot be passed for another.

use std::fmt;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(transparent)]
        pub struct $name(pub SmolStr);

        impl $name {
            /// Creates an identifier from text.
            pub fn new(text: impl AsRef<str>) -> Self {
                Self(SmolStr::new(text))
            }

            /// Returns the identifier as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

text_id! {
    /// Identifier of an instance of the router.
    InstanceId
}
text_id! {
    /// Identifier of a customer, to whom limits and fair shares apply.
    CustomerId
}
text_id! {
    /// Identifier of a route that callers may use.
    RouteId
}
text_id! {
    /// Identifier of a model that engines serve.
    ModelId
}
text_id! {
    /// Identifier of an availability zone.
    ZoneId
}
text_id! {
    /// Identifier of a backend server: a model engine or a worker of a plain service.
    EngineId
}

impl CustomerId {
    /// First character of the identifiers of anonymous customers; no declared customer begins
    /// with it.
    const ANONYMOUS_PREFIX: char = '~';

    /// Returns the customer that an anonymous request on an open route is attributed to.
    ///
    /// There are 256 of them, so that anonymous requests are spread over many partitions.
    pub fn anonymous(fingerprint: Fingerprint) -> Self {
        Self(smol_str::format_smolstr!(
            "{}{}",
            Self::ANONYMOUS_PREFIX,
            fingerprint.0 % 256
        ))
    }

    /// Whether the customer is one that anonymous requests are attributed to.
    pub fn is_anonymous(&self) -> bool {
        self.0.starts_with(Self::ANONYMOUS_PREFIX)
    }
}

/// BLAKE3 hash of a caller's key. The key itself is discarded as soon as it has been hashed.
#[derive(Clone, Copy, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(try_from = "SmolStr", into = "SmolStr")]
pub struct KeyHash([u8; 32]);

impl KeyHash {
    /// Hashes a key as the caller presented it.
    pub fn of(key: &str) -> Self {
        Self(*blake3::hash(key.as_bytes()).as_bytes())
    }

    /// Returns the hash in lower-case hexadecimal, as it is stored in the table.
    pub fn to_hex(self) -> SmolStr {
        SmolStr::new(blake3::Hash::from_bytes(self.0).to_hex())
    }
}

impl TryFrom<SmolStr> for KeyHash {
    type Error = String;

    fn try_from(text: SmolStr) -> Result<Self, String> {
        blake3::Hash::from_hex(text.as_bytes())
            .map(|hash| Self(*hash.as_bytes()))
            .map_err(|_| "expected 64 hexadecimal digits of a BLAKE3 hash".into())
    }
}

impl From<KeyHash> for SmolStr {
    fn from(hash: KeyHash) -> SmolStr {
        hash.to_hex()
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyHash({}..)", &self.to_hex()[..8])
    }
}

/// Hash of a request's customer, route and content; equal requests have equal fingerprints.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Hashes the parts in order, each preceded by its length, so that moving bytes from one part
    /// to the next gives another fingerprint.
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let bytes = *hasher.finalize().as_bytes();
        Self(u64::from_le_bytes(
            bytes[..8].try_into().unwrap_or_default(),
        ))
    }
}
