//! What runners say of themselves in their responses, and what an entry may send to them since.
//!
//! A runner may name the rate of requests that it takes from all entries together. No entry sees what
//! the others send, so each uses an equal part of the rate: it sends one request in a slot, and the
//! slots of an entry are as far apart as its part asks for. A slot that is not used in time lapses, so
//! that idle entries cannot all send at once later.
//!
//! Invariants: what a runner says binds its own incarnation only, also while its membership record is
//! missing. A rate limit binds until an answer to a request that was sent after the last one that named
//! it names none, or until a period after that. A runner that leaves does so for good. A pause is never
//! shortened, and ends after [`MAX_PAUSE`]. A slot belongs to one request.
//!
//! API boundary: [`Fleet`](crate::fleet::Fleet) records notices, asks for the permission of each
//! candidate of a placement, reserves slots, and uses one right before a request is sent.

mod rate_limit;

use std::time::Duration;

use decision::collections::Map;
use decision::time::Time;
use derive_more::Display;

pub use rate_limit::LIMIT_PERIOD;

use self::rate_limit::RateLimit;
use self::rate_limit::SlotTime;

use crate::Name;
use crate::runner::Notice;

/// The most incarnations of which anything is kept.
const MAX_RUNNERS: usize = 4_096;
/// The longest pause. A runner that wants a longer one asks for it again.
pub const MAX_PAUSE: Duration = Duration::from_secs(10 * 60);

/// The response by which a runner says something of itself.
#[derive(Clone, Copy, Debug)]
pub struct NoticeSource<'a> {
    /// The identifier of the runner.
    pub runner: &'a Name,
    /// The start of its incarnation, in milliseconds since the Unix epoch.
    pub born: u64,
    /// When the request was sent.
    pub sent_at: Time,
    /// Whether the runner ran the request. Only such a response lifts a limit by not naming it.
    pub ran: bool,
}

/// A change in what a runner says of itself.
#[derive(Clone, Copy, Debug, Display, PartialEq)]
pub enum NoticeChange {
    /// It names a limit, in requests per second, or another one than before.
    #[display("limited")]
    Limited(f64),
    /// It no longer names a limit.
    #[display("unlimited")]
    Unlimited,
    /// It is about to leave.
    #[display("leaving")]
    Leaving,
    /// It wants no request until this time.
    #[display("paused")]
    Paused(Time),
}

/// Whether a request may be sent to a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permission {
    /// A request may be sent now.
    Granted,
    /// None before the slot that opens at this time.
    FromSlot(Time),
    /// None before the pause ends at this time.
    AfterPause(Time),
}

/// The right to send one request to an incarnation of a runner that names a limit. A request that ends
/// without using it gives it back to [`Backpressure::release`].
#[derive(Debug)]
pub struct Slot {
    runner: Name,
    born: u64,
    time: SlotTime,
}

impl Slot {
    /// Returns when a request may be sent.
    pub fn opens_at(&self) -> Time {
        self.time.opens_at
    }

    /// Returns whether it is a slot at this incarnation of a runner.
    pub fn is_of(&self, runner: &str, born: u64) -> bool {
        *self.runner == *runner && self.born == born
    }
}

/// What all runners have said of themselves, as one entry knows it.
#[derive(Debug)]
pub struct Backpressure {
    runners: Map<Name, RunnerNotices>,
    /// The number of entries that share a rate limit.
    entries: u32,
}

/// What one incarnation of a runner has said of itself.
#[derive(Clone, Copy, Debug)]
struct RunnerNotices {
    born: u64,
    /// When it last said something.
    heard_at: Time,
    limit: Option<RateLimit>,
    leaving: bool,
    paused_until: Time,
}

impl Backpressure {
    /// Creates the state of one of `entries` entries; 0 counts as 1.
    pub fn new(entries: u32) -> Backpressure {
        Backpressure {
            runners: Map::default(),
            entries: entries.max(1),
        }
    }

    /// Records what a runner says of itself; returns what that changes. What an earlier incarnation
    /// says is ignored.
    pub fn record(
        &mut self,
        now: Time,
        rng: &mut fastrand::Rng,
        source: NoticeSource<'_>,
        notice: &Notice,
    ) -> Vec<NoticeChange> {
        let known = self.runners.get(source.runner).copied();
        if known.is_none() && *notice == Notice::default() {
            return Vec::new();
        }
        let fresh = RunnerNotices::new(source.born);
        let mut notices = known.filter(|known| known.born >= source.born);
        let notices = notices.get_or_insert(fresh);
        if notices.born > source.born {
            return Vec::new();
        }
        notices.heard_at = now;
        let entries = self.entries;
        let changes = [
            notices.record_limit(now, rng, source, notice, entries),
            notices.record_leaving(notice),
            notices.record_pause(now, notice),
        ];
        self.insert(source.runner, *notices);
        changes.into_iter().flatten().collect()
    }

    /// Sets the number of entries that share a rate limit; 0 counts as 1.
    pub fn set_entries(&mut self, now: Time, entries: u32) {
        let entries = entries.max(1);
        if self.entries == entries {
            return;
        }
        self.entries = entries;
        let notices = self.runners.values_mut();
        for limit in notices.filter_map(|known| known.limit.as_mut()) {
            limit.set_entries(now, entries);
        }
    }

    /// Returns whether this incarnation of a runner has said that it is about to leave.
    pub fn is_leaving(&self, runner: &str, born: u64) -> bool {
        self.get(runner, born).is_some_and(|known| known.leaving)
    }

    /// Returns whether a request that may have reserved a slot may be sent to this incarnation of a
    /// runner.
    pub fn permission(
        &self,
        now: Time,
        runner: &str,
        born: u64,
        slot: Option<&Slot>,
    ) -> Permission {
        let Some(known) = self.get(runner, born) else {
            return Permission::Granted;
        };
        let slot = slot.filter(|slot| slot.is_of(runner, born));
        let opens_at = known.limit_in_force(now).map_or(now, |limit| match slot {
            Some(slot) if limit.has_time_left(now, slot.time) => slot.time.opens_at,
            _ => limit.slot(now),
        });
        if now < known.paused_until {
            Permission::AfterPause(opens_at.max(known.paused_until))
        } else if now < opens_at {
            Permission::FromSlot(opens_at)
        } else {
            Permission::Granted
        }
    }

    /// Reserves the next slot of a runner for one request; `None` if the runner names no limit.
    pub fn reserve(&mut self, now: Time, runner: &Name, born: u64) -> Option<Slot> {
        let limit = self.limit_mut(now, runner, born)?;
        Some(Slot {
            runner: runner.clone(),
            born,
            time: limit.reserve(now),
        })
    }

    /// Returns whether a request can still use its slot.
    pub fn has_time_left(&self, now: Time, slot: &Slot) -> bool {
        let known = self.get(&slot.runner, slot.born);
        let limit = known.and_then(|known| known.limit_in_force(now));
        limit.is_some_and(|limit| limit.has_time_left(now, slot.time))
    }

    /// Gives back a slot that no request has used.
    pub fn release(&mut self, now: Time, slot: &Slot) {
        if let Some(limit) = self.limit_mut(now, &slot.runner, slot.born) {
            limit.release(slot.time);
        }
    }

    /// Uses the permission for a request that is about to be sent, and its slot if it has reserved one;
    /// returns whether it is granted.
    pub fn take(&mut self, now: Time, runner: &str, born: u64, slot: Option<&Slot>) -> bool {
        if self.permission(now, runner, born, slot) != Permission::Granted {
            return false;
        }
        let Some(limit) = self.limit_mut(now, runner, born) else {
            return true;
        };
        let slot = slot.filter(|slot| slot.is_of(runner, born));
        if !slot.is_some_and(|slot| limit.has_time_left(now, slot.time)) {
            limit.reserve(now);
        }
        true
    }

    /// Returns the limit that this incarnation of a runner names, in requests per second from all
    /// entries together.
    pub fn rate_limit(&self, now: Time, runner: &str, born: u64) -> Option<f64> {
        let known = self.get(runner, born)?;
        known.limit_in_force(now).map(|limit| limit.rate)
    }

    /// Returns the number of runners that name a limit.
    pub fn limited_count(&self, now: Time) -> usize {
        let runners = self.runners.values();
        let limited = runners.filter(|known| known.limit_in_force(now).is_some());
        limited.count()
    }

    /// Returns the number of runners that want no request now.
    pub fn paused_count(&self, now: Time) -> usize {
        let runners = self.runners.values();
        let paused = runners.filter(|known| now < known.paused_until);
        paused.count()
    }

    fn get(&self, runner: &str, born: u64) -> Option<&RunnerNotices> {
        let known = self.runners.get(runner)?;
        (known.born == born).then_some(known)
    }

    fn limit_mut(&mut self, now: Time, runner: &str, born: u64) -> Option<&mut RateLimit> {
        let known = self.runners.get_mut(runner)?;
        let limit = known.limit.as_mut()?;
        (known.born == born && now < limit.expires_at).then_some(limit)
    }

    /// Keeps what a runner said; if too much is kept, forgets the runner that was silent the longest.
    fn insert(&mut self, runner: &Name, notices: RunnerNotices) {
        self.runners.insert(runner.clone(), notices);
        if self.runners.len() <= MAX_RUNNERS {
            return;
        }
        let silent = self.runners.iter().min_by_key(|(_, known)| known.heard_at);
        if let Some(silent) = silent.map(|(name, _)| name.clone()) {
            self.runners.remove(&silent);
        }
    }
}

impl RunnerNotices {
    fn new(born: u64) -> Self {
        RunnerNotices {
            born,
            heard_at: Time::default(),
            limit: None,
            leaving: false,
            paused_until: Time::default(),
        }
    }

    fn limit_in_force(&self, now: Time) -> Option<&RateLimit> {
        let limit = self.limit.as_ref()?;
        (now < limit.expires_at).then_some(limit)
    }

    /// Records the limit of a response, or that it names none.
    fn record_limit(
        &mut self,
        now: Time,
        rng: &mut fastrand::Rng,
        source: NoticeSource<'_>,
        notice: &Notice,
        entries: u32,
    ) -> Option<NoticeChange> {
        let known = self.limit_in_force(now).copied();
        let Some(rate) = notice.rate_limit else {
            // Answers overtake each other; one to an earlier request does not lift a limit.
            let lifted = known.is_some_and(|known| source.ran && source.sent_at >= known.named_at);
            if lifted {
                self.limit = None;
            }
            return lifted.then_some(NoticeChange::Unlimited);
        };
        let mut limit = known.unwrap_or_else(|| RateLimit::new(now, rng, rate, entries));
        limit.renew(now, rate);
        self.limit = Some(limit);
        let unchanged = known.is_some_and(|known| known.rate.to_bits() == rate.to_bits());
        (!unchanged).then_some(NoticeChange::Limited(rate))
    }

    fn record_leaving(&mut self, notice: &Notice) -> Option<NoticeChange> {
        let begins = notice.leaving && !self.leaving;
        self.leaving |= notice.leaving;
        begins.then_some(NoticeChange::Leaving)
    }

    fn record_pause(&mut self, now: Time, notice: &Notice) -> Option<NoticeChange> {
        let length = notice.retry_after?.min(MAX_PAUSE);
        let until = now.after(length);
        if until <= self.paused_until {
            return None;
        }
        self.paused_until = until;
        Some(NoticeChange::Paused(until))
    }
}
