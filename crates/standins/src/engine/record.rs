//! The engine's record of executions and commands, which tests compare with what processes report.

use std::sync::Mutex;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

/// The state or outcome of an execution.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExecutionEnd {
    /// The sequence is still running.
    Running,
    /// All tokens were generated and passed to the connection.
    Completed,
    /// The caller closed its connection.
    Cancelled,
    /// An injected fault ended the response early.
    Truncated,
    /// The engine restarted during the execution.
    Lost,
}

/// A sequence that was admitted to the batch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Execution {
    /// The header `x-request-id`, or an empty string.
    pub request: String,
    /// The field `marker` of the request body, or an empty string.
    pub marker: String,
    /// The header `x-priority`, or an empty string.
    pub priority: String,
    /// The adapter or base model that ran, even if a fault made the response name another one.
    pub model: String,
    /// The number of tokens generated; 0 until the execution has ended.
    pub tokens: u32,
    /// How the execution ended, or [`ExecutionEnd::Running`].
    pub end: ExecutionEnd,
    /// When the execution started, as time since the start of the engine.
    pub started: Duration,
    /// When it ended, as time since the start of the engine; `None` while in progress.
    pub ended: Option<Duration>,
}

/// The operation that a command requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandKind {
    /// A load of an adapter.
    Load,
    /// An unload of an adapter.
    Unload,
}

/// The state or outcome of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandResult {
    /// The command is in progress.
    Pending,
    /// The command took effect, or was a load of an adapter already resident.
    Applied,
    /// Rejected because of an old fencing token, without effect.
    Fenced,
    /// Rejected for another reason, without effect.
    Rejected,
    /// The load failed, was interrupted by a restart, or its adapter was unloaded meanwhile.
    Failed,
}

/// A load or unload command that the engine received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Command {
    /// Whether it is a load or an unload.
    pub kind: CommandKind,
    /// The served name of the adapter.
    pub name: String,
    /// The digest of the weights; empty for an unload.
    pub digest: String,
    /// The fencing token that the command carried.
    pub fencing: u64,
    /// The outcome, or [`CommandResult::Pending`].
    pub result: CommandResult,
    /// The number of sequences that ran on the adapter when an unload was received; 0 for a load.
    pub running: u32,
    /// When the command was received, as time since the start of the engine.
    pub started: Duration,
    /// When it ended, as time since the start of the engine; `None` while in progress.
    pub ended: Option<Duration>,
}

/// The executions and commands of an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineRecord {
    /// Executions in order of start.
    pub executions: Vec<Execution>,
    /// Commands in order of receipt.
    pub commands: Vec<Command>,
}

impl EngineRecord {
    /// Returns the executions of one request.
    pub fn executions_of<'a>(
        &'a self,
        request: &'a str,
    ) -> impl Iterator<Item = &'a Execution> + 'a {
        self.executions.iter().filter(move |e| e.request == request)
    }

    /// Returns the unloads that took effect while sequences ran on the adapter.
    pub fn unloads_in_use(&self) -> impl Iterator<Item = &Command> {
        let applied = self
            .commands
            .iter()
            .filter(|c| c.result == CommandResult::Applied);
        applied.filter(|c| c.kind == CommandKind::Unload && c.running > 0)
    }
}

/// Identifies an entry of the record. Updates through it are ignored once the record was cleared.
#[derive(Clone, Copy, Debug)]
pub(super) struct EntryId {
    epoch: u64,
    index: usize,
}

#[derive(Default)]
struct RecorderState {
    epoch: u64,
    record: EngineRecord,
}

/// Holds the record and notifies waiters of each change.
pub(super) struct Recorder {
    start: Instant,
    state: Mutex<RecorderState>,
    changed: Notify,
}

impl Recorder {
    pub(super) fn new() -> Recorder {
        Recorder {
            start: Instant::now(),
            state: Mutex::default(),
            changed: Notify::new(),
        }
    }

    pub(super) fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub(super) fn read<T>(&self, read: impl FnOnce(&EngineRecord) -> T) -> T {
        read(&self.lock().record)
    }

    pub(super) fn clear(&self) {
        let mut state = self.lock();
        state.epoch += 1;
        state.record = EngineRecord::default();
    }

    pub(super) fn begin_execution(&self, execution: Execution) -> EntryId {
        let mut state = self.lock();
        let entry = EntryId {
            epoch: state.epoch,
            index: state.record.executions.len(),
        };
        state.record.executions.push(execution);
        drop(state);
        self.changed.notify_waiters();
        entry
    }

    pub(super) fn end_execution(&self, entry: EntryId, end: ExecutionEnd, tokens: u32) {
        let now = self.now();
        let mut state = self.lock();
        if state.epoch != entry.epoch {
            return;
        }
        let execution = &mut state.record.executions[entry.index];
        execution.end = end;
        execution.tokens = tokens;
        execution.ended = Some(now);
        drop(state);
        self.changed.notify_waiters();
    }

    pub(super) fn begin_command(&self, command: Command) -> EntryId {
        let mut state = self.lock();
        let entry = EntryId {
            epoch: state.epoch,
            index: state.record.commands.len(),
        };
        state.record.commands.push(command);
        drop(state);
        self.changed.notify_waiters();
        entry
    }

    pub(super) fn end_command(&self, entry: EntryId, result: CommandResult) {
        let now = self.now();
        let mut state = self.lock();
        if state.epoch != entry.epoch {
            return;
        }
        let command = &mut state.record.commands[entry.index];
        command.result = result;
        command.ended = Some(now);
        drop(state);
        self.changed.notify_waiters();
    }

    pub(super) async fn wait_until(&self, check: impl Fn(&EngineRecord) -> bool) {
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if self.read(&check) {
                return;
            }
            changed.await;
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, RecorderState> {
        self.state.lock().expect("no panic under this lock")
    }
}
