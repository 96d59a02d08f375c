//! The load report that an agent sends to entries.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Incarnation;
use crate::ids::Name;

/// The state of one agent and its engine at one moment. Reports lag; a later `seq` replaces an
/// earlier one of the same incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The endpoint.
    pub endpoint: Name,
    /// The agent's incarnation.
    pub incarnation: Incarnation,
    /// The number of the report within the incarnation.
    pub seq: u64,
    /// The generation that the agent has in force.
    pub generation: u64,
    /// Sequences running in the engine.
    pub running: u32,
    /// The engine's batch limit.
    pub batch: u32,
    /// Jobs queued for resident versions.
    pub queued: u32,
    /// Jobs waiting for a load.
    pub stalled: u32,
    /// Adapter slots in the engine.
    pub slots: u32,
    /// Slots whose version is neither pinned nor promised.
    pub idle: u32,
    /// Mean time that one job occupies a place in the batch, in milliseconds.
    pub service_ms: u32,
    /// Expected wait for a load permit and the load itself, in milliseconds.
    pub load_ms: u32,
    /// Served names of resident versions.
    pub resident: Vec<Name>,
    /// Served names of versions being loaded.
    pub loading: Vec<Name>,
    /// Whether the endpoint accepts no new work.
    pub draining: bool,
    /// Whether the engine is ready.
    pub ready: bool,
}
