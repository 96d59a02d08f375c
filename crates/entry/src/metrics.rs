//! Prometheus metrics of the entry. Names include the unit.

use std::time::Duration;

use prometheus::Histogram;
use prometheus::HistogramOpts;
use prometheus::IntCounterVec;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::Registry;

/// Upper bounds of the buckets of time histograms, in seconds.
const TIME_BUCKETS_S: [f64; 14] = [
    0.0005, 0.001, 0.005, 0.01, 0.05, 0.1, 0.25, 0.5, 1.0, 1.7, 3.0, 10.0, 30.0, 120.0,
];

/// Metrics of one entry. Clones share the same values.
#[derive(Clone)]
pub(crate) struct Metrics {
    /// Finished requests by error code; `ok` for complete responses, `replayed` for stored ones.
    pub(crate) requests: IntCounterVec,
    /// Time from arrival to the end of the response; 0 for a request rejected before it runs.
    pub(crate) duration: Histogram,
    /// Time from arrival to the first byte of the response.
    pub(crate) first_byte: Histogram,
    /// Time that requests waited for an adapter load, as reported by agents.
    pub(crate) load_stall: Histogram,
    /// Time from arrival to the commit of a claim row.
    pub(crate) claim_time: Histogram,
    /// Attempts by kind: `first`, `retry`, `load`, `probe`.
    pub(crate) attempts: IntCounterVec,
    /// Current numbers by kind: `requests` in flight, `tasks` and `connections`.
    pub(crate) gauges: IntGaugeVec,
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
            load_stall: histogram("load_stall_seconds", "Time that requests waited for a load")?,
            claim_time: histogram("claim_seconds", "Time until a claim was confirmed")?,
            attempts: counters("attempts_total", "Dispatched attempts", "kind")?,
            gauges: IntGaugeVec::new(opts("present_count", "Numbers at present"), &["kind"])?,
        };
        registry.register(Box::new(metrics.requests.clone()))?;
        registry.register(Box::new(metrics.duration.clone()))?;
        registry.register(Box::new(metrics.first_byte.clone()))?;
        registry.register(Box::new(metrics.load_stall.clone()))?;
        registry.register(Box::new(metrics.claim_time.clone()))?;
        registry.register(Box::new(metrics.attempts.clone()))?;
        registry.register(Box::new(metrics.gauges.clone()))?;
        Ok(metrics)
    }

    /// Records a finished request.
    pub(crate) fn record_request(&self, code: &str, duration: Duration) {
        self.requests.with_label_values(&[code]).inc();
        self.duration.observe(duration.as_secs_f64());
    }

    /// Sets the current number of one kind.
    pub(crate) fn set_gauge(&self, kind: &str, count: usize) {
        self.gauges.with_label_values(&[kind]).set(count as i64);
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
    let opts = HistogramOpts::from(opts(name, help)).buckets(TIME_BUCKETS_S.to_vec());
    Histogram::with_opts(opts)
}
