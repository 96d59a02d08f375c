//! Errors returned to callers: stable codes, HTTP statuses and whether the request ran.

use std::time::Duration;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

/// Whether a request ran.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// The request ran.
    #[display("yes")]
    Yes,
    /// The request did not run and will not.
    #[display("no")]
    No,
    /// It is not known whether the request ran.
    #[display("unknown")]
    Unknown,
}

/// An error code. Codes are stable, so callers may depend on them.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// The request is malformed.
    #[display("invalid_request")]
    InvalidRequest,
    /// The API key is missing or wrong, or the workspace does not exist.
    #[display("unauthorized")]
    Unauthorized,
    /// The workspace has no route with this name.
    #[display("model_not_found")]
    ModelNotFound,
    /// The URL path does not exist.
    #[display("not_found")]
    NotFound,
    /// The workspace sent no such request, or its record no longer exists.
    #[display("request_not_found")]
    RequestNotFound,
    /// The request body exceeds the size limit.
    #[display("body_too_large")]
    BodyTooLarge,
    /// The idempotency key was used with another body.
    #[display("idempotency_conflict")]
    IdempotencyConflict,
    /// A request with the same idempotency key is in progress.
    #[display("request_in_progress")]
    RequestInProgress,
    /// The workspace exceeds its rate limit.
    #[display("rate_limited")]
    RateLimited,
    /// The workspace has reached its limit of requests in flight.
    #[display("too_many_inflight")]
    TooManyInflight,
    /// The request was shed under load.
    #[display("overloaded")]
    Overloaded,
    /// No endpoint can accept the request.
    #[display("no_endpoint")]
    NoEndpoint,
    /// The process has no configuration yet or is stopping.
    #[display("not_ready")]
    NotReady,
    /// The table service is unreachable, so a non-repeatable request cannot be claimed.
    #[display("storage_unavailable")]
    StorageUnavailable,
    /// The deadline passed.
    #[display("deadline_exceeded")]
    DeadlineExceeded,
    /// The weights could not be loaded.
    #[display("adapter_load_failed")]
    LoadFailed,
    /// The engine's response names another adapter or version.
    #[display("wrong_adapter")]
    WrongAdapter,
    /// The response ended prematurely.
    #[display("answer_truncated")]
    AnswerTruncated,
    /// The engine or service returned an error.
    #[display("upstream_error")]
    UpstreamError,
    /// The request ran, but its response is not available.
    #[display("answer_lost")]
    AnswerLost,
    /// It cannot be determined whether the request ran.
    #[display("outcome_unknown")]
    OutcomeUnknown,
    /// The caller disconnected before the request was submitted.
    #[display("cancelled")]
    Cancelled,
}

impl Code {
    /// Returns the HTTP status code.
    pub fn status(self) -> u16 {
        match self {
            Code::InvalidRequest => 400,
            Code::Unauthorized => 401,
            Code::ModelNotFound | Code::NotFound | Code::RequestNotFound => 404,
            Code::IdempotencyConflict | Code::RequestInProgress => 409,
            Code::BodyTooLarge => 413,
            Code::RateLimited | Code::TooManyInflight => 429,
            Code::Cancelled => 499,
            Code::WrongAdapter | Code::AnswerTruncated => 502,
            Code::UpstreamError | Code::AnswerLost => 502,
            Code::Overloaded | Code::NoEndpoint | Code::NotReady => 503,
            Code::StorageUnavailable | Code::LoadFailed => 503,
            Code::DeadlineExceeded | Code::OutcomeUnknown => 504,
        }
    }

    /// Returns the error type, as used by the OpenAI API.
    pub fn kind(self) -> &'static str {
        match self.status() {
            401 => "authentication_error",
            429 => "rate_limit_error",
            400..=499 => "invalid_request_error",
            _ => "server_error",
        }
    }
}

/// An error as returned to the caller.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[display("{code}: {message} (ran: {ran})")]
pub struct Problem {
    /// Stable, machine-readable code.
    pub code: Code,
    /// Human-readable description.
    pub message: String,
    /// Whether the request ran.
    pub ran: Ran,
    /// Time after which the caller should retry, or `None` if the response gives no such time.
    pub after: Option<Duration>,
}

impl Problem {
    /// Creates the error of a request that did not run, without a retry time.
    pub fn not_run(code: Code, message: impl Into<String>) -> Self {
        Problem::new(code, Ran::No, message)
    }

    /// Creates an error without a retry time.
    pub fn new(code: Code, ran: Ran, message: impl Into<String>) -> Self {
        Problem {
            code,
            message: message.into(),
            ran,
            after: None,
        }
    }

    /// Sets the time after which the caller should retry.
    pub fn retry_after(mut self, after: Duration) -> Self {
        self.after = Some(after);
        self
    }
}
