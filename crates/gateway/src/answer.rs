//! Reads the answer of a runner to one attempt and interprets it.
//!
//! Invariants: what a runner says of itself is recorded as soon as the head of its answer has arrived; a
//! connection is reused only after a complete response.

use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Duration;

use bytes::Bytes;
use decision::time::Time;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Request;
use hyper::body::Body;
use hyper::body::Incoming;
use platform::runner;
use platform::runner::ResponseHead;
use platform::runner::ResponseKind;
use serving::Name;
use serving::attempt::Outcome;
use serving::config::RouteKind;
use serving::fleet::HealthSignal;
use spdlog::info;
use spdlog::warn;
use tokio::time::timeout_at;

use crate::attempt::AnswerProgress;
use crate::attempt::AnswerResult;
use crate::attempt::AttemptResponse;
use crate::attempt::FailedAttempt;
use crate::attempt::OpenStream;
use crate::attempt::RunningAttempt;
use crate::buffer::ReadError;
use crate::buffer::StreamEvents;
use crate::entry::Entry;
use crate::resets;
use crate::resets::UnansweredConn;
use crate::send_check::Withhold;

/// The assumed time until a runner that rejects requests for an adapter has it loaded again.
const REJECTED_ADAPTER_DELAY: Duration = Duration::from_millis(150);
/// The largest body of a rejection that is read so that its connection can be reused.
const MAX_REJECTION_BYTES: usize = 16 << 10;
/// The most bytes of comments that are kept before the first event of a stream.
const MAX_COMMENT_BYTES: usize = 64 << 10;
/// The time limit for reading the body of a rejection.
const REJECTION_TIMEOUT: Duration = Duration::from_millis(50);

/// What an attempt's answer is read with. It owns all that it needs, so that two attempts at one request
/// can be read at the same time.
pub(crate) struct AnswerReader {
    pub(crate) entry: Arc<Entry>,
    /// The identifier of the request.
    pub(crate) id: Name,
    pub(crate) kind: RouteKind,
    pub(crate) adapter: Option<Name>,
    /// The version of the adapter that the request names; 0 for any.
    pub(crate) version: u64,
    pub(crate) runner: Name,
    /// The start of the runner's incarnation, in milliseconds since the Unix epoch.
    pub(crate) born: u64,
    /// When the request arrived.
    pub(crate) arrival: Time,
    /// When the request was handed to the connection.
    pub(crate) sent_at: Time,
    /// The deadline of the request.
    pub(crate) deadline: Time,
    /// The last event that the caller has, if the attempt resumes a stream.
    pub(crate) resume: Option<u64>,
    /// The time from which the attempt counts as silent; `None` if its silence is observed elsewhere.
    pub(crate) patience: Option<Duration>,
    /// Set when the head of the answer has arrived.
    pub(crate) head_at: Arc<OnceLock<Time>>,
    /// How long the connection must be open before the request is written.
    pub(crate) settle_time: Duration,
}

impl AnswerReader {
    /// Sends the request and reads its answer, up to the first event of a stream.
    pub(crate) async fn exchange(
        self,
        attempt: RunningAttempt,
        request: Request<Full<Bytes>>,
    ) -> AnswerResult {
        let result = self.send_and_read(attempt, request).await;
        result.map_err(|failed| FailedAttempt {
            sent_at: Some(self.sent_at),
            ..failed
        })
    }

    async fn send_and_read(
        &self,
        mut attempt: RunningAttempt,
        request: Request<Full<Bytes>>,
    ) -> AnswerResult {
        let deadline = self.entry.clock.instant(self.deadline);
        let Some(conn) = attempt.conn.as_mut() else {
            return Err(Outcome::NotSent.into());
        };
        let unanswered = UnansweredConn::from(&*conn);
        let settle_time = self.settle_time;
        let exchange = async {
            if !settle_time.is_zero() {
                tokio::time::sleep(settle_time).await;
            }
            conn.sender.try_send_request(request).await
        };
        let sent = tokio::select! {
            biased;
            sent = timeout_at(deadline, exchange) => Ok(sent),
            successor = self.outdated() => Err(successor),
        };
        let sent = match sent {
            Ok(sent) => sent,
            Err(successor) => return Err(self.withdraw(attempt, successor)),
        };
        let response = match sent {
            Ok(Ok(response)) => response,
            Err(_) => match conn.check.end() {
                Some(cause) => return Err(self.withhold(attempt, cause)),
                None => return Err(self.time_out(attempt)),
            },
            Ok(Err(mut error)) => {
                let returned = error.take_message().is_some();
                if let Some(cause) = conn.check.end() {
                    // The connection has ended before it took the request.
                    let cause = if returned { Withhold::Closed } else { cause };
                    return Err(self.withhold(attempt, cause));
                }
                if conn.reads.is_refused() {
                    self.log_unreadable(&ReadError::NoMemory.to_string());
                    attempt.finish(HealthSignal::Neutral, false);
                    return Err(Outcome::Unknown.into());
                }
                if resets::is_reset(error.error()) {
                    self.record_closed(unanswered);
                }
                attempt.finish(HealthSignal::Failed, false);
                return Err(AnswerProgress::Waiting.into());
            }
        };
        let (parts, body) = response.into_parts();
        conn.reads.begin_body(body.size_hint().exact().is_some());
        let reused = attempt.conn.as_ref().is_some_and(|conn| conn.reused);
        let head = runner::decode_response_head(&parts, &self.id, &self.runner, reused);
        attempt.idle_timeout = head.idle_timeout;
        self.record_head(&head);
        self.record_answer_begun(unanswered);
        let kind = head.kind;
        let result = self.read(attempt, head, body).await;
        result.map_err(|failed| FailedAttempt {
            kind: Some(kind),
            ..failed
        })
    }

    /// Ends an attempt of which nothing was written.
    pub(crate) fn withhold(&self, attempt: RunningAttempt, cause: Withhold) -> FailedAttempt {
        let conn = attempt.conn.as_ref().map(UnansweredConn::from);
        let reused = attempt.conn.as_ref().is_some_and(|conn| conn.reused);
        let text = cause.to_string();
        info!("request not written", kv: {
            id = &*self.id, runner = &*self.runner, cause = text.as_str(), reused
        });
        let signal = match (cause, conn) {
            (Withhold::Closed, Some(conn)) if self.record_closed(conn) => HealthSignal::Neutral,
            (Withhold::Closed, _) if !reused => HealthSignal::Unreachable,
            (
                Withhold::Closed
                | Withhold::CallerLeft
                | Withhold::GivenUp
                | Withhold::VersionOutdated,
                _,
            ) => HealthSignal::Neutral,
        };
        attempt.finish(signal, false);
        Outcome::NotSent.into()
    }

    fn record_head(&self, head: &ResponseHead) {
        let now = self.entry.now();
        // A second head of one attempt does not exist.
        let _ = self.head_at.set(now);
        self.record_notice(head);
        let mut state = self.entry.state();
        if !matches!(
            head.kind,
            ResponseKind::OtherRunner | ResponseKind::Unverified
        ) {
            state.fleet.record_heard(now, &self.runner, self.born);
        }
        if let Some(load) = head.load {
            state.fleet.record_load(&self.runner, load);
        }
    }

    async fn read(
        &self,
        attempt: RunningAttempt,
        head: ResponseHead,
        body: Incoming,
    ) -> AnswerResult {
        let is_success = head.kind == ResponseKind::Success;
        if self.resume.is_some() && is_success && !head.is_event_stream {
            // Its text must not reach the caller in the middle of a stream.
            self.log_unreadable("no stream of events");
            attempt.finish(HealthSignal::Failed, false);
            return Err(Outcome::Unknown.into());
        }
        match head.kind {
            ResponseKind::Success if self.kind.is_stream() => {
                self.read_first_events(attempt, head, body).await
            }
            ResponseKind::Success | ResponseKind::Failure => {
                self.read_whole(attempt, head, body).await
            }
            ResponseKind::NotRun => {
                self.record_rejection();
                self.record_overload();
                finish_after_body(attempt, head, body).await;
                Err(Outcome::NotRun.into())
            }
            ResponseKind::NotLoaded => {
                if let Some(adapter) = &self.adapter {
                    let mut state = self.entry.state();
                    state.fleet.remove_adapter(&self.runner, adapter);
                }
                finish_after_body(attempt, head, body).await;
                Err(Outcome::NotRun.into())
            }
            ResponseKind::OtherRunner => {
                self.record_replaced(&head);
                attempt.finish(HealthSignal::Neutral, false);
                Err(Outcome::NotRun.into())
            }
            ResponseKind::Unverified => {
                attempt.finish(HealthSignal::Failed, false);
                Err(Outcome::Unknown.into())
            }
        }
    }

    fn record_replaced(&self, head: &ResponseHead) {
        let (runner, by) = (&*self.runner, head.instance.as_deref().unwrap_or_default());
        info!("runner replaced", kv: { runner, by });
        let now = self.entry.now();
        self.entry.state().fleet.displace(now, runner, by);
        self.entry.report_address_changes();
        self.entry.record_runner_ended(runner, self.born);
        self.entry.mark_members_outdated();
    }

    /// Marks the adapter as not ready for a moment at a runner that did not run the request: an
    /// engine rejects requests while it replaces or unloads their adapter.
    fn record_rejection(&self) {
        let Some(adapter) = &self.adapter else {
            return;
        };
        let ready_at = self.entry.now().after(REJECTED_ADAPTER_DELAY);
        let mut state = self.entry.state();
        let version = state.versions.newest(adapter);
        state
            .fleet
            .expect_adapter(&self.runner, adapter, version, ready_at);
    }

    /// Reads the complete body of a response.
    async fn read_whole(
        &self,
        attempt: RunningAttempt,
        head: ResponseHead,
        body: Incoming,
    ) -> AnswerResult {
        let deadline = self.entry.clock.instant(self.deadline);
        let read = timeout_at(deadline, self.entry.buffers.read(body)).await;
        let body = match read {
            Ok(Ok(body)) => body,
            Ok(Err(error)) => {
                self.log_unreadable(&error.to_string());
                attempt.finish(error.health_signal(), false);
                return Err(AnswerProgress::Begun.into());
            }
            Err(_) => return Err(self.time_out(attempt)),
        };
        let now = self.entry.now();
        let failed = head.kind == ResponseKind::Failure;
        let signal = match (failed, head.status.is_client_error()) {
            (true, true) => HealthSignal::Neutral,
            (true, false) => HealthSignal::Failed,
            (false, _) => HealthSignal::Success(now.since(self.arrival)),
        };
        let mut state = self.entry.state();
        state.fleet.record_heard(now, &self.runner, self.born);
        drop(state);
        attempt.finish(signal, !head.closes_connection);
        let head = Box::new(head);
        if failed {
            return Err(FailedAttempt {
                failure: Some((head, body)),
                ..Outcome::Failed.into()
            });
        }
        Ok(AttemptResponse::Complete(head, body))
    }

    /// Reads a stream up to its first complete event.
    async fn read_first_events(
        &self,
        mut attempt: RunningAttempt,
        head: ResponseHead,
        mut body: Incoming,
    ) -> AnswerResult {
        let deadline = self.entry.clock.instant(self.deadline);
        let mut splitter = self.entry.buffers.split_events();
        let mut first_events = splitter.keep_events();
        loop {
            let frame = match timeout_at(deadline, body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(_)) | None) => {
                    attempt.finish(HealthSignal::Failed, false);
                    return Err(AnswerProgress::Begun.into());
                }
                Err(_) => return Err(self.time_out(attempt)),
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let kept = async {
                splitter.reserve(data.len()).await?;
                let events = splitter.push(&data)?;
                first_events.reserve(events.len()).await?;
                first_events.push(&events)
            };
            let Ok(kept) = timeout_at(deadline, kept).await else {
                return Err(self.time_out(attempt));
            };
            if let Err(error) = kept {
                self.log_unreadable(&error.to_string());
                attempt.finish(error.health_signal(), false);
                return Err(Outcome::Unknown.into());
            }
            // A comment is no answer.
            if !splitter.has_new_data && first_events.len() <= MAX_COMMENT_BYTES {
                continue;
            }
            if !self.continues(&splitter) {
                self.log_unreadable("no event after the last one");
                attempt.finish(HealthSignal::Failed, false);
                return Err(Outcome::Unknown.into());
            }
            attempt.prompt = None;
            let now = self.entry.now();
            let mut state = self.entry.state();
            state.fleet.record_heard(now, &self.runner, self.born);
            if let Some(inflight) = attempt.inflight.as_mut() {
                state.fleet.mark_answered(inflight);
            }
            drop(state);
            return Ok(AttemptResponse::Stream(Box::new(OpenStream {
                closes_connection: head.closes_connection,
                response_head: head,
                attempt,
                body,
                first_events: first_events.take(),
                splitter,
            })));
        }
    }

    /// Returns whether a stream that is resumed goes on after the last event that the caller has.
    fn continues(&self, splitter: &StreamEvents) -> bool {
        let first_id = splitter.first_id();
        self.resume
            .is_none_or(|last_id| first_id.is_some_and(|first| first > last_id))
    }

    /// Ends an attempt that is not answered in its time, which is no sign of a crash.
    pub(crate) fn time_out(&self, attempt: RunningAttempt) -> FailedAttempt {
        let lasted = self.entry.now().since(self.sent_at);
        if self.patience.is_some_and(|patience| lasted >= patience) {
            self.entry
                .observe_silence(&self.runner, self.born, self.sent_at);
        }
        attempt.finish(HealthSignal::Neutral, false);
        Outcome::Unknown.into()
    }

    fn log_unreadable(&self, error: &str) {
        self.entry.log_unreadable(&self.id, &self.runner, error);
    }
}

impl Entry {
    /// Logs and counts a response that was not read to its end.
    pub(crate) fn log_unreadable(&self, id: &str, runner: &str, error: &str) {
        self.metrics.unreadable.with_label_values(&[error]).inc();
        warn!("response cannot be read", kv: { id, runner, error });
    }
}

/// Reads the short body of a rejection, so that its connection can be reused.
async fn finish_after_body(mut attempt: RunningAttempt, head: ResponseHead, body: Incoming) {
    let collect = Limited::new(body, MAX_REJECTION_BYTES).collect();
    let complete = matches!(
        tokio::time::timeout(REJECTION_TIMEOUT, collect).await,
        Ok(Ok(_))
    );
    if let Some(conn) = &mut attempt.conn {
        conn.rejected = true;
    }
    attempt.finish(HealthSignal::Neutral, complete && !head.closes_connection);
}
