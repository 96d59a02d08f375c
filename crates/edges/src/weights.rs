//! The platform's weight store. Engines read weights from it; the system only asks about them.

use std::time::Duration;

use futures::future::BoxFuture;

use crate::EdgeResult;

/// What the weight store tells of one set of weights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightInfo {
    /// The digest, `sha256:` and 64 hex digits.
    pub digest: String,
    /// The size in bytes.
    pub bytes: u64,
}

/// The weight store.
pub trait WeightStore: Send + Sync {
    /// Returns what is known of the weights at `locator`.
    fn info(
        &self,
        locator: &str,
        timeout: Duration,
    ) -> BoxFuture<'_, EdgeResult<Option<WeightInfo>>>;
}
