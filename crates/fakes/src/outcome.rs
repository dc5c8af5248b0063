//! The outcome of a request as its caller sees it.

use std::time::Duration;

use jacinthlever_types::{RecordedOutcome, Run, Verdict};
use serde_json::Value;

use crate::Script;

/// The final answer to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    /// The stream of a model request ended normally.
    Finished,
    /// The response of a plain service.
    Plain,
    /// The recorded outcome of an earlier call.
    Recorded(RecordedOutcome),
    /// A JSON answer of the instance itself.
    Json(Value),
    /// A refusal or failure.
    Refused(Verdict),
}

/// The request of one caller and its outcome so far.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The request.
    pub script: Script,
    /// Number of the instance that received the request.
    pub instance: usize,
    /// When the request arrived.
    pub arrived: Duration,
    /// When the first token arrived.
    pub first_token: Option<Duration>,
    /// When the last token so far arrived.
    pub last_token: Option<Duration>,
    /// Number of tokens received, in order and without repeats.
    pub tokens: u32,
    /// Id of the attempt whose tokens are accepted.
    pub attempt: String,
    /// Number of final answers received; more than one is a fault.
    pub answers: u32,
    /// The first final answer.
    pub end: Option<End>,
    /// When the first final answer arrived.
    pub ended: Option<Duration>,
    /// When the caller disconnected, if it did so before the answer.
    pub disconnected_at: Option<Duration>,
}

impl Outcome {
    /// Creates the outcome of a request that has just arrived.
    pub fn new(script: Script, instance: usize, arrived: Duration) -> Self {
        Self {
            script,
            instance,
            arrived,
            first_token: None,
            last_token: None,
            tokens: 0,
            attempt: String::new(),
            answers: 0,
            end: None,
            ended: None,
            disconnected_at: None,
        }
    }

    /// Whether a model request got all tokens of its answer.
    pub fn is_complete(&self) -> bool {
        self.end == Some(End::Finished) && self.tokens == self.script.length
    }

    /// Returns the verdict, if the request was refused or failed.
    pub fn verdict(&self) -> Option<&Verdict> {
        match &self.end {
            Some(End::Refused(verdict)) => Some(verdict),
            _ => None,
        }
    }

    /// Returns the code of the verdict, or an empty string.
    pub fn code(&self) -> &'static str {
        self.verdict().map_or("", |verdict| verdict.code.as_str())
    }

    /// Whether the answer states that the request has not run.
    pub fn reported_not_run(&self) -> bool {
        self.verdict()
            .is_some_and(|verdict| verdict.run == Run::NotRun)
    }

    /// Returns the time to the first token.
    pub fn time_to_first_token(&self) -> Option<Duration> {
        self.first_token.map(|at| at - self.arrived)
    }

    /// Returns the mean time between tokens; `None` with fewer than two tokens.
    pub fn mean_time_between_tokens(&self) -> Option<Duration> {
        let gaps = self.tokens.checked_sub(1).filter(|gaps| *gaps > 0)?;
        Some((self.last_token? - self.first_token?) / gaps)
    }
}
