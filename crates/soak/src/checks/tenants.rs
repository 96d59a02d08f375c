//! The checks of the keys and limits of tenants.

use std::collections::VecDeque;

use super::Guarantee;
use super::Index;
use super::Violation;
use super::manifests::Lifetime;
use super::manifests::lifetime;
use super::violation;
use crate::history::Attempt;
use crate::history::Call;
use crate::history::History;
use crate::history::Ms;
use crate::tenants::ApiKey;
use crate::tenants::BURST;
use crate::tenants::PLAIN_TOKENS;
use crate::tenants::RATE;
use crate::tenants::Tenant;

/// Requires that a runner gets no key, the name of the tenant to which the key belongs, and no requests without
/// a known key.
pub(super) fn check_identity(index: &Index<'_>, attempt: &Attempt) -> Option<Violation> {
    let report = |detail| Some(violation(Guarantee::Keys, &attempt.request, detail));
    let (runner, heard) = (&attempt.runner, &attempt.forwarded);
    if let Some(key) = &heard.api_key {
        return report(format!("{runner} got the key {key}"));
    }
    let call = index.calls.get(&*attempt.request)?;
    let tenant = call.api_key.and_then(ApiKey::tenant);
    let expected = tenant.filter(|_| call.kind.needs_key());
    if expected.is_none() && call.kind.needs_key() && attempt.ran {
        return report(format!("ran at {runner} with key {:?}", call.api_key));
    }
    let expected = expected.map(|tenant| tenant.to_string());
    (heard.tenant != expected).then(|| {
        let detail = format!(
            "{runner} got tenant {:?} in place of {expected:?}",
            heard.tenant
        );
        violation(Guarantee::Keys, &attempt.request, detail)
    })
}

/// Requires that a request without need of a key or with a known one is not answered 401.
pub(super) fn check_known_key(history: &History, call: &Call) -> Option<Violation> {
    let is_known = match call.api_key {
        _ if !call.kind.needs_key() => true,
        None | Some(ApiKey::Unknown) => false,
        Some(ApiKey::Permanent(_)) => true,
        Some(ApiKey::Versioned(version)) => is_in_force(history, call, version),
    };
    let detail = || format!("401 for key {:?}", call.api_key);
    (is_known && call.status() == Some(401)).then(|| violation(Guarantee::Keys, &call.id, detail()))
}

/// Requires that only requests of the limited tenant are refused as beyond a limit.
pub(super) fn check_unlimited(call: &Call) -> Option<Violation> {
    let detail = || format!("429 for key {:?}", call.api_key);
    (call.status() == Some(429) && !is_limited(call))
        .then(|| violation(Guarantee::Quota, &call.id, detail()))
}

fn is_limited(call: &Call) -> bool {
    call.kind.needs_key() && call.api_key.and_then(ApiKey::tenant) == Some(Tenant::Limited)
}

/// Returns whether the entry of a call must know the key of this version of the manifest until its end.
fn is_in_force(history: &History, call: &Call, version: u64) -> bool {
    let Some(Lifetime { from, to }) = lifetime(history, version) else {
        return false;
    };
    call.sent_at > from + history.bounds.manifest
        && to.is_none_or(|to| call.ended_at < to)
        && history.entry_settled(call.entry, call.sent_at, call.ended_at)
}

/// Requires that a request with a key that a manifest has dropped does not run after the bound.
pub(super) fn check_dropped_key(
    history: &History,
    index: &Index<'_>,
    call: &Call,
) -> Option<Violation> {
    let Some(ApiKey::Versioned(version)) = call.api_key else {
        return None;
    };
    let dropped = lifetime(history, version)?.to?;
    let late = call.sent_at > dropped + history.bounds.manifest;
    let run = index.runs(&call.id).next()?;
    let detail = || {
        let (age, runner) = (call.sent_at - dropped, &run.runner);
        let conn = if call.idle.is_some() { "kept" } else { "new" };
        format!("ran at {runner}, sent on a {conn} connection {age} ms after its key was dropped")
    };
    (call.kind.needs_key()
        && late
        && history.entry_settled(call.entry, call.sent_at, call.ended_at))
    .then(|| violation(Guarantee::Keys, &call.id, detail()))
}

/// Requires that the runners together run no more of the limited tenant in any window than its limit allows.
pub(super) fn check_quota(history: &History, index: &Index<'_>) -> Option<Violation> {
    let bounds = &history.bounds;
    let used = usage(history, index);
    let limit = RATE * bounds.quota_window as f64 / 1_000.0 + BURST;
    let allowed = limit * (1.0 + bounds.quota_excess) + bounds.quota_slack;
    let (most, at) = most_in_window(&used, bounds.quota_window)?;
    (most as f64 > allowed).then(|| {
        let detail = format!("{most} tokens in the window that ends at {at} ms, allowed {allowed}");
        violation(Guarantee::Quota, &Tenant::Limited.to_string(), detail)
    })
}

/// Returns when requests of the limited tenant began to run and what each costs, in the order of time.
fn usage(history: &History, index: &Index<'_>) -> Vec<(Ms, u64)> {
    let runs = history.attempts.iter().filter(|attempt| {
        let call = index.calls.get(&*attempt.request);
        attempt.ran && call.is_some_and(|call| is_limited(call))
    });
    let cost = |run: &Attempt| run.forwarded.tokens.unwrap_or(PLAIN_TOKENS);
    let mut used: Vec<_> = runs.map(|run| (run.started_at, cost(run))).collect();
    used.sort_unstable();
    used
}

/// Returns the largest amount that was used in a window, and the end of that window.
fn most_in_window(used: &[(Ms, u64)], window: Ms) -> Option<(u64, Ms)> {
    let mut recent: VecDeque<(Ms, u64)> = VecDeque::new();
    let mut sum = 0;
    let sums = used.iter().map(|&(at, cost)| {
        recent.push_back((at, cost));
        sum += cost;
        while let Some(&(first, cost)) = recent.front()
            && first + window <= at
        {
            recent.pop_front();
            sum -= cost;
        }
        (sum, at)
    });
    sums.max_by_key(|(sum, _)| *sum)
}
