//! Relays the events of a stream to the caller, and resumes the stream at another runner if it
//! fails.
//!
//! Invariants: only complete events are relayed, in ascending order of their identifiers; a
//! truncated response ends with an error, so that it never looks complete.

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
use serving::Name;
use serving::attempt::NextStep;
use serving::attempt::Outcome;
use serving::fleet::HealthSignal;
use serving::silence;
use serving::silence::Choice;
use serving::silence::KeepCause;
use serving::silence::SilenceWatch;
use spdlog::info;

use crate::attempt;
use crate::attempt::AnswerResult;
use crate::attempt::AttemptResponse;
use crate::attempt::OpenStream;
use crate::attempt::RunningAttempt;
use crate::attempt::SentAttempt;
use crate::buffer::KeptEvents;
use crate::buffer::ReadError;
use crate::buffer::StreamEvents;
use crate::dispatch;
use crate::dispatch::ActiveRequest;
use crate::dispatch::DispatchError;
use crate::dispatch::FailureCause;
use crate::replace::SilentAttempt;
use crate::server::Body;
use crate::step::Step;

/// The most bytes of events without data that are kept while a silent stream is being replaced.
const MAX_KEPT_BYTES: usize = 64 << 10;

/// The stream ended before its last event; aborts the caller's response.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("the stream ended before its last event")]
pub struct StreamTruncated;

struct StreamRelay {
    request: ActiveRequest,
    attempt: Option<RunningAttempt>,
    source: Source,
    /// Events that are not relayed yet, from the start of the stream or of its resumption.
    first_events: Bytes,
    last_event_at: Time,
    watch: SilenceWatch,
    /// Why the stream was last kept at its runner although that was silent.
    kept: Option<KeepCause>,
    /// Whether the runner closes the connection after the stream.
    closes_connection: bool,
    is_aborted: bool,
}

/// The stream as it comes from one runner.
struct Source {
    body: Incoming,
    splitter: StreamEvents,
    /// A part of the body for which there is no room yet.
    waiting: Option<Bytes>,
    /// Complete events without data, such as comments, that came while the stream was being replaced.
    kept: KeptEvents,
}

/// Result of one read from the runner.
enum ReadResult {
    /// Complete events; empty if none is complete yet.
    Events(Bytes),
    /// Bytes that are no event in ascending order.
    Invalid,
    /// Bytes that cannot be kept.
    Unreadable(ReadError),
    End,
    Truncated,
    /// Another runner has resumed the stream.
    Resumed,
    /// The request's deadline passed.
    DeadlineExceeded,
    /// The stream is lost.
    Lost(FailureCause),
}

/// Returns the caller's response, whose body relays the stream.
pub fn stream_response(request: ActiveRequest, stream: OpenStream) -> Response<Body> {
    let now = request.entry.now();
    let patience = silence::event_patience(request.route.gap_goal);
    let relay = StreamRelay {
        request,
        attempt: Some(stream.attempt),
        source: Source::new(stream.body, stream.splitter),
        first_events: stream.first_events,
        last_event_at: now,
        watch: SilenceWatch::new(now, patience),
        kept: None,
        closes_connection: stream.closes_connection,
        is_aborted: false,
    };
    let frames = stream::unfold(relay, |relay| relay.next());
    dispatch::forward_response(stream.response_head, StreamBody::new(frames).boxed_unsync())
}

impl Source {
    fn new(body: Incoming, mut splitter: StreamEvents) -> Source {
        splitter.has_new_data = false;
        let kept = splitter.keep_events();
        Source {
            body,
            splitter,
            waiting: None,
            kept,
        }
    }

    /// Reads the next bytes.
    async fn read(&mut self) -> ReadResult {
        if !self.kept.is_empty() {
            return ReadResult::Events(self.kept.take());
        }
        self.read_body().await
    }

    /// Reads the next part of the body; what was read is kept if this is dropped meanwhile.
    async fn read_body(&mut self) -> ReadResult {
        if self.waiting.is_none() {
            let data = match self.body.frame().await {
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
                None if !self.splitter.has_partial_event() => return ReadResult::End,
                None | Some(Err(_)) => return ReadResult::Truncated,
            };
            self.waiting = Some(data);
        }
        let length = self.waiting.as_ref().map_or(0, Bytes::len);
        if let Err(error) = self.splitter.reserve(length).await {
            return ReadResult::Unreadable(error);
        }
        let data = self.waiting.take().unwrap_or_default();
        match self.splitter.push(&data) {
            Ok(events) if !self.splitter.is_out_of_order() => ReadResult::Events(events),
            Ok(_) => ReadResult::Invalid,
            Err(error) => ReadResult::Unreadable(error),
        }
    }

    /// Waits until the stream goes on or ends, and keeps what comes without data meanwhile.
    async fn wait_for_data(&mut self) -> ReadResult {
        loop {
            match self.read_body().await {
                ReadResult::Events(events) => {
                    if let Err(error) = self.kept.push(&events) {
                        return ReadResult::Unreadable(error);
                    }
                    if self.splitter.has_new_data || self.kept.len() > MAX_KEPT_BYTES {
                        return ReadResult::Events(self.kept.take());
                    }
                }
                result => return result,
            }
        }
    }
}

impl StreamRelay {
    async fn next(mut self) -> Option<(Result<Frame<Bytes>, StreamTruncated>, StreamRelay)> {
        if self.is_aborted {
            return None;
        }
        if !self.first_events.is_empty() {
            return Some((Ok(self.first_frame()), self));
        }
        loop {
            match self.read().await {
                ReadResult::Events(events) if events.is_empty() => {}
                ReadResult::Events(events) => {
                    self.record_progress();
                    return Some((Ok(Frame::data(events)), self));
                }
                ReadResult::End => {
                    self.finish();
                    return None;
                }
                ReadResult::Truncated => match self.resume().await {
                    Ok(()) => return Some((Ok(self.first_frame()), self)),
                    Err(cause) => return Some((Err(self.abort(cause)), self)),
                },
                ReadResult::Resumed => return Some((Ok(self.first_frame()), self)),
                ReadResult::Invalid => {
                    return Some((Err(self.abort(FailureCause::ResponseLost)), self));
                }
                ReadResult::Lost(cause) => return Some((Err(self.abort(cause)), self)),
                ReadResult::Unreadable(error) => {
                    self.log_unreadable(error);
                    return Some((Err(self.abort(FailureCause::ResponseLost)), self));
                }
                ReadResult::DeadlineExceeded => {
                    return Some((Err(self.abort(FailureCause::DeadlineExceeded)), self));
                }
            }
        }
    }

    fn first_frame(&mut self) -> Frame<Bytes> {
        Frame::data(std::mem::take(&mut self.first_events))
    }

    /// Records the time of new events. Events without data, such as comments, are no progress.
    fn record_progress(&mut self) {
        if !std::mem::take(&mut self.source.splitter.has_new_data) {
            return;
        }
        let now = self.request.entry.now();
        let gap = now.since(self.last_event_at);
        self.request.longest_gap = self.request.longest_gap.max(gap);
        self.last_event_at = now;
        self.watch.record_progress(now);
        self.request.attempts.record_progress();
        if let Some((runner, born)) = self.runner() {
            let mut state = self.request.entry.state();
            state.fleet.record_heard(now, &runner, born);
        }
    }

    /// Returns the runner that sends the stream, and the start of its incarnation.
    fn runner(&self) -> Option<(Name, u64)> {
        let inflight = self.attempt.as_ref()?.inflight.as_ref()?;
        Some((inflight.runner.clone(), inflight.born))
    }

    /// Reads from the runner, and replaces it if it is silent and another one can.
    async fn read(&mut self) -> ReadResult {
        let clock = self.request.entry.clock;
        let deadline = clock.instant(self.request.deadline);
        loop {
            self.request.step = Step::Event;
            let due_at = self.watch.due_at();
            let may_replace =
                self.request.attempts.may_replace() && self.source.splitter.last_id().is_some();
            let is_due = may_replace || self.watch.is_first_check();
            tokio::select! {
                biased;
                result = self.source.read() => return result,
                () = tokio::time::sleep_until(deadline) => return ReadResult::DeadlineExceeded,
                () = tokio::time::sleep_until(clock.instant(due_at)), if is_due => {}
            }
            let replacing = self.replace();
            match tokio::time::timeout_at(deadline, replacing).await {
                Ok(Some(result)) => return result,
                Ok(None) => {}
                Err(_) => return ReadResult::DeadlineExceeded,
            }
        }
    }

    /// Looks for a runner that resumes the silent stream. Returns `None` if the stream goes on alone, and
    /// still is silent.
    async fn replace(&mut self) -> Option<ReadResult> {
        let (runner, born) = self.runner()?;
        let silent = self.request.find_silent(&runner, born, &self.watch);
        let is_new = self.watch.is_first_check();
        self.watch.record_check(self.request.entry.now());
        let Some(last_id) = self.source.splitter.last_id() else {
            let cause = KeepCause::NoAttempt;
            self.request.log_silent(&silent, cause, is_new);
            return None;
        };
        let replacement = tokio::select! {
            biased;
            result = self.source.wait_for_data() => Err(result),
            replacement = self.request.replace(Some(last_id)) => Ok(replacement),
        };
        let (cause, was_sent) = match replacement {
            Err(result) => {
                self.request.slot = None;
                return Some(result);
            }
            Ok(Err(cause)) => (cause, false),
            Ok(Ok(second)) => {
                self.request.log_sent(&silent, &second);
                match self.race(&silent, second, last_id).await {
                    Ok(result) => return Some(result),
                    Err(cause) => (cause, true),
                }
            }
        };
        let is_new = is_new || was_sent || self.kept != Some(cause);
        self.kept = Some(cause);
        self.request.log_silent(&silent, cause, is_new);
        self.watch.record_check(self.request.entry.now());
        None
    }

    /// Listens to the silent stream and the attempt that resumes it, until one of them goes on or the
    /// attempt has to be given up.
    async fn race(
        &mut self,
        silent: &SilentAttempt<'_>,
        mut second: SentAttempt,
        last_id: u64,
    ) -> Result<ReadResult, KeepCause> {
        loop {
            let scope = self
                .request
                .silence_scope(silent.runner, silent.born, silent.since);
            let until = match self.request.choose_attempt(scope, &second) {
                Choice::Both(until) => until.unwrap_or(self.request.deadline),
                Choice::Silent => {
                    self.request.give_up(&second.placement.runner);
                    return Err(KeepCause::ReplacementSilent);
                }
                Choice::Replacement => {
                    self.give_up_silent(silent.runner, HealthSignal::Neutral);
                    return Ok(self.wait_for_second(second, last_id).await);
                }
            };
            let until = self.request.entry.clock.instant(until);
            let answer = tokio::select! {
                biased;
                result = self.source.wait_for_data() => match result {
                    ReadResult::Truncated
                    | ReadResult::Invalid
                    | ReadResult::Unreadable(_) => {
                        self.give_up_silent(silent.runner, HealthSignal::Failed);
                        return Ok(self.wait_for_second(second, last_id).await);
                    }
                    result => {
                        self.request.give_up(&second.placement.runner);
                        return Ok(result);
                    }
                },
                answer = &mut second.answer => answer,
                () = tokio::time::sleep_until(until) => continue,
            };
            return self.accept(silent.runner, &second, answer, last_id);
        }
    }

    /// Switches to the attempt that resumes the silent stream, if its answer does.
    fn accept(
        &mut self,
        silent: &Name,
        second: &SentAttempt,
        answer: AnswerResult,
        last_id: u64,
    ) -> Result<ReadResult, KeepCause> {
        let placement = &second.placement;
        let finding = attempt::finding(&answer);
        match answer {
            Ok(AttemptResponse::Stream(stream)) => {
                self.request.record_finding(placement, finding);
                self.give_up_silent(silent, HealthSignal::Neutral);
                self.switch_to(*stream, last_id);
                Ok(ReadResult::Resumed)
            }
            Ok(_) => {
                self.request.give_up(&placement.runner);
                Err(KeepCause::ReplacementFailed)
            }
            Err(failed) => {
                self.request.record_failed_beside(placement, &failed);
                Err(KeepCause::ReplacementFailed)
            }
        }
    }

    fn give_up_silent(&mut self, runner: &Name, signal: HealthSignal) {
        self.request.give_up(runner);
        if let Some(attempt) = self.attempt.take() {
            attempt.finish(signal, false);
        }
    }

    /// Goes on with the attempt beside a silent one that has ended.
    async fn wait_for_second(&mut self, second: SentAttempt, last_id: u64) -> ReadResult {
        match self.continue_with(Some(second), last_id).await {
            Ok(()) => ReadResult::Resumed,
            Err(cause) => ReadResult::Lost(cause),
        }
    }

    /// Continues the stream, which has broken off, at another runner after the last complete event.
    async fn resume(&mut self) -> Result<(), FailureCause> {
        if let Some(attempt) = self.attempt.take() {
            attempt.finish(HealthSignal::Failed, false);
        }
        let Some(last_id) = self.source.splitter.last_id() else {
            return Err(FailureCause::ResponseLost);
        };
        if self.request.entry.now() >= self.request.deadline {
            return Err(FailureCause::DeadlineExceeded);
        }
        match self.request.next_step(Outcome::Unknown).await {
            NextStep::TryOther => self.request.exclude_tried(),
            NextStep::TrySame => self.request.excluded.clear(),
            _ => return Err(FailureCause::ResponseLost),
        }
        self.continue_with(None, last_id).await
    }

    /// Switches to the answer of `second`, or of the next attempt.
    async fn continue_with(
        &mut self,
        second: Option<SentAttempt>,
        last_id: u64,
    ) -> Result<(), FailureCause> {
        let answer = self.request.continue_attempts(second, Some(last_id)).await;
        match answer {
            Ok(AttemptResponse::Stream(stream)) => {
                self.switch_to(*stream, last_id);
                Ok(())
            }
            Ok(_) | Err(DispatchError::RunnerFailure(..)) => Err(FailureCause::ResponseLost),
            Err(DispatchError::Refused(cause) | DispatchError::Unknown(cause)) => Err(cause),
        }
    }

    fn switch_to(&mut self, stream: OpenStream, last_id: u64) {
        info!("stream resumed", kv: {
            id = &*self.request.head.request.id, after = last_id, runner = stream.attempt.runner()
        });
        self.request.entry.metrics.resumed_streams.inc();
        self.attempt = Some(stream.attempt);
        self.source = Source::new(stream.body, stream.splitter);
        self.first_events = stream.first_events;
        self.closes_connection = stream.closes_connection;
        let now = self.request.entry.now();
        self.last_event_at = now;
        self.watch.record_progress(now);
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

    fn log_unreadable(&self, error: ReadError) {
        let request = &self.request;
        let runner = self.attempt.as_ref().map_or("", RunningAttempt::runner);
        request
            .entry
            .log_unreadable(&request.head.request.id, runner, &error.to_string());
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
