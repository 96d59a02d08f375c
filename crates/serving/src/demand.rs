//! How much of the recent traffic each adapter has.

use std::time::Duration;

use decision::collections::Map;
use decision::time::Time;

use crate::Name;

/// The time after which a request counts for 1/e of a new one.
const DECAY: Duration = Duration::from_secs(8);
/// The weight below which an adapter is forgotten.
const MIN_WEIGHT: f64 = 0.02;
/// The number of adapters from which forgotten ones are removed.
const MAX_ADAPTERS: usize = 1_024;

#[derive(Clone, Copy, Debug)]
struct Weight {
    value: f64,
    at: Time,
}

impl Weight {
    fn value(&self, now: Time) -> f64 {
        let age = now.since(self.at).as_secs_f64();
        self.value * (-age / DECAY.as_secs_f64()).exp()
    }
}

/// Decayed counts of requests per adapter.
#[derive(Debug, Default)]
pub struct Demand {
    adapters: Map<Name, Weight>,
    total: Option<Weight>,
}

impl Demand {
    /// Counts `hits` requests for an adapter.
    pub fn record(&mut self, now: Time, adapter: &Name, hits: u32) {
        let hits = f64::from(hits);
        let total = self.total.map_or(0.0, |weight| weight.value(now));
        self.total = Some(Weight {
            value: total + hits,
            at: now,
        });
        if self.adapters.len() >= MAX_ADAPTERS && !self.adapters.contains_key(adapter) {
            self.adapters
                .retain(|_, weight| weight.value(now) >= MIN_WEIGHT);
        }
        let weight = self.weight(now, adapter);
        let next = Weight {
            value: weight + hits,
            at: now,
        };
        self.adapters.insert(adapter.clone(), next);
    }

    /// Returns the decayed count of an adapter.
    pub fn weight(&self, now: Time, adapter: &str) -> f64 {
        self.adapters
            .get(adapter)
            .map_or(0.0, |weight| weight.value(now))
    }

    /// Returns the adapter's share of all recent requests, from 0 to 1.
    pub fn share(&self, now: Time, adapter: &str) -> f64 {
        let total = self.total.map_or(0.0, |weight| weight.value(now));
        if total < 1.0 {
            return 0.0;
        }
        self.weight(now, adapter) / total
    }
}
