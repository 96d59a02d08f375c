//! The properties of a caller's request that decisions depend on.

use std::time::Duration;

use crate::Name;

/// The model, and optionally the adapter, that a request runs on.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Artifact {
    /// The name by which runners report the model.
    pub model: Name,
    /// Model and adapter as `MODEL/ADAPTER`; `None` for the model without an adapter.
    pub adapter: Option<Name>,
}

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct Request {
    /// The request identifier, as sent by the caller.
    pub id: Name,
    /// The requested host, in lowercase and without a port.
    pub host: Name,
    /// How long the caller waits for the response, counted from the arrival; `None` if it sets no
    /// limit.
    pub timeout: Option<Duration>,
    /// The model that it runs on; `None` if it needs no model.
    pub artifact: Option<Artifact>,
    /// The number of prompt tokens.
    pub prompt_tokens: u32,
    /// The maximum number of tokens in the response.
    pub answer_tokens: u32,
}
