//! The ledger of attempts: what one agent incarnation ran and refused.
//!
//! Invariants: an attempt only moves forward, from queued to submitted to ended, or is refused
//! before its submission. A refusal is recorded before "not run" is reported to anyone, so that a
//! later dispatch of the same attempt finds it.

use std::collections::VecDeque;
use std::time::Duration;

use derive_more::Display;
use serde::Serialize;

use crate::collections::Map;
use crate::ids::Attempt;
use crate::ids::Incarnation;
use crate::ids::RequestId;
use crate::job::Job;
use crate::job::Outcome;
use crate::job::Refusal;
use crate::time::Time;

/// How long an ended attempt at a repeatable request is kept.
const RETENTION: Duration = Duration::from_secs(600);

/// The largest number of ended attempts at repeatable requests that are kept.
const MAX_RETAINED: usize = 65_536;

/// Identifies one attempt at one request.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[display("{request}#{attempt}")]
pub struct AttemptKey {
    /// The id by which agents know the request.
    pub request: RequestId,
    /// The number of the attempt, from 1.
    pub attempt: Attempt,
}

impl AttemptKey {
    /// Returns the key of the attempt that a job stands for.
    pub fn of(job: &Job) -> AttemptKey {
        AttemptKey {
            request: job.request,
            attempt: job.attempt,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Queued,
    Submitted,
    Ended(Outcome),
}

/// The answer to a dispatch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The attempt is new and may be queued.
    New,
    /// The attempt is known or refused, and must not be queued; holds its outcome.
    Seen(Outcome),
}

/// The attempts seen at one claimed request.
#[derive(Clone, Copy, Debug, Default)]
struct ClaimedRequest {
    highest: Attempt,
    /// Whether an attempt was submitted that may have run.
    submitted: bool,
}

/// The numbers of attempts by state, for the state dump.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct LedgerCounts {
    /// Attempts that wait for submission.
    pub queued: usize,
    /// Attempts submitted to the engine that have not ended.
    pub submitted: usize,
    /// Ended and refused attempts that are still kept.
    pub ended: usize,
    /// Claimed requests seen by this incarnation.
    pub claimed: usize,
}

/// The attempts of one incarnation.
#[derive(Clone, Debug)]
pub struct Ledger {
    own: Incarnation,
    states: Map<AttemptKey, State>,
    /// Never pruned, because a claimed request must not run twice in the life of the incarnation.
    claimed: Map<RequestId, ClaimedRequest>,
    /// Ended attempts at repeatable requests with the times of their ends, the oldest first.
    expiry: VecDeque<(Time, AttemptKey)>,
    queued: usize,
    submitted: usize,
}

impl Ledger {
    /// Returns the empty ledger of the incarnation `own`.
    pub fn new(own: Incarnation) -> Self {
        Ledger {
            own,
            states: Map::default(),
            claimed: Map::default(),
            expiry: VecDeque::new(),
            queued: 0,
            submitted: 0,
        }
    }

    /// Admits an attempt, or returns what is known of it. A claimed attempt is refused, and the
    /// refusal recorded, if the claim names another incarnation, if a higher attempt was seen, or if
    /// any attempt at the request was submitted here and may have run.
    pub fn admit(&mut self, now: Time, job: &Job) -> Admission {
        let key = AttemptKey::of(job);
        if let Some(state) = self.states.get(&key) {
            return Admission::Seen(outcome(*state));
        }
        if let Some(claim) = job.claim
            && !self.admit_claim(key, claim)
        {
            return Admission::Seen(self.refuse(now, key, true, Refusal::StaleClaim));
        }
        self.states.insert(key, State::Queued);
        self.queued += 1;
        Admission::New
    }

    /// Records the submission of a queued attempt and returns whether it may be submitted. Of the
    /// attempts at a claimed request, only the highest one seen may be submitted, and none after one
    /// that may have run.
    pub fn submit(&mut self, key: AttemptKey) -> bool {
        if self.states.get(&key) != Some(&State::Queued) {
            return false;
        }
        if let Some(request) = self.claimed.get_mut(&key.request) {
            if request.submitted || key.attempt < request.highest {
                return false;
            }
            request.submitted = true;
        }
        self.states.insert(key, State::Submitted);
        self.queued -= 1;
        self.submitted += 1;
        true
    }

    /// Refuses a queued or new attempt and returns its outcome. An attempt that was submitted or has
    /// ended stays as it is.
    pub fn refuse(
        &mut self,
        now: Time,
        key: AttemptKey,
        claimed: bool,
        reason: Refusal,
    ) -> Outcome {
        match self.states.get(&key) {
            None | Some(State::Queued) => {
                let outcome = Outcome::NotRun(reason);
                self.finish(now, key, claimed, outcome);
                outcome
            }
            Some(state) => outcome(*state),
        }
    }

    /// Records the end of a submitted attempt. If the engine certainly did not run it, a later
    /// attempt at the request may be submitted here.
    pub fn end(&mut self, now: Time, key: AttemptKey, claimed: bool, outcome: Outcome) {
        if self.states.get(&key) != Some(&State::Submitted) {
            return;
        }
        self.finish(now, key, claimed, outcome);
        if matches!(outcome, Outcome::NotRun(_))
            && let Some(request) = self.claimed.get_mut(&key.request)
        {
            request.submitted = false;
        }
    }

    /// Returns the outcome of an attempt. An attempt that was never seen is refused, so that it does
    /// not run if its dispatch arrives later.
    ///
    /// It is not known here whether such an attempt is claimed, so its refusal is kept for the
    /// lifetime of the incarnation.
    pub fn settle(&mut self, now: Time, key: AttemptKey) -> Outcome {
        match self.states.get(&key) {
            Some(state) => outcome(*state),
            None => self.refuse(now, key, true, Refusal::Settled),
        }
    }

    /// Returns the outcome of an attempt, or `None` if it was never seen or is forgotten.
    pub fn outcome(&self, key: AttemptKey) -> Option<Outcome> {
        self.states.get(&key).map(|state| outcome(*state))
    }

    /// Forgets ended attempts at repeatable requests that are older than the retention time, and the
    /// oldest ones above the retained number.
    pub fn prune(&mut self, now: Time) {
        while let Some((ended, key)) = self.expiry.front().copied() {
            let expired = now.since(ended) >= RETENTION;
            if !expired && self.expiry.len() <= MAX_RETAINED {
                break;
            }
            self.expiry.pop_front();
            self.states.remove(&key);
        }
    }

    /// Returns the numbers of attempts by state.
    pub fn counts(&self) -> LedgerCounts {
        LedgerCounts {
            queued: self.queued,
            submitted: self.submitted,
            ended: self.states.len() - self.queued - self.submitted,
            claimed: self.claimed.len(),
        }
    }

    /// Returns whether a claimed attempt may run here, and records it as seen.
    fn admit_claim(&mut self, key: AttemptKey, claim: Incarnation) -> bool {
        let request = self.claimed.entry(key.request).or_default();
        let stale = claim != self.own || key.attempt < request.highest || request.submitted;
        request.highest = request.highest.max(key.attempt);
        !stale
    }

    fn finish(&mut self, now: Time, key: AttemptKey, claimed: bool, outcome: Outcome) {
        match self.states.insert(key, State::Ended(outcome)) {
            Some(State::Queued) => self.queued -= 1,
            Some(State::Submitted) => self.submitted -= 1,
            Some(State::Ended(_)) | None => {}
        }
        if !claimed {
            self.expiry.push_back((now, key));
        }
    }
}

fn outcome(state: State) -> Outcome {
    match state {
        State::Queued | State::Submitted => Outcome::Pending,
        State::Ended(outcome) => outcome,
    }
}
