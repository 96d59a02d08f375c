//! At-most-once execution: the claim on one non-repeatable request, as a state machine (design
//! page, section 5).
//!
//! A claim is a row of the table that names the one agent incarnation which may run an attempt.
//!
//! Invariants:
//!
//! * An attempt is dispatched only after the row that names its agent incarnation is confirmed,
//!   only by the claimant whose nonce the row carries, and only once.
//! * A further attempt needs proof that the previous one did not run: either a refusal recorded by
//!   the very incarnation that the row names, or that this claimant never sent the attempt.
//! * [`ClaimAction::Refuse`] is returned only if this claim dispatched no attempt that may run.
//!
//! The driver performs one action at a time and reports its result as the next event. It limits
//! each action by [`Claim::action_deadline`] and sends [`ClaimEvent::Expired`] if the action has no
//! result by then.

pub mod group;
mod row;

use std::time::Duration;

use derive_more::Display;
pub use row::ClaimRow;
pub use row::ClaimState;
pub use row::MAX_STORED_BODY_BYTES;
pub use row::StoredOutcome;

use crate::ids::Attempt;
use crate::ids::Incarnation;
use crate::ids::Name;
use crate::ids::RequestId;
use crate::job::Outcome;
use crate::job::Refusal;
use crate::time::Time;
use group::WriteResult;

/// The time limit for confirming a claim, from its start or from its last retry.
pub const CONFIRM_TIMEOUT: Duration = Duration::from_millis(800);
/// How long after the deadline the end of a dispatched attempt is still awaited: the agent ends an
/// attempt at the deadline, and its message still has to arrive.
pub const END_GRACE: Duration = Duration::from_millis(500);
/// The delay before a call to the table or to an agent is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// How often a row is read again after its agent said that the request ran, so that the entry that
/// has the answer gets time to store it.
const MAX_REREADS: u32 = 3;

/// The result of an action.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimEvent {
    /// An agent was picked for the attempt.
    Picked {
        /// The agent's endpoint.
        endpoint: Name,
        /// The agent's incarnation.
        agent: Incarnation,
    },
    /// The write of the row ended.
    Written(WriteResult),
    /// The row was read, with its version; `None` if it does not exist.
    RowRead(Option<(u64, ClaimRow)>),
    /// The row could not be read.
    ReadFailed,
    /// The dispatched attempt ended.
    Ended {
        /// What became of the attempt.
        outcome: Outcome,
        /// The incarnation that reports it.
        by: Incarnation,
    },
    /// The link to the agent was lost before the end of the dispatched attempt arrived.
    LinkLost {
        /// Whether the dispatch may have reached the agent.
        sent: bool,
    },
    /// The incarnation named in the row answered what became of the attempt.
    Settled(Outcome),
    /// The agent could not be asked.
    SettleFailed,
    /// The incarnation named in the row does not exist any more.
    AgentGone,
    /// The time of a [`ClaimAction::Wait`] has come.
    WaitElapsed,
    /// The action had no result before [`Claim::action_deadline`].
    Expired,
}

/// What the driver does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimAction {
    /// Pick an agent for the next attempt.
    Pick,
    /// Write the row if its version in the table is still the expected one.
    Commit {
        /// The new row.
        row: Box<ClaimRow>,
        /// The expected version; 0 means that the row must not exist.
        version: u64,
    },
    /// Read the row.
    Read,
    /// Wait until this time.
    Wait(Time),
    /// Ask the incarnation what became of the attempt. If it has not seen the attempt, it refuses it
    /// from then on.
    Settle(ClaimedAttempt),
    /// Dispatch the attempt to its incarnation.
    Dispatch(ClaimedAttempt),
    /// Answer with the stored outcome.
    Replay(Box<StoredOutcome>),
    /// The attempt was not run; [`Claim::retry`] claims the next one.
    NotRun(Refusal),
    /// Answer that the request was not run.
    Refuse(Reason),
    /// Answer that it is not known whether the request ran.
    Unknown,
    /// Answer that the request ran and its answer is not available.
    AnswerLost,
    /// Answer with the complete answer that the attempt ended with.
    Complete,
    /// Answer that the key was used with another body.
    Conflict,
    /// Answer that a request with the same key is in progress.
    InProgress,
}

/// Why a claim is refused.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Reason {
    /// The table service did not confirm the claim in time.
    #[display("the table service did not confirm the claim in time")]
    Storage,
}

/// An attempt and the only agent incarnation that may run it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimedAttempt {
    /// The id by which agents know the request.
    pub request: RequestId,
    /// The number of the attempt.
    pub attempt: Attempt,
    /// The agent's endpoint.
    pub endpoint: Name,
    /// The agent's incarnation.
    pub agent: Incarnation,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Picking,
    Writing,
    Reading,
    /// The agent is asked what became of another claimant's attempt.
    SettlingOther,
    Dispatched,
    /// The agent is asked what became of the attempt that this claim dispatched.
    SettlingOwn,
    Ended,
}

/// The claim on one request by one claimant, which is one call to one entry.
#[derive(Clone, Debug)]
pub struct Claim {
    digest: String,
    nonce: String,
    request: RequestId,
    attempt: Attempt,
    /// The version that the row is expected to have; 0 if it does not exist.
    version: u64,
    /// The row that is being written, was written or was read.
    row: Option<ClaimRow>,
    phase: Phase,
    /// Whether another claimant may have written the row, so that the request may have run.
    other_claimant: bool,
    /// Reads of the row since its agent said that the request ran; 0 if it did not say so.
    rereads: u32,
    /// The start of the claim or of its last retry.
    started: Time,
    deadline: Time,
}

impl Claim {
    /// Starts a claim. `digest` is the digest of the request's path and body, `nonce` a random
    /// number, and `deadline` the deadline of the request.
    pub fn new(
        now: Time,
        request: RequestId,
        digest: String,
        nonce: String,
        deadline: Time,
    ) -> (Claim, ClaimAction) {
        let claim = Claim {
            digest,
            nonce,
            request,
            attempt: 1,
            version: 0,
            row: None,
            phase: Phase::Picking,
            other_claimant: false,
            rereads: 0,
            started: now,
            deadline,
        };
        (claim, ClaimAction::Pick)
    }

    /// Returns the time limit of the current action.
    pub fn action_deadline(&self) -> Time {
        match self.phase {
            Phase::Dispatched | Phase::SettlingOwn => self.deadline.after(END_GRACE),
            _ => self.started.after(CONFIRM_TIMEOUT).min(self.deadline),
        }
    }

    /// Returns the id by which agents know the request. It changes when the claim continues from a
    /// row of an earlier call with the same key.
    pub fn request(&self) -> RequestId {
        self.request
    }

    /// Returns the number of the current attempt.
    pub fn attempt(&self) -> Attempt {
        self.attempt
    }

    /// Returns the name of the phase, for the dump.
    pub fn phase(&self) -> &'static str {
        match self.phase {
            Phase::Picking => "picking",
            Phase::Writing => "writing",
            Phase::Reading => "reading",
            Phase::SettlingOther => "settling another claimant's attempt",
            Phase::Dispatched => "dispatched",
            Phase::SettlingOwn => "settling",
            Phase::Ended => "ended",
        }
    }

    /// Handles an event and returns the next action.
    pub fn next(&mut self, now: Time, event: ClaimEvent) -> ClaimAction {
        let dispatched = matches!(self.phase, Phase::Dispatched | Phase::SettlingOwn);
        let late = event == ClaimEvent::Expired || now >= self.action_deadline();
        if late && !dispatched {
            return self.time_out(&event);
        }
        match event {
            ClaimEvent::Picked { endpoint, agent } => self.commit(endpoint, agent),
            ClaimEvent::Written(result) => self.on_written(now, result),
            ClaimEvent::RowRead(None) => self.commit_row(0),
            ClaimEvent::RowRead(Some((version, row))) => self.on_row_read(now, version, row),
            ClaimEvent::ReadFailed | ClaimEvent::SettleFailed => self.wait(now),
            ClaimEvent::WaitElapsed => self.repeat_action(),
            ClaimEvent::Ended { outcome, by } => self.on_ended(outcome, by),
            ClaimEvent::LinkLost { sent } => self.on_link_lost(sent),
            ClaimEvent::Settled(outcome) => self.on_settled(now, outcome),
            ClaimEvent::AgentGone => self.end(ClaimAction::Unknown),
            ClaimEvent::Expired => self.end(ClaimAction::Unknown),
        }
    }

    /// Starts the next attempt after [`ClaimAction::NotRun`].
    pub fn retry(&mut self, now: Time) -> ClaimAction {
        self.started = now;
        self.pick_next()
    }

    /// Returns the expected version and the new row of a write that records the outcome of the
    /// current attempt. Returns `None` if the row is not this claimant's or already has an outcome.
    pub fn outcome_write(
        &self,
        outcome: Outcome,
        answer: Option<StoredOutcome>,
    ) -> Option<(u64, ClaimRow)> {
        let row = self.row.as_ref()?;
        let own = row.nonce == self.nonce && row.state == ClaimState::Claimed && self.version > 0;
        own.then(|| (self.version, row.with_outcome(outcome, answer)))
    }

    fn commit(&mut self, endpoint: Name, agent: Incarnation) -> ClaimAction {
        let row = ClaimRow {
            digest: self.digest.clone(),
            request: self.request,
            attempt: self.attempt,
            endpoint,
            agent,
            nonce: self.nonce.clone(),
            state: ClaimState::Claimed,
            stored: None,
        };
        self.row = Some(row);
        self.commit_row(self.version)
    }

    /// Writes the current row. A repeated write must not change its content, because an earlier
    /// write of it may still take effect.
    fn commit_row(&mut self, version: u64) -> ClaimAction {
        let Some(row) = self.row.clone() else {
            return self.end(ClaimAction::Unknown);
        };
        self.version = version;
        self.phase = Phase::Writing;
        ClaimAction::Commit {
            row: Box::new(row),
            version,
        }
    }

    fn on_written(&mut self, now: Time, result: WriteResult) -> ClaimAction {
        match result {
            WriteResult::Committed(version) => {
                self.version = version;
                self.dispatch()
            }
            WriteResult::NotSent => self.wait(now),
            WriteResult::Conflict | WriteResult::Unknown => {
                self.other_claimant |= result == WriteResult::Conflict;
                self.phase = Phase::Reading;
                ClaimAction::Read
            }
        }
    }

    fn on_row_read(&mut self, now: Time, version: u64, row: ClaimRow) -> ClaimAction {
        if row.digest != self.digest {
            return self.end(ClaimAction::Conflict);
        }
        let own = row.nonce == self.nonce;
        self.other_claimant |= !own;
        let confirmed = own && row.attempt == self.attempt;
        let write_lost = own && row.attempt < self.attempt && version == self.version;
        match row.state {
            ClaimState::Done => self.replay(row),
            ClaimState::Claimed if confirmed => {
                self.version = version;
                self.row = Some(row);
                self.dispatch()
            }
            // The write of the current attempt was lost and has not taken effect.
            _ if write_lost => self.commit_row(version),
            ClaimState::Refused => {
                self.continue_from(version, row);
                self.pick_next()
            }
            ClaimState::Claimed => {
                self.continue_from(version, row);
                self.settle_other(now)
            }
        }
    }

    /// Continues from a row whose attempt this claim did not dispatch.
    fn continue_from(&mut self, version: u64, row: ClaimRow) {
        self.version = version;
        self.request = row.request;
        self.attempt = row.attempt;
        self.row = Some(row);
    }

    fn settle_other(&mut self, now: Time) -> ClaimAction {
        if self.rereads == 0 {
            self.phase = Phase::SettlingOther;
            return self.settle();
        }
        if self.rereads >= MAX_REREADS {
            return self.end(ClaimAction::AnswerLost);
        }
        self.rereads += 1;
        self.wait(now)
    }

    fn settle(&mut self) -> ClaimAction {
        match self.claimed_attempt() {
            Some(attempt) => ClaimAction::Settle(attempt),
            None => self.end(ClaimAction::Unknown),
        }
    }

    fn on_settled(&mut self, now: Time, outcome: Outcome) -> ClaimAction {
        let own = self.phase == Phase::SettlingOwn;
        match outcome {
            Outcome::NotRun(reason) if own => self.not_run(reason),
            Outcome::NotRun(_) => self.pick_next(),
            Outcome::Ran if own => self.end(ClaimAction::AnswerLost),
            Outcome::Ran => {
                self.rereads = 1;
                self.phase = Phase::Reading;
                ClaimAction::Read
            }
            Outcome::Pending if own => self.wait(now),
            Outcome::Pending => self.end(ClaimAction::InProgress),
            Outcome::Unknown => self.end(ClaimAction::Unknown),
        }
    }

    /// Starts the attempt after the one in the row, which is known not to run.
    fn pick_next(&mut self) -> ClaimAction {
        self.attempt += 1;
        self.other_claimant = false;
        self.rereads = 0;
        self.phase = Phase::Picking;
        ClaimAction::Pick
    }

    fn dispatch(&mut self) -> ClaimAction {
        let Some(attempt) = self.claimed_attempt() else {
            return self.end(ClaimAction::Unknown);
        };
        self.phase = Phase::Dispatched;
        ClaimAction::Dispatch(attempt)
    }

    fn on_ended(&mut self, outcome: Outcome, by: Incarnation) -> ClaimAction {
        // Only the incarnation named in the row knows that it did not run the attempt.
        let by_named_agent = self.row.as_ref().is_some_and(|row| row.agent == by);
        match outcome {
            _ if self.phase != Phase::Dispatched => self.end(ClaimAction::Unknown),
            Outcome::Ran => self.end(ClaimAction::Complete),
            // Another claimant asked about the attempt before the agent received it, and goes on
            // with the next attempt.
            Outcome::NotRun(Refusal::Settled) if by_named_agent => {
                self.end(ClaimAction::InProgress)
            }
            Outcome::NotRun(reason) if by_named_agent => self.not_run(reason),
            _ => self.end(ClaimAction::Unknown),
        }
    }

    fn on_link_lost(&mut self, sent: bool) -> ClaimAction {
        if !sent && self.phase == Phase::Dispatched {
            return self.not_run(Refusal::EngineDown);
        }
        self.phase = Phase::SettlingOwn;
        self.settle()
    }

    fn not_run(&mut self, reason: Refusal) -> ClaimAction {
        self.phase = Phase::Picking;
        ClaimAction::NotRun(reason)
    }

    fn wait(&mut self, now: Time) -> ClaimAction {
        ClaimAction::Wait(now.after(RETRY_DELAY).min(self.action_deadline()))
    }

    /// Repeats the action that failed before a [`ClaimAction::Wait`].
    fn repeat_action(&mut self) -> ClaimAction {
        match self.phase {
            Phase::Writing => self.commit_row(self.version),
            Phase::Reading => ClaimAction::Read,
            Phase::SettlingOther | Phase::SettlingOwn => self.settle(),
            Phase::Picking => ClaimAction::Pick,
            Phase::Dispatched | Phase::Ended => self.end(ClaimAction::Unknown),
        }
    }

    fn replay(&mut self, row: ClaimRow) -> ClaimAction {
        let action = match row.stored {
            Some(stored) if stored.outcome == Outcome::Ran && stored.body.is_some() => {
                ClaimAction::Replay(Box::new(stored))
            }
            Some(stored) if stored.outcome == Outcome::Ran => ClaimAction::AnswerLost,
            _ => ClaimAction::Unknown,
        };
        self.end(action)
    }

    /// Ends a claim whose attempt was not dispatched in time. Takes over the version of a write that
    /// was confirmed too late, so that the driver can record the refusal in the row.
    fn time_out(&mut self, event: &ClaimEvent) -> ClaimAction {
        if let ClaimEvent::Written(WriteResult::Committed(version)) = event {
            self.version = *version;
        }
        let action = match self.other_claimant {
            true => ClaimAction::Unknown,
            false => ClaimAction::Refuse(Reason::Storage),
        };
        self.end(action)
    }

    fn end(&mut self, action: ClaimAction) -> ClaimAction {
        self.phase = Phase::Ended;
        action
    }

    fn claimed_attempt(&self) -> Option<ClaimedAttempt> {
        let row = self.row.as_ref()?;
        Some(ClaimedAttempt {
            request: row.request,
            attempt: row.attempt,
            endpoint: row.endpoint.clone(),
            agent: row.agent,
        })
    }
}
