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

/// The longest chain of aliases that is followed.
pub const MAX_ALIASES: usize = 32;

/// Where a name leads and under which settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResolvedRoute<'a> {
    /// The route at the end of the chain; its target is never an alias.
    pub route: &'a Arc<Route>,
    /// The priority class of the route that was named.
    pub priority: Priority,
    /// The shortest deadline along the chain, with that of the service at its end.
    pub deadline: Duration,
    /// Whether a request may be run more than once: only if the whole chain and the service at its
    /// end allow it, so that no alias makes a booking repeatable.
    pub repeatable: bool,
}

/// Why a route could not be resolved.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum ResolveError {
    /// A route of the chain does not exist.
    #[display("route \"{_0}\" does not exist")]
    MissingRoute(#[error(not(source))] Name),
    /// The chain leads back to one of its own routes; the names in order.
    #[display("the aliases form a cycle: {}", _0.join(" -> "))]
    Cycle(#[error(not(source))] Vec<Name>),
    /// The chain has more than [`MAX_ALIASES`] aliases.
    #[display("the route leads through more than {MAX_ALIASES} aliases")]
    ChainTooLong,
    /// The service at the end of the chain does not exist.
    #[display("service \"{_0}\" does not exist")]
    MissingService(#[error(not(source))] Name),
}

/// Follows the aliases from the route `name` to the route that names what serves it.
pub fn resolve_route<'a>(
    set: &'a ObjectSet,
    name: &str,
) -> Result<ResolvedRoute<'a>, ResolveError> {
    let chain = chain(set, name)?;
    let (first, last) = (chain[0], chain[chain.len() - 1]);
    let deadlines = chain.iter().map(|route| route.deadline);
    let mut resolved = ResolvedRoute {
        route: last,
        priority: first.priority,
        deadline: deadlines.min().unwrap_or(last.deadline),
        repeatable: chain.iter().all(|route| route.repeatable),
    };
    if let RouteTarget::Service(name) = &last.target {
        let Some(service) = set.services.get(name) else {
            return Err(ResolveError::MissingService(name.clone()));
        };
        resolved.deadline = resolved.deadline.min(service.deadline);
        resolved.repeatable &= service.repeatable;
    }
    Ok(resolved)
}

/// Returns the routes from `name` to the end of its aliases; there is at least one.
fn chain<'a>(set: &'a ObjectSet, name: &str) -> Result<Vec<&'a Arc<Route>>, ResolveError> {
    let mut chain: Vec<&Arc<Route>> = Vec::new();
    let mut name = name;
    loop {
        let Some(route) = set.routes.get(name) else {
            return Err(ResolveError::MissingRoute(name.into()));
        };
        let repeated = chain.iter().any(|known| known.name == route.name);
        chain.push(route);
        if repeated {
            let names = chain.iter().map(|route| route.name.clone());
            return Err(ResolveError::Cycle(names.collect()));
        }
        match &route.target {
            RouteTarget::Alias(_) if chain.len() > MAX_ALIASES => {
                return Err(ResolveError::ChainTooLong);
            }
            RouteTarget::Alias(next) => name = next,
            _ => return Ok(chain),
        }
    }
}
