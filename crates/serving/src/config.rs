//! The configuration published by operators: routes, services and limits.

use std::time::Duration;

use decision::collections::Map;
use decision::collections::Set;

use crate::Name;
use crate::store_era::RestoreCount;
use crate::tenants::Tenants;

/// Whether and how the requests of a route may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request must not run more than once.
    NonIdempotent,
    /// The response is a stream of events.
    Stream {
        /// Whether another runner can continue the stream after the last event that the caller
        /// received.
        resumable: bool,
    },
}

impl RouteKind {
    /// Returns whether a request may be sent again after it may have run.
    pub fn is_repeatable(self) -> bool {
        match self {
            RouteKind::Idempotent => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Stream { resumable } => resumable,
        }
    }

    /// Returns whether the response is a stream.
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream { .. })
    }
}

/// A route: which requests it matches, and how they are served.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The name by which logs identify the route.
    pub name: Name,
    /// The host it matches, in lowercase.
    pub host: Name,
    /// The path prefix it matches.
    pub prefix: Name,
    /// Whether and how its requests may be repeated.
    pub kind: RouteKind,
    /// The time limit of a request from its arrival to the end of its response.
    pub timeout: Duration,
    /// The latency objective: the target time to the response, or to its first event.
    pub goal: Duration,
    /// The target for the longest gap between two events of a stream.
    pub gap_goal: Duration,
    /// The priority; 0 is the most urgent.
    pub priority: u8,
    /// The services that requests are distributed to, with their weights; a service with weight 0
    /// receives no requests.
    pub targets: Vec<(Name, u32)>,
    /// The maximum number of runners that one request may be sent to.
    pub max_attempts: u32,
    /// Whether requests need no key of a tenant.
    pub public: bool,
}

/// A model and the resources that it needs.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// The name by which requests and runners refer to the model.
    pub name: Name,
    /// The size of its weights, in MB.
    pub weights_mb: f64,
    /// The size of one of its adapters, in MB.
    pub adapter_mb: f64,
    /// The time for loading its weights from the weight store.
    pub load_time: Duration,
}

/// The model engine of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// The memory of a runner for model weights and adapters, in MB.
    pub weights_mb: f64,
    /// The maximum number of adapters at a runner, including those that are loading.
    pub adapter_slots: u32,
    /// The models of the service.
    pub models: Vec<Model>,
}

/// A service: a group of interchangeable runners.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The name by which routes and membership records refer to the service.
    pub name: Name,
    /// The maximum number of connections that one runner accepts from all clients.
    pub max_conns: u32,
    /// The model engine of its runners; `None` if they have none.
    pub engine: Option<Engine>,
}

/// Limits on the requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// The maximum size of a request head, in bytes.
    pub header_bytes: usize,
    /// The maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// The time limit for receiving a request head or the next part of a body.
    pub read_timeout: Duration,
    /// The time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

/// Whether a configuration that the store has replaces the one in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Precedence {
    /// It takes effect.
    Newer,
    /// It is the one in force.
    Same,
    /// It was in force before, or was overtaken. A copy of the store may have it until the operator has
    /// written the newer one again.
    Older,
}

/// A version of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// The version number; a higher one replaces a lower one.
    pub version: u64,
    /// The services that routes refer to, keyed by [`Service::name`].
    pub services: Map<Name, Service>,
    /// The limits for callers.
    pub limits: Limits,
    /// The tenants; `None` if requests need no key.
    tenants: Option<Tenants>,
    /// The routes of each host, longest prefix first.
    hosts: Map<Name, Vec<Route>>,
    /// The shortest latency objective of the routes to each service.
    least_goals: Map<Name, Duration>,
}

impl Config {
    /// Creates a configuration and builds its route table.
    pub fn new(version: u64, routes: Vec<Route>, services: Vec<Service>, limits: Limits) -> Self {
        let mut hosts: Map<Name, Vec<Route>> = Map::default();
        let mut least_goals: Map<Name, Duration> = Map::default();
        for route in routes {
            for (service, _) in &route.targets {
                let least = least_goals.entry(service.clone()).or_insert(route.goal);
                *least = route.goal.min(*least);
            }
            hosts.entry(route.host.clone()).or_default().push(route);
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let services = services
            .into_iter()
            .map(|service| (service.name.clone(), service))
            .collect();
        Config {
            version,
            services,
            limits,
            tenants: None,
            hosts,
            least_goals,
        }
    }

    /// Returns the names of the services, and of those that routes lead to.
    pub fn service_names(&self) -> Set<Name> {
        let routes = self.hosts.values().flatten();
        let targets = routes.flat_map(|route| route.targets.iter().map(|(service, _)| service));
        self.services.keys().chain(targets).cloned().collect()
    }

    /// Makes requests need the key of a tenant, but for those of public routes.
    #[must_use]
    pub fn with_tenants(self, tenants: Tenants) -> Self {
        Config {
            tenants: Some(tenants),
            ..self
        }
    }

    /// Returns the tenants; `None` if requests need no key.
    pub fn tenants(&self) -> Option<&Tenants> {
        self.tenants.as_ref()
    }

    /// Compares this configuration, read after so many `restores` of the store, with the one in force and
    /// the restores before that was read. A version that was lost in a restore may be given out again with
    /// another content, which then takes effect.
    pub fn precedence(
        &self,
        restores: RestoreCount,
        known: Option<(&Config, RestoreCount)>,
    ) -> Precedence {
        let Some((known, known_restores)) = known else {
            return Precedence::Newer;
        };
        if self.version > known.version {
            return Precedence::Newer;
        }
        if self.version < known.version {
            return Precedence::Older;
        }
        if restores > known_restores && self != known {
            return Precedence::Newer;
        }
        Precedence::Same
    }

    /// Returns the shortest latency objective of the routes to a service; zero if there is none.
    pub fn least_goal(&self, service: &str) -> Duration {
        let least = self.least_goals.get(service);
        least.copied().unwrap_or_default()
    }

    /// Returns the route of this host with the longest prefix that `path` starts with.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let routes = self.hosts.get(host)?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns the routes of all hosts, in no particular order of hosts.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.hosts.values().flatten()
    }

    /// Returns the model engine of a service; `None` if the service is unknown or has none.
    pub fn engine(&self, service: &str) -> Option<&Engine> {
        self.services.get(service)?.engine.as_ref()
    }
}

impl Route {
    /// Picks the service for a request by weight; `draw` is a uniformly distributed random number.
    /// Returns `None` if the total weight is 0.
    pub fn pick_service(&self, draw: u64) -> Option<&Name> {
        let total: u64 = self
            .targets
            .iter()
            .map(|(_, weight)| u64::from(*weight))
            .sum();
        if total == 0 {
            return None;
        }
        let mut point = draw % total;
        for (service, weight) in &self.targets {
            let weight = u64::from(*weight);
            if point < weight {
                return Some(service);
            }
            point -= weight;
        }
        None
    }
}
