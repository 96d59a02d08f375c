//! Limits the log lines that callers and other writers of the membership cause.
//!
//! Invariants: each cause has a limit of its own, so that many lines of one cause hide no other; counters
//! count what is left out.

use std::sync::Mutex;

use decision::collections::Map;
use decision::time::Time;
use serving::line_limit::LineLimit;

use crate::conn_end::ConnEnd;
use crate::membership::UnusedCause;
use crate::recover::lock;
use crate::request_body::BodyError;
use crate::unread::Rest;

/// What a limited line is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum LineCause {
    /// A new connection found no place.
    NoPlace,
    /// A connection ended.
    ConnEnd(ConnEnd),
    /// A body could not be read.
    Body(BodyError),
    /// A request was answered before its body.
    Rest(Rest),
    /// A connection was read while it was closed.
    Close(ConnEnd),
    /// The head of a request was malformed.
    Head,
    /// A request had no key of a tenant.
    UnknownKey,
    /// A record of the membership is not used.
    Record(UnusedCause),
    /// The entry has turned to another agent for tokens.
    QuotaAgent,
    /// A runner has gained or lost its address to another one.
    Address,
}

/// The lines of all causes.
#[derive(Debug, Default)]
pub struct LineLimits(Mutex<Map<LineCause, LineLimit>>);

impl LineLimits {
    /// Returns how many lines of this cause were left out since the last one; `None` if this one is left out too.
    pub(crate) fn admit(&self, now: Time, cause: LineCause) -> Option<u64> {
        lock(&self.0).entry(cause).or_default().admit(now)
    }
}
