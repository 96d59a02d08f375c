//! The configuration that operators put in force: routes, services and limits.

use std::time::Duration;

use decision::collections::Map;

use crate::Name;

/// Whether and how a request may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// It may run more than once.
    Idempotent,
    /// It runs at most once.
    NonIdempotent,
    /// Its answer is a stream of events.
    Stream {
        /// Whether another runner may go on after the last event that was delivered.
        resumable: bool,
    },
}

impl RouteKind {
    /// Returns whether a second run is allowed after the first may have begun.
    pub fn is_repeatable(self) -> bool {
        match self {
            RouteKind::Idempotent => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Stream { resumable } => resumable,
        }
    }

    /// Returns whether the answer is a stream.
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream { .. })
    }
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: Name,
    /// The host it matches, in lowercase.
    pub host: Name,
    /// The path prefix it matches.
    pub prefix: Name,
    /// What may be repeated.
    pub kind: RouteKind,
    /// The longest time that a request may take.
    pub timeout: Duration,
    /// The time to the answer, or its first event, that earns full value.
    pub goal: Duration,
    /// The longest pause between events that counts as on time.
    pub gap_goal: Duration,
    /// The rank; 0 is the most urgent.
    pub priority: u8,
    /// The services with their weights; a weight of 0 takes no requests.
    pub targets: Vec<(Name, u32)>,
    /// The most runners that one request may be sent to.
    pub max_attempts: u32,
}

/// A model and what it takes to hold it.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// Its name.
    pub name: Name,
    /// The size of its weights, in MB.
    pub weights_mb: f64,
    /// The size of one of its adapters, in MB.
    pub adapter_mb: f64,
    /// The time of a load of its weights from the weight store.
    pub load_time: Duration,
}

/// The model engine of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// The memory of a runner for weights and adapters, in MB.
    pub weights_mb: f64,
    /// The adapters that a runner holds at most, those on their way included.
    pub adapter_slots: u32,
    /// The models.
    pub models: Vec<Model>,
}

/// One service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: Name,
    /// Connections that one runner accepts from all callers.
    pub max_conns: u32,
    /// The model engine, if its runners have one.
    pub engine: Option<Engine>,
}

/// What a caller may send and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// The largest head of a request, in bytes.
    pub header_bytes: usize,
    /// The largest body of a request, in bytes.
    pub body_bytes: usize,
    /// The longest time for sending a head or the next part of a body.
    pub read_timeout: Duration,
    /// The longest time that a connection may be idle.
    pub idle_timeout: Duration,
}

/// One version of the configuration.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its version; higher ones replace lower ones.
    pub version: u64,
    /// The services by name.
    pub services: Map<Name, Service>,
    /// The limits for callers.
    pub limits: Limits,
    hosts: Map<Name, Vec<Route>>,
}

impl Config {
    /// Builds a configuration and its route table.
    pub fn new(version: u64, routes: Vec<Route>, services: Vec<Service>, limits: Limits) -> Self {
        let mut hosts: Map<Name, Vec<Route>> = Map::default();
        for route in routes {
            hosts.entry(route.host.clone()).or_default().push(route);
        }
        for list in hosts.values_mut() {
            list.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let services = services
            .into_iter()
            .map(|service| (service.name.clone(), service))
            .collect();
        Config {
            version,
            services,
            limits,
            hosts,
        }
    }

    /// Returns the route with the longest prefix of `path` on this host.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let list = self.hosts.get(host)?;
        list.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns all routes.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.hosts.values().flatten()
    }

    /// Returns the engine of a service.
    pub fn engine(&self, service: &str) -> Option<&Engine> {
        self.services.get(service)?.engine.as_ref()
    }
}

impl Route {
    /// Returns the service for a request; `draw` is a random number that spreads by weight.
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
