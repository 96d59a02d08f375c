//! Bookings and repeatable requests while the table and the object store are down.

use decision::problem::Ran;
use faults::history::CallRecord;
use faults::history::CallResult;
use faults::simulation::Simulation;

const SECOND: u64 = 1_000_000;

/// Runs one call per second for `seconds`. Returns the number of complete responses, the number of
/// calls reported as not run, and the longest time to such a report in milliseconds.
fn phase(sim: &mut Simulation, from: u64, seconds: u64, route: &str) -> (usize, usize, u64) {
    let first = sim.history.calls.len();
    for second in 0..seconds {
        let key = (route == "order").then(|| format!("{from}-{second}"));
        sim.add_call(SECOND / 10, route, key.as_deref(), false);
        sim.run_until((from + second + 1) * SECOND);
    }
    let calls = &sim.history.calls[first..];
    let is_complete =
        |call: &&CallRecord| matches!(call.result, Some((_, CallResult::Complete(_))));
    let refusals = calls.iter().filter_map(|call| match call.result {
        Some((at, CallResult::Failed(_, Ran::No))) => Some((at - call.arrived_at) / 1_000),
        _ => None,
    });
    let refusals: Vec<u64> = refusals.collect();
    let longest = refusals.iter().copied().max().unwrap_or(0);
    (
        calls.iter().filter(is_complete).count(),
        refusals.len(),
        longest,
    )
}

/// Guards against bookings that are not refused as not run within a second during an outage, or
/// fail before or after it.
#[test]
fn bookings_are_refused_within_a_second() {
    let mut sim = Simulation::new(1, None);
    sim.run_until(5 * SECOND);
    let before = phase(&mut sim, 5, 60, "order");
    sim.set_storage_up(false);
    let during = phase(&mut sim, 65, 600, "order");
    sim.set_storage_up(true);
    sim.run_until(670 * SECOND);
    let after = phase(&mut sim, 670, 60, "order");
    println!("complete, refused, longest ms: {before:?} {during:?} {after:?}");
    assert_eq!((before.0, after.0), (60, 60));
    assert_eq!((during.0, during.1), (0, 600));
    assert!(during.2 <= 1_000);
}

/// Guards against repeatable requests that depend on storage.
#[test]
fn repeatable_requests_succeed_during_outage() {
    let mut sim = Simulation::new(1, None);
    sim.run_until(5 * SECOND);
    sim.set_storage_up(false);
    let during = phase(&mut sim, 5, 3_600, "a1");
    println!("complete, refused, longest ms: {during:?}");
    assert_eq!(during.0, 3_600);
}
