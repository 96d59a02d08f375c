//! Handles connections that runners without an engine reset: lets new ones settle, and pauses the opening
//! of further ones.
//!
//! Invariant: the locks of the entry's state and of the table of connections are never held at the same time.

use std::error::Error;
use std::io;
use std::time::Duration;

use decision::time::Time;
use serving::Name;
use serving::reconnect;
use spdlog::info;

use crate::answer::AnswerReader;
use crate::conns::RunnerConn;
use crate::dispatch::ActiveRequest;
use crate::entry::Entry;

/// A connection on which a runner has begun no answer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UnansweredConn {
    /// When opening it began.
    opened_at: Time,
    /// Whether it carried an earlier request.
    reused: bool,
}

impl From<&RunnerConn> for UnansweredConn {
    fn from(conn: &RunnerConn) -> Self {
        UnansweredConn {
            opened_at: conn.opened_at,
            reused: conn.reused,
        }
    }
}

/// Returns whether a connection has ended with a reset. A runner that crashes or gives up a request closes it
/// instead.
pub(crate) fn is_reset(error: &hyper::Error) -> bool {
    let cause = error.source();
    let cause = cause.and_then(|cause| cause.downcast_ref::<io::Error>());
    cause.is_some_and(|cause| cause.kind() == io::ErrorKind::ConnectionReset)
}

impl ActiveRequest {
    /// Returns how long the request waits until it is written to a connection. The check before the write
    /// sees a reset that has become visible by then.
    pub(crate) fn settle_time(&self, conn: &RunnerConn) -> Duration {
        let settles = !conn.reused && !self.route.kind.is_repeatable();
        if settles && !self.entry.state().has_engine(&self.service) {
            reconnect::settle_time(conn.connect_time)
        } else {
            Duration::ZERO
        }
    }

    /// Returns the runners to which no connection may be opened and which the request has no kept one to.
    pub(crate) fn paused_runners(&self, now: Time) -> Vec<Name> {
        let mut paused: Vec<(Name, u64)> = {
            let state = self.entry.state();
            let paused = state.reconnects.paused(now);
            paused
                .map(|(runner, born)| (runner.clone(), born))
                .collect()
        };
        let (conns, reuse) = (&self.entry.conns, self.reuse());
        paused.retain(|(runner, born)| !conns.has_idle(now, runner, *born, reuse));
        paused.into_iter().map(|(runner, _)| runner).collect()
    }
}

impl Entry {
    /// Returns whether a runner has an engine.
    pub(crate) fn has_engine(&self, runner: &str) -> bool {
        let state = self.state();
        let runner = state.fleet.get(runner);
        runner.is_some_and(|runner| state.has_engine(&runner.member.service))
    }

    /// Records that a runner without an engine has reset a connection, which was opened at `opened_at`,
    /// before an answer began.
    pub(crate) fn record_reset(&self, runner: &Name, born: u64, opened_at: Time) {
        let now = self.now();
        self.metrics.conn_resets.inc();
        let mut state = self.state();
        let until = state.reconnects.record_reset(now, runner, born, opened_at);
        state
            .concurrency
            .record_overload(now, runner, born, opened_at);
        drop(state);
        let pause_ms = until.since(now).as_millis() as u64;
        info!("connection reset by runner", kv: { runner = &**runner, born, pause_ms });
    }
}

impl AnswerReader {
    /// Records that the runner had no room for the request.
    pub(crate) fn record_overload(&self) {
        let now = self.entry.now();
        let mut state = self.entry.state();
        state
            .concurrency
            .record_overload(now, &self.runner, self.born, self.sent_at);
    }

    /// Records that the runner has closed a connection before an answer began; returns whether it has no
    /// room for the connection, which is no fault. A runner with an engine takes all of them.
    pub(crate) fn record_closed(&self, conn: UnansweredConn) -> bool {
        let is_reset = !conn.reused && !self.entry.has_engine(&self.runner);
        if is_reset {
            self.entry
                .record_reset(&self.runner, self.born, conn.opened_at);
        }
        is_reset
    }

    /// Records that an answer has begun on a connection.
    pub(crate) fn record_answer_begun(&self, conn: UnansweredConn) {
        let mut state = self.entry.state();
        state.reconnects.record_answer(&self.runner, conn.opened_at);
    }
}
