//! The checks of what runners say of themselves in their responses: rate limits, leaving and pauses.
//!
//! Each binds an entry from the end of the first attempt at the runner that began after the runner had
//! begun to say so, and whose response is known to have reached the entry.

use decision::collections::Map;

use super::Guarantee;
use super::Index;
use super::Violation;
use super::violation;
use crate::history::Attempt;
use crate::history::History;
use crate::history::Ms;
use crate::history::NoticeKind;
use crate::history::RunnerNotice;

/// The length of the sliding window in which requests at a limited runner are counted.
const LIMIT_WINDOW_MS: Ms = 4_000;
/// The requests in a window that are allowed, as a multiple of what the limit allows, and beyond it.
const LIMIT_FACTOR: f64 = 1.5;
const LIMIT_EXTRA: f64 = 5.0;
/// The time after which an entry that has been told must act on it.
const NOTICE_MS: Ms = 500;
/// The requests that an entry may send in the rest of a pause.
const MAX_IN_PAUSE: usize = 2;

/// One lifetime of an entry: its index and how often it had been started.
type EntryLife = (usize, u32);

/// The attempts at the runner of a notice that came while it held, by the entry that sent them.
struct Told<'a> {
    notice: &'a RunnerNotice,
    attempts: Vec<(EntryLife, &'a Attempt)>,
    /// When each entry was told.
    since: Map<EntryLife, Ms>,
}

impl<'a> Told<'a> {
    fn new(index: &Index<'a>, history: &'a History, notice: &'a RunnerNotice) -> Told<'a> {
        let attempts = history.attempts.iter().filter(|attempt| {
            let within = (notice.from..=notice.to).contains(&attempt.started_at);
            attempt.runner == notice.runner && within
        });
        let attempts = attempts.filter_map(|attempt| {
            let call = index.calls.get(&*attempt.request)?;
            Some(((call.entry, call.entry_starts), attempt))
        });
        let mut attempts: Vec<_> = attempts.collect();
        attempts.sort_by_key(|(_, attempt)| attempt.started_at);
        let mut since: Map<EntryLife, Ms> = Map::default();
        for (life, attempt) in &attempts {
            if let Some(at) = attempt.ended_at
                && is_answered(index, notice, attempt)
            {
                let known = since.entry(*life).or_insert(at);
                *known = at.min(*known);
            }
        }
        Told {
            notice,
            attempts,
            since,
        }
    }

    /// Returns the attempts of entries that had been told for `bound` and were not disturbed since.
    fn late(
        &self,
        history: &'a History,
        bound: Ms,
    ) -> impl Iterator<Item = (EntryLife, &'a Attempt)> {
        self.attempts
            .iter()
            .copied()
            .filter(move |(life, attempt)| {
                let since = self.since.get(life);
                since.is_some_and(|since| {
                    let settled = history.entry_undisturbed(life.0, *since, attempt.started_at)
                        && history.runner_undisturbed(&attempt.runner, *since, attempt.started_at);
                    attempt.started_at >= since + bound && settled
                })
            })
    }
}

/// Returns whether the response to an attempt has reached its entry: a rejection has, and so has a
/// response that the caller got from it.
fn is_answered(index: &Index<'_>, notice: &RunnerNotice, attempt: &Attempt) -> bool {
    if matches!(notice.kind, NoticeKind::Pause(_)) {
        return !attempt.ran;
    }
    let call = index.calls.get(&*attempt.request);
    let last = index
        .runs(&attempt.request)
        .max_by_key(|run| run.started_at);
    let is_last = last.is_some_and(|last| last.runner == attempt.runner);
    is_last && call.is_some_and(|call| call.is_served())
}

/// Checks all notices of a run.
pub(super) fn check_notices(history: &History, index: &Index<'_>) -> Vec<Violation> {
    let notices = history.notices.iter();
    let checked = notices.filter_map(|notice| {
        let told = Told::new(index, history, notice);
        match notice.kind {
            NoticeKind::Limit(rate) => check_limit(history, &told, rate),
            NoticeKind::Leaving => check_leaving(history, &told),
            NoticeKind::Pause(length) => check_pause(history, &told, length),
        }
    });
    checked.collect()
}

fn check_limit(history: &History, told: &Told<'_>, rate: f64) -> Option<Violation> {
    let bound = told.notice.from + history.bounds.contact;
    let late = told.late(history, NOTICE_MS);
    let starts: Vec<Ms> = late
        .map(|(_, attempt)| attempt.started_at)
        .filter(|at| *at >= bound)
        .collect();
    let allowed = LIMIT_FACTOR * rate * (LIMIT_WINDOW_MS as f64 / 1_000.0) + LIMIT_EXTRA;
    let counts = starts.iter().map(|from| {
        let window = *from..from + LIMIT_WINDOW_MS;
        starts.iter().filter(|at| window.contains(at)).count()
    });
    let most = counts.max().unwrap_or(0);
    (most as f64 > allowed).then(|| {
        let detail = format!("{most} requests in a window, limit {rate} a second");
        violation(Guarantee::RateLimit, &told.notice.runner, detail)
    })
}

fn check_leaving(history: &History, told: &Told<'_>) -> Option<Violation> {
    let (_, attempt) = told.late(history, history.bounds.drain).next()?;
    let detail = format!(
        "{} reached it {} ms after it began to say that it leaves",
        attempt.request,
        attempt.started_at - told.notice.from
    );
    Some(violation(
        Guarantee::LeavingLeft,
        &told.notice.runner,
        detail,
    ))
}

fn check_pause(history: &History, told: &Told<'_>, length: Ms) -> Option<Violation> {
    let mut counts: Map<EntryLife, usize> = Map::default();
    for (life, attempt) in told.late(history, NOTICE_MS) {
        let since = told.since.get(&life)?;
        if attempt.started_at < since + length {
            *counts.entry(life).or_default() += 1;
        }
    }
    let (life, most) = counts.into_iter().max_by_key(|(_, count)| *count)?;
    (most > MAX_IN_PAUSE).then(|| {
        let detail = format!("{most} requests of entry {} in its pause", life.0);
        violation(Guarantee::PauseKept, &told.notice.runner, detail)
    })
}
