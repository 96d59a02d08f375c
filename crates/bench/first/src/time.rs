//! The time type that every decision takes as an argument.

use std::time::Duration;

/// A point on a process's monotonic clock, in microseconds since that process started.
///
/// Times of different processes cannot be compared; messages carry remaining durations instead.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(pub u64);

impl Time {
    /// Returns the time `ms` milliseconds after the start of the process.
    pub const fn from_ms(ms: u64) -> Self {
        Time(ms * 1_000)
    }

    /// Returns the whole milliseconds since the start of the process.
    pub const fn as_ms(self) -> u64 {
        self.0 / 1_000
    }

    /// Returns the time since `earlier`, or zero if `earlier` is later than `self`.
    pub const fn since(self, earlier: Time) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the time `step` later than `self`.
    pub const fn after(self, step: Duration) -> Time {
        Time(self.0.saturating_add(step.as_micros() as u64))
    }
}
