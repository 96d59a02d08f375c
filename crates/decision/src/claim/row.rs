//! The claim row of one non-repeatable request, shared by entries and agents.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Attempt;
use crate::ids::Incarnation;
use crate::ids::Name;
use crate::ids::RequestId;
use crate::job::Outcome;

/// The largest answer body that is stored for replay, in bytes.
pub const MAX_STORED_BODY_BYTES: usize = 16 * 1024;

/// The state of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ClaimState {
    /// The named agent may run the attempt or may have run it.
    Claimed,
    /// The request ran, or its outcome is unknown for good.
    Done,
    /// The attempt was not run and never will be; a further attempt may be claimed.
    Refused,
}

/// The stored outcome of a request that is done.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredOutcome {
    /// The outcome, `Ran` or `Unknown`.
    pub outcome: Outcome,
    /// The HTTP status of the answer.
    pub status: u16,
    /// The content type of the answer.
    pub content: String,
    /// The body of the answer, unless it was too large or not received.
    pub body: Option<String>,
    /// The receipt as JSON.
    pub receipt: Option<String>,
}

/// The row `claim/{workspace}/{key}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// The digest of the path and the body.
    pub digest: String,
    /// The request under which agents know it.
    pub request: RequestId,
    /// The attempt, from 1.
    pub attempt: Attempt,
    /// The endpoint.
    pub endpoint: Name,
    /// The one agent incarnation that may run the attempt.
    pub agent: Incarnation,
    /// A random number that tells one claimant's write from another's.
    pub nonce: String,
    /// The state.
    pub state: ClaimState,
    /// The outcome, once the state is `Done`.
    pub stored: Option<StoredOutcome>,
}

impl ClaimRow {
    /// Returns the key of the row.
    pub fn key(workspace: &str, key: &str) -> String {
        format!("claim/{workspace}/{key}")
    }

    /// Returns the row that records how the attempt ended, for the agent to write when the entry is
    /// gone. Returns `None` if the row names another attempt or agent, has ended already, or the
    /// outcome is still pending.
    pub fn ended(
        &self,
        request: RequestId,
        attempt: Attempt,
        agent: Incarnation,
        outcome: Outcome,
    ) -> Option<ClaimRow> {
        let named = (self.request, self.attempt, self.agent) == (request, attempt, agent);
        if !named || self.state != ClaimState::Claimed || outcome == Outcome::Pending {
            return None;
        }
        Some(self.with_outcome(outcome, None))
    }

    /// Returns the row with an outcome and, if there is one, the answer.
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
