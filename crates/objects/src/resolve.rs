//! Resolution of the aliases between routes.

use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;

use crate::Name;
use crate::ObjectSet;
use crate::Priority;
use crate::Route;
use crate::RouteTarget;

/// The maximum number of aliases between a route and what serves it.
pub const MAX_ALIASES: usize = 32;

/// A route after the resolution of its aliases, with the settings that apply to its requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResolvedRoute<'a> {
    /// The route at the end of the chain; its target is never an alias.
    pub route: &'a Arc<Route>,
    /// The priority class of the requested route, the first of the chain.
    pub priority: Priority,
    /// The shortest deadline of all routes of the chain and of the service at its end, if any.
    pub deadline: Duration,
    /// Whether a request may be run more than once. All routes of the chain and the service at its
    /// end have to allow it, so that an alias cannot make a non-repeatable request repeatable.
    pub repeatable: bool,
}

/// An error of the resolution of a route.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum ResolveError {
    /// A route of the chain does not exist.
    #[display("route \"{_0}\" does not exist")]
    MissingRoute(#[error(not(source))] Name),
    /// The aliases form a cycle. Contains the routes of the chain in order; the last one is the
    /// repeated route.
    #[display("the aliases form a cycle: {}", _0.join(" -> "))]
    Cycle(#[error(not(source))] Vec<Name>),
    /// The chain has more than [`MAX_ALIASES`] aliases.
    #[display("the alias chain has more than {MAX_ALIASES} aliases")]
    ChainTooLong,
    /// The service at the end of the chain does not exist.
    #[display("service \"{_0}\" does not exist")]
    MissingService(#[error(not(source))] Name),
}

/// Resolves the route `name` by following its aliases.
///
/// # Errors
///
/// Fails if a route of the chain or the service at its end does not exist, if the aliases form a
/// cycle, or if there are more than [`MAX_ALIASES`] of them.
pub fn resolve_route<'a>(
    set: &'a ObjectSet,
    name: &str,
) -> Result<ResolvedRoute<'a>, ResolveError> {
    let chain = alias_chain(set, name)?;
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

/// Returns the routes from `name` to the first one that is not an alias; there is at least one.
fn alias_chain<'a>(set: &'a ObjectSet, name: &str) -> Result<Vec<&'a Arc<Route>>, ResolveError> {
    let mut chain: Vec<&Arc<Route>> = Vec::new();
    let mut name = name;
    loop {
        let Some(route) = set.routes.get(name) else {
            return Err(ResolveError::MissingRoute(name.into()));
        };
        let repeated = chain.iter().any(|seen| seen.name == route.name);
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
