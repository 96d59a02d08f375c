//! Identifiers shared by all decisions and messages.

use derive_more::Display;
pub use objects::Name;
pub use objects::Priority;
use serde::Deserialize;
use serde::Serialize;

/// A 128-bit request identifier, printed as 32 hex digits.
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

/// One start of one process; a restarted process has another incarnation.
///
/// The value is random, so that a replaced instance never repeats the one of its predecessor.
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

/// The number of an attempt at one request, from 1.
pub type Attempt = u32;

/// A published configuration: a number that only grows and the digest of its manifest.
#[derive(Clone, Debug, Display, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[display("{generation}:{digest}")]
pub struct Head {
    /// The generation number; 0 means that nothing was published yet.
    pub generation: u64,
    /// The SHA-256 of the manifest, as `sha256:` and 64 hex digits.
    pub digest: String,
}
