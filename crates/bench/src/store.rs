//! Model of the rate-limited weight store.

use std::collections::VecDeque;
use std::time::Duration;

use decision::time::Time;

use crate::site::ATTACH_TIME;
use crate::site::FULL_SPEED_LOADS;
use crate::site::Site;

/// A weight store that serves a limited number of fetches at full speed; beyond it, all fetches
/// share the total rate evenly.
pub struct WeightStore {
    full_speed_fetches: usize,
    /// Duration of one fetch at full speed, in seconds.
    fetch_s: f64,
    /// Progress that a fetch in flight since the start of the run would have made, in seconds at
    /// full speed.
    progress_s: f64,
    updated_at: Time,
    /// Value of `progress_s` at which each fetch ends, with the index of its load. All fetches have
    /// the same size and share the rate evenly, so they end in the order in which they began.
    fetches: VecDeque<(f64, usize)>,
    attaching: usize,
}

impl WeightStore {
    /// Returns the store of a site with no fetch in flight.
    pub fn new(site: &Site) -> Self {
        WeightStore {
            full_speed_fetches: site.loads_at_once,
            fetch_s: fetch_seconds(site),
            progress_s: 0.0,
            updated_at: Time::default(),
            fetches: VecDeque::new(),
            attaching: 0,
        }
    }

    /// Begins the fetch of a load, given by its index.
    pub fn begin_fetch(&mut self, now: Time, load: usize) {
        self.update_progress(now);
        self.fetches
            .push_back((self.progress_s + self.fetch_s, load));
    }

    /// Returns when the next fetch ends if no other fetch begins before, or `None` without fetches.
    ///
    /// One microsecond is added because `Time` has whole microseconds: rounded down, the result
    /// would lie before the end of the fetch.
    pub fn next_fetch_end(&self) -> Option<Time> {
        let (end, _) = self.fetches.front()?;
        let left = ((end - self.progress_s) / self.speed()).max(0.0);
        Some(
            self.updated_at
                .after(Duration::from_secs_f64(left) + Duration::from_micros(1)),
        )
    }

    /// Removes a fetch that has ended by `now`; returns its load and the time to attach its
    /// weights.
    pub fn take_finished(&mut self, now: Time) -> Option<(usize, Duration)> {
        self.update_progress(now);
        let &(end, load) = self.fetches.front()?;
        if end > self.progress_s {
            return None;
        }
        let in_progress = self.fetches.len() + self.attaching;
        self.fetches.pop_front();
        self.attaching += 1;
        let slowdown = (in_progress as f64 / FULL_SPEED_LOADS as f64).max(1.0);
        Some((load, ATTACH_TIME.mul_f64(slowdown)))
    }

    /// Records the end of attaching the weights of one load, also if its engine has stopped since.
    pub fn finish_attach(&mut self) {
        self.attaching -= 1;
    }

    fn speed(&self) -> f64 {
        (self.full_speed_fetches as f64 / self.fetches.len() as f64).min(1.0)
    }

    fn update_progress(&mut self, now: Time) {
        if !self.fetches.is_empty() {
            self.progress_s += now.since(self.updated_at).as_secs_f64() * self.speed();
        }
        self.updated_at = now;
    }
}

/// Returns the duration of a load, fetch and attach, on an otherwise idle store.
pub fn idle_load_time(site: &Site) -> Duration {
    Duration::from_secs_f64(fetch_seconds(site)) + ATTACH_TIME
}

/// Returns the duration of one fetch at full speed, in seconds.
fn fetch_seconds(site: &Site) -> f64 {
    site.loads_at_once as f64 / site.loads_per_s
}
