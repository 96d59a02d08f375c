//! Kinds and keys of objects, and access to the objects of a set by key.

use std::collections::BTreeMap;
use std::sync::Arc;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::Adapter;
use crate::AdapterVersion;
use crate::Endpoint;
use crate::Model;
use crate::Name;
use crate::ObjectSet;
use crate::Policy;
use crate::Route;
use crate::Service;
use crate::Workspace;

/// The name of the policy object; a set has exactly one.
pub const POLICY_NAME: &str = "policy";

/// The kind of an object. Its text form is the name of the TOML table.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
#[display("{}", self.as_str())]
pub enum ObjectKind {
    /// A base model, [`Model`].
    Model,
    /// A LoRA adapter, [`Adapter`].
    Adapter,
    /// A version of an adapter, [`AdapterVersion`].
    Version,
    /// A name that callers request, [`Route`].
    Route,
    /// A model engine or service instance, [`Endpoint`].
    Endpoint,
    /// A service without a model, [`Service`].
    Service,
    /// A customer's workspace, [`Workspace`].
    Workspace,
    /// The settings of a whole set, [`Policy`].
    Policy,
}

impl ObjectKind {
    /// All kinds in ascending order.
    pub const ALL: [ObjectKind; 8] = [
        ObjectKind::Model,
        ObjectKind::Adapter,
        ObjectKind::Version,
        ObjectKind::Route,
        ObjectKind::Endpoint,
        ObjectKind::Service,
        ObjectKind::Workspace,
        ObjectKind::Policy,
    ];

    /// Returns the name of the kind's TOML table.
    pub fn as_str(self) -> &'static str {
        match self {
            ObjectKind::Model => "model",
            ObjectKind::Adapter => "adapter",
            ObjectKind::Version => "version",
            ObjectKind::Route => "route",
            ObjectKind::Endpoint => "endpoint",
            ObjectKind::Service => "service",
            ObjectKind::Workspace => "workspace",
            ObjectKind::Policy => "policy",
        }
    }

    /// Returns the kind whose TOML table has the name `table`.
    pub fn from_table(table: &str) -> Option<ObjectKind> {
        ObjectKind::ALL
            .into_iter()
            .find(|kind| kind.as_str() == table)
    }
}

/// The key of an object, unique within a set.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{kind} {name:?}")]
pub struct ObjectKey {
    /// The kind; names are unique only within one kind.
    pub kind: ObjectKind,
    /// The object's name; `adapter@version` for a version.
    pub name: Name,
}

impl ObjectKey {
    /// Creates the key of an object; for a version `name` is `adapter@version`.
    pub fn new(kind: ObjectKind, name: impl Into<Name>) -> Self {
        ObjectKey {
            kind,
            name: name.into(),
        }
    }
}

/// An object of any kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Object {
    /// A base model that engines run.
    Model(Arc<Model>),
    /// A LoRA adapter, without its weights.
    Adapter(Arc<Adapter>),
    /// The weights of an adapter in one version.
    Version(Arc<AdapterVersion>),
    /// A name that callers request.
    Route(Arc<Route>),
    /// A model engine or an instance of a service.
    Endpoint(Arc<Endpoint>),
    /// A service without a model.
    Service(Arc<Service>),
    /// A customer's workspace with its limits.
    Workspace(Arc<Workspace>),
    /// The settings of a whole set.
    Policy(Arc<Policy>),
}

impl Object {
    /// Returns the kind of the contained object.
    pub fn kind(&self) -> ObjectKind {
        match self {
            Object::Model(_) => ObjectKind::Model,
            Object::Adapter(_) => ObjectKind::Adapter,
            Object::Version(_) => ObjectKind::Version,
            Object::Route(_) => ObjectKind::Route,
            Object::Endpoint(_) => ObjectKind::Endpoint,
            Object::Service(_) => ObjectKind::Service,
            Object::Workspace(_) => ObjectKind::Workspace,
            Object::Policy(_) => ObjectKind::Policy,
        }
    }

    /// Returns the object's name; [`POLICY_NAME`] for the policy.
    pub fn name(&self) -> Name {
        match self {
            Object::Model(object) => object.name.clone(),
            Object::Adapter(object) => object.name.clone(),
            Object::Version(object) => object.name.clone(),
            Object::Route(object) => object.name.clone(),
            Object::Endpoint(object) => object.name.clone(),
            Object::Service(object) => object.name.clone(),
            Object::Workspace(object) => object.name.clone(),
            Object::Policy(_) => POLICY_NAME.into(),
        }
    }

    /// Returns the key under which a set holds the object.
    pub fn key(&self) -> ObjectKey {
        ObjectKey {
            kind: self.kind(),
            name: self.name(),
        }
    }
}

impl ObjectSet {
    /// Iterates over all objects ordered by kind and name, including the policy.
    pub fn objects(&self) -> impl Iterator<Item = Object> {
        let models = self.models.values().cloned().map(Object::Model);
        let adapters = self.adapters.values().cloned().map(Object::Adapter);
        let versions = self.versions.values().cloned().map(Object::Version);
        let routes = self.routes.values().cloned().map(Object::Route);
        let endpoints = self.endpoints.values().cloned().map(Object::Endpoint);
        let services = self.services.values().cloned().map(Object::Service);
        let workspaces = self.workspaces.values().cloned().map(Object::Workspace);
        let policy = Object::Policy(Arc::new(self.policy.clone()));
        models
            .chain(adapters)
            .chain(versions)
            .chain(routes)
            .chain(endpoints)
            .chain(services)
            .chain(workspaces)
            .chain([policy])
    }

    /// Returns the number of objects, not counting the policy.
    pub fn len(&self) -> usize {
        self.models.len()
            + self.adapters.len()
            + self.versions.len()
            + self.routes.len()
            + self.endpoints.len()
            + self.services.len()
            + self.workspaces.len()
    }

    /// Returns whether the set has no objects other than the policy.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the object with this key. The policy exists in every set.
    pub fn get(&self, key: &ObjectKey) -> Option<Object> {
        let name = &key.name;
        match key.kind {
            ObjectKind::Model => self.models.get(name).cloned().map(Object::Model),
            ObjectKind::Adapter => self.adapters.get(name).cloned().map(Object::Adapter),
            ObjectKind::Version => self.versions.get(name).cloned().map(Object::Version),
            ObjectKind::Route => self.routes.get(name).cloned().map(Object::Route),
            ObjectKind::Endpoint => self.endpoints.get(name).cloned().map(Object::Endpoint),
            ObjectKind::Service => self.services.get(name).cloned().map(Object::Service),
            ObjectKind::Workspace => self.workspaces.get(name).cloned().map(Object::Workspace),
            ObjectKind::Policy => Some(Object::Policy(Arc::new(self.policy.clone()))),
        }
    }

    /// Returns whether the set has an object of this kind and name.
    pub fn contains(&self, kind: ObjectKind, name: &str) -> bool {
        match kind {
            ObjectKind::Model => self.models.contains_key(name),
            ObjectKind::Adapter => self.adapters.contains_key(name),
            ObjectKind::Version => self.versions.contains_key(name),
            ObjectKind::Route => self.routes.contains_key(name),
            ObjectKind::Endpoint => self.endpoints.contains_key(name),
            ObjectKind::Service => self.services.contains_key(name),
            ObjectKind::Workspace => self.workspaces.contains_key(name),
            ObjectKind::Policy => name == POLICY_NAME,
        }
    }

    /// Inserts an object, replacing any object with the same key.
    pub fn insert(&mut self, object: Object) {
        match object {
            Object::Model(object) => insert(&mut self.models, &object.name.clone(), object),
            Object::Adapter(object) => insert(&mut self.adapters, &object.name.clone(), object),
            Object::Version(object) => insert(&mut self.versions, &object.name.clone(), object),
            Object::Route(object) => insert(&mut self.routes, &object.name.clone(), object),
            Object::Endpoint(object) => insert(&mut self.endpoints, &object.name.clone(), object),
            Object::Service(object) => insert(&mut self.services, &object.name.clone(), object),
            Object::Workspace(object) => insert(&mut self.workspaces, &object.name.clone(), object),
            Object::Policy(object) => self.policy = Arc::unwrap_or_clone(object),
        }
    }

    /// Removes the object with this key, if any. Removing the policy resets it to its default.
    pub fn remove(&mut self, key: &ObjectKey) {
        let name = &key.name;
        match key.kind {
            ObjectKind::Model => drop(self.models.remove(name)),
            ObjectKind::Adapter => drop(self.adapters.remove(name)),
            ObjectKind::Version => drop(self.versions.remove(name)),
            ObjectKind::Route => drop(self.routes.remove(name)),
            ObjectKind::Endpoint => drop(self.endpoints.remove(name)),
            ObjectKind::Service => drop(self.services.remove(name)),
            ObjectKind::Workspace => drop(self.workspaces.remove(name)),
            ObjectKind::Policy => self.policy = Policy::default(),
        }
    }
}

fn insert<T>(map: &mut BTreeMap<Name, Arc<T>>, name: &Name, object: Arc<T>) {
    map.insert(name.clone(), object);
}
