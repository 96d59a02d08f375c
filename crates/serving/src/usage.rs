//! When an entry tells an agent how it uses the runner's adapters.
//!
//! Invariants: a change is told with the next report; an unchanged use is only repeated as a
//! heartbeat, so that the traffic of a connection follows from the requests that use it and not from
//! the number of connections.

use std::time::Duration;

use decision::time::Time;

use crate::link::Usage;

/// How often an unchanged use is repeated; the agent keeps adapters in their slots for it.
pub const BUSY_HEARTBEAT: Duration = Duration::from_millis(500);
/// How often an entry that uses nothing says so.
pub const IDLE_HEARTBEAT: Duration = Duration::from_secs(4);

/// The reports on one connection.
#[derive(Debug, Default)]
pub struct UsageReporter {
    last: Vec<Usage>,
    sent: Option<Time>,
}

impl UsageReporter {
    /// Returns what to tell of the present use, if it is time for it.
    pub fn due(&mut self, now: Time, usages: Vec<Usage>) -> Option<Vec<Usage>> {
        let is_new = usages.iter().any(|usage| usage.hits > 0) || usages != self.last;
        let heartbeat = if usages.is_empty() {
            IDLE_HEARTBEAT
        } else {
            BUSY_HEARTBEAT
        };
        let is_late = self.sent.is_none_or(|sent| now >= sent.after(heartbeat));
        if !is_new && !is_late {
            return None;
        }
        self.sent = Some(now);
        self.last = usages.iter().map(Usage::without_hits).collect();
        Some(usages)
    }
}
