//! What an agent is told and what it does.

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

/// The configuration of one agent.
#[derive(Clone, Debug)]
pub struct AgentConfig {
    /// The generation in force.
    pub head: Head,
    /// What the endpoint runs; a model by its engine-side identifier.
    pub backend: Backend,
    /// The number of adapter slots.
    pub slots: u32,
    /// The number of concurrent sequences or calls.
    pub batch: u32,
    /// The limit of the queue.
    pub queue: u32,
    /// What the engine does with fencing tokens.
    pub fencing: Fencing,
    /// Whether the endpoint takes no new work.
    pub draining: bool,
    /// The set in force.
    pub set: Arc<ObjectSet>,
}

impl AgentConfig {
    /// Returns the configuration of the endpoint `name`, if the set has such an endpoint.
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

/// Why a load or unload failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandFault {
    /// The engine did not carry the command out.
    Failed,
    /// No answer came; the command may have been carried out.
    Unknown,
    /// The engine rejected the fencing token.
    Fenced,
}

/// How an attempt at the engine ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineResult {
    /// The whole answer arrived.
    Complete,
    /// The request certainly did not reach the engine, or the engine refused it unprocessed.
    NotRun,
    /// The engine refused the request itself with an error status; it did not run.
    Refused(Failure),
    /// The answer is not whole; the request may have run.
    Incomplete(Failure),
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// A job arrived.
    Dispatch(Box<Job>),
    /// The caller gave the request up.
    Cancel(AttemptKey),
    /// The connection on which the answer is sent broke.
    SinkBroken(AttemptKey),
    /// An entry asks what became of an attempt.
    Settle(AttemptKey),
    /// A load ended.
    LoadEnded(Name, Result<(), CommandFault>),
    /// An unload ended.
    UnloadEnded(Name, Result<(), CommandFault>),
    /// A coordinator answered an ask, or the call failed.
    Permit {
        /// The version that the permit is for.
        version: Name,
        /// The coordinator.
        from: Name,
        /// The reply.
        reply: Option<PermitReply>,
    },
    /// The head of an answer arrived.
    ResponseStarted(AttemptKey),
    /// An attempt at the engine ended.
    AttemptEnded(AttemptKey, EngineResult),
    /// The engine listed its resident versions, or the call failed. `epoch` is that of the action.
    Resident {
        /// The epoch at which the list was requested.
        epoch: u64,
        /// The served names.
        names: Option<Vec<Name>>,
    },
    /// The table answered the pending lease call.
    Lease(LeaseReply),
    /// The end of an accepted job with a claim row reached the entry, or did not. To be sent for
    /// each such job whose connection was not reported as broken before its end.
    Delivered(AttemptKey, bool),
    /// The outcome was written to the claim row, or given up.
    ClaimWritten(AttemptKey),
    /// Time passed. To be sent at least every 500 ms.
    Tick,
    /// A reason to drain appeared or went away.
    Drain(Reason, bool),
    /// A configuration came into force.
    Config(Box<AgentConfig>),
    /// The live agents of the region, this one included.
    Peers(Vec<Name>),
}

/// What the agent does.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Tell the entry that the job is queued.
    Accept(AttemptKey),
    /// Tell the entry that the job is not run; the refusal is recorded.
    Refuse {
        /// The attempt.
        key: AttemptKey,
        /// The reason.
        reason: Refusal,
        /// The time after which a retry makes sense.
        after: Option<Duration>,
    },
    /// Tell the entry that the attempt was seen before.
    Duplicate(AttemptKey, Outcome),
    /// Answer a settle.
    Settled(AttemptKey, Outcome),
    /// Ask a coordinator for a permit.
    AskPermit(Name, PermitRequest),
    /// Return a permit to a coordinator.
    ReturnPermit(Name, u64),
    /// Load a version.
    Load {
        /// The served name.
        version: Name,
        /// The locator in the weight store.
        weights: Name,
        /// The digest of the weights.
        digest: Name,
        /// The fencing token.
        fencing: u64,
    },
    /// Unload a version.
    Unload {
        /// The served name.
        version: Name,
        /// The fencing token.
        fencing: u64,
    },
    /// Submit a job to the engine or service.
    Submit(AttemptKey),
    /// Cancel a job at the engine; its end is still to be reported.
    CancelAtEngine(AttemptKey),
    /// Read what is resident.
    ReadResident(u64),
    /// Tell the entry how an accepted job ended.
    End(JobEnd),
    /// Write the outcome of a claimed attempt to its row.
    WriteClaim {
        /// The attempt.
        key: AttemptKey,
        /// The key of the row.
        row: String,
        /// The outcome.
        outcome: Outcome,
    },
    /// Call the table for the lease.
    Lease(LeaseCall),
    /// Write a line to the log.
    Log(String),
    /// Exit.
    Exit,
}

/// The end of an accepted job.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct JobEnd {
    /// The attempt.
    pub key: AttemptKey,
    /// The outcome.
    pub outcome: Outcome,
    /// The failure, if the answer is not whole.
    pub failure: Option<Failure>,
    /// The time spent waiting for the adapter.
    pub stall: Duration,
    /// The time after which a retry makes sense.
    pub after: Option<Duration>,
}
