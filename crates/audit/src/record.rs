//! What processes record.

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

/// One attempt at a request, as the process that records it knows it. The entry and the agent both
/// record an attempt, each in its own chain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptRecord {
    /// The request.
    pub request: RequestId,
    /// The attempt, from 1; 0 if the request was refused before its first attempt.
    pub attempt: Attempt,
    /// The workspace of the caller.
    pub workspace: Name,
    /// The configuration under which the request was resolved.
    pub head: Head,
    /// The route that the caller named.
    pub route: Name,
    /// The adapter version with its weight digest, the base model or the service.
    pub target: Target,
    /// The endpoint, if one was chosen.
    pub endpoint: Option<Name>,
    /// The incarnation of the endpoint's agent, if it is known.
    pub incarnation: Option<Incarnation>,
    /// The claim row of a request that is not repeatable.
    pub claim: Option<String>,
    /// Whether the answer was replayed from a claim row, so that nothing ran for this record.
    pub replay: bool,
    /// What became of the attempt.
    pub outcome: Outcome,
    /// The start, in milliseconds since the Unix epoch.
    pub start: u64,
    /// The end, in milliseconds since the Unix epoch.
    pub end: u64,
    /// The digest of the request body.
    #[serde(rename = "asked")]
    pub request_digest: String,
    /// The digest of the answer's body, if the answer was whole.
    #[serde(rename = "answered")]
    pub response_digest: Option<String>,
}

/// The kind of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CommandKind {
    /// A load of an adapter version.
    Load,
    /// An unload of an adapter version.
    Unload,
}

/// One command that an agent gave to its engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommandRecord {
    /// The endpoint.
    pub endpoint: Name,
    /// The kind.
    pub kind: CommandKind,
    /// The served name, `adapter@version`.
    pub version: Name,
    /// The weight digest of a load.
    #[serde(rename = "weights")]
    pub weight_digest: Option<Name>,
    /// The fencing token.
    #[serde(rename = "token")]
    pub fencing_token: u64,
    /// The configuration in force at the agent.
    pub head: Head,
    /// The error, if the command did not succeed.
    pub error: Option<String>,
    /// The start, in milliseconds since the Unix epoch.
    pub start: u64,
    /// The end, in milliseconds since the Unix epoch.
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
    /// Returns the end of what was recorded, in milliseconds since the Unix epoch.
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

/// Computes the digest of data that arrives piece by piece.
#[derive(Clone, Debug, Default)]
pub struct Hasher(Sha256);

impl Hasher {
    /// Adds a piece.
    pub fn update(&mut self, piece: &[u8]) {
        self.0.update(piece);
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
