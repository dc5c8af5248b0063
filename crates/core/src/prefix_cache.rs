//! Estimate of the prompt prefixes that a prefill engine has cached; see
//! `docs/design/placement.md`.

use std::collections::BTreeMap;
use std::time::Duration;

use jacinthlever_types::ReservationRequest;

/// Maximum number of prefixes tracked for one engine.
const MAX_PREFIXES: usize = 1_024;

/// Prefixes that one engine has cached, estimated from the prompts sent to it and its reports.
#[derive(Debug, Default)]
pub struct PrefixCache {
    /// Last use of each prefix.
    used: BTreeMap<u64, Duration>,
}

impl PrefixCache {
    /// Returns the estimated number of cached tokens at the start of a prompt.
    pub fn cached_tokens(&self, prefix: &[u64]) -> u64 {
        let blocks = prefix
            .iter()
            .take_while(|hash| self.used.contains_key(hash))
            .count();
        blocks as u64 * ReservationRequest::BLOCK_TOKENS
    }

    /// Records that the engine prefilled a prompt.
    pub fn insert(&mut self, prefix: &[u64], now: Duration) {
        for hash in prefix {
            self.used.insert(*hash, now);
        }
        while self.used.len() > MAX_PREFIXES {
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

    /// Corrects the estimate with the cached tokens that the engine reported for a prompt.
    pub fn correct(&mut self, prefix: &[u64], cached_tokens: u64, now: Duration) {
        let blocks = (cached_tokens / ReservationRequest::BLOCK_TOKENS) as usize;
        for (i, hash) in prefix.iter().enumerate() {
            if i >= blocks {
                self.used.remove(hash);
            }
        }
        // The whole prompt has just been prefilled, so it is cached from now on.
        self.insert(prefix, now);
    }

    /// Removes all prefixes, for example after a crash of the engine.
    pub fn clear(&mut self) {
        self.used.clear();
    }
}
