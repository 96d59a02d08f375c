//! Definitions of the objects and of the set that contains them.
//!
//! Snapshots contain the JSON form of these types.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::Name;

/// The priority class of a request, in descending priority: overload sheds the last class first.
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
    /// A user waits for the response.
    #[default]
    #[display("interactive")]
    Interactive,
    /// A transaction such as a booking or an order.
    #[display("booking")]
    Booking,
    /// Batch work that must be finished by its deadline.
    #[display("overnight")]
    Overnight,
}

/// A base model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Model {
    /// The name by which adapters, routes and endpoints refer to the model.
    pub name: Name,
    /// The identifier of the model at the engines.
    pub base: Name,
    /// The context length in tokens; `None` if the operator does not declare it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub context: Option<u32>,
}

/// A LoRA adapter of one workspace for one model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Adapter {
    /// The name without a version, unique across all workspaces.
    pub name: Name,
    /// The base model to which the adapter applies.
    pub model: Name,
    /// The workspace that owns the adapter.
    pub workspace: Name,
}

/// The weights of an adapter in one version. A published version keeps its weights.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdapterVersion {
    /// The full name, `adapter@version`, which is also the model name at the engines.
    pub name: Name,
    /// The name of the adapter, the first part of the full name.
    pub adapter: Name,
    /// The locator of the weights in the weight store.
    pub weights: Name,
    /// The digest of the weights, `sha256:` and 64 hex digits.
    pub digest: Name,
    /// Whether new requests must not use this version.
    #[serde(default, skip_serializing_if = "is_false")]
    pub withdrawn: bool,
}

/// A version and its share of a route's traffic.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedVersion {
    /// The full name of the version.
    pub version: Name,
    /// The share of the traffic, relative to the sum of the route's weights; 0 sends none.
    pub weight: u32,
}

/// What serves the requests of a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RouteTarget {
    /// Adapter versions of one model, chosen in proportion to their weights.
    Versions(Vec<WeightedVersion>),
    /// A base model without an adapter.
    Model(Name),
    /// Another route of the same workspace, which decides what serves the requests.
    Alias(Name),
    /// A service without a model.
    Service(Name),
}

/// A name that callers request, with the settings of its requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The name that callers request.
    pub name: Name,
    /// The workspace that owns the route.
    pub workspace: Name,
    /// What serves the requests.
    pub target: RouteTarget,
    /// The priority class of the requests.
    #[serde(default, skip_serializing_if = "is_default")]
    pub priority: Priority,
    /// The time from the arrival of a request to its deadline.
    #[serde(rename = "deadline_ms", with = "millis")]
    pub deadline: Duration,
    /// Whether a request may be run more than once, for example by a retry.
    #[serde(default, skip_serializing_if = "is_false")]
    pub repeatable: bool,
}

/// What an endpoint runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Backend {
    /// An engine with this model.
    Model(Name),
    /// An instance of this service.
    Service(Name),
}

/// Whether an engine checks the fencing tokens of load and unload commands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Fencing {
    /// The engine rejects commands with an outdated token.
    Checked,
    /// The engine ignores tokens.
    #[default]
    Ignored,
}

/// A model engine or an instance of a service, with an agent as its sidecar.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// The name, which is also the name of the endpoint's agent.
    pub name: Name,
    /// The model or service that runs at the endpoint.
    pub backend: Backend,
    /// The region in which the endpoint runs.
    pub region: Name,
    /// The failure domain.
    pub domain: Name,
    /// The number of adapters that can be resident at a time; 0 for a service.
    pub slots: u32,
    /// The number of sequences or calls that run concurrently.
    pub batch: u32,
    /// The maximum number of jobs in the agent's queue.
    pub queue: u32,
    /// Whether the engine checks fencing tokens.
    pub fencing: Fencing,
    /// Whether the operator drains the endpoint, which then gets no new work.
    #[serde(default, skip_serializing_if = "is_false")]
    pub draining: bool,
}

/// A service without a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// The name by which routes and endpoints refer to the service.
    pub name: Name,
    /// Whether a call may be run more than once.
    #[serde(default, skip_serializing_if = "is_false")]
    pub repeatable: bool,
    /// The maximum duration of a call; it also limits the deadlines of routes to the service.
    #[serde(rename = "deadline_ms", with = "millis")]
    pub deadline: Duration,
}

/// A customer's workspace with its limits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Workspace {
    /// The name by which adapters and routes refer to the workspace.
    pub name: Name,
    /// The maximum rate in requests per second, enforced by each entry separately.
    pub rate: f64,
    /// The maximum number of requests in flight, enforced by each entry separately.
    pub inflight: u32,
    /// The digest of the workspace's API key, `sha256:` and 64 hex digits; `None` if callers need
    /// no key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub secret: Option<Name>,
}

/// Settings that apply to a whole set.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Policy {
    /// The trade-off between batching and load stalls, from 0, which favors fuller batches, to 1,
    /// which favors fewer load stalls.
    pub stall_weight: f64,
    /// The number of retries allowed per request, from 0 to 1.
    pub retry_share: f64,
    /// The rate of loads, in loads per second, that the weight store sustains.
    pub loads_per_s: f64,
    /// The number of concurrent loads that the weight store serves at full speed.
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

/// A set of objects, with the objects of each kind indexed by name.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ObjectSet {
    /// Base models by [`Model::name`].
    pub models: BTreeMap<Name, Arc<Model>>,
    /// Adapters by [`Adapter::name`], without versions.
    pub adapters: BTreeMap<Name, Arc<Adapter>>,
    /// Adapter versions by full name, `adapter@version`.
    pub versions: BTreeMap<Name, Arc<AdapterVersion>>,
    /// Routes of all workspaces by [`Route::name`].
    pub routes: BTreeMap<Name, Arc<Route>>,
    /// Endpoints of all regions by [`Endpoint::name`].
    pub endpoints: BTreeMap<Name, Arc<Endpoint>>,
    /// Services without a model, by [`Service::name`].
    pub services: BTreeMap<Name, Arc<Service>>,
    /// Customers' workspaces, by [`Workspace::name`].
    pub workspaces: BTreeMap<Name, Arc<Workspace>>,
    /// Settings that apply to the whole set.
    pub policy: Policy,
}

/// Serialization of durations in whole milliseconds.
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
