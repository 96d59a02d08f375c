//! The log lines and counters of a request's attempts and of its end.
//!
//! Invariant: each request that was read gets one line for its end, also if it is dropped before.

use serving::placement::Placement;
use spdlog::info;
use spdlog::warn;

use crate::attempt::FailedAttempt;
use crate::dispatch::ActiveRequest;
use crate::dispatch::FailureCause;
use crate::step::Step;

impl ActiveRequest {
    /// Logs and counts a request whose response, or failure response, came from a runner.
    pub fn record_completion(&mut self, outcome: &'static str) {
        self.ended = true;
        self.entry
            .metrics
            .requests
            .with_label_values(&[outcome])
            .inc();
        let now = self.entry.now();
        let time = now.since(self.arrival);
        let times = &mut self.entry.state().response_times;
        times.record(now, &self.route.name, time);
        let runner = self.answered_by.as_ref().map_or("", |name| &**name);
        let adapter = self.adapter().map_or("", |adapter| &**adapter);
        info!("request ended", kv: {
            id = &*self.head.request.id, outcome, route = &*self.route.name, runner, adapter,
            sends = self.sends, held_ms = self.wait_time.as_millis() as u64, queue_ms = self.queue_time.as_millis() as u64,
            admission_ms = self.admission_time.as_millis() as u64,
            gap_ms = self.longest_gap.as_millis() as u64, gap_goal_ms = self.route.gap_goal.as_millis() as u64,
            tokens = self.head.request.prompt_tokens,
            first_ms = self.first_response.as_millis() as u64, goal_ms = self.route.goal.as_millis() as u64,
            total_ms = time.as_millis() as u64
        });
    }

    /// Logs a request without a complete response from a runner.
    pub fn log_failure(&mut self, outcome: &'static str, cause: FailureCause) {
        self.ended = true;
        let cause = cause.to_string();
        let runner = self
            .last_placement
            .as_ref()
            .map_or("", |placement| &*placement.runner);
        let access = self
            .last_placement
            .as_ref()
            .map(|placement| placement.access.to_string());
        let access = access.unwrap_or_default();
        let adapter = self.adapter().map_or("", |adapter| &**adapter);
        let state = self.entry.state();
        let view = state.fleet.get(runner);
        let report_ms =
            view.map(|view| self.entry.now().since(view.reported_at).as_millis() as u64);
        let coming = view.map_or(0, serving::fleet::Runner::loading_count);
        let room = view.map_or(0, |view| view.room);
        drop(state);
        warn!("request ended", kv: {
            id = &*self.head.request.id, outcome, cause = cause.as_str(),
            route = &*self.route.name, service = &*self.service, adapter, runner,
            access = access.as_str(), report_ms = report_ms.unwrap_or(0), coming, room,
            sends = self.sends, held_ms = self.wait_time.as_millis() as u64, queue_ms = self.queue_time.as_millis() as u64,
            total_ms = self.entry.now().since(self.arrival).as_millis() as u64
        });
    }

    pub(crate) fn log_attempt(&self, placement: &Placement, failed: &FailedAttempt) {
        let outcome = format!("{:?}", failed.outcome);
        self.entry
            .metrics
            .attempts
            .with_label_values(&[outcome.as_str()])
            .inc();
        let access = placement.access.to_string();
        let kind = failed.kind.map(|kind| kind.to_string());
        let adapter = self.adapter().map_or("", |adapter| &**adapter);
        let parts = self.head.request.parts_text();
        let whole = failed.broken.map(|_| self.fingerprint().to_string());
        let whole = whole.unwrap_or_default();
        info!("attempt ended", kv: {
            id = &*self.head.request.id, runner = &*placement.runner, outcome = outcome.as_str(),
            meaning = kind.as_deref().unwrap_or("none"), parts = parts.as_str(), whole = whole.as_str(), adapter, access = access.as_str(), cost_ms = placement.cost_ms,
            total_ms = self.entry.now().since(self.arrival).as_millis() as u64
        });
    }
}

/// A request that is dropped before its end has been given up by its caller, or is aborted at the
/// end of a stop.
impl Drop for ActiveRequest {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        self.refund_charge();
        let outcome = "abandoned";
        let requests = &self.entry.metrics.requests;
        requests.with_label_values(&[outcome]).inc();
        let now = self.entry.now();
        let step = match self.step {
            Step::Response if self.head_at.get().is_some() => Step::ResponseBody,
            step => step,
        };
        let (caller, step) = (self.caller.conn.presence().to_string(), step.to_string());
        let sent_ms = now.since(self.sent_at).as_millis() as u64;
        info!("request ended", kv: {
            id = &*self.head.request.id, outcome, route = &*self.route.name, caller = caller.as_str(), step = step.as_str(),
            sends = self.sends, sent_ms,
            total_ms = now.since(self.arrival).as_millis() as u64
        });
    }
}
