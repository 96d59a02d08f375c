//! How long a read of the platform's store may be held, so that a table is up to date in time although
//! an answer of the store is lost.
//!
//! A lost answer shows only as a call that ends without one, and nothing else tells of it: other calls
//! go over other connections. The time until the table is known again is a sum, [`ReadTimes::total`].
//!
//! Invariants: the sum is at most the bound, unless the bound leaves less than [`MIN_HOLD`].
//!
//! API boundary: an entry takes the time limit of each of its reads from here.

use std::time::Duration;

/// The shortest hold. Shorter ones would load the store with reads.
pub const MIN_HOLD: Duration = Duration::from_millis(100);

/// The parts of the longest time from a change, whose answer is lost, to its effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadTimes {
    /// Between two reads, when a connection that goes silent is not noticed.
    pub pause: Duration,
    /// How long the store may hold a read of changes.
    pub hold: Duration,
    /// How much longer an answer may take until it counts as lost.
    pub response: Duration,
    /// Until the next read begins, on another connection.
    pub retry: Duration,
    /// For connecting, reading all rows and applying them.
    pub read: Duration,
}

impl ReadTimes {
    /// Returns these times with the longest hold that keeps their sum within `bound`, and at least
    /// [`MIN_HOLD`].
    pub fn within(self, bound: Duration) -> ReadTimes {
        let others = self.pause + self.response + self.retry + self.read;
        let hold = bound.saturating_sub(others).max(MIN_HOLD);
        ReadTimes { hold, ..self }
    }

    /// Returns the longest time from a change, whose answer is lost, to its effect.
    pub fn total(&self) -> Duration {
        self.pause + self.hold + self.response + self.retry + self.read
    }
}
