//! Retry decisions for one request.
//!
//! Invariants: a request that must not run twice is sent again only if the runner reported that it
//! did not run it, or if none of it was written; one request is sent to at most `max_attempts`
//! runners; the caller is told that its request was not run only if no attempt may have run.

use crate::Name;
use crate::config::RouteKind;

/// Maximum number of attempts at one request that end before anything is written.
const MAX_UNSENT_ATTEMPTS: u32 = 4;
/// Maximum number of attempts at one request that runners reject.
const MAX_REJECTED_ATTEMPTS: u32 = 3;

/// Why an attempt yielded no response that can be passed to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// No part of the request was written to the connection.
    NotSent,
    /// The runner reported that it did not run the request.
    NotRun,
    /// The request was sent, and the runner may or may not have run it.
    Unknown,
    /// The runner ran the request and responded with a failure.
    Failed,
}

/// What to do after an attempt has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Send the request to a runner that was not tried yet.
    TryOther,
    /// Send the request to any runner, including those already tried.
    TryAny,
    /// Send the request again to the runner that was tried last.
    TrySame,
    /// Tell the caller that the request was not run.
    Refuse,
    /// Tell the caller that the outcome of the request is unknown.
    Fail,
    /// Pass the runner's failure response to the caller.
    Relay,
}

/// The attempts made at one request.
#[derive(Clone, Debug)]
pub struct Attempts {
    kind: RouteKind,
    max_runners: u32,
    tried: Vec<Name>,
    unsent: u32,
    rejected: u32,
    may_have_run: bool,
    /// Whether an attempt is in progress.
    in_progress: bool,
}

impl Attempts {
    /// Creates the state of a request that was not sent yet and may be sent to at most
    /// `max_runners` runners; 0 counts as 1.
    pub fn new(kind: RouteKind, max_runners: u32) -> Self {
        Attempts {
            kind,
            max_runners: max_runners.max(1),
            tried: Vec::new(),
            unsent: 0,
            rejected: 0,
            may_have_run: false,
            in_progress: false,
        }
    }

    /// Returns the distinct runners that the request was sent to, in order of their first attempt.
    pub fn tried(&self) -> &[Name] {
        &self.tried
    }

    /// Returns the only runner that may still be tried, which is the last one, or `None` while the
    /// limit on the number of runners is not reached.
    pub fn only_runner(&self) -> Option<&Name> {
        if (self.tried.len() as u32) < self.max_runners {
            return None;
        }
        self.tried.last()
    }

    /// Returns the runners that must not be tried again, even if no other runner is eligible.
    pub fn excluded(&self) -> &[Name] {
        if self.may_have_run { &self.tried } else { &[] }
    }

    /// Returns whether a runner may have run the request, or may be running it.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run || self.in_progress
    }

    /// Records that the request is about to be written to a runner.
    pub fn record_sent(&mut self, runner: &Name) {
        self.in_progress = true;
        if !self.tried.contains(runner) {
            self.tried.push(runner.clone());
        }
    }

    /// Records the end of an attempt and decides what follows. `take_retry` takes one retry from
    /// the retry budget and returns whether one was left; it is not called if no retry is possible.
    pub fn record_outcome(
        &mut self,
        outcome: Outcome,
        take_retry: impl FnOnce() -> bool,
    ) -> NextStep {
        self.in_progress = false;
        match outcome {
            Outcome::NotSent => self.after_not_sent(),
            Outcome::NotRun => self.after_not_run(take_retry),
            Outcome::Unknown => self.after_possible_run(NextStep::Fail, take_retry),
            Outcome::Failed => self.after_possible_run(NextStep::Relay, take_retry),
        }
    }

    fn after_not_sent(&mut self) -> NextStep {
        self.unsent += 1;
        if self.unsent > MAX_UNSENT_ATTEMPTS {
            return self.give_up();
        }
        self.try_any_or_same()
    }

    fn after_not_run(&mut self, take_retry: impl FnOnce() -> bool) -> NextStep {
        self.rejected += 1;
        if self.rejected > MAX_REJECTED_ATTEMPTS || !take_retry() {
            return self.give_up();
        }
        self.try_any_or_same()
    }

    fn after_possible_run(
        &mut self,
        without_retry: NextStep,
        take_retry: impl FnOnce() -> bool,
    ) -> NextStep {
        self.may_have_run = true;
        let may_retry = self.kind.is_repeatable() && self.only_runner().is_none();
        if may_retry && take_retry() {
            NextStep::TryOther
        } else {
            without_retry
        }
    }

    fn try_any_or_same(&self) -> NextStep {
        match self.only_runner() {
            Some(_) => NextStep::TrySame,
            None => NextStep::TryAny,
        }
    }

    /// Returns the final step for a request that is not sent again.
    fn give_up(&self) -> NextStep {
        if self.may_have_run {
            NextStep::Fail
        } else {
            NextStep::Refuse
        }
    }
}
