//! The checks on requests, or prompt parts, on which runners crash, and on the sound ones beside them.

use decision::collections::Map;

use super::Guarantee;
use super::Violation;
use super::violation;
use crate::history::Call;
use crate::history::History;
use crate::history::Ms;
use crate::plan::FIRST_DEADLY_REQUEST;

/// The crash by a part, or by a whole request, after which the bounds count.
const COUNTED_PART_CRASH: usize = 5;
const COUNTED_REQUEST_CRASH: usize = 3;
/// The requests with a deadly part that may reach runners after the bound.
const MAX_LATE: usize = 3;
/// The sound requests from which their share counts.
const MIN_SOUND: usize = 20;

/// Requires that at most a few deadly requests, or requests with a deadly part, reach runners later than
/// the contact bound after the counted crash, sent by entries that were undisturbed.
pub(super) fn check_held_back(history: &History) -> Vec<Violation> {
    let calls: Map<&str, &Call> = history.calls.iter().map(|call| (&*call.id, call)).collect();
    let mut parts: Map<u64, Vec<(Ms, &Call)>> = Map::default();
    for attempt in history.attempts.iter().filter(|attempt| attempt.ran) {
        let Some(call) = calls.get(&*attempt.request) else {
            continue;
        };
        if let Some(part) = call.deadly {
            parts
                .entry(part)
                .or_default()
                .push((attempt.started_at, call));
        }
    }
    let mut all = Vec::new();
    for (part, mut runs) in parts {
        runs.sort_by_key(|(at, _)| *at);
        let counted = if part >= FIRST_DEADLY_REQUEST {
            COUNTED_REQUEST_CRASH
        } else {
            COUNTED_PART_CRASH
        };
        let Some((counted_at, _)) = runs.get(counted - 1) else {
            continue;
        };
        let bound = counted_at + history.bounds.contact;
        let late = runs.iter().filter(|(at, call)| {
            *at > bound && history.entry_settled(call.entry, call.sent_at, *at)
        });
        let late = late.count();
        if late > MAX_LATE {
            let detail = format!(
                "{late} requests with {part:x} reached runners, {} in all",
                runs.len()
            );
            all.push(violation(Guarantee::DeadlyHeldBack, "-", detail));
        }
    }
    all
}

/// Requires that less than half of the sound requests with shared parts are held back.
pub(super) fn check_sound_requests(history: &History) -> Option<Violation> {
    let is_sound = |call: &&Call| call.shares_parts && call.deadly.is_none() && !call.is_denied();
    let sound: Vec<&Call> = history.calls.iter().filter(is_sound).collect();
    let held = sound.iter().filter(|call| call.is_held_back()).count();
    (sound.len() >= MIN_SOUND && held * 2 > sound.len()).then(|| {
        let detail = format!("{held} of {} sound requests were held back", sound.len());
        violation(Guarantee::SoundNotHeldBack, "-", detail)
    })
}
