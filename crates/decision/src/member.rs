//! The membership view that a process builds from the platform's instance list.

use std::net::SocketAddr;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::collections::Map;

/// The program that an instance runs.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// An entry, which accepts requests from callers.
    #[display("entry")]
    Entry,
    /// An agent, which runs next to an endpoint.
    #[display("agent")]
    Agent,
}

/// The state of an instance as shown in the instance list.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Liveness {
    /// The instance is running and is not leaving.
    #[display("live")]
    Live,
    /// The instance is going to stop and gets no new work.
    #[display("leaving")]
    Leaving,
}

/// One instance in the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Name of the instance; an agent has the name of its endpoint.
    pub name: String,
    /// Which program the instance runs.
    pub role: Role,
    /// Whether the instance is live or leaving.
    pub state: Liveness,
    /// Address at which the instance accepts connections from other processes.
    pub peer: SocketAddr,
    /// Region that the instance runs in.
    pub region: String,
    /// Failure domain that the instance runs in.
    pub domain: String,
}

/// The changes to the instance list since a version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberChanges {
    /// Version of the list after these changes.
    pub version: u64,
    /// Whether `changed` is the complete list rather than a difference.
    pub whole: bool,
    /// Added and changed instances.
    pub changed: Vec<Instance>,
    /// Names of removed instances.
    pub gone: Vec<String>,
}

/// The instances known to a process.
///
/// The list is eventually consistent: a listed instance may be gone, and a missing one may be live.
#[derive(Clone, Debug, Default)]
pub struct Membership {
    version: u64,
    epoch: u64,
    instances: Map<String, Instance>,
}

impl Membership {
    /// Returns the version of the last applied changes; the next read requests the changes since
    /// it.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns a counter that increases whenever the view changes.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Applies changes and returns whether they changed the view.
    ///
    /// Changes older than the view are ignored unless they are a complete list, so that a delayed
    /// response cannot restore a removed instance.
    pub fn apply(&mut self, changes: MemberChanges) -> bool {
        if changes.version < self.version && !changes.whole {
            return false;
        }
        let mut view_changed = false;
        if changes.whole {
            let count_before = self.instances.len();
            let is_listed = |name: &String| changes.changed.iter().any(|item| item.name == *name);
            self.instances.retain(|name, _| is_listed(name));
            view_changed = count_before != self.instances.len();
        }
        for name in &changes.gone {
            view_changed |= self.instances.remove(name).is_some();
        }
        for instance in changes.changed {
            view_changed |= self.instances.get(&instance.name) != Some(&instance);
            self.instances.insert(instance.name.clone(), instance);
        }
        self.version = changes.version;
        self.epoch += u64::from(view_changed);
        view_changed
    }

    /// Returns the instance with this name, or `None` if it is not listed.
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

    /// Returns whether the view contains no instances.
    pub fn is_empty(&self) -> bool {
        self.instances.is_empty()
    }
}
