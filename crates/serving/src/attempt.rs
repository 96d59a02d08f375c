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

/// Maximum number of attempts at one request that end without an answer, or are given up, beside
/// another one.
const MAX_GIVEN_UP_ATTEMPTS: u32 = 3;

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
    /// The runner whose first attempt is the last that was begun. It was not tried if nothing is written.
    newly_tried: Option<Name>,
    unsent: u32,
    rejected: u32,
    may_have_run: bool,
    /// The number of attempts in progress: two while one that is silent is being replaced.
    in_progress: u32,
    /// A runner that was tried, and whose attempt ended in a rejection or beside another one. It may be
    /// tried again when no further runner may.
    reusable: Option<Name>,
    /// Number of attempts that were given up beside a silent one.
    given_up: u32,
}

impl Attempts {
    /// Creates the state of a request that was not sent yet and may be sent to at most
    /// `max_runners` runners; 0 counts as 1.
    pub fn new(kind: RouteKind, max_runners: u32) -> Self {
        Attempts {
            kind,
            max_runners: max_runners.max(1),
            tried: Vec::new(),
            newly_tried: None,
            unsent: 0,
            rejected: 0,
            may_have_run: false,
            in_progress: 0,
            reusable: None,
            given_up: 0,
        }
    }

    /// Returns the distinct runners that the request was sent to, in order of their first attempt.
    pub fn tried(&self) -> &[Name] {
        &self.tried
    }

    /// Returns the only runner that may still be tried, which is the one that can be used again or the last
    /// one, or `None` while the limit on the number of runners is not reached.
    pub fn only_runner(&self) -> Option<&Name> {
        if (self.tried.len() as u32) < self.max_runners {
            return None;
        }
        self.reusable.as_ref().or(self.tried.last())
    }

    /// Returns the runners that must not be tried again, even if no other runner is eligible.
    pub fn excluded(&self) -> &[Name] {
        if self.may_have_run() {
            &self.tried
        } else {
            &[]
        }
    }

    /// Returns whether a runner may have run the request, or may be running it.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run || self.in_progress > 0
    }

    /// Returns whether the request may be sent again after its only attempt has ended so, cannot be refused,
    /// and needs a retry of the budget.
    pub fn awaits_retry(&self, outcome: Outcome) -> bool {
        match outcome {
            Outcome::Unknown => self.kind.is_repeatable() && self.has_runner(),
            Outcome::NotRun => self.may_have_run && self.rejected < MAX_REJECTED_ATTEMPTS,
            // The runner's failure is an answer, and what was not sent needs no retry.
            Outcome::Failed | Outcome::NotSent => false,
        }
    }

    /// Returns whether a runner may still be tried after one that may have run the request.
    fn has_runner(&self) -> bool {
        self.only_runner().is_none() || self.reusable.is_some()
    }

    /// Returns whether a second attempt may be made beside one that is silent.
    pub fn may_replace(&self) -> bool {
        let may_repeat = self.kind.is_repeatable() && self.in_progress <= 1;
        may_repeat && self.has_runner() && self.is_within_limits()
    }

    /// Returns whether the next attempt beside a silent one is the last that may be given up.
    pub fn is_last_replacement(&self) -> bool {
        self.given_up + 1 >= MAX_GIVEN_UP_ATTEMPTS
    }

    /// Records that the only attempt in progress goes on, so that a later silence is a new one.
    pub fn record_progress(&mut self) {
        self.given_up = 0;
    }

    fn is_within_limits(&self) -> bool {
        self.unsent <= MAX_UNSENT_ATTEMPTS
            && self.rejected <= MAX_REJECTED_ATTEMPTS
            && self.given_up < MAX_GIVEN_UP_ATTEMPTS
    }

    /// Records that the request is about to be written to a runner.
    pub fn record_sent(&mut self, runner: &Name) {
        self.in_progress += 1;
        self.reusable.take_if(|reusable| reusable == runner);
        let is_new = !self.tried.contains(runner);
        self.newly_tried = is_new.then(|| runner.clone());
        if is_new {
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
        self.in_progress = self.in_progress.saturating_sub(1);
        let newly_tried = self.newly_tried.take();
        match outcome {
            Outcome::NotSent => {
                self.tried
                    .retain(|tried| newly_tried.as_ref() != Some(tried));
                self.after_not_sent()
            }
            Outcome::NotRun => self.after_not_run(take_retry),
            Outcome::Unknown => self.after_possible_run(NextStep::Fail, take_retry),
            Outcome::Failed => self.after_possible_run(NextStep::Relay, take_retry),
        }
    }

    /// Records the end of the attempt at `runner`, while another one goes on.
    pub fn record_ended_beside(&mut self, runner: &Name, outcome: Outcome) {
        self.in_progress = self.in_progress.saturating_sub(1);
        let newly_tried = self
            .newly_tried
            .take_if(|newly_tried| newly_tried == runner);
        if outcome == Outcome::NotSent && newly_tried.is_some() {
            self.tried.retain(|tried| tried != runner);
        } else {
            self.reusable = Some(runner.clone());
        }
        match outcome {
            Outcome::NotSent => self.unsent += 1,
            Outcome::NotRun => self.rejected += 1,
            Outcome::Unknown | Outcome::Failed => {
                self.may_have_run = true;
                self.given_up += 1;
            }
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
        self.reusable = self.tried.last().cloned();
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
        if !self.kind.is_repeatable() || !self.has_runner() || !take_retry() {
            return without_retry;
        }
        match self.only_runner() {
            Some(_) => NextStep::TrySame,
            None => NextStep::TryOther,
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
