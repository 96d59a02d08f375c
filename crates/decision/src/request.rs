//! One request from arrival to answer, driven by a process, a test or a simulator.
//!
//! Invariants: a request is resolved once; only a repeatable request is attempted again without
//! proof that the attempt before did not run, and none after its first byte reached the caller; an
//! answer that is not whole ends in a [`Problem`].
//!
//! The driver performs one [`Step`] at a time, bounded by [`Request::step_deadline`], and reports its
//! result as the next [`Event`].

mod verdict;

use std::time::Duration;

use crate::claim::Claim;
use crate::claim::ClaimAction;
use crate::claim::ClaimEvent;
use crate::claim::ClaimRow;
use crate::claim::ClaimedAttempt;
use crate::claim::END_GRACE;
use crate::claim::StoredOutcome;
use crate::claim::group::WriteResult;
use crate::ids::Attempt;
use crate::ids::Incarnation;
use crate::ids::Priority;
use crate::ids::RequestId;
use crate::job::End;
use crate::job::Job;
use crate::job::Outcome;
use crate::job::Refusal;
use crate::job::Target;
use crate::placement::EndpointId;
use crate::placement::Pick;
use crate::placement::PickArgs;
use crate::placement::PickError;
use crate::problem::Code;
use crate::problem::Problem;
use crate::problem::Ran;
use crate::retry::RetryBudget;
use crate::retry::next_attempt_time;
use crate::route::Resolved;
use crate::time::Time;
pub use verdict::endpoint_outcome;

/// Attempts at one request, the first included.
const MAX_ATTEMPTS: u32 = 4;
/// The time after which a retry makes sense when no endpoint takes the request.
const NO_PLACE_AFTER: Duration = Duration::from_secs(1);

/// A request as it arrived and was resolved.
#[derive(Clone, Debug)]
pub struct RequestSpec {
    /// The identifier that the caller gave or the entry drew.
    pub request: RequestId,
    /// What it was resolved to.
    pub resolved: Resolved,
    /// The class, which the caller may have lowered.
    pub priority: Priority,
    /// The deadline, which the caller may have shortened.
    pub deadline: Time,
    /// The HTTP path of the engine or service call.
    pub path: String,
    /// Whether the answer is a stream of server-sent events.
    pub stream: bool,
    /// A hash of the prompt prefix; 0 if unknown.
    pub prefix: u64,
    /// For a non-repeatable request, its claim.
    pub claim: Option<ClaimKey>,
}

/// Under which key and for which body a request is claimed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimKey {
    /// The key of the row.
    pub row: String,
    /// The digest of the path and the body.
    pub digest: String,
    /// A random number.
    pub nonce: String,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// An endpoint was picked, or none could be.
    Picked(Result<Pick, PickError>),
    /// The write of the claim row ended.
    Written(WriteResult),
    /// The claim row was read, with its version; `None` if it does not exist.
    Row(Option<(u64, ClaimRow)>),
    /// The claim row could not be read.
    ReadFailed,
    /// The attempt ended.
    Ended(Box<End>),
    /// The link to the agent broke before the end; `sent` says whether the dispatch may have
    /// reached the agent.
    LinkLost {
        /// Whether the dispatch may have reached the agent.
        sent: bool,
    },
    /// The named incarnation told what became of the attempt.
    Settled(Outcome),
    /// The agent could not be asked.
    SettleFailed,
    /// The named incarnation is gone.
    AgentGone,
    /// A pause is over.
    Woke,
    /// The time bound of the step passed.
    Expired,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Pick an endpoint for [`Request::pick_args`].
    Pick,
    /// Write the claim row if it has this version; 0 means if it does not exist.
    Commit {
        /// The row.
        row: Box<ClaimRow>,
        /// The version.
        version: u64,
    },
    /// Read the claim row.
    Read,
    /// Ask the named incarnation what became of an attempt.
    Settle(ClaimedAttempt),
    /// Pause until this time.
    Wait(Time),
    /// Dispatch [`Request::job`] to the picked endpoint.
    Dispatch,
    /// Answer the caller; nothing follows.
    Answer(Answer),
}

/// The answer to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The attempt's answer, which is whole.
    Complete,
    /// The stored answer of an earlier run.
    Replay(Box<StoredOutcome>),
    /// An error.
    Failed(Problem),
}

/// The decisions on one request.
#[derive(Clone, Debug)]
pub struct Request {
    arrival: RequestSpec,
    claim: Option<Claim>,
    attempt: Attempt,
    tried: Vec<EndpointId>,
    pick: Option<Pick>,
    /// Whether an attempt is at an agent.
    dispatched: bool,
    /// Whether a byte of the answer was sent to the caller.
    began: bool,
    /// Whether the pause in progress is the one before a retry.
    backoff: bool,
    /// Whether an attempt may have run.
    exposed: bool,
    /// The problem of the last attempt.
    last: Option<Problem>,
}

impl Request {
    /// Begins a request. Its first step is always [`Step::Pick`].
    pub fn new(now: Time, arrival: RequestSpec, budget: &mut RetryBudget) -> (Request, Step) {
        budget.deposit();
        let claim = arrival.claim.as_ref().map(|key| {
            let (digest, nonce) = (key.digest.clone(), key.nonce.clone());
            Claim::new(now, arrival.request, digest, nonce, arrival.deadline).0
        });
        let request = Request {
            arrival,
            claim,
            attempt: 1,
            tried: Vec::new(),
            pick: None,
            dispatched: false,
            began: false,
            backoff: false,
            exposed: false,
            last: None,
        };
        (request, Step::Pick)
    }

    /// Returns the request as it arrived.
    pub fn spec(&self) -> &RequestSpec {
        &self.arrival
    }

    /// Returns the claim, if the request is not repeatable.
    pub fn claim(&self) -> Option<&Claim> {
        self.claim.as_ref()
    }

    /// Returns the endpoint of the present or last attempt.
    pub fn pick(&self) -> Option<&Pick> {
        self.pick.as_ref()
    }

    /// Returns the number of the present attempt.
    pub fn attempt(&self) -> Attempt {
        self.claim.as_ref().map_or(self.attempt, Claim::attempt)
    }

    /// Returns the request under which agents know it.
    pub fn request_id(&self) -> RequestId {
        let claim = self.claim.as_ref();
        claim.map_or(self.arrival.request, Claim::request)
    }

    /// Notes that a byte of the answer was sent to the caller; no attempt follows.
    pub fn mark_response_started(&mut self) {
        self.began = true;
    }

    /// Returns the time that bounds the present step.
    pub fn step_deadline(&self) -> Time {
        if self.backoff {
            return self.arrival.deadline;
        }
        match &self.claim {
            Some(claim) => claim.action_deadline(),
            None if self.dispatched => self.arrival.deadline.after(END_GRACE),
            None => self.arrival.deadline,
        }
    }

    /// Returns what the pick is to look for.
    pub fn pick_args(&self) -> PickArgs<'_> {
        let choice = &self.arrival.resolved.choice;
        let version = match &choice.target {
            Target::Version { name, .. } => Some(name),
            Target::Model(_) | Target::Service(_) => None,
        };
        PickArgs {
            request: self.arrival.request,
            pool: &choice.pool,
            version,
            prefix: self.arrival.prefix,
            tried: &self.tried,
            repeatable: self.claim.is_none(),
        }
    }

    /// Returns the job of the present attempt.
    pub fn job(&self, now: Time) -> Job {
        let arrival = &self.arrival;
        let resolved = &arrival.resolved;
        let claimed = self.claim.is_some();
        let agent = self
            .pick
            .as_ref()
            .map_or(Incarnation(0), |pick| pick.incarnation);
        Job {
            request: self.request_id(),
            attempt: self.attempt(),
            head: resolved.head.clone(),
            workspace: resolved.route.workspace.clone(),
            route: resolved.route.name.clone(),
            target: resolved.choice.target.clone(),
            priority: arrival.priority,
            left: arrival.deadline.since(now),
            claim: claimed.then_some(agent),
            row: arrival.claim.as_ref().map(|key| key.row.clone()),
            path: arrival.path.clone(),
            stream: arrival.stream,
            prefix: arrival.prefix,
        }
    }

    /// Returns the write that records an outcome in the claim row, if the row is this request's.
    pub fn record(
        &self,
        outcome: Outcome,
        answer: Option<StoredOutcome>,
    ) -> Option<(u64, ClaimRow)> {
        self.claim.as_ref()?.outcome_write(outcome, answer)
    }

    /// Takes an event and returns what to do next.
    pub fn next(
        &mut self,
        now: Time,
        rng: &mut fastrand::Rng,
        budget: &mut RetryBudget,
        event: Event,
    ) -> Step {
        if std::mem::take(&mut self.backoff) {
            return match event {
                Event::Woke => self.next_try(now),
                _ => self.fail_last(),
            };
        }
        let next = match event {
            Event::Picked(Err(reason)) => Next::Step(self.no_place(reason)),
            Event::Picked(Ok(pick)) => self.picked(now, pick),
            event if self.claim.is_some() => self.next_claimed(now, event),
            event => self.next_repeatable(event),
        };
        match next {
            Next::Step(step) => step,
            Next::Retry => self.retry(now, rng, budget),
        }
    }

    fn picked(&mut self, now: Time, pick: Pick) -> Next {
        let event = ClaimEvent::Picked {
            endpoint: pick.name.clone(),
            agent: pick.incarnation,
        };
        self.pick = Some(pick);
        match &mut self.claim {
            Some(claim) => {
                let action = claim.next(now, event);
                self.claim_step(action, None)
            }
            None => Next::Step(self.dispatch()),
        }
    }

    fn dispatch(&mut self) -> Step {
        if let Some(pick) = &self.pick {
            self.tried.push(pick.endpoint);
        }
        self.dispatched = true;
        Step::Dispatch
    }

    fn next_repeatable(&mut self, event: Event) -> Next {
        let dispatched = std::mem::take(&mut self.dispatched);
        match event {
            Event::Ended(end) => self.ended_repeatable(&end),
            Event::LinkLost { sent } => {
                self.exposed |= sent;
                self.last = Some(verdict::link_problem(self.ran()));
                Next::Retry
            }
            _ => {
                self.exposed |= dispatched;
                Next::Step(self.fail(verdict::deadline_problem(self.ran())))
            }
        }
    }

    fn ended_repeatable(&mut self, end: &End) -> Next {
        if end.outcome == Outcome::Ran && end.failure.is_none() {
            return Next::Step(Step::Answer(Answer::Complete));
        }
        self.exposed |= !matches!(end.outcome, Outcome::NotRun(_));
        self.last = Some(verdict::problem_of(end, self.ran()));
        match verdict::is_retryable(end) {
            true => Next::Retry,
            false => Next::Step(self.fail_last()),
        }
    }

    fn next_claimed(&mut self, now: Time, event: Event) -> Next {
        let mut failed = None;
        let event = match event {
            Event::Picked(_) => ClaimEvent::Expired,
            Event::Written(result) => ClaimEvent::Written(result),
            Event::Row(row) => ClaimEvent::RowRead(row),
            Event::ReadFailed => ClaimEvent::ReadFailed,
            Event::Ended(end) => {
                let (outcome, by) = (end.outcome, end.incarnation);
                failed = Some(end);
                ClaimEvent::Ended { outcome, by }
            }
            Event::LinkLost { sent } => ClaimEvent::LinkLost { sent },
            Event::Settled(outcome) => ClaimEvent::Settled(outcome),
            Event::SettleFailed => ClaimEvent::SettleFailed,
            Event::AgentGone => ClaimEvent::AgentGone,
            Event::Woke => ClaimEvent::WaitElapsed,
            Event::Expired => ClaimEvent::Expired,
        };
        let Some(claim) = &mut self.claim else {
            return Next::Step(self.fail_last());
        };
        let action = claim.next(now, event);
        self.claim_step(action, failed.as_deref())
    }

    fn claim_step(&mut self, action: ClaimAction, end: Option<&End>) -> Next {
        let step = match action {
            ClaimAction::Pick => Step::Pick,
            ClaimAction::Commit { row, version } => Step::Commit { row, version },
            ClaimAction::Read => Step::Read,
            ClaimAction::Wait(until) => Step::Wait(until),
            ClaimAction::Settle(named) => Step::Settle(named),
            ClaimAction::Dispatch(_) => self.dispatch(),
            ClaimAction::Replay(stored) => Step::Answer(Answer::Replay(stored)),
            ClaimAction::NotRun(reason) => return self.refused(reason, end),
            ClaimAction::Completed => match end {
                Some(end) if end.failure.is_some() => {
                    let ran = if self.began { Ran::Yes } else { Ran::Unknown };
                    self.fail(verdict::problem_of(end, ran))
                }
                _ => Step::Answer(Answer::Complete),
            },
            ClaimAction::Unknown => match end {
                Some(end) if end.failure.is_some() => {
                    self.fail(verdict::problem_of(end, Ran::Unknown))
                }
                _ => self.fail(verdict::claim_problem(&ClaimAction::Unknown)),
            },
            other => self.fail(verdict::claim_problem(&other)),
        };
        Next::Step(step)
    }

    /// Handles a refusal that is proof; the next attempt names another agent.
    fn refused(&mut self, reason: Refusal, end: Option<&End>) -> Next {
        let problem = match end {
            Some(end) => verdict::problem_of(end, Ran::No),
            None => verdict::refusal_problem(reason, None),
        };
        self.last = Some(problem);
        match verdict::is_retryable_refusal(reason) {
            true => Next::Retry,
            false => Next::Step(self.fail_last()),
        }
    }

    fn retry(&mut self, now: Time, rng: &mut fastrand::Rng, budget: &mut RetryBudget) -> Step {
        let failed = self.tried.len() as u32;
        if self.began || failed >= MAX_ATTEMPTS {
            return self.fail_last();
        }
        let Some(start) = next_attempt_time(now, self.arrival.deadline, failed, rng) else {
            return self.fail_last();
        };
        if !budget.withdraw() {
            return self.fail_last();
        }
        self.backoff = true;
        Step::Wait(start)
    }

    fn next_try(&mut self, now: Time) -> Step {
        match &mut self.claim {
            Some(claim) => {
                claim.retry(now);
            }
            None => self.attempt += 1,
        }
        Step::Pick
    }

    fn no_place(&mut self, reason: PickError) -> Step {
        if self.last.is_some() {
            return self.fail_last();
        }
        let problem = Problem::new(Code::NoEndpoint, self.ran(), reason.to_string());
        self.fail(problem.retry_after(NO_PLACE_AFTER))
    }

    /// Returns whether the request ran, as far as the attempts so far show it.
    fn ran(&self) -> Ran {
        if self.exposed { Ran::Unknown } else { Ran::No }
    }

    fn fail_last(&mut self) -> Step {
        let last = self.last.take();
        let problem = last.unwrap_or_else(|| verdict::deadline_problem(self.ran()));
        self.fail(problem)
    }

    fn fail(&self, problem: Problem) -> Step {
        Step::Answer(Answer::Failed(problem))
    }
}

enum Next {
    Step(Step),
    Retry,
}
