//! The type of the current time, which the functions of this crate take as an argument.

use std::time::Duration;

/// A reading of the monotonic clock of one process, in microseconds since the process started.
///
/// Times of different processes cannot be compared, so messages carry remaining durations instead.
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

    /// Returns the time `delay` later than `self`, or the last one that can be held.
    pub const fn after(self, delay: Duration) -> Time {
        let micros = delay.as_micros();
        if micros > u64::MAX as u128 {
            return Time(u64::MAX);
        }
        Time(self.0.saturating_add(micros as u64))
    }
}
