//! Adoption of an object set and of a membership view.

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

/// What the membership list says of an endpoint's instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InstanceState {
    /// The instance is live.
    Live,
    /// The instance is leaving.
    Leaving,
}

impl EndpointTable {
    /// Adopts an object set together with a membership view, by endpoint name.
    ///
    /// Views of endpoints that remain keep their reports and health. The epoch of a pool rises only
    /// if its members change.
    pub fn apply_config(&mut self, set: &ObjectSet, live: &Map<Name, InstanceState>) {
        self.cost_params.apply_policy(&set.policy);
        self.forget_removed(set);
        let mut domains = Map::default();
        for object in set.endpoints.values() {
            let next = domains.len() as u32;
            let domain = *domains
                .entry((&object.region, &object.domain))
                .or_insert(next);
            let near = object.region == self.region && object.domain == self.domain;
            let id = self.intern(object, domain, near);
            let state = live.get(&object.name);
            let view = self.view_mut(id);
            view.object = object.clone();
            view.domain = domain;
            view.near = near;
            view.live = state.is_some();
            view.leaving = object.draining || state == Some(&InstanceState::Leaving);
        }
        self.rebuild_pools(set);
        self.homes.retain(|name| set.versions.contains_key(name));
    }

    fn intern(
        &mut self,
        object: &std::sync::Arc<objects::Endpoint>,
        domain: u32,
        near: bool,
    ) -> EndpointId {
        if let Some(id) = self.find(&object.name) {
            return id;
        }
        let id = EndpointId(self.endpoints.len() as u32);
        let hash = hash_text(&object.name);
        let view = EndpointView::new(object.clone(), hash, domain, near);
        self.endpoints.push(view);
        self.names.insert(object.name.clone(), id);
        id
    }

    fn forget_removed(&mut self, set: &ObjectSet) {
        let removed = |name: &Name| !set.endpoints.contains_key(name);
        let gone: Vec<(Name, EndpointId)> = self
            .names
            .iter()
            .filter(|(name, _)| removed(name))
            .map(|(name, id)| (name.clone(), *id))
            .collect();
        for (name, id) in gone {
            self.names.remove(&name);
            let view = self.view_mut(id);
            view.live = false;
            for version in std::mem::take(&mut view.versions) {
                self.release(&version, id);
            }
        }
    }

    /// Collects the live members of each pool, in the entry's region if the pool has any
    /// declared endpoint there.
    fn rebuild_pools(&mut self, set: &ObjectSet) {
        let mut pools: Map<Pool, Vec<EndpointId>> = Map::default();
        let mut local: Map<Pool, bool> = Map::default();
        for object in set.endpoints.values() {
            let here = object.region == self.region;
            *local.entry(pool_of(&object.backend)).or_default() |= here;
        }
        for object in set.endpoints.values() {
            let pool = pool_of(&object.backend);
            let Some(id) = self.find(&object.name) else {
                continue;
            };
            let routable = object.region == self.region || !local[&pool];
            let view = self.view_mut(id);
            view.routable = routable;
            if routable && view.live && !view.leaving {
                pools.entry(pool).or_default().push(id);
            }
        }
        self.pools.retain(|pool, _| local.contains_key(pool));
        for pool in local.into_keys() {
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

    /// Puts the members in an order that all entries share and that spreads any first part of it
    /// over the failure domains.
    fn sort_members(&self, members: &mut Vec<EndpointId>) {
        members.sort_unstable_by_key(|id| (self.view(*id).hash, *id));
        let mut seen: Map<u32, u32> = Map::default();
        let mut ranked: Vec<(u32, EndpointId)> = Vec::with_capacity(members.len());
        for id in members.iter() {
            let rank = seen.entry(self.view(*id).domain).or_default();
            ranked.push((*rank, *id));
            *rank += 1;
        }
        // The sort is stable, so that the order by hash remains within a rank.
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
