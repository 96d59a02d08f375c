//! The prompt prefix cache and its event log.

use std::collections::VecDeque;
use std::hash::Hasher;
use std::time::Duration;

use edges::engine::CacheEvents;
use rustc_hash::FxHasher;
use tokio::time::Instant;

/// Bytes of a prompt that form its prefix.
const PREFIX_BYTES: usize = 256;

/// Events that the log keeps.
const EVENT_LIMIT: usize = 4096;

/// Returns the hash under which the cache holds the prefix of a prompt for one adapter or model.
pub fn prefix_hash(model: &str, prompt: &str) -> u64 {
    let mut hasher = FxHasher::default();
    hasher.write(model.as_bytes());
    hasher.write_u8(0xff);
    hasher.write(&prompt.as_bytes()[..prompt.len().min(PREFIX_BYTES)]);
    hasher.finish()
}

/// The cache: prefixes from the least to the most recently used, and the log of changes.
#[derive(Default)]
pub(super) struct Cache {
    prefixes: VecDeque<u64>,
    first: u64,
    events: VecDeque<(Instant, u64, bool)>,
}

impl Cache {
    /// Uses a prefix; returns whether it was cached.
    pub(super) fn touch(&mut self, prefix: u64, capacity: usize, now: Instant) -> bool {
        let place = self.prefixes.iter().position(|p| *p == prefix);
        if let Some(place) = place {
            self.prefixes.remove(place);
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

    /// Forgets all prefixes, without events, as a restart does.
    pub(super) fn lose(&mut self) {
        self.prefixes.clear();
        self.drop_events(self.events.len());
    }

    pub(super) fn drop_events(&mut self, count: usize) {
        let count = count.min(self.events.len());
        self.events.drain(..count);
        self.first += count as u64;
    }

    /// Returns the events from number `since` on that are at least `lag` old.
    pub(super) fn events(&self, since: u64, lag: Duration, now: Instant) -> CacheEvents {
        let visible = self.events.partition_point(|(at, ..)| *at + lag <= now);
        let skipped = (since.saturating_sub(self.first) as usize).min(visible);
        let events = self
            .events
            .range(skipped..visible)
            .map(|(_, hash, stored)| (*hash, *stored));
        CacheEvents {
            next: self.first + visible as u64,
            gap: since < self.first,
            events: events.collect(),
        }
    }

    fn push(&mut self, prefix: u64, stored: bool, now: Instant) {
        if self.events.len() == EVENT_LIMIT {
            self.drop_events(1);
        }
        self.events.push_back((now, prefix, stored));
    }
}
