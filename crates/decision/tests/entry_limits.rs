//! Tests of workspace limits, load shedding, the retry budget and the retry backoff.

use std::sync::Arc;
use std::time::Duration;

use decision::limits::Denied;
use decision::limits::Limits;
use decision::retry::RetryBudget;
use decision::retry::next_attempt_time;
use decision::time::Time;
use objects::Priority;
use objects::Workspace;

fn workspace(name: &str, rate: f64, inflight: u32) -> Arc<Workspace> {
    Arc::new(Workspace {
        name: name.into(),
        rate,
        inflight,
        secret: None,
    })
}

/// Guards against a workspace that uses the whole capacity of an entry.
#[test]
fn workspace_limits_hold() {
    let mut limits = Limits::new(100);
    let busy = workspace("busy", 2.0, 3);
    let now = Time::from_ms(0);
    let mut admit = |ms| limits.admit(Time::from_ms(ms), &busy, Priority::Interactive);
    assert_eq!(admit(0), Ok(()));
    assert_eq!(admit(0), Ok(()));
    assert_eq!(admit(0), Err(Denied::Rate(Duration::from_millis(500))));
    assert_eq!(admit(500), Ok(()));
    assert_eq!(admit(2_000), Err(Denied::Inflight));
    limits.release("busy");
    assert_eq!(
        limits.admit(Time::from_ms(2_000), &busy, Priority::Interactive),
        Ok(())
    );
    let other = workspace("other", 2.0, 3);
    assert_eq!(limits.admit(now, &other, Priority::Interactive), Ok(()));
}

/// Guards against overnight requests that use up the capacity for interactive ones.
#[test]
fn lower_classes_are_shed_first() {
    let mut limits = Limits::new(20);
    let workspace = workspace("w", 1e6, 1_000);
    let now = Time::from_ms(0);
    let fill = |limits: &mut Limits, class| {
        let admitted = std::iter::repeat_with(|| limits.admit(now, &workspace, class));
        admitted.take_while(Result::is_ok).count()
    };
    assert_eq!(fill(&mut limits, Priority::Overnight), 16);
    assert_eq!(fill(&mut limits, Priority::Booking), 3);
    assert_eq!(fill(&mut limits, Priority::Interactive), 1);
    assert_eq!(limits.inflight(), 20);
}

/// Guards against retries that multiply the load on a failing system.
#[test]
fn retries_are_a_share_of_traffic() {
    let mut budget = RetryBudget::new(0.1);
    while budget.try_take() {}
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.record_request();
        retries += u32::from(budget.try_take());
    }
    assert!((98..=100).contains(&retries), "{retries}");
}

/// Guards against a retry that starts after the caller's deadline.
#[test]
fn backoff_stays_before_the_deadline() {
    let mut rng = fastrand::Rng::with_seed(3);
    let now = Time::from_ms(0);
    for failed in 1..40 {
        let distant = next_attempt_time(now, Time::from_ms(10_000), failed, &mut rng).unwrap();
        assert!(distant <= Time::from_ms(1_000));
        let near = next_attempt_time(now, Time::from_ms(2), failed, &mut rng);
        assert!(near.is_none_or(|start| start < Time::from_ms(2)));
    }
}
