//! The claim rows of an entry: claims and outcomes that it writes, and settle calls.

use decision::claim::ClaimRow;
use decision::claim::ClaimedAttempt;
use decision::claim::StoredOutcome;
use decision::claim::group::TxResult;
use decision::claim::group::WriteResult;
use decision::job::Outcome;
use decision::ledger::AttemptKey;
use decision::request::Event;

use crate::matrix::Step;
use crate::sample::WORKSPACE;
use crate::simulation::AgentMessage;
use crate::simulation::AttemptOrigin;
use crate::simulation::CALL_TIMEOUT;
use crate::simulation::EntryMessage;
use crate::simulation::MS;
use crate::simulation::ProcessId;
use crate::simulation::SimEvent;
use crate::simulation::Simulation;
use crate::simulation::TableCaller;
use crate::storage::RowValue;
use crate::storage::RowWrite;
use crate::storage::TableOp;
use crate::storage::TableReply;

/// Tries to store an outcome in the claim row.
const MAX_STORE_TRIES: u32 = 10;
/// Delay between two tries to store an outcome.
const STORE_RETRY_DELAY: u64 = 500 * MS;

/// Purpose of a queued write of a claim row.
#[derive(Clone, Copy, Debug)]
pub(super) enum WritePurpose {
    /// The request writes its claim: call, step number.
    Claim(usize, u32),
    /// The outcome is stored after the response: call, outcome, number of the try.
    StoreOutcome(usize, Outcome, u32),
}

impl Simulation {
    pub(super) fn queue_claim_write(
        &mut self,
        call: usize,
        version: u64,
        row: ClaimRow,
        purpose: WritePurpose,
    ) {
        let entry = self.calls[call].entry;
        let key = ClaimRow::key(WORKSPACE, &self.idempotency_key(call));
        let ticket = self.entries[entry].group_commit.push(key, version, row);
        self.entries[entry].write_purposes.insert(ticket, purpose);
        self.send_next_tx(entry);
    }

    pub(super) fn idempotency_key(&self, call: usize) -> String {
        self.history.calls[call].key.clone().unwrap_or_default()
    }

    fn send_next_tx(&mut self, entry: usize) {
        let Some(writes) = self.entries[entry].group_commit.next_tx() else {
            return;
        };
        let writes = writes.iter().map(|write| RowWrite {
            key: write.key.clone(),
            version: write.version,
            value: RowValue::Claim(write.row.clone()),
        });
        let op = TableOp::Tx(writes.collect());
        let epoch = self.entries[entry].process.epoch;
        self.call_table(op, TableCaller::ClaimCommit(entry, epoch));
    }

    pub(super) fn on_commit_reply(&mut self, entry: usize, reply: TableReply) {
        let result = match reply {
            TableReply::Committed(versions) => TxResult::Committed(versions),
            TableReply::Conflict(keys) => TxResult::Conflict(keys),
            _ => TxResult::Unknown,
        };
        for (ticket, result) in self.entries[entry].group_commit.finish(&result) {
            match self.entries[entry].write_purposes.remove(&ticket) {
                Some(WritePurpose::Claim(call, step_no)) => {
                    self.on_request_event(call, step_no, Event::Written(result))
                }
                Some(WritePurpose::StoreOutcome(call, outcome, tries)) => {
                    let should_retry =
                        matches!(result, WriteResult::NotSent | WriteResult::Unknown);
                    if should_retry && tries < MAX_STORE_TRIES {
                        let epoch = self.entries[entry].process.epoch;
                        let run = self.first_run(call);
                        let message =
                            EntryMessage::RetryStore(call, tries + 1, Box::new((outcome, run)));
                        self.schedule(STORE_RETRY_DELAY, SimEvent::Entry(entry, epoch, message));
                    }
                }
                None => {}
            }
        }
        self.send_next_tx(entry);
    }

    /// Sends the settle call to the agent that the visible membership list has under the name, like
    /// the driver of the `entry` crate.
    pub(super) fn request_settle(
        &mut self,
        call: usize,
        step_no: u32,
        claimed_attempt: &ClaimedAttempt,
    ) {
        self.schedule_request_event(call, step_no, CALL_TIMEOUT, Event::SettleFailed);
        let Some(ProcessId::Agent(pid)) = self.find_process(&claimed_attempt.endpoint) else {
            return;
        };
        let key = AttemptKey {
            request: claimed_attempt.request,
            attempt: claimed_attempt.attempt,
        };
        let origin = AttemptOrigin {
            entry: self.calls[call].entry,
            call,
            step_no,
        };
        self.calls[call].end = None;
        self.send_message(SimEvent::Agent(pid, AgentMessage::Settle(key, origin)));
    }

    pub(super) fn on_settled(
        &mut self,
        call: usize,
        step_no: u32,
        incarnation: decision::ids::Incarnation,
        outcome: Outcome,
    ) {
        // Like the driver of the `entry` crate, compares the incarnation in the row with that in
        // the reply.
        let row = self
            .storage
            .claim_row(&ClaimRow::key(WORKSPACE, &self.idempotency_key(call)));
        let event = match row {
            Some(row) if row.agent == incarnation => Event::Settled(outcome),
            _ => Event::AgentGone,
        };
        self.on_request_event(call, step_no, event);
    }

    fn first_run(&self, call: usize) -> Option<usize> {
        let first = self.calls[call].chunks.values().next();
        first.map(|chunk| chunk.run)
    }

    /// Stores the outcome of a request in its claim row. `run` is the run that a replay refers to.
    pub(super) fn store_outcome(
        &mut self,
        call: usize,
        outcome: Outcome,
        run: Option<usize>,
        tries: u32,
    ) {
        let stored = run.map(|run| StoredOutcome {
            outcome,
            status: 200,
            content: String::new(),
            body: Some(run.to_string()),
            receipt: None,
        });
        let request = self.calls[call].request.as_ref();
        let row_update = request.and_then(|request| request.record(outcome, stored));
        let Some((version, row)) = row_update else {
            return;
        };
        self.inject_at(Step::Record, self.fault_target(call));
        if !self.entries[self.calls[call].entry].process.up {
            return;
        }
        self.queue_claim_write(
            call,
            version,
            row,
            WritePurpose::StoreOutcome(call, outcome, tries),
        );
    }
}
