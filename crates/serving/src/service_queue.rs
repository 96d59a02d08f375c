//! The requests that wait in an entry until a runner of their plain service has room, and which of them
//! goes next.
//!
//! Requests that can still meet their objective go first, then the others; within each group the more
//! urgent priority goes first, then the earlier objective. While the runners are overloaded, the later
//! objective goes first within a priority: in the order of their objectives all would be sent just too late.
//!
//! Invariants: at most [`MAX_WAITING`] requests wait; one turn in [`FAIR_TURN`] goes to the request that
//! has waited longest, so that none waits forever; in one round each request is called at most once.
//!
//! API boundary: `gateway` enters requests, begins a round when a runner may have room, and wakes the
//! requests that [`ServiceQueue::call`] returns.

use std::cmp::Reverse;
use std::time::Duration;

use decision::time::Time;
use derive_more::Display;

/// The most requests that wait for one service.
pub const MAX_WAITING: usize = 256;
/// One turn in so many goes to the request that has waited longest.
pub const FAIR_TURN: u64 = 8;
/// The largest part of the time to a request's deadline that is kept for its work.
const MAX_WORK_SHARE: f64 = 0.5;
/// The part of the time to a request's deadline for which it may wait in an overload, as a divisor. The caller of a refused
/// request still has time to come back.
const WAIT_DIVISOR: u32 = 3;
/// The first part of the time to a request's objective, in which it does not count as late, as a divisor.
const ON_TIME_DIVISOR: u32 = 2;

/// The identifier of a waiting request, unique in its entry.
pub type WaiterId = u64;

/// A request that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Waiter {
    /// Its identifier.
    pub id: WaiterId,
    /// Its priority; 0 is the most urgent.
    pub priority: u8,
    /// When it began to wait.
    pub since: Time,
    /// When its answer is to begin.
    pub goal_at: Time,
    /// The deadline of its answer.
    pub deadline: Time,
}

/// What the runners of a service do for one entry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Capacity {
    /// The requests that the entry may have at all of them together.
    pub limit: f64,
    /// The average time of a request there.
    pub service_time: Duration,
}

impl Capacity {
    /// Returns the time in which so many requests begin.
    fn time_for(&self, count: usize) -> Duration {
        self.service_time
            .mul_f64(count as f64 / self.limit.max(1.0))
    }
}

/// Why a request may not wait, or not any longer.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum RefusalCause {
    /// Its turn is not expected in time for its deadline.
    #[display("no time to wait")]
    NoTime,
    /// The queue is full, and the others go before it.
    #[display("queue full")]
    Full,
    /// Its turn did not come in the time for which it may wait.
    #[display("expired while waiting")]
    Expired,
}

/// A request that is refused, and in what time the queue empties.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display("{cause}")]
pub struct Refusal {
    /// Why.
    pub cause: RefusalCause,
    /// The time in which the queue empties.
    pub drain_time: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    waiter: Waiter,
    /// The last round in which it was called.
    round: u64,
}

/// The queue of one service.
#[derive(Debug, Default)]
pub struct ServiceQueue {
    waiting: Vec<Waiting>,
    round: u64,
    /// The number of requests that have left for a runner.
    turns: u64,
    /// Whether the runners are overloaded, as of [`ServiceQueue::set_pressed`].
    pressed: bool,
}

impl Waiter {
    /// Returns the latest time at which the request may be sent, so that there is time for its work, as of
    /// the time at which it begins to wait.
    pub fn send_by(&self, now: Time, service_time: Duration) -> Time {
        let left = self.deadline.since(now);
        let work = service_time.min(left.mul_f64(MAX_WORK_SHARE));
        now.after(left - work)
    }

    /// Returns until when the request may wait while the runners are overloaded and held back for others, as of
    /// the time at which it begins to wait.
    pub fn wait_until(&self, now: Time, service_time: Duration) -> Time {
        let max_wait = self.deadline.since(now) / WAIT_DIVISOR;
        self.send_by(now, service_time).min(now.after(max_wait))
    }

    /// Returns whether the request can hardly meet its objective any more.
    fn is_late(&self, now: Time, service_time: Duration) -> bool {
        let max_work = self.goal_at.since(self.since) / ON_TIME_DIVISOR;
        now.after(service_time.min(max_work)) > self.goal_at
    }

    /// Returns the order in which requests go, the first one lowest.
    fn order(&self, now: Time, service_time: Duration) -> (bool, u8, Time, Time, WaiterId) {
        let is_late = self.is_late(now, service_time);
        (is_late, self.priority, self.goal_at, self.since, self.id)
    }

    /// Returns the order in which requests go while the runners are overloaded.
    fn newest_first(
        &self,
        now: Time,
        service_time: Duration,
    ) -> (bool, u8, Reverse<Time>, WaiterId) {
        let is_late = self.is_late(now, service_time);
        (is_late, self.priority, Reverse(self.goal_at), self.id)
    }
}

impl ServiceQueue {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Adds a request; returns another one that must leave for it, if the queue was full.
    ///
    /// # Errors
    ///
    /// Fails if the request would wait too long, or would be served last and the queue is full.
    pub fn enter(
        &mut self,
        now: Time,
        waiter: Waiter,
        capacity: Capacity,
    ) -> Result<Option<WaiterId>, Refusal> {
        let service_time = capacity.service_time;
        let order = waiter.order(now, service_time);
        let others = self.waiting.iter();
        let ahead = others.filter(|other| other.waiter.order(now, service_time) < order);
        let begins_at = now.after(capacity.time_for(ahead.count() + 1));
        if begins_at > waiter.send_by(now, service_time) {
            return Err(self.refusal(RefusalCause::NoTime, capacity));
        }
        let mut displaced = None;
        if self.waiting.len() >= MAX_WAITING {
            let last = self.last(now, service_time);
            let last = last.filter(|last| last.order(now, service_time) > order);
            let last = last.ok_or_else(|| self.refusal(RefusalCause::Full, capacity))?;
            self.leave(last.id);
            displaced = Some(last.id);
        }
        self.waiting.push(Waiting {
            waiter,
            round: self.round,
        });
        Ok(displaced)
    }

    /// Returns whether none of the waiting requests can meet its objective any more.
    pub fn is_late_only(&self, now: Time, service_time: Duration) -> bool {
        let mut waiting = self.waiting.iter();
        waiting.all(|waiting| waiting.waiter.is_late(now, service_time))
    }

    /// Records whether the runners are overloaded.
    pub fn set_pressed(&mut self, pressed: bool) {
        self.pressed = pressed;
    }

    /// Begins a round, in which each waiting request may be called once.
    pub fn begin_round(&mut self) {
        self.round += 1;
    }

    /// Returns the next request that should choose a runner in this round. It stays in the queue
    /// until it is removed.
    pub fn call(&mut self, now: Time, service_time: Duration) -> Option<WaiterId> {
        let is_fair_turn = self.turns % FAIR_TURN == FAIR_TURN - 1;
        let round = self.round;
        let uncalled = self.waiting.iter_mut();
        let uncalled = uncalled.filter(|waiting| waiting.round < round);
        let next = if is_fair_turn {
            uncalled.min_by_key(|waiting| (waiting.waiter.since, waiting.waiter.id))
        } else if self.pressed {
            uncalled.min_by_key(|waiting| waiting.waiter.newest_first(now, service_time))
        } else {
            uncalled.min_by_key(|waiting| waiting.waiter.order(now, service_time))
        };
        let next = next?;
        next.round = round;
        Some(next.waiter.id)
    }

    /// Removes a request that has a place at a runner.
    pub fn take_turn(&mut self, id: WaiterId) {
        self.turns += u64::from(self.leave(id));
    }

    /// Removes a request that waits no longer; returns whether it waited.
    pub fn leave(&mut self, id: WaiterId) -> bool {
        let index = self
            .waiting
            .iter()
            .position(|waiting| waiting.waiter.id == id);
        if let Some(index) = index {
            self.waiting.swap_remove(index);
        }
        index.is_some()
    }

    /// Returns the request that would go last.
    fn last(&self, now: Time, service_time: Duration) -> Option<Waiter> {
        let waiters = self.waiting.iter().map(|waiting| waiting.waiter);
        waiters.max_by_key(|waiter| waiter.order(now, service_time))
    }

    /// Returns the refusal of a request for a cause.
    pub fn refusal(&self, cause: RefusalCause, capacity: Capacity) -> Refusal {
        Refusal {
            cause,
            drain_time: capacity.time_for(self.waiting.len() + 1),
        }
    }
}
