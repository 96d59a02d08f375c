//! Relays the events of a stream to the caller, and resumes the stream at another runner if it
//! fails.
//!
//! Invariants: only complete events are relayed, in ascending order of their identifiers; a
//! truncated response ends with an error, so that it never looks complete.

use std::time::Duration;

use bytes::Bytes;
use decision::time::Time;
use derive_more::Display;
use derive_more::Error;
use futures::stream;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::Response;
use hyper::body::Frame;
use hyper::body::Incoming;
use serving::attempt::NextStep;
use serving::attempt::Outcome;
use serving::fleet::HealthSignal;
use spdlog::info;
use tokio::time::timeout_at;

use crate::attempt::AttemptResponse;
use crate::attempt::OpenStream;
use crate::attempt::RunningAttempt;
use crate::buffer::StreamEvents;
use crate::dispatch;
use crate::dispatch::ActiveRequest;
use crate::dispatch::DispatchError;
use crate::dispatch::FailureCause;
use crate::dispatch::Step;
use crate::server::Body;

/// The silence after which a stream is resumed at another runner, as a multiple of the route's goal
/// for the gap between events.
const SILENCE_GAP_FACTOR: f64 = 2.0;

/// The stream ended before its last event; aborts the caller's response.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("the stream ended before its last event")]
pub struct StreamTruncated;

struct StreamRelay {
    request: ActiveRequest,
    attempt: Option<RunningAttempt>,
    body: Incoming,
    /// Events that are not relayed yet, from the start of the stream or of its resumption.
    first_events: Bytes,
    splitter: StreamEvents,
    last_event_at: Time,
    /// Whether the runner closes the connection after the stream.
    closes_connection: bool,
    is_aborted: bool,
}

/// Result of one read from the runner.
enum ReadResult {
    Data(Bytes),
    End,
    Truncated,
    /// No data within the silence limit, while another runner may still resume the stream.
    Silent,
    /// The request's deadline passed.
    DeadlineExceeded,
}

/// Returns the caller's response, whose body relays the stream.
pub fn stream_response(request: ActiveRequest, stream: OpenStream) -> Response<Body> {
    let OpenStream {
        response_head,
        attempt,
        body,
        first_events,
        splitter,
        closes_connection,
    } = stream;
    let last_event_at = request.entry.now();
    let relay = StreamRelay {
        request,
        attempt: Some(attempt),
        body,
        first_events,
        splitter,
        last_event_at,
        closes_connection,
        is_aborted: false,
    };
    let frames = stream::unfold(relay, |relay| relay.next());
    dispatch::forward_response(response_head, StreamBody::new(frames).boxed_unsync())
}

impl StreamRelay {
    async fn next(mut self) -> Option<(Result<Frame<Bytes>, StreamTruncated>, StreamRelay)> {
        if self.is_aborted {
            return None;
        }
        if !self.first_events.is_empty() {
            let first_events = std::mem::take(&mut self.first_events);
            return Some((Ok(Frame::data(first_events)), self));
        }
        loop {
            match self.read().await {
                ReadResult::Data(data) => {
                    let events = match self.splitter.push(&data) {
                        Ok(events) => events,
                        Err(error) => {
                            let runner = self.attempt.as_ref().map_or("", RunningAttempt::runner);
                            self.request.log_unreadable(runner, &error.to_string());
                            return Some((Err(self.abort(FailureCause::ResponseLost)), self));
                        }
                    };
                    if self.splitter.is_out_of_order() {
                        return Some((Err(self.abort(FailureCause::ResponseLost)), self));
                    }
                    if !events.is_empty() {
                        self.record_progress();
                        return Some((Ok(Frame::data(events)), self));
                    }
                }
                ReadResult::End => {
                    self.finish();
                    return None;
                }
                ReadResult::DeadlineExceeded => {
                    return Some((Err(self.abort(FailureCause::DeadlineExceeded)), self));
                }
                ReadResult::Truncated | ReadResult::Silent => {
                    if let Err(cause) = self.resume().await {
                        return Some((Err(self.abort(cause)), self));
                    }
                    let first_events = std::mem::take(&mut self.first_events);
                    return Some((Ok(Frame::data(first_events)), self));
                }
            }
        }
    }

    /// Records the time of new events. Events without data, such as comments, are no progress.
    fn record_progress(&mut self) {
        if !std::mem::take(&mut self.splitter.has_new_data) {
            return;
        }
        let now = self.request.entry.now();
        let gap = now.since(self.last_event_at);
        self.request.longest_gap = self.request.longest_gap.max(gap);
        self.last_event_at = now;
    }

    async fn read(&mut self) -> ReadResult {
        self.request.step = Step::Event;
        let deadline = self.silence_deadline();
        let deadline_at = self.request.entry.clock.instant(deadline);
        match timeout_at(deadline_at, self.body.frame()).await {
            Ok(Some(Ok(frame))) => ReadResult::Data(frame.into_data().unwrap_or_default()),
            Ok(None) if !self.splitter.has_partial_event() => ReadResult::End,
            Ok(None | Some(Err(_))) => ReadResult::Truncated,
            Err(_) if deadline >= self.request.deadline => ReadResult::DeadlineExceeded,
            Err(_) => ReadResult::Silent,
        }
    }

    fn silence_deadline(&self) -> Time {
        let request = &self.request;
        let can_resume =
            request.route.kind.is_repeatable() && request.attempts.only_runner().is_none();
        if !can_resume {
            return request.deadline;
        }
        let silence: Duration = request.route.gap_goal.mul_f64(SILENCE_GAP_FACTOR);
        self.last_event_at.after(silence).min(request.deadline)
    }

    /// Continues the stream at another runner after the last complete event.
    async fn resume(&mut self) -> Result<(), FailureCause> {
        if let Some(attempt) = self.attempt.take() {
            attempt.finish(HealthSignal::Failed, false);
        }
        let Some(last_id) = self.splitter.last_id() else {
            return Err(FailureCause::ResponseLost);
        };
        match self.request.next_step(Outcome::Unknown) {
            NextStep::TryOther => {}
            _ => return Err(FailureCause::ResponseLost),
        }
        self.request.exclude_tried();
        match self.request.run_attempts(Some(last_id)).await {
            Ok(AttemptResponse::Stream(stream)) => {
                info!("stream resumed", kv: {
                    id = &*self.request.head.request.id, after = last_id, runner = stream.attempt.runner()
                });
                self.request.entry.metrics.resumed_streams.inc();
                self.switch_to(*stream, last_id)
            }
            Ok(AttemptResponse::Complete(..)) | Err(DispatchError::RunnerFailure(..)) => {
                Err(FailureCause::ResponseLost)
            }
            Err(DispatchError::Refused(cause) | DispatchError::Unknown(cause)) => Err(cause),
        }
    }

    fn switch_to(&mut self, stream: OpenStream, last_id: u64) -> Result<(), FailureCause> {
        if stream
            .splitter
            .first_id()
            .is_none_or(|first| first <= last_id)
        {
            return Err(FailureCause::ResponseLost);
        }
        self.attempt = Some(stream.attempt);
        self.body = stream.body;
        self.first_events = stream.first_events;
        self.splitter = stream.splitter;
        self.closes_connection = stream.closes_connection;
        self.last_event_at = self.request.entry.now();
        Ok(())
    }

    fn finish(&mut self) {
        let time = self.last_event_at.since(self.request.arrival);
        if let Some(attempt) = self.attempt.take() {
            attempt.finish(HealthSignal::Success(time), !self.closes_connection);
        }
        let gap = self.request.longest_gap.as_secs_f64();
        self.request.entry.metrics.longest_gap_s.observe(gap);
        self.request.record_completion("served");
    }

    fn abort(&mut self, cause: FailureCause) -> StreamTruncated {
        self.is_aborted = true;
        if let Some(attempt) = self.attempt.take() {
            attempt.finish(HealthSignal::Neutral, false);
        }
        self.request.log_failure("broken off", cause);
        StreamTruncated
    }
}
