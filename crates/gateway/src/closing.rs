//! The connections of callers that are being closed in stages ([`::process::linger`]).
//!
//! Invariants: a close holds up neither a stop nor a new connection: it ends [`LAST_CLOSE_PERIOD`] after the stop,
//! and at once when its place is needed.
//!
//! API boundary: `server` closes each connection with [`Closings::close`], and asks for room before it turns a new
//! one away.

use std::sync::Arc;
use std::time::Duration;

use ::process::caller::CallerConn;
use spdlog::info;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::conn_end::ConnEnd;
use crate::entry::Entry;
use crate::line_limits::LineCause;

/// How long after the stop a caller may go on sending on a connection that is being closed.
const LAST_CLOSE_PERIOD: Duration = Duration::from_millis(500);

/// All connections that are being closed.
#[derive(Clone, Debug)]
pub(crate) struct Closings {
    pub(crate) stop: CancellationToken,
    /// Has a token for each of them.
    tokens: TaskTracker,
    /// Notified when their places are needed.
    room_needed: Arc<Notify>,
}

impl Closings {
    pub(crate) fn new(stop: CancellationToken) -> Closings {
        Closings {
            stop,
            tokens: TaskTracker::new(),
            room_needed: Arc::default(),
        }
    }

    /// Ends all closes if they take the place of a new connection beside `open` others, themselves included. Returns
    /// whether there is room for it.
    pub(crate) fn make_room(&self, open: usize, limit: usize) -> bool {
        if open < limit {
            return true;
        }
        self.room_needed.notify_waiters();
        open - self.tokens.len().min(open) < limit
    }

    /// Closes a connection so that its caller can read the last answer, if that may still be on its way.
    pub(crate) async fn close(&self, entry: &Entry, caller: &CallerConn, end: ConnEnd) {
        if !end.follows_answer(caller.usage().idle_since.elapsed()) {
            return;
        }
        let _token = self.tokens.token();
        let stopped = async {
            self.stop.cancelled().await;
            tokio::time::sleep(LAST_CLOSE_PERIOD).await;
        };
        let closed = tokio::select! {
            closed = caller.close() => closed,
            () = stopped => None,
            () = self.room_needed.notified() => None,
        };
        let Some(closed) = closed.filter(|closed| closed.bytes > 0) else {
            return;
        };
        let Some(omitted) = entry.lines.admit(entry.now(), LineCause::Close(end)) else {
            return;
        };
        let (cause, close, bytes) = (end.to_string(), closed.end.to_string(), closed.bytes);
        info!("bytes dropped at a close", kv: { cause = cause.as_str(), bytes, close = close.as_str(), omitted });
    }
}
