//! A token bucket.
//!
//! Invariants: a new bucket is empty, so that the restart of an agent grants no second burst; a level never exceeds the
//! burst of the limit, or the part of it that fills the bucket; a limit of an older configuration changes nothing.

use std::time::Duration;

use decision::time::Time;

use super::Grant;
use super::TokenRequest;
use crate::tenants::Quota;

/// The longest wait that an answer names.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// The token bucket of one tenant.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    version: u64,
    quota: Quota,
    /// The tokens left; below 0 if more was spent on credit.
    level: f64,
    filled_at: Time,
}

impl Bucket {
    /// Creates an empty bucket that fills from now on.
    pub fn new(now: Time, version: u64, quota: Quota) -> Self {
        Bucket {
            version,
            quota: usable(quota),
            level: 0.0,
            filled_at: now,
        }
    }

    /// Subtracts what was spent on credit, and grants tokens. `part` is the part of the limit that fills the bucket,
    /// from 0 to 1.
    ///
    /// A request whose least amount exceeds that part of the burst is granted by a full bucket, which is then below 0.
    pub fn ask(&mut self, now: Time, part: f64, request: &TokenRequest) -> Grant {
        self.fill(now, part);
        self.set_limit(request.version, usable(request.quota), part);
        self.level -= request.spent as f64;
        let (want, least) = (request.want, request.least.min(request.want));
        let needed = (least as f64).min(self.quota.burst * part);
        if part <= 0.0 || self.level < needed || self.level < 0.0 {
            return Grant {
                wait: self.time_for((least as f64 - self.level).max(1.0)),
                ..Grant::default()
            };
        }
        let available = self.level as u64;
        let granted = want.min(available.max(least));
        self.level -= granted as f64;
        Grant {
            granted,
            wait: self.time_for((want - granted) as f64),
            ..Grant::default()
        }
    }

    /// Returns the tokens left, as of the last request.
    pub fn level(&self) -> f64 {
        self.level
    }

    pub(super) fn burst(&self) -> f64 {
        self.quota.burst
    }

    /// Fills the bucket up to now by a part of the limit.
    pub(super) fn fill(&mut self, now: Time, part: f64) {
        let gained = self.quota.rate * part * now.since(self.filled_at).as_secs_f64();
        self.level += gained;
        self.filled_at = self.filled_at.max(now);
        self.cap(part);
    }

    /// Drops what exceeds a part of the burst.
    pub(super) fn cap(&mut self, part: f64) {
        self.level = self.level.min(self.quota.burst * part);
    }

    /// A raised burst may be used at once; a lowered one cuts the level and forgives no debt.
    fn set_limit(&mut self, version: u64, quota: Quota, part: f64) {
        if version < self.version {
            return;
        }
        self.version = version;
        self.level += (quota.burst - self.quota.burst).max(0.0) * part;
        self.quota = quota;
        self.cap(part);
    }

    fn time_for(&self, missing: f64) -> Duration {
        if missing <= 0.0 {
            return Duration::ZERO;
        }
        let wait = Duration::try_from_secs_f64(missing / self.quota.rate);
        wait.unwrap_or(MAX_WAIT)
            .clamp(Duration::from_millis(1), MAX_WAIT)
    }
}

/// Replaces numbers that are negative or not finite by 0, since a peer may send any.
fn usable(quota: Quota) -> Quota {
    let amount = |value: f64| {
        if value.is_finite() {
            value.max(0.0)
        } else {
            0.0
        }
    };
    Quota {
        rate: amount(quota.rate),
        burst: amount(quota.burst),
    }
}
