//! Guards against more retries than all entries together may send.

use std::time::Duration;

use decision::time::Time;
use serving::Name;
use serving::retry_budget::Allowance;
use serving::retry_budget::RetryBudget;
use serving::retry_budget::RetryCause;

const ALLOWANCE: Allowance = Allowance {
    ratio: 0.2,
    slack: 56.0,
    window: Duration::from_secs(10),
};

/// Returns how many of `tries` retries the budget allows.
fn take_retries(budget: &mut RetryBudget, now: Time, service: &Name, tries: u32) -> u32 {
    (0..tries)
        .map(|_| u32::from(budget.try_take(now, service, RetryCause::Ended)))
        .sum()
}

#[test]
fn entries_share_the_slack() {
    let service = Name::from("chat");
    let mut total = 0;
    for _ in 0..4 {
        let mut budget = RetryBudget::new(ALLOWANCE, 4);
        total += take_retries(&mut budget, Time::from_ms(100), &service, 1_000);
    }
    assert!(total > 0);
    assert!(f64::from(total) <= ALLOWANCE.slack);
}

#[test]
fn requests_add_to_the_budget() {
    let service = Name::from("chat");
    let mut budget = RetryBudget::new(ALLOWANCE, 4);
    for ms in 0..1_000 {
        budget.record_request(Time::from_ms(ms), &service);
    }
    let taken = take_retries(&mut budget, Time::from_ms(1_000), &service, 10_000);
    assert!(f64::from(taken) <= 0.2 * 1_000.0 + 56.0 / 4.0);
    assert!(taken > 150);
}

#[test]
fn window_slides() {
    let service = Name::from("chat");
    let mut budget = RetryBudget::new(ALLOWANCE, 1);
    let first = take_retries(&mut budget, Time::from_ms(0), &service, 1_000);
    assert_eq!(
        take_retries(&mut budget, Time::from_ms(9_400), &service, 1_000),
        0
    );
    let second = take_retries(&mut budget, Time::from_ms(10_600), &service, 1_000);
    assert_eq!(first, second);
}

#[test]
fn services_have_separate_budgets() {
    let mut budget = RetryBudget::new(ALLOWANCE, 1);
    let now = Time::from_ms(5);
    assert!(take_retries(&mut budget, now, &Name::from("chat"), 1_000) > 0);
    assert!(budget.try_take(now, &Name::from("desk"), RetryCause::Ended));
}

/// Guards against retries that are forgotten while they still lie in a window of the rules, which may begin
/// at any time.
#[test]
fn retries_count_for_a_whole_window() {
    let service = Name::from("chat");
    for at in [0, 250, 499] {
        let mut budget = RetryBudget::new(ALLOWANCE, 1);
        assert!(take_retries(&mut budget, Time::from_ms(at), &service, 1_000) > 0);
        for ms in (at..at + 10_000).step_by(50) {
            let more = take_retries(&mut budget, Time::from_ms(ms), &service, 1_000);
            assert_eq!(more, 0, "{more} retries at {ms} ms, after those at {at} ms");
        }
    }
}

/// Guards against a request that waits for a retry beyond its deadline, and against one that gives up
/// although a retry comes in time.
#[test]
fn next_retry_is_known() {
    let service = Name::from("chat");
    let mut budget = RetryBudget::new(ALLOWANCE, 1);
    let cause = RetryCause::Ended;
    let at = Time::from_ms(250);
    assert_eq!(budget.next_retry(at, &service, cause), Some(at));
    take_retries(&mut budget, at, &service, 1_000);
    let next = budget.next_retry(at, &service, cause);
    assert_eq!(next, Some(Time::from_ms(10_500)));
    assert!(!budget.has_left(Time::from_ms(10_499), &service, cause));
    assert!(budget.has_left(Time::from_ms(10_500), &service, cause));
    let none = Allowance {
        ratio: 0.0,
        slack: 0.0,
        ..ALLOWANCE
    };
    let mut budget = RetryBudget::new(none, 1);
    assert_eq!(budget.next_retry(at, &service, cause), None);
}
