//! A running attempt and the results it can end in.
//!
//! Invariants: each attempt is counted as in flight at its runner from its start to its end;
//! dropping it ends it and closes its connection, which makes the runner stop its work.

use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Duration;

use bytes::Bytes;
use decision::time::Time;
use futures::future::BoxFuture;
use hyper::body::Incoming;
use platform::runner::ResponseHead;
use platform::runner::ResponseKind;
use serving::attempt::Outcome;
use serving::fleet::HealthSignal;
use serving::fleet::InflightRequest;
use serving::placement::Placement;
use serving::quarantine::Finding;

use crate::admit::AnnouncedPrompt;
use crate::buffer::BufferedBody;
use crate::buffer::StreamEvents;
use crate::conns::RunnerConn;
use crate::entry::Entry;
use crate::service_queue::HeldPlace;

/// A response that can be delivered to the caller.
pub enum AttemptResponse {
    /// A response that was read to its end.
    Complete(Box<ResponseHead>, BufferedBody),
    /// A stream whose first events have arrived.
    Stream(Box<OpenStream>),
}

/// An attempt without a response that can be delivered as a success.
#[derive(Debug)]
pub struct FailedAttempt {
    /// Decides whether the request may be sent again.
    pub outcome: Outcome,
    /// The head and body of the runner's failure response; `None` unless the outcome is
    /// [`Outcome::Failed`].
    pub failure: Option<(Box<ResponseHead>, BufferedBody)>,
    /// How far the answer had got when the attempt broke, in case the runner has crashed.
    pub broken: Option<AnswerProgress>,
    /// Meaning of the response head; `None` if none arrived.
    pub kind: Option<ResponseKind>,
    /// When the request was sent; `None` if it was not.
    pub sent_at: Option<Time>,
    /// Whether it was withdrawn because a newer version of its adapter is mandatory.
    pub is_outdated: bool,
}

/// How the answer to an attempt ends.
pub type AnswerResult = Result<AttemptResponse, FailedAttempt>;

/// An attempt that is being sent or whose answer is awaited; dropping it gives the attempt up.
pub(crate) struct SentAttempt {
    pub(crate) placement: Placement,
    pub(crate) sent_at: Time,
    /// Set when the head of the answer has arrived.
    pub(crate) head_at: Arc<OnceLock<Time>>,
    /// Sends the request, and yields the answer.
    pub(crate) answer: BoxFuture<'static, AnswerResult>,
}

/// How far the answer to a request had got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerProgress {
    /// Nothing of it had arrived.
    Waiting,
    /// Its head had arrived.
    Begun,
}

/// Returns what the end of an attempt shows of its request.
pub fn finding(result: &AnswerResult) -> Finding {
    match result {
        Ok(AttemptResponse::Complete(..) | AttemptResponse::Stream(_)) => Finding::Answered,
        Err(failed) => {
            let head = failed.failure.as_ref().map(|(head, _)| head);
            Finding::of_failure(failed.outcome, head.map(|head| head.status.as_u16()))
        }
    }
}

impl From<Outcome> for FailedAttempt {
    fn from(outcome: Outcome) -> Self {
        FailedAttempt {
            outcome,
            failure: None,
            broken: None,
            kind: None,
            sent_at: None,
            is_outdated: false,
        }
    }
}

impl From<AnswerProgress> for FailedAttempt {
    fn from(progress: AnswerProgress) -> Self {
        FailedAttempt {
            outcome: Outcome::Unknown,
            failure: None,
            broken: Some(progress),
            kind: None,
            sent_at: None,
            is_outdated: false,
        }
    }
}

/// A stream that has been read up to its first events.
pub struct OpenStream {
    /// Status and headers for the caller.
    pub response_head: ResponseHead,
    /// Ended when the stream is complete or abandoned.
    pub attempt: RunningAttempt,
    /// The part of the stream that has not been read yet.
    pub body: Incoming,
    /// The complete events read so far; none of them is relayed yet.
    pub first_events: Bytes,
    /// Holds the event identifiers seen and the start of an incomplete event.
    pub splitter: StreamEvents,
    /// Whether the runner closes the connection after the stream.
    pub closes_connection: bool,
}

/// A request in flight at a runner; dropping it stops the runner's work.
pub struct RunningAttempt {
    pub(crate) entry: Arc<Entry>,
    /// `None` once the end of the attempt is recorded.
    pub(crate) inflight: Option<InflightRequest>,
    pub(crate) conn: Option<RunnerConn>,
    /// Its place at a runner of a plain service.
    pub(crate) place: Option<HeldPlace>,
    /// `None` once the runner has read the prompt.
    pub(crate) prompt: Option<AnnouncedPrompt>,
    /// How long the runner keeps the idle connection; `None` if it does not say.
    pub(crate) idle_timeout: Option<Duration>,
}

impl RunningAttempt {
    /// Returns the runner's identifier; empty once the attempt has ended.
    pub fn runner(&self) -> &str {
        self.inflight
            .as_ref()
            .map_or("", |inflight| &inflight.runner)
    }

    /// Returns the start of the runner's incarnation, in milliseconds since the Unix epoch; `None` once the
    /// attempt has ended.
    pub fn born(&self) -> Option<u64> {
        self.inflight.as_ref().map(|inflight| inflight.born)
    }

    /// Ends the attempt; `reusable` says whether its connection can carry another request.
    pub fn finish(mut self, signal: HealthSignal, reusable: bool) {
        if let (HealthSignal::Success(_), Some(place)) = (&signal, &self.place) {
            place.record_success();
        }
        let conn = self.conn.take();
        if let (true, Some(conn), Some(inflight)) = (reusable, conn, &self.inflight) {
            let now = self.entry.now();
            self.entry.conns.put_idle(
                now,
                &inflight.runner,
                inflight.born,
                conn,
                self.idle_timeout,
            );
        }
        self.record_end(signal);
    }

    fn record_end(&mut self, signal: HealthSignal) {
        self.prompt = None;
        let Some(inflight) = self.inflight.take() else {
            return;
        };
        let now = self.entry.now();
        let mut state = self.entry.state();
        let state = &mut *state;
        state
            .fleet
            .end_request(now, inflight, signal, &mut state.rng);
    }
}

impl Drop for RunningAttempt {
    fn drop(&mut self) {
        self.record_end(HealthSignal::Neutral);
    }
}
