//! Few adapters take most of the requests and thousands take the rest; each of many entries sees a
//! small part of them. Guards against adapters that are loaded again and again or at many runners,
//! and against work that piles up at the homes of popular adapters.

mod fleet_sim;

use fleet_sim::FleetSim;
use fleet_sim::FleetSize;

/// Requests for an adapter are in time if it is ready by then.
const OBJECTIVE_MS: u64 = 500;
/// The most loads from the store for each different adapter that was asked for.
const MAX_LOADS_PER_ADAPTER: f64 = 1.3;

const MANY_ENTRIES: FleetSize = FleetSize {
    entries: 30,
    engines: 20,
    engine_slots: 8,
    adapter_slots: 7,
    adapters: 8_000,
    requests_per_s: 210,
};

#[test]
fn store_serves_each_adapter_about_once() {
    let mut sim = FleetSim::new(MANY_ENTRIES, 1.2, OBJECTIVE_MS, 1);
    sim.run(15_000);
    let totals = &sim.totals;
    let allowed = totals.different_adapters as f64 * MAX_LOADS_PER_ADAPTER;
    assert!(totals.store_loads as f64 <= allowed, "{totals:?}");
    assert!(totals.in_time * 10 >= totals.requests * 9, "{totals:?}");
}

#[test]
fn no_runner_gets_twice_the_average() {
    let mut sim = FleetSim::new(MANY_ENTRIES, 1.2, OBJECTIVE_MS, 2);
    sim.run(15_000);
    let runs = &sim.totals.runs;
    let average = runs.iter().sum::<u64>() / runs.len() as u64;
    let busiest = runs.iter().max().copied().unwrap_or(0);
    assert!(busiest < 2 * average, "{runs:?}");
}
