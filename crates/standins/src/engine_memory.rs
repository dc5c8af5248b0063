//! What a stand-in engine holds: KV cache, streams and the history of its load.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use jacinthlever_types::EngineLoad;
use smol_str::SmolStr;

use crate::EngineSettings;
use crate::text::{answer_length, prompt_seed};

/// Time for which a broken stream is kept for a resume.
const RESUME_WINDOW: Duration = Duration::from_secs(2);

/// Prompts whose prefixes are remembered.
const CACHED_PROMPTS: usize = 256;

/// KV cache of one prompt.
#[derive(Clone, Debug)]
pub struct Kv {
    /// Seed of the answer.
    pub seed: u64,
    /// Tokens of the prompt.
    pub tokens: u32,
    /// Whether a decode from it crashes the engine.
    pub crashes: bool,
    /// When it was made; it is evicted some time after.
    pub made: Instant,
}

/// A decode that holds memory.
#[derive(Clone, Debug)]
pub struct Stream {
    /// KV cache that it runs on.
    pub kv: Kv,
    /// Tokens after which the answer ends.
    pub end: u32,
    /// Whether the limit rather than the answer ends it.
    pub limited: bool,
    /// KV pages held.
    pub pages: u32,
    /// Set while no connection reads it.
    pub broken: Option<Instant>,
}

/// Memory of one engine.
#[derive(Debug, Default)]
pub struct EngineMemory {
    /// Results of prefills.
    pub kv: BTreeMap<SmolStr, Kv>,
    /// Decodes under way.
    pub streams: BTreeMap<SmolStr, Stream>,
    /// Prefills under way.
    pub prefills: u32,
    /// Prompts seen, the latest last.
    prompts: VecDeque<String>,
    history: VecDeque<(Instant, EngineLoad)>,
}

impl EngineMemory {
    /// Returns the load now.
    pub fn load(&mut self, settings: &EngineSettings) -> EngineLoad {
        self.drop_stale();
        EngineLoad {
            slots: settings.slots,
            used: self.prefills + self.streams.len() as u32,
            pages: settings.pages,
            used_pages: self.streams.values().map(|stream| stream.pages).sum(),
        }
    }

    /// Returns the load as it was some time ago.
    pub fn lagging_load(&mut self, settings: &EngineSettings) -> EngineLoad {
        let now = Instant::now();
        let load = self.load(settings);
        self.history.push_back((now, load.clone()));
        let lag = Duration::from_millis(settings.load_lag_ms);
        while self
            .history
            .get(1)
            .is_some_and(|(at, _)| now.duration_since(*at) >= lag)
        {
            self.history.pop_front();
        }
        self.history.front().map_or(load, |(_, load)| load.clone())
    }

    /// Returns the tokens of a prompt that are cached, and remembers the prompt.
    pub fn cached_tokens(&mut self, prompt: &str) -> u32 {
        let common = self
            .prompts
            .iter()
            .map(|known| common_prefix(known, prompt))
            .max();
        self.prompts.push_back(prompt.into());
        if self.prompts.len() > CACHED_PROMPTS {
            self.prompts.pop_front();
        }
        (common.unwrap_or(0) / EngineSettings::TOKEN_BYTES) as u32
    }

    /// Makes a stream if slots and pages allow it.
    pub fn admit(
        &mut self,
        settings: &EngineSettings,
        request: &SmolStr,
        kv: Kv,
        max_tokens: u32,
    ) -> Option<Stream> {
        let load = self.load(settings);
        let length = answer_length(kv.seed);
        let tokens = u64::from(kv.tokens) + u64::from(max_tokens);
        let pages = tokens.div_ceil(EngineSettings::PAGE_TOKENS) as u32;
        if load.used >= load.slots || load.used_pages + pages > load.pages {
            return None;
        }
        let (end, limited) = (length.min(max_tokens), length > max_tokens);
        let stream = Stream {
            kv,
            end,
            limited,
            pages,
            broken: None,
        };
        self.streams.insert(request.clone(), stream.clone());
        Some(stream)
    }

    /// Drops KV cache that is evicted and streams that nobody resumed.
    fn drop_stale(&mut self) {
        self.streams
            .retain(|_, stream| stream.broken.is_none_or(|at| at.elapsed() < RESUME_WINDOW));
    }
}

/// Seed and token count of a prompt whose end may be output of an earlier attempt.
pub fn split_prompt(prompt: &str, generated: u32) -> (u64, u32) {
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
