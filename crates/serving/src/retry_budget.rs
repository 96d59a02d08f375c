//! The budget of second attempts, which all entries share.

use std::collections::VecDeque;
use std::time::Duration;

use decision::collections::Map;
use decision::time::Time;

use crate::Name;

/// Parts into which the window is cut; the oldest one is dropped whole.
const PARTS: u32 = 20;
/// The share of the allowance that entries use, so that clocks and counts may differ a little.
const USED_SHARE: f64 = 0.8;

/// The allowance for one service over all entries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Second attempts per request.
    pub ratio: f64,
    /// Second attempts that are allowed besides, over all entries.
    pub slack: f64,
    /// The span over which both are counted.
    pub window: Duration,
}

#[derive(Debug, Default)]
struct Counts {
    parts: VecDeque<Part>,
}

#[derive(Debug, Default)]
struct Part {
    number: u64,
    requests: u32,
    repeats: u32,
}

/// The second attempts of one entry.
#[derive(Debug)]
pub struct RetryBudget {
    allowance: Allowance,
    entries: u32,
    services: Map<Name, Counts>,
}

impl RetryBudget {
    /// Creates a budget; `entries` is the number of entries that share the slack.
    pub fn new(allowance: Allowance, entries: u32) -> Self {
        RetryBudget {
            allowance,
            entries: entries.max(1),
            services: Map::default(),
        }
    }

    /// Sets the number of entries that share the slack.
    pub fn set_entry_count(&mut self, entries: u32) {
        self.entries = entries.max(1);
    }

    /// Counts a request for a service.
    pub fn record_request(&mut self, now: Time, service: &Name) {
        self.counts(now, service).last_mut().requests += 1;
    }

    /// Takes one second attempt from the budget; returns whether there was one.
    pub fn try_take(&mut self, now: Time, service: &Name) -> bool {
        let allowance = self.allowance;
        let share = allowance.slack / f64::from(self.entries);
        let counts = self.counts(now, service);
        let requests: u32 = counts.parts.iter().map(|part| part.requests).sum();
        let repeats: u32 = counts.parts.iter().map(|part| part.repeats).sum();
        let allowed = (allowance.ratio * f64::from(requests) + share) * USED_SHARE;
        if f64::from(repeats + 1) > allowed {
            return false;
        }
        counts.last_mut().repeats += 1;
        true
    }

    /// Returns the counts of a service, without the parts that left the window.
    fn counts(&mut self, now: Time, service: &Name) -> &mut Counts {
        let number = now.as_ms() / (self.allowance.window / PARTS).as_millis().max(1) as u64;
        let counts = self.services.entry(service.clone()).or_default();
        counts.advance(number);
        counts
    }
}

impl Counts {
    /// Drops the parts that left the window which ends with the part of this number.
    fn advance(&mut self, number: u64) {
        let first = number.saturating_sub(u64::from(PARTS) - 1);
        self.parts.retain(|part| part.number >= first);
        if self.parts.back().is_none_or(|part| part.number < number) {
            self.parts.push_back(Part {
                number,
                ..Part::default()
            });
        }
    }

    fn last_mut(&mut self) -> &mut Part {
        if self.parts.is_empty() {
            self.parts.push_back(Part::default());
        }
        let last = self.parts.len() - 1;
        &mut self.parts[last]
    }
}
