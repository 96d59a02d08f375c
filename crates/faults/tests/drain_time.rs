//! The time from the start of a drain to the last new request.

use faults::case::Case;
use faults::matrix::Fault;
use faults::matrix::Step;
use faults::world::World;

/// Guards against entries that send to a draining endpoint until a lagging list says so.
#[test]
fn drain_outruns_list() {
    let case = Case::single(Step::Announce, Fault::ListLags);
    let mut world = World::new(case.seed, None);
    world.plan(&case.faults);
    world.script(&[Step::Announce.flow()]);
    world.run(22_000_000);
    let stop = &world.finish().stops[0];
    let after = |at: Option<u64>| at.map(|at| at.saturating_sub(stop.at) / 1_000);
    let (sent, accepted) = (after(stop.sent), after(stop.accepted));
    println!("last sent {sent:?} ms, last accepted {accepted:?} ms after the start");
    assert!(sent.is_some_and(|ms| ms <= 3_000));
    assert_eq!(accepted, None);
}
