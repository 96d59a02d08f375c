//! A model engine.

use std::time::Duration;

use bytes::Bytes;
use decision::ids::Name;
use decision::ids::Priority;
use futures::future::BoxFuture;
use futures::stream::BoxStream;

use crate::EdgeResult;

/// An order to load one adapter version under its served name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadOrder {
    /// The served name, `adapter@version`.
    pub name: Name,
    /// The locator in the weight store.
    pub weights: Name,
    /// The digest of the weights.
    pub digest: Name,
    /// The fencing number.
    pub fencing: u64,
}

/// A request to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Submission {
    /// The HTTP path, for example `/v1/chat/completions`.
    pub path: String,
    /// The body, whose `model` is the served name already.
    pub body: Bytes,
    /// The priority class.
    pub priority: Priority,
    /// The request identifier, for the engine's log.
    pub request: String,
}

/// An answer whose body arrives piece by piece. Dropping it cancels the request.
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub content: String,
    /// The body.
    pub body: BoxStream<'static, EdgeResult<Bytes>>,
}

/// The engine's lagged load report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineLoad {
    /// Sequences running.
    pub running: u32,
    /// Sequences waiting inside the engine.
    pub waiting: u32,
    /// The batch limit.
    pub batch: u32,
}

/// Cache events since a number; a gap means that some are missing.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CacheEvents {
    /// The number after the last event.
    pub next: u64,
    /// Whether events before the first one here were lost.
    pub gap: bool,
    /// Prefix hashes that were stored (`true`) or evicted (`false`).
    pub events: Vec<(u64, bool)>,
}

/// A model engine. One agent alone gives it orders.
pub trait Engine: Send + Sync {
    /// Lists the served names of resident adapter versions, without the base model.
    fn resident(&self, timeout: Duration) -> BoxFuture<'_, EdgeResult<Vec<String>>>;

    /// Loads an adapter version; returns once it is resident.
    fn load(&self, order: LoadOrder, timeout: Duration) -> BoxFuture<'_, EdgeResult<()>>;

    /// Unloads the adapter version with this served name.
    fn unload(&self, name: &str, fencing: u64, timeout: Duration) -> BoxFuture<'_, EdgeResult<()>>;

    /// Submits a request; returns when the head of the answer has arrived.
    fn submit(&self, work: Submission, timeout: Duration) -> BoxFuture<'_, EdgeResult<Answer>>;

    /// Reads the load report.
    fn load_report(&self, timeout: Duration) -> BoxFuture<'_, EdgeResult<EngineLoad>>;

    /// Reads cache events from number `since` on.
    fn cache_events(&self, since: u64, timeout: Duration)
    -> BoxFuture<'_, EdgeResult<CacheEvents>>;
}
