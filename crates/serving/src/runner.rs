//! Data that runners publish about themselves: membership records, engine reports and load.

use std::net::SocketAddr;
use std::time::Duration;

use crate::Name;

/// Whether a runner accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The runner accepts requests.
    Ready,
    /// The runner finishes its requests and then exits.
    Draining,
}

/// An adapter that a runner holds or loads, with its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionedAdapter {
    /// Model and adapter as `MODEL/ADAPTER`.
    pub adapter: Name,
    /// The version of the adapter.
    pub version: u64,
}

/// The membership record of one incarnation of a runner.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// The identifier of the runner. A restarted runner may keep it; see `born`.
    pub id: Name,
    /// The service that it belongs to.
    pub service: Name,
    /// The address at which it accepts requests.
    pub addr: SocketAddr,
    /// Its failure domain.
    pub domain: Name,
    /// The maximum number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub phase: Phase,
    /// The models that it holds.
    pub models: Vec<Name>,
    /// The adapters that it holds.
    pub adapters: Vec<VersionedAdapter>,
    /// When it started, in milliseconds since the Unix epoch; distinguishes incarnations with the
    /// same identifier.
    pub born: u64,
}

/// The current state of a runner with a model engine, as the engine reports it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineReport {
    /// The models that it holds.
    pub models: Vec<Name>,
    /// The adapters that it holds.
    pub adapters: Vec<VersionedAdapter>,
    /// The adapters that cannot serve requests yet because they are still loading.
    pub loading: Vec<VersionedAdapter>,
    /// Whether it is loading or unloading a model.
    pub busy: bool,
    /// The number of orders that it has accepted since its start.
    pub sequence: u64,
    /// The number of requests that wait.
    pub queued: u32,
    /// The number of requests that run.
    pub running: u32,
    /// Whether it is draining before its exit.
    pub draining: bool,
    /// When it started, in milliseconds since the Unix epoch.
    pub born: u64,
}

impl EngineReport {
    /// Returns the held adapter with this name, whatever its version.
    pub fn adapter(&self, adapter: &str) -> Option<&VersionedAdapter> {
        self.adapters.iter().find(|held| *held.adapter == *adapter)
    }

    /// Returns whether the runner is loading an adapter with this name, whatever its version.
    pub fn is_loading(&self, adapter: &str) -> bool {
        self.loading.iter().any(|held| *held.adapter == *adapter)
    }
}

/// What a runner says of itself with a response, beyond its load.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Notice {
    /// The requests per second that it takes from all entries together; `None` if it names no limit.
    pub rate_limit: Option<f64>,
    /// Whether it is about to leave.
    pub leaving: bool,
    /// How long it wants no request from this entry; `None` if it did not reject this one for that.
    pub retry_after: Option<Duration>,
}

/// The load that a runner reports with a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestLoad {
    /// The number of requests that run.
    pub running: u32,
    /// The number of requests that wait.
    pub waiting: u32,
    /// The number of requests that it runs concurrently; `None` if it does not say.
    pub slots: Option<u32>,
    /// How long work takes there at this moment, where 100 is usual; `None` if it does not say.
    pub pace: Option<u32>,
}

impl RequestLoad {
    /// Returns a load without the figures that few runners report.
    pub fn new(running: u32, waiting: u32) -> RequestLoad {
        RequestLoad {
            running,
            waiting,
            slots: None,
            pace: None,
        }
    }

    /// Returns the number of requests that run or wait.
    pub fn total(self) -> u32 {
        self.running.saturating_add(self.waiting)
    }
}
