//! The responses to requests that no runner has answered.

use std::time::Duration;

use hyper::Response;
use platform::ingress::LocalResponse;
use serving::placement::NoRunner;

use crate::dispatch::ActiveRequest;
use crate::dispatch::DispatchError;
use crate::dispatch::FailureCause;
use crate::dispatch::entry_response;
use crate::request_body;
use crate::request_body::BodyError;
use crate::server::Body;
use crate::unread::UnreadBody;

/// Bounds of `Retry-After` for other refusals.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(150);
const MAX_RETRY_AFTER: Duration = Duration::from_millis(1_500);
/// Upper bound of the random time added to `Retry-After`, so that refused callers do not all return
/// at once.
const RETRY_AFTER_JITTER: Duration = Duration::from_millis(350);
/// Upper bound of the random time added to `Retry-After` if a queue is too long, as a share of the time in
/// which it empties.
const MAX_QUEUE_JITTER: f64 = 0.5;

impl ActiveRequest {
    /// Returns what is known of a request that was sent and is not sent again; `is_outdated` tells whether
    /// its last attempt was withdrawn because of its adapter version.
    pub(crate) fn unknown_outcome(&self, is_outdated: bool) -> DispatchError {
        let is_late = self.entry.now() >= self.deadline;
        DispatchError::Unknown(match (is_late, is_outdated) {
            (true, _) => FailureCause::DeadlineExceeded,
            (false, true) => FailureCause::VersionOutdated,
            (false, false) => FailureCause::ResponseLost,
        })
    }

    /// Returns what is known of a request that the stopping entry ends.
    pub(crate) fn stopping(&self) -> DispatchError {
        self.end_for(FailureCause::Stopping)
    }

    /// Returns what is known of a request whose deadline has passed.
    pub(crate) fn deadline_exceeded(&self) -> DispatchError {
        self.end_for(FailureCause::DeadlineExceeded)
    }

    fn end_for(&self, cause: FailureCause) -> DispatchError {
        if self.attempts.may_have_run() {
            DispatchError::Unknown(cause)
        } else {
            DispatchError::Refused(cause)
        }
    }

    /// Refuses a request that has not run, and says when it may return.
    pub(crate) fn refuse(mut self, cause: FailureCause) -> Response<Body> {
        self.refund_charge();
        if let FailureCause::HeldBack(refusal) = cause {
            self.log_failure("held back", cause);
            let response = LocalResponse::HeldBack(refusal.retry_after);
            return entry_response(&self.entry, response, Some(&self.head.request.id));
        }
        if cause == FailureCause::Stopping {
            self.log_failure("refused", cause);
            // Another entry can take it at once.
            let response = LocalResponse::Refused(Duration::ZERO);
            return entry_response(&self.entry, response, Some(&self.head.request.id));
        }
        let random = self.entry.state().rng.f64();
        if let FailureCause::Queue(refusal) = cause {
            self.log_failure("refused", cause);
            let wait = refusal.drain_time.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
            let jitter = wait.mul_f64(MAX_QUEUE_JITTER * random);
            let response = LocalResponse::Refused(wait + jitter);
            return entry_response(&self.entry, response, Some(&self.head.request.id));
        }
        let jitter = RETRY_AFTER_JITTER.mul_f64(random);
        let wait = self.retry_after(cause).unwrap_or(MIN_RETRY_AFTER);
        let longest = match cause {
            // The runners have said when they take requests again. The slot of a limit is the entry's
            // own, and another entry may have one sooner.
            FailureCause::NoRunner(NoRunner::Paused(_)) => wait.max(MAX_RETRY_AFTER),
            _ => MAX_RETRY_AFTER,
        };
        self.log_failure("refused", cause);
        entry_response(
            &self.entry,
            LocalResponse::Refused(wait.clamp(MIN_RETRY_AFTER, longest) + jitter),
            Some(&self.head.request.id),
        )
    }

    /// Ends a request whose body cannot be read.
    pub(crate) async fn reject(mut self, error: BodyError, body: UnreadBody) -> Response<Body> {
        self.refund_charge();
        let id = &*self.head.request.id;
        let response = LocalResponse::from(error);
        request_body::record_error(&self.entry, id, error, &response);
        self.ended = true;
        body.answer(&self.entry, response, Some(id)).await
    }

    /// Gives back what the request was charged, unless it may have run.
    pub(crate) fn refund_charge(&mut self) {
        if self.attempts.may_have_run() {
            return;
        }
        if let Some(charge) = self.charge.take() {
            self.entry.refund(&charge);
        }
    }

    /// Returns the shortest time until a refused caller can be served; `None` if it is not known.
    fn retry_after(&self, cause: FailureCause) -> Option<Duration> {
        match cause {
            FailureCause::NoRunner(cause) => {
                let artifact = self.head.request.artifact.as_ref();
                let load = self.entry.state().model_load_time(&self.service, artifact);
                cause.retry_after(self.entry.now(), load)
            }
            FailureCause::AdapterTimeout => {
                self.last_placement.as_ref().map(|placement| placement.wait)
            }
            FailureCause::Queue(refusal) => Some(refusal.drain_time),
            FailureCause::Rejected
            | FailureCause::ResponseLost
            | FailureCause::VersionOutdated
            | FailureCause::HeldBack(_)
            | FailureCause::Stopping
            | FailureCause::DeadlineExceeded => None,
        }
    }

    /// Ends a request that may have run.
    pub(crate) fn fail(mut self, cause: FailureCause) -> Response<Body> {
        let response = match cause {
            FailureCause::DeadlineExceeded => LocalResponse::Timeout,
            _ => LocalResponse::ResponseLost,
        };
        self.log_failure("failed", cause);
        entry_response(&self.entry, response, Some(&self.head.request.id))
    }
}
