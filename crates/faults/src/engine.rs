//! Fake engines and plain services, which keep their own account of what they ran.

use decision::agent::CommandFault;
use decision::agent::EngineResult;
use decision::agent::Event;
use decision::collections::Map;
use decision::collections::Set;
use decision::ids::Name;
use decision::job::Failure;
use decision::ledger::AttemptKey;

use crate::inject::Subject;
use crate::matrix::Step;
use crate::record::CHUNKS;
use crate::record::Piece;
use crate::record::Run;
use crate::world::AtEngine;
use crate::world::Command;
use crate::world::Happening;
use crate::world::MS;
use crate::world::ToAgent;
use crate::world::World;

/// The time that a load takes.
const LOAD: u64 = 250 * MS;
/// The time between two chunks.
const CHUNK: u64 = 40 * MS;

/// A request at an engine.
#[derive(Clone, Debug)]
pub(crate) struct Running {
    pub(crate) pid: usize,
    pub(crate) key: AttemptKey,
    pub(crate) served: Name,
}

/// One engine, or one instance of a plain service.
#[derive(Clone, Debug)]
pub(crate) struct Engine {
    pub(crate) name: Name,
    /// Whether old fencing tokens are rejected.
    pub(crate) checks: bool,
    /// Whether any name is served without a load.
    pub(crate) plain: bool,
    pub(crate) up: bool,
    /// Raised by each restart.
    pub(crate) epoch: u64,
    pub(crate) resident: Set<Name>,
    /// Requests by the number of their run.
    pub(crate) running: Map<usize, Running>,
    /// The highest fencing token of a command.
    pub(crate) token: u64,
    /// The loads that will fail partway.
    pub(crate) failing: u32,
    /// Extra milliseconds before the first chunk, after the prefix cache was lost.
    pub(crate) cold_ms: u64,
}

impl Engine {
    pub(crate) fn new(name: &str, checks: bool, plain: bool) -> Engine {
        Engine {
            name: name.into(),
            checks,
            plain,
            up: true,
            epoch: 0,
            resident: Set::default(),
            running: Map::default(),
            token: 0,
            failing: 0,
            cold_ms: 0,
        }
    }

    /// Returns whether a command with this token is carried out.
    pub(crate) fn admit(&mut self, token: u64) -> bool {
        if self.checks && token < self.token {
            return false;
        }
        self.token = self.token.max(token);
        true
    }

    /// Returns whether a request for `served` can run now.
    pub(crate) fn serves(&self, served: &Name) -> bool {
        self.up && (self.plain || self.resident.contains(served))
    }

    /// Returns whether a request uses the version.
    pub(crate) fn uses(&self, version: &Name) -> bool {
        self.running.values().any(|run| run.served == *version)
    }
}

impl World {
    pub(crate) fn engine_event(&mut self, index: usize, event: AtEngine) {
        match event {
            AtEngine::Command(pid, command) => self.engine_command(index, pid, command),
            AtEngine::Loaded(pid, version, epoch, whole) => {
                let engine = &mut self.engines[index];
                let kept = whole && engine.epoch == epoch;
                if kept {
                    engine.resident.insert(version.clone());
                }
                let result = if kept {
                    Ok(())
                } else {
                    Err(CommandFault::Failed)
                };
                self.tell_core(pid, Event::LoadEnded(version, result));
            }
            AtEngine::Chunk(run, chunk) => {
                if let Some(held) = self.engines[index].running.get(&run) {
                    let (pid, key) = (held.pid, held.key);
                    let piece = Piece { run, index: chunk };
                    self.at(MS, Happening::Agent(pid, ToAgent::Chunk(key, piece)));
                }
            }
            AtEngine::Ended(run) => {
                if let Some(held) = self.engines[index].running.remove(&run) {
                    self.tell_core(
                        held.pid,
                        Event::AttemptEnded(held.key, EngineResult::Complete),
                    );
                }
            }
            AtEngine::Up(epoch) => {
                let engine = &mut self.engines[index];
                engine.up |= engine.epoch == epoch;
            }
            AtEngine::Warm => self.engines[index].cold_ms = 0,
        }
    }

    fn engine_command(&mut self, index: usize, pid: usize, command: Command) {
        if let Command::Submit(key, served, call) = command {
            return self.start_run(index, pid, key, served, call);
        }
        let engine = &mut self.engines[index];
        match command {
            Command::Load(version, token) => {
                let whole = engine.failing == 0;
                engine.failing = engine.failing.saturating_sub(1);
                if !engine.admit(token) {
                    let event = Event::LoadEnded(version, Err(CommandFault::Fenced));
                    return self.tell_core(pid, event);
                }
                let loaded = AtEngine::Loaded(pid, version, engine.epoch, whole && engine.up);
                let time = if whole { LOAD } else { LOAD / 2 };
                self.at(time, Happening::Engine(index, loaded));
            }
            Command::Unload(version, token) => {
                if !engine.admit(token) {
                    let event = Event::UnloadEnded(version, Err(CommandFault::Fenced));
                    return self.tell_core(pid, event);
                }
                if engine.uses(&version) {
                    self.record.torn.push(version.clone());
                }
                engine.resident.remove(&version);
                self.tell_core(pid, Event::UnloadEnded(version, Ok(())));
            }
            Command::Cancel(key) => {
                let ours = |held: &Running| held.pid == pid && held.key == key;
                let found = engine.running.iter().find(|(_, held)| ours(held));
                if let Some((run, _)) = found.map(|(run, held)| (*run, held.key)) {
                    engine.running.remove(&run);
                    let finish = EngineResult::Incomplete(Failure::Truncated);
                    self.tell_core(pid, Event::AttemptEnded(key, finish));
                }
            }
            Command::Read(epoch) => {
                let names = engine.up.then(|| engine.resident.iter().cloned().collect());
                self.tell_core(pid, Event::Resident { epoch, names });
            }
            Command::Submit(..) => {}
        }
    }

    fn start_run(&mut self, index: usize, pid: usize, key: AttemptKey, served: Name, call: usize) {
        let entry = self.calls[call].entry;
        self.inject_at(Step::Submit, Subject::both(entry, pid));
        let engine = &mut self.engines[index];
        if !engine.serves(&served) {
            return self.tell_core(pid, Event::AttemptEnded(key, EngineResult::NotRun));
        }
        let run = self.record.runs.len();
        let cold = engine.cold_ms * MS;
        self.record.runs.push(Run {
            call,
            served: served.clone(),
            endpoint: engine.name.clone(),
        });
        let held = Running { pid, key, served };
        engine.running.insert(run, held);
        for chunk in 0..CHUNKS {
            let event = AtEngine::Chunk(run, chunk);
            self.at(cold + (chunk + 1) * CHUNK, Happening::Engine(index, event));
        }
        let end = cold + CHUNKS * CHUNK + 5 * MS;
        self.at(end, Happening::Engine(index, AtEngine::Ended(run)));
    }

    /// Restarts an engine, which is down for `pause`.
    pub(crate) fn restart_engine(&mut self, index: usize, pause: u64) {
        let engine = &mut self.engines[index];
        engine.epoch += 1;
        engine.up = false;
        engine.resident.clear();
        let epoch = engine.epoch;
        let mut broken: Vec<_> = engine.running.drain().collect();
        broken.sort_unstable_by_key(|(run, _)| *run);
        for (_, held) in broken {
            let finish = EngineResult::Incomplete(Failure::Truncated);
            self.tell_core(held.pid, Event::AttemptEnded(held.key, finish));
        }
        self.at(pause, Happening::Engine(index, AtEngine::Up(epoch)));
    }
}
