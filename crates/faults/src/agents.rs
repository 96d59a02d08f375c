//! Agents beside their engines, decided by [`AgentCore`].

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

use crate::inject::Subject;
use crate::matrix::Step;
use crate::mutant::Mutant;
use crate::platform::Op;
use crate::platform::TableReply;
use crate::platform::Value;
use crate::platform::Write;
use crate::record::Piece;
use crate::record::Stop;
use crate::world::Asker;
use crate::world::AtEngine;
use crate::world::Command;
use crate::world::Flight;
use crate::world::Happening;
use crate::world::MS;
use crate::world::Node;
use crate::world::Proc;
use crate::world::ToAgent;
use crate::world::ToEntry;
use crate::world::World;

/// One agent process.
#[derive(Debug)]
pub(crate) struct AgentProc {
    pub(crate) node: Node,
    pub(crate) engine: usize,
    pub(crate) own: Incarnation,
    pub(crate) core: AgentCore,
    coordinator: Coordinator,
    flights: Map<AttemptKey, (Flight, Name, u64)>,
    /// The attempts that were accepted and have no end.
    open: decision::collections::Set<AttemptKey>,
    /// The claim rows of attempts.
    pub(crate) rows: Map<AttemptKey, String>,
    peers: Vec<Name>,
    pub(crate) stopping: bool,
    /// Whether the start has passed its first lease call.
    leased: bool,
    /// Whether the start has passed its first read of the engine.
    looked: bool,
}

impl AgentProc {
    fn new(name: Name, engine: usize, own: u64, now: u64) -> AgentProc {
        AgentProc {
            node: Node::new(name.to_string(), now, 0),
            engine,
            own: Incarnation(own),
            core: AgentCore::new(name, Incarnation(own)),
            coordinator: Coordinator::new(Time(now), 20.0, 3, own),
            flights: Map::default(),
            open: decision::collections::Set::default(),
            rows: Map::default(),
            peers: Vec::new(),
            stopping: false,
            leased: false,
            looked: false,
        }
    }
}

/// Returns the answer to a lease call.
pub(crate) fn lease_answer(reply: TableReply) -> LeaseReply {
    match reply {
        TableReply::Row(Some((version, Value::Lease(row)))) => {
            LeaseReply::Row(Some((version, row)))
        }
        TableReply::Row(_) => LeaseReply::Row(None),
        TableReply::Done(versions) => LeaseReply::Written(versions[0]),
        TableReply::Failed(_) => LeaseReply::Conflict,
        TableReply::Back(..) | TableReply::Lost => LeaseReply::Failed,
    }
}

impl World {
    pub(crate) fn start_agent(&mut self, engine: usize) {
        let pid = self.agents.len();
        let name = self.engines[engine].name.clone();
        let own = 100 + pid as u64;
        self.agents
            .push(AgentProc::new(name, engine, own, self.now));
        self.start_ticks(Proc::Agent(pid));
        if self.now > 0 {
            self.update_list();
            self.inject_at(Step::LearnHead, Subject::agent(pid));
        }
    }

    pub(crate) fn agent_killed(&mut self, pid: usize) {
        let name: Name = self.agents[pid].node.name.as_str().into();
        for entry in 0..self.entries.len() {
            let life = self.entries[entry].node.life;
            let message = ToEntry::Unlinked(name.clone(), pid);
            self.at(2 * MS, Happening::Entry(entry, life, message));
        }
    }

    pub(crate) fn stop_agent(&mut self, pid: usize) {
        if !self.agents[pid].node.up {
            return;
        }
        self.inject_at(Step::Announce, Subject::agent(pid));
        self.agents[pid].stopping = true;
        self.record.stops.push(Stop {
            pid,
            at: self.now,
            ..Stop::default()
        });
        self.update_list();
        match self.mutant {
            Some(Mutant::AcceptDraining) => {}
            Some(Mutant::LeaveAtOnce) => self.leave(pid),
            _ => {
                let event = Box::new(Event::Drain(Reason::Signal, true));
                self.at(0, Happening::Agent(pid, ToAgent::Core(event)));
            }
        }
    }

    pub(crate) fn agent_event(&mut self, pid: usize, message: ToAgent) {
        match message {
            ToAgent::Dispatch(job, flight) => {
                self.inject_at(Step::Queue, Subject::both(flight.entry, pid));
                if self.is_away(pid) {
                    let message = ToAgent::Dispatch(job, flight);
                    return self.at(0, Happening::Agent(pid, message));
                }
                if self.mutant == Some(Mutant::ForgetLedger) {
                    self.forget(pid);
                }
                let key = AttemptKey::of(&job);
                if let Some(row) = &job.row {
                    self.agents[pid].rows.insert(key, row.clone());
                }
                let served = job.target.served_name().clone();
                let flights = &mut self.agents[pid].flights;
                // A second dispatch of the same attempt does not take the answer over.
                flights.entry(key).or_insert((flight, served, 0));
                self.give(pid, Event::Dispatch(job));
            }
            ToAgent::Settle(key, flight) => self.settle(pid, key, flight),
            ToAgent::Cancel(key) => self.give(pid, Event::Cancel(key)),
            ToAgent::Poll(entry) => self.report(pid, entry),
            ToAgent::Ask(from, ask) => {
                let now = self.time(Proc::Agent(pid));
                let version = ask.version.clone();
                let reply = self.agents[pid].coordinator.request(now, *ask);
                let own = self.agents[pid].node.name.as_str().into();
                let message = ToAgent::Granted(version, own, reply);
                self.at(MS, Happening::Agent(from, message));
            }
            ToAgent::Granted(version, from, reply) => {
                let reply = Some(reply);
                self.give(
                    pid,
                    Event::Permit {
                        version,
                        from,
                        reply,
                    },
                );
            }
            ToAgent::Return(id) => {
                let now = self.time(Proc::Agent(pid));
                self.agents[pid].coordinator.release(now, id);
            }
            ToAgent::Core(event) => {
                if matches!(*event, Event::AttemptEnded(..)) {
                    let stopping = self.agents[pid].stopping;
                    let step = if stopping { Step::Settle } else { Step::Finish };
                    self.inject_at(step, self.flight_subject(pid, &event));
                }
                match self.is_away(pid) {
                    true => self.at(0, Happening::Agent(pid, ToAgent::Core(event))),
                    false => self.give(pid, *event),
                }
            }
            ToAgent::Chunk(key, piece) => self.relay(pid, key, piece),
            ToAgent::ClaimRow(key, outcome, tries, reply) => {
                self.claim_row(pid, key, outcome, tries, reply);
            }
            ToAgent::Tick => {
                self.tick_adoption(Proc::Agent(pid));
                self.refresh_peers(pid);
                self.give(pid, Event::Tick);
                self.next_tick(Proc::Agent(pid));
            }
        }
    }

    fn flight_subject(&self, pid: usize, event: &Event) -> Subject {
        let entry = match event {
            Event::AttemptEnded(key, _) => {
                self.agents[pid].flights.get(key).map(|held| held.0.entry)
            }
            _ => None,
        };
        Subject::both(entry.unwrap_or(0), pid)
    }

    /// Returns whether a process is gone or paused.
    fn is_away(&self, pid: usize) -> bool {
        let node = &self.agents[pid].node;
        !node.up || node.paused > self.now
    }

    /// Replaces the decisions of an agent by fresh ones that know the configuration.
    fn forget(&mut self, pid: usize) {
        let agent = &mut self.agents[pid];
        let name: Name = agent.node.name.as_str().into();
        agent.core = AgentCore::new(name, agent.own);
        let peers = std::mem::take(&mut agent.peers);
        self.configure(pid);
        self.give(pid, Event::Peers(peers));
        self.give(pid, Event::Tick);
    }

    fn refresh_peers(&mut self, pid: usize) {
        let mut peers: Vec<Name> = self.listed_agents().into_keys().collect();
        peers.sort_unstable();
        if peers != self.agents[pid].peers {
            self.agents[pid].peers.clone_from(&peers);
            self.give(pid, Event::Peers(peers));
        }
    }

    /// Gives an agent the configuration that its process has in force.
    pub(crate) fn configure(&mut self, pid: usize) {
        let node = &self.agents[pid].node;
        let head = node.adoption.head().clone();
        if let Some(config) = AgentConfig::for_endpoint(&node.set, head, &node.name) {
            self.give(pid, Event::Config(Box::new(config)));
        }
    }

    fn report(&mut self, pid: usize, entry: usize) {
        let now = self.time(Proc::Agent(pid));
        let report = Box::new(self.agents[pid].core.report(now));
        let name: Name = self.agents[pid].node.name.as_str().into();
        let life = self.entries[entry].node.life;
        let message = ToEntry::Report(name, report);
        self.at(MS, Happening::Entry(entry, life, message));
    }

    fn settle(&mut self, pid: usize, key: AttemptKey, flight: Flight) {
        let now = self.time(Proc::Agent(pid));
        let event = Event::Settle(key);
        let actions = self.agents[pid].core.handle(now, event, &mut self.rng);
        let by = self.agents[pid].own;
        for action in actions {
            match action {
                Action::Settled(_, outcome) => {
                    let message = ToEntry::Settled(flight.call, flight.no, by, outcome);
                    self.send_entry(flight.entry, message);
                }
                action => self.act(pid, action),
            }
        }
    }

    pub(crate) fn send_entry(&mut self, entry: usize, message: ToEntry) {
        let life = self.entries[entry].node.life;
        self.send(Happening::Entry(entry, life, message));
    }

    pub(crate) fn give(&mut self, pid: usize, event: Event) {
        let now = self.time(Proc::Agent(pid));
        if matches!(event, Event::Drain(Reason::Signal, true)) {
            self.note_heard(pid);
        }
        let actions = self.agents[pid].core.handle(now, event, &mut self.rng);
        for action in actions {
            if !self.agents[pid].node.up {
                return;
            }
            self.act(pid, action);
        }
    }

    fn note_heard(&mut self, pid: usize) {
        let now = self.now;
        if let Some(stop) = self.record.stops.iter_mut().find(|stop| stop.pid == pid) {
            stop.heard.get_or_insert(now);
        }
    }

    fn act(&mut self, pid: usize, action: Action) {
        match action {
            Action::Accept(key) => self.accept(pid, key),
            Action::Refuse { key, reason, after } => {
                if self.agents[pid].stopping {
                    self.inject_at(Step::Refuse, Subject::agent(pid));
                }
                self.end(pid, key, Outcome::NotRun(reason), None, after);
            }
            Action::Duplicate(key, outcome) => self.end(pid, key, outcome, None, None),
            Action::Settled(..) | Action::Log(_) => {}
            Action::AskPermit(to, ask) => {
                if let Some(Proc::Agent(peer)) = self.find(&to) {
                    let message = ToAgent::Ask(pid, Box::new(ask));
                    self.at(MS, Happening::Agent(peer, message));
                }
            }
            Action::ReturnPermit(to, id) => {
                if let Some(Proc::Agent(peer)) = self.find(&to) {
                    self.at(MS, Happening::Agent(peer, ToAgent::Return(id)));
                }
            }
            Action::Load {
                version, fencing, ..
            } => {
                self.inject_at(Step::Load, Subject::agent(pid));
                self.command(pid, Command::Load(version, fencing));
            }
            Action::Unload { version, fencing } => {
                self.command(pid, Command::Unload(version, fencing));
            }
            Action::Submit(key) => self.submit(pid, key),
            Action::CancelAtEngine(key) => self.command(pid, Command::Cancel(key)),
            Action::ReadResident(epoch) => {
                if self.now > 0 && !std::mem::replace(&mut self.agents[pid].looked, true) {
                    self.inject_at(Step::LearnEngine, Subject::agent(pid));
                }
                self.command(pid, Command::Read(epoch));
            }
            Action::End(ended) => self.ended(pid, &ended),
            Action::WriteClaim { key, outcome, .. } => self.write_outcome(pid, key, outcome, 0),
            Action::Lease(call) => self.lease(pid, call),
            Action::Exit => self.leave(pid),
        }
    }

    fn accept(&mut self, pid: usize, key: AttemptKey) {
        self.agents[pid].open.insert(key);
        let now = self.now;
        if let Some(stop) = self.record.stops.iter_mut().find(|stop| stop.pid == pid) {
            stop.accepted = Some(now);
        }
        if let Some((flight, ..)) = self.agents[pid].flights.get(&key).cloned() {
            self.send_entry(flight.entry, ToEntry::Accepted(flight.call, flight.no));
        }
    }

    fn submit(&mut self, pid: usize, key: AttemptKey) {
        let Some((flight, served, _)) = self.agents[pid].flights.get(&key).cloned() else {
            return;
        };
        self.inject_at(Step::Pin, Subject::both(flight.entry, pid));
        let served = match self.mutant {
            Some(Mutant::OtherVersion) => {
                let resident = &self.engines[self.agents[pid].engine].resident;
                let other = resident.iter().find(|name| **name != served);
                other.cloned().unwrap_or(served)
            }
            _ => served,
        };
        self.command(pid, Command::Submit(key, served.clone(), flight.call));
        if self.mutant == Some(Mutant::UnloadInUse) {
            self.command(pid, Command::Unload(served, u64::MAX));
        }
    }

    fn command(&mut self, pid: usize, command: Command) {
        let engine = self.agents[pid].engine;
        self.at(
            MS,
            Happening::Engine(engine, AtEngine::Command(pid, command)),
        );
    }

    fn lease(&mut self, pid: usize, call: LeaseCall) {
        let stopping = self.agents[pid].stopping;
        if stopping && matches!(call, LeaseCall::Write { row, .. } if row.released) {
            self.inject_at(Step::Leave, Subject::agent(pid));
        } else if self.now > 0 && !std::mem::replace(&mut self.agents[pid].leased, true) {
            self.inject_at(Step::TakeLease, Subject::agent(pid));
        }
        let key = format!("lease/{}", self.agents[pid].node.name);
        let op = match call {
            LeaseCall::Read => Op::Read(key),
            LeaseCall::Write { version, row } => Op::Tx(vec![Write {
                key,
                version,
                value: Value::Lease(row),
            }]),
        };
        self.table(op, Asker::Lease(pid));
    }

    fn ended(&mut self, pid: usize, ended: &JobEnd) {
        self.agents[pid].open.remove(&ended.key);
        let failure = ended.failure.clone();
        self.end(pid, ended.key, ended.outcome, failure, ended.after);
        let Some((flight, ..)) = self.agents[pid].flights.get(&ended.key) else {
            return;
        };
        let delivered = self.entries[flight.entry].node.up;
        let event = Box::new(Event::Delivered(ended.key, delivered));
        self.at(2 * MS, Happening::Agent(pid, ToAgent::Core(event)));
    }

    fn end(
        &mut self,
        pid: usize,
        key: AttemptKey,
        outcome: Outcome,
        failure: Option<Failure>,
        after: Option<std::time::Duration>,
    ) {
        let agent = &self.agents[pid];
        let Some((flight, _, sent)) = agent.flights.get(&key).cloned() else {
            return;
        };
        let end = End {
            outcome,
            failure,
            incarnation: agent.own,
            endpoint: agent.node.name.as_str().into(),
            stall: std::time::Duration::ZERO,
            chunks: sent,
            after,
        };
        let message = ToEntry::End(flight.call, flight.no, Box::new(end));
        self.send_entry(flight.entry, message);
    }

    fn relay(&mut self, pid: usize, key: AttemptKey, piece: Piece) {
        let Some((flight, ..)) = self.agents[pid].flights.get(&key).cloned() else {
            return;
        };
        self.inject_at(Step::Stream, Subject::both(flight.entry, pid));
        if self.is_away(pid) {
            let message = ToAgent::Chunk(key, piece);
            return self.at(0, Happening::Agent(pid, message));
        }
        if piece.index == 0 {
            self.give(pid, Event::ResponseStarted(key));
        }
        let Some(held) = self.agents[pid].flights.get_mut(&key) else {
            return;
        };
        let seq = held.2;
        held.2 += 1;
        let message = ToEntry::Chunk(flight.call, flight.no, seq, piece);
        self.send_entry(flight.entry, message);
    }

    fn leave(&mut self, pid: usize) {
        if !self.agents[pid].stopping {
            return;
        }
        let engine = &self.engines[self.agents[pid].engine];
        let running = engine.running.values().filter(|run| run.pid == pid);
        let cut = running.count().max(self.agents[pid].open.len());
        let now = self.now;
        if let Some(stop) = self.record.stops.iter_mut().find(|stop| stop.pid == pid) {
            stop.left = Some(now);
            stop.cut += cut;
        }
        self.kill(Proc::Agent(pid));
        self.update_list();
    }

    pub(crate) fn tell_core(&mut self, pid: usize, event: Event) {
        self.at(MS, Happening::Agent(pid, ToAgent::Core(Box::new(event))));
    }

    pub(crate) fn engine_of(&self, pid: usize) -> usize {
        self.agents[pid].engine
    }
}
