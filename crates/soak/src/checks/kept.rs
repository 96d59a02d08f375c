//! The check that requests on kept connections get an answer or a refusal.

use super::Guarantee;
use super::Violation;
use super::violation;
use crate::history::Call;
use crate::history::CallOutcome;
use crate::history::History;
use crate::history::IdleLimit;
use crate::history::Ms;
use crate::history::RELIED_PERCENT;
use crate::history::RouteKind;

/// Requires that an entry without a fault answers a request on a connection that was not idle for longer
/// than its caller may rely on, whether or not a runner has read it. A store that fails excuses nothing: an
/// entry keeps to the limits that it applies.
pub(super) fn check_answered(history: &History, call: &Call) -> Option<Violation> {
    let idle = call.idle?;
    if call.outcome != CallOutcome::ConnectionClosed {
        return None;
    }
    let since = call.sent_at.saturating_sub(idle);
    let contact = call.sent_at.saturating_sub(history.bounds.contact);
    if !history.entry_spared(call.entry, since.min(contact), call.ended_at) {
        return None;
    }
    let limit = idle_limit(history, call, since)?;
    if idle > limit * Ms::from(RELIED_PERCENT) / 100 {
        return None;
    }
    let detail = format!("closed without an answer after {idle} ms idle, limit {limit} ms");
    Some(violation(Guarantee::KeptAnswered, &call.id, detail))
}

/// Returns the longest limit that the entry must have applied before it could close a connection that is
/// idle since `since`.
fn idle_limit(history: &History, call: &Call, since: Ms) -> Option<Ms> {
    let limits = &history.idle_limits;
    let applied = |limit: &IdleLimit| applied_at(history, call, since, limit);
    let oldest = limits.iter().rposition(|limit| applied(limit) <= since);
    let oldest = oldest.unwrap_or(0);
    let later = limits[oldest..].iter();
    // The entry may have applied any of these by then.
    let possible = later.take_while(|limit| limit.stored_at <= since);
    let mut longest = possible.map(|limit| limit.limit).min()?;
    for (index, limit) in limits.iter().enumerate().skip(oldest + 1) {
        let at = applied(limit);
        let next = limits.get(index + 1);
        let replaced_at = next.map_or(Ms::MAX, |next| next.stored_at);
        if since < at && at < replaced_at.min(since + longest) {
            longest = longest.max(limit.limit);
        }
    }
    Some(longest)
}

/// Returns when the entry applied a limit at the latest, as its answers or the bound for manifests tell.
fn applied_at(history: &History, call: &Call, since: Ms, limit: &IdleLimit) -> Ms {
    let shows = |other: &&Call| {
        let RouteKind::Versioned(version) = other.kind else {
            return false;
        };
        let same_start = other.entry == call.entry && other.entry_starts == call.entry_starts;
        let routed = matches!(other.status(), Some(200 | 500 | 502 | 504));
        version >= limit.version && same_start && routed
    };
    let shown_at = history.calls.iter().filter(shows).map(|call| call.ended_at);
    let shown = shown_at.min().map(|at| at + history.bounds.rollback);
    let in_touch = history.entry_settled(call.entry, since, call.sent_at);
    let due = in_touch.then_some(limit.stored_at + history.bounds.manifest);
    shown.into_iter().chain(due).min().unwrap_or(Ms::MAX)
}
