//! The number of entries, as one of them knows it. What all entries share (limits of runners, the slack
//! of the retry budget) is divided by it.
//!
//! Invariants: a lower number counts only after no agent has reported the higher one for a while, since
//! an agent that has just started is not connected to all entries; while no agent has reported any,
//! there are assumed to be as many entries as runners.

use std::time::Duration;

use decision::time::Time;

/// The least number of entries that is assumed while no agent has reported it.
const MIN_ASSUMED: u32 = 8;
/// How long a higher number counts after the last report of it.
const REPORT_PERIOD: Duration = Duration::from_secs(10);

/// The number of entries, from the reports of agents.
#[derive(Clone, Copy, Debug)]
pub struct EntryCount {
    /// The highest number that was reported within the period; 0 if none was.
    reported: u32,
    reported_at: Time,
    assumed: u32,
}

impl Default for EntryCount {
    fn default() -> Self {
        EntryCount {
            reported: 0,
            reported_at: Time::default(),
            assumed: MIN_ASSUMED,
        }
    }
}

impl EntryCount {
    /// Records what an agent reports.
    pub fn record(&mut self, now: Time, count: u32) {
        let outdated = now >= self.reported_at.after(REPORT_PERIOD);
        if count > 0 && (count >= self.reported || outdated) {
            self.reported = count;
            self.reported_at = now;
        }
    }

    /// Records the number of runners, by which the number of entries is assumed.
    pub fn record_runners(&mut self, count: usize) {
        let count = u32::try_from(count).unwrap_or(u32::MAX);
        self.assumed = self.assumed.max(count);
    }

    /// Returns the number that agents have reported; `None` if none has.
    pub fn reported(&self) -> Option<u32> {
        (self.reported > 0).then_some(self.reported)
    }

    /// Returns the number that agents have reported, or the one that is assumed.
    pub fn get(&self) -> u32 {
        self.reported().unwrap_or(self.assumed)
    }
}
