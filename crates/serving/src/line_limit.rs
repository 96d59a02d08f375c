//! How many log lines of one cause are written.
//!
//! Invariants: at most the maximum of lines is written in [`PERIOD`]; each line that is left out is counted in the
//! next one.

use std::time::Duration;

use decision::time::Time;

/// The most lines of one cause in one period, where there is no other maximum.
pub const MAX_LINES: u32 = 50;
/// The length of a period.
pub const PERIOD: Duration = Duration::from_secs(1);

/// The lines of one cause.
#[derive(Clone, Copy, Debug)]
pub struct LineLimit {
    /// The most lines in one period.
    max: u32,
    begun_at: Time,
    written: u32,
    omitted: u64,
}

impl Default for LineLimit {
    fn default() -> Self {
        LineLimit::new(MAX_LINES)
    }
}

impl LineLimit {
    /// Creates a limit of so many lines in one period.
    pub fn new(max: u32) -> Self {
        LineLimit {
            max,
            begun_at: Time::default(),
            written: 0,
            omitted: 0,
        }
    }

    /// Returns how many lines were left out since the last one; `None` if this one is left out too.
    pub fn admit(&mut self, now: Time) -> Option<u64> {
        if now >= self.begun_at.after(PERIOD) {
            self.begun_at = now;
            self.written = 0;
        }
        if self.written >= self.max {
            self.omitted += 1;
            return None;
        }
        self.written += 1;
        Some(std::mem::take(&mut self.omitted))
    }
}
