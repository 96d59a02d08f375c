//! The checks of the manifest that entries apply.

use decision::collections::Map;

use super::Guarantee;
use super::Violation;
use super::violation;
use crate::history::Call;
use crate::history::History;
use crate::history::Ms;
use crate::history::RouteKind;

/// Requires that routes of every manifest are never rejected, by any entry at any time, except for a missing
/// key, which has a check of its own.
pub(super) fn check_permanent_routes(call: &Call) -> Option<Violation> {
    let is_versioned = matches!(call.kind, RouteKind::Versioned(_));
    let rejected = call
        .status()
        .is_some_and(|status| matches!(status, 300..=400 | 402..=407 | 409..=420));
    (rejected && !is_versioned).then(|| {
        violation(
            Guarantee::NewestManifest,
            &call.id,
            format!("{:?}", call.outcome),
        )
    })
}

/// When the store had what a manifest version adds for itself and the next one, and when the version that
/// drops it; `None` until then.
pub(super) struct Lifetime {
    pub(super) from: Ms,
    pub(super) to: Option<Ms>,
}

/// Returns the lifetime of the route and the key that are named after a manifest version.
pub(super) fn lifetime(history: &History, version: u64) -> Option<Lifetime> {
    let stored_at = |wanted| {
        let mut manifests = history.manifests.iter();
        manifests
            .find(|(known, _)| *known == wanted)
            .map(|(_, at)| *at)
    };
    Some(Lifetime {
        from: stored_at(version)?,
        to: stored_at(version + 2),
    })
}

pub(super) fn check_newest_manifest(history: &History) -> Vec<Violation> {
    let bound = history.bounds.manifest;
    let check_call = |call: &Call| {
        let RouteKind::Versioned(version) = call.kind else {
            return None;
        };
        let Lifetime { from, to } = lifetime(history, version)?;
        let current = call.sent_at > from + bound && to.is_none_or(|to| call.ended_at < to);
        if current
            && call.status() == Some(404)
            && history.entry_settled(call.entry, call.sent_at, call.ended_at)
        {
            let detail = format!("404 {} ms after its route was added", call.sent_at - from);
            return Some(violation(Guarantee::NewestManifest, &call.id, detail));
        }
        let to = to?;
        let removed = call.sent_at > to + bound
            && history.entry_settled(call.entry, call.sent_at, call.ended_at);
        let detail = || format!("served {} ms after route removal", call.sent_at - to);
        (removed && call.is_served())
            .then(|| violation(Guarantee::NewestManifest, &call.id, detail()))
    };
    history.calls.iter().filter_map(check_call).collect()
}

/// Requires that an entry that has served a new route does not return to a manifest without it.
pub(super) fn check_no_manifest_rollback(history: &History) -> Vec<Violation> {
    let mut first_served: Map<(usize, u32, u64), Ms> = Map::default();
    let mut all = Vec::new();
    for call in &history.calls {
        let RouteKind::Versioned(version) = call.kind else {
            continue;
        };
        let key = (call.entry, call.entry_starts, version);
        if call.is_served() {
            first_served.entry(key).or_insert(call.ended_at);
        }
        let Some(at) = first_served.get(&key) else {
            continue;
        };
        let removed = lifetime(history, version).and_then(|route| route.to);
        let valid = removed.is_none_or(|to| call.ended_at < to);
        if valid && call.status() == Some(404) && call.sent_at > at + history.bounds.rollback {
            let detail = format!("404 {} ms after its route was served", call.sent_at - at);
            all.push(violation(Guarantee::NewestManifest, &call.id, detail));
        }
    }
    all
}
