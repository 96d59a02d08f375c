//! Entries, which route calls to agents and relay the responses, driven by [`decision::request`].

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

use crate::history::CallResult;
use crate::history::ResponseChunk;
use crate::inject::FaultTarget;
use crate::matrix::Step;
use crate::mutant::Mutant;
use crate::sample::WORKSPACE;
use crate::simulation::AgentMessage;
use crate::simulation::AttemptOrigin;
use crate::simulation::CALL_TIMEOUT;
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

/// Time within which an agent must accept a job; after it the link counts as lost.
const DISPATCH_TIMEOUT: u64 = 500 * MS;
/// Tries to store an outcome in the claim row.
const MAX_STORE_TRIES: u32 = 10;
/// Delay between two tries to store an outcome.
const STORE_RETRY_DELAY: u64 = 500 * MS;

/// State of a call at its entry.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) entry: usize,
    /// The epoch of the entry when the call arrived.
    epoch: u32,
    stream: bool,
    request: Option<Request>,
    /// The number of the current step; results of earlier steps are dropped.
    step_no: u32,
    /// The process number of the agent that has the current attempt, and the attempt.
    attempt: Option<(usize, AttemptKey)>,
    accepted: bool,
    /// Received chunks by sequence number.
    chunks: BTreeMap<u64, ResponseChunk>,
    /// The end of the attempt, if chunks before it are still missing.
    end: Option<Box<End>>,
    pick: Option<Pick>,
}

impl Call {
    pub(crate) fn new(entry: usize, stream: bool) -> Call {
        Call {
            entry,
            epoch: 0,
            stream,
            request: None,
            step_no: 0,
            attempt: None,
            accepted: false,
            chunks: BTreeMap::new(),
            end: None,
            pick: None,
        }
    }
}

/// Purpose of a queued write of a claim row.
#[derive(Clone, Copy, Debug)]
enum WritePurpose {
    /// The request writes its claim: call, step number.
    Claim(usize, u32),
    /// The outcome is stored after the response: call, outcome, number of the try.
    StoreOutcome(usize, Outcome, u32),
}

#[derive(Debug)]
pub(crate) struct EntryProcess {
    pub(crate) process: ProcessState,
    pub(crate) endpoints: EndpointTable,
    routes: RouteTable,
    group_commit: GroupCommit,
    write_purposes: Map<u64, WritePurpose>,
    retry_budget: RetryBudget,
    known_agents: Map<Name, decision::placement::InstanceState>,
}

impl EntryProcess {
    pub(crate) fn new(index: usize, now: u64, epoch: u32) -> EntryProcess {
        let domain = format!("d{index}");
        EntryProcess {
            process: ProcessState::new(format!("entry{index}"), now, epoch),
            endpoints: EndpointTable::new(
                "r".into(),
                domain.as_str().into(),
                CostParams::default(),
            ),
            routes: RouteTable::default(),
            group_commit: GroupCommit::default(),
            write_purposes: Map::default(),
            retry_budget: RetryBudget::new(0.1),
            known_agents: Map::default(),
        }
    }
}

/// Converts the table's reply to a read of a claim row.
pub(crate) fn claim_row_event(reply: TableReply) -> Event {
    match reply {
        TableReply::Row(None) => Event::RowRead(None),
        TableReply::Row(Some((version, RowValue::Claim(row)))) => {
            Event::RowRead(Some((version, row)))
        }
        _ => Event::ReadFailed,
    }
}

impl Simulation {
    pub(crate) fn start_entry(&mut self, index: usize) {
        if self.entries[index].process.up {
            return;
        }
        let epoch = self.entries[index].process.epoch + 1;
        self.entries[index] = EntryProcess::new(index, self.now, epoch);
        self.start_ticks(ProcessId::Entry(index));
        self.update_membership();
    }

    pub(crate) fn on_entry_killed(&mut self, index: usize) {
        for call in 0..self.calls.len() {
            let is_open = self.calls[call].entry == index && self.calls[call].request.is_some();
            if is_open && self.history.calls[call].result.is_none() {
                self.history.calls[call].entry_crashed = true;
            }
            if is_open && let Some((pid, key)) = self.calls[call].attempt.take() {
                let event = decision::agent::Event::SinkBroken(key);
                self.schedule(
                    5 * MS,
                    SimEvent::Agent(pid, AgentMessage::Core(Box::new(event))),
                );
            }
        }
        self.update_membership();
    }

    pub(crate) fn on_entry_message(&mut self, index: usize, message: EntryMessage) {
        match message {
            EntryMessage::Step(call, step_no, event) => {
                let is_dispatch_timeout = matches!(*event, Event::LinkLost { sent: true });
                if !(is_dispatch_timeout && self.calls[call].accepted) {
                    self.on_request_event(call, step_no, *event);
                }
            }
            EntryMessage::Accepted(call, step_no) => {
                if self.calls[call].step_no == step_no {
                    self.calls[call].accepted = true;
                }
            }
            EntryMessage::Chunk(call, step_no, seq, chunk) => {
                self.on_chunk(call, step_no, seq, chunk)
            }
            EntryMessage::End(call, step_no, end) => {
                if self.calls[call].step_no == step_no && self.calls[call].attempt.is_some() {
                    self.calls[call].end = Some(end);
                    self.finish_if_complete(call, step_no);
                }
            }
            EntryMessage::Settled(call, step_no, incarnation, outcome) => {
                self.on_settled(call, step_no, incarnation, outcome)
            }
            EntryMessage::Report(name, report) => {
                let now = self.local_time(ProcessId::Entry(index));
                let endpoints = &mut self.entries[index].endpoints;
                endpoints.apply_report(now, &report);
                endpoints.set_link(&name, Some(report.incarnation));
            }
            EntryMessage::LinkLost(name, pid) => {
                self.entries[index].endpoints.set_link(&name, None);
                self.break_links(index, pid);
            }
            EntryMessage::CommitReply(reply) => self.on_commit_reply(index, reply),
            EntryMessage::Tick => self.tick_entry(index),
            EntryMessage::RetryStore(call, tries, outcome) => {
                self.store_outcome(call, outcome.0, outcome.1, tries)
            }
        }
    }

    fn tick_entry(&mut self, index: usize) {
        self.tick_adoption(ProcessId::Entry(index));
        let visible_agents = self.visible_agents();
        if visible_agents != self.entries[index].known_agents {
            self.entries[index].known_agents = visible_agents;
            self.rebuild_routing(index);
        }
        let names: Vec<Name> = self.entries[index].known_agents.keys().cloned().collect();
        for name in names {
            if let Some(ProcessId::Agent(pid)) = self.find_process(&name) {
                self.poll_report(index, name, pid);
            }
        }
        self.schedule_next_tick(ProcessId::Entry(index));
    }

    fn poll_report(&mut self, index: usize, name: Name, pid: usize) {
        let epoch = self.entries[index].process.epoch;
        match self.agents[pid].process.up {
            true => self.schedule(MS, SimEvent::Agent(pid, AgentMessage::PollReport(index))),
            false => {
                let message = EntryMessage::LinkLost(name, pid);
                self.schedule(MS, SimEvent::Entry(index, epoch, message));
            }
        }
    }

    /// Applies an entry's object set and known agents to its endpoint and route tables.
    pub(crate) fn rebuild_routing(&mut self, index: usize) {
        let entry = &mut self.entries[index];
        entry
            .endpoints
            .apply_config(&entry.process.set, &entry.known_agents);
        let head = entry.process.adoption.head().clone();
        entry.routes = RouteTable::build(head, &entry.process.set);
    }

    pub(crate) fn on_arrival(&mut self, call: usize) {
        // The load balancer sends calls to entries that are up and ready.
        let is_ready = |entry: &EntryProcess| entry.process.up && entry.process.adoption.is_ready();
        let entry = match (0..2).find(|shift| is_ready(&self.entries[(call + shift) % 2])) {
            Some(shift) => (call + shift) % 2,
            None => return self.report_result(call, CallResult::Failed(Code::NotReady, Ran::No)),
        };
        self.calls[call].entry = entry;
        self.inject_at(Step::Resolve, FaultTarget::entry(entry));
        let process = &self.entries[entry].process;
        if !process.up || process.paused_until > self.now {
            let wait = process.paused_until.saturating_sub(self.now).max(10 * MS);
            self.schedule(wait, SimEvent::Arrive(call));
            return;
        }
        self.calls[call].epoch = process.epoch;
        let route = self.history.calls[call].route.clone();
        let routes = &self.entries[entry].routes;
        let Ok(resolved) = routes.resolve(WORKSPACE, &route, "") else {
            return self.report_result(call, CallResult::Failed(Code::ModelNotFound, Ran::No));
        };
        let now = self.local_time(ProcessId::Entry(entry));
        self.history.calls[call].served_name = Some(resolved.choice.target.served_name().clone());
        let key = self.history.calls[call].key.clone();
        let spec = RequestSpec {
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
        let (request, step) = Request::new(now, spec, &mut self.entries[entry].retry_budget);
        self.calls[call].request = Some(request);
        self.perform_step(call, step);
    }

    fn on_request_event(&mut self, call: usize, step_no: u32, event: Event) {
        let entry = self.calls[call].entry;
        let process = &self.entries[entry].process;
        let is_stale =
            self.calls[call].step_no != step_no || process.epoch != self.calls[call].epoch;
        if is_stale || !process.up {
            return;
        }
        let now = self.local_time(ProcessId::Entry(entry));
        let attempt = self.calls[call].attempt.take();
        if let Some((pid, key)) = attempt {
            self.end_attempt(call, &event, pid, key);
        }
        let retry_budget = &mut self.entries[entry].retry_budget;
        let Some(request) = &mut self.calls[call].request else {
            return;
        };
        let step = request.next(now, &mut self.rng, retry_budget, event);
        self.perform_step(call, step);
    }

    /// Records the outcome of an attempt for routing, and cancels the attempt if it can still run
    /// and has no idempotency key.
    fn end_attempt(&mut self, call: usize, event: &Event, pid: usize, key: AttemptKey) {
        let entry = self.calls[call].entry;
        let now = self.local_time(ProcessId::Entry(entry));
        let Some(pick) = self.calls[call].pick.take() else {
            return;
        };
        let outcome = match event {
            Event::Ended(end) => endpoint_outcome(end, Duration::from_millis(50)),
            Event::LinkLost { sent: true } => EndpointOutcome::Failure,
            _ => EndpointOutcome::Neutral,
        };
        let endpoints = &mut self.entries[entry].endpoints;
        endpoints.finish(now, &mut self.rng, &pick, outcome);
        match event {
            Event::Ended(end) => endpoints.set_link(&pick.name, Some(end.incarnation)),
            Event::LinkLost { .. } => endpoints.set_link(&pick.name, None),
            _ => {}
        }
        let has_key = self.history.calls[call].key.is_some();
        if !matches!(event, Event::Ended(_)) && !has_key {
            self.send_message(SimEvent::Agent(pid, AgentMessage::Cancel(key)));
        }
    }

    fn perform_step(&mut self, call: usize, step: Next) {
        let entry = self.calls[call].entry;
        let matrix_step = match &step {
            Next::Pick => Some(Step::Pick),
            Next::Commit { .. } => Some(Step::Claim),
            Next::Dispatch => Some(Step::Dispatch),
            Next::Answer(_) => Some(Step::Answer),
            _ => None,
        };
        if let Some(matrix_step) = matrix_step {
            self.inject_at(matrix_step, self.fault_target(call));
        }
        if !self.entries[entry].process.up {
            return;
        }
        self.calls[call].step_no += 1;
        let step_no = self.calls[call].step_no;
        // A paused entry continues the step after the pause.
        let pause = self.entries[entry]
            .process
            .paused_until
            .saturating_sub(self.now);
        if !matches!(step, Next::Answer(_)) {
            self.schedule_step_timeout(call, step_no);
        }
        match step {
            Next::Pick => self.pick_endpoint(call, step_no),
            Next::Commit { row, version } => {
                let purpose = WritePurpose::Claim(call, step_no);
                self.queue_claim_write(call, version, *row, purpose);
            }
            Next::Read => {
                let key = ClaimRow::key(WORKSPACE, &self.idempotency_key(call));
                self.call_table(
                    TableOp::Read(key),
                    TableCaller::ClaimRead(entry, call, step_no),
                );
            }
            Next::Settle(claimed_attempt) => self.request_settle(call, step_no, &claimed_attempt),
            Next::Wait(until) => {
                let now = self.local_time(ProcessId::Entry(entry));
                let wait = until.since(now).as_micros() as u64;
                self.schedule_request_event(call, step_no, wait.max(pause), Event::WaitElapsed);
            }
            Next::Dispatch => self.dispatch_attempt(call, step_no, pause),
            Next::Answer(answer) => self.deliver_answer(call, answer),
        }
    }

    fn schedule_step_timeout(&mut self, call: usize, step_no: u32) {
        let Some(request) = &self.calls[call].request else {
            return;
        };
        let now = self.local_time(ProcessId::Entry(self.calls[call].entry));
        let left = request.step_deadline().since(now).as_micros() as u64;
        self.schedule_request_event(call, step_no, left, Event::Expired);
    }

    fn schedule_request_event(&mut self, call: usize, step_no: u32, delay: u64, event: Event) {
        let (entry, epoch) = (self.calls[call].entry, self.calls[call].epoch);
        let message = EntryMessage::Step(call, step_no, Box::new(event));
        self.schedule(delay, SimEvent::Entry(entry, epoch, message));
    }

    fn idempotency_key(&self, call: usize) -> String {
        self.history.calls[call].key.clone().unwrap_or_default()
    }

    fn pick_endpoint(&mut self, call: usize, step_no: u32) {
        let entry = self.calls[call].entry;
        let now = self.local_time(ProcessId::Entry(entry));
        let Some(request) = &self.calls[call].request else {
            return;
        };
        let endpoints = &mut self.entries[entry].endpoints;
        let pick = endpoints.pick(now, &mut self.rng, &request.pick_args());
        self.calls[call].pick = pick.as_ref().ok().cloned();
        self.schedule_request_event(call, step_no, 0, Event::Picked(pick));
    }

    fn queue_claim_write(
        &mut self,
        call: usize,
        version: u64,
        row: ClaimRow,
        purpose: WritePurpose,
    ) {
        let entry = self.calls[call].entry;
        let key = ClaimRow::key(WORKSPACE, &self.idempotency_key(call));
        let ticket = self.entries[entry].group_commit.push(key, version, row);
        self.entries[entry].write_purposes.insert(ticket, purpose);
        self.send_next_tx(entry);
    }

    fn send_next_tx(&mut self, entry: usize) {
        let Some(writes) = self.entries[entry].group_commit.next_tx() else {
            return;
        };
        let writes = writes.iter().map(|write| RowWrite {
            key: write.key.clone(),
            version: write.version,
            value: RowValue::Claim(write.row.clone()),
        });
        let op = TableOp::Tx(writes.collect());
        let epoch = self.entries[entry].process.epoch;
        self.call_table(op, TableCaller::ClaimCommit(entry, epoch));
    }

    fn on_commit_reply(&mut self, entry: usize, reply: TableReply) {
        let result = match reply {
            TableReply::Committed(versions) => TxResult::Committed(versions),
            TableReply::Conflict(keys) => TxResult::Conflict(keys),
            _ => TxResult::Unknown,
        };
        for (ticket, result) in self.entries[entry].group_commit.finish(&result) {
            match self.entries[entry].write_purposes.remove(&ticket) {
                Some(WritePurpose::Claim(call, step_no)) => {
                    self.on_request_event(call, step_no, Event::Written(result))
                }
                Some(WritePurpose::StoreOutcome(call, outcome, tries)) => {
                    let should_retry =
                        matches!(result, WriteResult::NotSent | WriteResult::Unknown);
                    if should_retry && tries < MAX_STORE_TRIES {
                        let epoch = self.entries[entry].process.epoch;
                        let run = self.first_run(call);
                        let message =
                            EntryMessage::RetryStore(call, tries + 1, Box::new((outcome, run)));
                        self.schedule(STORE_RETRY_DELAY, SimEvent::Entry(entry, epoch, message));
                    }
                }
                None => {}
            }
        }
        self.send_next_tx(entry);
    }

    /// Sends the settle call to the agent that the visible membership list has under the name, like
    /// the driver of the `entry` crate.
    fn request_settle(&mut self, call: usize, step_no: u32, claimed_attempt: &ClaimedAttempt) {
        self.schedule_request_event(call, step_no, CALL_TIMEOUT, Event::SettleFailed);
        let Some(ProcessId::Agent(pid)) = self.find_process(&claimed_attempt.endpoint) else {
            return;
        };
        let key = AttemptKey {
            request: claimed_attempt.request,
            attempt: claimed_attempt.attempt,
        };
        let origin = AttemptOrigin {
            entry: self.calls[call].entry,
            call,
            step_no,
        };
        self.calls[call].end = None;
        self.send_message(SimEvent::Agent(pid, AgentMessage::Settle(key, origin)));
    }

    fn on_settled(
        &mut self,
        call: usize,
        step_no: u32,
        incarnation: decision::ids::Incarnation,
        outcome: Outcome,
    ) {
        // Like the driver of the `entry` crate, compares the incarnation in the row with that in
        // the reply.
        let row = self
            .storage
            .claim_row(&ClaimRow::key(WORKSPACE, &self.idempotency_key(call)));
        let event = match row {
            Some(row) if row.agent == incarnation => Event::Settled(outcome),
            _ => Event::AgentGone,
        };
        self.on_request_event(call, step_no, event);
    }

    fn dispatch_attempt(&mut self, call: usize, step_no: u32, pause: u64) {
        let entry = self.calls[call].entry;
        let now = self.local_time(ProcessId::Entry(entry));
        let (Some(request), Some(pick)) = (&self.calls[call].request, &self.calls[call].pick)
        else {
            return self.schedule_request_event(call, step_no, 0, Event::LinkLost { sent: false });
        };
        let job = Box::new(request.job(now));
        let name = pick.name.clone();
        let Some(ProcessId::Agent(pid)) = self.find_process(&name) else {
            return self.schedule_request_event(call, step_no, MS, Event::LinkLost { sent: false });
        };
        let key = AttemptKey::of(&job);
        let state = &mut self.calls[call];
        state.attempt = Some((pid, key));
        state.accepted = false;
        state.chunks.clear();
        state.end = None;
        if !self.agents[pid].process.up {
            return self.schedule_request_event(call, step_no, MS, Event::LinkLost { sent: false });
        }
        self.record_sent(pid);
        let origin = AttemptOrigin {
            entry,
            call,
            step_no,
        };
        let message = SimEvent::Agent(pid, AgentMessage::Dispatch(job, origin));
        match pause {
            0 => self.send_message(message),
            _ => self.schedule(pause, message),
        }
        let epoch = self.calls[call].epoch;
        let timeout = EntryMessage::Step(call, step_no, Box::new(Event::LinkLost { sent: true }));
        self.schedule(
            pause + DISPATCH_TIMEOUT,
            SimEvent::Entry(entry, epoch, timeout),
        );
    }

    fn record_sent(&mut self, pid: usize) {
        let now = self.now;
        if let Some(stop) = self.history.stops.iter_mut().find(|stop| stop.pid == pid) {
            stop.last_sent_at = Some(now);
        }
    }

    fn on_chunk(&mut self, call: usize, step_no: u32, seq: u64, chunk: ResponseChunk) {
        if self.calls[call].step_no != step_no || self.calls[call].attempt.is_none() {
            return;
        }
        self.calls[call].chunks.insert(seq, chunk);
        if self.calls[call].stream
            && let Some(request) = &mut self.calls[call].request
        {
            request.mark_response_started();
        }
        if self.mutant == Some(Mutant::CompleteAfterFirstChunk) {
            let chunks = self.calls[call].chunks.values().cloned().collect();
            self.report_result(call, CallResult::Complete(chunks));
        }
        self.finish_if_complete(call, step_no);
    }

    /// Completes the attempt once its end and all chunks before it have arrived.
    fn finish_if_complete(&mut self, call: usize, step_no: u32) {
        let state = &mut self.calls[call];
        let is_complete = |end: &End| state.chunks.len() as u64 == end.chunks;
        if state.end.as_deref().is_some_and(is_complete)
            && let Some(end) = state.end.take()
        {
            self.on_request_event(call, step_no, Event::Ended(end));
        }
    }

    /// Ends all attempts of an entry at an agent that is down.
    fn break_links(&mut self, entry: usize, pid: usize) {
        for call in 0..self.calls.len() {
            let state = &self.calls[call];
            if state.entry == entry && state.attempt.is_some_and(|attempt| attempt.0 == pid) {
                let step_no = state.step_no;
                self.on_request_event(call, step_no, Event::LinkLost { sent: true });
            }
        }
    }

    fn deliver_answer(&mut self, call: usize, answer: Answer) {
        let (result, store) = match answer {
            Answer::Complete => {
                let chunks: Vec<ResponseChunk> =
                    self.calls[call].chunks.values().cloned().collect();
                let run = chunks.first().map(|chunk| chunk.run);
                (CallResult::Complete(chunks), Some((Outcome::Ran, run)))
            }
            Answer::Replay(stored) => {
                let run = stored.body.and_then(|body| body.parse().ok());
                (CallResult::Replay(run), None)
            }
            Answer::Failed(problem) => {
                let store = match problem.ran {
                    Ran::Yes => Some((Outcome::Ran, None)),
                    Ran::No => Some((Outcome::NotRun(Refusal::Settled), None)),
                    Ran::Unknown => None,
                };
                let ran = match (self.mutant, problem.ran) {
                    (Some(Mutant::ReportNotRun), Ran::Unknown) => Ran::No,
                    (_, ran) => ran,
                };
                (CallResult::Failed(problem.code, ran), store)
            }
        };
        self.report_result(call, result);
        if let Some((outcome, run)) = store {
            self.store_outcome(call, outcome, run, 1);
        }
    }

    fn first_run(&self, call: usize) -> Option<usize> {
        let first = self.calls[call].chunks.values().next();
        first.map(|chunk| chunk.run)
    }

    /// Stores the outcome of a request in its claim row. `run` is the run that a replay refers to.
    fn store_outcome(&mut self, call: usize, outcome: Outcome, run: Option<usize>, tries: u32) {
        let stored = run.map(|run| StoredOutcome {
            outcome,
            status: 200,
            content: String::new(),
            body: Some(run.to_string()),
            receipt: None,
        });
        let request = self.calls[call].request.as_ref();
        let row_update = request.and_then(|request| request.record(outcome, stored));
        let Some((version, row)) = row_update else {
            return;
        };
        self.inject_at(Step::Record, self.fault_target(call));
        if !self.entries[self.calls[call].entry].process.up {
            return;
        }
        self.queue_claim_write(
            call,
            version,
            row,
            WritePurpose::StoreOutcome(call, outcome, tries),
        );
    }

    /// Returns the processes that take part in the current step of a call. Without a known agent,
    /// agent 0 stands in.
    fn fault_target(&self, call: usize) -> FaultTarget {
        let state = &self.calls[call];
        let name = state.pick.as_ref().map(|pick| pick.name.clone());
        let picked = name.and_then(|name| self.find_process(&name));
        let agent = match (state.attempt, picked) {
            (Some((pid, _)), _) | (None, Some(ProcessId::Agent(pid))) => pid,
            _ => 0,
        };
        FaultTarget {
            entry: state.entry,
            agent,
        }
    }
}
