//! A job that an entry dispatches to an agent, and the outcomes of its attempts.

use std::time::Duration;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::ids::Attempt;
use crate::ids::Head;
use crate::ids::Incarnation;
use crate::ids::Name;
use crate::ids::Priority;
use crate::ids::RequestId;

/// What a job runs on.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Target {
    /// An adapter version: adapter and version name, weight locator and weight digest.
    Version {
        /// The served name, `adapter@version`.
        name: Name,
        /// The locator in the weight store.
        weights: Name,
        /// The digest of the weights.
        digest: Name,
    },
    /// The base model alone, by its engine-side identifier.
    Model(Name),
    /// A plain service.
    Service(Name),
}

impl Target {
    /// Returns the name that the engine's answer must carry.
    pub fn served_name(&self) -> &Name {
        match self {
            Target::Version { name, .. } => name,
            Target::Model(name) | Target::Service(name) => name,
        }
    }
}

/// One attempt at a request, as the agent gets it. The body travels beside it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// The request.
    pub request: RequestId,
    /// The attempt, from 1.
    pub attempt: Attempt,
    /// The configuration under which the request was resolved.
    pub head: Head,
    /// The workspace of the caller.
    pub workspace: Name,
    /// The route that the caller named.
    pub route: Name,
    /// What to run on.
    pub target: Target,
    /// The priority class.
    pub priority: Priority,
    /// The time left until the deadline.
    pub left: Duration,
    /// The claimed agent incarnation; `None` for a repeatable request.
    pub claim: Option<Incarnation>,
    /// The claim row, if there is one.
    pub row: Option<String>,
    /// The HTTP path of the engine or service call, for example `/v1/chat/completions`.
    pub path: String,
    /// Whether the answer is a stream of server-sent events.
    pub stream: bool,
    /// A hash of the prompt prefix, for cache affinity; 0 if unknown.
    pub prefix: u64,
}

/// Why an attempt was not run.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The endpoint or its agent is leaving.
    #[display("draining")]
    Draining,
    /// The queue is full, or the job was shed for one of a higher class.
    #[display("overloaded")]
    Overloaded,
    /// The deadline passed or cannot be met.
    #[display("deadline")]
    Deadline,
    /// The weights could not be loaded.
    #[display("load failed")]
    LoadFailed,
    /// The claim names another agent incarnation or a superseded attempt.
    #[display("stale claim")]
    StaleClaim,
    /// The attempt was settled as not run before it arrived.
    #[display("settled")]
    Settled,
    /// The caller cancelled before submission.
    #[display("cancelled")]
    Cancelled,
    /// The engine refused the connection or is not ready.
    #[display("engine unavailable")]
    EngineDown,
    /// The agent does not serve the job's model or service.
    #[display("wrong endpoint")]
    WrongEndpoint,
}

/// What is known of one attempt.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The attempt was submitted and answered in full.
    #[display("ran")]
    Ran,
    /// The attempt was not run and never will be.
    #[display("not run: {_0}")]
    NotRun(Refusal),
    /// The attempt is queued or running.
    #[display("pending")]
    Pending,
    /// The attempt was submitted and its end is not known.
    #[display("unknown")]
    Unknown,
}

/// The engine's answer ended in a way that must not reach the caller as a complete answer.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Failure {
    /// The engine's answer named `_0` and not what was asked for.
    #[display("engine answered as {_0}")]
    WrongAdapter(String),
    /// The answer broke off before its end.
    #[display("answer truncated")]
    Truncated,
    /// The engine answered with an error status.
    #[display("engine status {status}: {message}")]
    Status {
        /// The HTTP status.
        status: u16,
        /// The start of the engine's error body.
        message: String,
    },
    /// The link to the agent broke.
    #[display("link to the agent lost")]
    Link,
    /// The deadline passed after submission.
    #[display("deadline passed while running")]
    Deadline,
}

/// How an attempt ended, as the agent tells the entry after the last chunk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// The outcome of the attempt.
    pub outcome: Outcome,
    /// The failure, if the answer is not whole.
    pub failure: Option<Failure>,
    /// The agent's incarnation, for the receipt.
    pub incarnation: Incarnation,
    /// The endpoint, for the receipt.
    pub endpoint: Name,
    /// Time spent waiting for the adapter to arrive.
    pub stall: Duration,
    /// The number of chunks sent.
    pub chunks: u64,
    /// The time after which a retry makes sense, for refusals under load.
    pub after: Option<Duration>,
}
