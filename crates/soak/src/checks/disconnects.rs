//! The checks of requests whose callers have disconnected.

use super::Guarantee;
use super::Index;
use super::Violation;
use super::violation;
use crate::history::Call;
use crate::history::CallOutcome;
use crate::history::History;

/// Reports late ends only if there are several and they are a considerable share: a single request
/// may reach its runner while its caller disconnects.
pub(super) fn check_work_cancelled(history: &History, index: &Index<'_>) -> Option<Violation> {
    const MIN_LATE: usize = 4;
    let mut late = Vec::new();
    let mut all = 0;
    for call in history
        .calls
        .iter()
        .filter(|call| call.outcome == CallOutcome::Disconnected)
    {
        let bound = call.ended_at + history.bounds.cancel;
        let runs = index.runs(&call.id).filter(|run| {
            let ran_on = run.ended_at.is_none_or(|ended| ended > call.ended_at);
            ran_on
                && history.entry_settled(call.entry, call.sent_at, bound)
                && history.runner_settled(&run.runner, call.sent_at, bound)
        });
        for run in runs {
            all += 1;
            if run.ended_at.is_none_or(|ended| ended > bound) {
                late.push(&*call.id);
            }
        }
    }
    (late.len() >= MIN_LATE && late.len() * 4 > all).then(|| {
        violation(
            Guarantee::WorkCancelled,
            late[0],
            format!("{} of {all} requests still ran", late.len()),
        )
    })
}

/// Allows a few: a request may be on its way to its runner while its caller disconnects.
pub(super) fn check_not_sent_after_leaving(
    history: &History,
    index: &Index<'_>,
) -> Option<Violation> {
    const MAX_LATE: usize = 3;
    let calls = history.calls.iter();
    let left = calls.filter(|call| call.outcome == CallOutcome::Disconnected);
    let late = left.filter(|call| {
        let bound = call.ended_at + history.bounds.cancel;
        let attempts = index.attempts.get(&*call.id).into_iter().flatten();
        let mut late = attempts.filter(|attempt| {
            attempt.started_at > bound
                && history.entry_settled(call.entry, call.sent_at, attempt.started_at)
                && history.runner_settled(&attempt.runner, call.sent_at, attempt.started_at)
        });
        late.next().is_some()
    });
    let late: Vec<&Call> = late.collect();
    (late.len() > MAX_LATE).then(|| {
        let detail = format!("{} requests were sent to runners after it", late.len());
        violation(Guarantee::NotSentAfterLeaving, &late[0].id, detail)
    })
}
