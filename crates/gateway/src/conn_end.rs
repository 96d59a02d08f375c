//! Why the connections of callers end: the cause, its log line and its counter.
//!
//! Invariants: each connection that was served is counted once, unless the end of a stop aborts it; the ends that a caller expects, by its own
//! close or one that both sides announced, get no line.

use std::time::Duration;

use ::process::caller::CallerConn;
use ::process::caller::Usage;
use derive_more::Display;
use hyper::HeaderMap;
use hyper::Version;
use hyper::header;
use spdlog::info;
use tokio::time::Instant;

use crate::entry::Entry;
use crate::idle::Driven;
use crate::line_limits::LineCause;

/// How long an answer may be on its way to its caller.
const ANSWER_PERIOD: Duration = Duration::from_millis(200);

/// Why a caller's connection ended.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub(crate) enum ConnEnd {
    /// The caller closed it between two requests.
    #[display("closed by the caller")]
    Caller,
    /// The caller closed it while its request was in progress.
    #[display("caller left")]
    CallerLeft,
    /// A request or its response said that it is the last one.
    #[display("agreed")]
    Agreed,
    /// No request came within the idle timeout.
    #[display("idle timeout")]
    IdleTimeout,
    /// A request began and its head did not come in time.
    #[display("head timeout")]
    HeadTimeout,
    /// The caller took no part of a response for too long.
    #[display("write stalled")]
    Stalled,
    /// Others needed its memory or its place.
    #[display("evicted")]
    Evicted,
    /// The entry stops, and no request came in its last moments.
    #[display("stopping")]
    Stopping,
    /// A response ended before the body of its request was read.
    #[display("body unread")]
    BodyUnread,
    /// The caller sent bytes that are no request, or a head over its limit.
    #[display("malformed")]
    Malformed,
    /// The connection broke.
    #[display("broken")]
    Broken,
}

impl ConnEnd {
    /// Derives the cause. `agreed` tells whether either side said that the last request closes the
    /// connection.
    pub(crate) fn new(driven: Driven, usage: &Usage, agreed: bool, stopping: bool) -> ConnEnd {
        match driven {
            Driven::Idle => ConnEnd::IdleTimeout,
            Driven::SlowHead => ConnEnd::HeadTimeout,
            Driven::Stalled => ConnEnd::Stalled,
            Driven::Evicted => ConnEnd::Evicted,
            Driven::Ended(None) => ConnEnd::CallerLeft,
            Driven::Ended(Some(Err(error))) if error.is_parse() => ConnEnd::Malformed,
            Driven::Ended(Some(Err(_))) => ConnEnd::Broken,
            Driven::Ended(Some(Ok(()))) if agreed => ConnEnd::Agreed,
            Driven::Ended(Some(Ok(()))) if usage.has_ended => ConnEnd::Caller,
            Driven::Ended(Some(Ok(()))) if stopping => ConnEnd::Stopping,
            Driven::Ended(Some(Ok(()))) => ConnEnd::BodyUnread,
        }
    }

    /// Returns whether the entry's last answer may still be on its way, with no request in progress for so long.
    /// Nothing is on its way after a while, and a request that crosses the close then has to stay unread: its
    /// caller may repeat it.
    pub(crate) fn follows_answer(self, idle: Duration) -> bool {
        match self {
            ConnEnd::Agreed | ConnEnd::BodyUnread | ConnEnd::Malformed | ConnEnd::Stalled => true,
            ConnEnd::IdleTimeout | ConnEnd::HeadTimeout | ConnEnd::Evicted | ConnEnd::Stopping => {
                idle < ANSWER_PERIOD
            }
            ConnEnd::Caller | ConnEnd::CallerLeft | ConnEnd::Broken => false,
        }
    }
}

/// Returns whether a message says that it is the last one on its connection.
pub(crate) fn says_close(version: Version, headers: &HeaderMap) -> bool {
    let mut options = headers
        .get_all(header::CONNECTION)
        .iter()
        .flat_map(|value| value.to_str().unwrap_or_default().split(','))
        .map(str::trim);
    if version < Version::HTTP_11 {
        return !options.any(|option| option.eq_ignore_ascii_case("keep-alive"));
    }
    options.any(|option| option.eq_ignore_ascii_case("close"))
}

impl Entry {
    /// Logs and counts the end of a caller's connection.
    pub(crate) fn record_conn_end(&self, end: ConnEnd, caller: &CallerConn) {
        let cause = end.to_string();
        let ends = &self.metrics.caller_ends;
        ends.with_label_values(&[cause.as_str()]).inc();
        if matches!(end, ConnEnd::Caller | ConnEnd::CallerLeft | ConnEnd::Agreed) {
            return;
        }
        let Some(omitted) = self.lines.admit(self.now(), LineCause::ConnEnd(end)) else {
            return;
        };
        let now = Instant::now();
        let usage = caller.usage();
        let idle_since = self.clock.time(usage.idle_since);
        let limit = self.state().conn_limits.idle_limit(idle_since);
        info!("caller connection ended", kv: {
            cause = cause.as_str(), unread = caller.has_unread(), requests = usage.requests,
            age_ms = (now - usage.opened_at).as_millis() as u64,
            idle_ms = (now - usage.idle_since).as_millis() as u64, limit_ms = limit.as_millis() as u64, omitted
        });
    }
}
