//! Group commit: batches writes of claim rows into transactions, one in flight at a time.

use std::collections::VecDeque;

use super::row::ClaimRow;
use crate::collections::Map;
use crate::collections::Set;

/// The largest number of rows in one transaction.
pub const MAX_TX_ROWS: usize = 64;

/// A write of one row that takes effect only if the row has the expected version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowWrite {
    /// The number that identifies the write in the results.
    pub ticket: u64,
    /// The key of the row.
    pub key: String,
    /// The expected version; 0 means that the row must not exist.
    pub version: u64,
    /// The new row.
    pub row: ClaimRow,
}

/// The result of a transaction, as reported by the table or concluded from a failed call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TxResult {
    /// All writes took effect; holds the new versions in the order of the writes.
    Committed(Vec<u64>),
    /// No write took effect; holds the keys of the rows that did not have the expected version.
    Conflict(Vec<String>),
    /// The transaction was not sent; no write took effect, and none will.
    NotSent,
    /// The outcome is not known: the writes may have taken effect or may still do so.
    Unknown,
}

/// The result of one write, concluded from that of its transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteResult {
    /// The write took effect; holds the new version.
    Committed(u64),
    /// The row does not have the expected version; the write had no effect.
    Conflict,
    /// The write was not sent and had no effect.
    NotSent,
    /// The outcome is not known: the write may have taken effect or may still do so.
    Unknown,
}

/// The queue of writes, and the transaction in flight.
#[derive(Debug, Default)]
pub struct GroupCommit {
    queue: VecDeque<RowWrite>,
    in_flight: Vec<RowWrite>,
    last_ticket: u64,
}

impl GroupCommit {
    /// Queues a write and returns its ticket.
    pub fn push(&mut self, key: String, version: u64, row: ClaimRow) -> u64 {
        self.last_ticket += 1;
        self.queue.push_back(RowWrite {
            ticket: self.last_ticket,
            key,
            version,
            row,
        });
        self.last_ticket
    }

    /// Removes a write unless it is already in flight. Returns whether it was removed.
    pub fn withdraw(&mut self, ticket: u64) -> bool {
        let length = self.queue.len();
        self.queue.retain(|write| write.ticket != ticket);
        length != self.queue.len()
    }

    /// Starts and returns the next transaction, or returns `None` if one is in flight or nothing is
    /// queued. Two writes of one row never share a transaction; the later one stays queued.
    pub fn next_tx(&mut self) -> Option<&[RowWrite]> {
        if !self.in_flight.is_empty() || self.queue.is_empty() {
            return None;
        }
        let mut keys = Set::default();
        let mut later = VecDeque::new();
        while let Some(write) = self.queue.pop_front() {
            if self.in_flight.len() < MAX_TX_ROWS && keys.insert(write.key.clone()) {
                self.in_flight.push(write);
            } else {
                later.push_back(write);
            }
        }
        self.queue = later;
        Some(&self.in_flight)
    }

    /// Ends the transaction in flight and returns the ticket and the result of each write that is
    /// decided. Writes that failed only because of another row of the transaction go back to the
    /// front of the queue.
    pub fn finish(&mut self, result: &TxResult) -> Vec<(u64, WriteResult)> {
        let writes = std::mem::take(&mut self.in_flight);
        let mut results = Vec::with_capacity(writes.len());
        let mut retried = Vec::new();
        // By key, the version that the row no longer has.
        let mut outdated: Map<String, u64> = Map::default();
        for (index, write) in writes.into_iter().enumerate() {
            let write_result = match result {
                TxResult::Committed(versions) => match versions.get(index) {
                    Some(version) => WriteResult::Committed(*version),
                    None => WriteResult::Unknown,
                },
                TxResult::Conflict(keys) if keys.is_empty() => WriteResult::Unknown,
                TxResult::Conflict(keys) if keys.contains(&write.key) => WriteResult::Conflict,
                TxResult::Conflict(_) => {
                    retried.push(write);
                    continue;
                }
                TxResult::NotSent => WriteResult::NotSent,
                TxResult::Unknown => WriteResult::Unknown,
            };
            results.push((write.ticket, write_result));
            if matches!(
                write_result,
                WriteResult::Committed(_) | WriteResult::Conflict
            ) {
                outdated.insert(write.key, write.version);
            }
        }
        for write in retried.into_iter().rev() {
            self.queue.push_front(write);
        }
        self.fail_outdated(&outdated, &mut results);
        results
    }

    /// Fails queued writes whose row is known to have another version. Otherwise simultaneous
    /// requests with one key would take one transaction each.
    fn fail_outdated(
        &mut self,
        outdated: &Map<String, u64>,
        results: &mut Vec<(u64, WriteResult)>,
    ) {
        if outdated.is_empty() {
            return;
        }
        self.queue.retain(|write| {
            let is_outdated = outdated
                .get(&write.key)
                .is_some_and(|old| write.version == *old);
            if is_outdated {
                results.push((write.ticket, WriteResult::Conflict));
            }
            !is_outdated
        });
    }

    /// Returns the number of queued writes and the number of writes in flight.
    pub fn counts(&self) -> (usize, usize) {
        (self.queue.len(), self.in_flight.len())
    }
}
