//! Finds the route, the tenant and the service of a request, or refuses it before its body is read.
//!
//! Invariants: each request that is not to run gets a line with its identifier, but for a bounded number of
//! those beyond the limit of their tenant; the key of a caller is neither logged nor passed on.

use std::sync::Arc;
use std::time::Duration;

use platform::ingress::LocalResponse;
use platform::ingress::RequestHead;
use platform::store::Table;
use serving::Name;
use serving::config::Config;
use serving::config::Limits;
use serving::config::Route;
use serving::tenants;
use serving::tenants::Tenant;
use spdlog::info;
use spdlog::warn;

use crate::dispatch::OVERLOAD_RETRY_AFTER;
use crate::entry::Entry;
use crate::line_limits::LineCause;
use crate::quota;
use crate::quota::TokenCharge;

/// `Retry-After` of a request that is refused because the entry has no usable configuration.
const UNCONFIGURED_RETRY_AFTER: Duration = Duration::from_millis(400);

/// What the configuration in force has for a request.
pub(crate) struct Routed {
    pub(crate) route: Route,
    pub(crate) service: Name,
    pub(crate) limits: Limits,
    /// The tenant of the request; `None` if it needs none.
    pub(crate) tenant: Option<Arc<Tenant>>,
    /// The priority of the request; 0 is the most urgent.
    pub(crate) priority: u8,
    /// What it was charged; `None` if it has no limit.
    pub(crate) charge: Option<TokenCharge>,
}

/// Returns what the configuration in force has for a request to this path, or the answer to one that is not to run.
pub(crate) async fn find_route(
    entry: &Entry,
    head: &mut RequestHead,
    path: &str,
) -> Result<Routed, LocalResponse> {
    let id = &*head.request.id.clone();
    let config = entry.state().config.clone();
    let Some(config) = config else {
        info!("request refused, no configuration", kv: { id, path });
        return Err(LocalResponse::Refused(UNCONFIGURED_RETRY_AFTER));
    };
    let Some(route) = config.route(&head.request.host, path).cloned() else {
        info!("no route", kv: { id, host = &*head.request.host, path, config = config.version });
        return Err(LocalResponse::NoRoute);
    };
    let tenant = find_tenant(entry, &config, &route, head)?;
    let priority = tenants::priority(tenant.as_deref(), route.priority);
    let inflight = entry.metrics.inflight.get().try_into().unwrap_or(0);
    let head_excess = entry.metrics.head_excess.get().try_into().unwrap_or(0);
    if !entry
        .state()
        .overload
        .admits(inflight, head_excess, priority)
    {
        warn!("request refused, the entry is overloaded", kv: { id, inflight, head_excess });
        return Err(LocalResponse::Refused(OVERLOAD_RETRY_AFTER));
    }
    let draw = entry.state().rng.u64(..);
    let Some(service) = route.pick_service(draw).cloned() else {
        let config = config.version;
        info!("request refused, the route has no service", kv: { id, route = &*route.name, config });
        return Err(LocalResponse::Refused(UNCONFIGURED_RETRY_AFTER));
    };
    let charge = quota::charge(entry, tenant.as_ref(), &route, head).await?;
    Ok(Routed {
        charge,
        service,
        route,
        limits: config.limits,
        tenant,
        priority,
    })
}

/// Returns the tenant whose key a request has, and removes the key from the request.
fn find_tenant(
    entry: &Entry,
    config: &Config,
    route: &Route,
    head: &mut RequestHead,
) -> Result<Option<Arc<Tenant>>, LocalResponse> {
    let Some(tenants) = config.tenants() else {
        return Ok(None);
    };
    if route.public {
        head.set_tenant(None);
        return Ok(None);
    }
    let tenant = head.api_key().and_then(|key| tenants.by_key(key)).cloned();
    let (id, config) = (&*head.request.id, config.version);
    let Some(tenant) = tenant else {
        entry.metrics.unknown_keys.inc();
        if let Some(omitted) = entry.lines.admit(entry.now(), LineCause::UnknownKey) {
            info!("unknown key", kv: { id, route = &*route.name, config, omitted });
        }
        return Err(LocalResponse::UnknownKey);
    };
    if !entry.may_trust_keys() {
        warn!("request refused, keys may be outdated", kv: { id, tenant = &*tenant.name, config });
        return Err(LocalResponse::Refused(UNCONFIGURED_RETRY_AFTER));
    }
    head.set_tenant(Some(&tenant.name));
    Ok(Some(tenant))
}

impl Entry {
    /// Returns whether the keys of the configuration in force may still be used.
    fn may_trust_keys(&self) -> bool {
        let bounds = &self.settings.bounds;
        let Some(revoke_ms) = bounds.revoke_ms.filter(|_| bounds.strict_revoke) else {
            return true;
        };
        let read_at = self.state().tables_read.get(&Table::Operator).copied();
        let now = self.now();
        tenants::are_keys_current(now, read_at, Duration::from_millis(revoke_ms))
    }
}
