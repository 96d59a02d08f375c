//! When an entry refuses new requests because it cannot keep up itself.
//!
//! Invariants: the least urgent requests are refused first; one long pause, as after a freeze, is no
//! overload.

use std::time::Duration;

/// The memory that one request in progress may take with its buffers, in KB.
const REQUEST_KB: u32 = 64;
/// One in this many parts of the memory is for requests in progress.
const MEMORY_PART: u32 = 2;
/// The scheduling delay from which an entry refuses requests.
const MAX_DELAY: Duration = Duration::from_millis(200);
/// The same for requests that are not urgent.
const MAX_LOW_DELAY: Duration = Duration::from_millis(100);
/// The first rank that is not urgent.
const LOW_PRIORITY: u8 = 5;
/// Delays in a row that make an overload.
const MIN_DELAYS: usize = 3;

/// What an entry knows of its own load.
#[derive(Debug)]
pub struct OverloadDetector {
    max_inflight: u32,
    /// The last scheduling delays.
    delays: [Duration; MIN_DELAYS],
    next: usize,
}

impl OverloadDetector {
    /// Creates the state of an entry with this memory, in MB.
    pub fn new(memory_mb: u32) -> OverloadDetector {
        OverloadDetector {
            max_inflight: memory_mb.saturating_mul(1_024) / MEMORY_PART / REQUEST_KB,
            delays: [Duration::ZERO; MIN_DELAYS],
            next: 0,
        }
    }

    /// Notes by how much a timer was late.
    pub fn record_delay(&mut self, delay: Duration) {
        self.delays[self.next] = delay;
        self.next = (self.next + 1) % MIN_DELAYS;
    }

    /// Returns whether a request may begin beside `inflight` others.
    pub fn admits(&self, inflight: u32, priority: u8) -> bool {
        let limit = if priority >= LOW_PRIORITY {
            MAX_LOW_DELAY
        } else {
            MAX_DELAY
        };
        let keeps_up = self.delays.iter().any(|delay| *delay < limit);
        inflight < self.max_inflight && keeps_up
    }
}
