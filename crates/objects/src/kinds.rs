//! The kinds of objects and the set that holds them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::Name;

/// The priority class of a request, from the first served to the first shed.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// A person waits for the answer.
    #[default]
    #[display("interactive")]
    Interactive,
    /// A booking or an order.
    #[display("booking")]
    Booking,
    /// Batch work that has to be done by its deadline.
    #[display("overnight")]
    Overnight,
}

/// A base model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Model {
    /// The name.
    pub name: Name,
    /// The engine-side identifier.
    pub base: Name,
    /// The context length in tokens, if declared.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub context: Option<u32>,
}

/// A LoRA adapter of one workspace for one model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Adapter {
    /// The name.
    pub name: Name,
    /// The model that the adapter belongs to.
    pub model: Name,
    /// The workspace that owns the adapter.
    pub workspace: Name,
}

/// One version of an adapter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdapterVersion {
    /// The full name, `adapter@version`, under which engines serve it.
    pub name: Name,
    /// The adapter.
    pub adapter: Name,
    /// The locator in the weight store.
    pub weights: Name,
    /// The digest of the weights, `sha256:` and 64 hex digits.
    pub digest: Name,
    /// Whether no new request may run on it.
    #[serde(default, skip_serializing_if = "is_false")]
    pub withdrawn: bool,
}

/// A version with its share of a route's traffic.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedVersion {
    /// The full name of the version.
    pub version: Name,
    /// The share, relative to the sum over the route.
    pub weight: u32,
}

/// Where a route leads.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RouteTarget {
    /// Adapter versions of one model, by weight.
    Versions(Vec<WeightedVersion>),
    /// A base model without an adapter.
    Model(Name),
    /// Another route.
    Alias(Name),
    /// A plain service.
    Service(Name),
}

/// A name that callers use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The name.
    pub name: Name,
    /// The workspace that owns the route.
    pub workspace: Name,
    /// Where the route leads.
    pub target: RouteTarget,
    /// The priority class.
    #[serde(default, skip_serializing_if = "is_default")]
    pub priority: Priority,
    /// The deadline of a request.
    #[serde(rename = "deadline_ms", with = "millis")]
    pub deadline: Duration,
    /// Whether a request may be run more than once.
    #[serde(default, skip_serializing_if = "is_false")]
    pub repeatable: bool,
}

/// What an endpoint runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Backend {
    /// An engine with this model.
    Model(Name),
    /// A plain service.
    Service(Name),
}

/// What an engine does with a fencing token.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Fencing {
    /// The engine rejects a command with an old token.
    Checked,
    /// The engine ignores tokens.
    #[default]
    Ignored,
}

/// One model engine or one instance of a plain service, with an agent beside it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// The name.
    pub name: Name,
    /// What it runs.
    pub backend: Backend,
    /// The region.
    pub region: Name,
    /// The failure domain.
    pub domain: Name,
    /// The number of adapter slots.
    pub slots: u32,
    /// The number of concurrent sequences or calls.
    pub batch: u32,
    /// The limit of the agent's queue.
    pub queue: u32,
    /// What the engine does with fencing tokens.
    pub fencing: Fencing,
    /// Whether the endpoint is to receive no new work.
    #[serde(default, skip_serializing_if = "is_false")]
    pub draining: bool,
}

/// A plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// The name.
    pub name: Name,
    /// Whether its calls may be run more than once.
    #[serde(default, skip_serializing_if = "is_false")]
    pub repeatable: bool,
    /// The deadline of a call.
    #[serde(rename = "deadline_ms", with = "millis")]
    pub deadline: Duration,
}

/// A customer's workspace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Workspace {
    /// The name.
    pub name: Name,
    /// The limit of requests per second over one entry.
    pub rate: f64,
    /// The limit of concurrent requests over one entry.
    pub inflight: u32,
    /// The digest of the caller's API key, `sha256:` and 64 hex digits; without one no key is
    /// required.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub secret: Option<Name>,
}

/// The policy settings of a whole set.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Policy {
    /// From 0, which favors fuller batches, to 1, which favors fewer load stalls.
    pub stall_weight: f64,
    /// The retry budget as a share of traffic.
    pub retry_share: f64,
    /// The rate of the weight store in loads per second.
    pub loads_per_s: f64,
    /// The number of loads at once that the weight store carries at full speed.
    pub loads_at_once: u32,
}

impl Default for Policy {
    fn default() -> Self {
        Policy {
            stall_weight: 0.5,
            retry_share: 0.1,
            loads_per_s: 5.0,
            loads_at_once: 3,
        }
    }
}

/// A set of objects, each kind by name.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ObjectSet {
    /// Base models.
    pub models: BTreeMap<Name, Arc<Model>>,
    /// Adapters.
    pub adapters: BTreeMap<Name, Arc<Adapter>>,
    /// Adapter versions by full name.
    pub versions: BTreeMap<Name, Arc<AdapterVersion>>,
    /// Routes.
    pub routes: BTreeMap<Name, Arc<Route>>,
    /// Endpoints.
    pub endpoints: BTreeMap<Name, Arc<Endpoint>>,
    /// Plain services.
    pub services: BTreeMap<Name, Arc<Service>>,
    /// Workspaces.
    pub workspaces: BTreeMap<Name, Arc<Workspace>>,
    /// The policy settings.
    pub policy: Policy,
}

/// Durations in whole milliseconds.
mod millis {
    use std::time::Duration;

    use serde::Deserialize;
    use serde::Deserializer;
    use serde::Serializer;

    pub(super) fn serialize<S: Serializer>(time: &Duration, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_u64(time.as_millis() as u64)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Duration, D::Error> {
        u64::deserialize(from).map(Duration::from_millis)
    }
}

fn is_false(flag: &bool) -> bool {
    !flag
}

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}
