//! Compares what callers were told with what the stand-ins saw.

use std::collections::BTreeMap;
use std::time::Duration;

use decision::collections::Map;
use serde::Serialize;
use standins::engine::EngineRecord;
use standins::engine::ExecutionEnd;
use standins::service::ServiceCall;

use crate::demo::caller::Kind;
use crate::demo::caller::Seen;
use crate::demo::caller::Told;

/// The counts of one run. Those from `wrong_adapter` to `audit_problems` but for
/// `refused_not_run` and `audit_records` must be 0.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub(crate) struct Verdict {
    /// Requests sent, each deliberate retry counted too.
    pub(crate) requests: usize,
    /// Whole answers.
    pub(crate) answered: usize,
    /// Executions on another adapter or version than the route or the receipt names.
    pub(crate) wrong_adapter: usize,
    /// Answers shown as complete that are not.
    pub(crate) truncated: usize,
    /// Bookings that the service ran more than once.
    pub(crate) doubled: usize,
    /// Requests without any answer, and answered bookings that the service never ran.
    pub(crate) lost: usize,
    /// Requests that callers were told were not run.
    pub(crate) refused_not_run: usize,
    /// Requests that ran although the caller was told that they were not run.
    pub(crate) ran_after_refusal: usize,
    /// Audit records that were verified.
    pub(crate) audit_records: u64,
    /// Problems that the verification of the audit records found.
    pub(crate) audit_problems: usize,
    /// Other errors, whose outcome is "ran" or "unknown".
    pub(crate) failed: usize,
    /// The median time to the end of an answer, in milliseconds.
    pub(crate) p50_ms: f64,
    /// The 99th percentile of the time to the end of an answer, in milliseconds.
    pub(crate) p99_ms: f64,
    /// Requests without a whole answer by the error's code.
    pub(crate) errors: BTreeMap<String, usize>,
    /// The first violations, for the reader.
    pub(crate) violations: Vec<String>,
}

/// The number of violations that are described.
const DESCRIBED: usize = 10;

/// What the stand-ins recorded.
#[derive(Debug)]
pub(crate) struct Evidence {
    /// The records of all engines.
    pub(crate) engines: Vec<EngineRecord>,
    /// The calls that the services ran.
    pub(crate) calls: Vec<ServiceCall>,
    /// The served names that each route may run on.
    pub(crate) allowed: Map<String, Vec<String>>,
}

impl Verdict {
    /// Returns whether every promise was kept and most requests were answered: a site that answers
    /// nothing breaks no other promise.
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

    /// Counts the problems of the audit records.
    pub(crate) fn add_audit(&mut self, audited: &audit::VerificationReport) {
        self.audit_records = audited.record_count;
        self.audit_problems = audited.problems.len();
        for problem in &audited.problems {
            self.describe(format!("audit: {problem}"));
        }
    }

    /// Judges a run.
    pub(crate) fn of(seen: &[Seen], evidence: &Evidence) -> Verdict {
        let runs = Runs::of(evidence);
        let mut verdict = Verdict {
            requests: seen.len(),
            ..Verdict::default()
        };
        for seen in seen {
            verdict.judge(seen, &runs, evidence);
        }
        verdict.judge_bookings(seen, &runs);
        verdict.judge_unloads(evidence);
        let times = seen
            .iter()
            .filter(|seen| seen.told == Told::Answered)
            .map(|seen| seen.took);
        let mut times: Vec<Duration> = times.collect();
        times.sort_unstable();
        verdict.p50_ms = percentile(&times, 0.50);
        verdict.p99_ms = percentile(&times, 0.99);
        verdict
    }

    fn judge(&mut self, seen: &Seen, runs: &Runs<'_>, evidence: &Evidence) {
        if seen.told != Told::Answered {
            *self.errors.entry(seen.detail.clone()).or_default() += 1;
        }
        let marker = seen.plan.marker.as_str();
        match seen.told {
            Told::Answered => self.answered += 1,
            Told::NotRun => self.refused_not_run += 1,
            Told::Failed => self.failed += 1,
            Told::Nothing => {
                self.lost += 1;
                self.describe(format!("{marker}: no answer: {}", seen.detail));
            }
        }
        match seen.plan.kind {
            Kind::Booking => self.judge_booking(seen, runs),
            Kind::Stream | Kind::Whole => self.judge_chat(seen, runs, evidence),
        }
    }

    fn judge_chat(&mut self, seen: &Seen, runs: &Runs<'_>, evidence: &Evidence) {
        let marker = seen.plan.marker.as_str();
        let models = runs
            .models
            .get(marker)
            .map(Vec::as_slice)
            .unwrap_or_default();
        if seen.told == Told::NotRun && !models.is_empty() {
            self.ran_after_refusal += 1;
            self.describe(format!(
                "{marker}: told not run, ran on {models:?}: {}",
                seen.detail
            ));
        }
        let allowed = evidence
            .allowed
            .get(&seen.plan.route)
            .map(Vec::as_slice)
            .unwrap_or_default();
        if let Some((model, _)) = models.iter().find(|(model, _)| !allowed.contains(model)) {
            self.wrong_adapter += 1;
            self.describe(format!(
                "{marker}: ran on {model}, the route allows {allowed:?}"
            ));
        }
        if seen.told != Told::Answered {
            return;
        }
        let completed = models
            .iter()
            .filter(|(_, end)| *end == ExecutionEnd::Completed);
        if !completed
            .clone()
            .any(|(model, _)| seen.version.as_ref() == Some(model))
        {
            self.wrong_adapter += 1;
            self.describe(format!(
                "{marker}: receipt {:?}, runs {models:?}",
                seen.version
            ));
        }
        if seen.text.trim() != expected_text(marker, seen.plan.tokens) {
            self.truncated += 1;
            self.describe(format!("{marker}: answered {:?}", seen.text));
        }
    }

    fn judge_booking(&mut self, seen: &Seen, runs: &Runs<'_>) {
        let marker = seen.plan.marker.as_str();
        let ran = runs.calls.get(marker).copied().unwrap_or(0);
        if seen.told == Told::Answered && ran == 0 {
            self.lost += 1;
            self.describe(format!("{marker}: answered and never run"));
        }
    }

    /// Judges bookings by their key: one that was refused first may run when it is sent again.
    fn judge_bookings(&mut self, seen: &[Seen], runs: &Runs<'_>) {
        let mut refused = Map::<&str, bool>::default();
        for seen in seen.iter().filter(|seen| seen.plan.kind == Kind::Booking) {
            *refused.entry(&seen.plan.marker).or_insert(true) &= seen.told == Told::NotRun;
        }
        for (marker, ran) in &runs.calls {
            if *ran > 1 {
                self.doubled += 1;
                self.describe(format!("{marker}: booked {ran} times"));
            }
            if refused.get(marker.as_str()).copied().unwrap_or(false) {
                self.ran_after_refusal += 1;
                self.describe(format!("{marker}: always told not run, ran {ran} times"));
            }
        }
    }

    fn judge_unloads(&mut self, evidence: &Evidence) {
        for command in evidence
            .engines
            .iter()
            .flat_map(EngineRecord::unloads_in_use)
        {
            self.wrong_adapter += 1;
            let (name, running) = (&command.name, command.running);
            self.describe(format!(
                "{name}: unloaded while {running} requests ran on it"
            ));
        }
    }

    fn describe(&mut self, violation: String) {
        if self.violations.len() < DESCRIBED {
            self.violations.push(violation);
        }
    }
}

/// The text that the stand-in engine generates for a request; the marker is its first token.
fn expected_text(marker: &str, tokens: u32) -> String {
    (1..tokens).fold(marker.to_owned(), |text, number| format!("{text} {number}"))
}

/// The stand-ins' records by marker.
struct Runs<'a> {
    models: Map<&'a str, Vec<(String, ExecutionEnd)>>,
    calls: Map<String, usize>,
}

impl<'a> Runs<'a> {
    fn of(evidence: &'a Evidence) -> Runs<'a> {
        let mut models = Map::<&str, Vec<(String, ExecutionEnd)>>::default();
        for run in evidence
            .engines
            .iter()
            .flat_map(|record| &record.executions)
        {
            models
                .entry(&run.marker)
                .or_default()
                .push((run.model.clone(), run.end));
        }
        let mut calls = Map::<String, usize>::default();
        for call in &evidence.calls {
            let body: serde_json::Value = serde_json::from_slice(&call.body).unwrap_or_default();
            let marker = body["marker"].as_str().unwrap_or_default().to_owned();
            *calls.entry(marker).or_default() += 1;
        }
        Runs { models, calls }
    }
}

fn percentile(sorted: &[Duration], share: f64) -> f64 {
    let Some(last) = sorted.len().checked_sub(1) else {
        return 0.0;
    };
    sorted[(last as f64 * share).round() as usize].as_secs_f64() * 1_000.0
}
