//! Guards against a breaker that one moment of silence opens, and against a runner that hangs on single
//! requests and keeps its share of them.

mod common;

use std::time::Duration;

use common::fleet;
use decision::health::BreakerDecision;
use decision::time::Time;
use serving::fleet::Fleet;
use serving::silence::SilenceScope;

const NOW: Time = Time::from_ms(10_000);

fn breaker(fleet: &Fleet, now: Time) -> BreakerDecision {
    let runner = fleet.get("r0").expect("r0 is known");
    runner.health.breaker_decision(now)
}

/// Many requests that wait at a runner which pauses for a second.
#[test]
fn one_moment_of_silence_opens_no_breaker() {
    let mut rng = fastrand::Rng::with_seed(1);
    let mut fleet = fleet(2, NOW);
    let born = fleet.get("r0").expect("r0 is known").member.born;
    fleet.record_heard(NOW, "r0", born);
    for at in 0..50 {
        let now = NOW.after(Duration::from_millis(300 + 20 * at));
        let scope = fleet.observe_silence(now, "r0", born, &mut rng);
        assert_eq!(scope, SilenceScope::Runner);
        assert_eq!(breaker(&fleet, now), BreakerDecision::Allow);
    }
    // New requests still go elsewhere while they can.
    let now = NOW.after(Duration::from_millis(1_400));
    for _ in 0..20 {
        let placement = fleet.place(now, &mut rng, &common::no_model());
        assert_eq!(&*placement.expect("r1 is eligible").runner, "r1");
    }
}

/// A runner that hangs for good: its breaker opens after some seconds.
#[test]
fn runner_that_stays_silent_is_ruled_out() {
    let mut rng = fastrand::Rng::with_seed(1);
    let mut fleet = fleet(2, NOW);
    let born = fleet.get("r0").expect("r0 is known").member.born;
    for second in 0..3 {
        let now = NOW.after(Duration::from_millis(1_100 * second));
        fleet.observe_silence(now, "r0", born, &mut rng);
    }
    let now = NOW.after(Duration::from_millis(2_300));
    assert_eq!(breaker(&fleet, now), BreakerDecision::LastResort);
}

/// A runner that answers most requests and hangs on some.
#[test]
fn requests_that_hang_count_each() {
    let mut rng = fastrand::Rng::with_seed(1);
    let mut fleet = fleet(2, NOW);
    let born = fleet.get("r0").expect("r0 is known").member.born;
    for at in 0..3 {
        let now = NOW.after(Duration::from_millis(10 * at));
        fleet.record_heard(now, "r0", born);
        let scope = fleet.observe_silence(now, "r0", born, &mut rng);
        assert_eq!(scope, SilenceScope::Request);
    }
    let now = NOW.after(Duration::from_millis(40));
    assert_eq!(breaker(&fleet, now), BreakerDecision::LastResort);
}

/// Silence of an incarnation that has been replaced.
#[test]
fn silence_of_an_earlier_incarnation_does_not_count() {
    let mut rng = fastrand::Rng::with_seed(1);
    let mut fleet = fleet(2, NOW);
    let born = fleet.get("r0").expect("r0 is known").member.born;
    for second in 0..9 {
        let now = NOW.after(Duration::from_millis(1_100 * second));
        fleet.observe_silence(now, "r0", born + 1, &mut rng);
        assert_eq!(breaker(&fleet, now), BreakerDecision::Allow);
    }
}
