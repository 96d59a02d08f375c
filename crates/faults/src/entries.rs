//! Entries, which route calls to agents and relay the responses, driven by [`decision::request`].

mod attempts;
mod claims;

use std::collections::BTreeMap;

use decision::claim::ClaimRow;
use decision::claim::group::GroupCommit;
use decision::collections::Map;
use decision::ids::Name;
use decision::ids::RequestId;
use decision::job::End;
use decision::job::Outcome;
use decision::job::Refusal;
use decision::ledger::AttemptKey;
use decision::placement::CostParams;
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
use decision::retry::RetryBudget;
use decision::route::RouteTable;

use self::claims::WritePurpose;

use crate::history::CallResult;
use crate::history::ResponseChunk;
use crate::inject::FaultTarget;
use crate::matrix::Step;
use crate::mutant::Mutant;
use crate::sample::WORKSPACE;
use crate::simulation::AgentMessage;
use crate::simulation::EntryMessage;
use crate::simulation::MS;
use crate::simulation::ProcessId;
use crate::simulation::ProcessState;
use crate::simulation::SimEvent;
use crate::simulation::Simulation;
use crate::simulation::TableCaller;
use crate::storage::RowValue;
use crate::storage::TableOp;
use crate::storage::TableReply;

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
