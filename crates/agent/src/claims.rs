//! Writes the outcomes of claimed attempts to their claim rows, so that callers can retry after the
//! entry that dispatched the attempt is gone.

use std::time::Duration;

use decision::claim::ClaimRow;
use decision::ids::Incarnation;
use decision::job::Outcome;
use decision::ledger::AttemptKey;
use edges::table::CommitResult;
use spdlog::warn;

use crate::external::ExternalServices;

/// How many times a write is tried. If all tries fail, the row still names this agent, which answers
/// settle calls for as long as it runs.
const MAX_TRIES: u32 = 30;

const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Writes the outcome unless the row already has one or names another attempt. Gives up after
/// [`MAX_TRIES`] tries.
pub(crate) async fn write_outcome(
    external: &ExternalServices,
    incarnation: Incarnation,
    key: AttemptKey,
    row: &str,
    outcome: Outcome,
) {
    for _ in 0..MAX_TRIES {
        if try_write(external, incarnation, key, row, outcome).await {
            return;
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
    warn!("outcome of {key} was not written to {row} in {MAX_TRIES} tries");
}

/// Returns whether no further try is needed.
async fn try_write(
    external: &ExternalServices,
    incarnation: Incarnation,
    key: AttemptKey,
    row: &str,
    outcome: Outcome,
) -> bool {
    let current = match external.read_row(row).await {
        Ok(Some(current)) => current,
        Ok(None) => {
            warn!("claim row {row} of {key} is missing");
            return true;
        }
        Err(_) => return false,
    };
    let claim: ClaimRow = match serde_json::from_slice(&current.value) {
        Ok(claim) => claim,
        Err(err) => {
            warn!("claim row {row} is malformed: {err}");
            return true;
        }
    };
    let Some(ended) = claim.ended(key.request, key.attempt, incarnation, outcome) else {
        return true;
    };
    let value = serde_json::to_vec(&ended).expect("a claim row is plain data");
    let commit = external
        .write_row(row.to_owned(), current.version, value)
        .await;
    matches!(commit, Ok(CommitResult::Committed(_)))
}
