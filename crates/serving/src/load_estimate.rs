//! The load that a runner is expected to have now, from what it reported some time ago.
//!
//! A report tells little once the requests that it counts have ended. What an entry expects of a runner
//! therefore moves from the reported load to the runner's average load within a part of the time that
//! requests stay there, and from that to the average of the service. The entry's own requests are known and
//! are added by `Runner::expected_load`.
//!
//! Invariants: nothing here causes a report; a reported figure is never taken as current. A runner that was
//! never heard of is expected to be like the average of its service.

use std::time::Duration;

use decision::time::Time;

use crate::fleet::Runner;
use crate::runner::RequestLoad;

/// Period of the moving averages.
const AVERAGE_PERIOD: Duration = Duration::from_secs(10);
/// Maximum weight of a new sample in a moving average, so that a rare one does not outweigh all before it.
const MAX_WEIGHT: f32 = 0.1;
/// Part of the time that requests stay at a runner in which the difference between a reported load and the
/// average falls to 1/e. The load at the next choice depends on the requests that have come and gone since.
const REPORT_LIFE_SHARE: f32 = 0.15;
/// Minimum of the time in which that difference falls to 1/e.
const MIN_REPORT_LIFE: Duration = Duration::from_millis(4);
/// Longest time in which the difference between a runner's average and that of its service falls to 1/e. A runner
/// that was avoided for its average is tried again after a few times this period.
const AVERAGE_LIFE: Duration = Duration::from_secs(30);
/// Number of average intervals between reports in which it falls to 1/e, if that is sooner. A runner that has
/// stopped reporting does not follow the bursts of its service.
const MISSED_REPORTS: f32 = 16.0;
/// Least time in which it falls to 1/e.
const MIN_AVERAGE_LIFE: Duration = Duration::from_secs(1);
/// Least weight of a runner in the load of its service, for services of which nothing has been heard lately.
const MIN_REPORT_WEIGHT: f32 = 1e-3;
/// Time that work takes until the first sample, in milliseconds.
const DEFAULT_SERVICE_MS: f32 = 30.0;
/// Pace that counts as usual.
const USUAL_PACE: f32 = 100.0;
/// Reported slots, pace and slowness count up to this multiple of what is usual, and from this part of it. An
/// implausible figure of one runner must not hide all differences between the others.
const MAX_DEVIATION: f32 = 8.0;
/// Number of requests for each slot up to which a reported load counts in the averages.
const MAX_LOAD_PER_SLOT: f32 = 16.0;

/// A moving average of samples that arrive at irregular times.
#[derive(Clone, Copy, Debug, Default)]
struct MovingAverage {
    /// `None` without samples.
    value: Option<f32>,
    updated_at: Time,
}

impl MovingAverage {
    fn record(&mut self, now: Time, sample: f32) {
        let elapsed = now.since(self.updated_at);
        let weight = (1.0 - remainder(elapsed, AVERAGE_PERIOD)).min(MAX_WEIGHT);
        let value = self.value.unwrap_or(sample);
        self.value = Some(value + weight * (sample - value));
        self.updated_at = now;
    }

    /// Returns the average, drawn towards the value `usual` as it ages: the difference falls to 1/e in `life`.
    /// Returns `None` without samples.
    fn drawn(&self, now: Time, usual: f32, life: Duration) -> Option<f32> {
        let value = self.value?;
        let left = remainder(now.since(self.updated_at), life);
        Some(usual + left * (value - usual))
    }
}

/// Returns what is left after this time of a difference that falls to 1/e in `life`.
fn remainder(elapsed: Duration, life: Duration) -> f32 {
    (-elapsed.as_secs_f32() / life.as_secs_f32()).exp()
}

/// What an entry has learned of the load and the speed of one runner.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadEstimate {
    /// When the load was last reported.
    reported_at: Time,
    /// The time between two reports, in milliseconds.
    interval_ms: MovingAverage,
    /// Requests of other entries.
    others: MovingAverage,
    /// The number of slots, as reported.
    slots: MovingAverage,
    /// How long work takes, as reported; 100 is usual.
    pace: MovingAverage,
    /// How long work takes, without the wait in the runner's queue, in milliseconds.
    service_ms: MovingAverage,
    /// How long requests stay at the runner, in milliseconds.
    stay_ms: MovingAverage,
    /// The reported share of the requests there that run, the others being queued; 0 if none was reported.
    run_share: f32,
}

impl LoadEstimate {
    /// Records a reported load; `others` is the number of requests of other entries in it, and `recorded` the
    /// number of slots in the membership record.
    pub(crate) fn record(&mut self, now: Time, load: RequestLoad, others: u32, recorded: u32) {
        let recorded = recorded.max(1) as f32;
        if self.others.value.is_some() {
            let interval = now.since(self.reported_at);
            self.interval_ms
                .record(now, interval.as_secs_f32() * 1_000.0);
        }
        self.reported_at = now;
        self.others
            .record(now, (others as f32).min(recorded * MAX_LOAD_PER_SLOT));
        let running = load.running.max(1) as f32;
        self.run_share = running / (running + load.waiting as f32);
        if let Some(slots) = load.slots.filter(|slots| *slots > 0) {
            self.slots.record(now, near(slots as f32, recorded));
        }
        if let Some(pace) = load.pace.filter(|pace| *pace > 0) {
            self.pace.record(now, near(pace as f32, USUAL_PACE));
        }
    }

    /// Records the latency of a request, of which a part was spent in the runner's queue.
    pub(crate) fn record_latency(&mut self, now: Time, latency: Duration) {
        let run_share = match self.run_share {
            0.0 => 1.0,
            reported => reported,
        };
        let latency_ms = latency.as_secs_f32() * 1_000.0;
        self.service_ms.record(now, latency_ms * run_share);
    }

    /// Records how long a request of this entry has stayed at the runner.
    pub(crate) fn record_stay(&mut self, now: Time, stay: Duration) {
        self.stay_ms.record(now, stay.as_secs_f32() * 1_000.0);
    }

    /// Returns the expected number of requests of other entries, where `reported` is the last reported one
    /// and `usual` the average of the service.
    pub(crate) fn expected_others(&self, now: Time, reported: u32, usual: f32) -> f32 {
        let Some(average) = self.others.drawn(now, usual, self.average_life()) else {
            return usual;
        };
        let stay_ms = self.stay_ms.value.unwrap_or(DEFAULT_SERVICE_MS);
        let life = Duration::from_secs_f32(stay_ms * REPORT_LIFE_SHARE / 1_000.0);
        let left = remainder(now.since(self.reported_at), life.max(MIN_REPORT_LIFE));
        average + left * (reported as f32 - average)
    }

    /// Returns the time in which the difference between the average load and that of the service falls to 1/e
    /// if no report comes.
    fn average_life(&self) -> Duration {
        let Some(interval_ms) = self.interval_ms.value else {
            return AVERAGE_LIFE;
        };
        let life = Duration::from_secs_f32(interval_ms * MISSED_REPORTS / 1_000.0);
        life.clamp(MIN_AVERAGE_LIFE, AVERAGE_LIFE)
    }

    /// Returns the expected number of slots, where `recorded` is that of the membership record.
    pub(crate) fn expected_slots(&self, now: Time, recorded: u32) -> f32 {
        let recorded = recorded.max(1) as f32;
        self.slots
            .drawn(now, recorded, AVERAGE_LIFE)
            .unwrap_or(recorded)
    }

    /// Returns how long work is expected to take, as a multiple of the average of the service. It follows
    /// the reported pace, or the latencies where no pace is reported.
    pub(crate) fn slowness(&self, now: Time, average: &ServiceAverage) -> f32 {
        let pace = relative(now, &self.pace, average.pace);
        let slowness = pace.or_else(|| relative(now, &self.service_ms, average.service_ms));
        near(slowness.unwrap_or(1.0), 1.0)
    }
}

/// Returns the value, or the nearest one within [`MAX_DEVIATION`] of the usual one.
fn near(value: f32, usual: f32) -> f32 {
    value.clamp(usual / MAX_DEVIATION, usual * MAX_DEVIATION)
}

/// Returns a runner's average as a multiple of that of its service; `None` if there is none.
fn relative(now: Time, own: &MovingAverage, average: Option<f32>) -> Option<f32> {
    let average = average.filter(|average| *average > 0.0)?;
    Some(own.drawn(now, average, AVERAGE_LIFE)? / average)
}

/// The averages over the runners of a service that accept requests.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServiceAverage {
    /// The rate of requests at a runner, per second.
    pub(crate) rate: f32,
    /// Requests of other entries per slot.
    pub(crate) others: f32,
    /// How long work takes, in milliseconds; `None` if it is not known.
    service_ms: Option<f32>,
    /// The reported pace; `None` if none is reported.
    pace: Option<f32>,
}

impl ServiceAverage {
    /// Returns the averages over these runners.
    pub(crate) fn of<'a>(now: Time, runners: impl Iterator<Item = &'a Runner>) -> ServiceAverage {
        let mut rate = Mean::default();
        let mut others = Mean::default();
        let mut service_ms = Mean::default();
        let mut pace = Mean::default();
        for runner in runners {
            let load = &runner.load;
            rate.add(Some(runner.rate as f32), 1.0);
            let slots = runner.expected_slots(now);
            let weight = remainder(now.since(load.reported_at), load.average_life());
            let per_slot = load.others.value.map(|others| others / slots);
            others.add(per_slot, weight.max(MIN_REPORT_WEIGHT));
            service_ms.add(load.service_ms.value, 1.0);
            pace.add(load.pace.value, 1.0);
        }
        ServiceAverage {
            rate: rate.get().unwrap_or(0.0),
            others: others.get().unwrap_or(0.0),
            service_ms: service_ms.get(),
            pace: pace.get(),
        }
    }

    /// Returns how long work takes, in milliseconds.
    pub(crate) fn service_ms(&self) -> f32 {
        self.service_ms.unwrap_or(DEFAULT_SERVICE_MS)
    }
}

/// The weighted mean of the values that are known.
#[derive(Default)]
struct Mean {
    sum: f32,
    weight: f32,
}

impl Mean {
    fn add(&mut self, value: Option<f32>, weight: f32) {
        if let Some(value) = value {
            self.sum += weight * value;
            self.weight += weight;
        }
    }

    fn get(&self) -> Option<f32> {
        (self.weight > 0.0).then(|| self.sum / self.weight)
    }
}
