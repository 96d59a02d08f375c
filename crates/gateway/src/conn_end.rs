//! Why the connections of callers end: the cause, its log line and its counter.
//!
//! Invariants: each connection that was served is counted once; the ends that a caller expects, by its own
//! close or one that both sides announced, get no line.

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

/// Why a caller's connection ended.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
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
            Driven::Ended(None) => ConnEnd::CallerLeft,
            Driven::Ended(Some(Err(error))) if error.is_parse() => ConnEnd::Malformed,
            Driven::Ended(Some(Err(_))) => ConnEnd::Broken,
            Driven::Ended(Some(Ok(()))) if agreed => ConnEnd::Agreed,
            Driven::Ended(Some(Ok(()))) if usage.has_ended => ConnEnd::Caller,
            Driven::Ended(Some(Ok(()))) if stopping => ConnEnd::Stopping,
            Driven::Ended(Some(Ok(()))) => ConnEnd::BodyUnread,
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
        let now = Instant::now();
        let usage = caller.usage();
        let idle_since = self.clock.time(usage.idle_since);
        let limit = self.state().conn_limits.idle_limit(idle_since);
        info!("caller connection ended", kv: {
            cause = cause.as_str(), unread = caller.has_unread(), requests = usage.requests,
            age_ms = (now - usage.opened_at).as_millis() as u64,
            idle_ms = (now - usage.idle_since).as_millis() as u64, limit_ms = limit.as_millis() as u64
        });
    }
}
