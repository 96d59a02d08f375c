//! The ledger of attempts: what this incarnation ran and refused.
//!
//! An attempt moves only forward: queued, submitted, ended; or refused before submission. A refusal
//! is in the ledger before anyone is told "not run", so that a later dispatch of the same attempt
//! finds it.

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

/// The time for which an ended attempt at a repeatable request is kept.
const RETENTION: Duration = Duration::from_secs(600);

/// The most ended attempts at repeatable requests that are kept.
const RETAINED: usize = 65_536;

/// One attempt at one request.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[display("{request}#{attempt}")]
pub struct AttemptKey {
    /// The request.
    pub request: RequestId,
    /// The attempt, from 1.
    pub attempt: Attempt,
}

impl AttemptKey {
    /// Returns the attempt that a job is.
    pub fn of(job: &Job) -> AttemptKey {
        AttemptKey {
            request: job.request,
            attempt: job.attempt,
        }
    }
}

/// The state of one attempt.
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
    /// The attempt was seen before; it is not queued again.
    Seen(Outcome),
}

/// What the ledger knows of one claimed request.
#[derive(Clone, Copy, Debug, Default)]
struct Claimed {
    highest: Attempt,
    submitted: bool,
}

/// Numbers of attempts by state, for the dump.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct LedgerCounts {
    /// Attempts that wait.
    pub queued: usize,
    /// Attempts at the engine.
    pub submitted: usize,
    /// Ended attempts that are still kept.
    pub ended: usize,
    /// Claimed requests seen by this incarnation.
    pub claimed: usize,
}

/// The attempts of one incarnation.
#[derive(Clone, Debug)]
pub struct Ledger {
    own: Incarnation,
    states: Map<AttemptKey, State>,
    claimed: Map<RequestId, Claimed>,
    expiry: VecDeque<(Time, AttemptKey)>,
    queued: usize,
    submitted: usize,
}

impl Ledger {
    /// Returns an empty ledger of the incarnation.
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

    /// Admits an attempt or says what is known of it. A claimed attempt is refused, and the refusal
    /// recorded, if the claim names another incarnation, if a higher attempt was seen, or if the
    /// request was submitted here at any attempt.
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

    /// Records the submission of a queued attempt; returns whether it may be submitted. Of a
    /// claimed request one attempt at most is submitted, and none below the highest one seen.
    pub fn submit(&mut self, key: AttemptKey) -> bool {
        if self.states.get(&key) != Some(&State::Queued) {
            return false;
        }
        if let Some(claimed) = self.claimed.get_mut(&key.request) {
            if claimed.submitted || key.attempt < claimed.highest {
                return false;
            }
            claimed.submitted = true;
        }
        self.states.insert(key, State::Submitted);
        self.queued -= 1;
        self.submitted += 1;
        true
    }

    /// Records that a queued or new attempt is not run, and returns its outcome. An attempt that
    /// was submitted or has ended stays as it is.
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

    /// Records the end of a submitted attempt. If the engine certainly did not run it, a higher
    /// attempt at the request may be submitted here.
    pub fn end(&mut self, now: Time, key: AttemptKey, claimed: bool, outcome: Outcome) {
        if self.states.get(&key) != Some(&State::Submitted) {
            return;
        }
        self.finish(now, key, claimed, outcome);
        if matches!(outcome, Outcome::NotRun(_))
            && let Some(known) = self.claimed.get_mut(&key.request)
        {
            known.submitted = false;
        }
    }

    /// Tells what became of an attempt; one never seen is recorded as refused first.
    ///
    /// The caller does not say whether the attempt is claimed, so that a refusal made here is kept
    /// for the lifetime of the incarnation.
    pub fn settle(&mut self, now: Time, key: AttemptKey) -> Outcome {
        match self.states.get(&key) {
            Some(state) => outcome(*state),
            None => self.refuse(now, key, true, Refusal::Settled),
        }
    }

    /// Returns what is known of an attempt.
    pub fn outcome(&self, key: AttemptKey) -> Option<Outcome> {
        self.states.get(&key).map(|state| outcome(*state))
    }

    /// Forgets ended attempts at repeatable requests after the retention time.
    pub fn prune(&mut self, now: Time) {
        while let Some((ended, key)) = self.expiry.front().copied() {
            let old = now.since(ended) >= RETENTION;
            if !old && self.expiry.len() <= RETAINED {
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

    fn admit_claim(&mut self, key: AttemptKey, claim: Incarnation) -> bool {
        let known = self.claimed.entry(key.request).or_default();
        let stale = claim != self.own || key.attempt < known.highest || known.submitted;
        known.highest = known.highest.max(key.attempt);
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
