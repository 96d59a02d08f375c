//! How an agent writes the outcome of a request to its claim row.

use decision::agent::Event;
use decision::claim::ClaimRow;
use decision::collections::Map;
use decision::job::Outcome;
use decision::ledger::AttemptKey;

use crate::platform::Op;
use crate::platform::TableReply;
use crate::platform::Value;
use crate::platform::Write;
use crate::world::Asker;
use crate::world::World;

/// The tries to write an outcome to a claim row.
const OUTCOME_TRIES: u32 = 10;

impl World {
    pub(crate) fn write_outcome(
        &mut self,
        pid: usize,
        key: AttemptKey,
        outcome: Outcome,
        tries: u32,
    ) {
        if let Some(row) = self.agents[pid].rows.get(&key).cloned() {
            let asker = Asker::Outcome(pid, key, outcome, tries);
            self.table(Op::Read(row), asker);
        }
    }

    /// Goes on with the write of an outcome after the table responded.
    pub(crate) fn claim_row(
        &mut self,
        pid: usize,
        key: AttemptKey,
        outcome: Outcome,
        tries: u32,
        reply: TableReply,
    ) {
        let own = self.agents[pid].own;
        let done = match reply {
            TableReply::Row(Some((version, Value::Claim(row)))) => {
                match row.ended(key.request, key.attempt, own, outcome) {
                    Some(row) => {
                        let key = key_of(&self.agents[pid].rows, key);
                        return self.write_row(pid, key, version, row, outcome, tries);
                    }
                    None => true,
                }
            }
            TableReply::Row(_) | TableReply::Done(_) => true,
            _ => tries >= OUTCOME_TRIES,
        };
        match done {
            true => self.give(pid, Event::ClaimWritten(key)),
            false => self.write_outcome(pid, key, outcome, tries + 1),
        }
    }

    fn write_row(
        &mut self,
        pid: usize,
        (key, row_key): (AttemptKey, String),
        version: u64,
        row: ClaimRow,
        outcome: Outcome,
        tries: u32,
    ) {
        let write = Write {
            key: row_key,
            version,
            value: Value::Claim(row),
        };
        let asker = Asker::Outcome(pid, key, outcome, tries);
        self.table(Op::Tx(vec![write]), asker);
    }
}

fn key_of(rows: &Map<AttemptKey, String>, key: AttemptKey) -> (AttemptKey, String) {
    (key, rows.get(&key).cloned().unwrap_or_default())
}
