//! Resolution of a route through its aliases.

use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;

use crate::Name;
use crate::ObjectSet;
use crate::Priority;
use crate::Route;
use crate::RouteTarget;

/// Where a name leads and under which settings. All settings come from the last route of the alias
/// chain; for a service, its own settings restrict them further.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Resolved<'a> {
    /// The route at the end of the chain; its target is never an alias.
    pub route: &'a Arc<Route>,
    /// The priority class.
    pub priority: Priority,
    /// The deadline: the shorter one of the route and its service.
    pub deadline: Duration,
    /// Whether a request may be run more than once: only if the route and its service allow it.
    pub repeatable: bool,
}

/// Why a route could not be resolved.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum ResolveError {
    /// A route of the chain does not exist.
    #[display("route \"{_0}\" does not exist")]
    Missing(#[error(not(source))] Name),
    /// The chain leads back to one of its own routes; the names in order.
    #[display("the aliases form a cycle: {}", _0.join(" -> "))]
    Cycle(#[error(not(source))] Vec<Name>),
    /// The service at the end of the chain does not exist.
    #[display("service \"{_0}\" does not exist")]
    NoService(#[error(not(source))] Name),
}

/// Follows the aliases from the route `name` to the route that names what serves it.
pub fn resolve<'a>(set: &'a ObjectSet, name: &str) -> Result<Resolved<'a>, ResolveError> {
    let mut chain: Vec<Name> = Vec::new();
    let mut name: Name = name.into();
    loop {
        let Some(route) = set.routes.get(&name) else {
            return Err(ResolveError::Missing(name));
        };
        let repeated = chain.contains(&name);
        chain.push(name);
        if repeated {
            return Err(ResolveError::Cycle(chain));
        }
        match &route.target {
            RouteTarget::Alias(next) => name = next.clone(),
            _ => return settle(set, route),
        }
    }
}

fn settle<'a>(set: &'a ObjectSet, route: &'a Arc<Route>) -> Result<Resolved<'a>, ResolveError> {
    let mut resolved = Resolved {
        route,
        priority: route.priority,
        deadline: route.deadline,
        repeatable: route.repeatable,
    };
    if let RouteTarget::Service(name) = &route.target {
        let Some(service) = set.services.get(name) else {
            return Err(ResolveError::NoService(name.clone()));
        };
        resolved.deadline = resolved.deadline.min(service.deadline);
        resolved.repeatable &= service.repeatable;
    }
    Ok(resolved)
}
