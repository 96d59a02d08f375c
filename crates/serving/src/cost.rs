//! The expected wait of a request at a runner, and the price of a load there.
//!
//! Invariants: costs are in milliseconds of expected delay; everything that depends on the runner's
//! hardware is learned from what it has served and loaded.

use std::time::Duration;

use decision::time::Time;

use crate::fleet::Runner;
use crate::load_estimate::ServiceAverage;
use crate::load_profile::MAX_PARALLEL_LOADS;
use crate::placement::Access;
use crate::request::Artifact;

/// Prefill throughput that is assumed until the runner's agent reports one, in tokens per millisecond.
const DEFAULT_TOKENS_PER_MS: u32 = 40;
/// Cost of each request in a runner's batch, in milliseconds.
const BATCH_COST_MS: f32 = 1.0;
/// Cost of a full set of slots in use at a runner without an engine, in milliseconds.
const FULL_SLOTS_COST_MS: f32 = 4.0;
/// Time from the end of an adapter's load until the agent's update about it arrives.
const UPDATE_DELAY: Duration = Duration::from_millis(10);
/// Cost of the second rank in an adapter's rendezvous order, in milliseconds. A second home
/// keeps the load over all runners even.
const SECOND_HOME_COST_MS: f32 = 110.0;
/// Cost of each further rank, in milliseconds. It outweighs short-lived load differences, because
/// another runner has to fetch the adapter from the weight store, while a home can reload it from
/// memory.
const RANK_COST_MS: f32 = 120.0;
/// Cost of a runner whose slots are all in use, for the requests that come after this one, in
/// milliseconds; it rises from 0 when half of the slots are in use.
const UTILIZATION_COST_MS: f32 = 100.0;
/// Cost of a load at a runner that gets twice the average rate of requests, in milliseconds; it rises
/// from 0 at the average.
const RATE_COST_MS: f32 = 150.0;
/// Cost of replacing an older version, which has to wait for the requests that run on it, in
/// milliseconds.
const REPLACE_COST_MS: f32 = 500.0;

/// The cost of a runner for one request.
pub(crate) struct Cost {
    /// The expected wait until the request runs, in milliseconds.
    pub(crate) wait_ms: f32,
    /// What the request costs others: a load of its adapter, and the slot that it takes, in
    /// milliseconds.
    pub(crate) price_ms: f32,
}

/// Estimates the cost of a runner that is at position `rank` of the adapter's rendezvous order, in a
/// service with these averages.
pub(crate) fn estimate(
    now: Time,
    artifact: Option<&Artifact>,
    runner: &Runner,
    access: Access,
    rank: usize,
    average: &ServiceAverage,
) -> Cost {
    let adapter = artifact.and_then(|artifact| artifact.adapter.as_deref());
    let expected = Expected::new(now, runner, average);
    let queue_ms = queue_wait_ms(expected, runner, artifact.is_some());
    // The adapter loads while the runner serves the requests ahead, so only the longer of the two
    // waits counts.
    let wait_ms = queue_ms.max(adapter_wait_ms(now, adapter, runner, access));
    let utilization_ms = utilization_ms(expected);
    match (access, adapter) {
        (Access::Absent, Some(adapter)) => Cost {
            wait_ms: wait_ms + load_queue_wait_ms(runner),
            price_ms: utilization_ms
                + load_price_ms(adapter, runner, rank)
                + RATE_COST_MS * excess_rate(runner, average.rate),
        },
        _ => Cost {
            wait_ms,
            price_ms: utilization_ms,
        },
    }
}

/// Returns the price of loading the adapter at this runner in addition to the wait for the load. A
/// load from the runner's host memory takes nothing from others; one from the store takes the more,
/// the fewer loads the store carries at once.
fn load_price_ms(adapter: &str, runner: &Runner, rank: usize) -> f32 {
    if runner.adapters.contains_key(adapter) {
        return REPLACE_COST_MS;
    }
    if rank == 0 || runner.held_recently(adapter) {
        return 0.0;
    }
    let scarcity = MAX_PARALLEL_LOADS as f32 / runner.loads.parallel.max(1) as f32;
    SECOND_HOME_COST_MS * scarcity + RANK_COST_MS * (rank - 1) as f32
}

/// Returns by how much the rate of requests at a runner exceeds the average, as a multiple of it.
pub(crate) fn excess_rate(runner: &Runner, average_rate: f32) -> f32 {
    if average_rate < 1.0 {
        return 0.0;
    }
    (runner.rate as f32 / average_rate - 1.0).max(0.0)
}

/// The expected state of a runner.
#[derive(Clone, Copy)]
struct Expected {
    /// Requests that run or wait there.
    load: f32,
    /// The number of its slots.
    slots: f32,
    /// How long work takes there, in milliseconds.
    service_ms: f32,
}

impl Expected {
    fn new(now: Time, runner: &Runner, average: &ServiceAverage) -> Expected {
        Expected {
            load: runner.expected_load(now, average),
            slots: runner.expected_slots(now),
            service_ms: average.service_ms() * runner.load.slowness(now, average),
        }
    }
}

/// Returns the price of the slot that the request takes, in milliseconds.
fn utilization_ms(expected: Expected) -> f32 {
    let used = expected.load / expected.slots;
    UTILIZATION_COST_MS * (2.0 * used - 1.0).max(0.0)
}

/// Returns the expected wait for the adapter, in milliseconds.
fn adapter_wait_ms(now: Time, adapter: Option<&str>, runner: &Runner, access: Access) -> f32 {
    let wait = match access {
        Access::Ready { .. } => Duration::ZERO,
        Access::Loading(ready_at) => ready_at.since(now) + UPDATE_DELAY,
        Access::Absent => adapter.map_or(Duration::ZERO, |adapter| runner.load_time(adapter)),
    };
    wait.as_secs_f32() * 1_000.0
}

/// Returns the expected wait until a new load can begin at a runner, in milliseconds: for the loads
/// ahead, and for a slot if none is free or idle.
fn load_queue_wait_ms(runner: &Runner) -> f32 {
    let loads = runner.loads;
    let loading = runner.loading_count() as u32;
    let ahead = (loading + 1).saturating_sub(loads.parallel);
    let queue_ms = loads.store_ms as f32 * ahead as f32 / loads.parallel.max(1) as f32;
    let short = (loading + 1).saturating_sub(runner.room.max(loads.parallel));
    let without_slot = if runner.room == 0 {
        short.max(1)
    } else {
        short
    };
    queue_ms.max(slot_interval_ms(runner) * without_slot as f32)
}

/// Returns the average time between two adapters of a full runner that fall out of use, in
/// milliseconds.
fn slot_interval_ms(runner: &Runner) -> f32 {
    let held = runner.adapters.len().max(1);
    runner.service_ms / held as f32
}

/// Returns the expected wait for the requests that a runner already has, in milliseconds; `engine`
/// says whether the request runs on a model engine.
fn queue_wait_ms(expected: Expected, runner: &Runner, engine: bool) -> f32 {
    let Expected { load, slots, .. } = expected;
    let over_capacity = (load + 1.0 - slots).max(0.0);
    let queue_ms = over_capacity * expected.service_ms / slots;
    if engine {
        let tokens_per_ms = match runner.prefill {
            0 => DEFAULT_TOKENS_PER_MS,
            known => known,
        };
        let own_ms = runner.pending_prompt_tokens as f32 / tokens_per_ms as f32;
        let prefill_ms = own_ms.max(runner.backlog_ms as f32);
        return prefill_ms + load * BATCH_COST_MS + queue_ms;
    }
    queue_ms + load / slots * FULL_SLOTS_COST_MS
}
