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

use crate::conns::Conn;
use crate::entry::Entry;

/// An answer that can be delivered.
pub enum Opened {
    /// A whole answer.
    Whole(Box<ResponseHead>, Bytes),
    /// A stream whose first events are there.
    Live(Box<Live>),
}

/// An attempt without an answer that can be delivered.
#[derive(Debug)]
pub struct Missed {
    /// How it ended.
    pub outcome: Outcome,
    /// The failure that the runner answered, if it did.
    pub failure: Option<(Box<ResponseHead>, Bytes)>,
}

impl From<Outcome> for Missed {
    fn from(outcome: Outcome) -> Self {
        Missed {
            outcome,
            failure: None,
        }
    }
}

/// A stream in progress.
pub struct Live {
    /// The head of the answer.
    pub answer: ResponseHead,
    /// The request at its runner.
    pub run: Run,
    /// The rest of the stream.
    pub body: Incoming,
    /// The events that arrived so far.
    pub first: Bytes,
    /// The state of the stream.
    pub events: EventSplitter,
    /// Whether the runner closes the connection after the stream.
    pub closes: bool,
}

/// A request at a runner; dropping it stops the runner's work.
pub struct Run {
    pub(crate) entry: Arc<Entry>,
    pub(crate) lease: Option<InflightRequest>,
    pub(crate) conn: Option<Conn>,
    pub(crate) idle: Option<Duration>,
}

impl Run {
    /// Returns the runner.
    pub fn runner(&self) -> &str {
        self.lease.as_ref().map_or("", |lease| &lease.runner)
    }

    /// Ends the run; `keep` says whether the connection can carry another request.
    pub fn finish(mut self, end: HealthSignal, keep: bool) {
        let conn = self.conn.take();
        if let (true, Some(conn), Some(lease)) = (keep, conn, &self.lease) {
            let now = self.entry.now();
            self.entry.conns.keep(now, &lease.runner, conn, self.idle);
        }
        self.end(end);
    }

    fn end(&mut self, end: HealthSignal) {
        let Some(lease) = self.lease.take() else {
            return;
        };
        let now = self.entry.now();
        let mut state = self.entry.state();
        let state = &mut *state;
        state.fleet.end_request(now, lease, end, &mut state.rng);
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        self.end(HealthSignal::Neutral);
    }
}
