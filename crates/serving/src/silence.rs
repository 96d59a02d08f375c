//! Decides what follows when the answer to an attempt stays away.
//!
//! A sound runner may be silent for a second and go on. Silence is therefore no end of an attempt: it is
//! given up only for another one that is certain, and goes on while none is.
//!
//! Invariants: two attempts at a stream run at the same time for [`MAX_OVERLAP`] at most; a silent attempt
//! is given up only for one that has been answered, or if its runner answers other requests but not this one
//! and the last replacement is at a runner that lives.
//!
//! API boundary: an entry looks for a replacement when [`SilenceWatch::due_at`] says so, sends it beside the
//! silent attempt, and asks [`choose`] which of the two goes on.

use std::time::Duration;

use decision::time::Time;
use derive_more::Display;

use crate::config::RouteKind;

/// The longest time in which two runners work on one stream, as seen by the entry. The runner that is
/// given up stops when it sees its connection closed, and has to within 400 ms.
pub const MAX_OVERLAP: Duration = Duration::from_millis(250);
/// The pause after which a replacement is looked for again.
pub const RECHECK_INTERVAL: Duration = Duration::from_millis(200);
/// The time since a runner was last heard within which it is not silent itself.
pub const HEARD_PERIOD: Duration = Duration::from_millis(250);
/// The time that an answer may take before a replacement is looked for, as a multiple of the route's
/// latency goal.
const GOAL_FACTOR: f64 = 2.0;
/// As [`GOAL_FACTOR`], up to the first event of a stream.
const STREAM_GOAL_FACTOR: f64 = 1.4;
/// The lower bound of the time computed from these factors.
const MIN_PATIENCE: Duration = Duration::from_millis(250);
/// The gap in a stream after which a replacement is looked for, as a multiple of the route's goal for it.
const GAP_GOAL_FACTOR: f64 = 2.0;

/// Returns how long an answer may stay away before a replacement is looked for.
pub fn answer_patience(kind: RouteKind, goal: Duration) -> Duration {
    let factor = match kind {
        RouteKind::Stream { .. } => STREAM_GOAL_FACTOR,
        RouteKind::Idempotent | RouteKind::NonIdempotent => GOAL_FACTOR,
    };
    goal.mul_f64(factor).max(MIN_PATIENCE)
}

/// Returns how long the next event of a stream may stay away before a replacement is looked for.
pub fn event_patience(gap_goal: Duration) -> Duration {
    gap_goal.mul_f64(GAP_GOAL_FACTOR)
}

/// How long an attempt has been silent, and when a replacement was last looked for.
#[derive(Clone, Copy, Debug)]
pub struct SilenceWatch {
    since: Time,
    patience: Duration,
    checked_at: Option<Time>,
}

impl SilenceWatch {
    /// Starts to watch an attempt that was sent, or whose last event came, at `since`.
    pub fn new(since: Time, patience: Duration) -> SilenceWatch {
        SilenceWatch {
            since,
            patience,
            checked_at: None,
        }
    }

    /// Returns when a replacement is to be looked for.
    pub fn due_at(&self) -> Time {
        let due_at = self.since.after(self.patience);
        match self.checked_at {
            Some(checked_at) => due_at.max(checked_at.after(RECHECK_INTERVAL)),
            None => due_at,
        }
    }

    /// Returns since when the attempt is silent.
    pub fn since(&self) -> Time {
        self.since
    }

    /// Returns how long the attempt has been silent.
    pub fn silence(&self, now: Time) -> Duration {
        now.since(self.since)
    }

    /// Returns whether no replacement was looked for yet.
    pub fn is_first_check(&self) -> bool {
        self.checked_at.is_none()
    }

    /// Records that a replacement was looked for, without a result.
    pub fn record_check(&mut self, now: Time) {
        self.checked_at = Some(now);
    }

    /// Records an event.
    pub fn record_progress(&mut self, now: Time) {
        self.since = now;
        self.checked_at = None;
    }
}

/// What is silent.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum SilenceScope {
    /// The request alone: its runner has answered others lately.
    #[display("request")]
    Request,
    /// The runner: this entry has heard nothing of it lately.
    #[display("runner")]
    Runner,
}

/// Returns what is silent, given since when the attempt is and when its runner was last heard.
pub fn scope(now: Time, since: Time, heard_at: Option<Time>) -> SilenceScope {
    let is_heard = |heard_at: Time| {
        now.since(heard_at) < HEARD_PERIOD && heard_at >= since.after(HEARD_PERIOD)
    };
    match heard_at {
        Some(heard_at) if is_heard(heard_at) => SilenceScope::Request,
        _ => SilenceScope::Runner,
    }
}

/// Why a silent attempt goes on alone.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum KeepCause {
    /// The request may not be sent to another runner, or to no further one.
    #[display("no attempt left")]
    NoAttempt,
    /// The request's deadline is too near.
    #[display("no time left")]
    NoTime,
    /// The retry budget has nothing left for silent attempts.
    #[display("no retry left")]
    NoRetry,
    /// No runner can be chosen, or it has no room for the request.
    #[display("no runner")]
    NoRunner,
    /// The chosen runner cannot be reached.
    #[display("runner unreachable")]
    Unreachable,
    /// Runners may crash on the request.
    #[display("under suspicion")]
    Suspected,
    /// The entry stops before another runner could answer.
    #[display("entry stopping")]
    Stopping,
    /// The replacement has failed or was rejected.
    #[display("replacement failed")]
    ReplacementFailed,
    /// The replacement was not answered while both could go on.
    #[display("replacement silent")]
    ReplacementSilent,
}

/// Whether two runners may work on a request at the same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Handover {
    /// Until one of them has answered.
    Beside,
    /// For [`MAX_OVERLAP`].
    Exclusive,
}

impl Handover {
    /// Returns the handover for requests of this kind.
    pub fn of(kind: RouteKind) -> Handover {
        match kind {
            RouteKind::Stream { .. } => Handover::Exclusive,
            RouteKind::Idempotent | RouteKind::NonIdempotent => Handover::Beside,
        }
    }
}

/// Which of two attempts go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Both, until one is answered or this time.
    Both(Option<Time>),
    /// The silent one; the replacement is given up.
    Silent,
    /// The replacement; the silent one is given up.
    Replacement,
}

/// What is known of a silent attempt and of the one beside it.
#[derive(Clone, Copy, Debug)]
pub struct Rivals {
    /// What is silent of the first one.
    pub scope: SilenceScope,
    /// When the replacement was sent.
    pub sent_at: Time,
    /// When its runner was last heard, if ever.
    pub heard_at: Option<Time>,
    /// Whether no further replacement may be tried, or none would be answered sooner.
    pub is_last: bool,
}

impl Rivals {
    /// Returns whether the runner of the silent attempt answers others but not this one, while the other
    /// runner lives and has had its time.
    fn is_hung(&self) -> bool {
        let lives = self.heard_at.is_some_and(|at| at > self.sent_at);
        self.scope == SilenceScope::Request && lives && self.is_last
    }
}

/// Decides which of two attempts go on, as long as neither is answered.
pub fn choose(now: Time, handover: Handover, rivals: &Rivals) -> Choice {
    let until = rivals.sent_at.after(MAX_OVERLAP);
    match handover {
        Handover::Beside => Choice::Both(None),
        Handover::Exclusive if now < until => Choice::Both(Some(until)),
        Handover::Exclusive if rivals.is_hung() => Choice::Replacement,
        Handover::Exclusive => Choice::Silent,
    }
}

/// Returns whether reading a prompt takes a runner so long that its first event cannot come while both
/// attempts go on; `prefill` is its throughput in tokens per millisecond, 0 if unknown.
pub fn is_long_prompt(tokens: u32, prefill: u32) -> bool {
    let read_ms = tokens.checked_div(prefill).unwrap_or(0);
    Duration::from_millis(u64::from(read_ms)) >= MAX_OVERLAP / 2
}
