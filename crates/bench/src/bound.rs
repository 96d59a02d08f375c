//! A bound that no online policy with demand loading can beat.
//!
//! All slots form one pool, the next use of every adapter is known, a miss may bypass the pool, and
//! every load takes the time of a load on an idle weight store. Keeping the adapters with the
//! nearest next use gives the fewest misses of any replacement rule, and every missed request waits
//! at least for what is left of such a load. Sequences run without queueing, packed into as few
//! engines as hold them.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use decision::collections::Map;
use decision::ids::Priority;
use decision::time::Time;
use serde::Serialize;

use crate::arrivals::Work;
use crate::measure::mean;
use crate::measure::percentile;
use crate::site::Site;
use crate::store;

/// The figures that the bound gives.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Bound {
    /// Arrivals.
    pub requests: usize,
    /// Least mean load stall.
    pub stall_mean_ms: f64,
    /// 99th percentile of the load stall under the same loads.
    pub stall_p99_ms: f64,
    /// Least share of requests with a load stall.
    pub stalled_share: f64,
    /// Batch efficiency without queueing on as few engines as possible.
    pub batch_efficiency: f64,
    /// 95th percentile of the time to the first token, without overnight work.
    pub ttft_p95_ms: f64,
    /// Fewest loads.
    pub loads: usize,
}

/// Which adapter leaves the pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// The one whose next use is last: no policy can do better.
    NextUse,
    /// The one whose last use is first: what pooling alone gives to a policy that does not know
    /// the future.
    LastUse,
}

/// Returns the bound for the work of one run.
pub fn bound(site: &Site, work: &Work, rule: Rule) -> Bound {
    let (stalls, loads) = stalls(site, work, rule);
    let first: Vec<f64> = work
        .requests
        .iter()
        .zip(&stalls)
        .filter(|(request, _)| request.priority != Priority::Overnight)
        .map(|(request, stall)| {
            let us = site.step_us + site.seq_us + site.prefill_us * u64::from(request.prompt);
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
        batch_efficiency: packed(site, work),
        ttft_p95_ms: percentile(&first, 0.95),
        loads,
    }
}

/// Returns the stall of each request in milliseconds, and the number of loads.
fn stalls(site: &Site, work: &Work, rule: Rule) -> (Vec<f64>, usize) {
    let load = store::unloaded(site);
    let next = next_uses(work);
    let mut pool = Pool {
        capacity: site.slots * site.runners,
        ..Pool::default()
    };
    let mut loads = 0;
    let mut stalls = Vec::with_capacity(work.requests.len());
    for (index, request) in work.requests.iter().enumerate() {
        let ready = pool.ready.get(&request.adapter).map(|&(ready, _)| ready);
        let ready = ready.unwrap_or_else(|| {
            loads += 1;
            request.at.after(load)
        });
        stalls.push(ready.since(request.at).as_secs_f64() * 1e3);
        let worth = match rule {
            Rule::NextUse => Reverse(next[index]),
            Rule::LastUse => Reverse(usize::MAX - index),
        };
        pool.keep(request.adapter, worth, ready);
    }
    (stalls, loads)
}

/// Returns for each request the index of the next one for the same adapter.
fn next_uses(work: &Work) -> Vec<usize> {
    let mut seen: Map<u32, usize> = Map::default();
    let mut next = vec![usize::MAX; work.requests.len()];
    for (index, request) in work.requests.iter().enumerate().rev() {
        if let Some(later) = seen.insert(request.adapter, index) {
            next[index] = later;
        }
    }
    next
}

/// The pooled slots.
#[derive(Default)]
struct Pool {
    capacity: usize,
    /// When each kept adapter is or was resident, and its worth.
    ready: Map<u32, (Time, Reverse<usize>)>,
    /// Kept adapters by worth.
    worth: BTreeSet<(Reverse<usize>, u32)>,
}

impl Pool {
    /// Keeps an adapter that was used, and drops the one that is worth least, which may be itself.
    fn keep(&mut self, adapter: u32, worth: Reverse<usize>, ready: Time) {
        if let Some((_, old)) = self.ready.insert(adapter, (ready, worth)) {
            self.worth.remove(&(old, adapter));
        }
        self.worth.insert((worth, adapter));
        if self.ready.len() > self.capacity
            && let Some((_, victim)) = self.worth.pop_first()
        {
            self.ready.remove(&victim);
        }
    }
}

/// Returns the batch efficiency when every sequence runs at once, packed into few engines.
fn packed(site: &Site, work: &Work) -> f64 {
    let step = Duration::from_micros(site.step_us + site.seq_us * site.batch as u64);
    let mut changes: BTreeMap<Time, i64> = BTreeMap::new();
    for request in &work.requests {
        *changes.entry(request.at).or_default() += 1;
        *changes
            .entry(request.at.after(step * request.output))
            .or_default() -= 1;
    }
    let (mut running, mut since) = (0_i64, Time::default());
    let (mut sequences, mut places) = (0.0, 0.0);
    for (at, change) in changes {
        let time = at.since(since).as_secs_f64();
        let engines = (running as f64 / site.batch as f64).ceil();
        sequences += running as f64 * time;
        places += engines * site.batch as f64 * time;
        running += change;
        since = at;
    }
    if places > 0.0 {
        sequences / places
    } else {
        0.0
    }
}
