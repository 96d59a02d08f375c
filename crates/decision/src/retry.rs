//! Retries inside the entry: a retry budget in proportion to traffic, and exponential backoff with
//! full jitter.

use std::time::Duration;

use crate::time::Time;

/// The upper bound of the delay before the first retry; it doubles with every failed attempt.
const BASE_DELAY: Duration = Duration::from_millis(10);
/// The upper bound of the delay before any retry.
const MAX_DELAY: Duration = Duration::from_secs(1);
/// The largest balance, in retries; it lets an entry with little traffic retry a burst of failures.
const MAX_TOKENS: f64 = 20.0;

/// The retry budget of one entry, a token bucket that is filled by requests instead of time.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// Retries allowed per request.
    share: f64,
    tokens: f64,
    denied: u64,
}

impl RetryBudget {
    /// Creates a full budget; `share` is the allowed number of retries per request.
    pub fn new(share: f64) -> Self {
        RetryBudget {
            share,
            tokens: MAX_TOKENS,
            denied: 0,
        }
    }

    /// Sets the allowed number of retries per request.
    pub fn set_share(&mut self, share: f64) {
        self.share = share;
    }

    /// Adds the share of one request; called for its first attempt.
    pub fn record_request(&mut self) {
        self.tokens = (self.tokens + self.share).min(MAX_TOKENS);
    }

    /// Takes one retry from the budget and returns whether one was left.
    pub fn try_take(&mut self) -> bool {
        if self.tokens < 1.0 {
            self.denied += 1;
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Returns the balance, in retries.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Returns the number of retries denied since the start.
    pub fn denied(&self) -> u64 {
        self.denied
    }
}

/// Returns the start of the next attempt after `failed` failed attempts, or `None` if it would be at
/// or after the deadline.
pub fn next_attempt_time(
    now: Time,
    deadline: Time,
    failed: u32,
    rng: &mut fastrand::Rng,
) -> Option<Time> {
    let bound = BASE_DELAY
        .saturating_mul(1 << failed.clamp(1, 16).saturating_sub(1))
        .min(MAX_DELAY);
    let start = now.after(bound.mul_f64(rng.f64()));
    (start < deadline).then_some(start)
}
