//! Entries: resolve, claim, pick, dispatch, relay and answer, decided by the decision crate.

use std::collections::BTreeMap;
use std::time::Duration;

use decision::claim::ClaimRow;
use decision::claim::ClaimedAttempt;
use decision::claim::StoredOutcome;
use decision::claim::group::GroupCommit;
use decision::claim::group::TxResult;
use decision::claim::group::WriteResult;
use decision::collections::Map;
use decision::ids::Name;
use decision::ids::RequestId;
use decision::job::End;
use decision::job::Outcome;
use decision::job::Refusal;
use decision::ledger::AttemptKey;
use decision::placement::CostParams;
use decision::placement::EndpointOutcome;
use decision::placement::EndpointTable;
use decision::placement::Pick;
use decision::problem::Code;
use decision::problem::Ran;
use decision::request::Answer;
use decision::request::ClaimKey;
use decision::request::Event;
use decision::request::Request;
use decision::request::RequestSpec;
use decision::request::Step as Next;
use decision::request::endpoint_outcome;
use decision::retry::RetryBudget;
use decision::route::RouteTable;

use crate::inject::Subject;
use crate::matrix::Step;
use crate::mutant::Mutant;
use crate::platform::Op;
use crate::platform::TableReply;
use crate::platform::Value;
use crate::platform::Write;
use crate::record::Piece;
use crate::record::Told;
use crate::sample::WORKSPACE;
use crate::world::Asker;
use crate::world::CALL_TIMEOUT;
use crate::world::Flight;
use crate::world::Happening;
use crate::world::MS;
use crate::world::Node;
use crate::world::Proc;
use crate::world::ToAgent;
use crate::world::ToEntry;
use crate::world::World;

/// The time within which an agent must accept a job.
const DISPATCH_TIMEOUT: u64 = 500 * MS;
/// The tries to store an outcome.
const STORE_TRIES: u32 = 10;
/// The pause between two of them.
const STORE_PAUSE: u64 = 500 * MS;

/// The state of one call at its entry.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) entry: usize,
    life: u32,
    stream: bool,
    request: Option<Request>,
    /// The number of the present step; results of earlier ones are dropped.
    no: u32,
    /// The agent process that has the present attempt, and the attempt.
    at: Option<(usize, AttemptKey)>,
    accepted: bool,
    pieces: BTreeMap<u64, Piece>,
    end: Option<Box<End>>,
    pick: Option<Pick>,
}

impl Call {
    pub(crate) fn new(entry: usize, stream: bool) -> Call {
        Call {
            entry,
            life: 0,
            stream,
            request: None,
            no: 0,
            at: None,
            accepted: false,
            pieces: BTreeMap::new(),
            end: None,
            pick: None,
        }
    }
}

/// What a write of a claim row is for.
#[derive(Clone, Copy, Debug)]
enum Purpose {
    Claim(usize, u32),
    Store(usize, Outcome, u32),
}

/// One entry process.
#[derive(Debug)]
pub(crate) struct EntryProc {
    pub(crate) node: Node,
    pub(crate) places: EndpointTable,
    table: RouteTable,
    commits: GroupCommit,
    purposes: Map<u64, Purpose>,
    budget: RetryBudget,
    listed: Map<Name, decision::placement::InstanceState>,
}

impl EntryProc {
    pub(crate) fn new(index: usize, now: u64, life: u32) -> EntryProc {
        let domain = format!("d{index}");
        EntryProc {
            node: Node::new(format!("entry{index}"), now, life),
            places: EndpointTable::new("r".into(), domain.as_str().into(), CostParams::default()),
            table: RouteTable::default(),
            commits: GroupCommit::default(),
            purposes: Map::default(),
            budget: RetryBudget::new(0.1),
            listed: Map::default(),
        }
    }
}

/// Returns the event of a claim row that was read.
pub(crate) fn row_event(reply: TableReply) -> Event {
    match reply {
        TableReply::Row(None) => Event::Row(None),
        TableReply::Row(Some((version, Value::Claim(row)))) => Event::Row(Some((version, row))),
        _ => Event::ReadFailed,
    }
}

impl World {
    pub(crate) fn start_entry(&mut self, index: usize) {
        if self.entries[index].node.up {
            return;
        }
        let life = self.entries[index].node.life + 1;
        self.entries[index] = EntryProc::new(index, self.now, life);
        self.start_ticks(Proc::Entry(index));
        self.update_list();
    }

    pub(crate) fn entry_killed(&mut self, index: usize) {
        for call in 0..self.calls.len() {
            let lost = self.calls[call].entry == index && self.calls[call].request.is_some();
            if lost && self.record.calls[call].told.is_none() {
                self.record.calls[call].lost = true;
            }
            if lost && let Some((pid, key)) = self.calls[call].at.take() {
                let event = decision::agent::Event::SinkBroken(key);
                self.at(
                    5 * MS,
                    Happening::Agent(pid, ToAgent::Core(Box::new(event))),
                );
            }
        }
        self.update_list();
    }

    pub(crate) fn entry_event(&mut self, index: usize, message: ToEntry) {
        match message {
            ToEntry::Step(call, no, event) => {
                let unaccepted = matches!(*event, Event::LinkLost { sent: true });
                if !(unaccepted && self.calls[call].accepted) {
                    self.advance(call, no, *event);
                }
            }
            ToEntry::Accepted(call, no) => {
                if self.calls[call].no == no {
                    self.calls[call].accepted = true;
                }
            }
            ToEntry::Chunk(call, no, seq, piece) => self.chunk(call, no, seq, piece),
            ToEntry::End(call, no, end) => {
                if self.calls[call].no == no && self.calls[call].at.is_some() {
                    self.calls[call].end = Some(end);
                    self.check_end(call, no);
                }
            }
            ToEntry::Settled(call, no, by, outcome) => self.settled(call, no, by, outcome),
            ToEntry::Report(name, report) => {
                let now = self.time(Proc::Entry(index));
                let places = &mut self.entries[index].places;
                places.apply_report(now, &report);
                places.set_link(&name, Some(report.incarnation));
            }
            ToEntry::Unlinked(name, pid) => {
                self.entries[index].places.set_link(&name, None);
                self.lose_links(index, pid);
            }
            ToEntry::Committed(reply) => self.committed(index, reply),
            ToEntry::Tick => self.entry_tick(index),
            ToEntry::Retry(call, tries, outcome) => self.store(call, outcome.0, outcome.1, tries),
        }
    }

    fn entry_tick(&mut self, index: usize) {
        self.tick_adoption(Proc::Entry(index));
        let listed = self.listed_agents();
        if listed != self.entries[index].listed {
            self.entries[index].listed = listed;
            self.rebuild(index);
        }
        let names: Vec<Name> = self.entries[index].listed.keys().cloned().collect();
        for name in names {
            if let Some(Proc::Agent(pid)) = self.find(&name) {
                self.poll(index, name, pid);
            }
        }
        self.next_tick(Proc::Entry(index));
    }

    fn poll(&mut self, index: usize, name: Name, pid: usize) {
        let life = self.entries[index].node.life;
        match self.agents[pid].node.up {
            true => self.at(MS, Happening::Agent(pid, ToAgent::Poll(index))),
            false => {
                let message = ToEntry::Unlinked(name, pid);
                self.at(MS, Happening::Entry(index, life, message));
            }
        }
    }

    /// Brings places and routes of an entry in line with its set and list.
    pub(crate) fn rebuild(&mut self, index: usize) {
        let entry = &mut self.entries[index];
        entry.places.apply_config(&entry.node.set, &entry.listed);
        let head = entry.node.adoption.head().clone();
        entry.table = RouteTable::build(head, &entry.node.set);
    }

    pub(crate) fn arrive(&mut self, call: usize) {
        // The platform's load balancer sends a call to an instance that is up and ready.
        let ready = |entry: &EntryProc| entry.node.up && entry.node.adoption.is_ready();
        let entry = match (0..2).find(|shift| ready(&self.entries[(call + shift) % 2])) {
            Some(shift) => (call + shift) % 2,
            None => return self.tell(call, Told::Failed(Code::NotReady, Ran::No)),
        };
        self.calls[call].entry = entry;
        self.inject_at(Step::Resolve, Subject::entry(entry));
        let node = &self.entries[entry].node;
        if !node.up || node.paused > self.now {
            let wait = node.paused.saturating_sub(self.now).max(10 * MS);
            self.at(wait, Happening::Arrive(call));
            return;
        }
        self.calls[call].life = node.life;
        let route = self.record.calls[call].route.clone();
        let table = &self.entries[entry].table;
        let Ok(resolved) = table.resolve(WORKSPACE, &route, "") else {
            return self.tell(call, Told::Failed(Code::ModelNotFound, Ran::No));
        };
        let now = self.time(Proc::Entry(entry));
        self.record.calls[call].served = Some(resolved.choice.target.served_name().clone());
        let key = self.record.calls[call].key.clone();
        let arrival = RequestSpec {
            request: RequestId(call as u128 + 1),
            priority: resolved.route.priority,
            deadline: now.after(resolved.route.deadline),
            path: "/v1/chat/completions".to_owned(),
            stream: self.calls[call].stream,
            prefix: 1 + (call as u64 % 3),
            claim: key.map(|key| ClaimKey {
                row: ClaimRow::key(WORKSPACE, &key),
                digest: key,
                nonce: format!("nonce{call}"),
            }),
            resolved,
        };
        let (request, step) = Request::new(now, arrival, &mut self.entries[entry].budget);
        self.calls[call].request = Some(request);
        self.perform(call, step);
    }

    fn advance(&mut self, call: usize, no: u32, event: Event) {
        let entry = self.calls[call].entry;
        let node = &self.entries[entry].node;
        let stale = self.calls[call].no != no || node.life != self.calls[call].life;
        if stale || !node.up {
            return;
        }
        let now = self.time(Proc::Entry(entry));
        let held = self.calls[call].at.take();
        if let Some((pid, key)) = held {
            self.end_attempt(call, &event, pid, key);
        }
        let budget = &mut self.entries[entry].budget;
        let Some(request) = &mut self.calls[call].request else {
            return;
        };
        let step = request.next(now, &mut self.rng, budget, event);
        self.perform(call, step);
    }

    /// Notes the end of an attempt for routing, and cancels what still runs.
    fn end_attempt(&mut self, call: usize, event: &Event, pid: usize, key: AttemptKey) {
        let entry = self.calls[call].entry;
        let now = self.time(Proc::Entry(entry));
        let Some(pick) = self.calls[call].pick.take() else {
            return;
        };
        let finish = match event {
            Event::Ended(end) => endpoint_outcome(end, Duration::from_millis(50)),
            Event::LinkLost { sent: true } => EndpointOutcome::Failure,
            _ => EndpointOutcome::Neutral,
        };
        let places = &mut self.entries[entry].places;
        places.finish(now, &mut self.rng, &pick, finish);
        match event {
            Event::Ended(end) => places.set_link(&pick.name, Some(end.incarnation)),
            Event::LinkLost { .. } => places.set_link(&pick.name, None),
            _ => {}
        }
        let claimed = self.record.calls[call].key.is_some();
        if !matches!(event, Event::Ended(_)) && !claimed {
            self.send(Happening::Agent(pid, ToAgent::Cancel(key)));
        }
    }

    fn perform(&mut self, call: usize, step: Next) {
        let entry = self.calls[call].entry;
        let hook = match &step {
            Next::Pick => Some(Step::Pick),
            Next::Commit { .. } => Some(Step::Claim),
            Next::Dispatch => Some(Step::Dispatch),
            Next::Answer(_) => Some(Step::Answer),
            _ => None,
        };
        if let Some(hook) = hook {
            self.inject_at(hook, self.subject_of(call));
        }
        if !self.entries[entry].node.up {
            return;
        }
        self.calls[call].no += 1;
        let no = self.calls[call].no;
        // A paused entry goes on with the step after the pause.
        let pause = self.entries[entry].node.paused.saturating_sub(self.now);
        if !matches!(step, Next::Answer(_)) {
            self.expire_later(call, no);
        }
        match step {
            Next::Pick => self.pick(call, no),
            Next::Commit { row, version } => {
                let purpose = Purpose::Claim(call, no);
                self.commit(call, version, *row, purpose);
            }
            Next::Read => {
                let key = ClaimRow::key(WORKSPACE, &self.key_of(call));
                self.table(Op::Read(key), Asker::Row(entry, call, no));
            }
            Next::Settle(named) => self.ask_settle(call, no, &named),
            Next::Wait(until) => {
                let now = self.time(Proc::Entry(entry));
                let left = until.since(now).as_micros() as u64;
                self.later(call, no, left.max(pause), Event::Woke);
            }
            Next::Dispatch => self.dispatch(call, no, pause),
            Next::Answer(answer) => self.answer(call, answer),
        }
    }

    fn expire_later(&mut self, call: usize, no: u32) {
        let Some(request) = &self.calls[call].request else {
            return;
        };
        let now = self.time(Proc::Entry(self.calls[call].entry));
        let left = request.step_deadline().since(now).as_micros() as u64;
        self.later(call, no, left, Event::Expired);
    }

    fn later(&mut self, call: usize, no: u32, delay: u64, event: Event) {
        let (entry, life) = (self.calls[call].entry, self.calls[call].life);
        let message = ToEntry::Step(call, no, Box::new(event));
        self.at(delay, Happening::Entry(entry, life, message));
    }

    fn key_of(&self, call: usize) -> String {
        self.record.calls[call].key.clone().unwrap_or_default()
    }

    fn pick(&mut self, call: usize, no: u32) {
        let entry = self.calls[call].entry;
        let now = self.time(Proc::Entry(entry));
        let Some(request) = &self.calls[call].request else {
            return;
        };
        let places = &mut self.entries[entry].places;
        let pick = places.pick(now, &mut self.rng, &request.pick_args());
        self.calls[call].pick = pick.as_ref().ok().cloned();
        self.later(call, no, 0, Event::Picked(pick));
    }

    fn commit(&mut self, call: usize, version: u64, row: ClaimRow, purpose: Purpose) {
        let entry = self.calls[call].entry;
        let key = ClaimRow::key(WORKSPACE, &self.key_of(call));
        let ticket = self.entries[entry].commits.push(key, version, row);
        self.entries[entry].purposes.insert(ticket, purpose);
        self.pump(entry);
    }

    fn pump(&mut self, entry: usize) {
        let Some(writes) = self.entries[entry].commits.next_tx() else {
            return;
        };
        let writes = writes.iter().map(|write| Write {
            key: write.key.clone(),
            version: write.version,
            value: Value::Claim(write.row.clone()),
        });
        let op = Op::Tx(writes.collect());
        let life = self.entries[entry].node.life;
        self.table(op, Asker::Commit(entry, life));
    }

    fn committed(&mut self, entry: usize, reply: TableReply) {
        let result = match reply {
            TableReply::Done(versions) => TxResult::Committed(versions),
            TableReply::Failed(keys) => TxResult::Conflict(keys),
            _ => TxResult::Unknown,
        };
        for (ticket, result) in self.entries[entry].commits.finish(&result) {
            match self.entries[entry].purposes.remove(&ticket) {
                Some(Purpose::Claim(call, no)) => self.advance(call, no, Event::Written(result)),
                Some(Purpose::Store(call, outcome, tries)) => {
                    let again = matches!(result, WriteResult::NotSent | WriteResult::Unknown);
                    if again && tries < STORE_TRIES {
                        let life = self.entries[entry].node.life;
                        let run = self.run_of(call);
                        let message = ToEntry::Retry(call, tries + 1, Box::new((outcome, run)));
                        self.at(STORE_PAUSE, Happening::Entry(entry, life, message));
                    }
                }
                None => {}
            }
        }
        self.pump(entry);
    }

    /// Asks the agent that the list has under the name, as the entry's driver does.
    fn ask_settle(&mut self, call: usize, no: u32, named: &ClaimedAttempt) {
        self.later(call, no, CALL_TIMEOUT, Event::SettleFailed);
        let Some(Proc::Agent(pid)) = self.find(&named.endpoint) else {
            return;
        };
        let key = AttemptKey {
            request: named.request,
            attempt: named.attempt,
        };
        let flight = Flight {
            entry: self.calls[call].entry,
            call,
            no,
        };
        self.calls[call].end = None;
        self.send(Happening::Agent(pid, ToAgent::Settle(key, flight)));
    }

    fn settled(&mut self, call: usize, no: u32, by: decision::ids::Incarnation, outcome: Outcome) {
        // The entry's driver compares the incarnation of the row with that of the answer.
        let named = self
            .platform
            .claim(&ClaimRow::key(WORKSPACE, &self.key_of(call)));
        let event = match named {
            Some(row) if row.agent == by => Event::Settled(outcome),
            _ => Event::AgentGone,
        };
        self.advance(call, no, event);
    }

    fn dispatch(&mut self, call: usize, no: u32, pause: u64) {
        let entry = self.calls[call].entry;
        let now = self.time(Proc::Entry(entry));
        let (Some(request), Some(pick)) = (&self.calls[call].request, &self.calls[call].pick)
        else {
            return self.later(call, no, 0, Event::LinkLost { sent: false });
        };
        let job = Box::new(request.job(now));
        let name = pick.name.clone();
        let Some(Proc::Agent(pid)) = self.find(&name) else {
            return self.later(call, no, MS, Event::LinkLost { sent: false });
        };
        let key = AttemptKey::of(&job);
        let state = &mut self.calls[call];
        state.at = Some((pid, key));
        state.accepted = false;
        state.pieces.clear();
        state.end = None;
        if !self.agents[pid].node.up {
            return self.later(call, no, MS, Event::LinkLost { sent: false });
        }
        self.note_sent(pid);
        let flight = Flight { entry, call, no };
        let message = Happening::Agent(pid, ToAgent::Dispatch(job, flight));
        match pause {
            0 => self.send(message),
            _ => self.at(pause, message),
        }
        let life = self.calls[call].life;
        let check = ToEntry::Step(call, no, Box::new(Event::LinkLost { sent: true }));
        self.at(
            pause + DISPATCH_TIMEOUT,
            Happening::Entry(entry, life, check),
        );
    }

    fn note_sent(&mut self, pid: usize) {
        let now = self.now;
        if let Some(stop) = self.record.stops.iter_mut().find(|stop| stop.pid == pid) {
            stop.sent = Some(now);
        }
    }

    fn chunk(&mut self, call: usize, no: u32, seq: u64, piece: Piece) {
        if self.calls[call].no != no || self.calls[call].at.is_none() {
            return;
        }
        self.calls[call].pieces.insert(seq, piece);
        if self.calls[call].stream
            && let Some(request) = &mut self.calls[call].request
        {
            request.mark_response_started();
        }
        if self.mutant == Some(Mutant::FirstChunkOnly) {
            let pieces = self.calls[call].pieces.values().cloned().collect();
            self.tell(call, Told::Whole(pieces));
        }
        self.check_end(call, no);
    }

    /// Ends the attempt once the end and all chunks before it have arrived.
    fn check_end(&mut self, call: usize, no: u32) {
        let state = &mut self.calls[call];
        let complete = |end: &End| state.pieces.len() as u64 == end.chunks;
        if state.end.as_deref().is_some_and(complete)
            && let Some(end) = state.end.take()
        {
            self.advance(call, no, Event::Ended(end));
        }
    }

    /// Breaks the links of an entry to an agent that is gone.
    fn lose_links(&mut self, entry: usize, pid: usize) {
        for call in 0..self.calls.len() {
            let state = &self.calls[call];
            if state.entry == entry && state.at.is_some_and(|at| at.0 == pid) {
                let no = state.no;
                self.advance(call, no, Event::LinkLost { sent: true });
            }
        }
    }

    fn answer(&mut self, call: usize, answer: Answer) {
        let (told, store) = match answer {
            Answer::Complete => {
                let pieces: Vec<Piece> = self.calls[call].pieces.values().cloned().collect();
                let run = pieces.first().map(|piece| piece.run);
                (Told::Whole(pieces), Some((Outcome::Ran, run)))
            }
            Answer::Replay(stored) => {
                let run = stored.body.and_then(|body| body.parse().ok());
                (Told::Replay(run), None)
            }
            Answer::Failed(problem) => {
                let store = match problem.ran {
                    Ran::Yes => Some((Outcome::Ran, None)),
                    Ran::No => Some((Outcome::NotRun(Refusal::Settled), None)),
                    Ran::Unknown => None,
                };
                let ran = match (self.mutant, problem.ran) {
                    (Some(Mutant::SayNotRun), Ran::Unknown) => Ran::No,
                    (_, ran) => ran,
                };
                (Told::Failed(problem.code, ran), store)
            }
        };
        self.tell(call, told);
        if let Some((outcome, run)) = store {
            self.store(call, outcome, run, 1);
        }
    }

    fn run_of(&self, call: usize) -> Option<usize> {
        let first = self.calls[call].pieces.values().next();
        first.map(|piece| piece.run)
    }

    /// Records an outcome in the claim row.
    fn store(&mut self, call: usize, outcome: Outcome, run: Option<usize>, tries: u32) {
        let stored = run.map(|run| StoredOutcome {
            outcome,
            status: 200,
            content: String::new(),
            body: Some(run.to_string()),
            receipt: None,
        });
        let request = self.calls[call].request.as_ref();
        let record = request.and_then(|request| request.record(outcome, stored));
        let Some((version, row)) = record else {
            return;
        };
        self.inject_at(Step::Record, self.subject_of(call));
        if !self.entries[self.calls[call].entry].node.up {
            return;
        }
        self.commit(call, version, row, Purpose::Store(call, outcome, tries));
    }

    /// Returns the processes that a step of a call concerns.
    fn subject_of(&self, call: usize) -> Subject {
        let state = &self.calls[call];
        let name = state.pick.as_ref().map(|pick| pick.name.clone());
        let named = name.and_then(|name| self.find(&name));
        let agent = match (state.at, named) {
            (Some((pid, _)), _) | (None, Some(Proc::Agent(pid))) => pid,
            _ => 0,
        };
        Subject {
            entry: state.entry,
            agent,
        }
    }
}
