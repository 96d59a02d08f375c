//! The messages between an entry and the agent beside a runner.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::Name;

/// How often an agent sends its state at least; also the heartbeat of the connection.
pub const STATE_INTERVAL: Duration = Duration::from_millis(500);
/// The same for an entry that has not used the runner for [`IN_USE_PERIOD`].
pub const IDLE_STATE_INTERVAL: Duration = Duration::from_millis(1_000);
/// How long an entry counts as using a runner after its last request or wish for an adapter.
pub const IN_USE_PERIOD: Duration = Duration::from_secs(2);
/// The silence after which a connection is given up that is in use.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_400);
/// The silence after which an agent gives up the connection of an entry that uses nothing.
pub const IDLE_SILENCE_TIMEOUT: Duration = Duration::from_secs(10);
/// How often an entry tells how its requests use a runner's adapters.
pub const USAGE_INTERVAL: Duration = Duration::from_millis(200);
/// The same while few adapters can give way: one whose last request has ended can then be unloaded
/// sooner.
pub const SCARCE_USAGE_INTERVAL: Duration = Duration::from_millis(40);
/// The adapters that can be loaded below which few can give way.
pub const SCARCE_ROOM: u32 = 4;

/// A model as an agent needs to know it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ModelSpec {
    /// Its name.
    #[serde(rename = "n")]
    pub name: Name,
    /// The size of its weights, in MB.
    #[serde(rename = "w")]
    pub weights_mb: f64,
    /// The size of one of its adapters, in MB.
    #[serde(rename = "a")]
    pub adapter_mb: f64,
}

/// What a runner may hold.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Capacity {
    /// The memory for weights and adapters, in MB.
    #[serde(rename = "w")]
    pub weights_mb: f64,
    /// The adapters, those on their way included.
    #[serde(rename = "s")]
    pub slots: u32,
    /// The models of the service.
    #[serde(rename = "m")]
    pub models: Vec<ModelSpec>,
}

/// How one entry uses one adapter of a runner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Model and adapter as `MODEL/ADAPTER`.
    #[serde(rename = "a")]
    pub adapter: Name,
    /// Requests of this entry that run or wait there now.
    #[serde(rename = "i")]
    pub inflight: u32,
    /// Requests that were sent since the last message.
    #[serde(rename = "h")]
    pub hits: u32,
}

impl Usage {
    /// Returns the use that goes on.
    pub(crate) fn without_hits(&self) -> Usage {
        Usage {
            hits: 0,
            ..self.clone()
        }
    }
}

/// A message of an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToAgent {
    /// The runner that the membership names at the agent's address, and what it may hold.
    #[serde(rename = "hello")]
    Hello {
        /// The identifier of the runner's incarnation.
        runner: Name,
        /// When that incarnation started, in milliseconds of the Unix epoch.
        born: u64,
        /// What it may hold.
        capacity: Capacity,
    },
    /// An adapter is needed.
    #[serde(rename = "want")]
    Want {
        /// Model and adapter as `MODEL/ADAPTER`.
        adapter: Name,
        /// The least version; 0 for the newest one that the runner finds.
        version: u64,
        /// Whether a request waits for it.
        urgent: bool,
    },
    /// How the entry uses the runner.
    #[serde(rename = "use")]
    Usage(Vec<Usage>),
}

/// An adapter that a runner holds or fetches.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdapterStatus {
    /// Model and adapter as `MODEL/ADAPTER`.
    #[serde(rename = "a")]
    pub adapter: Name,
    /// Its version.
    #[serde(rename = "v")]
    pub version: u64,
    /// The expected time until it is there, in milliseconds; 0 if it is there.
    #[serde(rename = "t", default)]
    pub wait_ms: u32,
}

/// The state of a runner as its agent knows it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RunnerState {
    /// When the runner started, in milliseconds of the Unix epoch.
    pub born: u64,
    /// Whether the agent reaches the runner.
    pub up: bool,
    /// The models that it holds.
    pub models: Vec<Name>,
    /// Whether the runner has announced its exit.
    pub draining: bool,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Adapters that can be loaded at once, after an eviction if need be.
    pub room: u32,
    /// Entries that are connected to the agent.
    pub entries: u32,
    /// The adapters there and on their way, by name.
    pub adapters: Vec<AdapterStatus>,
}

/// A message of an agent: what has changed in the state of its runner.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerUpdate {
    /// When the runner started, in milliseconds of the Unix epoch.
    #[serde(rename = "b")]
    pub born: u64,
    /// Whether the agent reaches the runner.
    #[serde(rename = "u")]
    pub up: bool,
    /// Whether the runner has announced its exit.
    #[serde(rename = "d", default, skip_serializing_if = "is_false")]
    pub draining: bool,
    /// Requests that run.
    #[serde(rename = "r")]
    pub running: u32,
    /// Requests that wait.
    #[serde(rename = "q")]
    pub queued: u32,
    /// Adapters that can be loaded at once, after an eviction if need be.
    #[serde(rename = "f")]
    pub room: u32,
    /// Entries that are connected to the agent.
    #[serde(rename = "e")]
    pub entries: u32,
    /// Whether `adapters` names all adapters, not only those that changed.
    #[serde(rename = "w", default, skip_serializing_if = "is_false")]
    pub full: bool,
    /// The models that it holds, if they changed.
    #[serde(rename = "m", default, skip_serializing_if = "Option::is_none")]
    pub models: Option<Vec<Name>>,
    /// The adapters that are new, or whose version or arrival changed.
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    pub adapters: Vec<AdapterStatus>,
    /// The adapters that are gone.
    #[serde(rename = "g", default, skip_serializing_if = "Vec::is_empty")]
    pub removed: Vec<Name>,
}

// The signature is the one that the serializer asks for.
#[allow(clippy::trivially_copy_pass_by_ref)]
fn is_false(flag: &bool) -> bool {
    !flag
}

impl RunnerState {
    /// Returns what an entry that knows `known` has to be told; everything if it knows nothing of
    /// this incarnation.
    pub fn update_since(&self, known: Option<&RunnerState>) -> RunnerUpdate {
        let known = known.filter(|known| known.born == self.born);
        let places = self.adapters.iter().filter(|place| {
            let before = known.and_then(|known| known.place(&place.adapter));
            before.is_none_or(|before| before.differs(place))
        });
        let gone = known.map(|known| {
            let gone = known.adapters.iter();
            gone.filter(|place| self.place(&place.adapter).is_none())
        });
        let models = known.is_none_or(|known| known.models != self.models);
        RunnerUpdate {
            born: self.born,
            up: self.up,
            draining: self.draining,
            running: self.running,
            queued: self.queued,
            room: self.room,
            entries: self.entries,
            full: known.is_none(),
            models: models.then(|| self.models.clone()),
            adapters: places.cloned().collect(),
            removed: gone.map_or(Vec::new(), |gone| {
                gone.map(|place| place.adapter.clone()).collect()
            }),
        }
    }

    /// Returns whether entries must learn at once what has changed: requests may wait for an
    /// adapter that arrived, a request for one that is gone would be turned away, and none may be
    /// sent to a runner that leaves.
    pub fn is_urgent_after(&self, known: &RunnerState) -> bool {
        let same = (self.born, self.up, self.draining) == (known.born, known.up, known.draining);
        let arrived = self.adapters.iter().any(|place| {
            let before = known.place(&place.adapter);
            place.wait_ms == 0 && before.is_none_or(|before| before.differs(place))
        });
        let mut before = known.adapters.iter();
        let gone = before.any(|place| place.wait_ms == 0 && self.place(&place.adapter).is_none());
        !same || arrived || gone || self.models != known.models
    }

    /// Returns the place of an adapter; the places are in order of their names.
    fn place(&self, adapter: &str) -> Option<&AdapterStatus> {
        let found = self
            .adapters
            .binary_search_by(|place| (*place.adapter).cmp(adapter));
        found.ok().map(|index| &self.adapters[index])
    }
}

impl AdapterStatus {
    /// Returns whether the version or the arrival differ; the expected time alone is no news.
    fn differs(&self, other: &AdapterStatus) -> bool {
        self.version != other.version || (self.wait_ms == 0) != (other.wait_ms == 0)
    }
}
