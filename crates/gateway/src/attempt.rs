//! A request at a runner, and the answers that it can end in.
//!
//! Invariants: each run is counted at its runner from its start to its end; dropping it ends it and
//! stops the runner's work.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use platform::runner::ResponseHead;
use serving::attempt::Outcome;
use serving::events::EventSplitter;
use serving::fleet::HealthSignal;
use serving::fleet::InflightRequest;

use crate::conns::RunnerConn;
use crate::entry::Entry;

/// An answer that can be delivered.
pub enum AttemptResponse {
    /// A whole answer.
    Complete(Box<ResponseHead>, Bytes),
    /// A stream whose first events are there.
    Stream(Box<OpenStream>),
}

/// An attempt without an answer that can be delivered.
#[derive(Debug)]
pub struct FailedAttempt {
    /// How it ended.
    pub outcome: Outcome,
    /// The failure that the runner answered, if it did.
    pub failure: Option<(Box<ResponseHead>, Bytes)>,
}

impl From<Outcome> for FailedAttempt {
    fn from(outcome: Outcome) -> Self {
        FailedAttempt {
            outcome,
            failure: None,
        }
    }
}

/// A stream in progress.
pub struct OpenStream {
    /// The head of the answer.
    pub response_head: ResponseHead,
    /// The request at its runner.
    pub attempt: RunningAttempt,
    /// The rest of the stream.
    pub body: Incoming,
    /// The events that arrived so far.
    pub first_events: Bytes,
    /// The state of the stream.
    pub splitter: EventSplitter,
    /// Whether the runner closes the connection after the stream.
    pub closes_connection: bool,
}

/// A request at a runner; dropping it stops the runner's work.
pub struct RunningAttempt {
    pub(crate) entry: Arc<Entry>,
    pub(crate) inflight: Option<InflightRequest>,
    pub(crate) conn: Option<RunnerConn>,
    pub(crate) idle_timeout: Option<Duration>,
}

impl RunningAttempt {
    /// Returns the runner.
    pub fn runner(&self) -> &str {
        self.inflight
            .as_ref()
            .map_or("", |inflight| &inflight.runner)
    }

    /// Ends the run; `keep` says whether the connection can carry another request.
    pub fn finish(mut self, signal: HealthSignal, reusable: bool) {
        let conn = self.conn.take();
        if let (true, Some(conn), Some(inflight)) = (reusable, conn, &self.inflight) {
            let now = self.entry.now();
            self.entry
                .conns
                .put_idle(now, &inflight.runner, conn, self.idle_timeout);
        }
        self.record_end(signal);
    }

    fn record_end(&mut self, signal: HealthSignal) {
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
