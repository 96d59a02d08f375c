//! Exponentially decayed request counts per adapter.

use std::time::Duration;

use decision::collections::Map;
use decision::time::Time;
use serde::Deserialize;
use serde::Serialize;

use crate::Name;

/// Time after which a request counts for 1/e of a new one.
const DECAY_TIME: Duration = Duration::from_secs(8);
/// Decayed count below which an adapter may be removed.
const MIN_COUNT: f64 = 0.02;
/// Number of tracked adapters at which those with a count below [`MIN_COUNT`] are removed before a
/// new one is added.
const PRUNE_THRESHOLD: usize = 1_024;

/// A request rate as a power of two, so that it rarely changes: level 0 stands for less than one
/// request per second, and level n for at least 2^(n-1).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RateLevel(u8);

impl RateLevel {
    /// The highest level.
    const MAX: u8 = 20;
    /// The factor by which a rate must leave the range of its level before the level changes.
    const HYSTERESIS: f64 = 1.25;

    /// Returns the level for a rate, in requests per second, if the last level was `self`.
    #[must_use]
    pub fn follow(self, rate: f64) -> RateLevel {
        let floor = self.floor() / Self::HYSTERESIS;
        let ceiling = RateLevel(self.0 + 1).floor() * Self::HYSTERESIS;
        if (floor..ceiling).contains(&rate) {
            return self;
        }
        let level = if rate < 1.0 { 0.0 } else { rate.log2() + 1.0 };
        RateLevel(level.min(f64::from(Self::MAX)) as u8)
    }

    /// Returns the middle of the level's range, in requests per second; 0 for level 0.
    pub fn per_second(self) -> f64 {
        self.floor() * std::f64::consts::SQRT_2
    }

    /// Returns whether the rate is less than one request per second.
    pub fn is_low(&self) -> bool {
        self.0 == 0
    }

    fn floor(self) -> f64 {
        match self.0 {
            0 => 0.0,
            level => f64::from(1_u32 << (level - 1).min(Self::MAX)),
        }
    }
}

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

    /// Returns the recent rate of requests for an adapter, per second.
    pub fn rate(&self, now: Time, adapter: &str) -> f64 {
        self.weight(now, adapter) / DECAY_TIME.as_secs_f64()
    }

    /// Returns the recent rate of requests for all adapters, per second.
    pub fn total_rate(&self, now: Time) -> f64 {
        let total = self.total.map_or(0.0, |count| count.value(now));
        total / DECAY_TIME.as_secs_f64()
    }
}
