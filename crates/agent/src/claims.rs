//! The outcome of a claimed attempt in its claim row, for callers that come back after their entry
//! is gone.

use std::time::Duration;

use decision::claim::ClaimRow;
use decision::ids::Incarnation;
use decision::job::Outcome;
use decision::ledger::AttemptKey;
use edges::table::CommitResult;
use spdlog::warn;

use crate::external::ExternalServices;

/// The tries to write an outcome. Without it the row keeps naming this agent, which still answers
/// a settle as long as it runs.
const TRIES: u32 = 30;

/// The time between two tries.
const INTERVAL: Duration = Duration::from_secs(1);

/// Writes the outcome unless the row has ended or names another attempt.
pub(crate) async fn write_outcome(
    external: &ExternalServices,
    own: Incarnation,
    key: AttemptKey,
    row: &str,
    outcome: Outcome,
) {
    for _ in 0..TRIES {
        if try_write(external, own, key, row, outcome).await {
            return;
        }
        tokio::time::sleep(INTERVAL).await;
    }
    warn!("outcome of {key} could not be written to {row}");
}

/// Returns whether nothing is left to write.
async fn try_write(
    external: &ExternalServices,
    own: Incarnation,
    key: AttemptKey,
    row: &str,
    outcome: Outcome,
) -> bool {
    let held = match external.read_row(row).await {
        Ok(Some(held)) => held,
        Ok(None) => {
            warn!("claim row {row} of {key} is missing");
            return true;
        }
        Err(_) => return false,
    };
    let claim: ClaimRow = match serde_json::from_slice(&held.value) {
        Ok(claim) => claim,
        Err(err) => {
            warn!("claim row {row} is malformed: {err}");
            return true;
        }
    };
    let Some(ended) = claim.ended(key.request, key.attempt, own, outcome) else {
        return true;
    };
    let value = serde_json::to_vec(&ended).expect("a claim row is plain data");
    let commit = external
        .write_row(row.to_owned(), held.version, value)
        .await;
    matches!(commit, Ok(CommitResult::Committed(_)))
}
