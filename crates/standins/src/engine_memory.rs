//! Memory of a stand-in engine: KV cache, streams and the history of its load.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use jacinthlever_types::EngineLoad;
use smol_str::SmolStr;

use crate::EngineSettings;
use crate::text::{answer_length, prompt_seed};

/// Time within which a broken stream can be resumed.
const RESUME_WINDOW: Duration = Duration::from_secs(2);

/// Number of prompts that the prefix cache keeps.
const CACHED_PROMPTS: usize = 256;

/// KV cache of one prompt.
#[derive(Clone, Debug)]
pub struct KvCache {
    /// Seed of the answer to the prompt.
    pub seed: u64,
    /// Number of tokens in the prompt.
    pub tokens: u32,
    /// Whether a decode of the prompt crashes the engine.
    pub crashes_decode: bool,
    /// Time of the prefill or import; a cache older than [`EngineSettings::keep_ms`] cannot be
    /// exported.
    pub created: Instant,
}

/// A decode with its memory.
#[derive(Clone, Debug)]
pub struct Stream {
    /// KV cache that the decode uses.
    pub kv: KvCache,
    /// Number of output tokens in the answer.
    pub end: u32,
    /// Whether the request's token limit cuts the answer short.
    pub hits_limit: bool,
    /// Number of KV pages in use.
    pub pages: u32,
    /// Time at which the connection broke; `None` while the stream has a connection.
    pub broken: Option<Instant>,
}

/// Memory of one engine.
#[derive(Debug, Default)]
pub struct EngineMemory {
    /// KV caches of finished prefills, by handle.
    pub kv: BTreeMap<SmolStr, KvCache>,
    /// Running decodes, by attempt.
    pub streams: BTreeMap<SmolStr, Stream>,
    /// Number of running prefills.
    pub prefills: u32,
    /// Prompts in the prefix cache, the most recent last.
    prompts: VecDeque<String>,
    load_history: VecDeque<(Instant, EngineLoad)>,
}

impl EngineMemory {
    /// Returns the current load.
    pub fn load(&mut self, settings: &EngineSettings) -> EngineLoad {
        self.remove_expired_streams();
        EngineLoad {
            slots: settings.slots,
            used: self.prefills + self.streams.len() as u32,
            pages: settings.pages,
            used_pages: self.streams.values().map(|stream| stream.pages).sum(),
        }
    }

    /// Returns the load as it was [`EngineSettings::load_lag_ms`] ago.
    pub fn delayed_load(&mut self, settings: &EngineSettings) -> EngineLoad {
        let now = Instant::now();
        let load = self.load(settings);
        self.load_history.push_back((now, load.clone()));
        let lag = Duration::from_millis(settings.load_lag_ms);
        while self
            .load_history
            .get(1)
            .is_some_and(|(at, _)| now.duration_since(*at) >= lag)
        {
            self.load_history.pop_front();
        }
        self.load_history
            .front()
            .map_or(load, |(_, load)| load.clone())
    }

    /// Returns how many tokens of a prompt are in the prefix cache, and adds the prompt to it.
    pub fn cached_tokens(&mut self, prompt: &str) -> u32 {
        let common = self
            .prompts
            .iter()
            .map(|cached| common_prefix(cached, prompt))
            .max();
        self.prompts.push_back(prompt.into());
        if self.prompts.len() > CACHED_PROMPTS {
            self.prompts.pop_front();
        }
        (common.unwrap_or(0) / EngineSettings::TOKEN_BYTES) as u32
    }

    /// Creates a stream; `None` if too few slots or pages are free.
    pub fn admit(
        &mut self,
        settings: &EngineSettings,
        request: &SmolStr,
        kv: KvCache,
        max_tokens: u32,
    ) -> Option<Stream> {
        let load = self.load(settings);
        let length = answer_length(kv.seed);
        let tokens = u64::from(kv.tokens) + u64::from(max_tokens);
        let pages = tokens.div_ceil(EngineSettings::PAGE_TOKENS) as u32;
        if load.used >= load.slots || load.used_pages + pages > load.pages {
            return None;
        }
        let (end, hits_limit) = (length.min(max_tokens), length > max_tokens);
        let stream = Stream {
            kv,
            end,
            hits_limit,
            pages,
            broken: None,
        };
        self.streams.insert(request.clone(), stream.clone());
        Some(stream)
    }

    /// Removes broken streams that were not resumed within [`RESUME_WINDOW`].
    fn remove_expired_streams(&mut self) {
        self.streams
            .retain(|_, stream| stream.broken.is_none_or(|at| at.elapsed() < RESUME_WINDOW));
    }
}

/// Returns the seed and the number of tokens of a prompt that ends with `generated` tokens of
/// output from earlier attempts.
pub fn seed_and_tokens(prompt: &str, generated: u32) -> (u64, u32) {
    let mut original = prompt;
    for _ in 0..generated {
        original = original.rsplit_once(' ').map_or(original, |(head, _)| head);
    }
    (
        prompt_seed(original),
        EngineSettings::tokens(original) + generated,
    )
}

fn common_prefix(a: &str, b: &str) -> usize {
    a.bytes().zip(b.bytes()).take_while(|(a, b)| a == b).count()
}
