//! The circuit breaker of an endpoint.

use std::time::Duration;

use decision::health::BreakerDecision;
use decision::health::Health;
use decision::time::Time;

const FAST: Duration = Duration::from_millis(10);

fn rng() -> fastrand::Rng {
    fastrand::Rng::with_seed(5)
}

/// Guards against a breaker that opens on scattered failures, and one that never opens.
#[test]
fn breaker_opens_on_runs_and_shares_of_failures() {
    let now = Time::from_ms(0);
    let opens_after = |pattern: &[bool]| {
        let mut health = Health::default();
        pattern.iter().position(|failed| {
            match failed {
                true => health.record_failure(now, &mut rng(), false),
                false => health.record_success(FAST, false),
            }
            health.breaker_decision(now) == BreakerDecision::LastResort
        })
    };
    assert_eq!(opens_after(&[true; 10]), Some(4));
    assert_eq!(opens_after(&[false, true].repeat(10)), Some(9));
    assert_eq!(opens_after(&[false, true, false, false].repeat(20)), None);
}

/// Guards against a recovered endpoint whose breaker opens again at its next single failure, and
/// against probes that follow one another without pause while it has not recovered.
#[test]
fn probe_closes_or_doubles_the_period() {
    let mut health = Health::default();
    let mut random = rng();
    let mut now = Time::from_ms(0);
    for _ in 0..5 {
        health.record_failure(now, &mut random, false);
    }
    let mut last = Duration::ZERO;
    for _ in 0..4 {
        let opened = now;
        while health.breaker_decision(now) == BreakerDecision::LastResort {
            now = now.after(Duration::from_millis(100));
        }
        let period = now.since(opened);
        assert!(
            period > last.mul_f64(1.5) && period < Duration::from_secs(73),
            "{period:?}"
        );
        last = period;
        health.begin_probe(now);
        assert_eq!(
            health.breaker_decision(now),
            BreakerDecision::LastResort,
            "one probe at a time"
        );
        health.record_failure(now, &mut random, true);
    }
    now = now.after(Duration::from_secs(80));
    health.begin_probe(now);
    health.record_success(FAST, true);
    health.record_failure(now, &mut random, false);
    assert_eq!(health.breaker_decision(now), BreakerDecision::Allow);
}

/// Guards against an endpoint that stays barred because its probe was cancelled.
#[test]
fn lost_probe_frees_its_place() {
    let mut health = Health::default();
    health.record_wrong_adapter(Time::from_ms(0), &mut rng());
    assert_eq!(
        health.breaker_decision(Time::from_ms(1)),
        BreakerDecision::Deny
    );
    let later = Time::from_ms(10_000);
    health.begin_probe(later);
    assert_eq!(health.breaker_decision(later), BreakerDecision::Deny);
    health.abandon_probe(later);
    assert_eq!(health.breaker_decision(later), BreakerDecision::Probe);
}
