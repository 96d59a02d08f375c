//! The membership view that a process builds from the platform's list.

use std::net::SocketAddr;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::collections::Map;

/// What an instance runs.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// An entry.
    #[display("entry")]
    Entry,
    /// An agent beside an endpoint.
    #[display("agent")]
    Agent,
}

/// The state of an instance in the list.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Liveness {
    /// The instance is live.
    #[display("live")]
    Live,
    /// The instance is leaving.
    #[display("leaving")]
    Leaving,
}

/// One instance of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// The name of the instance; an agent's is the name of its endpoint.
    pub name: String,
    /// The role.
    pub role: Role,
    /// The state.
    pub state: Liveness,
    /// The peer address.
    pub peer: SocketAddr,
    /// The region.
    pub region: String,
    /// The failure domain.
    pub domain: String,
}

/// The changes of the list since a version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberChanges {
    /// The version after these changes.
    pub version: u64,
    /// Whether `changed` is the whole list rather than a difference.
    pub whole: bool,
    /// New and changed instances.
    pub changed: Vec<Instance>,
    /// Names of instances that are gone.
    pub gone: Vec<String>,
}

/// The instances that a process knows of. The list lags: an instance in it may be gone, and one
/// that is missing may be live.
#[derive(Clone, Debug, Default)]
pub struct Membership {
    version: u64,
    epoch: u64,
    instances: Map<String, Instance>,
}

impl Membership {
    /// Returns the list version that was applied last; the next read asks for changes since it.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns a number that is raised by each change of the view.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Applies changes and returns whether the view is different now. Changes older than the view
    /// are ignored, so that a late answer cannot bring back an instance that is gone.
    pub fn apply(&mut self, changes: MemberChanges) -> bool {
        if changes.version < self.version && !changes.whole {
            return false;
        }
        let mut differs = false;
        if changes.whole {
            let before = self.instances.len();
            let keep = |name: &String| changes.changed.iter().any(|item| item.name == *name);
            self.instances.retain(|name, _| keep(name));
            differs = before != self.instances.len();
        }
        for name in &changes.gone {
            differs |= self.instances.remove(name).is_some();
        }
        for instance in changes.changed {
            differs |= self.instances.get(&instance.name) != Some(&instance);
            self.instances.insert(instance.name.clone(), instance);
        }
        self.version = changes.version;
        self.epoch += u64::from(differs);
        differs
    }

    /// Returns one instance.
    pub fn get(&self, name: &str) -> Option<&Instance> {
        self.instances.get(name)
    }

    /// Returns all instances, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Instance> {
        self.instances.values()
    }

    /// Returns the number of instances.
    pub fn len(&self) -> usize {
        self.instances.len()
    }

    /// Returns whether no instance is known.
    pub fn is_empty(&self) -> bool {
        self.instances.is_empty()
    }
}
