//! What prefixes a prefill engine is believed to have cached; see `docs/design/placement.md`.

use std::collections::BTreeMap;
use std::time::Duration;

use jacinthlever_types::ReservationRequest;

/// Prefixes remembered for one engine.
const CAPACITY: usize = 1_024;

/// Cached prefixes of one engine, from what was sent to it and what it then reported.
#[derive(Debug, Default)]
pub struct PrefixCache {
    /// Last use of each prefix.
    used: BTreeMap<u64, Duration>,
}

impl PrefixCache {
    /// Returns the tokens of the longest prefix that is believed to be cached.
    pub fn cached_tokens(&self, prefix: &[u64]) -> u64 {
        let blocks = prefix
            .iter()
            .take_while(|hash| self.used.contains_key(hash))
            .count();
        blocks as u64 * ReservationRequest::BLOCK_TOKENS
    }

    /// Takes in that a prompt was prefilled there.
    pub fn insert(&mut self, prefix: &[u64], now: Duration) {
        for hash in prefix {
            self.used.insert(*hash, now);
        }
        while self.used.len() > CAPACITY {
            let Some(oldest) = self
                .used
                .iter()
                .min_by_key(|(_, at)| **at)
                .map(|(hash, _)| *hash)
            else {
                break;
            };
            self.used.remove(&oldest);
        }
    }

    /// Corrects the belief by what the engine reported of a prompt.
    pub fn correct(&mut self, prefix: &[u64], cached_tokens: u64, now: Duration) {
        let blocks = (cached_tokens / ReservationRequest::BLOCK_TOKENS) as usize;
        for (i, hash) in prefix.iter().enumerate() {
            if i >= blocks {
                self.used.remove(hash);
            }
        }
        // The prompt has just been prefilled whole, so it is cached from now on.
        self.insert(prefix, now);
    }

    /// Forgets everything, as after a crash or a gap in an engine's events.
    pub fn clear(&mut self) {
        self.used.clear();
    }
}
