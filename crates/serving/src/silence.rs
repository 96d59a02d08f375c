//! Decides what follows when the answer to an attempt stays away.
//!
//! A sound runner may be silent for a second and go on. Silence is therefore no end of an attempt: it is
//! given up only for another one that is certain, and goes on while none is.
//!
//! Invariants: two attempts at a stream run at the same time for [`MAX_OVERLAP`] at most; a silent attempt
//! is given up only for one that has been answered.
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

/// Returns what is silent, given when the runner was last heard.
pub fn scope(now: Time, heard_at: Option<Time>) -> SilenceScope {
    match heard_at {
        Some(heard_at) if now.since(heard_at) < HEARD_PERIOD => SilenceScope::Request,
        _ => SilenceScope::Runner,
    }
}

/// Why a silent attempt goes on alone.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum KeepCause {
    /// The request may not be sent to another runner, or to no further one.
    #[display("no attempt left")]
    NoAttempt,
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
}

/// Decides which of two attempts go on, as long as neither is answered; the replacement was sent at
/// `sent_at`.
pub fn choose(now: Time, handover: Handover, sent_at: Time) -> Choice {
    let until = sent_at.after(MAX_OVERLAP);
    match handover {
        Handover::Beside => Choice::Both(None),
        Handover::Exclusive if now < until => Choice::Both(Some(until)),
        Handover::Exclusive => Choice::Silent,
    }
}
