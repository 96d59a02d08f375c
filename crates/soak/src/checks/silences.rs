//! The check that answers of sound runners are not given up.

use super::Guarantee;
use super::Index;
use super::Violation;
use super::violation;
use crate::history::Attempt;
use crate::history::Call;
use crate::history::CallOutcome;
use crate::history::History;
use crate::history::Ms;
use crate::history::position;

/// The time that an answer takes beside the silences of its runner, on a busy machine.
const ANSWER_MS: Ms = 600;
/// The time between a fault and its record.
const RECORD_MS: Ms = 100;

/// Requires that a request gets its answer if all runners that it reached were sound and would have given
/// it in time. Refusals are allowed.
pub(super) fn check_answer(history: &History, index: &Index<'_>, call: &Call) -> Option<Violation> {
    let loss = describe_loss(history, call)?;
    if call.deadly.is_some() || !history.entry_sound(call.entry, call.sent_at, call.ended_at) {
        return None;
    }
    let runs: Vec<&Attempt> = index.runs(&call.id).collect();
    let due = if runs.is_empty() {
        due_unread(history, call)?
    } else {
        let dues = runs.iter().map(|run| due(history, call, run));
        dues.collect::<Option<Vec<Ms>>>()?.into_iter().max()?
    };
    if due > call.sent_at + history.bounds.limit {
        return None;
    }
    let names: Vec<&str> = runs.iter().map(|run| &*run.runner).collect();
    let detail = format!(
        "{loss} after {} ms, ran at {}, due after {} ms",
        call.ended_at - call.sent_at,
        if names.is_empty() {
            "none".into()
        } else {
            names.join(", ")
        },
        due - call.sent_at
    );
    Some(violation(Guarantee::SilenceOutlasted, &call.id, detail))
}

/// Returns how the answer was lost; `None` if there was one, the request was refused, or its caller left.
fn describe_loss(history: &History, call: &Call) -> Option<String> {
    match &call.outcome {
        CallOutcome::Response {
            complete: false,
            body,
            ..
        } => Some(format!("cut after {} bytes", body.len())),
        CallOutcome::Response {
            status: status @ (500 | 502 | 504),
            seal: None,
            ..
        } => Some(format!("status {status}")),
        // For other requests, that is a lost response of `check_graceful_stop`.
        CallOutcome::ConnectionClosed if call.kind.is_stream() => Some("closed".into()),
        CallOutcome::Disconnected => {
            let waited = call.ended_at - call.sent_at;
            (waited >= history.bounds.limit).then(|| "no answer".into())
        }
        CallOutcome::Response { .. } | CallOutcome::ConnectionClosed => None,
    }
}

/// Returns when a runner was to have answered; `None` if it did not or was disturbed.
fn due(history: &History, call: &Call, run: &Attempt) -> Option<Ms> {
    let until = call.ended_at + RECORD_MS;
    let mut stops = history.stops.iter();
    let stopped =
        stops.any(|(runner, at)| *runner == run.runner && (call.sent_at..=until).contains(at));
    let position = position(&run.runner)?;
    if !run.sound || stopped || !history.runner_sound(position, call.sent_at, until) {
        return None;
    }
    Some(run.started_at + run.pause + silence(history, call, position, run.started_at) + ANSWER_MS)
}

/// Returns the same for a request that was sent but that no runner had read when it was given up; `None`
/// if any runner of its service was disturbed.
fn due_unread(history: &History, call: &Call) -> Option<Ms> {
    if call.status() != Some(502) {
        return None;
    }
    let until = call.ended_at + RECORD_MS;
    let service = call.kind.service();
    let is_stop = |(runner, at): &(String, Ms)| {
        runner.starts_with(service) && (call.sent_at..=until).contains(at)
    };
    if history.stops.iter().any(is_stop) {
        return None;
    }
    let runners = history.attempts.iter();
    let runners = runners.filter(|attempt| attempt.service == service);
    let mut longest = 0;
    for position in runners.filter_map(|attempt| position(&attempt.runner)) {
        if !history.runner_sound(position, call.sent_at, until) {
            return None;
        }
        longest = longest.max(silence(history, call, position, call.sent_at));
    }
    (longest > 0).then_some(call.sent_at + longest + ANSWER_MS)
}

fn silence(history: &History, call: &Call, position: usize, from: Ms) -> Ms {
    history.silent_time(position, from, call.sent_at + history.bounds.limit)
}
