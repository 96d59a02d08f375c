//! The messages between an entry and the agent beside a runner.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::Name;

/// How often an agent sends its state at least; also the heartbeat of the connection.
pub const STATE_INTERVAL: Duration = Duration::from_millis(500);
/// The silence after which either side gives up the connection.
pub const SILENCE_LIMIT: Duration = Duration::from_millis(1_600);
/// How often an entry tells how its requests use a runner's adapters.
pub const USAGE_INTERVAL: Duration = Duration::from_millis(200);

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
pub struct Place {
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

/// A message of an agent: the state of its runner.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// When the runner started, in milliseconds of the Unix epoch.
    #[serde(rename = "b")]
    pub born: u64,
    /// Whether the agent reaches the runner.
    #[serde(rename = "u")]
    pub up: bool,
    /// The models that it holds.
    #[serde(rename = "m")]
    pub models: Vec<Name>,
    /// Whether the runner has announced its exit.
    #[serde(rename = "d")]
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
    /// The adapters there and on their way.
    #[serde(rename = "p")]
    pub places: Vec<Place>,
}
