//! The expected use of an account.

use std::time::Duration;

use decision::time::Time;

use super::GRANT_LIFETIME;

/// The period over which the use is averaged. It covers several requests of each tenant whose tokens are asked for in
/// advance.
const PERIOD: Duration = Duration::from_secs(2);
/// Tokens are asked for in advance for the use that is expected in this time.
const PREFETCH_PERIOD: Duration = Duration::from_millis(200);
/// The requests that must be expected within the life of a grant so that tokens are asked for in advance. Those of a
/// tenant with fewer requests would expire.
const MIN_PREFETCH_REQUESTS: f64 = 2.0;
/// The weight of a new request in the average cost.
const COST_ALPHA: f64 = 0.1;

/// The moving averages of the tokens spent and of the cost of a request.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct UseEstimate {
    /// The tokens spent, of which those of long ago count less.
    used: f64,
    used_at: Time,
    mean_cost: f64,
}

impl UseEstimate {
    /// Counts a request.
    pub(super) fn record(&mut self, now: Time, cost: u64) {
        let cost = cost as f64;
        self.used = self.rate(now) * PERIOD.as_secs_f64() + cost;
        self.used_at = now;
        if self.mean_cost <= 0.0 {
            self.mean_cost = cost;
        } else {
            self.mean_cost += COST_ALPHA * (cost - self.mean_cost);
        }
    }

    /// Returns the tokens spent per second.
    pub(super) fn rate(&self, now: Time) -> f64 {
        let period = PERIOD.as_secs_f64();
        let age = now.since(self.used_at).as_secs_f64();
        self.used * (-age / period).exp() / period
    }

    /// Returns the average cost of a request.
    pub(super) fn mean_cost(&self) -> u64 {
        self.mean_cost.ceil() as u64
    }

    /// Returns how many tokens an account should hold.
    pub(super) fn prefetch(&self, now: Time) -> u64 {
        let rate = self.rate(now);
        let lifetime = GRANT_LIFETIME.as_secs_f64();
        if rate * lifetime < MIN_PREFETCH_REQUESTS * self.mean_cost {
            return 0;
        }
        let expected = rate * PREFETCH_PERIOD.as_secs_f64();
        expected.max(self.mean_cost).ceil() as u64
    }
}
