//! Finds the route and the service of a request, or refuses it before its body is read.
//!
//! Invariant: each request that is not to run gets a line with its identifier.

use std::time::Duration;

use platform::ingress::LocalResponse;
use platform::ingress::RequestHead;
use serving::Name;
use serving::config::Limits;
use serving::config::Route;
use spdlog::info;
use spdlog::warn;

use crate::dispatch::OVERLOAD_RETRY_AFTER;
use crate::entry::Entry;

/// `Retry-After` of a request that is refused because the entry has no usable configuration.
const UNCONFIGURED_RETRY_AFTER: Duration = Duration::from_millis(400);

/// What the configuration in force has for a request.
pub(crate) struct Routed {
    pub(crate) route: Route,
    pub(crate) service: Name,
    pub(crate) limits: Limits,
}

/// Returns what the configuration in force has for a request to this path, or the answer to one that is not to run.
pub(crate) fn find_route(
    entry: &Entry,
    head: &RequestHead,
    path: &str,
) -> Result<Routed, LocalResponse> {
    let id = &*head.request.id;
    let config = entry.state().config.clone();
    let Some(config) = config else {
        info!("request refused, no configuration", kv: { id, path });
        return Err(LocalResponse::Refused(UNCONFIGURED_RETRY_AFTER));
    };
    let Some(route) = config.route(&head.request.host, path).cloned() else {
        info!("no route", kv: { id, host = &*head.request.host, path, config = config.version });
        return Err(LocalResponse::NoRoute);
    };
    let inflight = entry.metrics.inflight.get().try_into().unwrap_or(0);
    if !entry.state().overload.admits(inflight, route.priority) {
        warn!("request refused, the entry is overloaded", kv: { id, inflight });
        return Err(LocalResponse::Refused(OVERLOAD_RETRY_AFTER));
    }
    let draw = entry.state().rng.u64(..);
    let Some(service) = route.pick_service(draw).cloned() else {
        let config = config.version;
        info!("request refused, the route has no service", kv: { id, route = &*route.name, config });
        return Err(LocalResponse::Refused(UNCONFIGURED_RETRY_AFTER));
    };
    Ok(Routed {
        service,
        route,
        limits: config.limits,
    })
}
