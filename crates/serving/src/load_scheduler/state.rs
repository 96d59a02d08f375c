//! What an agent reports about its runner to the entries.

use std::time::Duration;

use decision::time::Time;

use super::LoadScheduler;
use super::Removal;
use crate::demand::RateLevel;
use crate::link::AdapterStatus;
use crate::link::RunnerState;
use crate::quota::keeps_buckets;
use crate::runner::VersionedAdapter;

/// Assumed time for replacing an adapter by a newer version, which includes waiting for the
/// requests on the older one.
const REPLACE_TIME: Duration = Duration::from_millis(700);

impl LoadScheduler {
    /// Returns the state to report to the entries; `up` says whether the runner answers, and
    /// `entries` is the number of connected entries.
    pub fn state(&self, now: Time, up: bool, entries: u32) -> RunnerState {
        let mut adapters = Vec::new();
        for held in &self.report.adapters {
            // While a newer version is loading, the older one does not count as held.
            let loading = self.report.is_loading(&held.adapter);
            match self.removals.get(&held.adapter) {
                None if !loading => adapters.push(status(held, 0)),
                Some((Removal::Replaced { version }, ordered_at)) if !loading => {
                    let left = REPLACE_TIME.saturating_sub(now.since(*ordered_at));
                    let wait_ms = left.as_millis().max(5) as u32;
                    adapters.push(AdapterStatus {
                        adapter: held.adapter.clone(),
                        version: *version,
                        wait_ms,
                        rate: RateLevel::default(),
                    });
                }
                None | Some(_) => {}
            }
        }
        for loading in &self.report.loading {
            let age = self
                .load_started
                .get(&loading.adapter)
                .map_or(Duration::ZERO, |started| now.since(*started));
            let load_time = self.loads.load_time(&loading.adapter);
            let wait_ms = load_time.saturating_sub(age).as_millis().max(5) as u32;
            adapters.push(status(loading, wait_ms));
        }
        adapters.extend(self.queued_statuses());
        for status in &mut adapters {
            status.rate = self.rates.get(&status.adapter).copied().unwrap_or_default();
        }
        adapters.sort_by(|a, b| a.adapter.cmp(&b.adapter));
        RunnerState {
            born: self.report.born,
            up,
            models: self.report.models.clone(),
            draining: self.report.draining,
            running: self.report.running,
            queued: self.report.queued,
            room: self.room(now),
            entries,
            rate: self.demand.total_rate(now).round() as u32,
            backlog_ms: self.admission.backlog().as_millis() as u32,
            prefill: self.admission.tokens_per_ms().round().max(1.0) as u32,
            loads: self.loads.profile(),
            quotas: keeps_buckets(now),
            adapters,
        }
    }

    /// Updates the rate levels of the held adapters; called before [`LoadScheduler::state`].
    pub fn update_rates(&mut self, now: Time) {
        let held = self.report.adapters.iter();
        let rates = held.map(|held| {
            let last = self.rates.get(&held.adapter).copied().unwrap_or_default();
            let rate = self.demand.rate(now, &held.adapter);
            (held.adapter.clone(), last.follow(rate))
        });
        self.rates = rates.collect();
    }

    /// Returns the queued adapters with their expected wait, so that other entries see them and do
    /// not request them from other runners.
    fn queued_statuses(&self) -> Vec<AdapterStatus> {
        let queue = self.queue();
        let profile = self.loads.profile();
        let interval_ms = profile.store_ms / profile.parallel;
        let statuses = queue.enumerate().map(|(index, (adapter, request))| {
            let load_time = self.loads.load_time(adapter);
            AdapterStatus {
                adapter: adapter.clone(),
                version: request.version,
                wait_ms: load_time.as_millis() as u32 + interval_ms * index as u32,
                rate: RateLevel::default(),
            }
        });
        statuses.collect()
    }

    /// Returns how many more adapters can be loaded now, counting idle ones that can be evicted.
    fn room(&self, now: Time) -> u32 {
        let occupied = self.report.adapters.len() + self.report.loading.len();
        let occupied = occupied as u32 + self.reserved_slots(now);
        let free = self.capacity.slots.saturating_sub(occupied);
        let idle = self.idle(now).count();
        free + idle as u32
    }
}

fn status(adapter: &VersionedAdapter, wait_ms: u32) -> AdapterStatus {
    AdapterStatus {
        adapter: adapter.adapter.clone(),
        version: adapter.version,
        wait_ms,
        rate: RateLevel::default(),
    }
}
