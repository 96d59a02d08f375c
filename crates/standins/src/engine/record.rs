//! The engine's own record of executions and commands.

use std::sync::Mutex;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

/// How an execution ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExecutionEnd {
    /// It still runs.
    Running,
    /// All tokens were generated and handed to the connection.
    Completed,
    /// The caller closed its connection.
    Cancelled,
    /// A fault broke off the answer.
    Truncated,
    /// The engine restarted.
    Lost,
}

/// One sequence that entered the batch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Execution {
    /// The header `x-request-id`, or an empty string.
    pub request: String,
    /// The body's field `marker`, or an empty string.
    pub marker: String,
    /// The header `x-priority`, or an empty string.
    pub priority: String,
    /// The adapter or base model that ran.
    pub model: String,
    /// Tokens generated.
    pub tokens: u32,
    /// How it ended.
    pub end: ExecutionEnd,
    /// The time of its start, since the start of the engine.
    pub started: Duration,
    /// The time of its end, since the start of the engine.
    pub ended: Option<Duration>,
}

/// The kind of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandKind {
    /// A load of an adapter.
    Load,
    /// An unload of an adapter.
    Unload,
}

/// What became of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandResult {
    /// It has not ended.
    Pending,
    /// It took effect, or its effect was there already.
    Applied,
    /// It was rejected for its fencing token.
    Fenced,
    /// It was rejected for another reason, without effect.
    Rejected,
    /// It failed partway, or the engine restarted.
    Failed,
}

/// One command that the engine received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Command {
    /// The kind.
    pub kind: CommandKind,
    /// The served name.
    pub name: String,
    /// The digest of the weights; empty for an unload.
    pub digest: String,
    /// The fencing token.
    pub fencing: u64,
    /// What became of it.
    pub result: CommandResult,
    /// Sequences that ran on the adapter when the command was received.
    pub running: u32,
    /// The time of its receipt, since the start of the engine.
    pub started: Duration,
    /// The time of its end, since the start of the engine.
    pub ended: Option<Duration>,
}

/// Everything that an engine did.
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

    /// Returns the commands that unloaded an adapter while sequences ran on it.
    pub fn unloads_in_use(&self) -> impl Iterator<Item = &Command> {
        let done = self
            .commands
            .iter()
            .filter(|c| c.result == CommandResult::Applied);
        done.filter(|c| c.kind == CommandKind::Unload && c.running > 0)
    }
}

/// The place of an entry in the record; it is stale after the record was cleared.
#[derive(Clone, Copy, Debug)]
pub(super) struct Place {
    epoch: u64,
    index: usize,
}

#[derive(Default)]
struct Held {
    epoch: u64,
    record: EngineRecord,
}

/// The record behind a lock, with a notice of each change.
pub(super) struct Log {
    start: Instant,
    held: Mutex<Held>,
    changed: Notify,
}

impl Log {
    pub(super) fn new() -> Log {
        Log {
            start: Instant::now(),
            held: Mutex::default(),
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
        let mut held = self.lock();
        held.epoch += 1;
        held.record = EngineRecord::default();
    }

    pub(super) fn begin_run(&self, execution: Execution) -> Place {
        let mut held = self.lock();
        let place = Place {
            epoch: held.epoch,
            index: held.record.executions.len(),
        };
        held.record.executions.push(execution);
        drop(held);
        self.changed.notify_waiters();
        place
    }

    pub(super) fn end_run(&self, place: Place, end: ExecutionEnd, tokens: u32) {
        let now = self.now();
        let mut held = self.lock();
        if held.epoch != place.epoch {
            return;
        }
        let run = &mut held.record.executions[place.index];
        run.end = end;
        run.tokens = tokens;
        run.ended = Some(now);
        drop(held);
        self.changed.notify_waiters();
    }

    pub(super) fn begin_command(&self, command: Command) -> Place {
        let mut held = self.lock();
        let place = Place {
            epoch: held.epoch,
            index: held.record.commands.len(),
        };
        held.record.commands.push(command);
        drop(held);
        self.changed.notify_waiters();
        place
    }

    pub(super) fn end_command(&self, place: Place, result: CommandResult) {
        let now = self.now();
        let mut held = self.lock();
        if held.epoch != place.epoch {
            return;
        }
        let command = &mut held.record.commands[place.index];
        command.result = result;
        command.ended = Some(now);
        drop(held);
        self.changed.notify_waiters();
    }

    pub(super) async fn wait(&self, check: impl Fn(&EngineRecord) -> bool) {
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

    fn lock(&self) -> std::sync::MutexGuard<'_, Held> {
        self.held.lock().expect("no panic under this lock")
    }
}
