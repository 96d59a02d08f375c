//! Load shedding of an entry process.
//!
//! Invariants: the least urgent requests are refused first; a single long pause, such as the
//! process being suspended, does not count as overload.

use std::time::Duration;

/// Memory budget of one request in progress with its buffers, in KB.
const REQUEST_KB: u32 = 64;
/// Requests in progress may use 1/`MEMORY_DIVISOR` of the process memory.
const MEMORY_DIVISOR: u32 = 2;
/// Scheduling delay from which all requests are refused.
const MAX_DELAY: Duration = Duration::from_millis(200);
/// Scheduling delay from which low-priority requests are refused.
const MAX_LOW_PRIORITY_DELAY: Duration = Duration::from_millis(100);
/// Lowest route priority value that counts as low priority; 0 is the most urgent.
const LOW_PRIORITY: u8 = 5;
/// Number of consecutive scheduling delays over the limit that count as overload.
const MIN_DELAYS: usize = 3;

/// Detects overload of the process from its scheduling delays and its requests in progress.
#[derive(Debug)]
pub struct OverloadDetector {
    max_inflight: u32,
    /// Ring buffer of the last scheduling delays.
    delays: [Duration; MIN_DELAYS],
    next: usize,
}

impl OverloadDetector {
    /// Creates the detector for a process with `memory_mb` MB of memory.
    pub fn new(memory_mb: u32) -> OverloadDetector {
        OverloadDetector {
            max_inflight: memory_mb.saturating_mul(1_024) / MEMORY_DIVISOR / REQUEST_KB,
            delays: [Duration::ZERO; MIN_DELAYS],
            next: 0,
        }
    }

    /// Records by how much a timer fired late.
    pub fn record_delay(&mut self, delay: Duration) {
        self.delays[self.next] = delay;
        self.next = (self.next + 1) % MIN_DELAYS;
    }

    /// Returns whether a request of this priority may start while `inflight` others are in
    /// progress.
    pub fn admits(&self, inflight: u32, priority: u8) -> bool {
        let max_delay = if priority >= LOW_PRIORITY {
            MAX_LOW_PRIORITY_DELAY
        } else {
            MAX_DELAY
        };
        let keeps_up = self.delays.iter().any(|delay| *delay < max_delay);
        inflight < self.max_inflight && keeps_up
    }
}
