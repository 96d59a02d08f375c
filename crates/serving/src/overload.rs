//! Load shedding of an entry process.
//!
//! Invariants: the least urgent requests are refused first; a single long pause, such as the
//! process being suspended, does not count as overload; requests in progress hold no more than
//! their share of the memory, whatever the size of their heads.

use std::time::Duration;

/// Memory budget of one request in progress with its buffers and a head of ordinary size, in bytes.
const REQUEST_BYTES: usize = 64 << 10;
/// The part of it for other things than the head.
const BUFFER_BYTES: usize = 32 << 10;
/// The memory that a head takes up, as a multiple of its length: the buffer that it was read into,
/// its parsed fields, and the same for what is sent to a runner.
pub const HEAD_COPIES: usize = 8;
/// Requests in progress may use 1/`MEMORY_DIVISOR` of the process memory.
const MEMORY_DIVISOR: usize = 2;
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
    /// The most bytes that requests in progress may hold.
    max_bytes: usize,
    /// Ring buffer of the last scheduling delays.
    delays: [Duration; MIN_DELAYS],
    next: usize,
}

impl OverloadDetector {
    /// Creates the detector for a process with `memory_mb` MB of memory.
    pub fn new(memory_mb: u32) -> OverloadDetector {
        OverloadDetector {
            max_bytes: ((memory_mb as usize) << 20) / MEMORY_DIVISOR,
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
    /// progress, whose heads hold `head_excess` bytes more than those of ordinary size.
    pub fn admits(&self, inflight: usize, head_excess: usize, priority: u8) -> bool {
        let max_delay = if priority >= LOW_PRIORITY {
            MAX_LOW_PRIORITY_DELAY
        } else {
            MAX_DELAY
        };
        let keeps_up = self.delays.iter().any(|delay| *delay < max_delay);
        let held = inflight
            .saturating_mul(REQUEST_BYTES)
            .saturating_add(head_excess);
        held < self.max_bytes && keeps_up
    }
}

/// Returns the bytes by which a request with a head of this length exceeds the budget of one with a head
/// of ordinary size.
pub fn head_excess(head_bytes: usize) -> usize {
    (BUFFER_BYTES + HEAD_COPIES * head_bytes).saturating_sub(REQUEST_BYTES)
}
