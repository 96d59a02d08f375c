//! How a limit is divided among entries.

use std::time::Duration;

use super::BUSY_TERM;
use crate::tenants::Quota;

/// The part of the credit of all entries that may be spent. The rest allows for what requests exceed a
/// bucket by and for the grants of an agent that has ended.
const CREDIT_SHARE: f64 = 0.5;
/// The time in which a bucket must be able to repay the credit of all entries, so that it does not stay below 0 for
/// long. It counts where a limit is small, such as that of a tenant whose unit is the request.
const MAX_CREDIT_PERIOD: Duration = Duration::from_secs(2);
/// The time in which a bucket must be able to repay what one request may exceed its burst by, so that a request
/// that states far more tokens than its limit is not run, and does not keep its tenant refused for days.
const MAX_OVERDRAFT_PERIOD: Duration = Duration::from_secs(1);

/// What entries need to know to divide a limit among them.
#[derive(Clone, Copy, Debug)]
pub struct Shares {
    /// The number of entries; 0 counts as 1.
    pub entries: u32,
    /// What a tenant may use beyond its limit in a window, over all entries.
    pub slack: f64,
    /// What it may use beyond that, in seconds of its rate.
    pub excess_s: f64,
}

impl Shares {
    pub(super) fn count(self) -> f64 {
        f64::from(self.entries.max(1))
    }

    /// Returns what an entry may spend of a tenant with this limit without a grant.
    pub fn credit(self, quota: Quota) -> f64 {
        let all = self.slack * CREDIT_SHARE;
        all.min(quota.rate * MAX_CREDIT_PERIOD.as_secs_f64()) / self.count()
    }

    /// Returns the same for an entry that may ask nobody for a short term, while its part of the limit is granted to
    /// others.
    pub(super) fn blocked_credit(self, quota: Quota) -> f64 {
        let period = (self.excess_s * CREDIT_SHARE).min(BUSY_TERM.as_secs_f64());
        self.credit(quota) + quota.rate * period / self.count()
    }

    /// Returns the highest cost of a request that is ever charged to this limit. It is at least 1, the cost of a
    /// request of a tenant whose unit is the request.
    pub(super) fn max_cost(self, quota: Quota) -> f64 {
        let repaid = quota.rate * MAX_OVERDRAFT_PERIOD.as_secs_f64();
        let overdraft = repaid.max(self.slack * CREDIT_SHARE);
        (quota.burst + overdraft).max(1.0)
    }

    /// Returns this entry's part of a limit.
    pub(super) fn part_of(self, quota: Quota) -> Quota {
        Quota {
            rate: quota.rate / self.count(),
            burst: quota.burst / self.count(),
        }
    }
}
