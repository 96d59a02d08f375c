//! The rendezvous order of endpoints for each version, cached per membership epoch.

use super::EndpointId;
use super::view::EndpointView;
use crate::collections::Map;
use crate::hash::combine;
use crate::hash::hash_text;
use crate::ids::Name;

/// Homes kept per version; also the bound on the endpoints that one pick looks at.
pub(super) const MAX_HOMES: usize = 32;

/// Homes in active endpoints before each one in reserve; with fewer than the pick's limit of
/// openings, a pick reaches the reserve once this many active ones are busy.
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
    /// Working space: rank, score and endpoint.
    ranked: Vec<(u32, u64, EndpointId)>,
    seen: Vec<u32>,
}

impl HomeCache {
    /// Returns the homes of a version, ranked anew if the epoch has changed. The first `active`
    /// members come before the others.
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

    /// Returns the homes if they are cached; used after [`HomeCache::get`] in the same pick.
    pub(super) fn cached(&self, version: &str) -> &[EndpointId] {
        self.versions.get(version).map_or(&[], |homes| &homes.list)
    }

    /// Returns one shared allocation for equal names where the cache knows the version.
    pub(super) fn shared_name(&self, version: &Name) -> Name {
        let known = self.versions.get_key_value(version);
        known.map_or_else(|| version.clone(), |(name, _)| name.clone())
    }

    /// Forgets versions that are no longer declared.
    pub(super) fn retain(&mut self, keep: impl Fn(&Name) -> bool) {
        self.versions.retain(|name, _| keep(name));
    }

    /// Ranks the members: first the best of each domain, then the second best of each, and so on.
    fn rank(
        &mut self,
        version: u64,
        members: &[EndpointId],
        endpoints: &[EndpointView],
    ) -> Vec<EndpointId> {
        self.ranked.clear();
        for id in members {
            let score = combine(version, endpoints[id.0 as usize].hash);
            self.ranked.push((0, score, *id));
        }
        self.ranked
            .sort_unstable_by(|a, b| b.1.cmp(&a.1).then(a.2.cmp(&b.2)));
        self.seen.clear();
        for (rank, _, id) in &mut self.ranked {
            let domain = endpoints[id.0 as usize].domain as usize;
            if self.seen.len() <= domain {
                self.seen.resize(domain + 1, 0);
            }
            *rank = self.seen[domain];
            self.seen[domain] += 1;
        }
        // The sort is stable, so that the order by score remains within a rank.
        self.ranked.sort_by_key(|(rank, ..)| *rank);
        let best = self.ranked.iter().take(MAX_HOMES);
        best.map(|(.., id)| *id).collect()
    }
}

/// Puts one endpoint in reserve after every [`ACTIVE_RUN`] active ones, and the others at the end.
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
