//! Endpoint selection: views of the endpoints, the rendezvous-hash order of endpoints per version,
//! and picks that record why each candidate was chosen or rejected (design page, section 7).
//!
//! # Invariants
//!
//! - A pick examines a bounded number of endpoints, whatever the number of endpoints and adapters,
//!   unless none of those it examined can take the request.
//! - A pick never returns an endpoint that is known to be leaving, or one whose breaker was opened
//!   by a response from a wrong adapter; the probe of such a breaker is the exception.
//! - A view is rebuilt from reports alone, so it may be lost at any time.

mod cost;
mod homes;
mod membership;
mod pick;
mod view;

use std::collections::VecDeque;

pub use cost::Cost;
pub use cost::CostParams;
pub use membership::InstanceState;
pub use pick::Candidate;
pub use pick::Pick;
pub use pick::PickArgs;
pub use pick::PickError;
pub use pick::PickTrace;
pub use pick::Verdict;
pub use view::EndpointView;
pub use view::Replica;

use crate::collections::Map;
use crate::ids::Name;
use crate::route::Pool;
use homes::HomeCache;

/// Most recent picks whose traces are kept for the state dump.
const MAX_TRACES: usize = 64;
/// Entries per generation of the prefix affinity map. Two generations are kept; when the newer one
/// is full, the older one is dropped.
const MAX_PREFIXES: usize = 32_768;

/// The index of an endpoint in one entry's table. An index is never reused for another endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointId(pub u32);

/// The outcome of an attempt, as far as endpoint selection depends on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointOutcome {
    /// The complete response arrived; holds the time to its first byte.
    Success(std::time::Duration),
    /// The endpoint or its engine failed.
    Failure,
    /// The engine responded with another adapter or version than the requested one.
    WrongAdapter,
    /// The endpoint refused the request because it is draining.
    Draining,
    /// The outcome says nothing about the endpoint's health, for example after a cancellation.
    Neutral,
}

/// The live endpoints that serve one model or service.
#[derive(Debug, Default)]
struct PoolView {
    /// Incremented whenever the members or the number of active members change.
    epoch: u64,
    /// The members, active ones first.
    members: Vec<EndpointId>,
    /// The number of active members; the others are in reserve.
    active: usize,
}

/// The state that one entry keeps about the endpoints it can route to.
#[derive(Debug)]
pub struct EndpointTable {
    region: Name,
    domain: Name,
    cost_params: CostParams,
    endpoints: Vec<EndpointView>,
    /// The declared endpoints by name.
    ids: Map<Name, EndpointId>,
    pools: Map<Pool, PoolView>,
    replicas: Map<Name, Vec<Replica>>,
    homes: HomeCache,
    /// The endpoint that last got each prompt prefix: the newer and the older generation.
    prefixes: [Map<u64, EndpointId>; 2],
    traces: VecDeque<PickTrace>,
    /// An empty candidate list whose memory the next pick reuses.
    spare_candidates: Vec<Candidate>,
}

impl EndpointTable {
    /// Creates an empty table for an entry in this region and failure domain.
    pub fn new(region: Name, domain: Name, cost_params: CostParams) -> Self {
        EndpointTable {
            region,
            domain,
            cost_params,
            endpoints: Vec::new(),
            ids: Map::default(),
            pools: Map::default(),
            replicas: Map::default(),
            homes: HomeCache::default(),
            prefixes: [Map::default(), Map::default()],
            traces: VecDeque::with_capacity(MAX_TRACES),
            spare_candidates: Vec::new(),
        }
    }

    /// Returns the parameters of the cost.
    pub fn cost_params(&self) -> &CostParams {
        &self.cost_params
    }

    /// Returns the parameters of the cost for changing them. [`EndpointTable::apply_config`] sets the
    /// stall weight anew.
    pub fn cost_params_mut(&mut self) -> &mut CostParams {
        &mut self.cost_params
    }

    /// Returns the identifier of a declared endpoint.
    pub fn find(&self, name: &str) -> Option<EndpointId> {
        self.ids.get(name).copied()
    }

    /// Returns the view of an endpoint, which may no longer be declared.
    ///
    /// # Panics
    ///
    /// Panics if `id` belongs to another table.
    pub fn view(&self, id: EndpointId) -> &EndpointView {
        &self.endpoints[id.0 as usize]
    }

    fn view_mut(&mut self, id: EndpointId) -> &mut EndpointView {
        &mut self.endpoints[id.0 as usize]
    }

    /// Returns the views of all declared endpoints, in no particular order.
    pub fn views(&self) -> impl Iterator<Item = &EndpointView> {
        self.ids.values().map(|id| self.view(*id))
    }

    /// Returns whether every live endpoint to which this entry routes has reported at least once.
    pub fn has_all_reports(&self) -> bool {
        let mut routable = self.views().filter(|view| view.live && view.routable);
        routable.all(|view| view.last_report_at.is_some())
    }

    /// Returns the traces of the most recent picks, oldest first.
    pub fn traces(&self) -> impl Iterator<Item = &PickTrace> {
        self.traces.iter()
    }

    /// Returns the endpoints at which a version is resident or loading, as far as this entry knows.
    pub fn replicas(&self, version: &str) -> &[Replica] {
        self.replicas.get(version).map_or(&[], Vec::as_slice)
    }

    /// Returns the homes of a version: the endpoints that should serve it, most preferred first.
    pub fn homes(&mut self, pool: &Pool, version: &Name) -> Vec<EndpointId> {
        let Some(view) = self.pools.get(pool) else {
            return Vec::new();
        };
        let homes = &mut self.homes;
        homes
            .get(
                version,
                view.epoch,
                (&view.members, view.active),
                &self.endpoints,
            )
            .to_vec()
    }

    fn record_prefix(&mut self, prefix: u64, id: EndpointId) {
        if prefix == 0 {
            return;
        }
        if self.prefixes[0].len() >= MAX_PREFIXES {
            self.prefixes.swap(0, 1);
            self.prefixes[0].clear();
        }
        self.prefixes[0].insert(prefix, id);
    }

    fn prefix_endpoint(&self, prefix: u64) -> Option<EndpointId> {
        if prefix == 0 {
            return None;
        }
        let [newer, older] = &self.prefixes;
        newer.get(&prefix).or_else(|| older.get(&prefix)).copied()
    }
}
