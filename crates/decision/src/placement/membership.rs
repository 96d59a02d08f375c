//! Updates of the endpoint table from an object set and the membership list.

use objects::Backend;
use objects::ObjectSet;

use super::EndpointId;
use super::EndpointTable;
use super::PoolView;
use super::view::EndpointView;
use crate::collections::Map;
use crate::hash::hash_text;
use crate::ids::Name;
use crate::route::Pool;

/// The state of an endpoint's instance in the membership list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InstanceState {
    /// The instance takes new work.
    Live,
    /// The instance is shutting down and gets no new work.
    Leaving,
}

impl EndpointTable {
    /// Applies an object set and the states of the listed instances, by endpoint name. An endpoint
    /// without a state is not live.
    ///
    /// Views of endpoints that remain keep their reports and health. The epoch of a pool rises only
    /// if its members or the number of active ones change, so that other pools keep their cached
    /// homes.
    pub fn apply_config(&mut self, set: &ObjectSet, instances: &Map<Name, InstanceState>) {
        self.cost_params.apply_policy(&set.policy);
        self.remove_undeclared(set);
        let mut domains = Map::default();
        for object in set.endpoints.values() {
            let next_index = domains.len() as u32;
            let domain = *domains
                .entry((&object.region, &object.domain))
                .or_insert(next_index);
            let same_domain = object.region == self.region && object.domain == self.domain;
            let id = self.get_or_insert(object, domain, same_domain);
            let state = instances.get(&object.name);
            let view = self.view_mut(id);
            view.object = object.clone();
            view.domain = domain;
            view.same_domain = same_domain;
            view.live = state.is_some();
            view.leaving = object.draining || state == Some(&InstanceState::Leaving);
        }
        self.rebuild_pools(set);
        self.homes.retain(|name| set.versions.contains_key(name));
    }

    fn get_or_insert(
        &mut self,
        object: &std::sync::Arc<objects::Endpoint>,
        domain: u32,
        same_domain: bool,
    ) -> EndpointId {
        if let Some(id) = self.find(&object.name) {
            return id;
        }
        let id = EndpointId(self.endpoints.len() as u32);
        let hash = hash_text(&object.name);
        let view = EndpointView::new(object.clone(), hash, domain, same_domain);
        self.endpoints.push(view);
        self.ids.insert(object.name.clone(), id);
        id
    }

    fn remove_undeclared(&mut self, set: &ObjectSet) {
        let is_undeclared = |name: &Name| !set.endpoints.contains_key(name);
        let removed: Vec<(Name, EndpointId)> = self
            .ids
            .iter()
            .filter(|(name, _)| is_undeclared(name))
            .map(|(name, id)| (name.clone(), *id))
            .collect();
        for (name, id) in removed {
            self.ids.remove(&name);
            let view = self.view_mut(id);
            view.live = false;
            for version in std::mem::take(&mut view.versions) {
                self.remove_replica(&version, id);
            }
        }
    }

    /// Collects the members of each pool: its live endpoints that are not leaving, in the entry's
    /// region if any endpoint of the pool is declared there, else in all regions.
    fn rebuild_pools(&mut self, set: &ObjectSet) {
        let mut pools: Map<Pool, Vec<EndpointId>> = Map::default();
        let mut in_region: Map<Pool, bool> = Map::default();
        for object in set.endpoints.values() {
            let is_local = object.region == self.region;
            *in_region.entry(pool_of(&object.backend)).or_default() |= is_local;
        }
        for object in set.endpoints.values() {
            let pool = pool_of(&object.backend);
            let Some(id) = self.find(&object.name) else {
                continue;
            };
            let routable = object.region == self.region || !in_region[&pool];
            let view = self.view_mut(id);
            view.routable = routable;
            if routable && view.live && !view.leaving {
                pools.entry(pool).or_default().push(id);
            }
        }
        self.pools.retain(|pool, _| in_region.contains_key(pool));
        for pool in in_region.into_keys() {
            let mut members = pools.remove(&pool).unwrap_or_default();
            let active = self.cost_params.active_count(members.len());
            self.sort_members(&mut members);
            let view: &mut PoolView = self.pools.entry(pool).or_default();
            if view.members != members || view.active != active {
                view.members = members;
                view.active = active;
                view.epoch += 1;
            }
        }
    }

    /// Sorts the members into an order that is the same in all entries and of which every prefix is
    /// spread over the failure domains.
    fn sort_members(&self, members: &mut Vec<EndpointId>) {
        members.sort_unstable_by_key(|id| (self.view(*id).hash, *id));
        let mut domain_counts: Map<u32, u32> = Map::default();
        let mut ranked: Vec<(u32, EndpointId)> = Vec::with_capacity(members.len());
        for id in members.iter() {
            let rank = domain_counts.entry(self.view(*id).domain).or_default();
            ranked.push((*rank, *id));
            *rank += 1;
        }
        // The sort is stable, so members of equal rank stay in hash order.
        ranked.sort_by_key(|(rank, _)| *rank);
        members.clear();
        members.extend(ranked.into_iter().map(|(_, id)| id));
    }
}

fn pool_of(backend: &Backend) -> Pool {
    match backend {
        Backend::Model(name) => Pool::Model(name.clone()),
        Backend::Service(name) => Pool::Service(name.clone()),
    }
}
