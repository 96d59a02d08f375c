//! Lower bound on load stalls for any online policy that loads adapters on demand.
//!
//! All slots form one pool, the next use of every adapter is known, a missed adapter need not be
//! kept, and every load takes as long as on an idle weight store. Keeping the adapters with the
//! nearest next use (Belady's algorithm) gives the fewest misses of any eviction rule, and every
//! missed request waits at least for the rest of such a load. Sequences run without queueing, on as
//! few engines as can hold them.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use decision::collections::Map;
use decision::ids::Priority;
use decision::time::Time;
use serde::Serialize;

use crate::arrivals::Workload;
use crate::measure::mean;
use crate::measure::percentile;
use crate::site::Site;
use crate::store;

/// Figures of the bound; the names match those of [`Figures`](crate::measure::Figures).
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Bound {
    /// Number of requests in the workload.
    pub requests: usize,
    /// Lower bound of the mean load stall.
    pub stall_mean_ms: f64,
    /// 99th percentile of the load stall with the same loads.
    pub stall_p99_ms: f64,
    /// Share of requests with a load stall of more than 1 ms.
    pub stalled_share: f64,
    /// Batch efficiency without queueing, on as few engines as possible.
    pub batch_efficiency: f64,
    /// 95th percentile of the time to the first token, without overnight requests.
    pub ttft_p95_ms: f64,
    /// Lower bound of the number of loads.
    pub loads: usize,
}

/// Which adapter is evicted from the pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvictionRule {
    /// The one with the furthest next use: the optimum, which no policy can beat.
    FurthestNextUse,
    /// The one with the earliest last use: what pooling all slots achieves without knowledge of
    /// future requests.
    LeastRecentlyUsed,
}

/// Computes the figures of a workload with all slots in one pool under an eviction rule.
pub fn compute_bound(site: &Site, workload: &Workload, rule: EvictionRule) -> Bound {
    let (stalls, loads) = load_stalls(site, workload, rule);
    let first_token_ms: Vec<f64> = workload
        .requests
        .iter()
        .zip(&stalls)
        .filter(|(request, _)| request.priority != Priority::Overnight)
        .map(|(request, stall)| {
            let us =
                site.step_us + site.seq_us + site.prefill_us * u64::from(request.prompt_tokens);
            stall + us as f64 / 1e3
        })
        .collect();
    Bound {
        requests: stalls.len(),
        stall_mean_ms: mean(&stalls),
        stall_p99_ms: percentile(&stalls, 0.99),
        stalled_share: mean(
            &stalls
                .iter()
                .map(|&ms| f64::from(ms > 1.0))
                .collect::<Vec<_>>(),
        ),
        batch_efficiency: packed_batch_efficiency(site, workload),
        ttft_p95_ms: percentile(&first_token_ms, 0.95),
        loads,
    }
}

/// Returns the load stall of each request in milliseconds, and the number of loads.
fn load_stalls(site: &Site, workload: &Workload, rule: EvictionRule) -> (Vec<f64>, usize) {
    let load = store::idle_load_time(site);
    let next = next_uses(workload);
    let mut pool = Pool {
        capacity: site.slots * site.endpoints,
        ..Pool::default()
    };
    let mut loads = 0;
    let mut stalls = Vec::with_capacity(workload.requests.len());
    for (index, request) in workload.requests.iter().enumerate() {
        let ready = pool.entries.get(&request.adapter).map(|&(ready, _)| ready);
        let ready = ready.unwrap_or_else(|| {
            loads += 1;
            request.arrives_at.after(load)
        });
        stalls.push(ready.since(request.arrives_at).as_secs_f64() * 1e3);
        let value = match rule {
            EvictionRule::FurthestNextUse => Reverse(next[index]),
            EvictionRule::LeastRecentlyUsed => Reverse(usize::MAX - index),
        };
        pool.insert(request.adapter, value, ready);
    }
    (stalls, loads)
}

/// Returns for each request the index of the next request for the same adapter, or `usize::MAX`.
fn next_uses(workload: &Workload) -> Vec<usize> {
    let mut seen: Map<u32, usize> = Map::default();
    let mut next = vec![usize::MAX; workload.requests.len()];
    for (index, request) in workload.requests.iter().enumerate().rev() {
        if let Some(later) = seen.insert(request.adapter, index) {
            next[index] = later;
        }
    }
    next
}

/// Slots of all engines as one cache.
#[derive(Default)]
struct Pool {
    capacity: usize,
    /// When the load of each kept adapter ends or ended, and the value of keeping it.
    entries: Map<u32, (Time, Reverse<usize>)>,
    /// Kept adapters by value, least valuable first.
    by_value: BTreeSet<(Reverse<usize>, u32)>,
}

impl Pool {
    /// Inserts or updates a used adapter; if the pool is over capacity, evicts the least valuable
    /// one, which may be the adapter itself.
    fn insert(&mut self, adapter: u32, value: Reverse<usize>, ready: Time) {
        if let Some((_, old)) = self.entries.insert(adapter, (ready, value)) {
            self.by_value.remove(&(old, adapter));
        }
        self.by_value.insert((value, adapter));
        if self.entries.len() > self.capacity
            && let Some((_, victim)) = self.by_value.pop_first()
        {
            self.entries.remove(&victim);
        }
    }
}

/// Returns the batch efficiency when every sequence starts on arrival, on as few engines as can
/// hold all sequences.
fn packed_batch_efficiency(site: &Site, workload: &Workload) -> f64 {
    let step = Duration::from_micros(site.step_us + site.seq_us * site.batch as u64);
    let mut changes: BTreeMap<Time, i64> = BTreeMap::new();
    for request in &workload.requests {
        *changes.entry(request.arrives_at).or_default() += 1;
        *changes
            .entry(request.arrives_at.after(step * request.output_tokens))
            .or_default() -= 1;
    }
    let (mut running, mut since) = (0_i64, Time::default());
    let (mut sequences, mut capacity) = (0.0, 0.0);
    for (at, change) in changes {
        let time = at.since(since).as_secs_f64();
        let engines = (running as f64 / site.batch as f64).ceil();
        sequences += running as f64 * time;
        capacity += engines * site.batch as f64 * time;
        running += change;
        since = at;
    }
    if capacity > 0.0 {
        sequences / capacity
    } else {
        0.0
    }
}
