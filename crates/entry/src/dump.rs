//! JSON dump of an entry for operators. It contains no request bodies and no secrets.

use decision::health::BreakerState;
use decision::health::Health;
use decision::placement::Candidate;
use decision::placement::EndpointTable;
use decision::placement::EndpointView;
use decision::placement::PickTrace;
use decision::time::Time;
use serde_json::Value;
use serde_json::json;

use crate::shared::Shared;

/// Returns the state of the entry as a JSON document.
pub(crate) fn state(shared: &Shared) -> String {
    let now = shared.clock.now();
    let head = shared.config_index().routes.head().clone();
    let (endpoints, picks) = {
        let routing = shared.routing();
        (
            endpoints(now, &routing.endpoints),
            picks(now, &routing.endpoints),
        )
    };
    let (claims, limits, retries) = accounting(shared, now);
    let ready = shared.readiness();
    let audit = shared.audit.state();
    json!({
        "head": head,
        "incarnation": shared.incarnation,
        "ready": ready.is_ok(),
        "waiting_for": ready.err(),
        "endpoints": endpoints,
        "last_picks": picks,
        "claims_in_progress": claims,
        "limits": limits,
        "retries": retries,
        "audit": { "waiting": audit.pending_entries, "lost": audit.lost_records },
    })
    .to_string()
}

fn endpoints(now: Time, table: &EndpointTable) -> Vec<Value> {
    let mut views: Vec<&EndpointView> = table.views().collect();
    views.sort_unstable_by(|a, b| a.object.name.cmp(&b.object.name));
    views.into_iter().map(|view| endpoint(now, view)).collect()
}

fn endpoint(now: Time, view: &EndpointView) -> Value {
    let report = &view.report;
    json!({
        "name": view.object.name,
        "domain": view.object.domain,
        "takes_new_work": view.is_open(),
        "live": view.live,
        "leaving": view.leaving,
        "linked": view.linked,
        "draining_ms": view.draining_since.map(|since| now.since(since).as_millis() as u64),
        "incarnation": view.incarnation,
        "report_age_ms": view.last_report_at.map(|at| now.since(at).as_millis() as u64),
        "running": report.running,
        "batch": report.batch,
        "queued": report.queued,
        "stalled": report.stalled,
        "idle_slots": report.idle,
        "service_ms": report.service_ms,
        "load_ms": report.load_ms,
        "own_inflight": view.inflight,
        "own_unseen": view.unreported(),
        "health": health(now, &view.health),
    })
}

fn health(now: Time, health: &Health) -> Value {
    let (breaker, cause, until) = match health.breaker() {
        BreakerState::Closed => ("closed", None, None),
        BreakerState::Open { until, cause } => ("open", Some(cause), Some(until)),
        BreakerState::Probing { cause, .. } => ("probing", Some(cause), None),
    };
    json!({
        "breaker": breaker,
        "cause": cause.map(|cause| cause.to_string()),
        "next_probe_ms": until.map(|until| until.since(now).as_millis() as u64),
        "error_rate": health.error_rate(),
        "first_byte_ms": health.latency_ms(),
    })
}

fn picks(now: Time, table: &EndpointTable) -> Vec<Value> {
    let traces = table.traces();
    traces.map(|trace| pick(now, table, trace)).collect()
}

fn pick(now: Time, table: &EndpointTable, trace: &PickTrace) -> Value {
    let candidate = |candidate: &Candidate| {
        let cost = &candidate.cost;
        json!({
            "endpoint": table.view(candidate.endpoint).object.name,
            "verdict": candidate.verdict.to_string(),
            "loads": candidate.needs_load,
            "cost_ms": cost.total(),
            "queue_ms": cost.queue,
            "load_ms": cost.load,
            "domain_ms": cost.domain,
            "health_ms": cost.health,
            "prefix_ms": cost.prefix,
            "pack_ms": cost.pack,
        })
    };
    json!({
        "request": trace.request,
        "version": trace.version,
        "age_ms": now.since(trace.at).as_millis() as u64,
        "candidates": trace.candidates.iter().map(candidate).collect::<Vec<_>>(),
    })
}

fn accounting(shared: &Shared, now: Time) -> (Vec<Value>, Value, Value) {
    let accounting = shared.accounting();
    let claim = |((workspace, id), record): (&(_, String), &crate::records::RequestRecord)| {
        let workspace: &decision::ids::Name = workspace;
        json!({
            "workspace": workspace,
            "id": id,
            "request": record.request,
            "route": record.route,
            "age_ms": now.since(record.arrived).as_millis() as u64,
        })
    };
    let claims = accounting.records.claims_in_progress().map(claim).collect();
    let limits = &accounting.limits;
    let [rate, inflight, shed] = limits.denied();
    let usage = |usage: &decision::limits::WorkspaceUsage| {
        json!({
            "workspace": usage.workspace.name,
            "inflight": usage.inflight,
            "inflight_limit": usage.workspace.inflight,
            "rate_per_s": usage.workspace.rate,
            "tokens": usage.tokens,
        })
    };
    let limits = json!({
        "inflight": limits.inflight(),
        "capacity": limits.capacity(),
        "denied_by_rate": rate,
        "denied_by_inflight": inflight,
        "shed": shed,
        "workspaces": limits.usage().map(usage).collect::<Vec<_>>(),
    });
    let retries = json!({
        "budget": accounting.retry_budget.tokens(),
        "denied": accounting.retry_budget.denied(),
    });
    (claims, limits, retries)
}
