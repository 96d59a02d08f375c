//! Guards against requests that run twice without being repeatable, run although they were refused,
//! or are sent to too many runners.

mod common;

use common::cases::for_each_case;
use serving::Name;
use serving::attempt::Attempts;
use serving::attempt::NextStep;
use serving::attempt::Outcome;
use serving::config::RouteKind;

const RESUMABLE_STREAM: RouteKind = RouteKind::Stream { resumable: true };
const STREAM: RouteKind = RouteKind::Stream { resumable: false };

/// Returns the state of a request that was sent to these runners.
fn sent_to(kind: RouteKind, max_runners: u32, runners: &[&str]) -> Attempts {
    let mut attempts = Attempts::new(kind, max_runners);
    for runner in runners {
        attempts.record_sent(&Name::from(*runner));
    }
    attempts
}

#[test]
fn unknown_outcome_ends_a_request_that_must_not_run_twice() {
    for kind in [RouteKind::NonIdempotent, STREAM] {
        let mut attempts = sent_to(kind, 3, &["a"]);
        assert_eq!(
            attempts.record_outcome(Outcome::Unknown, || true),
            NextStep::Fail
        );
    }
}

#[test]
fn unknown_outcome_sends_a_repeatable_request_to_another_runner() {
    for kind in [RouteKind::Idempotent, RESUMABLE_STREAM] {
        let mut attempts = sent_to(kind, 2, &["a"]);
        assert_eq!(
            attempts.record_outcome(Outcome::Unknown, || true),
            NextStep::TryOther
        );
    }
}

#[test]
fn exhausted_budget_allows_no_retry() {
    let mut attempts = sent_to(RouteKind::Idempotent, 2, &["a"]);
    assert_eq!(
        attempts.record_outcome(Outcome::Unknown, || false),
        NextStep::Fail
    );
    let mut attempts = sent_to(RouteKind::NonIdempotent, 2, &["a"]);
    assert_eq!(
        attempts.record_outcome(Outcome::NotRun, || false),
        NextStep::Refuse
    );
}

#[test]
fn no_other_runner_is_tried_after_the_last_allowed_one() {
    let mut attempts = sent_to(RouteKind::Idempotent, 2, &["a", "b"]);
    assert_eq!(
        attempts.record_outcome(Outcome::Unknown, || true),
        NextStep::Fail
    );
    let mut attempts = sent_to(RouteKind::NonIdempotent, 1, &["a"]);
    assert_eq!(
        attempts.record_outcome(Outcome::NotRun, || true),
        NextStep::TrySame
    );
    assert_eq!(attempts.only_runner().map(|name| &**name), Some("a"));
}

#[test]
fn failure_response_is_relayed_when_no_retry_is_allowed() {
    let mut attempts = sent_to(RouteKind::NonIdempotent, 2, &["a"]);
    assert_eq!(
        attempts.record_outcome(Outcome::Failed, || true),
        NextStep::Relay
    );
    let mut attempts = sent_to(RouteKind::Idempotent, 2, &["a"]);
    assert_eq!(
        attempts.record_outcome(Outcome::Failed, || true),
        NextStep::TryOther
    );
}

#[test]
fn request_that_may_have_run_is_never_refused() {
    let mut attempts = sent_to(RouteKind::Idempotent, 2, &["a"]);
    assert_eq!(
        attempts.record_outcome(Outcome::Unknown, || true),
        NextStep::TryOther
    );
    attempts.record_sent(&Name::from("b"));
    assert_eq!(
        attempts.record_outcome(Outcome::NotRun, || false),
        NextStep::Fail
    );
    assert!(attempts.may_have_run());
}

#[test]
fn unsent_attempts_take_no_budget_but_are_limited() {
    let mut attempts = Attempts::new(RouteKind::NonIdempotent, 1);
    let take_retry = || panic!("an unsent attempt must not take from the budget");
    for _ in 0..4 {
        assert_eq!(
            attempts.record_outcome(Outcome::NotSent, take_retry),
            NextStep::TryAny
        );
    }
    assert_eq!(
        attempts.record_outcome(Outcome::NotSent, take_retry),
        NextStep::Refuse
    );
}

#[test]
fn invariants_hold_for_any_sequence_of_outcomes() {
    for_each_case(|(kind, max, outcomes): (u8, u8, Vec<u8>)| {
        let kinds = [
            RouteKind::Idempotent,
            RouteKind::NonIdempotent,
            STREAM,
            RESUMABLE_STREAM,
        ];
        let kind = kinds[usize::from(kind % 4)];
        let max = u32::from(max % 3) + 1;
        check_outcomes(kind, max, &outcomes);
    });
}

/// Follows the decisions for a sequence of outcomes and checks the invariants after each of them.
fn check_outcomes(kind: RouteKind, max: u32, outcomes: &[u8]) {
    let mut attempts = Attempts::new(kind, max);
    let mut runs = 0;
    let mut runner = 0_u32;
    for outcome in outcomes {
        let outcome = match outcome % 4 {
            0 => Outcome::NotSent,
            1 => Outcome::NotRun,
            2 => Outcome::Unknown,
            _ => Outcome::Failed,
        };
        if outcome != Outcome::NotSent {
            attempts.record_sent(&Name::from(format!("r{runner}")));
        }
        runs += u32::from(matches!(outcome, Outcome::Unknown | Outcome::Failed));
        let next = attempts.record_outcome(outcome, || true);
        assert!(attempts.tried().len() as u32 <= max);
        assert!(
            kind.is_repeatable() || runs <= 1,
            "non-repeatable request ran twice"
        );
        match next {
            NextStep::TryOther => {
                assert!(kind.is_repeatable());
                runner += 1;
            }
            NextStep::TryAny => runner += u32::from((attempts.tried().len() as u32) < max),
            NextStep::TrySame => assert!(kind.is_repeatable() || runs == 0),
            NextStep::Refuse => {
                assert_eq!(runs, 0, "refused after it may have run");
                return;
            }
            NextStep::Fail | NextStep::Relay => return,
        }
    }
}

/// Guards against a refusal, which promises that a request has not run, while a runner works on it.
#[test]
fn request_at_a_runner_may_have_run() {
    let mut attempts = Attempts::new(RouteKind::NonIdempotent, 2);
    assert!(!attempts.may_have_run());
    attempts.record_sent(&Name::from("r1"));
    assert!(attempts.may_have_run());
    attempts.record_outcome(Outcome::NotRun, || true);
    assert!(!attempts.may_have_run());
}

/// Guards against a request that waits for a retry although it can be refused, may not be repeated, or has
/// an answer, and against one that fails at once although only a retry is missing.
#[test]
fn only_a_request_that_cannot_be_refused_awaits_a_retry() {
    let repeatable = sent_to(RouteKind::Idempotent, 2, &["a"]);
    assert!(repeatable.awaits_retry(Outcome::Unknown));
    assert!(!repeatable.awaits_retry(Outcome::NotRun));
    assert!(!repeatable.awaits_retry(Outcome::Failed));
    assert!(!repeatable.awaits_retry(Outcome::NotSent));
    for kind in [RouteKind::NonIdempotent, STREAM] {
        let attempts = sent_to(kind, 2, &["a"]);
        assert!(!attempts.awaits_retry(Outcome::Unknown));
        assert!(!attempts.awaits_retry(Outcome::NotRun));
    }
    let last = sent_to(RouteKind::Idempotent, 1, &["a"]);
    assert!(!last.awaits_retry(Outcome::Unknown));
}

/// Guards against a request that two silent runners had, of which one was let go and the other one
/// rejects it, and that is given up although it may go on.
#[test]
fn rejection_after_a_given_up_attempt_awaits_a_retry() {
    let mut attempts = sent_to(RESUMABLE_STREAM, 2, &["a", "b"]);
    attempts.record_ended_beside(&Name::from("b"), Outcome::Unknown);
    assert!(attempts.awaits_retry(Outcome::NotRun));
    let step = attempts.record_outcome(Outcome::NotRun, || true);
    assert_eq!(step, NextStep::TrySame);
}

/// Guards against a request that stays bound to a runner to which none of it could be written, and is
/// refused there although another one would run it.
#[test]
fn runner_without_a_byte_of_the_request_was_not_tried() {
    for kind in [RouteKind::NonIdempotent, RouteKind::Idempotent] {
        let mut attempts = sent_to(kind, 1, &["a"]);
        let step = attempts.record_outcome(Outcome::NotSent, || true);
        assert_eq!(step, NextStep::TryAny);
        assert!(attempts.only_runner().is_none());
    }
    // What was sent there before counts.
    let mut attempts = sent_to(RouteKind::Idempotent, 1, &["a"]);
    attempts.record_outcome(Outcome::NotRun, || true);
    attempts.record_sent(&Name::from("a"));
    attempts.record_outcome(Outcome::NotSent, || true);
    assert_eq!(attempts.only_runner().map(|name| &**name), Some("a"));
    // An attempt that ends before it names a runner takes none away.
    let mut attempts = sent_to(RouteKind::Idempotent, 2, &["a"]);
    attempts.record_outcome(Outcome::Unknown, || true);
    attempts.record_outcome(Outcome::NotSent, || true);
    assert_eq!(attempts.tried().len(), 1);
}
