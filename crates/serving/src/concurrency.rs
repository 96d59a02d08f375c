//! How many requests one entry may have at each runner of a plain service, by additive increase and
//! multiplicative decrease. A [`ServiceWindow`] limits the requests at all runners of a service together.
//!
//! No entry sees what the others send, and what a runner reports of its load is outdated by the time that
//! it arrives. A rejection, a reset or a refused connection says that all entries together have sent too
//! much, so each that meets one sends less.
//!
//! A limit begins with the entry's part of the runner's slots. While the number of entries is not known, it
//! begins with all connections that the runner accepts, and the first overload shows how many are too many. Until
//! the first answer it rises with time.
//!
//! Invariants: a limit is at least 1 and at most the connections that the entry may have; after the
//! first answer it rises only with requests during which it was reached; requests that were sent before a
//! decrease cause no second one; a place that was taken is given back once, and one at an earlier incarnation
//! of a runner changes nothing.
//!
//! API boundary: `gateway` takes a [`Place`] when it chooses a runner, records what the attempt shows, and
//! gives the place back.

use std::time::Duration;

use decision::collections::Map;
use decision::time::Time;

use crate::Name;
use crate::entry_count::EntryCount;
use crate::runner::Member;
use crate::service_window::ServiceWindow;

/// The least number of connections to a runner that an entry may have.
const MIN_CONNS: u32 = 2;
/// The factor by which a limit falls.
const DECREASE: f64 = 0.5;
/// The weight of the newest value in the moving average of the service time.
const SERVICE_TIME_WEIGHT: f64 = 0.125;
/// The assumed service time of a runner that has answered no request.
const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(50);

/// What the entries share of each runner of a service.
#[derive(Clone, Copy, Debug)]
pub struct Share {
    /// The connections that a runner accepts from all entries together; [`u32::MAX`] if it declares no
    /// maximum.
    pub max_conns: u32,
    /// The number of entries, this one included.
    pub entries: EntryCount,
}

impl Share {
    /// Returns the connections that one entry may have. An assumed number of entries counts only for a
    /// runner that was overloaded, since there may be no other entry.
    fn conns(&self, was_overloaded: bool) -> u32 {
        let is_counted = was_overloaded || self.entries.reported().is_some();
        if self.max_conns == u32::MAX || !is_counted {
            return self.max_conns;
        }
        (self.max_conns / self.entries.get().max(1)).max(MIN_CONNS)
    }

    /// Returns the limit at a runner to which nothing was sent yet.
    fn initial_limit(&self, slots: u32) -> f64 {
        let conns = f64::from(self.conns(false));
        let entries = self.entries.reported();
        entries.map_or(conns, |entries| f64::from(slots) / f64::from(entries) + 1.0)
    }
}

/// The right to have one request at an incarnation of a runner, until it is given back to
/// [`Concurrency::give_back`].
#[derive(Debug)]
pub struct Place {
    /// The identifier of the runner.
    pub runner: Name,
    /// The start of the runner's incarnation, in milliseconds since the Unix epoch.
    pub born: u64,
    service: Name,
    taken_at: Time,
}

/// The limits of one entry.
#[derive(Debug, Default)]
pub struct Concurrency {
    runners: Map<Name, RunnerLimit>,
    /// The limits for all runners of a service together; kept until the entry ends.
    services: Map<Name, ServiceWindow>,
}

#[derive(Clone, Copy, Debug)]
struct RunnerLimit {
    /// The start of the runner's incarnation, in milliseconds since the Unix epoch.
    born: u64,
    limit: f64,
    share: Share,
    inflight: u32,
    /// When the limit was last reached; `None` if it never was.
    full_at: Option<Time>,
    /// When the first request was sent there; `None` before.
    first_at: Option<Time>,
    /// When the limit was last decreased; `None` if it never was.
    decreased_at: Option<Time>,
    /// The moving average of the time that a request takes there.
    service_time: Option<Duration>,
}

impl RunnerLimit {
    fn new(member: &Member, share: Share) -> RunnerLimit {
        RunnerLimit {
            born: member.born,
            limit: share.initial_limit(member.slots),
            share,
            inflight: 0,
            full_at: None,
            first_at: None,
            decreased_at: None,
            service_time: None,
        }
    }

    /// Returns the connections that this entry may have.
    fn conns(&self) -> u32 {
        self.share.conns(self.decreased_at.is_some())
    }

    fn bound(&self, limit: f64) -> f64 {
        limit.clamp(1.0, f64::from(self.conns().max(1)))
    }

    fn has_room(&self, now: Time) -> bool {
        f64::from(self.inflight) + 1.0 <= self.limit_at(now)
    }

    /// Returns the limit, raised while the runner has neither answered nor rejected a request: a full
    /// runner rejects at once, and an answer may take long.
    fn limit_at(&self, now: Time) -> f64 {
        let is_unknown = self.service_time.is_none() && self.decreased_at.is_none();
        let first_at = self.first_at.filter(|_| is_unknown).unwrap_or(now);
        let rounds = now.since(first_at).div_duration_f64(DEFAULT_SERVICE_TIME);
        self.bound(self.limit + rounds)
    }

    fn record_success(&mut self, now: Time, taken_at: Time) {
        if self.service_time.is_none() {
            let limit = self.limit.max(f64::from(self.inflight));
            self.limit = self.bound(limit);
        }
        self.record_service_time(now.since(taken_at));
        if self.full_at.is_some_and(|full_at| taken_at <= full_at) {
            // All entries together raise their limits as much as one that is alone, once they have
            // shown to be too many for the runner.
            let entries = self.decreased_at.map_or(1, |_| self.share.entries.get());
            let increase = 1.0 / self.limit / f64::from(entries);
            self.limit = self.bound(self.limit + increase);
        }
    }

    fn record_overload(&mut self, now: Time, begun_at: Time) {
        if self.decreased_at.is_none_or(|at| begun_at >= at) {
            self.decreased_at = Some(now);
            // An unused part of the limit has not caused the overload.
            let used = self.limit.min(f64::from(self.inflight.max(1)));
            self.limit = self.bound(used * DECREASE);
        }
    }

    fn record_service_time(&mut self, time: Duration) {
        let average = self.service_time.map_or(time, |known| {
            known.mul_f64(1.0 - SERVICE_TIME_WEIGHT) + time.mul_f64(SERVICE_TIME_WEIGHT)
        });
        self.service_time = Some(average);
    }
}

impl Concurrency {
    /// Returns whether a runner has room for a further request.
    pub fn has_room(&self, now: Time, member: &Member, share: Share) -> bool {
        let window = self.services.get(&member.service);
        window.is_none_or(|window| window.has_room(now))
            && self.known_or_new(member, share).has_room(now)
    }

    /// Takes a place at a runner; `None` if it has no room.
    pub fn take(&mut self, now: Time, member: &Member, share: Share) -> Option<Place> {
        let mut known = self.known_or_new(member, share);
        if !known.has_room(now) {
            return None;
        }
        known.first_at.get_or_insert(now);
        known.inflight += 1;
        if !known.has_room(now) {
            known.full_at = Some(now);
        }
        self.runners.insert(member.id.clone(), known);
        let window = self.services.entry(member.service.clone()).or_default();
        window.take(now);
        Some(Place {
            runner: member.id.clone(),
            born: member.born,
            service: member.service.clone(),
            taken_at: now,
        })
    }

    /// Records that the runner has served the request that has a place, which raises the limit if it was
    /// reached meanwhile.
    pub fn record_success(&mut self, now: Time, place: &Place) {
        if let Some(known) = self.known_mut(&place.runner, place.born) {
            known.record_success(now, place.taken_at);
        }
    }

    /// Records that a runner had no room for a request that was begun at `begun_at`: it rejected the
    /// request or the connection, or reset the connection before an answer began.
    pub fn record_overload(&mut self, now: Time, runner: &str, born: u64, begun_at: Time) {
        if let Some(known) = self.known_mut(runner, born) {
            known.record_overload(now, begun_at);
        }
    }

    /// Ends the use of a place.
    pub fn give_back(&mut self, place: Place) {
        if let Some(window) = self.services.get_mut(&place.service) {
            window.give_back();
        }
        if let Some(known) = self.known_mut(&place.runner, place.born) {
            known.inflight = known.inflight.saturating_sub(1);
        }
    }

    /// Records that a runner has served the request that has a place; `goal` is the shortest latency objective of
    /// the service's routes.
    pub fn record_answer(&mut self, now: Time, place: &Place, goal: Duration) {
        if let Some(window) = self.services.get_mut(&place.service) {
            window.record_answer(now, place.taken_at, goal);
        }
    }

    /// Returns the limit for all runners of a service together; `None` if there is none.
    pub fn service_limit(&self, service: &str) -> Option<f64> {
        self.services.get(service)?.limit()
    }

    /// Returns whether the runners of a service are overloaded, see [`ServiceWindow::is_pressed`].
    pub fn is_pressed(&self, now: Time, service: &str) -> bool {
        let window = self.services.get(service);
        window.is_some_and(|window| window.is_pressed(now))
    }

    fn known_mut(&mut self, runner: &str, born: u64) -> Option<&mut RunnerLimit> {
        let known = self.runners.get_mut(runner)?;
        (known.born == born).then_some(known)
    }

    /// Returns the limit at a runner.
    pub fn limit(&self, now: Time, member: &Member, share: Share) -> f64 {
        self.known_or_new(member, share).limit_at(now)
    }

    /// Returns the connections, in use and idle, that this entry may have to a runner.
    pub fn conns(&self, member: &Member, share: Share) -> u32 {
        self.known_or_new(member, share).conns()
    }

    /// Returns the time that a request takes at a runner, as a moving average.
    pub fn service_time(&self, member: &Member) -> Duration {
        let known = self.runners.get(&member.id);
        let time = known.and_then(|known| known.service_time);
        time.unwrap_or(DEFAULT_SERVICE_TIME)
    }

    /// Forgets a runner that is gone.
    pub fn remove(&mut self, runner: &str) {
        self.runners.remove(runner);
    }

    /// Returns what is known of an incarnation of a runner, with a limit within the share.
    fn known_or_new(&self, member: &Member, share: Share) -> RunnerLimit {
        let known = self.runners.get(&member.id);
        let known = known.filter(|known| known.born == member.born).copied();
        let mut known = known.unwrap_or_else(|| RunnerLimit::new(member, share));
        known.share = share;
        known.limit = known.bound(known.limit);
        known
    }
}
