//! Fake engines and plain services, which record every request that they run.

use decision::agent::CommandFault;
use decision::agent::EngineResult;
use decision::agent::Event;
use decision::collections::Map;
use decision::collections::Set;
use decision::ids::Name;
use decision::job::Failure;
use decision::ledger::AttemptKey;

use crate::history::CHUNKS_PER_RESPONSE;
use crate::history::ResponseChunk;
use crate::history::Run;
use crate::inject::FaultTarget;
use crate::matrix::Step;
use crate::simulation::AgentMessage;
use crate::simulation::EngineCommand;
use crate::simulation::EngineEvent;
use crate::simulation::MS;
use crate::simulation::SimEvent;
use crate::simulation::Simulation;

/// Time of a load; one that fails takes half of it.
const LOAD_TIME: u64 = 250 * MS;
/// Time between two chunks of a response.
const CHUNK_INTERVAL: u64 = 40 * MS;

/// A request that an engine is running.
#[derive(Clone, Debug)]
pub(crate) struct RunningRequest {
    pub(crate) pid: usize,
    pub(crate) key: AttemptKey,
    pub(crate) served_name: Name,
}

/// An engine, or an instance of a plain service.
#[derive(Clone, Debug)]
pub(crate) struct Engine {
    pub(crate) name: Name,
    /// Whether commands with a fencing token below the highest one seen are rejected.
    pub(crate) checks_fencing: bool,
    /// Whether this is a plain service, which serves any name without a load.
    pub(crate) is_service: bool,
    pub(crate) up: bool,
    /// Incremented by each restart, so that loads from before it do not complete.
    pub(crate) epoch: u64,
    pub(crate) resident: Set<Name>,
    /// Running requests by the index of their run in the history.
    pub(crate) running: Map<usize, RunningRequest>,
    /// The highest fencing token of an accepted command.
    pub(crate) highest_token: u64,
    /// The number of next loads that fail partway.
    pub(crate) failing_loads: u32,
    /// Additional time before the first chunk while the prefix cache is cold; 0 while it is warm.
    pub(crate) cold_delay_ms: u64,
}

impl Engine {
    pub(crate) fn new(name: &str, checks_fencing: bool, is_service: bool) -> Engine {
        Engine {
            name: name.into(),
            checks_fencing,
            is_service,
            up: true,
            epoch: 0,
            resident: Set::default(),
            running: Map::default(),
            highest_token: 0,
            failing_loads: 0,
            cold_delay_ms: 0,
        }
    }

    /// Checks the fencing token of a command and records it. Returns whether the command is carried
    /// out.
    pub(crate) fn accept_token(&mut self, token: u64) -> bool {
        if self.checks_fencing && token < self.highest_token {
            return false;
        }
        self.highest_token = self.highest_token.max(token);
        true
    }

    /// Returns whether a request for `served_name` can run.
    pub(crate) fn can_serve(&self, served_name: &Name) -> bool {
        self.up && (self.is_service || self.resident.contains(served_name))
    }

    /// Returns whether a running request uses the version.
    pub(crate) fn is_in_use(&self, version: &Name) -> bool {
        self.running.values().any(|run| run.served_name == *version)
    }
}

impl Simulation {
    pub(crate) fn on_engine_event(&mut self, index: usize, event: EngineEvent) {
        match event {
            EngineEvent::Command(pid, command) => self.on_engine_command(index, pid, command),
            EngineEvent::Loaded(pid, version, epoch, succeeds) => {
                let engine = &mut self.engines[index];
                let is_loaded = succeeds && engine.epoch == epoch;
                if is_loaded {
                    engine.resident.insert(version.clone());
                }
                let result = if is_loaded {
                    Ok(())
                } else {
                    Err(CommandFault::Failed)
                };
                self.schedule_core_event(pid, Event::LoadEnded(version, result));
            }
            EngineEvent::Chunk(run, chunk) => {
                if let Some(running) = self.engines[index].running.get(&run) {
                    let (pid, key) = (running.pid, running.key);
                    let chunk = ResponseChunk { run, index: chunk };
                    self.schedule(MS, SimEvent::Agent(pid, AgentMessage::Chunk(key, chunk)));
                }
            }
            EngineEvent::Ended(run) => {
                if let Some(running) = self.engines[index].running.remove(&run) {
                    self.schedule_core_event(
                        running.pid,
                        Event::AttemptEnded(running.key, EngineResult::Complete),
                    );
                }
            }
            EngineEvent::Up(epoch) => {
                let engine = &mut self.engines[index];
                engine.up |= engine.epoch == epoch;
            }
            EngineEvent::CacheWarmed => self.engines[index].cold_delay_ms = 0,
        }
    }

    fn on_engine_command(&mut self, index: usize, pid: usize, command: EngineCommand) {
        if let EngineCommand::Submit(key, served_name, call) = command {
            return self.start_run(index, pid, key, served_name, call);
        }
        let engine = &mut self.engines[index];
        match command {
            EngineCommand::Load(version, token) => {
                let succeeds = engine.failing_loads == 0;
                engine.failing_loads = engine.failing_loads.saturating_sub(1);
                if !engine.accept_token(token) {
                    let event = Event::LoadEnded(version, Err(CommandFault::Fenced));
                    return self.schedule_core_event(pid, event);
                }
                let loaded = EngineEvent::Loaded(pid, version, engine.epoch, succeeds && engine.up);
                let time = if succeeds { LOAD_TIME } else { LOAD_TIME / 2 };
                self.schedule(time, SimEvent::Engine(index, loaded));
            }
            EngineCommand::Unload(version, token) => {
                if !engine.accept_token(token) {
                    let event = Event::UnloadEnded(version, Err(CommandFault::Fenced));
                    return self.schedule_core_event(pid, event);
                }
                if engine.is_in_use(&version) {
                    self.history.premature_unloads.push(version.clone());
                }
                engine.resident.remove(&version);
                self.schedule_core_event(pid, Event::UnloadEnded(version, Ok(())));
            }
            EngineCommand::Cancel(key) => {
                let is_match = |running: &RunningRequest| running.pid == pid && running.key == key;
                let running = engine.running.iter().find(|(_, running)| is_match(running));
                if let Some((run, _)) = running.map(|(run, request)| (*run, request.key)) {
                    engine.running.remove(&run);
                    let result = EngineResult::Incomplete(Failure::Truncated);
                    self.schedule_core_event(pid, Event::AttemptEnded(key, result));
                }
            }
            EngineCommand::ReadResident(epoch) => {
                let names = engine.up.then(|| engine.resident.iter().cloned().collect());
                self.schedule_core_event(pid, Event::Resident { epoch, names });
            }
            EngineCommand::Submit(..) => {}
        }
    }

    fn start_run(
        &mut self,
        index: usize,
        pid: usize,
        key: AttemptKey,
        served_name: Name,
        call: usize,
    ) {
        let entry = self.calls[call].entry;
        self.inject_at(Step::Submit, FaultTarget::pair(entry, pid));
        let engine = &mut self.engines[index];
        if !engine.can_serve(&served_name) {
            return self.schedule_core_event(pid, Event::AttemptEnded(key, EngineResult::NotRun));
        }
        let run = self.history.runs.len();
        let cold_delay = engine.cold_delay_ms * MS;
        self.history.runs.push(Run {
            call,
            served_name: served_name.clone(),
            endpoint: engine.name.clone(),
        });
        let running = RunningRequest {
            pid,
            key,
            served_name,
        };
        engine.running.insert(run, running);
        for chunk in 0..CHUNKS_PER_RESPONSE {
            let event = EngineEvent::Chunk(run, chunk);
            self.schedule(
                cold_delay + (chunk + 1) * CHUNK_INTERVAL,
                SimEvent::Engine(index, event),
            );
        }
        let end = cold_delay + CHUNKS_PER_RESPONSE * CHUNK_INTERVAL + 5 * MS;
        self.schedule(end, SimEvent::Engine(index, EngineEvent::Ended(run)));
    }

    /// Restarts an engine, which is down for `downtime` and loses its resident versions and running
    /// requests.
    pub(crate) fn restart_engine(&mut self, index: usize, downtime: u64) {
        let engine = &mut self.engines[index];
        engine.epoch += 1;
        engine.up = false;
        engine.resident.clear();
        let epoch = engine.epoch;
        let mut interrupted: Vec<_> = engine.running.drain().collect();
        interrupted.sort_unstable_by_key(|(run, _)| *run);
        for (_, running) in interrupted {
            let result = EngineResult::Incomplete(Failure::Truncated);
            self.schedule_core_event(running.pid, Event::AttemptEnded(running.key, result));
        }
        self.schedule(downtime, SimEvent::Engine(index, EngineEvent::Up(epoch)));
    }
}
