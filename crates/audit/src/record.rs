//! The records in an audit log, and the digests that they contain.

use decision::ids::Attempt;
use decision::ids::Head;
use decision::ids::Incarnation;
use decision::ids::Name;
use decision::ids::RequestId;
use decision::job::Outcome;
use decision::job::Target;
use derive_more::From;
use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

/// One attempt at a request, as known to the process that records it. The entry and the agent both
/// record each attempt, each in its own chain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptRecord {
    /// ID of the request that the attempt belongs to.
    pub request: RequestId,
    /// Number of the attempt, starting at 1; 0 if the request was refused before its first attempt.
    pub attempt: Attempt,
    /// Workspace of the caller.
    pub workspace: Name,
    /// Configuration under which the request was resolved.
    pub head: Head,
    /// Route that the caller named.
    pub route: Name,
    /// Adapter version with its weight digest, base model, or service.
    pub target: Target,
    /// Endpoint of the attempt; `None` if none was chosen.
    pub endpoint: Option<Name>,
    /// Incarnation of the endpoint's agent; `None` if it is not known.
    pub incarnation: Option<Incarnation>,
    /// Key of the claim row of a non-repeatable request; `None` if there is no claim.
    pub claim: Option<String>,
    /// Whether the response was replayed from a claim row, so that nothing ran for this record.
    pub replay: bool,
    /// Whether the attempt ran.
    pub outcome: Outcome,
    /// Start time, in milliseconds since the Unix epoch.
    pub start: u64,
    /// End time, in milliseconds since the Unix epoch.
    pub end: u64,
    /// Digest of the request body.
    #[serde(rename = "asked")]
    pub request_digest: String,
    /// Digest of the response body; `None` if the response was incomplete or the process doesn't
    /// record it.
    #[serde(rename = "answered")]
    pub response_digest: Option<String>,
}

/// What a [`CommandRecord`] told the engine to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CommandKind {
    /// Load an adapter version.
    Load,
    /// Unload an adapter version.
    Unload,
}

/// One command that an agent sent to its engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommandRecord {
    /// Endpoint that the agent serves.
    pub endpoint: Name,
    /// Whether the engine was told to load or to unload the version.
    pub kind: CommandKind,
    /// Full version name, `adapter@version`.
    pub version: Name,
    /// Digest of the weights to load; `None` for an unload.
    #[serde(rename = "weights")]
    pub weight_digest: Option<Name>,
    /// Fencing token that was sent with the command.
    #[serde(rename = "token")]
    pub fencing_token: u64,
    /// Configuration in force at the agent.
    pub head: Head,
    /// Why the command did not succeed; `None` if it did.
    pub error: Option<String>,
    /// Start time, in milliseconds since the Unix epoch.
    pub start: u64,
    /// End time, in milliseconds since the Unix epoch.
    pub end: u64,
}

/// One audit record.
#[derive(Clone, Debug, From, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Record {
    /// An attempt at a request.
    Attempt(AttemptRecord),
    /// A command to an engine.
    Command(CommandRecord),
}

impl Record {
    /// Returns the end time of the attempt or command, in milliseconds since the Unix epoch.
    pub fn end(&self) -> u64 {
        match self {
            Record::Attempt(attempt) => attempt.end,
            Record::Command(command) => command.end,
        }
    }
}

/// Returns the SHA-256 of `data` as `sha256:` and 64 hex digits.
pub fn digest(data: &[u8]) -> String {
    let mut hasher = Hasher::default();
    hasher.update(data);
    hasher.finish()
}

/// Computes the digest of data that arrives in chunks.
#[derive(Clone, Debug, Default)]
pub struct Hasher(Sha256);

impl Hasher {
    /// Appends a chunk to the hashed data.
    pub fn update(&mut self, chunk: &[u8]) {
        self.0.update(chunk);
    }

    /// Returns the digest as `sha256:` and 64 hex digits.
    pub fn finish(self) -> String {
        const DIGITS: &[u8; 16] = b"0123456789abcdef";
        let mut text = String::with_capacity("sha256:".len() + 64);
        text.push_str("sha256:");
        for byte in self.0.finalize() {
            text.push(char::from(DIGITS[usize::from(byte >> 4)]));
            text.push(char::from(DIGITS[usize::from(byte & 15)]));
        }
        text
    }
}
