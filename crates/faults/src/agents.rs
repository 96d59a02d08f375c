//! Agents beside their engines, driven by [`AgentCore`].

use decision::agent::Action;
use decision::agent::AgentConfig;
use decision::agent::AgentCore;
use decision::agent::Event;
use decision::agent::JobEnd;
use decision::collections::Map;
use decision::drain::Reason;
use decision::ids::Incarnation;
use decision::ids::Name;
use decision::job::End;
use decision::job::Failure;
use decision::job::Outcome;
use decision::lease::LeaseCall;
use decision::lease::LeaseReply;
use decision::ledger::AttemptKey;
use decision::permit::Coordinator;
use decision::time::Time;

use crate::history::ResponseChunk;
use crate::history::StopRecord;
use crate::inject::FaultTarget;
use crate::matrix::Step;
use crate::mutant::Mutant;
use crate::simulation::AgentMessage;
use crate::simulation::AttemptOrigin;
use crate::simulation::EngineCommand;
use crate::simulation::EngineEvent;
use crate::simulation::EntryMessage;
use crate::simulation::MS;
use crate::simulation::ProcessId;
use crate::simulation::ProcessState;
use crate::simulation::SimEvent;
use crate::simulation::Simulation;
use crate::simulation::TableCaller;
use crate::storage::RowValue;
use crate::storage::RowWrite;
use crate::storage::TableOp;
use crate::storage::TableReply;

#[derive(Debug)]
pub(crate) struct AgentProcess {
    pub(crate) process: ProcessState,
    pub(crate) engine: usize,
    pub(crate) incarnation: Incarnation,
    pub(crate) core: AgentCore,
    coordinator: Coordinator,
    /// The origin of each attempt, its served name and the number of chunks sent so far.
    attempts: Map<AttemptKey, (AttemptOrigin, Name, u64)>,
    /// The attempts that were accepted and have not ended.
    open_attempts: decision::collections::Set<AttemptKey>,
    /// Keys in the table, for attempts with an idempotency key.
    pub(crate) claim_rows: Map<AttemptKey, String>,
    peers: Vec<Name>,
    pub(crate) stopping: bool,
    /// Whether the process has made its first lease call, at which [`Step::TakeLease`] occurs.
    lease_called: bool,
    /// Whether the process has read its engine, at which [`Step::LearnEngine`] occurs.
    engine_read: bool,
}

impl AgentProcess {
    fn new(name: Name, engine: usize, incarnation: u64, now: u64) -> AgentProcess {
        AgentProcess {
            process: ProcessState::new(name.to_string(), now, 0),
            engine,
            incarnation: Incarnation(incarnation),
            core: AgentCore::new(name, Incarnation(incarnation)),
            coordinator: Coordinator::new(Time(now), 20.0, 3, incarnation),
            attempts: Map::default(),
            open_attempts: decision::collections::Set::default(),
            claim_rows: Map::default(),
            peers: Vec::new(),
            stopping: false,
            lease_called: false,
            engine_read: false,
        }
    }
}

/// Converts the table's reply to a lease call.
pub(crate) fn lease_reply(reply: TableReply) -> LeaseReply {
    match reply {
        TableReply::Row(Some((version, RowValue::Lease(row)))) => {
            LeaseReply::Row(Some((version, row)))
        }
        TableReply::Row(_) => LeaseReply::Row(None),
        TableReply::Committed(versions) => LeaseReply::Written(versions[0]),
        TableReply::Conflict(_) => LeaseReply::Conflict,
        TableReply::ReadBack(..) | TableReply::NoResponse => LeaseReply::Failed,
    }
}

impl Simulation {
    pub(crate) fn start_agent(&mut self, engine: usize) {
        let pid = self.agents.len();
        let name = self.engines[engine].name.clone();
        let incarnation = 100 + pid as u64;
        self.agents
            .push(AgentProcess::new(name, engine, incarnation, self.now));
        self.start_ticks(ProcessId::Agent(pid));
        if self.now > 0 {
            self.update_membership();
            self.inject_at(Step::LearnGeneration, FaultTarget::agent(pid));
        }
    }

    pub(crate) fn on_agent_killed(&mut self, pid: usize) {
        let name: Name = self.agents[pid].process.name.as_str().into();
        for entry in 0..self.entries.len() {
            let epoch = self.entries[entry].process.epoch;
            let message = EntryMessage::LinkLost(name.clone(), pid);
            self.schedule(2 * MS, SimEvent::Entry(entry, epoch, message));
        }
    }

    pub(crate) fn stop_agent(&mut self, pid: usize) {
        if !self.agents[pid].process.up {
            return;
        }
        self.inject_at(Step::Announce, FaultTarget::agent(pid));
        self.agents[pid].stopping = true;
        self.history.stops.push(StopRecord {
            pid,
            signalled_at: self.now,
            ..StopRecord::default()
        });
        self.update_membership();
        match self.mutant {
            Some(Mutant::AcceptWhileDraining) => {}
            Some(Mutant::ExitWithoutDrain) => self.exit_agent(pid),
            _ => {
                let event = Box::new(Event::Drain(Reason::Signal, true));
                self.schedule(0, SimEvent::Agent(pid, AgentMessage::Core(event)));
            }
        }
    }

    pub(crate) fn on_agent_message(&mut self, pid: usize, message: AgentMessage) {
        match message {
            AgentMessage::Dispatch(job, origin) => {
                self.inject_at(Step::Queue, FaultTarget::pair(origin.entry, pid));
                if self.is_unavailable(pid) {
                    let message = AgentMessage::Dispatch(job, origin);
                    return self.schedule(0, SimEvent::Agent(pid, message));
                }
                if self.mutant == Some(Mutant::ForgetLedger) {
                    self.reset_core(pid);
                }
                let key = AttemptKey::of(&job);
                if let Some(row) = &job.row {
                    self.agents[pid].claim_rows.insert(key, row.clone());
                }
                let served = job.target.served_name().clone();
                let attempts = &mut self.agents[pid].attempts;
                // A second dispatch of the same attempt does not redirect its response.
                attempts.entry(key).or_insert((origin, served, 0));
                self.handle_core_event(pid, Event::Dispatch(job));
            }
            AgentMessage::Settle(key, origin) => self.settle_attempt(pid, key, origin),
            AgentMessage::Cancel(key) => self.handle_core_event(pid, Event::Cancel(key)),
            AgentMessage::PollReport(entry) => self.send_report(pid, entry),
            AgentMessage::PermitRequest(from, request) => {
                let now = self.local_time(ProcessId::Agent(pid));
                let version = request.version.clone();
                let reply = self.agents[pid].coordinator.request(now, *request);
                let coordinator = self.agents[pid].process.name.as_str().into();
                let message = AgentMessage::PermitReply(version, coordinator, reply);
                self.schedule(MS, SimEvent::Agent(from, message));
            }
            AgentMessage::PermitReply(version, from, reply) => {
                let reply = Some(reply);
                self.handle_core_event(
                    pid,
                    Event::Permit {
                        version,
                        from,
                        reply,
                    },
                );
            }
            AgentMessage::ReleasePermit(id) => {
                let now = self.local_time(ProcessId::Agent(pid));
                self.agents[pid].coordinator.release(now, id);
            }
            AgentMessage::Core(event) => {
                if matches!(*event, Event::AttemptEnded(..)) {
                    let stopping = self.agents[pid].stopping;
                    let step = if stopping {
                        Step::FinishWork
                    } else {
                        Step::Finish
                    };
                    self.inject_at(step, self.end_fault_target(pid, &event));
                }
                match self.is_unavailable(pid) {
                    true => self.schedule(0, SimEvent::Agent(pid, AgentMessage::Core(event))),
                    false => self.handle_core_event(pid, *event),
                }
            }
            AgentMessage::Chunk(key, chunk) => self.relay_chunk(pid, key, chunk),
            AgentMessage::ClaimRowReply(key, outcome, tries, reply) => {
                self.on_claim_row_reply(pid, key, outcome, tries, reply);
            }
            AgentMessage::Tick => {
                self.tick_adoption(ProcessId::Agent(pid));
                self.refresh_peers(pid);
                self.handle_core_event(pid, Event::Tick);
                self.schedule_next_tick(ProcessId::Agent(pid));
            }
        }
    }

    fn end_fault_target(&self, pid: usize, event: &Event) -> FaultTarget {
        let entry = match event {
            Event::AttemptEnded(key, _) => self.agents[pid]
                .attempts
                .get(key)
                .map(|attempt| attempt.0.entry),
            _ => None,
        };
        FaultTarget::pair(entry.unwrap_or(0), pid)
    }

    /// Returns whether an agent is down or paused.
    fn is_unavailable(&self, pid: usize) -> bool {
        let process = &self.agents[pid].process;
        !process.up || process.paused_until > self.now
    }

    /// Replaces the state machine of an agent by a new one with the same configuration, peers and
    /// incarnation, and thus an empty ledger.
    fn reset_core(&mut self, pid: usize) {
        let agent = &mut self.agents[pid];
        let name: Name = agent.process.name.as_str().into();
        agent.core = AgentCore::new(name, agent.incarnation);
        let peers = std::mem::take(&mut agent.peers);
        self.apply_config(pid);
        self.handle_core_event(pid, Event::Peers(peers));
        self.handle_core_event(pid, Event::Tick);
    }

    fn refresh_peers(&mut self, pid: usize) {
        let mut peers: Vec<Name> = self.visible_agents().into_keys().collect();
        peers.sort_unstable();
        if peers != self.agents[pid].peers {
            self.agents[pid].peers.clone_from(&peers);
            self.handle_core_event(pid, Event::Peers(peers));
        }
    }

    /// Passes the configuration in force at an agent to its state machine.
    pub(crate) fn apply_config(&mut self, pid: usize) {
        let process = &self.agents[pid].process;
        let head = process.adoption.head().clone();
        if let Some(config) = AgentConfig::for_endpoint(&process.set, head, &process.name) {
            self.handle_core_event(pid, Event::Config(Box::new(config)));
        }
    }

    fn send_report(&mut self, pid: usize, entry: usize) {
        let now = self.local_time(ProcessId::Agent(pid));
        let report = Box::new(self.agents[pid].core.report(now));
        let name: Name = self.agents[pid].process.name.as_str().into();
        let epoch = self.entries[entry].process.epoch;
        let message = EntryMessage::Report(name, report);
        self.schedule(MS, SimEvent::Entry(entry, epoch, message));
    }

    fn settle_attempt(&mut self, pid: usize, key: AttemptKey, origin: AttemptOrigin) {
        let now = self.local_time(ProcessId::Agent(pid));
        let event = Event::Settle(key);
        let actions = self.agents[pid].core.handle(now, event, &mut self.rng);
        let incarnation = self.agents[pid].incarnation;
        for action in actions {
            match action {
                Action::Settled(_, outcome) => {
                    let message =
                        EntryMessage::Settled(origin.call, origin.step_no, incarnation, outcome);
                    self.send_to_entry(origin.entry, message);
                }
                action => self.perform_agent_action(pid, action),
            }
        }
    }

    pub(crate) fn send_to_entry(&mut self, entry: usize, message: EntryMessage) {
        let epoch = self.entries[entry].process.epoch;
        self.send_message(SimEvent::Entry(entry, epoch, message));
    }

    pub(crate) fn handle_core_event(&mut self, pid: usize, event: Event) {
        let now = self.local_time(ProcessId::Agent(pid));
        if matches!(event, Event::Drain(Reason::Signal, true)) {
            self.record_stop_handled(pid);
        }
        let actions = self.agents[pid].core.handle(now, event, &mut self.rng);
        for action in actions {
            if !self.agents[pid].process.up {
                return;
            }
            self.perform_agent_action(pid, action);
        }
    }

    fn record_stop_handled(&mut self, pid: usize) {
        let now = self.now;
        if let Some(stop) = self.history.stops.iter_mut().find(|stop| stop.pid == pid) {
            stop.handled_at.get_or_insert(now);
        }
    }

    fn perform_agent_action(&mut self, pid: usize, action: Action) {
        match action {
            Action::Accept(key) => self.accept_attempt(pid, key),
            Action::Refuse { key, reason, after } => {
                if self.agents[pid].stopping {
                    self.inject_at(Step::Refuse, FaultTarget::agent(pid));
                }
                self.send_end(pid, key, Outcome::NotRun(reason), None, after);
            }
            Action::Duplicate(key, outcome) => self.send_end(pid, key, outcome, None, None),
            Action::Settled(..) | Action::Log(_) => {}
            Action::RequestPermit(to, request) => {
                if let Some(ProcessId::Agent(peer)) = self.find_process(&to) {
                    let message = AgentMessage::PermitRequest(pid, Box::new(request));
                    self.schedule(MS, SimEvent::Agent(peer, message));
                }
            }
            Action::ReturnPermit(to, id) => {
                if let Some(ProcessId::Agent(peer)) = self.find_process(&to) {
                    self.schedule(MS, SimEvent::Agent(peer, AgentMessage::ReleasePermit(id)));
                }
            }
            Action::Load {
                version, fencing, ..
            } => {
                self.inject_at(Step::Load, FaultTarget::agent(pid));
                self.send_command(pid, EngineCommand::Load(version, fencing));
            }
            Action::Unload { version, fencing } => {
                self.send_command(pid, EngineCommand::Unload(version, fencing));
            }
            Action::Submit(key) => self.submit_attempt(pid, key),
            Action::CancelAtEngine(key) => self.send_command(pid, EngineCommand::Cancel(key)),
            Action::ReadResident(epoch) => {
                if self.now > 0 && !std::mem::replace(&mut self.agents[pid].engine_read, true) {
                    self.inject_at(Step::LearnEngine, FaultTarget::agent(pid));
                }
                self.send_command(pid, EngineCommand::ReadResident(epoch));
            }
            Action::End(ended) => self.on_job_end(pid, &ended),
            Action::WriteClaim { key, outcome, .. } => self.write_outcome(pid, key, outcome, 0),
            Action::Lease(call) => self.call_lease(pid, call),
            Action::Exit => self.exit_agent(pid),
        }
    }

    fn accept_attempt(&mut self, pid: usize, key: AttemptKey) {
        self.agents[pid].open_attempts.insert(key);
        let now = self.now;
        if let Some(stop) = self.history.stops.iter_mut().find(|stop| stop.pid == pid) {
            stop.last_accepted_at = Some(now);
        }
        if let Some((origin, ..)) = self.agents[pid].attempts.get(&key).cloned() {
            self.send_to_entry(
                origin.entry,
                EntryMessage::Accepted(origin.call, origin.step_no),
            );
        }
    }

    fn submit_attempt(&mut self, pid: usize, key: AttemptKey) {
        let Some((origin, served, _)) = self.agents[pid].attempts.get(&key).cloned() else {
            return;
        };
        self.inject_at(Step::Pin, FaultTarget::pair(origin.entry, pid));
        let served = match self.mutant {
            Some(Mutant::SubmitOtherVersion) => {
                let resident = &self.engines[self.agents[pid].engine].resident;
                let other = resident.iter().find(|name| **name != served);
                other.cloned().unwrap_or(served)
            }
            _ => served,
        };
        self.send_command(pid, EngineCommand::Submit(key, served.clone(), origin.call));
        if self.mutant == Some(Mutant::UnloadInUse) {
            self.send_command(pid, EngineCommand::Unload(served, u64::MAX));
        }
    }

    fn send_command(&mut self, pid: usize, command: EngineCommand) {
        let engine = self.agents[pid].engine;
        self.schedule(
            MS,
            SimEvent::Engine(engine, EngineEvent::Command(pid, command)),
        );
    }

    fn call_lease(&mut self, pid: usize, call: LeaseCall) {
        let stopping = self.agents[pid].stopping;
        if stopping && matches!(call, LeaseCall::Write { row, .. } if row.released) {
            self.inject_at(Step::Leave, FaultTarget::agent(pid));
        } else if self.now > 0 && !std::mem::replace(&mut self.agents[pid].lease_called, true) {
            self.inject_at(Step::TakeLease, FaultTarget::agent(pid));
        }
        let key = format!("lease/{}", self.agents[pid].process.name);
        let op = match call {
            LeaseCall::Read => TableOp::Read(key),
            LeaseCall::Write { version, row } => TableOp::Tx(vec![RowWrite {
                key,
                version,
                value: RowValue::Lease(row),
            }]),
        };
        self.call_table(op, TableCaller::Lease(pid));
    }

    fn on_job_end(&mut self, pid: usize, ended: &JobEnd) {
        self.agents[pid].open_attempts.remove(&ended.key);
        let failure = ended.failure.clone();
        self.send_end(pid, ended.key, ended.outcome, failure, ended.after);
        let Some((origin, ..)) = self.agents[pid].attempts.get(&ended.key) else {
            return;
        };
        let delivered = self.entries[origin.entry].process.up;
        let event = Box::new(Event::Delivered(ended.key, delivered));
        self.schedule(2 * MS, SimEvent::Agent(pid, AgentMessage::Core(event)));
    }

    fn send_end(
        &mut self,
        pid: usize,
        key: AttemptKey,
        outcome: Outcome,
        failure: Option<Failure>,
        after: Option<std::time::Duration>,
    ) {
        let agent = &self.agents[pid];
        let Some((origin, _, sent)) = agent.attempts.get(&key).cloned() else {
            return;
        };
        let end = End {
            outcome,
            failure,
            incarnation: agent.incarnation,
            endpoint: agent.process.name.as_str().into(),
            stall: std::time::Duration::ZERO,
            chunks: sent,
            after,
        };
        let message = EntryMessage::End(origin.call, origin.step_no, Box::new(end));
        self.send_to_entry(origin.entry, message);
    }

    fn relay_chunk(&mut self, pid: usize, key: AttemptKey, chunk: ResponseChunk) {
        let Some((origin, ..)) = self.agents[pid].attempts.get(&key).cloned() else {
            return;
        };
        self.inject_at(Step::Stream, FaultTarget::pair(origin.entry, pid));
        if self.is_unavailable(pid) {
            let message = AgentMessage::Chunk(key, chunk);
            return self.schedule(0, SimEvent::Agent(pid, message));
        }
        if chunk.index == 0 {
            self.handle_core_event(pid, Event::ResponseStarted(key));
        }
        let Some(attempt) = self.agents[pid].attempts.get_mut(&key) else {
            return;
        };
        let seq = attempt.2;
        attempt.2 += 1;
        let message = EntryMessage::Chunk(origin.call, origin.step_no, seq, chunk);
        self.send_to_entry(origin.entry, message);
    }

    fn exit_agent(&mut self, pid: usize) {
        if !self.agents[pid].stopping {
            return;
        }
        let engine = &self.engines[self.agents[pid].engine];
        let running = engine.running.values().filter(|run| run.pid == pid);
        let unfinished = running.count().max(self.agents[pid].open_attempts.len());
        let now = self.now;
        if let Some(stop) = self.history.stops.iter_mut().find(|stop| stop.pid == pid) {
            stop.exited_at = Some(now);
            stop.unfinished_requests += unfinished;
        }
        self.kill(ProcessId::Agent(pid));
        self.update_membership();
    }

    pub(crate) fn schedule_core_event(&mut self, pid: usize, event: Event) {
        self.schedule(
            MS,
            SimEvent::Agent(pid, AgentMessage::Core(Box::new(event))),
        );
    }

    pub(crate) fn engine_of(&self, pid: usize) -> usize {
        self.agents[pid].engine
    }
}
