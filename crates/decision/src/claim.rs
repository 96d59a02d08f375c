//! At most once: the claim of one non-repeatable request as a state machine (design page,
//! section 5).
//!
//! Invariants: an attempt is dispatched only after the row that names its agent incarnation is
//! confirmed, by the claimant whose nonce the row carries, and once; a further attempt needs proof
//! that the one before did not run, which is the refusal recorded by the very incarnation that the
//! row names, or that the claimant itself never sent it; [`ClaimAction::Refuse`] is returned only
//! if this claim dispatched no attempt that may run.
//!
//! The driver performs one action at a time and reports its result as the next event. It bounds
//! each action by [`Claim::action_deadline`] and sends [`ClaimEvent::Expired`] if that time comes first.

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

/// The time after which a claim that is not confirmed is given up.
pub const CONFIRM_TIMEOUT: Duration = Duration::from_millis(800);
/// The time after its deadline in which a dispatched attempt's end is still awaited; the agent ends
/// an attempt at the deadline and its word still has to arrive.
pub const END_GRACE: Duration = Duration::from_millis(500);
/// The pause before a table call or a settle is repeated.
const PAUSE: Duration = Duration::from_millis(50);
/// Further reads of a row whose agent says that the request ran, so that the entry which has the
/// answer can store it.
const MAX_REREADS: u32 = 3;

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimEvent {
    /// An agent was picked.
    Picked {
        /// The endpoint.
        endpoint: Name,
        /// The agent's incarnation.
        agent: Incarnation,
    },
    /// The write ended.
    Written(WriteResult),
    /// The row was read, with its version; `None` if it does not exist.
    RowRead(Option<(u64, ClaimRow)>),
    /// The row could not be read.
    ReadFailed,
    /// The dispatched attempt ended. `by` is the incarnation that says so.
    Ended {
        /// The outcome.
        outcome: Outcome,
        /// The incarnation.
        by: Incarnation,
    },
    /// The dispatched attempt's end was lost; `sent` says whether it may have reached the agent.
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
    WaitElapsed,
    /// The time bound of the action passed.
    Expired,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimAction {
    /// Pick an agent for the next attempt.
    Pick,
    /// Write the row if it has this version; 0 means if it does not exist.
    Commit {
        /// The row.
        row: Box<ClaimRow>,
        /// The version.
        version: u64,
    },
    /// Read the row.
    Read,
    /// Pause until this time.
    Wait(Time),
    /// Ask the named incarnation what became of an attempt.
    Settle(ClaimedAttempt),
    /// Dispatch the attempt to the named incarnation.
    Dispatch(ClaimedAttempt),
    /// Answer with the stored outcome.
    Replay(Box<StoredOutcome>),
    /// The attempt was not run; another one may be claimed with [`Claim::retry`].
    NotRun(Refusal),
    /// Answer that the request was not run.
    Refuse(Reason),
    /// Answer that it is not known whether the request ran.
    Unknown,
    /// Answer that the request ran and its answer is not available.
    AnswerLost,
    /// Answer that the attempt ended with its whole answer.
    Completed,
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

/// An attempt and the one agent incarnation that may run it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimedAttempt {
    /// The request under which agents know it.
    pub request: RequestId,
    /// The attempt.
    pub attempt: Attempt,
    /// The endpoint.
    pub endpoint: Name,
    /// The agent's incarnation.
    pub agent: Incarnation,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// An agent is being picked.
    Picking,
    /// The row is being written.
    Writing,
    /// The row is being read.
    Reading,
    /// Another claimant's attempt is being settled.
    SettlingOther,
    /// The attempt is dispatched.
    Dispatched,
    /// The own attempt is being settled.
    SettlingOwn,
    /// The claim has ended.
    Ended,
}

/// The claim of one request by one claimant.
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
    /// Whether another claimant's row was seen, so that the request may have run.
    foreign: bool,
    rereads: u32,
    begun: Time,
    deadline: Time,
}

impl Claim {
    /// Begins a claim. `nonce` is a random number; `deadline` is that of the request.
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
            foreign: false,
            rereads: 0,
            begun: now,
            deadline,
        };
        (claim, ClaimAction::Pick)
    }

    /// Returns the time that bounds the present action.
    pub fn action_deadline(&self) -> Time {
        match self.phase {
            Phase::Dispatched | Phase::SettlingOwn => self.deadline.after(END_GRACE),
            _ => self.begun.after(CONFIRM_TIMEOUT).min(self.deadline),
        }
    }

    /// Returns the request under which agents know it; a retry takes over the one of the row.
    pub fn request(&self) -> RequestId {
        self.request
    }

    /// Returns the present attempt.
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

    /// Takes an event and returns what to do next.
    pub fn next(&mut self, now: Time, event: ClaimEvent) -> ClaimAction {
        let dispatched = matches!(self.phase, Phase::Dispatched | Phase::SettlingOwn);
        let late = event == ClaimEvent::Expired || now >= self.action_deadline();
        if late && !dispatched {
            return self.give_up(&event);
        }
        match event {
            ClaimEvent::Picked { endpoint, agent } => self.commit(endpoint, agent),
            ClaimEvent::Written(result) => self.written(now, result),
            ClaimEvent::RowRead(None) => self.commit_again(0),
            ClaimEvent::RowRead(Some((version, row))) => self.row_read(now, version, row),
            ClaimEvent::ReadFailed | ClaimEvent::SettleFailed => self.pause(now),
            ClaimEvent::WaitElapsed => self.resume(),
            ClaimEvent::Ended { outcome, by } => self.ended(outcome, by),
            ClaimEvent::LinkLost { sent } => self.link_lost(sent),
            ClaimEvent::Settled(outcome) => self.settled(now, outcome),
            ClaimEvent::AgentGone => self.end(ClaimAction::Unknown),
            ClaimEvent::Expired => self.end(ClaimAction::Unknown),
        }
    }

    /// Begins the next attempt after [`ClaimAction::NotRun`].
    pub fn retry(&mut self, now: Time) -> ClaimAction {
        self.begun = now;
        self.pick_next()
    }

    /// Returns the write that records the outcome of the present attempt in the row, if the row is
    /// this claimant's.
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
        self.commit_again(self.version)
    }

    /// Writes the same row again. Its content must not change: an earlier write of it may still
    /// take effect.
    fn commit_again(&mut self, version: u64) -> ClaimAction {
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

    fn written(&mut self, now: Time, result: WriteResult) -> ClaimAction {
        match result {
            WriteResult::Committed(version) => {
                self.version = version;
                self.dispatch()
            }
            WriteResult::NotSent => self.pause(now),
            WriteResult::Conflict | WriteResult::Unknown => {
                self.foreign |= result == WriteResult::Conflict;
                self.phase = Phase::Reading;
                ClaimAction::Read
            }
        }
    }

    fn row_read(&mut self, now: Time, version: u64, row: ClaimRow) -> ClaimAction {
        if row.digest != self.digest {
            return self.end(ClaimAction::Conflict);
        }
        let own = row.nonce == self.nonce;
        self.foreign |= !own;
        let written = own && row.attempt == self.attempt;
        let pending = own && row.attempt < self.attempt && version == self.version;
        match row.state {
            ClaimState::Done => self.replay(row),
            ClaimState::Claimed if written => {
                self.version = version;
                self.row = Some(row);
                self.dispatch()
            }
            // The write of the next attempt was lost and has not taken effect.
            _ if pending => self.commit_again(version),
            ClaimState::Refused => {
                self.adopt(version, row);
                self.pick_next()
            }
            ClaimState::Claimed => {
                self.adopt(version, row);
                self.settle_other(now)
            }
        }
    }

    /// Takes over a row that names an attempt which this claim did not dispatch.
    fn adopt(&mut self, version: u64, row: ClaimRow) {
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
        self.pause(now)
    }

    fn settle(&mut self) -> ClaimAction {
        match self.named() {
            Some(named) => ClaimAction::Settle(named),
            None => self.end(ClaimAction::Unknown),
        }
    }

    fn settled(&mut self, now: Time, outcome: Outcome) -> ClaimAction {
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
            Outcome::Pending if own => self.pause(now),
            Outcome::Pending => self.end(ClaimAction::InProgress),
            Outcome::Unknown => self.end(ClaimAction::Unknown),
        }
    }

    /// Claims the attempt after the one in the row, whose refusal is proven.
    fn pick_next(&mut self) -> ClaimAction {
        self.attempt += 1;
        self.foreign = false;
        self.rereads = 0;
        self.phase = Phase::Picking;
        ClaimAction::Pick
    }

    fn dispatch(&mut self) -> ClaimAction {
        let Some(named) = self.named() else {
            return self.end(ClaimAction::Unknown);
        };
        self.phase = Phase::Dispatched;
        ClaimAction::Dispatch(named)
    }

    fn ended(&mut self, outcome: Outcome, by: Incarnation) -> ClaimAction {
        // Only the named incarnation knows whether it ran the attempt.
        let named = self.row.as_ref().is_some_and(|row| row.agent == by);
        match outcome {
            _ if self.phase != Phase::Dispatched => self.end(ClaimAction::Unknown),
            Outcome::Ran => self.end(ClaimAction::Completed),
            Outcome::NotRun(reason) if named => self.not_run(reason),
            _ => self.end(ClaimAction::Unknown),
        }
    }

    fn link_lost(&mut self, sent: bool) -> ClaimAction {
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

    fn pause(&mut self, now: Time) -> ClaimAction {
        ClaimAction::Wait(now.after(PAUSE).min(self.action_deadline()))
    }

    /// Repeats the step before a pause.
    fn resume(&mut self) -> ClaimAction {
        match self.phase {
            Phase::Writing => self.commit_again(self.version),
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

    /// Ends a claim that was not dispatched in time. A write that was confirmed too late is noted,
    /// so that the driver can record the refusal.
    fn give_up(&mut self, event: &ClaimEvent) -> ClaimAction {
        if let ClaimEvent::Written(WriteResult::Committed(version)) = event {
            self.version = *version;
        }
        let action = match self.foreign {
            true => ClaimAction::Unknown,
            false => ClaimAction::Refuse(Reason::Storage),
        };
        self.end(action)
    }

    fn end(&mut self, action: ClaimAction) -> ClaimAction {
        self.phase = Phase::Ended;
        action
    }

    fn named(&self) -> Option<ClaimedAttempt> {
        let row = self.row.as_ref()?;
        Some(ClaimedAttempt {
            request: row.request,
            attempt: row.attempt,
            endpoint: row.endpoint.clone(),
            agent: row.agent,
        })
    }
}
