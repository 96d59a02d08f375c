//! The messages and events between the processes of the simulation.

use decision::agent::Event as CoreEvent;
use decision::ids::Head;
use decision::ids::Incarnation;
use decision::ids::Name;
use decision::job::End;
use decision::job::Job;
use decision::job::Outcome;
use decision::ledger::AttemptKey;
use decision::permit::PermitReply;
use decision::permit::PermitRequest;
use decision::report::Report;
use decision::request;

use crate::history::ResponseChunk;
use crate::matrix::Fault;
use crate::storage::TableOp;
use crate::storage::TableReply;

use super::ProcessId;

/// A message to an entry. Where `call` and `step_no` are given, the entry drops the message if the
/// call has moved on to another step.
#[derive(Clone, Debug)]
pub(crate) enum EntryMessage {
    /// An event of a request: call, step number, event.
    Step(usize, u32, Box<request::Event>),
    /// The agent accepted the attempt: call, step number.
    Accepted(usize, u32),
    /// A chunk of the response: call, step number, sequence number in the stream, chunk.
    Chunk(usize, u32, u64, ResponseChunk),
    /// The end of the attempt: call, step number, end.
    End(usize, u32, Box<End>),
    /// The reply to a settle call: call, step number, incarnation of the agent, outcome.
    Settled(usize, u32, Incarnation, Outcome),
    /// An agent's load report: endpoint, report.
    Report(Name, Box<Report>),
    /// The link to an agent broke: endpoint, process number.
    LinkLost(Name, usize),
    /// The reply to a transaction on claim rows.
    CommitReply(TableReply),
    Tick,
    /// Another try to store an outcome: call, number of the try, outcome and run.
    RetryStore(usize, u32, Box<(Outcome, Option<usize>)>),
}

/// The entry, call and step to which the response of an attempt goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct AttemptOrigin {
    pub(crate) entry: usize,
    pub(crate) call: usize,
    pub(crate) step_no: u32,
}

#[derive(Clone, Debug)]
pub(crate) enum AgentMessage {
    Dispatch(Box<Job>, AttemptOrigin),
    Settle(AttemptKey, AttemptOrigin),
    Cancel(AttemptKey),
    /// Asks for a load report: entry.
    PollReport(usize),
    /// A request to the coordinator: process number of the requester, request.
    PermitRequest(usize, Box<PermitRequest>),
    /// The coordinator's reply: version, coordinator, reply.
    PermitReply(Name, Name, PermitReply),
    /// Returns a permit to the coordinator: permit id.
    ReleasePermit(u64),
    /// An event of the agent's own state machine.
    Core(Box<CoreEvent>),
    /// A chunk of a response, from the engine.
    Chunk(AttemptKey, ResponseChunk),
    /// The table's reply while an outcome is written: attempt, outcome, number of earlier tries,
    /// reply.
    ClaimRowReply(AttemptKey, Outcome, u32, TableReply),
    Tick,
}

#[derive(Clone, Debug)]
pub(crate) enum EngineCommand {
    /// Version, fencing token.
    Load(Name, u64),
    /// Version, fencing token.
    Unload(Name, u64),
    /// Attempt, served name, call.
    Submit(AttemptKey, Name, usize),
    Cancel(AttemptKey),
    /// Reads the resident versions: epoch given by the agent, which the reply repeats.
    ReadResident(u64),
}

#[derive(Clone, Debug)]
pub(crate) enum EngineEvent {
    /// A command from an agent: process number, command.
    Command(usize, EngineCommand),
    /// The end of a load: process number, version, epoch of the engine at its start, success.
    Loaded(usize, Name, u64, bool),
    /// A chunk is ready: run, index of the chunk.
    Chunk(usize, u64),
    /// The response of a run is complete.
    Ended(usize),
    /// The engine is up after a restart: epoch.
    Up(u64),
    /// The prefix cache is filled again.
    CacheWarmed,
}

/// The caller of a table operation, to which its reply goes.
#[derive(Clone, Debug)]
pub(crate) enum TableCaller {
    /// A transaction on claim rows: entry, epoch.
    ClaimCommit(usize, u32),
    /// A read of a claim row: entry, call, step number.
    ClaimRead(usize, usize, u32),
    /// A lease call: process number.
    Lease(usize),
    /// A read or write of a claim row by an agent: process number, attempt, outcome, number of
    /// earlier tries.
    OutcomeWrite(usize, AttemptKey, Outcome, u32),
    /// A read of the head: process, epoch.
    Head(ProcessId, u32),
    /// A publication by its index.
    Publisher(usize),
}

/// A message about configuration.
#[derive(Clone, Debug)]
pub(crate) enum ConfigMessage {
    /// A head from the table, or from a peer where one is given.
    Head(Head, Option<ProcessId>),
    /// A peer's head, in exchange for the receiver's own.
    ExchangeRequest(Head, ProcessId),
    /// The end of the fetch of a snapshot, and whether it succeeded.
    FetchEnded(Head, bool),
}

/// A scheduled event.
#[derive(Clone, Debug)]
pub(crate) enum SimEvent {
    /// A call arrives.
    Arrive(usize),
    /// A message arrives at an entry: index, epoch, message.
    Entry(usize, u32, EntryMessage),
    /// A message arrives at an agent: process number, message.
    Agent(usize, AgentMessage),
    Engine(usize, EngineEvent),
    /// The table carries out an operation; without a caller its reply is lost.
    TableOp(TableOp, Option<TableCaller>),
    TableReply(TableCaller, TableReply),
    /// A message about configuration arrives: process, epoch, message.
    Config(ProcessId, u32, ConfigMessage),
    Publisher(usize, Box<decision::publish::Event>),
    /// The object store has written an upload.
    ObjectsStored(Box<decision::publish::Upload>),
    /// An operator publishes this version of the first adapter.
    Publish(&'static str),
    /// An agent gets the stop signal: process number.
    StopAgent(usize),
    /// A process crashes.
    KillProcess(ProcessId),
    /// An agent starts beside this engine.
    StartAgent(usize),
    StartEntry(usize),
    /// A fault with a duration ends.
    ClearFault(Fault),
}
