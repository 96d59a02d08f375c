//! The resolved routes of one generation: from a caller's name to a target without scanning.
//!
//! Invariant: a table is built once per adopted generation and never changes, so a request that
//! holds its [`Resolved`] keeps version, weights and generation for its lifetime.

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
    /// Engines with this model.
    #[display("model {_0}")]
    Model(Name),
    /// Instances of this plain service.
    #[display("service {_0}")]
    Service(Name),
}

/// One possible target of a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The target.
    pub target: Target,
    /// The endpoints that can serve it.
    pub pool: Pool,
    /// The adapter, if the target is an adapter version.
    pub adapter: Option<Name>,
    /// The version within the adapter, if the target is an adapter version.
    pub version: Option<Name>,
    /// The sum of the weights up to and including this choice.
    bound: u64,
}

/// A route as callers use it, with aliases followed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResolvedRoute {
    /// The name that the caller uses.
    pub name: Name,
    /// The workspace that owns the route.
    pub workspace: Name,
    /// The priority class of the caller's route.
    pub priority: Priority,
    /// The shortest deadline along the chain.
    pub deadline: Duration,
    /// Whether every object along the chain allows a request to run more than once.
    pub repeatable: bool,
    /// The possible targets, each with a weight above zero.
    pub choices: Vec<Arc<Choice>>,
    /// The hash of the name of the route at the end of the alias chain.
    seed: u64,
}

impl ResolvedRoute {
    /// Returns the target for a conversation; the same key always gets the same one.
    ///
    /// A change of weights moves only the share of the conversations that the change requires.
    pub fn choose(&self, conversation: &str) -> &Arc<Choice> {
        let last = &self.choices[self.choices.len() - 1];
        if self.choices.len() == 1 {
            return last;
        }
        let hash = combine(self.seed, hash_text(conversation));
        let point = ((u128::from(hash) * u128::from(last.bound)) >> 64) as u64;
        self.choices
            .iter()
            .find(|choice| point < choice.bound)
            .unwrap_or(last)
    }

    /// Returns whether the route leads to a plain service.
    pub fn is_service(&self) -> bool {
        self.choices
            .iter()
            .any(|choice| matches!(choice.pool, Pool::Service(_)))
    }
}

/// What a request was resolved to, kept for its lifetime and that of its retries.
#[derive(Clone, Debug)]
pub struct Resolved {
    /// The configuration in force at the time.
    pub head: Head,
    /// The route.
    pub route: Arc<ResolvedRoute>,
    /// The target.
    pub choice: Arc<Choice>,
}

/// Why a name could not be resolved.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Unresolved {
    /// The workspace does not exist.
    #[display("the workspace does not exist")]
    Workspace,
    /// The workspace has no such route. Routes of other workspaces are not looked at.
    #[display("the workspace has no route of that name")]
    Route,
}

/// A workspace with its routes.
#[derive(Clone, Debug)]
pub struct WorkspaceRoutes {
    /// The workspace object.
    pub workspace: Arc<Workspace>,
    /// The routes by the caller's name.
    pub routes: Map<Name, Arc<ResolvedRoute>>,
}

/// All routes of one generation.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    head: Head,
    tenants: Map<Name, WorkspaceRoutes>,
    broken: Vec<Name>,
}

impl RouteTable {
    /// Builds the table of a validated set.
    ///
    /// A route that leads nowhere, which validation prevents, is left out and listed by
    /// [`RouteTable::unresolved_routes`].
    pub fn build(head: Head, set: &ObjectSet) -> Self {
        let mut table = RouteTable {
            head,
            ..RouteTable::default()
        };
        for (name, workspace) in &set.workspaces {
            let tenant = WorkspaceRoutes {
                workspace: workspace.clone(),
                routes: Map::default(),
            };
            table.tenants.insert(name.clone(), tenant);
        }
        for route in set.routes.values() {
            table.insert(set, route);
        }
        table
    }

    fn insert(&mut self, set: &ObjectSet, route: &Route) {
        let resolved = resolve_route(set, route);
        let tenant = self.tenants.get_mut(&route.workspace);
        let (Some(resolved), Some(tenant)) = (resolved, tenant) else {
            self.broken.push(route.name.clone());
            return;
        };
        tenant.routes.insert(route.name.clone(), Arc::new(resolved));
    }

    /// Returns the configuration that the table was built from.
    pub fn head(&self) -> &Head {
        &self.head
    }

    /// Returns the routes that lead nowhere.
    pub fn unresolved_routes(&self) -> &[Name] {
        &self.broken
    }

    /// Returns a workspace with its routes.
    pub fn workspace(&self, workspace: &str) -> Option<&WorkspaceRoutes> {
        self.tenants.get(workspace)
    }

    /// Returns all workspaces.
    pub fn workspaces(&self) -> impl Iterator<Item = &WorkspaceRoutes> {
        self.tenants.values()
    }

    /// Returns what `name` of `workspace` leads to for a conversation.
    pub fn resolve(
        &self,
        workspace: &str,
        name: &str,
        conversation: &str,
    ) -> Result<Resolved, Unresolved> {
        let tenant = self.tenants.get(workspace).ok_or(Unresolved::Workspace)?;
        let route = tenant.routes.get(name).ok_or(Unresolved::Route)?;
        Ok(Resolved {
            head: self.head.clone(),
            route: route.clone(),
            choice: route.choose(conversation).clone(),
        })
    }
}

fn resolve_route(set: &ObjectSet, route: &Route) -> Option<ResolvedRoute> {
    let resolved = objects::resolve(set, &route.name).ok()?;
    Some(ResolvedRoute {
        name: route.name.clone(),
        workspace: route.workspace.clone(),
        priority: resolved.priority,
        deadline: resolved.deadline,
        repeatable: resolved.repeatable,
        choices: route_choices(set, &resolved.route.target)?,
        seed: hash_text(&resolved.route.name),
    })
}

fn route_choices(set: &ObjectSet, target: &RouteTarget) -> Option<Vec<Arc<Choice>>> {
    let plain = |target, pool| {
        vec![Arc::new(Choice {
            target,
            pool,
            adapter: None,
            version: None,
            bound: 1,
        })]
    };
    match target {
        RouteTarget::Alias(_) => None,
        RouteTarget::Model(name) => {
            let base = set.models.get(name)?.base.clone();
            Some(plain(Target::Model(base), Pool::Model(name.clone())))
        }
        RouteTarget::Service(name) => {
            let target = Target::Service(name.clone());
            Some(plain(target, Pool::Service(name.clone())))
        }
        RouteTarget::Versions(versions) => {
            let mut choices = Vec::with_capacity(versions.len());
            let mut bound = 0;
            for weighted in versions.iter().filter(|version| version.weight > 0) {
                bound += u64::from(weighted.weight);
                choices.push(Arc::new(version_choice(set, &weighted.version, bound)?));
            }
            (!choices.is_empty()).then_some(choices)
        }
    }
}

fn version_choice(set: &ObjectSet, name: &Name, bound: u64) -> Option<Choice> {
    let version = set.versions.get(name)?;
    let adapter = set.adapters.get(&version.adapter)?;
    let short = name.rsplit_once('@').map(|(_, short)| Name::from(short));
    Some(Choice {
        target: Target::Version {
            name: version.name.clone(),
            weights: version.weights.clone(),
            digest: version.digest.clone(),
        },
        pool: Pool::Model(adapter.model.clone()),
        adapter: Some(adapter.name.clone()),
        version: short,
        bound,
    })
}
