//! Bookings and repeatable requests while table and object store are down.

use decision::problem::Ran;
use faults::record::Told;
use faults::world::World;

const SECOND: u64 = 1_000_000;

/// Runs one call per second for `seconds`; returns whole answers, definite refusals and the longest
/// refusal in milliseconds.
fn phase(world: &mut World, from: u64, seconds: u64, route: &str) -> (usize, usize, u64) {
    let first = world.record.calls.len();
    for second in 0..seconds {
        let key = (route == "order").then(|| format!("{from}-{second}"));
        world.call(SECOND / 10, route, key.as_deref(), false);
        world.run((from + second + 1) * SECOND);
    }
    let calls = &world.record.calls[first..];
    let told = |call: &&faults::record::CallLog| matches!(call.told, Some((_, Told::Whole(_))));
    let refusals = calls.iter().filter_map(|call| match call.told {
        Some((at, Told::Failed(_, Ran::No))) => Some((at - call.at) / 1_000),
        _ => None,
    });
    let refusals: Vec<u64> = refusals.collect();
    let longest = refusals.iter().copied().max().unwrap_or(0);
    (calls.iter().filter(told).count(), refusals.len(), longest)
}

/// Guards against bookings that get no definite refusal within a second during an outage.
#[test]
fn bookings_are_refused_at_once() {
    let mut world = World::new(1, None);
    world.run(5 * SECOND);
    let before = phase(&mut world, 5, 60, "order");
    world.set_storage(false);
    let during = phase(&mut world, 65, 600, "order");
    world.set_storage(true);
    world.run(670 * SECOND);
    let after = phase(&mut world, 670, 60, "order");
    println!("whole, refused, longest ms: {before:?} {during:?} {after:?}");
    assert_eq!((before.0, after.0), (60, 60));
    assert_eq!((during.0, during.1), (0, 600));
    assert!(during.2 <= 1_000);
}

/// Guards against repeatable requests that need storage.
#[test]
fn repeatable_requests_outlive_outage() {
    let mut world = World::new(1, None);
    world.run(5 * SECOND);
    world.set_storage(false);
    let during = phase(&mut world, 5, 3_600, "a1");
    println!("whole, refused, longest ms: {during:?}");
    assert_eq!(during.0, 3_600);
}
