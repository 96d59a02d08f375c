//! The metrics of the agent. Names contain the unit.

use std::time::Duration;

use decision::agent::Counters;
use decision::ids::Priority;
use decision::job::Refusal;
use decision::report::Report;
use prometheus::Histogram;
use prometheus::HistogramOpts;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::core::Collector;

/// The refusal reasons in the order of [`Counters::refused`].
const REFUSALS: [Refusal; 9] = [
    Refusal::Draining,
    Refusal::Overloaded,
    Refusal::Deadline,
    Refusal::LoadFailed,
    Refusal::StaleClaim,
    Refusal::Settled,
    Refusal::Cancelled,
    Refusal::EngineDown,
    Refusal::WrongEndpoint,
];

/// The priority classes in the order of the queue's counts.
const CLASSES: [Priority; 3] = [
    Priority::Interactive,
    Priority::Booking,
    Priority::Overnight,
];

/// The upper bounds of the buckets of time histograms, in seconds.
const TIME_BUCKETS: [f64; 12] = [
    0.001, 0.005, 0.01, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0,
];

#[derive(Clone)]
pub(crate) struct Metrics {
    stall: Histogram,
    load: Histogram,
    attempts: IntCounterVec,
    refusals: IntCounterVec,
    loads: IntCounterVec,
    unloads: IntCounter,
    wrong: IntCounter,
    drifts: IntCounter,
    queue: IntGaugeVec,
    stalled: IntGauge,
    batch: IntGaugeVec,
    slots: IntGaugeVec,
    lease: IntGauge,
    ready: IntGauge,
    draining: IntGauge,
}

impl Metrics {
    /// Creates the metrics. Returns an error if a metric name is malformed.
    pub(crate) fn new() -> prometheus::Result<Metrics> {
        Ok(Metrics {
            stall: histogram("load_stall_seconds", "Time that jobs waited for a load")?,
            load: histogram(
                "load_seconds",
                "Time that the engine took to load a version",
            )?,
            attempts: counters("attempts_total", "Ended attempts", "outcome")?,
            refusals: counters("refusals_total", "Attempts not run", "reason")?,
            loads: counters("loads_total", "Ended loads", "result")?,
            unloads: counter("unloads_total", "Finished unloads")?,
            wrong: counter("wrong_adapter_total", "Answers of another adapter")?,
            drifts: counter("drifts_total", "Resident lists unlike the slot table")?,
            queue: gauges("queue_jobs", "Queued jobs", "class")?,
            stalled: gauge("stalled_jobs", "Queued jobs that wait for a load")?,
            batch: gauges("batch_sequences", "Places of the batch", "kind")?,
            slots: gauges("slots_versions", "Adapter slots", "state")?,
            lease: gauge("lease_held_bool", "Whether commands are allowed")?,
            ready: gauge("engine_ready_bool", "Whether the engine is ready")?,
            draining: gauge("draining_bool", "Whether new work is refused")?,
        })
    }

    /// Records how long a job waited for its version to be loaded.
    pub(crate) fn record_stall(&self, stall: Duration) {
        self.stall.observe(stall.as_secs_f64());
    }

    /// Records the duration of a load if it succeeded.
    pub(crate) fn record_load(&self, load_time: Duration, succeeded: bool) {
        if succeeded {
            self.load.observe(load_time.as_secs_f64());
        }
    }

    /// Sets the counters and gauges. `jobs` holds the number of running jobs and the numbers of queued
    /// jobs by class.
    pub(crate) fn update(
        &self,
        counters: &Counters,
        jobs: (usize, [usize; 3]),
        report: &Report,
        may_command: bool,
    ) {
        set_counter(&self.attempts, "ran", counters.ran);
        set_counter(&self.attempts, "unknown", counters.unknown);
        for (reason, count) in REFUSALS.iter().zip(counters.refused) {
            set_counter(&self.refusals, &reason.to_string(), count);
        }
        set_counter(&self.loads, "done", counters.loads);
        set_counter(&self.loads, "failed", counters.load_failures);
        overwrite(&self.unloads, counters.unloads);
        overwrite(&self.wrong, counters.wrong);
        overwrite(&self.drifts, counters.drifts);
        for (class, count) in CLASSES.iter().zip(jobs.1) {
            let gauge = self.queue.with_label_values(&[class.to_string()]);
            gauge.set(count as i64);
        }
        self.stalled.set(report.stalled as i64);
        let batch = [("running", jobs.0 as u32), ("limit", report.batch)];
        set_all(&self.batch, &batch);
        let slots = [
            ("limit", report.slots),
            ("resident", report.resident.len() as u32),
            ("loading", report.loading.len() as u32),
            ("idle", report.idle),
        ];
        set_all(&self.slots, &slots);
        self.lease.set(may_command as i64);
        self.ready.set(report.ready as i64);
        self.draining.set(report.draining as i64);
    }

    pub(crate) fn all(&self) -> Vec<Box<dyn Collector>> {
        let mut all: Vec<Box<dyn Collector>> =
            vec![Box::new(self.stall.clone()), Box::new(self.load.clone())];
        for family in [&self.attempts, &self.refusals, &self.loads] {
            all.push(Box::new(family.clone()));
        }
        for counter in [&self.unloads, &self.wrong, &self.drifts] {
            all.push(Box::new(counter.clone()));
        }
        for family in [&self.queue, &self.batch, &self.slots] {
            all.push(Box::new(family.clone()));
        }
        for gauge in [&self.stalled, &self.lease, &self.ready, &self.draining] {
            all.push(Box::new(gauge.clone()));
        }
        all
    }
}

fn name(suffix: &str) -> String {
    format!("dotterelwheel_agent_{suffix}")
}

fn histogram(suffix: &str, help: &str) -> prometheus::Result<Histogram> {
    let opts = HistogramOpts::new(name(suffix), help).buckets(TIME_BUCKETS.to_vec());
    Histogram::with_opts(opts)
}

fn counter(suffix: &str, help: &str) -> prometheus::Result<IntCounter> {
    IntCounter::new(name(suffix), help)
}

fn counters(suffix: &str, help: &str, label: &str) -> prometheus::Result<IntCounterVec> {
    IntCounterVec::new(Opts::new(name(suffix), help), &[label])
}

fn gauge(suffix: &str, help: &str) -> prometheus::Result<IntGauge> {
    IntGauge::new(name(suffix), help)
}

fn gauges(suffix: &str, help: &str, label: &str) -> prometheus::Result<IntGaugeVec> {
    IntGaugeVec::new(Opts::new(name(suffix), help), &[label])
}

fn set_counter(family: &IntCounterVec, label: &str, value: u64) {
    overwrite(&family.with_label_values(&[label]), value);
}

/// Sets a counter to a total that the core counts.
fn overwrite(counter: &IntCounter, value: u64) {
    counter.reset();
    counter.inc_by(value);
}

fn set_all(family: &IntGaugeVec, values: &[(&str, u32)]) {
    for (label, value) in values {
        family.with_label_values(&[*label]).set(*value as i64);
    }
}
