//! What a request asks for, as far as decisions depend on it.

use std::time::Duration;

use crate::Name;

/// The model, and perhaps the adapter, that a request runs on.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Artifact {
    /// The model.
    pub model: Name,
    /// Model and adapter as `MODEL/ADAPTER`; `None` for the bare model.
    pub adapter: Option<Name>,
}

/// One request of a caller.
#[derive(Clone, Debug)]
pub struct Request {
    /// The identifier, as the caller sent it.
    pub id: Name,
    /// The host, in lowercase without a port.
    pub host: Name,
    /// How long the caller waits, from the arrival.
    pub timeout: Option<Duration>,
    /// What it runs on, if it needs a model.
    pub artifact: Option<Artifact>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens that the answer may have.
    pub answer_tokens: u32,
}
