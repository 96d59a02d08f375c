//! The rendezvous-hash order of endpoints for each version, cached per membership epoch.
//!
//! The first endpoints in this order are the homes of the version. Rendezvous hashing
//! keeps most homes in place when an endpoint leaves, which avoids a burst of loads.

use super::EndpointId;
use super::view::EndpointView;
use crate::collections::Map;
use crate::hash::combine;
use crate::hash::hash_text;
use crate::ids::Name;

/// Homes kept per version; also the limit on the replicas that one pick examines.
pub(super) const MAX_HOMES: usize = 32;

/// Active endpoints in the home order before each one in reserve. As this is less than
/// `MAX_LOAD_CANDIDATES`, a pick reaches the reserve once this many active endpoints are busy.
const ACTIVE_RUN: usize = 6;

#[derive(Debug, Default)]
struct Homes {
    epoch: u64,
    list: Box<[EndpointId]>,
}

/// The homes of all versions asked for so far.
#[derive(Debug, Default)]
pub(super) struct HomeCache {
    versions: Map<Name, Homes>,
    /// Buffer for ranking: rank within the domain, score and endpoint.
    ranked: Vec<(u32, u64, EndpointId)>,
    /// Buffer for ranking: endpoints seen so far in each domain.
    domain_counts: Vec<u32>,
}

impl HomeCache {
    /// Returns the homes of a version, recomputed if the epoch has changed. The first `active`
    /// members are preferred; the others are interleaved as reserve.
    pub(super) fn get(
        &mut self,
        version: &Name,
        epoch: u64,
        (members, active): (&[EndpointId], usize),
        endpoints: &[EndpointView],
    ) -> &[EndpointId] {
        let fresh = self
            .versions
            .get(version)
            .is_some_and(|homes| homes.epoch == epoch);
        if !fresh {
            let (active, reserve) = members.split_at(active.min(members.len()));
            let version_hash = hash_text(version);
            let reserve = self.rank(version_hash, reserve, endpoints);
            let active = self.rank(version_hash, active, endpoints);
            let list = interleave(&active, &reserve);
            self.versions.insert(version.clone(), Homes { epoch, list });
        }
        &self.versions[version].list
    }

    /// Returns the cached homes, or none; for use after [`HomeCache::get`] in the same pick.
    pub(super) fn cached(&self, version: &str) -> &[EndpointId] {
        self.versions.get(version).map_or(&[], |homes| &homes.list)
    }

    /// Returns the cache's allocation of an equal name, if it has one, to save memory.
    pub(super) fn shared_name(&self, version: &Name) -> Name {
        let known = self.versions.get_key_value(version);
        known.map_or_else(|| version.clone(), |(name, _)| name.clone())
    }

    /// Removes the versions that `keep` rejects.
    pub(super) fn retain(&mut self, keep: impl Fn(&Name) -> bool) {
        self.versions.retain(|name, _| keep(name));
    }

    /// Sorts the members by score: first the best of each failure domain, then the second best of
    /// each, and so on.
    fn rank(
        &mut self,
        version_hash: u64,
        members: &[EndpointId],
        endpoints: &[EndpointView],
    ) -> Vec<EndpointId> {
        self.ranked.clear();
        for id in members {
            let score = combine(version_hash, endpoints[id.0 as usize].hash);
            self.ranked.push((0, score, *id));
        }
        self.ranked
            .sort_unstable_by(|a, b| b.1.cmp(&a.1).then(a.2.cmp(&b.2)));
        self.domain_counts.clear();
        for (rank, _, id) in &mut self.ranked {
            let domain = endpoints[id.0 as usize].domain as usize;
            if self.domain_counts.len() <= domain {
                self.domain_counts.resize(domain + 1, 0);
            }
            *rank = self.domain_counts[domain];
            self.domain_counts[domain] += 1;
        }
        // The sort is stable, so endpoints of equal rank stay in score order.
        self.ranked.sort_by_key(|(rank, ..)| *rank);
        let best = self.ranked.iter().take(MAX_HOMES);
        best.map(|(.., id)| *id).collect()
    }
}

/// Inserts one reserve endpoint after every [`ACTIVE_RUN`] active ones, and appends the rest of the
/// reserve.
fn interleave(active: &[EndpointId], reserve: &[EndpointId]) -> Box<[EndpointId]> {
    let mut reserve = reserve.iter().copied();
    let mut list = Vec::with_capacity(MAX_HOMES);
    for run in active.chunks(ACTIVE_RUN) {
        list.extend_from_slice(run);
        list.extend(reserve.next());
    }
    list.extend(reserve);
    list.truncate(MAX_HOMES);
    list.into()
}
