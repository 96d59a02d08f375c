//! The row of the table that holds the claim on one non-repeatable request. Entries and agents both
//! read and write it.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Attempt;
use crate::ids::Incarnation;
use crate::ids::Name;
use crate::ids::RequestId;
use crate::job::Outcome;

/// The largest answer body that is stored for replay, in bytes.
pub const MAX_STORED_BODY_BYTES: usize = 16 * 1024;

/// Whether a claimed request may still run, or how it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ClaimState {
    /// The agent named in the row may run the attempt or may have run it.
    Claimed,
    /// The request ran, or it will never be known whether it did.
    Done,
    /// The attempt did not run and never will; the next attempt may be claimed.
    Refused,
}

/// The stored outcome of a request that is done.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredOutcome {
    /// Either `Ran` or `Unknown`.
    pub outcome: Outcome,
    /// The HTTP status of the answer; 0 if no answer was stored.
    pub status: u16,
    /// The content type of the answer; empty if no answer was stored.
    pub content: String,
    /// The body of the answer; `None` if it exceeds [`MAX_STORED_BODY_BYTES`] or was not received.
    pub body: Option<String>,
    /// The receipt of the answer as JSON.
    pub receipt: Option<String>,
}

/// The value of the row `claim/{workspace}/{key}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// The digest of the request's path and body.
    pub digest: String,
    /// The id by which agents know the request.
    pub request: RequestId,
    /// The number of the attempt, from 1.
    pub attempt: Attempt,
    /// The endpoint of the agent.
    pub endpoint: Name,
    /// The only agent incarnation that may run the attempt.
    pub agent: Incarnation,
    /// A random number that distinguishes one claimant's writes from another's.
    pub nonce: String,
    /// What is known of the attempt.
    pub state: ClaimState,
    /// The outcome; `Some` once the state is `Done`.
    pub stored: Option<StoredOutcome>,
}

impl ClaimRow {
    /// Returns the key of the row for a caller's idempotency key.
    pub fn key(workspace: &str, key: &str) -> String {
        format!("claim/{workspace}/{key}")
    }

    /// Returns the row that records the end of the attempt, for the agent to write when the entry
    /// is gone. Returns `None` if the row names another attempt or agent, if it already has an
    /// outcome, or if `outcome` is still pending.
    pub fn ended(
        &self,
        request: RequestId,
        attempt: Attempt,
        agent: Incarnation,
        outcome: Outcome,
    ) -> Option<ClaimRow> {
        let matches = (self.request, self.attempt, self.agent) == (request, attempt, agent);
        if !matches || self.state != ClaimState::Claimed || outcome == Outcome::Pending {
            return None;
        }
        Some(self.with_outcome(outcome, None))
    }

    /// Returns the row with an outcome and, if available, the answer.
    pub(super) fn with_outcome(&self, outcome: Outcome, answer: Option<StoredOutcome>) -> ClaimRow {
        let mut row = self.clone();
        if matches!(outcome, Outcome::NotRun(_)) {
            row.state = ClaimState::Refused;
            return row;
        }
        row.state = ClaimState::Done;
        row.stored = Some(answer.unwrap_or(StoredOutcome {
            outcome,
            status: 0,
            content: String::new(),
            body: None,
            receipt: None,
        }));
        row
    }
}
