//! Checks the callers' responses against the stand-ins' records.

use std::collections::BTreeMap;
use std::time::Duration;

use decision::collections::Map;
use serde::Serialize;
use standins::engine::EngineRecord;
use standins::engine::ExecutionEnd;
use standins::service::ServiceCall;

use crate::demo::caller::CallOutcome;
use crate::demo::caller::CallResult;
use crate::demo::caller::RequestKind;

/// Counts of one run. `wrong_adapter`, `truncated`, `doubled`, `lost`, `ran_after_refusal` and
/// `audit_problems` must be 0.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub(crate) struct Verdict {
    /// Requests sent, each retry counted.
    pub(crate) requests: usize,
    /// Complete responses.
    pub(crate) answered: usize,
    /// Executions on another adapter or version than the route or the receipt names, and unloads of
    /// a version in use.
    pub(crate) wrong_adapter: usize,
    /// Responses that are incomplete although they look complete.
    pub(crate) truncated: usize,
    /// Bookings that the service executed more than once.
    pub(crate) doubled: usize,
    /// Requests without a response, and answered bookings that the service never executed.
    pub(crate) lost: usize,
    /// Requests whose error says that they did not run.
    pub(crate) refused_not_run: usize,
    /// Requests that ran although every error said that they did not.
    pub(crate) ran_after_refusal: usize,
    /// Verified audit records.
    pub(crate) audit_records: u64,
    /// Problems found by verifying the audit records.
    pub(crate) audit_problems: usize,
    /// Errors saying that the request ran or may have run, and unusable responses.
    pub(crate) failed: usize,
    /// Median latency of complete responses in milliseconds.
    pub(crate) p50_ms: f64,
    /// 99th percentile of the latency of complete responses in milliseconds.
    pub(crate) p99_ms: f64,
    /// Requests without a complete response, by status and error code.
    pub(crate) errors: BTreeMap<String, usize>,
    /// Descriptions of the first violations, at most [`MAX_VIOLATIONS`].
    pub(crate) violations: Vec<String>,
}

/// Maximum number of violations to describe.
const MAX_VIOLATIONS: usize = 10;

/// Records of the stand-ins during a run.
#[derive(Debug)]
pub(crate) struct StandinRecords {
    /// One record per engine.
    pub(crate) engines: Vec<EngineRecord>,
    /// Calls executed by the booking service.
    pub(crate) calls: Vec<ServiceCall>,
    /// Served names that each chat route may run on.
    pub(crate) allowed_names: Map<String, Vec<String>>,
}

impl Verdict {
    /// Returns whether there is no violation and at least half of the requests were answered. The
    /// share is needed because a site that answers nothing causes no other violation.
    pub(crate) fn is_clean(&self) -> bool {
        let counts = [
            self.wrong_adapter,
            self.truncated,
            self.doubled,
            self.lost,
            self.ran_after_refusal,
            self.audit_problems,
        ];
        counts.iter().all(|count| *count == 0) && self.answered * 2 >= self.requests
    }

    /// Adds the result of verifying the audit records.
    pub(crate) fn add_audit(&mut self, audit: &audit::VerificationReport) {
        self.audit_records = audit.record_count;
        self.audit_problems = audit.problems.len();
        for problem in &audit.problems {
            self.add_violation(format!("audit: {problem}"));
        }
    }

    /// Checks the results of a run against the stand-ins' records.
    pub(crate) fn from_run(results: &[CallResult], records: &StandinRecords) -> Verdict {
        let runs = RunsByMarker::new(records);
        let mut verdict = Verdict {
            requests: results.len(),
            ..Verdict::default()
        };
        for result in results {
            verdict.check_request(result, &runs, records);
        }
        verdict.check_bookings(results, &runs);
        verdict.check_unloads(records);
        let times = results
            .iter()
            .filter(|result| result.outcome == CallOutcome::Answered)
            .map(|result| result.latency);
        let mut times: Vec<Duration> = times.collect();
        times.sort_unstable();
        verdict.p50_ms = percentile(&times, 0.50);
        verdict.p99_ms = percentile(&times, 0.99);
        verdict
    }

    fn check_request(
        &mut self,
        result: &CallResult,
        runs: &RunsByMarker<'_>,
        records: &StandinRecords,
    ) {
        if result.outcome != CallOutcome::Answered {
            *self.errors.entry(result.detail.clone()).or_default() += 1;
        }
        let marker = result.request.marker.as_str();
        match result.outcome {
            CallOutcome::Answered => self.answered += 1,
            CallOutcome::NotRun => self.refused_not_run += 1,
            CallOutcome::Failed => self.failed += 1,
            CallOutcome::NoResponse => {
                self.lost += 1;
                self.add_violation(format!("{marker}: no answer: {}", result.detail));
            }
        }
        match result.request.kind {
            RequestKind::Booking => self.check_booking_ran(result, runs),
            RequestKind::StreamedChat | RequestKind::Chat => self.check_chat(result, runs, records),
        }
    }

    fn check_chat(
        &mut self,
        result: &CallResult,
        runs: &RunsByMarker<'_>,
        records: &StandinRecords,
    ) {
        let marker = result.request.marker.as_str();
        let executions = runs
            .chat_runs
            .get(marker)
            .map(Vec::as_slice)
            .unwrap_or_default();
        if result.outcome == CallOutcome::NotRun && !executions.is_empty() {
            self.ran_after_refusal += 1;
            self.add_violation(format!(
                "{marker}: told not run, ran on {executions:?}: {}",
                result.detail
            ));
        }
        let allowed = records
            .allowed_names
            .get(&result.request.route)
            .map(Vec::as_slice)
            .unwrap_or_default();
        if let Some((model, _)) = executions
            .iter()
            .find(|(model, _)| !allowed.contains(model))
        {
            self.wrong_adapter += 1;
            self.add_violation(format!(
                "{marker}: ran on {model}, the route allows {allowed:?}"
            ));
        }
        if result.outcome != CallOutcome::Answered {
            return;
        }
        let completed = executions
            .iter()
            .filter(|(_, end)| *end == ExecutionEnd::Completed);
        if !completed
            .clone()
            .any(|(model, _)| result.served_name.as_ref() == Some(model))
        {
            self.wrong_adapter += 1;
            self.add_violation(format!(
                "{marker}: receipt {:?}, runs {executions:?}",
                result.served_name
            ));
        }
        if result.text.trim() != expected_text(marker, result.request.tokens) {
            self.truncated += 1;
            self.add_violation(format!("{marker}: answered {:?}", result.text));
        }
    }

    fn check_booking_ran(&mut self, result: &CallResult, runs: &RunsByMarker<'_>) {
        let marker = result.request.marker.as_str();
        let ran = runs.booking_counts.get(marker).copied().unwrap_or(0);
        if result.outcome == CallOutcome::Answered && ran == 0 {
            self.lost += 1;
            self.add_violation(format!("{marker}: answered and never run"));
        }
    }

    /// Checks bookings by their key over all attempts, since a refused booking may run when it is
    /// sent again.
    fn check_bookings(&mut self, results: &[CallResult], runs: &RunsByMarker<'_>) {
        let mut always_refused = Map::<&str, bool>::default();
        for result in results
            .iter()
            .filter(|result| result.request.kind == RequestKind::Booking)
        {
            *always_refused.entry(&result.request.marker).or_insert(true) &=
                result.outcome == CallOutcome::NotRun;
        }
        for (marker, ran) in &runs.booking_counts {
            if *ran > 1 {
                self.doubled += 1;
                self.add_violation(format!("{marker}: booked {ran} times"));
            }
            if always_refused
                .get(marker.as_str())
                .copied()
                .unwrap_or(false)
            {
                self.ran_after_refusal += 1;
                self.add_violation(format!("{marker}: always told not run, ran {ran} times"));
            }
        }
    }

    fn check_unloads(&mut self, records: &StandinRecords) {
        for command in records
            .engines
            .iter()
            .flat_map(EngineRecord::unloads_in_use)
        {
            self.wrong_adapter += 1;
            let (name, running) = (&command.name, command.running);
            self.add_violation(format!(
                "{name}: unloaded while {running} requests ran on it"
            ));
        }
    }

    fn add_violation(&mut self, violation: String) {
        if self.violations.len() < MAX_VIOLATIONS {
            self.violations.push(violation);
        }
    }
}

/// Returns the text that the stand-in engine generates for a request: the marker, then counted
/// tokens.
fn expected_text(marker: &str, tokens: u32) -> String {
    (1..tokens).fold(marker.to_owned(), |text, number| format!("{text} {number}"))
}

/// Executions recorded by the stand-ins, by the marker of the request.
struct RunsByMarker<'a> {
    /// Served name and end of each execution of a chat.
    chat_runs: Map<&'a str, Vec<(String, ExecutionEnd)>>,
    /// Number of executions of a booking.
    booking_counts: Map<String, usize>,
}

impl<'a> RunsByMarker<'a> {
    fn new(records: &'a StandinRecords) -> RunsByMarker<'a> {
        let mut chat_runs = Map::<&str, Vec<(String, ExecutionEnd)>>::default();
        for run in records.engines.iter().flat_map(|record| &record.executions) {
            chat_runs
                .entry(&run.marker)
                .or_default()
                .push((run.model.clone(), run.end));
        }
        let mut booking_counts = Map::<String, usize>::default();
        for call in &records.calls {
            let body: serde_json::Value = serde_json::from_slice(&call.body).unwrap_or_default();
            let marker = body["marker"].as_str().unwrap_or_default().to_owned();
            *booking_counts.entry(marker).or_default() += 1;
        }
        RunsByMarker {
            chat_runs,
            booking_counts,
        }
    }
}

fn percentile(sorted: &[Duration], quantile: f64) -> f64 {
    let Some(last) = sorted.len().checked_sub(1) else {
        return 0.0;
    };
    sorted[(last as f64 * quantile).round() as usize].as_secs_f64() * 1_000.0
}
