//! Exponentially decayed request counts per adapter.

use std::time::Duration;

use decision::collections::Map;
use decision::time::Time;

use crate::Name;

/// Time after which a request counts for 1/e of a new one.
const DECAY_TIME: Duration = Duration::from_secs(8);
/// Decayed count below which an adapter may be removed.
const MIN_COUNT: f64 = 0.02;
/// Number of tracked adapters at which those with a count below [`MIN_COUNT`] are removed before a
/// new one is added.
const PRUNE_THRESHOLD: usize = 1_024;

#[derive(Clone, Copy, Debug)]
struct DecayedCount {
    value: f64,
    updated_at: Time,
}

impl DecayedCount {
    fn value(&self, now: Time) -> f64 {
        let age = now.since(self.updated_at).as_secs_f64();
        self.value * (-age / DECAY_TIME.as_secs_f64()).exp()
    }
}

/// Exponentially decayed counts of requests, per adapter and over all adapters.
#[derive(Debug, Default)]
pub struct Demand {
    adapters: Map<Name, DecayedCount>,
    total: Option<DecayedCount>,
}

impl Demand {
    /// Adds `hits` requests for an adapter.
    pub fn record(&mut self, now: Time, adapter: &Name, hits: u32) {
        let hits = f64::from(hits);
        let total = self.total.map_or(0.0, |count| count.value(now));
        self.total = Some(DecayedCount {
            value: total + hits,
            updated_at: now,
        });
        if self.adapters.len() >= PRUNE_THRESHOLD && !self.adapters.contains_key(adapter) {
            self.adapters
                .retain(|_, count| count.value(now) >= MIN_COUNT);
        }
        let weight = self.weight(now, adapter);
        let next = DecayedCount {
            value: weight + hits,
            updated_at: now,
        };
        self.adapters.insert(adapter.clone(), next);
    }

    /// Returns the decayed request count of an adapter; 0 if it is not tracked.
    pub fn weight(&self, now: Time, adapter: &str) -> f64 {
        self.adapters
            .get(adapter)
            .map_or(0.0, |count| count.value(now))
    }

    /// Returns the adapter's share of all recent requests, from 0 to 1; 0 while the total count is
    /// below 1.
    pub fn share(&self, now: Time, adapter: &str) -> f64 {
        let total = self.total.map_or(0.0, |count| count.value(now));
        if total < 1.0 {
            return 0.0;
        }
        self.weight(now, adapter) / total
    }
}
