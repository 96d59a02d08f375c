//! The properties of a caller's request that decisions depend on.

use std::time::Duration;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::Name;

/// The identifier of a part of a prompt; requests whose prompts begin alike share parts. It is
/// displayed as the hexadecimal number that callers send. A whole request is its own most specific
/// part, identified by its fingerprint.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[display("{_0:x}")]
#[serde(transparent)]
pub struct PartId(pub u64);

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
    /// The parts of the prompt in their order, without the last one, which no other request shares.
    pub parts: Vec<PartId>,
    /// The number of prompt tokens.
    pub prompt_tokens: u32,
    /// The maximum number of tokens in the response.
    pub answer_tokens: u32,
    /// Whether the caller has said how many tokens the request has.
    pub tokens_known: bool,
}

impl Request {
    /// Returns the shared parts of the prompt as text, for logs.
    pub fn parts_text(&self) -> String {
        let parts: Vec<String> = self.parts.iter().map(PartId::to_string).collect();
        parts.join(",")
    }
}
