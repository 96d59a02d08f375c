//! The attempts of an entry at agents: dispatch, received chunks, and their end.

use std::time::Duration;

use decision::job::End;
use decision::ledger::AttemptKey;
use decision::placement::EndpointOutcome;
use decision::request::Event;
use decision::request::endpoint_outcome;

use crate::history::CallResult;
use crate::history::ResponseChunk;
use crate::mutant::Mutant;
use crate::simulation::AgentMessage;
use crate::simulation::AttemptOrigin;
use crate::simulation::EntryMessage;
use crate::simulation::MS;
use crate::simulation::ProcessId;
use crate::simulation::SimEvent;
use crate::simulation::Simulation;

/// Time within which an agent must accept a job; after it the link counts as lost.
const DISPATCH_TIMEOUT: u64 = 500 * MS;

impl Simulation {
    pub(super) fn dispatch_attempt(&mut self, call: usize, step_no: u32, pause: u64) {
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

    pub(super) fn on_chunk(&mut self, call: usize, step_no: u32, seq: u64, chunk: ResponseChunk) {
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
    pub(super) fn finish_if_complete(&mut self, call: usize, step_no: u32) {
        let state = &mut self.calls[call];
        let is_complete = |end: &End| state.chunks.len() as u64 == end.chunks;
        if state.end.as_deref().is_some_and(is_complete)
            && let Some(end) = state.end.take()
        {
            self.on_request_event(call, step_no, Event::Ended(end));
        }
    }

    /// Ends all attempts of an entry at an agent that is down.
    pub(super) fn break_links(&mut self, entry: usize, pid: usize) {
        for call in 0..self.calls.len() {
            let state = &self.calls[call];
            if state.entry == entry && state.attempt.is_some_and(|attempt| attempt.0 == pid) {
                let step_no = state.step_no;
                self.on_request_event(call, step_no, Event::LinkLost { sent: true });
            }
        }
    }

    /// Records the outcome of an attempt for routing, and cancels the attempt if it can still run
    /// and has no idempotency key.
    pub(super) fn end_attempt(&mut self, call: usize, event: &Event, pid: usize, key: AttemptKey) {
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
}
