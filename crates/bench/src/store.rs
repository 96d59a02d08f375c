//! A small model of the rate-limited weight store.

use std::collections::VecDeque;
use std::time::Duration;

use decision::time::Time;

use crate::site::ATTACH;
use crate::site::ATTACH_AT_ONCE;
use crate::site::Site;

/// The weight store. Fetches beyond the number served at full speed share its rate evenly.
pub struct Store {
    at_once: usize,
    /// Time of one fetch at full speed, in seconds.
    fetch: f64,
    /// Work done for each fetch in progress since the start, in seconds.
    clock: f64,
    settled: Time,
    /// The clock value at which each fetch ends. All fetches are equally large and share the rate
    /// evenly, so they end in the order in which they began.
    fetches: VecDeque<(f64, usize)>,
    attaching: usize,
}

impl Store {
    /// Returns the store of a site.
    pub fn new(site: &Site) -> Self {
        Store {
            at_once: site.loads_at_once,
            fetch: fetch(site),
            clock: 0.0,
            settled: Time::default(),
            fetches: VecDeque::new(),
            attaching: 0,
        }
    }

    /// Starts a fetch.
    pub fn start(&mut self, now: Time, load: usize) {
        self.settle(now);
        self.fetches.push_back((self.clock + self.fetch, load));
    }

    /// Returns when the next fetch ends, if nothing changes before.
    pub fn next(&self) -> Option<Time> {
        let (end, _) = self.fetches.front()?;
        let left = ((end - self.clock) / self.speed()).max(0.0);
        Some(
            self.settled
                .after(Duration::from_secs_f64(left) + Duration::from_micros(1)),
        )
    }

    /// Removes a fetch that has ended by `now`; returns it with the time to attach the weights.
    pub fn take(&mut self, now: Time) -> Option<(usize, Duration)> {
        self.settle(now);
        let &(end, load) = self.fetches.front()?;
        if end > self.clock {
            return None;
        }
        let flying = self.fetches.len() + self.attaching;
        self.fetches.pop_front();
        self.attaching += 1;
        let slower = (flying as f64 / ATTACH_AT_ONCE as f64).max(1.0);
        Some((load, ATTACH.mul_f64(slower)))
    }

    /// Notes that weights were attached or that the attempt ended.
    pub fn attached(&mut self) {
        self.attaching -= 1;
    }

    fn speed(&self) -> f64 {
        (self.at_once as f64 / self.fetches.len() as f64).min(1.0)
    }

    fn settle(&mut self, now: Time) {
        if !self.fetches.is_empty() {
            self.clock += now.since(self.settled).as_secs_f64() * self.speed();
        }
        self.settled = now;
    }
}

/// Returns the time of one load while nothing else loads.
pub fn unloaded(site: &Site) -> Duration {
    Duration::from_secs_f64(fetch(site)) + ATTACH
}

/// Returns the time of one fetch at full speed, in seconds.
fn fetch(site: &Site) -> f64 {
    site.loads_at_once as f64 / site.loads_per_s
}
