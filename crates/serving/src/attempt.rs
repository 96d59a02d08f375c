//! What follows when an attempt at a request has ended.
//!
//! Invariants: a request that may run once is sent again only if the runner said that it did not
//! run it, or if nothing of it was written; one request is sent to at most `max_attempts` runners;
//! a refusal is answered only if no attempt may have run.

use crate::Name;
use crate::config::RouteKind;

/// The most attempts of one request that ended before anything was written.
const MAX_UNSENT: u32 = 4;
/// The most attempts of one request that a runner turned away.
const MAX_TURNED_AWAY: u32 = 3;

/// How an attempt ended without an answer that can be delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Nothing of the request was written.
    NotSent,
    /// The runner said that it did not run the request.
    NotRun,
    /// The request was sent, and its outcome is unknown.
    Unknown,
    /// The runner ran it and answered with a failure.
    Failed,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Send it to a runner that was not tried yet.
    TryOther,
    /// Send it to any runner, tried ones included.
    TryAny,
    /// Send it once more to the runner that was tried last.
    TrySame,
    /// Answer that it was not run.
    Refuse,
    /// Answer that its outcome is unknown.
    Fail,
    /// Deliver the failure that the runner answered.
    Relay,
}

/// The attempts at one request.
#[derive(Clone, Debug)]
pub struct Attempts {
    kind: RouteKind,
    max: u32,
    tried: Vec<Name>,
    unsent: u32,
    turned_away: u32,
    may_have_run: bool,
}

impl Attempts {
    /// Starts without an attempt.
    pub fn new(kind: RouteKind, max: u32) -> Self {
        Attempts {
            kind,
            max: max.max(1),
            tried: Vec::new(),
            unsent: 0,
            turned_away: 0,
            may_have_run: false,
        }
    }

    /// Returns the runners that the request was sent to.
    pub fn tried(&self) -> &[Name] {
        &self.tried
    }

    /// Returns the only runner that may still be tried, once `max_attempts` runners were tried.
    pub fn only_runner(&self) -> Option<&Name> {
        if (self.tried.len() as u32) < self.max {
            return None;
        }
        self.tried.last()
    }

    /// Returns the runners that must not be asked again, even if no other one is fit.
    pub fn excluded(&self) -> &[Name] {
        if self.may_have_run { &self.tried } else { &[] }
    }

    /// Returns whether an attempt may have run.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Notes that the request is about to be written to a runner.
    pub fn record_sent(&mut self, runner: &Name) {
        if !self.tried.contains(runner) {
            self.tried.push(runner.clone());
        }
    }

    /// Notes the end of an attempt and decides what follows. `budget` takes one second attempt
    /// from the budget and returns whether there was one.
    pub fn record_outcome(&mut self, outcome: Outcome, budget: impl FnOnce() -> bool) -> NextStep {
        match outcome {
            Outcome::NotSent => self.not_sent(),
            Outcome::NotRun => self.not_run(budget),
            Outcome::Unknown => self.ran(NextStep::Fail, budget),
            Outcome::Failed => self.ran(NextStep::Relay, budget),
        }
    }

    fn not_sent(&mut self) -> NextStep {
        self.unsent += 1;
        if self.unsent > MAX_UNSENT {
            return self.give_up();
        }
        self.any_or_same()
    }

    fn not_run(&mut self, budget: impl FnOnce() -> bool) -> NextStep {
        self.turned_away += 1;
        if self.turned_away > MAX_TURNED_AWAY || !budget() {
            return self.give_up();
        }
        self.any_or_same()
    }

    fn ran(&mut self, otherwise: NextStep, budget: impl FnOnce() -> bool) -> NextStep {
        self.may_have_run = true;
        let allowed = self.kind.is_repeatable() && self.only_runner().is_none();
        if allowed && budget() {
            NextStep::TryOther
        } else {
            otherwise
        }
    }

    fn any_or_same(&self) -> NextStep {
        match self.only_runner() {
            Some(_) => NextStep::TrySame,
            None => NextStep::TryAny,
        }
    }

    /// Returns the answer for a request that is not sent again.
    fn give_up(&self) -> NextStep {
        if self.may_have_run {
            NextStep::Fail
        } else {
            NextStep::Refuse
        }
    }
}
