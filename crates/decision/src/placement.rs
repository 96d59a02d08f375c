//! Where a request runs: endpoint views, homes and the explainable pick (design page, section 7).
//!
//! Invariants: a pick looks at a bounded number of endpoints, whatever the number of endpoints and
//! adapters; it never returns an endpoint that is known to be leaving, or one whose breaker a wrong
//! adapter opened. A view is rebuilt from reports alone, so it may be lost at any time.

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

/// Picks whose reasons are kept for the dump.
const TRACES: usize = 64;
/// Prefixes per generation of the affinity map; two generations are kept.
const MAX_PREFIXES: usize = 32_768;

/// The index of an endpoint in one entry's table; it is never used for another endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointId(pub u32);

/// How a request at an endpoint ended, as far as routing depends on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointOutcome {
    /// The whole answer arrived; the time to its first byte.
    Success(std::time::Duration),
    /// A failure of the endpoint or its engine.
    Failure,
    /// The engine answered as another adapter or version.
    WrongAdapter,
    /// The endpoint is leaving.
    Draining,
    /// The end says nothing about the endpoint, for example a cancellation.
    Neutral,
}

/// The live endpoints that serve one model or service.
#[derive(Debug, Default)]
struct PoolView {
    /// The epoch, raised whenever the members or the active ones change.
    epoch: u64,
    /// The members, the active ones first.
    members: Vec<EndpointId>,
    /// How many members are active; the others are in reserve.
    active: usize,
}

/// All that an entry knows of the endpoints of its region.
#[derive(Debug)]
pub struct EndpointTable {
    region: Name,
    domain: Name,
    cost_params: CostParams,
    endpoints: Vec<EndpointView>,
    names: Map<Name, EndpointId>,
    pools: Map<Pool, PoolView>,
    replicas: Map<Name, Vec<Replica>>,
    homes: HomeCache,
    prefixes: [Map<u64, EndpointId>; 2],
    traces: VecDeque<PickTrace>,
    scratch: Vec<Candidate>,
}

impl EndpointTable {
    /// Creates an empty table for an entry in this region and failure domain.
    pub fn new(region: Name, domain: Name, cost_params: CostParams) -> Self {
        EndpointTable {
            region,
            domain,
            cost_params,
            endpoints: Vec::new(),
            names: Map::default(),
            pools: Map::default(),
            replicas: Map::default(),
            homes: HomeCache::default(),
            prefixes: [Map::default(), Map::default()],
            traces: VecDeque::with_capacity(TRACES),
            scratch: Vec::new(),
        }
    }

    /// Returns the tuning in force.
    pub fn cost_params(&self) -> &CostParams {
        &self.cost_params
    }

    /// Returns the weights in force, to change them.
    pub fn cost_params_mut(&mut self) -> &mut CostParams {
        &mut self.cost_params
    }

    /// Returns the identifier of an endpoint.
    pub fn find(&self, name: &str) -> Option<EndpointId> {
        self.names.get(name).copied()
    }

    /// Returns the view of an endpoint.
    pub fn view(&self, id: EndpointId) -> &EndpointView {
        &self.endpoints[id.0 as usize]
    }

    fn view_mut(&mut self, id: EndpointId) -> &mut EndpointView {
        &mut self.endpoints[id.0 as usize]
    }

    /// Returns the views of all endpoints that are declared.
    pub fn views(&self) -> impl Iterator<Item = &EndpointView> {
        self.names.values().map(|id| self.view(*id))
    }

    /// Returns whether every live endpoint to which this entry routes has reported once.
    pub fn has_all_reports(&self) -> bool {
        let mut routed = self.views().filter(|view| view.live && view.routable);
        routed.all(|view| view.last_report_at.is_some())
    }

    /// Returns the reasons of the last picks, the oldest first.
    pub fn traces(&self) -> impl Iterator<Item = &PickTrace> {
        self.traces.iter()
    }

    /// Returns where a version is resident or loading, as far as this entry knows.
    pub fn replicas(&self, version: &str) -> &[Replica] {
        self.replicas.get(version).map_or(&[], Vec::as_slice)
    }

    /// Returns the homes of a version in their order.
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

    fn remember_prefix(&mut self, prefix: u64, id: EndpointId) {
        if prefix == 0 {
            return;
        }
        if self.prefixes[0].len() >= MAX_PREFIXES {
            self.prefixes.swap(0, 1);
            self.prefixes[0].clear();
        }
        self.prefixes[0].insert(prefix, id);
    }

    fn prefix_place(&self, prefix: u64) -> Option<EndpointId> {
        if prefix == 0 {
            return None;
        }
        let [young, old] = &self.prefixes;
        young.get(&prefix).or_else(|| old.get(&prefix)).copied()
    }
}
