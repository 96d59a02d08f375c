//! The counters and histograms of the two processes.

use prometheus::Histogram;
use prometheus::HistogramOpts;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::Opts;
use prometheus::Registry;

/// The upper bounds of latencies, in seconds.
const LATENCY_BUCKETS: [f64; 12] = [
    0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 4.0, 8.0,
];

/// The metrics of an entry.
#[derive(Debug)]
pub struct EntryMetrics {
    /// All of them, to be served.
    pub registry: Registry,
    /// Requests by outcome.
    pub requests: IntCounterVec,
    /// Attempts by how the runner took them.
    pub attempts: IntCounterVec,
    /// Time from a request's arrival to its answer or first event.
    pub first_response_s: Histogram,
    /// Time that requests waited for an adapter.
    pub adapter_wait_s: Histogram,
    /// Streams that went on at another runner.
    pub resumed_streams: IntCounter,
    /// Connections that were opened to runners.
    pub runner_connects: IntCounter,
    /// Calls to the store by result.
    pub store_calls: IntCounterVec,
    /// Requests in progress.
    pub inflight: IntGauge,
}

impl EntryMetrics {
    /// Creates and registers the metrics.
    ///
    /// # Errors
    ///
    /// Fails if two of them have the same name.
    pub fn new() -> prometheus::Result<Self> {
        let registry = Registry::new();
        let requests = register_counters(
            &registry,
            "requests_total",
            "Requests by outcome",
            "outcome",
        )?;
        let attempts =
            register_counters(&registry, "attempts_total", "Attempts by result", "result")?;
        let store_calls =
            register_counters(&registry, "store_calls_total", "Store calls", "result")?;
        let first_response_s =
            register_histogram(&registry, "first_answer_seconds", "Time to the first event")?;
        let adapter_wait_s =
            register_histogram(&registry, "adapter_wait_seconds", "Wait for an adapter")?;
        let resumed_streams =
            IntCounter::new("streams_resumed_total", "Streams that were resumed")?;
        let runner_connects = IntCounter::new("runner_connects_total", "Connections to runners")?;
        let inflight = IntGauge::new("requests_inflight", "Requests in progress")?;
        registry.register(Box::new(resumed_streams.clone()))?;
        registry.register(Box::new(runner_connects.clone()))?;
        registry.register(Box::new(inflight.clone()))?;
        Ok(EntryMetrics {
            registry,
            requests,
            attempts,
            first_response_s,
            adapter_wait_s,
            resumed_streams,
            runner_connects,
            store_calls,
            inflight,
        })
    }
}

/// The metrics of an agent.
#[derive(Debug)]
pub struct AgentMetrics {
    /// All of them, to be served.
    pub registry: Registry,
    /// Orders by kind and by how the runner took them.
    pub orders: IntCounterVec,
    /// Entries that are connected.
    pub entries: IntGauge,
    /// Adapters that the runner holds.
    pub adapters: IntGauge,
}

impl AgentMetrics {
    /// Creates and registers the metrics.
    ///
    /// # Errors
    ///
    /// Fails if two of them have the same name.
    pub fn new() -> prometheus::Result<Self> {
        let registry = Registry::new();
        let orders = register_counters(&registry, "orders_total", "Orders by result", "result")?;
        let entries = IntGauge::new("entries_connected", "Connected entries")?;
        let adapters = IntGauge::new("adapters_held", "Adapters that the runner holds")?;
        registry.register(Box::new(entries.clone()))?;
        registry.register(Box::new(adapters.clone()))?;
        Ok(AgentMetrics {
            registry,
            orders,
            entries,
            adapters,
        })
    }
}

fn register_counters(
    registry: &Registry,
    name: &str,
    help: &str,
    label: &str,
) -> prometheus::Result<IntCounterVec> {
    let counters = IntCounterVec::new(Opts::new(name, help), &[label])?;
    registry.register(Box::new(counters.clone()))?;
    Ok(counters)
}

fn register_histogram(
    registry: &Registry,
    name: &str,
    help: &str,
) -> prometheus::Result<Histogram> {
    let opts = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS.to_vec());
    let histogram = Histogram::with_opts(opts)?;
    registry.register(Box::new(histogram.clone()))?;
    Ok(histogram)
}
