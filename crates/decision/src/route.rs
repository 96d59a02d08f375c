//! The route table of one generation, which resolves a route name to a target by hash look-ups.
//!
//! Invariant: a table is built once per adopted generation and is immutable, so a request that
//! holds its [`Resolved`] keeps the same version, weights and generation for its lifetime.

use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use objects::ObjectSet;
use objects::Route;
use objects::RouteTarget;
use objects::Workspace;

use crate::collections::Map;
use crate::hash::combine;
use crate::hash::hash_text;
use crate::ids::Head;
use crate::ids::Name;
use crate::ids::Priority;
use crate::job::Target;

/// The endpoints that can serve a target.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Pool {
    /// Engines that run this model.
    #[display("model {_0}")]
    Model(Name),
    /// Instances of this service, which has no model.
    #[display("service {_0}")]
    Service(Name),
}

/// One possible target of a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// Adapter version, base model or service that serves the request.
    pub target: Target,
    /// Endpoints that can serve the target.
    pub pool: Pool,
    /// Name of the adapter, or `None` if the target is not an adapter version.
    pub adapter: Option<Name>,
    /// Name of the version without the adapter, or `None` if the target is not an adapter version.
    pub version: Option<Name>,
    /// Sum of the weights up to and including this choice.
    cumulative_weight: u64,
}

/// A route with its aliases resolved.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResolvedRoute {
    /// Name that the caller uses.
    pub name: Name,
    /// Workspace that owns the route.
    pub workspace: Name,
    /// Priority class of the route that the caller uses.
    pub priority: Priority,
    /// Shortest deadline of the routes and the service along the alias chain.
    pub deadline: Duration,
    /// Whether every object along the alias chain allows a request to run more than once.
    pub repeatable: bool,
    /// Possible targets, at least one, each with a weight above zero.
    pub choices: Vec<Arc<Choice>>,
    /// Hash of the name of the route at the end of the alias chain.
    hash_seed: u64,
}

impl ResolvedRoute {
    /// Returns the target for a conversation; the same key always gets the same target.
    ///
    /// A change of weights reassigns only the share of conversations that the change requires.
    pub fn choose(&self, conversation: &str) -> &Arc<Choice> {
        let last = &self.choices[self.choices.len() - 1];
        if self.choices.len() == 1 {
            return last;
        }
        let hash = combine(self.hash_seed, hash_text(conversation));
        let point = ((u128::from(hash) * u128::from(last.cumulative_weight)) >> 64) as u64;
        self.choices
            .iter()
            .find(|choice| point < choice.cumulative_weight)
            .unwrap_or(last)
    }

    /// Returns whether the target is a service rather than a model or an adapter version.
    pub fn is_service(&self) -> bool {
        self.choices
            .iter()
            .any(|choice| matches!(choice.pool, Pool::Service(_)))
    }
}

/// The result of resolving a request, kept for the request and all its retries.
#[derive(Clone, Debug)]
pub struct Resolved {
    /// Configuration that the request was resolved with.
    pub head: Head,
    /// Route that the caller named.
    pub route: Arc<ResolvedRoute>,
    /// Target chosen for the conversation.
    pub choice: Arc<Choice>,
}

/// The reason why a route name could not be resolved.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Unresolved {
    /// The workspace does not exist.
    #[display("the workspace does not exist")]
    Workspace,
    /// The workspace has no route of this name. Routes of other workspaces are not considered.
    #[display("the workspace has no route of that name")]
    Route,
}

/// A workspace object and the routes that its callers can use.
#[derive(Clone, Debug)]
pub struct WorkspaceRoutes {
    /// Workspace object, with its limits.
    pub workspace: Arc<Workspace>,
    /// Routes by the name that callers use.
    pub routes: Map<Name, Arc<ResolvedRoute>>,
}

/// The routes of all workspaces of one generation.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    head: Head,
    workspaces: Map<Name, WorkspaceRoutes>,
    unresolved: Vec<Name>,
}

impl RouteTable {
    /// Builds the table of a validated set.
    ///
    /// A route without a valid target, which validation rules out, is omitted and listed by
    /// [`RouteTable::unresolved_routes`].
    pub fn build(head: Head, set: &ObjectSet) -> Self {
        let mut table = RouteTable {
            head,
            ..RouteTable::default()
        };
        for (name, workspace) in &set.workspaces {
            let workspace_routes = WorkspaceRoutes {
                workspace: workspace.clone(),
                routes: Map::default(),
            };
            table.workspaces.insert(name.clone(), workspace_routes);
        }
        for route in set.routes.values() {
            table.insert(set, route);
        }
        table
    }

    fn insert(&mut self, set: &ObjectSet, route: &Route) {
        let resolved = resolve_route(set, route);
        let workspace_routes = self.workspaces.get_mut(&route.workspace);
        let (Some(resolved), Some(workspace_routes)) = (resolved, workspace_routes) else {
            self.unresolved.push(route.name.clone());
            return;
        };
        workspace_routes
            .routes
            .insert(route.name.clone(), Arc::new(resolved));
    }

    /// Returns the configuration that the table was built from.
    pub fn head(&self) -> &Head {
        &self.head
    }

    /// Returns the names of the routes that have no valid target.
    pub fn unresolved_routes(&self) -> &[Name] {
        &self.unresolved
    }

    /// Returns the routes of a workspace, or `None` if the workspace does not exist.
    pub fn workspace(&self, workspace: &str) -> Option<&WorkspaceRoutes> {
        self.workspaces.get(workspace)
    }

    /// Returns the routes of every workspace, in no particular order.
    pub fn workspaces(&self) -> impl Iterator<Item = &WorkspaceRoutes> {
        self.workspaces.values()
    }

    /// Resolves route `name` of `workspace` and chooses the target for a conversation.
    pub fn resolve(
        &self,
        workspace: &str,
        name: &str,
        conversation: &str,
    ) -> Result<Resolved, Unresolved> {
        let workspace_routes = self
            .workspaces
            .get(workspace)
            .ok_or(Unresolved::Workspace)?;
        let route = workspace_routes.routes.get(name).ok_or(Unresolved::Route)?;
        Ok(Resolved {
            head: self.head.clone(),
            route: route.clone(),
            choice: route.choose(conversation).clone(),
        })
    }
}

fn resolve_route(set: &ObjectSet, route: &Route) -> Option<ResolvedRoute> {
    let resolved = objects::resolve_route(set, &route.name).ok()?;
    Some(ResolvedRoute {
        name: route.name.clone(),
        workspace: route.workspace.clone(),
        priority: resolved.priority,
        deadline: resolved.deadline,
        repeatable: resolved.repeatable,
        choices: route_choices(set, &resolved.route.target)?,
        hash_seed: hash_text(&resolved.route.name),
    })
}

fn route_choices(set: &ObjectSet, target: &RouteTarget) -> Option<Vec<Arc<Choice>>> {
    let single_choice = |target, pool| {
        vec![Arc::new(Choice {
            target,
            pool,
            adapter: None,
            version: None,
            cumulative_weight: 1,
        })]
    };
    match target {
        RouteTarget::Alias(_) => None,
        RouteTarget::Model(name) => {
            let base = set.models.get(name)?.base.clone();
            Some(single_choice(
                Target::Model(base),
                Pool::Model(name.clone()),
            ))
        }
        RouteTarget::Service(name) => {
            let target = Target::Service(name.clone());
            Some(single_choice(target, Pool::Service(name.clone())))
        }
        RouteTarget::Versions(versions) => {
            let mut choices = Vec::with_capacity(versions.len());
            let mut cumulative_weight = 0;
            for weighted in versions.iter().filter(|version| version.weight > 0) {
                cumulative_weight += u64::from(weighted.weight);
                choices.push(Arc::new(version_choice(
                    set,
                    &weighted.version,
                    cumulative_weight,
                )?));
            }
            (!choices.is_empty()).then_some(choices)
        }
    }
}

fn version_choice(set: &ObjectSet, name: &Name, cumulative_weight: u64) -> Option<Choice> {
    let version = set.versions.get(name)?;
    let adapter = set.adapters.get(&version.adapter)?;
    let version_suffix = name.rsplit_once('@').map(|(_, suffix)| Name::from(suffix));
    Some(Choice {
        target: Target::Version {
            name: version.name.clone(),
            weights: version.weights.clone(),
            digest: version.digest.clone(),
        },
        pool: Pool::Model(adapter.model.clone()),
        adapter: Some(adapter.name.clone()),
        version: version_suffix,
        cumulative_weight,
    })
}
