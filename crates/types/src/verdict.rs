//! The error type of a request that gets no result: the reason, and whether the request may have
//! run.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Whether a backend server may have started the request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Run {
    /// No backend server received any byte of the request.
    NotRun,
    /// A backend server may have acted on the request.
    MayHaveRun,
}

/// Reason why a request got no result; the text of the codes is stable, so callers may match it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// The request presented no key and its route is not open.
    KeyMissing,
    /// The key is in no row of the table, or was revoked.
    KeyUnknown,
    /// The key was revoked while the request was running.
    KeyWithdrawn,
    /// The route exists but is not granted to the customer of the key.
    RouteForbidden,
    /// No route matches the path of the request.
    RouteUnknown,
    /// No configuration row declares the model.
    ModelUnknown,
    /// The body is not the JSON that the route takes.
    BodyMalformed,
    /// The head or the body is larger than the configured limit.
    TooLarge,
    /// The prompt and the requested output together exceed the model's context.
    ContextExceeded,
    /// A field of the body has a value out of its range.
    FieldInvalid,
    /// The head or the body did not arrive in time.
    ReadTimeout,
    /// The customer is over its rate or burst.
    RateLimited,
    /// The owner of the customer's partition, which enforces its limits, cannot be reached.
    LimitUnavailable,
    /// No engine can serve the request within its deadline.
    Overloaded,
    /// The instance is shutting down and accepts no new requests.
    Draining,
    /// The instance is cut off from the table and from its peers.
    CutOff,
    /// The request is quarantined: equal requests have crashed two backend servers.
    CrashSuspect,
    /// The backend servers failed, and no further attempt is allowed.
    BackendFailed,
    /// No backend server of the service is available.
    BackendMissing,
    /// The idempotency key belongs to an earlier call whose outcome is not recorded.
    ClaimPending,
    /// The idempotency key was used before with a different request.
    ClaimMismatch,
    /// The table service did not confirm the idempotency record in time.
    ClaimUnsettled,
    /// The caller disconnected.
    CallerGone,
}

impl Code {
    /// Returns the HTTP status with which the code is sent.
    pub fn status(self) -> u16 {
        match self {
            Self::KeyMissing | Self::KeyUnknown | Self::KeyWithdrawn => 401,
            Self::RouteForbidden => 403,
            Self::RouteUnknown | Self::ModelUnknown => 404,
            Self::ReadTimeout => 408,
            Self::ClaimPending | Self::ClaimMismatch => 409,
            Self::TooLarge => 413,
            Self::BodyMalformed | Self::ContextExceeded | Self::FieldInvalid => 400,
            Self::CrashSuspect => 422,
            Self::RateLimited => 429,
            Self::CallerGone => 499,
            Self::BackendFailed => 502,
            Self::LimitUnavailable
            | Self::Overloaded
            | Self::Draining
            | Self::CutOff
            | Self::BackendMissing
            | Self::ClaimUnsettled => 503,
        }
    }

    /// Returns the text of the code, as sent to callers.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::KeyMissing => "key_missing",
            Self::KeyUnknown => "key_unknown",
            Self::KeyWithdrawn => "key_withdrawn",
            Self::RouteForbidden => "route_forbidden",
            Self::RouteUnknown => "route_unknown",
            Self::ModelUnknown => "model_unknown",
            Self::BodyMalformed => "body_malformed",
            Self::TooLarge => "too_large",
            Self::ContextExceeded => "context_exceeded",
            Self::FieldInvalid => "field_invalid",
            Self::ReadTimeout => "read_timeout",
            Self::RateLimited => "rate_limited",
            Self::LimitUnavailable => "limit_unavailable",
            Self::Overloaded => "overloaded",
            Self::Draining => "draining",
            Self::CutOff => "cut_off",
            Self::CrashSuspect => "crash_suspect",
            Self::BackendFailed => "backend_failed",
            Self::BackendMissing => "backend_missing",
            Self::ClaimPending => "claim_pending",
            Self::ClaimMismatch => "claim_mismatch",
            Self::ClaimUnsettled => "claim_unsettled",
            Self::CallerGone => "caller_gone",
        }
    }
}

/// The error with which a request that gets no result is answered.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Verdict {
    /// Reason why there is no result.
    pub code: Code,
    /// Whether a backend server may have started the request.
    pub run: Run,
    /// Explanation in one sentence, for a human reader.
    pub message: SmolStr,
    /// Time after which a retry may succeed; `None` if no such time is known.
    pub retry_after: Option<Duration>,
}

impl Verdict {
    /// Creates a verdict on a request of which no backend server received a byte.
    pub fn not_run(code: Code, message: impl AsRef<str>) -> Self {
        Self {
            code,
            run: Run::NotRun,
            message: SmolStr::new(message),
            retry_after: None,
        }
    }

    /// Creates a verdict on a request that a backend server may have started.
    pub fn may_have_run(code: Code, message: impl AsRef<str>) -> Self {
        Self {
            run: Run::MayHaveRun,
            ..Self::not_run(code, message)
        }
    }

    /// Sets the time after which a retry may succeed.
    pub fn retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }

    /// Returns the JSON body of the answer to the caller.
    pub fn to_json(&self) -> serde_json::Value {
        serde_json::json!({"error": {
            "code": self.code.as_str(),
            "run": self.run,
            "message": self.message,
            "retry_after_ms": self.retry_after.map(|wait| wait.as_millis() as u64),
        }})
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.code.as_str(), self.message)
    }
}

impl std::error::Error for Verdict {}
