//! The metrics of the entry, with units in their names.

use std::time::Duration;

use prometheus::Histogram;
use prometheus::HistogramOpts;
use prometheus::IntCounterVec;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::Registry;

/// The upper bounds of the time histograms, in seconds.
const SECONDS: [f64; 14] = [
    0.0005, 0.001, 0.005, 0.01, 0.05, 0.1, 0.25, 0.5, 1.0, 1.7, 3.0, 10.0, 30.0, 120.0,
];

/// The metrics of one entry.
#[derive(Clone)]
pub(crate) struct Metrics {
    /// Answered requests by code; `ok` for whole answers.
    pub(crate) requests: IntCounterVec,
    /// Time from arrival to the end of the answer.
    pub(crate) duration: Histogram,
    /// Time from arrival to the first byte of the answer.
    pub(crate) first_byte: Histogram,
    /// Time that requests waited for an adapter, as agents report it.
    pub(crate) stall: Histogram,
    /// Time until a claim was confirmed.
    pub(crate) claim: Histogram,
    /// Attempts by kind: `first`, `retry`, `load`, `probe`.
    pub(crate) attempts: IntCounterVec,
    /// Numbers of things at present: requests in flight, connections, claims.
    pub(crate) present: IntGaugeVec,
}

impl Metrics {
    /// Creates the metrics and registers them.
    ///
    /// # Errors
    ///
    /// Fails if a name is malformed or registered twice.
    pub(crate) fn new(registry: &Registry) -> prometheus::Result<Metrics> {
        let metrics = Metrics {
            requests: counters("requests_total", "Answered requests", "code")?,
            duration: histogram("request_duration_seconds", "Time to the end of the answer")?,
            first_byte: histogram("first_byte_seconds", "Time to the first byte")?,
            stall: histogram("load_stall_seconds", "Time that requests waited for a load")?,
            claim: histogram("claim_seconds", "Time until a claim was confirmed")?,
            attempts: counters("attempts_total", "Dispatched attempts", "kind")?,
            present: IntGaugeVec::new(opts("present_count", "Numbers at present"), &["kind"])?,
        };
        registry.register(Box::new(metrics.requests.clone()))?;
        registry.register(Box::new(metrics.duration.clone()))?;
        registry.register(Box::new(metrics.first_byte.clone()))?;
        registry.register(Box::new(metrics.stall.clone()))?;
        registry.register(Box::new(metrics.claim.clone()))?;
        registry.register(Box::new(metrics.attempts.clone()))?;
        registry.register(Box::new(metrics.present.clone()))?;
        Ok(metrics)
    }

    /// Counts an answered request.
    pub(crate) fn answered(&self, code: &str, took: Duration) {
        self.requests.with_label_values(&[code]).inc();
        self.duration.observe(took.as_secs_f64());
    }

    /// Sets one of the numbers at present.
    pub(crate) fn set_present(&self, kind: &str, count: usize) {
        self.present.with_label_values(&[kind]).set(count as i64);
    }
}

fn opts(name: &str, help: &str) -> Opts {
    Opts::new(name, help)
        .namespace("dotterelwheel")
        .subsystem("entry")
}

fn counters(name: &str, help: &str, label: &str) -> prometheus::Result<IntCounterVec> {
    IntCounterVec::new(opts(name, help), &[label])
}

fn histogram(name: &str, help: &str) -> prometheus::Result<Histogram> {
    let opts = HistogramOpts::from(opts(name, help)).buckets(SECONDS.to_vec());
    Histogram::with_opts(opts)
}
