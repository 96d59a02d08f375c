//! The cache of prompt prefixes and the log of its changes.

use std::collections::VecDeque;
use std::hash::Hasher;
use std::time::Duration;

use edges::engine::CacheEvents;
use rustc_hash::FxHasher;
use tokio::time::Instant;

/// The maximum length of a prompt's prefix, in bytes.
const PREFIX_BYTES: usize = 256;

/// The maximum number of events kept; the oldest are dropped first.
const MAX_EVENTS: usize = 4096;

/// Returns the key in the cache for the prefix of a prompt to an adapter or base model.
pub fn prefix_hash(model: &str, prompt: &str) -> u64 {
    let mut hasher = FxHasher::default();
    hasher.write(model.as_bytes());
    hasher.write_u8(0xff);
    hasher.write(&prompt.as_bytes()[..prompt.len().min(PREFIX_BYTES)]);
    hasher.finish()
}

/// An LRU cache of prefixes, ordered from least to most recently used, with a log of its changes.
#[derive(Default)]
pub(super) struct Cache {
    prefixes: VecDeque<u64>,
    /// The number of the oldest event kept.
    first_event: u64,
    /// The time of each change, the prefix hash, and whether it was stored (else evicted).
    events: VecDeque<(Instant, u64, bool)>,
}

impl Cache {
    /// Marks a prefix as most recently used and stores it if absent. Returns whether it was cached.
    pub(super) fn touch(&mut self, prefix: u64, capacity: usize, now: Instant) -> bool {
        let index = self.prefixes.iter().position(|p| *p == prefix);
        if let Some(index) = index {
            self.prefixes.remove(index);
            self.prefixes.push_back(prefix);
            return true;
        }
        if self.prefixes.len() >= capacity
            && let Some(evicted) = self.prefixes.pop_front()
        {
            self.push(evicted, false, now);
        }
        self.prefixes.push_back(prefix);
        self.push(prefix, true, now);
        false
    }

    /// Removes all prefixes and their events, as a restart does. Readers see a gap.
    pub(super) fn clear(&mut self) {
        self.prefixes.clear();
        self.drop_events(self.events.len());
    }

    pub(super) fn drop_events(&mut self, count: usize) {
        let count = count.min(self.events.len());
        self.events.drain(..count);
        self.first_event += count as u64;
    }

    /// Returns the events numbered `since` and later that are at least `lag` old.
    pub(super) fn events(&self, since: u64, lag: Duration, now: Instant) -> CacheEvents {
        let visible = self.events.partition_point(|(at, ..)| *at + lag <= now);
        let skipped = (since.saturating_sub(self.first_event) as usize).min(visible);
        let events = self
            .events
            .range(skipped..visible)
            .map(|(_, hash, stored)| (*hash, *stored));
        CacheEvents {
            next: self.first_event + visible as u64,
            gap: since < self.first_event,
            events: events.collect(),
        }
    }

    fn push(&mut self, prefix: u64, stored: bool, now: Instant) {
        if self.events.len() == MAX_EVENTS {
            self.drop_events(1);
        }
        self.events.push_back((now, prefix, stored));
    }
}
