//! The platform's transactional table service.

use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;

use crate::EdgeResult;

/// One row with the version that the table gave it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// The key.
    pub key: String,
    /// The version, from 1, raised by each write.
    pub version: u64,
    /// The value.
    pub value: Bytes,
}

/// A condition on one row's version; 0 means that the row must not exist.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Condition {
    /// The key.
    pub key: String,
    /// The version that the row must have.
    pub version: u64,
}

/// A write of one row; `None` deletes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// The key.
    pub key: String,
    /// The new value.
    pub value: Option<Bytes>,
}

/// A transaction: all writes happen if all conditions hold, else none.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transaction {
    /// The conditions.
    pub conditions: Vec<Condition>,
    /// The writes.
    pub writes: Vec<Write>,
}

/// The answer to a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Commit {
    /// All writes took effect; the new versions in the order of the writes.
    Done(Vec<u64>),
    /// No write took effect; the keys whose condition did not hold.
    Failed(Vec<String>),
}

/// The table service.
pub trait Table: Send + Sync {
    /// Reads one row.
    fn get(&self, key: &str, timeout: Duration) -> BoxFuture<'_, EdgeResult<Option<Row>>>;

    /// Lists the rows whose key starts with `prefix`, in order of key.
    fn list(&self, prefix: &str, timeout: Duration) -> BoxFuture<'_, EdgeResult<Vec<Row>>>;

    /// Commits a transaction.
    fn commit(&self, tx: Transaction, timeout: Duration) -> BoxFuture<'_, EdgeResult<Commit>>;
}
