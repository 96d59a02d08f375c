//! The load report that an agent sends to entries.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Incarnation;
use crate::ids::Name;

/// The state of an agent and its engine at one moment.
///
/// A report may be outdated when it is used; one with a higher `seq` replaces those with a lower
/// `seq` of the same incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Name of the endpoint that the agent runs next to.
    pub endpoint: Name,
    /// Incarnation of the agent.
    pub incarnation: Incarnation,
    /// Sequence number of the report within the incarnation.
    pub seq: u64,
    /// Configuration generation in force at the agent.
    pub generation: u64,
    /// Number of sequences running in the engine.
    pub running: u32,
    /// Maximum number of sequences in the engine's batch.
    pub batch: u32,
    /// Number of jobs queued for resident versions.
    pub queued: u32,
    /// Number of jobs waiting for a version to load.
    pub stalled: u32,
    /// Number of adapter slots in the engine.
    pub slots: u32,
    /// Number of slots that are free or whose version is neither pinned by a running job nor
    /// reserved for a queued one.
    pub idle: u32,
    /// Mean time for which a job occupies a place in the batch, in milliseconds.
    pub service_ms: u32,
    /// Expected time to get a load permit and load a version, in milliseconds.
    pub load_ms: u32,
    /// Served names of resident versions.
    pub resident: Vec<Name>,
    /// Served names of versions that are being loaded.
    pub loading: Vec<Name>,
    /// Whether the endpoint refuses new work.
    pub draining: bool,
    /// Whether the engine is ready.
    pub ready: bool,
}
