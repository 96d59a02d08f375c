//! Retries inside the entry: a budget that is a share of traffic, and backoff with full jitter.

use std::time::Duration;

use crate::time::Time;

/// The upper bound of the first pause.
const BASE: Duration = Duration::from_millis(10);
/// The upper bound of any pause.
const CAP: Duration = Duration::from_secs(1);
/// Retries that may be saved up, so that a quiet entry can still retry a burst of failures.
const MAX_TOKENS: f64 = 20.0;

/// The retry budget of one entry.
#[derive(Clone, Debug)]
pub struct RetryBudget {
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

    /// Changes the share.
    pub fn set_share(&mut self, share: f64) {
        self.share = share;
    }

    /// Counts a first attempt, which earns its share of a retry.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.share).min(MAX_TOKENS);
    }

    /// Takes one retry from the budget; returns whether there was one.
    pub fn withdraw(&mut self) -> bool {
        if self.tokens < 1.0 {
            self.denied += 1;
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Returns the retries left.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Returns the number of retries that the budget did not allow.
    pub fn denied(&self) -> u64 {
        self.denied
    }
}

/// Returns when the next attempt starts after `failed` attempts, or `None` if that would be at or
/// past the deadline.
pub fn next_attempt_time(
    now: Time,
    deadline: Time,
    failed: u32,
    rng: &mut fastrand::Rng,
) -> Option<Time> {
    let bound = BASE
        .saturating_mul(1 << failed.clamp(1, 16).saturating_sub(1))
        .min(CAP);
    let start = now.after(bound.mul_f64(rng.f64()));
    (start < deadline).then_some(start)
}
