//! The platform's object store.

use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;

use crate::EdgeResult;

/// The object store.
pub trait ObjectStore: Send + Sync {
    /// Reads one object.
    fn get(&self, key: &str, timeout: Duration) -> BoxFuture<'_, EdgeResult<Option<Bytes>>>;

    /// Writes one object unless the key exists; returns whether it was written.
    fn put(&self, key: &str, data: Bytes, timeout: Duration) -> BoxFuture<'_, EdgeResult<bool>>;

    /// Lists the keys that start with `prefix`, in order.
    fn list(&self, prefix: &str, timeout: Duration) -> BoxFuture<'_, EdgeResult<Vec<String>>>;
}
