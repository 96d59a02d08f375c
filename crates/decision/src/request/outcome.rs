//! Interpretation of an attempt's end: the problem for the caller, whether a retry makes sense, and
//! the outcome for endpoint selection.

use std::time::Duration;

use crate::claim::ClaimAction;
use crate::job::End;
use crate::job::Failure;
use crate::job::Outcome;
use crate::job::Refusal;
use crate::placement::EndpointOutcome;
use crate::problem::Code;
use crate::problem::Problem;
use crate::problem::Ran;

/// When the caller should retry while a request with the same key is in progress.
const IN_PROGRESS_RETRY_AFTER: Duration = Duration::from_secs(1);
/// When the caller should retry while storage is unavailable.
const STORAGE_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Returns what the end of an attempt says about the endpoint. `latency` is the time to the first
/// byte of the response.
///
/// Failed loads and client errors are neutral: they are due to the version or the caller, not to the
/// endpoint.
pub fn endpoint_outcome(end: &End, latency: Duration) -> EndpointOutcome {
    match (&end.failure, end.outcome) {
        (Some(Failure::WrongAdapter(_)), _) => EndpointOutcome::WrongAdapter,
        (Some(Failure::Status { status, .. }), _) if *status < 500 => EndpointOutcome::Neutral,
        (Some(Failure::Deadline), _) => EndpointOutcome::Neutral,
        (Some(_), _) => EndpointOutcome::Failure,
        (None, Outcome::Ran) => EndpointOutcome::Success(latency),
        (None, Outcome::NotRun(Refusal::Draining)) => EndpointOutcome::Draining,
        (None, Outcome::NotRun(Refusal::EngineDown | Refusal::WrongEndpoint)) => {
            EndpointOutcome::Failure
        }
        (None, Outcome::NotRun(_)) => EndpointOutcome::Neutral,
        (None, Outcome::Unknown | Outcome::Pending) => EndpointOutcome::Failure,
    }
}

/// Returns whether another attempt at a repeatable request may succeed.
pub(super) fn is_retryable(end: &End) -> bool {
    match (&end.failure, end.outcome) {
        (Some(Failure::Status { status, .. }), _) => *status >= 500,
        (Some(Failure::Deadline), _) => false,
        (Some(_), _) => true,
        (None, Outcome::NotRun(reason)) => is_retryable_refusal(reason),
        (None, _) => true,
    }
}

/// Returns whether another agent may accept a request that was refused for this reason.
pub(super) fn is_retryable_refusal(reason: Refusal) -> bool {
    !matches!(reason, Refusal::Deadline | Refusal::Cancelled)
}

/// Returns the problem for an attempt that failed. `ran` is what is known if the end does not tell
/// whether the attempt ran.
pub(super) fn end_problem(end: &End, ran: Ran) -> Problem {
    let Some(failure) = &end.failure else {
        return match end.outcome {
            Outcome::NotRun(reason) => Problem {
                ran,
                ..refusal_problem(reason, end.after)
            },
            _ => Problem::new(
                Code::OutcomeUnknown,
                ran,
                "it is not known whether the request ran",
            ),
        };
    };
    let code = match failure {
        Failure::WrongAdapter(_) => Code::WrongAdapter,
        Failure::Truncated | Failure::Link => Code::AnswerTruncated,
        Failure::Deadline => Code::DeadlineExceeded,
        Failure::Status {
            status: 400 | 413 | 422,
            ..
        } => Code::InvalidRequest,
        Failure::Status { .. } => Code::UpstreamError,
    };
    let ran = match end.outcome {
        Outcome::Ran => Ran::Yes,
        _ => ran,
    };
    let mut problem = Problem::new(code, ran, failure.to_string());
    problem.after = end.after;
    problem
}

/// Returns the problem for a request that an agent refused.
pub(super) fn refusal_problem(reason: Refusal, after: Option<Duration>) -> Problem {
    let code = match reason {
        Refusal::Overloaded => Code::Overloaded,
        Refusal::Deadline => Code::DeadlineExceeded,
        Refusal::LoadFailed => Code::LoadFailed,
        Refusal::Cancelled => Code::Cancelled,
        Refusal::Draining
        | Refusal::StaleClaim
        | Refusal::Settled
        | Refusal::EngineDown
        | Refusal::WrongEndpoint => Code::NoEndpoint,
    };
    let mut problem = Problem::not_run(code, format!("the agent refused the request: {reason}"));
    problem.after = after;
    problem
}

/// Returns the problem for a request whose deadline passed.
pub(super) fn deadline_problem(ran: Ran) -> Problem {
    Problem::new(Code::DeadlineExceeded, ran, "the deadline passed")
}

/// Returns the problem for a request during which the link to the agent broke.
pub(super) fn link_problem(ran: Ran) -> Problem {
    Problem::new(Code::AnswerTruncated, ran, "the link to the agent broke")
}

/// Returns the problem for a claim that ended without a response or a proven refusal.
pub(super) fn claim_problem(action: &ClaimAction) -> Problem {
    match action {
        ClaimAction::Conflict => Problem::not_run(
            Code::IdempotencyConflict,
            "the idempotency key was used with another request",
        ),
        ClaimAction::InProgress => Problem::new(
            Code::RequestInProgress,
            Ran::Unknown,
            "a request with this idempotency key is in progress",
        )
        .retry_after(IN_PROGRESS_RETRY_AFTER),
        ClaimAction::AnswerLost => Problem::new(
            Code::AnswerLost,
            Ran::Yes,
            "the request ran, and its answer is not available",
        ),
        ClaimAction::Refuse(reason) => {
            let message = format!("this call was not run: {reason}");
            Problem::not_run(Code::StorageUnavailable, message).retry_after(STORAGE_RETRY_AFTER)
        }
        _ => Problem::new(
            Code::OutcomeUnknown,
            Ran::Unknown,
            "it cannot be determined whether the request ran; it will not be run again",
        ),
    }
}
