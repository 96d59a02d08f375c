//! Discrete-event simulation of a small site: entries, agents, engines, table, object store and
//! membership list under a virtual clock.
//!
//! Times, durations and delays are microseconds of virtual time, unless their name says otherwise.

mod messages;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::OnceLock;

use decision::adopt::Adoption;
use decision::agent::Event as CoreEvent;
use decision::collections::Map;
use decision::ids::Name;
use decision::time::Time;
use objects::ObjectSet;

pub(crate) use self::messages::AgentMessage;
pub(crate) use self::messages::AttemptOrigin;
pub(crate) use self::messages::ConfigMessage;
pub(crate) use self::messages::EngineCommand;
pub(crate) use self::messages::EngineEvent;
pub(crate) use self::messages::EntryMessage;
pub(crate) use self::messages::SimEvent;
pub(crate) use self::messages::TableCaller;

use crate::agents::AgentProcess;
use crate::case::Injection;
use crate::engine::Engine;
use crate::entries::Call;
use crate::entries::EntryProcess;
use crate::history::CallRecord;
use crate::history::CallResult;
use crate::history::History;
use crate::matrix::Fault;
use crate::mutant::Mutant;
use crate::publisher::Publication;
use crate::sample;
use crate::storage::Availability;
use crate::storage::Storage;
use crate::storage::TableOp;
use crate::storage::TableReply;

/// Microseconds per millisecond.
pub(crate) const MS: u64 = 1_000;
/// Time after which a call to the table, the object store or an agent fails without a response.
pub(crate) const CALL_TIMEOUT: u64 = 300 * MS;
/// Interval between the ticks of a process.
const TICK: u64 = 250 * MS;
/// Number of handled events at which [`Simulation::run_until`] assumes an endless loop; a correct
/// case handles a few thousand.
const MAX_EVENTS: u64 = 50_000;
/// Delay after which processes see a change of the membership list.
const MEMBERSHIP_LAG: u64 = 500 * MS;
/// The same delay under [`Fault::ListLags`].
pub(crate) const LONG_MEMBERSHIP_LAG: u64 = 30_000 * MS;

/// A simulated process: an entry by its index, or an agent by its process number.
///
/// A restarted entry keeps its index, and a restarted agent gets a new number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum ProcessId {
    Entry(usize),
    Agent(usize),
}

/// State that entries and agents have in common.
#[derive(Debug)]
pub(crate) struct ProcessState {
    pub(crate) name: String,
    pub(crate) up: bool,
    /// Time at which the pause ends; not later than now if the process is not paused.
    pub(crate) paused_until: u64,
    /// Time by which the clock has jumped forward.
    pub(crate) clock_skew: u64,
    pub(crate) adoption: Adoption,
    pub(crate) set: Arc<ObjectSet>,
    /// Incremented when an entry restarts, so that messages to the earlier process are dropped.
    /// Always 0 at agents, which get a new process number instead.
    pub(crate) epoch: u32,
}

impl ProcessState {
    pub(crate) fn new(name: String, now: u64, epoch: u32) -> ProcessState {
        ProcessState {
            name,
            up: true,
            paused_until: 0,
            clock_skew: 0,
            adoption: Adoption::new(Time(now)),
            set: Arc::default(),
            epoch,
        }
    }
}

/// An instance in the membership list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ListedInstance {
    pub(crate) name: String,
    pub(crate) id: ProcessId,
    pub(crate) leaving: bool,
}

/// The simulated site.
pub struct Simulation {
    pub(crate) now: u64,
    /// Scheduled events by time, then by the order in which they were scheduled.
    queue: BTreeMap<(u64, u64), SimEvent>,
    seq: u64,
    pub(crate) rng: fastrand::Rng,
    pub(crate) storage: Storage,
    pub(crate) entries: Vec<EntryProcess>,
    /// All agent processes since the start, by process number.
    pub(crate) agents: Vec<AgentProcess>,
    pub(crate) engines: Vec<Engine>,
    pub(crate) calls: Vec<Call>,
    pub(crate) publications: Vec<Publication>,
    pub(crate) mutant: Option<Mutant>,
    /// The faults that are not injected yet.
    pub(crate) planned: Vec<Injection>,
    /// Message faults to apply to the next messages between processes, last one first.
    pub(crate) message_faults: Vec<Fault>,
    pub(crate) membership_lag: u64,
    /// The versions of the membership list with the times from which they hold.
    memberships: Vec<(u64, Vec<ListedInstance>)>,
    /// The faults that were injected, in order.
    pub injected: Vec<Injection>,
    /// What processes did and which results callers received so far.
    pub history: History,
}

impl Simulation {
    /// Returns a site with generation 1 published and all processes started. `seed` determines the
    /// phases of ticks and the random choices of the decision crate.
    pub fn new(seed: u64, mutant: Option<Mutant>) -> Simulation {
        static BASE: OnceLock<Storage> = OnceLock::new();
        let mut sim = Simulation {
            now: 0,
            queue: BTreeMap::new(),
            seq: 0,
            rng: fastrand::Rng::with_seed(seed),
            storage: BASE.get_or_init(crate::publisher::publish_base_set).clone(),
            entries: Vec::new(),
            agents: Vec::new(),
            engines: Vec::new(),
            calls: Vec::new(),
            publications: Vec::new(),
            mutant,
            planned: Vec::new(),
            message_faults: Vec::new(),
            membership_lag: MEMBERSHIP_LAG,
            memberships: vec![(0, Vec::new())],
            injected: Vec::new(),
            history: History::default(),
        };
        for (index, (name, checks)) in sample::ENDPOINTS.iter().enumerate() {
            let engine = Engine::new(name, *checks, name.starts_with('s'));
            sim.engines.push(engine);
            sim.start_agent(index);
        }
        for index in 0..2 {
            sim.entries.push(EntryProcess::new(index, 0, 0));
            sim.start_ticks(ProcessId::Entry(index));
        }
        sim.update_membership();
        // Keeps only the list of all five processes: the site exists before the case begins, so its
        // membership list is complete from the start.
        sim.memberships.retain(|(_, list)| list.len() == 5);
        sim
    }

    pub(crate) fn schedule(&mut self, delay: u64, event: SimEvent) {
        self.seq += 1;
        self.queue.insert((self.now + delay, self.seq), event);
    }

    pub(crate) fn start_ticks(&mut self, id: ProcessId) {
        // Processes tick out of phase with one another.
        let phase = self.rng.u64(0..TICK);
        self.schedule_tick(id, phase);
    }

    pub(crate) fn schedule_tick(&mut self, id: ProcessId, delay: u64) {
        let epoch = self.process(id).epoch;
        let event = match id {
            ProcessId::Entry(index) => SimEvent::Entry(index, epoch, EntryMessage::Tick),
            ProcessId::Agent(pid) => SimEvent::Agent(pid, AgentMessage::Tick),
        };
        self.schedule(delay, event);
    }

    pub(crate) fn schedule_next_tick(&mut self, id: ProcessId) {
        self.schedule_tick(id, TICK);
    }

    /// Schedules a call that arrives after `delay` microseconds, and returns its number. A call
    /// with an idempotency key must run at most once.
    pub fn add_call(&mut self, delay: u64, route: &str, key: Option<&str>, stream: bool) -> usize {
        let index = self.calls.len();
        self.calls.push(Call::new(index % 2, stream));
        self.history.calls.push(CallRecord {
            route: route.into(),
            key: key.map(str::to_owned),
            arrived_at: self.now + delay,
            served_name: None,
            result: None,
            entry_crashed: false,
        });
        self.schedule(delay, SimEvent::Arrive(index));
        index
    }

    /// Handles all events up to the virtual time `end` in microseconds. Panics if one run
    /// handles 50,000 events, which only an endless loop does.
    pub fn run_until(&mut self, end: u64) {
        let mut handled = 0;
        while let Some(entry) = self.queue.first_entry() {
            let (at, _) = *entry.key();
            if at > end {
                break;
            }
            let event = entry.remove();
            handled += 1;
            assert!(
                handled < MAX_EVENTS,
                "at {at} us: {MAX_EVENTS} events handled, last one {event:?}"
            );
            self.now = self.now.max(at);
            self.handle_event(event);
        }
        self.now = end;
    }

    fn handle_event(&mut self, event: SimEvent) {
        if let Some(until) = self.paused_until(&event) {
            self.schedule(until - self.now, event);
            return;
        }
        match event {
            SimEvent::Arrive(call) => self.on_arrival(call),
            SimEvent::Entry(index, epoch, message) => {
                let process = &self.entries[index].process;
                if process.up && process.epoch == epoch {
                    self.on_entry_message(index, message);
                }
            }
            SimEvent::Agent(pid, message) => {
                if self.agents[pid].process.up {
                    self.on_agent_message(pid, message);
                }
            }
            SimEvent::Engine(index, event) => self.on_engine_event(index, event),
            SimEvent::TableOp(op, caller) => {
                let reply = self.storage.execute(&op);
                if let Some(caller) = caller {
                    self.schedule(MS, SimEvent::TableReply(caller, reply));
                }
            }
            SimEvent::TableReply(caller, reply) => self.on_table_reply(caller, reply),
            SimEvent::Config(id, epoch, message) => {
                let process = self.process(id);
                if process.up && process.epoch == epoch {
                    self.on_config_message(id, message);
                }
            }
            SimEvent::Publisher(index, event) => self.on_publisher_event(index, *event),
            SimEvent::ObjectsStored(upload) => self.storage.store_upload(&upload),
            SimEvent::Publish(version) => self.publish(version),
            SimEvent::StopAgent(pid) => self.stop_agent(pid),
            SimEvent::KillProcess(id) => self.kill(id),
            SimEvent::StartAgent(index) => self.start_agent(index),
            SimEvent::StartEntry(index) => self.start_entry(index),
            SimEvent::ClearFault(fault) => self.clear_fault(fault),
        }
    }

    /// Returns the end of the pause of the process that would handle the event, if it is paused.
    fn paused_until(&self, event: &SimEvent) -> Option<u64> {
        let id = match event {
            SimEvent::Entry(index, ..) => ProcessId::Entry(*index),
            SimEvent::Agent(pid, _) => ProcessId::Agent(*pid),
            SimEvent::Config(id, ..) => *id,
            SimEvent::TableReply(caller, _) => match caller {
                TableCaller::ClaimCommit(entry, _) | TableCaller::ClaimRead(entry, ..) => {
                    ProcessId::Entry(*entry)
                }
                TableCaller::Lease(pid) | TableCaller::OutcomeWrite(pid, ..) => {
                    ProcessId::Agent(*pid)
                }
                TableCaller::Head(id, _) => *id,
                TableCaller::Publisher(_) => return None,
            },
            _ => return None,
        };
        let process = self.process(id);
        (process.up && process.paused_until > self.now).then_some(process.paused_until)
    }

    pub(crate) fn process(&self, id: ProcessId) -> &ProcessState {
        match id {
            ProcessId::Entry(index) => &self.entries[index].process,
            ProcessId::Agent(pid) => &self.agents[pid].process,
        }
    }

    pub(crate) fn process_mut(&mut self, id: ProcessId) -> &mut ProcessState {
        match id {
            ProcessId::Entry(index) => &mut self.entries[index].process,
            ProcessId::Agent(pid) => &mut self.agents[pid].process,
        }
    }

    /// Returns the time on the clock of a process.
    pub(crate) fn local_time(&self, id: ProcessId) -> Time {
        Time(self.now + self.process(id).clock_skew)
    }

    /// Schedules a table operation and its reply, according to the availability of the table and to
    /// lost responses. A slow table carries the operation out after its caller timed out.
    pub(crate) fn call_table(&mut self, op: TableOp, caller: TableCaller) {
        let writes = matches!(op, TableOp::Tx(_));
        let lost = writes
            && self.storage.table_availability == Availability::Up
            && self.storage.lost_table_responses > 0;
        if lost {
            self.storage.lost_table_responses -= 1;
        }
        match self.storage.table_availability {
            Availability::Up if !lost => {
                return self.schedule(MS, SimEvent::TableOp(op, Some(caller)));
            }
            Availability::Up => self.schedule(MS, SimEvent::TableOp(op, None)),
            Availability::Slow => {
                self.schedule(CALL_TIMEOUT + 100 * MS, SimEvent::TableOp(op, None))
            }
            Availability::Down => {}
        }
        self.schedule(
            CALL_TIMEOUT,
            SimEvent::TableReply(caller, TableReply::NoResponse),
        );
    }

    fn on_table_reply(&mut self, caller: TableCaller, reply: TableReply) {
        match caller {
            TableCaller::ClaimCommit(entry, epoch) => {
                let message = EntryMessage::CommitReply(reply);
                self.handle_event(SimEvent::Entry(entry, epoch, message));
            }
            TableCaller::ClaimRead(entry, call, step_no) => {
                let epoch = self.entries[entry].process.epoch;
                let event = Box::new(crate::entries::claim_row_event(reply));
                self.handle_event(SimEvent::Entry(
                    entry,
                    epoch,
                    EntryMessage::Step(call, step_no, event),
                ));
            }
            TableCaller::Lease(pid) => {
                let event = CoreEvent::Lease(crate::agents::lease_reply(reply));
                self.handle_event(SimEvent::Agent(pid, AgentMessage::Core(Box::new(event))));
            }
            TableCaller::OutcomeWrite(pid, key, outcome, tries) => {
                let message = AgentMessage::ClaimRowReply(key, outcome, tries, reply);
                self.handle_event(SimEvent::Agent(pid, message));
            }
            TableCaller::Head(id, epoch) => {
                if let TableReply::Row(Some((_, crate::storage::RowValue::Head(head)))) = reply {
                    let message = ConfigMessage::Head(head, None);
                    self.handle_event(SimEvent::Config(id, epoch, message));
                }
            }
            TableCaller::Publisher(index) => self.on_publisher_reply(index, reply),
        }
    }

    /// Sends a message between processes, with the next of the injected message faults.
    pub(crate) fn send_message(&mut self, event: SimEvent) {
        let delay = MS;
        match self.message_faults.pop() {
            None => self.schedule(delay, event),
            Some(Fault::MessageLost) => {}
            Some(Fault::MessageLate) => self.schedule(delay + 700 * MS, event),
            Some(Fault::MessageTwice) => {
                self.schedule(delay, event.clone());
                self.schedule(delay + 300 * MS, event);
            }
            Some(_) => self.schedule(delay + 50 * MS, event),
        }
    }

    /// Adds a version of the membership list with the present state of all processes. Processes
    /// that are down stay listed unless they were stopping.
    pub(crate) fn update_membership(&mut self) {
        let mut list = self
            .memberships
            .last()
            .map_or(Vec::new(), |(_, list)| list.clone());
        let mut set =
            |listed: ListedInstance| match list.iter_mut().find(|old| old.name == listed.name) {
                Some(old) => *old = listed,
                None => list.push(listed),
            };
        for (index, entry) in self.entries.iter().enumerate() {
            set(entry.process.to_listed(ProcessId::Entry(index), false));
        }
        for (pid, agent) in self.agents.iter().enumerate() {
            set(agent
                .process
                .to_listed(ProcessId::Agent(pid), agent.stopping));
        }
        let is_kept = |listed: &ListedInstance| {
            let alive = self.process(listed.id).up;
            alive || !listed.leaving
        };
        list.retain(is_kept);
        self.memberships.push((self.now, list));
    }

    /// Returns the membership list as processes see it, which lags by `membership_lag`.
    pub(crate) fn visible_members(&self) -> &[ListedInstance] {
        let seen = self.now.saturating_sub(self.membership_lag);
        let known = self.memberships.iter().rev().find(|(at, _)| *at <= seen);
        let list = known.or(self.memberships.first());
        list.map_or(&[], |(_, list)| list.as_slice())
    }

    /// Returns the process that the visible membership list has under a name.
    pub(crate) fn find_process(&self, name: &str) -> Option<ProcessId> {
        let listed = self
            .visible_members()
            .iter()
            .find(|listed| listed.name == *name);
        listed.map(|listed| listed.id)
    }

    /// Ends a process, which takes no further action.
    pub(crate) fn kill(&mut self, id: ProcessId) {
        if !self.process(id).up {
            return;
        }
        self.process_mut(id).up = false;
        match id {
            ProcessId::Entry(index) => self.on_entry_killed(index),
            ProcessId::Agent(pid) => self.on_agent_killed(pid),
        }
    }

    /// Records the result that a caller received, unless it has received one before.
    pub(crate) fn report_result(&mut self, call: usize, result: CallResult) {
        let record = &mut self.history.calls[call];
        if record.result.is_none() {
            record.result = Some((self.now, result));
        }
    }

    /// Adds the committed heads and the heads in force to the history and returns it.
    pub fn finish(&mut self) -> &History {
        self.history.committed_heads = self.storage.committed_heads.clone();
        let ids = (0..self.entries.len()).map(ProcessId::Entry);
        let ids = ids.chain((0..self.agents.len()).map(ProcessId::Agent));
        self.history.final_heads = ids
            .map(|id| self.process(id))
            .filter(|process| process.up)
            .map(|process| (process.name.clone(), process.adoption.head().clone()))
            .collect();
        &self.history
    }

    /// Returns the agents of the visible membership list.
    pub(crate) fn visible_agents(&self) -> Map<Name, decision::placement::InstanceState> {
        let agents = self.visible_members().iter();
        agents
            .filter(|listed| matches!(listed.id, ProcessId::Agent(_)))
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

impl ProcessState {
    fn to_listed(&self, id: ProcessId, leaving: bool) -> ListedInstance {
        ListedInstance {
            name: self.name.clone(),
            id,
            leaving,
        }
    }
}
