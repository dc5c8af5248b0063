//! What a caller of the world has seen.

use std::time::Duration;

use jacinthlever_types::{RecordedOutcome, Run, Verdict};
use serde_json::Value;

use crate::Script;

/// A final answer.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    /// A model's answer is whole.
    Finished,
    /// A plain service answered.
    Plain,
    /// The recorded outcome of an earlier call.
    Recorded(RecordedOutcome),
    /// An answer of the instance itself.
    Json(Value),
    /// A verdict.
    Refused(Verdict),
}

/// The request of one caller and what came of it.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// What was asked for.
    pub script: Script,
    /// Node that was asked.
    pub node: usize,
    /// When.
    pub arrived: Duration,
    /// When the first token came.
    pub first_token: Option<Duration>,
    /// When the last token came.
    pub last_token: Option<Duration>,
    /// Tokens received, in order and without repeats.
    pub tokens: u32,
    /// Attempt whose tokens are taken.
    pub attempt: String,
    /// Final answers received; more than one is a fault.
    pub answers: u32,
    /// The first final answer.
    pub end: Option<End>,
    /// When it came.
    pub ended: Option<Duration>,
    /// When the caller left.
    pub left: Option<Duration>,
}

impl Outcome {
    /// Makes the outcome of a request that was just sent.
    pub fn new(script: Script, node: usize, arrived: Duration) -> Self {
        Self {
            script,
            node,
            arrived,
            first_token: None,
            last_token: None,
            tokens: 0,
            attempt: String::new(),
            answers: 0,
            end: None,
            ended: None,
            left: None,
        }
    }

    /// Whether a model's answer came whole.
    pub fn is_whole(&self) -> bool {
        self.end == Some(End::Finished) && self.tokens == self.script.length
    }

    /// Returns the verdict, if that was the answer.
    pub fn verdict(&self) -> Option<&Verdict> {
        match &self.end {
            Some(End::Refused(verdict)) => Some(verdict),
            _ => None,
        }
    }

    /// Returns the code of the verdict, or an empty text.
    pub fn code(&self) -> &'static str {
        self.verdict().map_or("", |verdict| verdict.code.as_str())
    }

    /// Whether the caller was told that the request has not run.
    pub fn told_not_run(&self) -> bool {
        self.verdict()
            .is_some_and(|verdict| verdict.run == Run::NotRun)
    }

    /// Returns the time to the first token.
    pub fn first_token_after(&self) -> Option<Duration> {
        self.first_token.map(|at| at - self.arrived)
    }

    /// Returns the mean time between tokens.
    pub fn between_tokens(&self) -> Option<Duration> {
        let gaps = self.tokens.checked_sub(1).filter(|gaps| *gaps > 0)?;
        Some((self.last_token? - self.first_token?) / gaps)
    }
}
