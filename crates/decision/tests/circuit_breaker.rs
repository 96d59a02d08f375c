//! Tests of the circuit breaker of an endpoint.

use std::time::Duration;

use decision::health::BreakerDecision;
use decision::health::Health;
use decision::time::Time;

const LATENCY: Duration = Duration::from_millis(10);

fn rng() -> fastrand::Rng {
    fastrand::Rng::with_seed(5)
}

/// Guards against a breaker that opens on isolated failures, and one that never opens.
#[test]
fn breaker_opens_on_runs_and_shares_of_failures() {
    let now = Time::from_ms(0);
    let opens_after = |pattern: &[bool]| {
        let mut health = Health::default();
        pattern.iter().position(|failed| {
            match failed {
                true => health.record_failure(now, &mut rng(), false),
                false => health.record_success(LATENCY, false),
            }
            health.breaker_decision(now) == BreakerDecision::LastResort
        })
    };
    assert_eq!(opens_after(&[true; 10]), Some(4));
    assert_eq!(opens_after(&[false, true].repeat(10)), Some(9));
    assert_eq!(opens_after(&[false, true, false, false].repeat(20)), None);
}

/// Guards against a breaker that reopens on the first failure after a successful probe, and against
/// probes sent without increasing delay while the endpoint fails.
#[test]
fn probe_closes_or_doubles_the_period() {
    let mut health = Health::default();
    let mut rng = rng();
    let mut now = Time::from_ms(0);
    for _ in 0..5 {
        health.record_failure(now, &mut rng, false);
    }
    let mut last_period = Duration::ZERO;
    for _ in 0..4 {
        let opened = now;
        while health.breaker_decision(now) == BreakerDecision::LastResort {
            now = now.after(Duration::from_millis(100));
        }
        let period = now.since(opened);
        assert!(
            period > last_period.mul_f64(1.5) && period < Duration::from_secs(73),
            "{period:?}"
        );
        last_period = period;
        health.begin_probe(now);
        assert_eq!(
            health.breaker_decision(now),
            BreakerDecision::LastResort,
            "one probe at a time"
        );
        health.record_failure(now, &mut rng, true);
    }
    now = now.after(Duration::from_secs(80));
    health.begin_probe(now);
    health.record_success(LATENCY, true);
    health.record_failure(now, &mut rng, false);
    assert_eq!(health.breaker_decision(now), BreakerDecision::Allow);
}

/// Guards against an endpoint that stays excluded because its probe was cancelled.
#[test]
fn abandoned_probe_allows_another() {
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
