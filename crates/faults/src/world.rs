//! A small site under a virtual clock: entries, agents, engines, table, object store and
//! membership list.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::OnceLock;

use decision::adopt::Adoption;
use decision::agent::Event as CoreEvent;
use decision::collections::Map;
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
use decision::time::Time;
use objects::ObjectSet;

use crate::agents::AgentProc;
use crate::case::Injection;
use crate::engine::Engine;
use crate::entries::Call;
use crate::entries::EntryProc;
use crate::matrix::Fault;
use crate::mutant::Mutant;
use crate::platform::Mode;
use crate::platform::Op;
use crate::platform::Platform;
use crate::platform::TableReply;
use crate::publisher::Publication;
use crate::record::CallLog;
use crate::record::Piece;
use crate::record::Record;
use crate::record::Told;
use crate::sample;

/// Microseconds per millisecond.
pub(crate) const MS: u64 = 1_000;
/// The time after which a caller of table, store or agent gives up.
pub(crate) const CALL_TIMEOUT: u64 = 300 * MS;
/// The interval of ticks of every process.
const TICK: u64 = 250 * MS;
/// The happenings after which a run counts as endless; a sound case has a few thousand.
const MAX_STEPS: u64 = 50_000;
/// The usual lag of the membership list.
const LIST_LAG: u64 = 500 * MS;
/// The lag of the membership list while it lags.
pub(crate) const LONG_LAG: u64 = 30_000 * MS;

/// A process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Proc {
    Entry(usize),
    Agent(usize),
}

/// What every process has.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) name: String,
    pub(crate) up: bool,
    /// The time until which the process is paused.
    pub(crate) paused: u64,
    /// The time by which its clock has jumped forward.
    pub(crate) skew: u64,
    pub(crate) adoption: Adoption,
    pub(crate) set: Arc<ObjectSet>,
    /// Raised by each start of the process.
    pub(crate) life: u32,
}

impl Node {
    pub(crate) fn new(name: String, now: u64, life: u32) -> Node {
        Node {
            name,
            up: true,
            paused: 0,
            skew: 0,
            adoption: Adoption::new(Time(now)),
            set: Arc::default(),
            life,
        }
    }
}

/// One instance of the membership list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Listed {
    pub(crate) name: String,
    pub(crate) proc: Proc,
    pub(crate) leaving: bool,
}

/// A message to an entry.
#[derive(Clone, Debug)]
pub(crate) enum ToEntry {
    Step(usize, u32, Box<request::Event>),
    Accepted(usize, u32),
    Chunk(usize, u32, u64, Piece),
    End(usize, u32, Box<End>),
    Settled(usize, u32, Incarnation, Outcome),
    Report(Name, Box<Report>),
    Unlinked(Name, usize),
    Committed(TableReply),
    Tick,
    Retry(usize, u32, Box<(Outcome, Option<usize>)>),
}

/// Where an attempt's answer goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Flight {
    pub(crate) entry: usize,
    pub(crate) call: usize,
    pub(crate) no: u32,
}

/// A message to an agent.
#[derive(Clone, Debug)]
pub(crate) enum ToAgent {
    Dispatch(Box<Job>, Flight),
    Settle(AttemptKey, Flight),
    Cancel(AttemptKey),
    Poll(usize),
    Ask(usize, Box<PermitRequest>),
    Granted(Name, Name, PermitReply),
    Return(u64),
    Core(Box<CoreEvent>),
    Chunk(AttemptKey, Piece),
    ClaimRow(AttemptKey, Outcome, u32, TableReply),
    Tick,
}

/// A command to an engine.
#[derive(Clone, Debug)]
pub(crate) enum Command {
    Load(Name, u64),
    Unload(Name, u64),
    Submit(AttemptKey, Name, usize),
    Cancel(AttemptKey),
    Read(u64),
}

/// An event at an engine.
#[derive(Clone, Debug)]
pub(crate) enum AtEngine {
    Command(usize, Command),
    Loaded(usize, Name, u64, bool),
    Chunk(usize, u64),
    Ended(usize),
    Up(u64),
    Warm,
}

/// Who made a call to the table.
#[derive(Clone, Debug)]
pub(crate) enum Asker {
    Commit(usize, u32),
    Row(usize, usize, u32),
    Lease(usize),
    Outcome(usize, AttemptKey, Outcome, u32),
    Head(Proc, u32),
    Publisher(usize),
}

/// A message about configuration.
#[derive(Clone, Debug)]
pub(crate) enum Spread {
    Heard(Head, Option<Proc>),
    Asked(Head, Proc),
    Fetched(Head, bool),
}

/// Anything that happens at a time.
#[derive(Clone, Debug)]
pub(crate) enum Happening {
    Arrive(usize),
    Entry(usize, u32, ToEntry),
    Agent(usize, ToAgent),
    Engine(usize, AtEngine),
    Table(Op, Option<Asker>),
    Answer(Asker, TableReply),
    Spread(Proc, u32, Spread),
    Publisher(usize, Box<decision::publish::Event>),
    Stored(Box<decision::publish::Upload>),
    Publish(&'static str),
    Stop(usize),
    Kill(Proc),
    StartAgent(usize),
    StartEntry(usize),
    Heal(Fault),
}

/// The site.
pub struct World {
    pub(crate) now: u64,
    queue: BTreeMap<(u64, u64), Happening>,
    seq: u64,
    pub(crate) rng: fastrand::Rng,
    pub(crate) platform: Platform,
    pub(crate) entries: Vec<EntryProc>,
    pub(crate) agents: Vec<AgentProc>,
    pub(crate) engines: Vec<Engine>,
    pub(crate) calls: Vec<Call>,
    pub(crate) publications: Vec<Publication>,
    pub(crate) mutant: Option<Mutant>,
    pub(crate) plan: Vec<Injection>,
    /// Faults of the next messages between entries and agents.
    pub(crate) message_faults: Vec<Fault>,
    pub(crate) list_lag: u64,
    list: Vec<(u64, Vec<Listed>)>,
    /// The faults that were injected, in order.
    pub injected: Vec<Injection>,
    /// What happened.
    pub record: Record,
}

impl World {
    /// Returns a site in which generation 1 is published and all processes start.
    pub fn new(seed: u64, mutant: Option<Mutant>) -> World {
        static BASE: OnceLock<Platform> = OnceLock::new();
        let mut world = World {
            now: 0,
            queue: BTreeMap::new(),
            seq: 0,
            rng: fastrand::Rng::with_seed(seed),
            platform: BASE.get_or_init(crate::publisher::first).clone(),
            entries: Vec::new(),
            agents: Vec::new(),
            engines: Vec::new(),
            calls: Vec::new(),
            publications: Vec::new(),
            mutant,
            plan: Vec::new(),
            message_faults: Vec::new(),
            list_lag: LIST_LAG,
            list: vec![(0, Vec::new())],
            injected: Vec::new(),
            record: Record::default(),
        };
        for (index, (name, checks)) in sample::ENDPOINTS.iter().enumerate() {
            let engine = Engine::new(name, *checks, name.starts_with('s'));
            world.engines.push(engine);
            world.start_agent(index);
        }
        for index in 0..2 {
            world.entries.push(EntryProc::new(index, 0, 0));
            world.start_ticks(Proc::Entry(index));
        }
        world.update_list();
        // The site has existed before the case begins, so the first list has no lag.
        world.list.retain(|(_, list)| list.len() == 5);
        world
    }

    pub(crate) fn at(&mut self, delay: u64, happening: Happening) {
        self.seq += 1;
        self.queue.insert((self.now + delay, self.seq), happening);
    }

    pub(crate) fn start_ticks(&mut self, proc: Proc) {
        // Processes do not tick in step with one another.
        let phase = self.rng.u64(0..TICK);
        self.schedule_tick(proc, phase);
    }

    pub(crate) fn schedule_tick(&mut self, proc: Proc, delay: u64) {
        let life = self.node(proc).life;
        let happening = match proc {
            Proc::Entry(index) => Happening::Entry(index, life, ToEntry::Tick),
            Proc::Agent(pid) => Happening::Agent(pid, ToAgent::Tick),
        };
        self.at(delay, happening);
    }

    pub(crate) fn next_tick(&mut self, proc: Proc) {
        self.schedule_tick(proc, TICK);
    }

    /// Adds a call that arrives after `delay` and returns its number.
    pub fn call(&mut self, delay: u64, route: &str, key: Option<&str>, stream: bool) -> usize {
        let index = self.calls.len();
        self.calls.push(Call::new(index % 2, stream));
        self.record.calls.push(CallLog {
            route: route.into(),
            key: key.map(str::to_owned),
            at: self.now + delay,
            served: None,
            told: None,
            lost: false,
        });
        self.at(delay, Happening::Arrive(index));
        index
    }

    /// Lets time pass until `end`, in microseconds.
    pub fn run(&mut self, end: u64) {
        let mut steps = 0;
        while let Some(entry) = self.queue.first_entry() {
            let (at, _) = *entry.key();
            if at > end {
                break;
            }
            let happening = entry.remove();
            steps += 1;
            assert!(
                steps < MAX_STEPS,
                "at {at} us: endless case at {happening:?}"
            );
            self.now = self.now.max(at);
            self.happen(happening);
        }
        self.now = end;
    }

    fn happen(&mut self, happening: Happening) {
        if let Some(until) = self.paused_until(&happening) {
            self.at(until - self.now, happening);
            return;
        }
        match happening {
            Happening::Arrive(call) => self.arrive(call),
            Happening::Entry(index, life, message) => {
                let node = &self.entries[index].node;
                if node.up && node.life == life {
                    self.entry_event(index, message);
                }
            }
            Happening::Agent(pid, message) => {
                if self.agents[pid].node.up {
                    self.agent_event(pid, message);
                }
            }
            Happening::Engine(index, event) => self.engine_event(index, event),
            Happening::Table(op, asker) => {
                let reply = self.platform.apply(&op);
                if let Some(asker) = asker {
                    self.at(MS, Happening::Answer(asker, reply));
                }
            }
            Happening::Answer(asker, reply) => self.table_answer(asker, reply),
            Happening::Spread(proc, life, message) => {
                let node = self.node(proc);
                if node.up && node.life == life {
                    self.spread_event(proc, message);
                }
            }
            Happening::Publisher(index, event) => self.publisher_event(index, *event),
            Happening::Stored(upload) => self.platform.put(&upload),
            Happening::Publish(version) => self.publish(version),
            Happening::Stop(pid) => self.stop_agent(pid),
            Happening::Kill(proc) => self.kill(proc),
            Happening::StartAgent(index) => self.start_agent(index),
            Happening::StartEntry(index) => self.start_entry(index),
            Happening::Heal(fault) => self.heal(fault),
        }
    }

    /// Returns the end of the pause of the process that the happening is for.
    fn paused_until(&self, happening: &Happening) -> Option<u64> {
        let proc = match happening {
            Happening::Entry(index, ..) => Proc::Entry(*index),
            Happening::Agent(pid, _) => Proc::Agent(*pid),
            Happening::Spread(proc, ..) => *proc,
            Happening::Answer(asker, _) => match asker {
                Asker::Commit(entry, _) | Asker::Row(entry, ..) => Proc::Entry(*entry),
                Asker::Lease(pid) | Asker::Outcome(pid, ..) => Proc::Agent(*pid),
                Asker::Head(proc, _) => *proc,
                Asker::Publisher(_) => return None,
            },
            _ => return None,
        };
        let node = self.node(proc);
        (node.up && node.paused > self.now).then_some(node.paused)
    }

    pub(crate) fn node(&self, proc: Proc) -> &Node {
        match proc {
            Proc::Entry(index) => &self.entries[index].node,
            Proc::Agent(pid) => &self.agents[pid].node,
        }
    }

    pub(crate) fn node_mut(&mut self, proc: Proc) -> &mut Node {
        match proc {
            Proc::Entry(index) => &mut self.entries[index].node,
            Proc::Agent(pid) => &mut self.agents[pid].node,
        }
    }

    /// Returns the present time on the clock of a process.
    pub(crate) fn time(&self, proc: Proc) -> Time {
        Time(self.now + self.node(proc).skew)
    }

    /// Calls the table under its present fault.
    pub(crate) fn table(&mut self, op: Op, asker: Asker) {
        let writes = matches!(op, Op::Tx(_));
        let lost = writes && self.platform.table == Mode::Up && self.platform.table_losses > 0;
        if lost {
            self.platform.table_losses -= 1;
        }
        match self.platform.table {
            Mode::Up if !lost => return self.at(MS, Happening::Table(op, Some(asker))),
            Mode::Up => self.at(MS, Happening::Table(op, None)),
            Mode::Slow => self.at(CALL_TIMEOUT + 100 * MS, Happening::Table(op, None)),
            Mode::Down => {}
        }
        self.at(CALL_TIMEOUT, Happening::Answer(asker, TableReply::Lost));
    }

    fn table_answer(&mut self, asker: Asker, reply: TableReply) {
        match asker {
            Asker::Commit(entry, life) => {
                let message = ToEntry::Committed(reply);
                self.happen(Happening::Entry(entry, life, message));
            }
            Asker::Row(entry, call, no) => {
                let life = self.entries[entry].node.life;
                let event = Box::new(crate::entries::row_event(reply));
                self.happen(Happening::Entry(
                    entry,
                    life,
                    ToEntry::Step(call, no, event),
                ));
            }
            Asker::Lease(pid) => {
                let event = CoreEvent::Lease(crate::agents::lease_answer(reply));
                self.happen(Happening::Agent(pid, ToAgent::Core(Box::new(event))));
            }
            Asker::Outcome(pid, key, outcome, tries) => {
                let message = ToAgent::ClaimRow(key, outcome, tries, reply);
                self.happen(Happening::Agent(pid, message));
            }
            Asker::Head(proc, life) => {
                if let TableReply::Row(Some((_, crate::platform::Value::Head(head)))) = reply {
                    let heard = Spread::Heard(head, None);
                    self.happen(Happening::Spread(proc, life, heard));
                }
            }
            Asker::Publisher(index) => self.publisher_reply(index, reply),
        }
    }

    /// Sends a message between processes under the message faults that are due.
    pub(crate) fn send(&mut self, happening: Happening) {
        let delay = MS;
        match self.message_faults.pop() {
            None => self.at(delay, happening),
            Some(Fault::MessageLost) => {}
            Some(Fault::MessageLate) => self.at(delay + 700 * MS, happening),
            Some(Fault::MessageTwice) => {
                self.at(delay, happening.clone());
                self.at(delay + 300 * MS, happening);
            }
            Some(_) => self.at(delay + 50 * MS, happening),
        }
    }

    /// Notes a change of the membership list.
    pub(crate) fn update_list(&mut self) {
        let mut list = self
            .list
            .last()
            .map_or(Vec::new(), |(_, list)| list.clone());
        let mut set = |listed: Listed| match list.iter_mut().find(|old| old.name == listed.name) {
            Some(old) => *old = listed,
            None => list.push(listed),
        };
        for (index, entry) in self.entries.iter().enumerate() {
            set(entry.node.listed(Proc::Entry(index), false));
        }
        for (pid, agent) in self.agents.iter().enumerate() {
            set(agent.node.listed(Proc::Agent(pid), agent.stopping));
        }
        let down = |listed: &Listed| {
            let alive = self.node(listed.proc).up;
            alive || !listed.leaving
        };
        list.retain(down);
        self.list.push((self.now, list));
    }

    /// Returns the membership list as processes see it now.
    pub(crate) fn listed(&self) -> &[Listed] {
        let seen = self.now.saturating_sub(self.list_lag);
        let known = self.list.iter().rev().find(|(at, _)| *at <= seen);
        let list = known.or(self.list.first());
        list.map_or(&[], |(_, list)| list.as_slice())
    }

    /// Returns the process that the list has under a name.
    pub(crate) fn find(&self, name: &str) -> Option<Proc> {
        let listed = self.listed().iter().find(|listed| listed.name == *name);
        listed.map(|listed| listed.proc)
    }

    /// Ends a process without a stop.
    pub(crate) fn kill(&mut self, proc: Proc) {
        if !self.node(proc).up {
            return;
        }
        self.node_mut(proc).up = false;
        match proc {
            Proc::Entry(index) => self.entry_killed(index),
            Proc::Agent(pid) => self.agent_killed(pid),
        }
    }

    /// Tells a caller how its call ended.
    pub(crate) fn tell(&mut self, call: usize, told: Told) {
        let log = &mut self.record.calls[call];
        if log.told.is_none() {
            log.told = Some((self.now, told));
        }
    }

    /// Completes the record.
    pub fn finish(&mut self) -> &Record {
        self.record.accepted = self.platform.accepted.clone();
        let procs = (0..self.entries.len()).map(Proc::Entry);
        let procs = procs.chain((0..self.agents.len()).map(Proc::Agent));
        self.record.last = procs
            .map(|proc| self.node(proc))
            .filter(|node| node.up)
            .map(|node| (node.name.clone(), node.adoption.head().clone()))
            .collect();
        &self.record
    }

    /// Returns the live agents of the list.
    pub(crate) fn listed_agents(&self) -> Map<Name, decision::placement::InstanceState> {
        let agents = self.listed().iter();
        agents
            .filter(|listed| matches!(listed.proc, Proc::Agent(_)))
            .map(|listed| {
                let live = match listed.leaving {
                    true => decision::placement::InstanceState::Leaving,
                    false => decision::placement::InstanceState::Live,
                };
                (listed.name.as_str().into(), live)
            })
            .collect()
    }
}

impl Node {
    fn listed(&self, proc: Proc, leaving: bool) -> Listed {
        Listed {
            name: self.name.clone(),
            proc,
            leaving,
        }
    }
}
