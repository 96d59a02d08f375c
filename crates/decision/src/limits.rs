//! Admission control: limits per workspace, and load shedding by priority class when an entry has
//! too many requests in flight.

use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use objects::Priority;
use objects::Workspace;

use crate::collections::Map;
use crate::ids::Name;
use crate::time::Time;

/// Size of a workspace's token bucket, in seconds of its rate; it holds at least one request.
const BURST_SECONDS: f64 = 1.0;
/// Time after which a shed request may be retried, indexed by priority class.
const SHED_RETRY_AFTER: [Duration; 3] = [
    Duration::from_secs(1),
    Duration::from_secs(1),
    Duration::from_secs(30),
];

/// The reason why a request was not admitted.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum Denied {
    /// The workspace exceeds its rate; the next request can be admitted after this time.
    #[display("the workspace exceeds its rate")]
    Rate(#[error(not(source))] Duration),
    /// The workspace has too many requests in flight.
    #[display("the workspace has too many requests in flight")]
    Inflight,
    /// The entry is overloaded and sheds the request's class; a retry is allowed after this time.
    #[display("the entry is overloaded")]
    Shed(#[error(not(source))] Duration),
}

/// The requests in flight and the token bucket of one workspace.
#[derive(Clone, Debug)]
pub struct WorkspaceUsage {
    /// Workspace object, which contains the limits.
    pub workspace: std::sync::Arc<Workspace>,
    /// Number of requests in flight.
    pub inflight: u32,
    /// Number of requests that the rate limit admits immediately, as of the last admission check.
    pub tokens: f64,
    refilled_at: Time,
}

/// The admission control of one entry.
#[derive(Debug)]
pub struct Limits {
    capacity: u32,
    inflight: u32,
    usage: Map<Name, WorkspaceUsage>,
    denied: [u64; 3],
}

impl Limits {
    /// Creates the limits of an entry that accepts up to `capacity` requests in flight.
    pub fn new(capacity: u32) -> Self {
        Limits {
            capacity,
            inflight: 0,
            usage: Map::default(),
            denied: [0; 3],
        }
    }

    /// Admits a request or returns the reason for denying it. Each admitted request must be
    /// released exactly once with [`Limits::release`].
    pub fn admit(
        &mut self,
        now: Time,
        workspace: &std::sync::Arc<Workspace>,
        priority: Priority,
    ) -> Result<(), Denied> {
        let result = self.check(now, workspace, priority);
        match result {
            Ok(()) => self.inflight += 1,
            Err(Denied::Rate(_)) => self.denied[0] += 1,
            Err(Denied::Inflight) => self.denied[1] += 1,
            Err(Denied::Shed(_)) => self.denied[2] += 1,
        }
        result
    }

    fn check(
        &mut self,
        now: Time,
        workspace: &std::sync::Arc<Workspace>,
        priority: Priority,
    ) -> Result<(), Denied> {
        if self.inflight >= class_capacity(self.capacity, priority) {
            return Err(Denied::Shed(SHED_RETRY_AFTER[priority as usize]));
        }
        if !self.usage.contains_key(&workspace.name) {
            let usage = WorkspaceUsage::new(now, workspace);
            self.usage.insert(workspace.name.clone(), usage);
        }
        let Some(usage) = self.usage.get_mut(&workspace.name) else {
            return Err(Denied::Inflight);
        };
        usage.workspace = workspace.clone();
        usage.admit(now)
    }

    /// Releases an admitted request of `workspace`.
    pub fn release(&mut self, workspace: &str) {
        self.inflight = self.inflight.saturating_sub(1);
        if let Some(usage) = self.usage.get_mut(workspace) {
            usage.inflight = usage.inflight.saturating_sub(1);
        }
    }

    /// Removes workspaces that are no longer declared, for which `keep` returns false, unless they
    /// have requests in flight.
    pub fn retain(&mut self, keep: impl Fn(&Name) -> bool) {
        self.usage
            .retain(|name, usage| usage.inflight > 0 || keep(name));
    }

    /// Returns the number of requests in flight.
    pub fn inflight(&self) -> u32 {
        self.inflight
    }

    /// Returns the maximum number of requests in flight.
    pub fn capacity(&self) -> u32 {
        self.capacity
    }

    /// Returns the number of requests denied since the start: by the rate limit, by the in-flight
    /// limit and by load shedding, in this order.
    pub fn denied(&self) -> [u64; 3] {
        self.denied
    }

    /// Returns the usage of each workspace, in no particular order.
    pub fn usage(&self) -> impl Iterator<Item = &WorkspaceUsage> {
        self.usage.values()
    }
}

impl WorkspaceUsage {
    fn new(now: Time, workspace: &std::sync::Arc<Workspace>) -> Self {
        WorkspaceUsage {
            workspace: workspace.clone(),
            inflight: 0,
            tokens: (workspace.rate * BURST_SECONDS).max(1.0),
            refilled_at: now,
        }
    }

    fn admit(&mut self, now: Time) -> Result<(), Denied> {
        let rate = self.workspace.rate;
        let bucket_size = (rate * BURST_SECONDS).max(1.0);
        let earned = now.since(self.refilled_at).as_secs_f64() * rate;
        self.tokens = (self.tokens + earned).min(bucket_size);
        self.refilled_at = self.refilled_at.max(now);
        if self.inflight >= self.workspace.inflight {
            return Err(Denied::Inflight);
        }
        if self.tokens < 1.0 {
            let wait = ((1.0 - self.tokens) / rate.max(1e-6)).min(3_600.0);
            return Err(Denied::Rate(Duration::from_secs_f64(wait)));
        }
        self.tokens -= 1.0;
        self.inflight += 1;
        Ok(())
    }
}

/// Returns the number of requests in flight from which a class is shed; lower classes are shed
/// first.
fn class_capacity(capacity: u32, priority: Priority) -> u32 {
    match priority {
        Priority::Interactive => capacity,
        Priority::Booking => capacity - capacity / 20,
        Priority::Overnight => capacity - capacity / 5,
    }
}
