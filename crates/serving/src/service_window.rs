//! How many requests one entry may have at all runners of a plain service together, by how long the runners
//! take to answer.
//!
//! The limits at single runners are at least one request each, which is too much where many entries share a
//! few runners: requests in the queues of the runners can no longer be ordered by urgency. This limit keeps those
//! queues short enough for the latency objective, so that requests wait in the entry, where the urgent ones
//! go first. Shorter queues would leave runners idle between the bursts of single entries.
//!
//! Invariants: the limit is at least 1; it falls at most once for all requests that were counted before it
//! fell; it rises only with requests during which it was reached; there is none until answers take long on
//! average. A request beyond the limit is sent only if nothing was sent or answered for `STALL_FACTOR` times the
//! average time to an answer.

use std::time::Duration;

use decision::time::Time;

/// The factor by which the limit falls.
const DECREASE: f64 = 0.8;
/// The weight of the newest value in the moving average of the time to an answer; small, since a single long request
/// does not show a queue.
const TIME_WEIGHT: f64 = 0.125;
/// The share of the objective beyond which answers take long. The rest is for the wait in the entry.
const LONG_SHARE: f64 = 0.7;
/// Answers do not take long up to this multiple of the time that they take without a queue.
const LONG_FACTOR: f64 = 2.0;
/// The weight of a longer average in the time without a queue, which rises slowly if the requests themselves become
/// longer.
const BASE_WEIGHT: f64 = 0.000_5;
/// If nothing was sent or answered for this multiple of the average time, the requests in progress count as hung.
/// Another one may then be sent beyond the limit, since other runners may answer.
const STALL_FACTOR: u32 = 4;

/// The limit of one entry for one service, and its use.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceWindow {
    /// `None` while answers have not taken long.
    limit: Option<f64>,
    inflight: u32,
    /// The moving average of the time to an answer; `None` before the first one.
    answer_time: Option<Duration>,
    /// The least average, which stands for the time without a queue; `None` before the first answer.
    base_time: Option<Duration>,
    /// When the limit was last reached; `None` if it never was.
    full_at: Option<Time>,
    /// When the limit last fell; `None` if it never has.
    decreased_at: Option<Time>,
    /// When a request was last sent or answered.
    moved_at: Time,
    /// Until when the runners count as overloaded.
    pressed_until: Time,
}

impl ServiceWindow {
    /// Returns whether a further request may be sent.
    pub fn has_room(&self, now: Time) -> bool {
        let next = f64::from(self.inflight) + 1.0;
        self.limit.is_none_or(|limit| next <= limit) || self.is_stalled(now)
    }

    fn is_stalled(&self, now: Time) -> bool {
        let time = self.answer_time.unwrap_or_default();
        now.since(self.moved_at) > time * STALL_FACTOR
    }

    /// Counts a request that is sent.
    pub fn take(&mut self, now: Time) {
        self.inflight += 1;
        self.moved_at = now;
        if !self.has_room(now) {
            self.full_at = Some(now);
        }
    }

    /// Ends the count of a request.
    pub fn give_back(&mut self) {
        self.inflight = self.inflight.saturating_sub(1);
    }

    /// Returns the limit; `None` if there is none.
    pub fn limit(&self) -> Option<f64> {
        self.limit
    }

    /// Records the answer to a request that was counted at `taken_at`; `goal` is the shortest latency objective of
    /// the service's routes.
    pub fn record_answer(&mut self, now: Time, taken_at: Time, goal: Duration) {
        self.moved_at = now;
        let took = self.average(now.since(taken_at));
        let long = goal
            .mul_f64(LONG_SHARE)
            .max(self.base(took).mul_f64(LONG_FACTOR));
        if took > long {
            // The queues are assumed to need as long as the excess to become short enough.
            self.pressed_until = now.after(took - long);
            self.decrease(now, taken_at);
        } else {
            self.increase(taken_at);
        }
    }

    /// Returns whether the runners are overloaded: answers took long on average. Late requests are then held back in
    /// favour of requests of other entries that can still meet their objective.
    pub fn is_pressed(&self, now: Time) -> bool {
        now < self.pressed_until
    }

    /// Returns the average time to an answer, the newest one included.
    fn average(&mut self, time: Duration) -> Duration {
        let average = self.answer_time.map_or(time, |known| {
            known.mul_f64(1.0 - TIME_WEIGHT) + time.mul_f64(TIME_WEIGHT)
        });
        self.answer_time = Some(average);
        average
    }

    /// Returns the time that an answer takes without a queue, if the average is now `average`.
    fn base(&mut self, average: Duration) -> Duration {
        let base = self.base_time.map_or(average, |known| {
            let followed = known.mul_f64(1.0 - BASE_WEIGHT) + average.mul_f64(BASE_WEIGHT);
            followed.min(average)
        });
        self.base_time = Some(base);
        base
    }

    fn decrease(&mut self, now: Time, taken_at: Time) {
        if self.decreased_at.is_some_and(|at| taken_at < at) {
            return;
        }
        self.decreased_at = Some(now);
        // An unused part of the limit has not made the answers slow.
        let inflight = f64::from(self.inflight.max(1));
        let used = self.limit.map_or(inflight, |limit| limit.min(inflight));
        self.limit = Some((used * DECREASE).max(1.0));
    }

    fn increase(&mut self, taken_at: Time) {
        if self.full_at.is_none_or(|full_at| taken_at > full_at) {
            return;
        }
        self.limit = self.limit.map(|limit| limit + 1.0 / limit);
    }
}
