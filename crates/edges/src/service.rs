//! A plain service.

use std::time::Duration;

use futures::future::BoxFuture;

use crate::EdgeResult;
use crate::engine::Answer;
use crate::engine::Submission;

/// A plain service to which the system routes beside the model engines.
pub trait Service: Send + Sync {
    /// Calls the service; returns when the head of the answer has arrived.
    fn call(&self, work: Submission, timeout: Duration) -> BoxFuture<'_, EdgeResult<Answer>>;

    /// Returns whether the service is ready.
    fn ready(&self, timeout: Duration) -> BoxFuture<'_, EdgeResult<()>>;
}
