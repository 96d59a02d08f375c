//! What a runner says of itself.

use std::net::SocketAddr;

use crate::Name;

/// Whether a runner takes new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It takes requests.
    Ready,
    /// It finishes what it has and then exits.
    Draining,
}

/// An adapter that a runner holds or fetches.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionedAdapter {
    /// Model and adapter as `MODEL/ADAPTER`.
    pub adapter: Name,
    /// Its version.
    pub version: u64,
}

/// The membership entry of one incarnation of a runner.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// The identifier of the incarnation.
    pub id: Name,
    /// Its service.
    pub service: Name,
    /// Where it accepts requests.
    pub addr: SocketAddr,
    /// Its failure domain.
    pub domain: Name,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new requests.
    pub phase: Phase,
    /// The models that it holds.
    pub models: Vec<Name>,
    /// The adapters that it holds.
    pub adapters: Vec<VersionedAdapter>,
    /// When it started, in milliseconds of the Unix epoch; tells restarts under one id apart.
    pub born: u64,
}

/// The present state of a runner with a model engine.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineReport {
    /// The models that it holds.
    pub models: Vec<Name>,
    /// The adapters that it holds.
    pub adapters: Vec<VersionedAdapter>,
    /// The adapters on their way to it.
    pub loading: Vec<VersionedAdapter>,
    /// Whether it is loading or unloading a model.
    pub busy: bool,
    /// Orders that it has accepted since its start.
    pub sequence: u64,
    /// Requests that wait.
    pub queued: u32,
    /// Requests that run.
    pub running: u32,
    /// Whether it has announced its exit.
    pub draining: bool,
    /// When it started, in milliseconds of the Unix epoch.
    pub born: u64,
}

impl EngineReport {
    /// Returns the adapter that the runner holds under this name.
    pub fn adapter(&self, adapter: &str) -> Option<&VersionedAdapter> {
        self.adapters.iter().find(|held| *held.adapter == *adapter)
    }

    /// Returns whether an adapter is on its way.
    pub fn is_loading(&self, adapter: &str) -> bool {
        self.loading.iter().any(|held| *held.adapter == *adapter)
    }
}

/// The load that a runner tells with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
}
