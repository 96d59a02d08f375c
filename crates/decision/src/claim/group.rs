//! Group commit: writes of claim rows are batched into transactions, one in flight at a time.

use std::collections::VecDeque;

use super::row::ClaimRow;
use crate::collections::Map;
use crate::collections::Set;

/// Rows per transaction.
pub const MAX_TX_ROWS: usize = 64;

/// One write of one row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowWrite {
    /// The number under which the result is told.
    pub ticket: u64,
    /// The key.
    pub key: String,
    /// The version that the row must have; 0 means that it must not exist.
    pub version: u64,
    /// The new row.
    pub row: ClaimRow,
}

/// The result of a transaction as the table or its loss tells it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TxResult {
    /// All writes took effect; the new versions in the order of the writes.
    Committed(Vec<u64>),
    /// No write took effect; the keys whose condition did not hold.
    Conflict(Vec<String>),
    /// No write took effect, and none will.
    NotSent,
    /// The writes may have taken effect or may still do so.
    Unknown,
}

/// The result of one write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteResult {
    /// The write took effect; the new version.
    Committed(u64),
    /// The row does not have the expected version; the write had no effect.
    Conflict,
    /// The table could not be reached; the write had no effect.
    NotSent,
    /// The write may have taken effect or may still do so.
    Unknown,
}

/// The queue of writes.
#[derive(Debug, Default)]
pub struct GroupCommit {
    queue: VecDeque<RowWrite>,
    flight: Vec<RowWrite>,
    next: u64,
}

impl GroupCommit {
    /// Queues a write and returns its ticket.
    pub fn push(&mut self, key: String, version: u64, row: ClaimRow) -> u64 {
        self.next += 1;
        self.queue.push_back(RowWrite {
            ticket: self.next,
            key,
            version,
            row,
        });
        self.next
    }

    /// Removes a write that is not in flight yet; returns whether it was removed.
    pub fn withdraw(&mut self, ticket: u64) -> bool {
        let before = self.queue.len();
        self.queue.retain(|write| write.ticket != ticket);
        before != self.queue.len()
    }

    /// Returns the next transaction if none is in flight. Two writes of one row never share a
    /// transaction; the later one waits.
    pub fn next_tx(&mut self) -> Option<&[RowWrite]> {
        if !self.flight.is_empty() || self.queue.is_empty() {
            return None;
        }
        let mut keys = Set::default();
        let mut later = VecDeque::new();
        while let Some(write) = self.queue.pop_front() {
            if self.flight.len() < MAX_TX_ROWS && keys.insert(write.key.clone()) {
                self.flight.push(write);
            } else {
                later.push_back(write);
            }
        }
        self.queue = later;
        Some(&self.flight)
    }

    /// Ends the transaction in flight and returns the results that are settled. Writes that failed
    /// only because of another row of the transaction are queued again, at the front.
    pub fn finish(&mut self, result: &TxResult) -> Vec<(u64, WriteResult)> {
        let flight = std::mem::take(&mut self.flight);
        let mut results = Vec::with_capacity(flight.len());
        let mut again = Vec::new();
        // The versions that rows no longer have.
        let mut passed: Map<String, u64> = Map::default();
        for (index, write) in flight.into_iter().enumerate() {
            let one = match result {
                TxResult::Committed(versions) => match versions.get(index) {
                    Some(version) => WriteResult::Committed(*version),
                    None => WriteResult::Unknown,
                },
                TxResult::Conflict(keys) if keys.is_empty() => WriteResult::Unknown,
                TxResult::Conflict(keys) if keys.contains(&write.key) => WriteResult::Conflict,
                TxResult::Conflict(_) => {
                    again.push(write);
                    continue;
                }
                TxResult::NotSent => WriteResult::NotSent,
                TxResult::Unknown => WriteResult::Unknown,
            };
            results.push((write.ticket, one));
            if matches!(one, WriteResult::Committed(_) | WriteResult::Conflict) {
                passed.insert(write.key, write.version);
            }
        }
        for write in again.into_iter().rev() {
            self.queue.push_front(write);
        }
        self.fail_overtaken(&passed, &mut results);
        results
    }

    /// Fails queued writes whose row is known to have another version. Without it, simultaneous
    /// requests with one key would take one transaction each.
    fn fail_overtaken(&mut self, passed: &Map<String, u64>, results: &mut Vec<(u64, WriteResult)>) {
        if passed.is_empty() {
            return;
        }
        self.queue.retain(|write| {
            let overtaken = passed
                .get(&write.key)
                .is_some_and(|old| write.version == *old);
            if overtaken {
                results.push((write.ticket, WriteResult::Conflict));
            }
            !overtaken
        });
    }

    /// Returns the number of writes that wait and the number in flight.
    pub fn counts(&self) -> (usize, usize) {
        (self.queue.len(), self.flight.len())
    }
}
