//! Fake engines and plain services, which keep their own account of what they ran.

use decision::collections::Map;
use decision::collections::Set;
use decision::ids::Name;
use decision::ledger::Key;

/// A request at an engine.
#[derive(Clone, Debug)]
pub(crate) struct Running {
    pub(crate) pid: usize,
    pub(crate) key: Key,
    pub(crate) served: Name,
}

/// One engine, or one instance of a plain service.
#[derive(Clone, Debug)]
pub(crate) struct Engine {
    pub(crate) name: Name,
    /// Whether old fencing tokens are rejected.
    pub(crate) checks: bool,
    /// Whether any name is served without a load.
    pub(crate) plain: bool,
    pub(crate) up: bool,
    /// Raised by each restart.
    pub(crate) epoch: u64,
    pub(crate) resident: Set<Name>,
    /// Requests by the number of their run.
    pub(crate) running: Map<usize, Running>,
    /// The highest fencing token of a command.
    pub(crate) token: u64,
    /// The loads that will fail partway.
    pub(crate) failing: u32,
    /// Extra milliseconds before the first chunk, after the prefix cache was lost.
    pub(crate) cold_ms: u64,
}

impl Engine {
    pub(crate) fn new(name: &str, checks: bool, plain: bool) -> Engine {
        Engine {
            name: name.into(),
            checks,
            plain,
            up: true,
            epoch: 0,
            resident: Set::default(),
            running: Map::default(),
            token: 0,
            failing: 0,
            cold_ms: 0,
        }
    }

    /// Returns whether a command with this token is carried out.
    pub(crate) fn admit(&mut self, token: u64) -> bool {
        if self.checks && token < self.token {
            return false;
        }
        self.token = self.token.max(token);
        true
    }

    /// Returns whether a request for `served` can run now.
    pub(crate) fn serves(&self, served: &Name) -> bool {
        self.up && (self.plain || self.resident.contains(served))
    }

    /// Returns whether a request uses the version.
    pub(crate) fn uses(&self, version: &Name) -> bool {
        self.running.values().any(|run| run.served == *version)
    }
}
