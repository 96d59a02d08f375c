//! The platform's instance membership list.

use std::time::Duration;

pub use decision::member::Changes;
pub use decision::member::Instance;
pub use decision::member::Liveness;
pub use decision::member::Role;
use futures::future::BoxFuture;

use crate::EdgeResult;

/// The membership list.
pub trait Members: Send + Sync {
    /// Returns the changes since version `since`; 0 asks for the whole list.
    fn changes(&self, since: u64, timeout: Duration) -> BoxFuture<'_, EdgeResult<Changes>>;
}
