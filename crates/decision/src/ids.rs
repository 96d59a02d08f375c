//! Identifiers used by all modules of this crate and in messages between processes.

use derive_more::Display;
pub use objects::Name;
pub use objects::Priority;
use serde::Deserialize;
use serde::Serialize;

/// A 128-bit request id, printed and serialized as 32 hex digits.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0:032x}")]
#[serde(into = "String", try_from = "String")]
pub struct RequestId(pub u128);

impl From<RequestId> for String {
    fn from(id: RequestId) -> String {
        id.to_string()
    }
}

impl TryFrom<String> for RequestId {
    type Error = std::num::ParseIntError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        u128::from_str_radix(&text, 16).map(RequestId)
    }
}

/// Identifies one run of a process, from its start to its end; a restarted process has another
/// incarnation.
///
/// The value is random, so that a replaced instance does not repeat that of its predecessor. It is
/// printed and serialized as 16 hex digits.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0:016x}")]
#[serde(into = "String", try_from = "String")]
pub struct Incarnation(pub u64);

impl From<Incarnation> for String {
    fn from(id: Incarnation) -> String {
        id.to_string()
    }
}

impl TryFrom<String> for Incarnation {
    type Error = std::num::ParseIntError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        u64::from_str_radix(&text, 16).map(Incarnation)
    }
}

/// The number of an attempt at a request, from 1.
pub type Attempt = u32;

/// Identifies a published configuration by its generation and the digest of its manifest.
#[derive(Clone, Debug, Display, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[display("{generation}:{digest}")]
pub struct Head {
    /// The generation number, which only grows; 0 means that nothing has been published.
    pub generation: u64,
    /// The SHA-256 of the manifest, as `sha256:` and 64 hex digits.
    pub digest: String,
}
