//! The input and output of the agent's state machine: configuration, events and actions.

use std::sync::Arc;
use std::time::Duration;

use objects::Backend;
use objects::Fencing;
use objects::ObjectSet;
use serde::Serialize;

use crate::drain::Reason;
use crate::ids::Head;
use crate::ids::Name;
use crate::job::Failure;
use crate::job::Job;
use crate::job::Outcome;
use crate::job::Refusal;
use crate::lease::LeaseCall;
use crate::lease::LeaseReply;
use crate::ledger::AttemptKey;
use crate::permit::PermitReply;
use crate::permit::PermitRequest;

/// The part of the configuration that concerns one agent.
#[derive(Clone, Debug)]
pub struct AgentConfig {
    /// The generation that the configuration belongs to.
    pub head: Head,
    /// What the endpoint runs. A model is named by its engine-side identifier.
    pub backend: Backend,
    /// The number of adapter versions that fit into the engine at the same time.
    pub slots: u32,
    /// The maximum number of sequences that the engine runs concurrently, or of concurrent calls
    /// to a service.
    pub batch: u32,
    /// The maximum number of queued jobs.
    pub queue: u32,
    /// Whether the engine checks fencing tokens.
    pub fencing: Fencing,
    /// Whether the endpoint refuses new jobs.
    pub draining: bool,
    /// All objects of the generation.
    pub set: Arc<ObjectSet>,
}

impl AgentConfig {
    /// Returns the configuration of the endpoint `name`, or `None` if the set does not contain the
    /// endpoint or its model.
    pub fn for_endpoint(set: &Arc<ObjectSet>, head: Head, name: &str) -> Option<AgentConfig> {
        let endpoint = set.endpoints.get(name)?;
        let backend = match &endpoint.backend {
            Backend::Model(model) => Backend::Model(set.models.get(model)?.base.clone()),
            Backend::Service(service) => Backend::Service(service.clone()),
        };
        Some(AgentConfig {
            head,
            backend,
            slots: endpoint.slots,
            batch: endpoint.batch,
            queue: endpoint.queue,
            fencing: endpoint.fencing,
            draining: endpoint.draining,
            set: set.clone(),
        })
    }
}

/// Why loading or unloading a version failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandFault {
    /// The engine did not execute the command.
    Failed,
    /// No response arrived; the engine may have executed the command.
    Unknown,
    /// The engine rejected the fencing token.
    Fenced,
}

/// The result of submitting a job to the engine or service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineResult {
    /// The complete response arrived.
    Complete,
    /// The request certainly did not reach the engine, or the engine rejected it before processing.
    NotRun,
    /// The engine rejected this request with an error status and did not run it.
    Refused(Failure),
    /// The response is incomplete; the request may have run.
    Incomplete(Failure),
}

/// An input of the agent's state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// An entry dispatched a job.
    Dispatch(Box<Job>),
    /// The caller cancelled the request.
    Cancel(AttemptKey),
    /// The connection that carries the response to the entry broke.
    SinkBroken(AttemptKey),
    /// An entry asks for the outcome of an attempt. An attempt that the agent has not seen is
    /// recorded as not run and never runs later.
    Settle(AttemptKey),
    /// Loading a version ended.
    LoadEnded(Name, Result<(), CommandFault>),
    /// Unloading a version ended.
    UnloadEnded(Name, Result<(), CommandFault>),
    /// A coordinator replied to a permit request, or the call failed.
    Permit {
        /// The served name of the version that the permit is for.
        version: Name,
        /// The name of the coordinator.
        from: Name,
        /// The reply, or `None` if the call failed.
        reply: Option<PermitReply>,
    },
    /// The head of the engine's response arrived.
    ResponseStarted(AttemptKey),
    /// A submitted attempt ended at the engine.
    AttemptEnded(AttemptKey, EngineResult),
    /// The engine listed its resident versions, or the call failed.
    Resident {
        /// The epoch of the [`Action::ReadResident`] that requested the list.
        epoch: u64,
        /// The served names, or `None` if the call failed.
        names: Option<Vec<Name>>,
    },
    /// The response of the table to the pending lease call.
    Lease(LeaseReply),
    /// Whether the end of an accepted job with a claim row reached the entry. The driver sends this
    /// for each such job whose connection was not reported as broken before its end.
    Delivered(AttemptKey, bool),
    /// The outcome was written to the claim row, or the write was abandoned.
    ClaimWritten(AttemptKey),
    /// Time passed. The driver sends this at least every 500 ms.
    Tick,
    /// A reason to drain was set (`true`) or cleared (`false`).
    Drain(Reason, bool),
    /// A configuration took effect. One of an older generation than the current one is ignored.
    Config(Box<AgentConfig>),
    /// The names of the live agents in the region, including this one.
    Peers(Vec<Name>),
}

/// An output of the agent's state machine, to be carried out by its driver.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Tell the entry that the job was accepted and queued.
    Accept(AttemptKey),
    /// Tell the entry that the job is not run. The refusal is already recorded in the ledger.
    Refuse {
        /// The attempt that is refused.
        key: AttemptKey,
        /// Why the job is not run.
        reason: Refusal,
        /// The delay after which the caller may retry, if there is an estimate.
        after: Option<Duration>,
    },
    /// Tell the entry that the attempt was dispatched before, and its outcome so far.
    Duplicate(AttemptKey, Outcome),
    /// Reply to [`Event::Settle`] with the outcome of the attempt.
    Settled(AttemptKey, Outcome),
    /// Request a load permit from the named coordinator.
    RequestPermit(Name, PermitRequest),
    /// Return the permit with this number to the named coordinator.
    ReturnPermit(Name, u64),
    /// Load a version into the engine.
    Load {
        /// The served name.
        version: Name,
        /// The locator of the weights in the weight store.
        weights: Name,
        /// The digest of the weights.
        digest: Name,
        /// The fencing token to send with the command.
        fencing: u64,
    },
    /// Unload a version from the engine.
    Unload {
        /// The served name.
        version: Name,
        /// The fencing token to send with the command.
        fencing: u64,
    },
    /// Submit a queued job to the engine or service.
    Submit(AttemptKey),
    /// Cancel a job at the engine. The driver still reports its end with [`Event::AttemptEnded`].
    CancelAtEngine(AttemptKey),
    /// Read the list of resident versions from the engine. The number is an epoch, which
    /// [`Event::Resident`] returns.
    ReadResident(u64),
    /// Tell the entry how an accepted job ended.
    End(JobEnd),
    /// Write the outcome of a claimed attempt to its row.
    WriteClaim {
        /// The attempt that the row is claimed for.
        key: AttemptKey,
        /// The key of the claim row.
        row: String,
        /// The outcome to write.
        outcome: Outcome,
    },
    /// Read or write the lease row in the table.
    Lease(LeaseCall),
    /// Write a line to the log.
    Log(String),
    /// Exit the process. All work has ended, and the lease was released or is left to expire.
    Exit,
}

/// The end of an accepted job.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct JobEnd {
    /// The attempt that ended.
    pub key: AttemptKey,
    /// What is known of the attempt.
    pub outcome: Outcome,
    /// Why the engine's response is not a complete answer; `None` if it is, or if the engine did not
    /// receive the job.
    pub failure: Option<Failure>,
    /// The time that the job waited for its version to be loaded.
    pub stall: Duration,
    /// The delay after which the caller may retry, if there is an estimate.
    pub after: Option<Duration>,
}
