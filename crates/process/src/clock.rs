//! The monotonic and the wall clock of a process.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use decision::time::Time;
use tokio::time::Instant;

/// Monotonic clock of a process; it stops while a test has paused tokio's time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Creates a clock that reads zero now.
    pub fn start() -> Self {
        Clock {
            start: Instant::now(),
        }
    }

    /// Returns the time since the clock was started, in microseconds.
    pub fn now(&self) -> Time {
        Time(self.start.elapsed().as_micros() as u64)
    }
}

/// Returns the wall-clock time in milliseconds since the Unix epoch, for records that people read. It
/// may go backwards, and is 0 if the clock is set before the epoch.
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |age| age.as_millis() as u64)
}
