//! Schedules an entry's reports to an agent about its use of the runner's adapters.
//!
//! Invariants: a change is sent with the next report; unchanged usage is repeated only as a
//! heartbeat, so that the traffic of a connection depends on the requests that use it and not on
//! the number of connections.

use std::time::Duration;

use decision::time::Time;

use crate::link::Usage;

/// Interval at which unchanged usage is repeated. The agent keeps the reported adapters loaded.
pub const BUSY_HEARTBEAT: Duration = Duration::from_millis(500);
/// Interval at which an entry that uses no adapter reports so.
pub const IDLE_HEARTBEAT: Duration = Duration::from_secs(4);

/// Decides which usage reports are sent on one connection.
#[derive(Debug, Default)]
pub struct UsageReporter {
    last_usages: Vec<Usage>,
    last_sent: Option<Time>,
}

impl UsageReporter {
    /// Returns the report to send for the current usage; `None` if none is due.
    pub fn due(&mut self, now: Time, usages: Vec<Usage>) -> Option<Vec<Usage>> {
        let changed = usages.iter().any(|usage| usage.hits > 0) || usages != self.last_usages;
        let heartbeat = if usages.is_empty() {
            IDLE_HEARTBEAT
        } else {
            BUSY_HEARTBEAT
        };
        let heartbeat_due = self
            .last_sent
            .is_none_or(|sent| now >= sent.after(heartbeat));
        if !changed && !heartbeat_due {
            return None;
        }
        self.last_sent = Some(now);
        self.last_usages = usages.iter().map(Usage::without_hits).collect();
        Some(usages)
    }
}
