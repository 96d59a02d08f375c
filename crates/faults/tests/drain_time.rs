//! Time from the stop signal to the last new request.

use faults::case::Case;
use faults::matrix::Fault;
use faults::matrix::Step;
use faults::simulation::Simulation;

/// Guards against entries that send requests to a draining endpoint until the membership list,
/// which lags by 30 s here, shows that it is leaving.
#[test]
fn drain_is_faster_than_membership_list() {
    let case = Case::single(Step::Announce, Fault::ListLags);
    let mut sim = Simulation::new(case.seed, None);
    sim.plan_faults(&case.faults);
    sim.schedule_flows(&[Step::Announce.flow()]);
    sim.run_until(22_000_000);
    let stop = &sim.finish().stops[0];
    let after = |at: Option<u64>| at.map(|at| at.saturating_sub(stop.signalled_at) / 1_000);
    let (sent, accepted) = (after(stop.last_sent_at), after(stop.last_accepted_at));
    println!("last sent {sent:?} ms, last accepted {accepted:?} ms after the stop signal");
    assert!(sent.is_some_and(|ms| ms <= 3_000));
    assert_eq!(accepted, None);
}
