//! Prometheus metrics of the entry and the agent.

use prometheus::GaugeVec;
use prometheus::Histogram;
use prometheus::HistogramOpts;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::Opts;
use prometheus::Registry;

/// The upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS: [f64; 12] = [
    0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 4.0, 8.0,
];

/// Metrics of an entry, registered once per process.
#[derive(Debug)]
pub struct EntryMetrics {
    /// Holds all metrics below; served at the metrics address.
    pub registry: Registry,
    /// Requests by outcome. A stream is counted when it is complete, a truncated one not at all.
    pub requests: IntCounterVec,
    /// Attempts without a deliverable response by [`Outcome`](serving::attempt::Outcome).
    pub attempts: IntCounterVec,
    /// Requests without the key of a tenant, which were answered 401.
    pub unknown_keys: IntCounter,
    /// The units of tenants with limits by tenant and result: `granted` or `refused`. What was given back stays
    /// counted.
    pub quota_tokens: IntCounterVec,
    /// Silent attempts by what was decided: `kept`, `sent elsewhere`. One that goes on alone counts each
    /// time that a replacement is looked for.
    pub silent_attempts: IntCounterVec,
    /// Attempts that were withdrawn because their adapter version is outdated, by what was silent.
    pub outdated_attempts: IntCounterVec,
    /// Requests that were to be written to runners, by the caller's
    /// [`Presence`](::process::caller::Presence) right before; those of callers that left are withheld.
    pub sends: IntCounterVec,
    /// Ended connections of callers, by [`ConnEnd`](crate::conn_end::ConnEnd).
    pub caller_ends: IntCounterVec,
    /// New connections of callers that were closed, since too many were open.
    pub conns_refused: IntCounter,
    /// Bytes that the connections of callers hold, as of the last maintenance.
    pub caller_memory: IntGauge,
    /// Requests whose bodies could not be read, by cause.
    pub body_errors: IntCounterVec,
    /// Connections of callers that are not being closed.
    pub caller_conns: IntGauge,
    /// Bodies that were not read when their requests were answered, by what became of the rest.
    pub unread_bodies: IntCounterVec,
    /// Time from a request's arrival to its complete response or first event, in seconds.
    pub first_response_s: Histogram,
    /// Time that a request waited for a runner or an adapter, in seconds.
    pub adapter_wait_s: Histogram,
    /// Requests that wait until a runner of a plain service has room.
    pub service_queue: IntGauge,
    /// Time that a request waited there, in seconds; requests that did not wait are not counted.
    pub service_wait_s: Histogram,
    /// Requests that may not wait, or not any longer, by
    /// [`RefusalCause`](serving::service_queue::RefusalCause).
    pub service_refusals: IntCounterVec,
    /// The requests that may be at all runners of each plain service, as of the last maintenance.
    pub concurrency_limit: GaugeVec,
    /// Time that a request waited for the admission of its prompt, in seconds.
    pub admission_wait_s: Histogram,
    /// The longest gap between two events of a complete stream, in seconds.
    pub longest_gap_s: Histogram,
    /// Responses that were not read to their end, by
    /// [`ReadError`](crate::buffer::ReadError).
    pub unreadable: IntCounterVec,
    /// Streams that were resumed at another runner.
    pub resumed_streams: IntCounter,
    /// New connections to runners, including failed ones.
    pub runner_connects: IntCounter,
    /// Connections that runners without an engine have reset before an answer began.
    pub conn_resets: IntCounter,
    /// Reads of the store by result: `ok`, `expired` or `failed`.
    pub store_calls: IntCounterVec,
    /// Time since the store last answered a read of each table, in seconds, as of the last maintenance.
    pub table_age_s: GaugeVec,
    /// Restores of the store from a copy that were seen in its answers.
    pub store_restores: IntCounter,
    /// Records of the membership that were read and name no runner to use, by cause.
    pub unused_records: IntCounterVec,
    /// Kept records of services that the configuration does not name, as of the last maintenance.
    pub unnamed_records: IntGauge,
    /// Choices of a runner that does not answer its agent, because no other was left.
    pub silent_choices: IntCounter,
    /// Changes of held prompt parts: `held` or `released`.
    pub part_holds: IntCounterVec,
    /// Changes in what runners say of themselves, by
    /// [`NoticeChange`](serving::backpressure::NoticeChange).
    pub runner_notices: IntCounterVec,
    /// Runners that name a rate limit, as of the last maintenance.
    pub limited_runners: IntGauge,
    /// Runners that want no request for a while, as of the last maintenance.
    pub paused_runners: IntGauge,
    /// Prompt parts whose requests are refused, as of the last maintenance.
    pub held_parts: IntGauge,
    /// Prompt parts that one request at a time may try, as of the last maintenance.
    pub isolated_parts: IntGauge,
    /// Requests whose response has not started, but for refused ones whose bodies are being dropped.
    pub inflight: IntGauge,
    /// Bytes by which requests with large heads exceed the budget of ordinary ones, until their responses end.
    pub head_excess: IntGauge,
}

impl EntryMetrics {
    /// Creates the metrics and registers them.
    ///
    /// # Errors
    ///
    /// Fails if two metrics have the same name.
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
        let silent_attempts = register_counters(
            &registry,
            "silent_attempts_total",
            "Silent attempts by decision",
            "decision",
        )?;
        let outdated_attempts = register_counters(
            &registry,
            "outdated_attempts_total",
            "Attempts withdrawn for their version, by what was silent",
            "scope",
        )?;
        let sends = register_counters(&registry, "sends_total", "Sends to runners", "caller")?;
        let caller_ends = register_counters(
            &registry,
            "caller_connections_ended_total",
            "Ended connections of callers",
            "cause",
        )?;
        let caller_conns = IntGauge::new("caller_connections", "Open connections of callers")?;
        registry.register(Box::new(caller_conns.clone()))?;
        let conns_refused = IntCounter::new(
            "caller_connections_refused_total",
            "Connections of callers without a place",
        )?;
        registry.register(Box::new(conns_refused.clone()))?;
        let caller_memory = IntGauge::new(
            "caller_memory_bytes",
            "Memory that callers' connections hold",
        )?;
        registry.register(Box::new(caller_memory.clone()))?;
        let body_errors = register_counters(
            &registry,
            "body_errors_total",
            "Bodies that could not be read",
            "error",
        )?;
        let unread_bodies = register_counters(
            &registry,
            "unread_bodies_total",
            "Bodies of requests that were answered before",
            "rest",
        )?;
        let unreadable = register_counters(
            &registry,
            "unreadable_responses_total",
            "Responses that were not read to their end",
            "error",
        )?;
        let store_calls =
            register_counters(&registry, "store_calls_total", "Store calls", "result")?;
        let first_response_s =
            register_histogram(&registry, "first_answer_seconds", "Time to the first event")?;
        let adapter_wait_s =
            register_histogram(&registry, "adapter_wait_seconds", "Wait for an adapter")?;
        let service_queue = IntGauge::new("service_queue_length", "Requests that wait for room")?;
        registry.register(Box::new(service_queue.clone()))?;
        let service_wait_s =
            register_histogram(&registry, "service_queue_wait_seconds", "Wait for room")?;
        let service_refusals = register_counters(
            &registry,
            "service_refusals_total",
            "Requests that may not wait for room",
            "cause",
        )?;
        let limit = Opts::new("concurrency_limit", "Requests allowed at plain services");
        let concurrency_limit = GaugeVec::new(limit, &["service"])?;
        registry.register(Box::new(concurrency_limit.clone()))?;
        let admission_wait_s =
            register_histogram(&registry, "admission_wait_seconds", "Wait for admission")?;
        let longest_gap_s =
            register_histogram(&registry, "longest_gap_seconds", "Longest gap of a stream")?;
        let resumed_streams =
            IntCounter::new("streams_resumed_total", "Streams that were resumed")?;
        let runner_connects = IntCounter::new("runner_connects_total", "Connections to runners")?;
        let conn_resets = IntCounter::new(
            "conn_resets_total",
            "Connections reset by runners before an answer began",
        )?;
        registry.register(Box::new(conn_resets.clone()))?;
        let age = Opts::new(
            "store_table_age_seconds",
            "Time since a table was last read",
        );
        let table_age_s = GaugeVec::new(age, &["table"])?;
        registry.register(Box::new(table_age_s.clone()))?;
        let store_restores =
            IntCounter::new("store_restores_total", "Restores of the store from a copy")?;
        registry.register(Box::new(store_restores.clone()))?;
        let unused_records = register_counters(
            &registry,
            "unused_records_total",
            "Membership records that name no runner to use",
            "cause",
        )?;
        let unnamed_records =
            IntGauge::new("unnamed_records", "Kept records of services without a name")?;
        registry.register(Box::new(unnamed_records.clone()))?;
        let silent_choices = IntCounter::new(
            "silent_choices_total",
            "Choices of a runner that does not answer its agent",
        )?;
        registry.register(Box::new(silent_choices.clone()))?;
        let unknown_keys =
            IntCounter::new("unknown_keys_total", "Requests without the key of a tenant")?;
        registry.register(Box::new(unknown_keys.clone()))?;
        let quota = Opts::new("quota_tokens_total", "Units of tenants with limits");
        let quota_tokens = IntCounterVec::new(quota, &["tenant", "result"])?;
        registry.register(Box::new(quota_tokens.clone()))?;
        let part_holds = register_counters(
            &registry,
            "part_holds_total",
            "Holds of prompt parts",
            "event",
        )?;
        let runner_notices = register_counters(
            &registry,
            "runner_notices_total",
            "Changes in what runners say of themselves",
            "change",
        )?;
        let limited_runners = IntGauge::new("limited_runners", "Runners that name a limit")?;
        let paused_runners = IntGauge::new("paused_runners", "Runners that want no request")?;
        registry.register(Box::new(limited_runners.clone()))?;
        registry.register(Box::new(paused_runners.clone()))?;
        let held_parts = IntGauge::new("held_parts", "Held prompt parts")?;
        let isolated_parts = IntGauge::new("isolated_parts", "Isolated prompt parts")?;
        registry.register(Box::new(held_parts.clone()))?;
        registry.register(Box::new(isolated_parts.clone()))?;
        let inflight = IntGauge::new("requests_inflight", "Requests in progress")?;
        registry.register(Box::new(resumed_streams.clone()))?;
        registry.register(Box::new(runner_connects.clone()))?;
        registry.register(Box::new(inflight.clone()))?;
        let head_excess = IntGauge::new(
            "request_head_excess_bytes",
            "Bytes of requests with large heads beyond the budget of ordinary ones",
        )?;
        registry.register(Box::new(head_excess.clone()))?;
        Ok(EntryMetrics {
            registry,
            requests,
            attempts,
            silent_attempts,
            outdated_attempts,
            sends,
            caller_ends,
            caller_conns,
            conns_refused,
            caller_memory,
            body_errors,
            unread_bodies,
            first_response_s,
            adapter_wait_s,
            service_queue,
            service_wait_s,
            service_refusals,
            concurrency_limit,
            admission_wait_s,
            longest_gap_s,
            unreadable,
            resumed_streams,
            runner_connects,
            conn_resets,
            store_calls,
            table_age_s,
            store_restores,
            unused_records,
            unnamed_records,
            silent_choices,
            unknown_keys,
            quota_tokens,
            part_holds,
            runner_notices,
            limited_runners,
            paused_runners,
            held_parts,
            isolated_parts,
            inflight,
            head_excess,
        })
    }
}

/// Counts in a gauge until it is dropped.
#[derive(Debug)]
pub(crate) struct GaugeGuard {
    gauge: IntGauge,
    amount: i64,
}

impl GaugeGuard {
    /// Counts one.
    pub(crate) fn new(gauge: &IntGauge) -> GaugeGuard {
        GaugeGuard::of(gauge, 1)
    }

    /// Counts `amount`.
    pub(crate) fn of(gauge: &IntGauge, amount: usize) -> GaugeGuard {
        let amount = amount as i64;
        gauge.add(amount);
        GaugeGuard {
            gauge: gauge.clone(),
            amount,
        }
    }
}

impl Drop for GaugeGuard {
    fn drop(&mut self) {
        self.gauge.sub(self.amount);
    }
}

/// Metrics of an agent, registered once per process.
#[derive(Debug)]
pub struct AgentMetrics {
    /// Holds all metrics below; served at the metrics address.
    pub registry: Registry,
    /// Orders to the runner by result.
    pub orders: IntCounterVec,
    /// Loads of adapters by source: `store` or `memory`.
    pub loads: IntCounterVec,
    /// Connections of entries that were closed, since too many were open.
    pub links_refused: IntCounter,
    /// Entries connected to this agent.
    pub entries: IntGauge,
    /// Adapters that the runner has, is loading or has been asked for.
    pub adapters: IntGauge,
    /// Crashes of the runner that broke attempts of entries.
    pub crashes: IntCounter,
    /// Tenants whose buckets this agent keeps.
    pub quota_buckets: IntGauge,
    /// Tokens granted to entries, of all tenants.
    pub quota_grants: IntCounter,
}

impl AgentMetrics {
    /// Creates the metrics and registers them.
    ///
    /// # Errors
    ///
    /// Fails if two metrics have the same name.
    pub fn new() -> prometheus::Result<Self> {
        let registry = Registry::new();
        let orders = register_counters(&registry, "orders_total", "Orders by result", "result")?;
        let loads = register_counters(&registry, "loads_total", "Adapter loads", "source")?;
        let entries = IntGauge::new("entries_connected", "Connected entries")?;
        let adapters = IntGauge::new("adapters_held", "Adapters that the runner holds")?;
        registry.register(Box::new(entries.clone()))?;
        let links_refused =
            IntCounter::new("entries_refused_total", "Connections without a place")?;
        registry.register(Box::new(links_refused.clone()))?;
        let crashes = IntCounter::new("runner_crashes_total", "Crashes of the runner")?;
        registry.register(Box::new(adapters.clone()))?;
        registry.register(Box::new(crashes.clone()))?;
        let quota_buckets = IntGauge::new("quota_buckets", "Tenants whose buckets are kept here")?;
        let quota_grants = IntCounter::new("quota_grants_total", "Tokens granted to entries")?;
        registry.register(Box::new(quota_buckets.clone()))?;
        registry.register(Box::new(quota_grants.clone()))?;
        Ok(AgentMetrics {
            registry,
            orders,
            loads,
            entries,
            links_refused,
            adapters,
            crashes,
            quota_buckets,
            quota_grants,
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
