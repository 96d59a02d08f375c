//! Writes of outcomes to claim rows by agents.

use decision::agent::Event;
use decision::claim::ClaimRow;
use decision::collections::Map;
use decision::job::Outcome;
use decision::ledger::AttemptKey;

use crate::simulation::Simulation;
use crate::simulation::TableCaller;
use crate::storage::RowValue;
use crate::storage::RowWrite;
use crate::storage::TableOp;
use crate::storage::TableReply;

/// Retries of a write of an outcome, after which the agent gives up.
const MAX_OUTCOME_RETRIES: u32 = 10;

impl Simulation {
    /// Starts to write an outcome with a read of the claim row. `tries` is the number of earlier
    /// tries.
    pub(crate) fn write_outcome(
        &mut self,
        pid: usize,
        key: AttemptKey,
        outcome: Outcome,
        tries: u32,
    ) {
        if let Some(row) = self.agents[pid].claim_rows.get(&key).cloned() {
            let caller = TableCaller::OutcomeWrite(pid, key, outcome, tries);
            self.call_table(TableOp::Read(row), caller);
        }
    }

    /// Continues the write of an outcome with the table's reply: writes the row that was read,
    /// finishes, or tries again.
    pub(crate) fn on_claim_row_reply(
        &mut self,
        pid: usize,
        key: AttemptKey,
        outcome: Outcome,
        tries: u32,
        reply: TableReply,
    ) {
        let incarnation = self.agents[pid].incarnation;
        let is_done = match reply {
            TableReply::Row(Some((version, RowValue::Claim(row)))) => {
                match row.ended(key.request, key.attempt, incarnation, outcome) {
                    Some(row) => {
                        let key = with_row_key(&self.agents[pid].claim_rows, key);
                        return self.write_claim_row(pid, key, version, row, outcome, tries);
                    }
                    None => true,
                }
            }
            TableReply::Row(_) | TableReply::Committed(_) => true,
            _ => tries >= MAX_OUTCOME_RETRIES,
        };
        match is_done {
            true => self.handle_core_event(pid, Event::ClaimWritten(key)),
            false => self.write_outcome(pid, key, outcome, tries + 1),
        }
    }

    fn write_claim_row(
        &mut self,
        pid: usize,
        (key, row_key): (AttemptKey, String),
        version: u64,
        row: ClaimRow,
        outcome: Outcome,
        tries: u32,
    ) {
        let write = RowWrite {
            key: row_key,
            version,
            value: RowValue::Claim(row),
        };
        let caller = TableCaller::OutcomeWrite(pid, key, outcome, tries);
        self.call_table(TableOp::Tx(vec![write]), caller);
    }
}

fn with_row_key(rows: &Map<AttemptKey, String>, key: AttemptKey) -> (AttemptKey, String) {
    (key, rows.get(&key).cloned().unwrap_or_default())
}
