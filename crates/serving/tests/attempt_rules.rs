//! Guards against a request that runs twice, runs after a refusal, or visits too many runners.

mod common;

use common::cases::each;
use serving::Name;
use serving::attempt::Attempts;
use serving::attempt::NextStep;
use serving::attempt::Outcome;
use serving::config::RouteKind;

const RESUMABLE: RouteKind = RouteKind::Stream { resumable: true };
const STREAM: RouteKind = RouteKind::Stream { resumable: false };

fn sent(kind: RouteKind, max: u32, runners: &[&str]) -> Attempts {
    let mut attempts = Attempts::new(kind, max);
    for runner in runners {
        attempts.record_sent(&Name::from(*runner));
    }
    attempts
}

#[test]
fn unknown_outcome_ends_a_request_that_runs_once() {
    for kind in [RouteKind::NonIdempotent, STREAM] {
        let mut attempts = sent(kind, 3, &["a"]);
        assert_eq!(
            attempts.record_outcome(Outcome::Unknown, || true),
            NextStep::Fail
        );
    }
}

#[test]
fn unknown_outcome_sends_a_repeatable_request_elsewhere() {
    for kind in [RouteKind::Idempotent, RESUMABLE] {
        let mut attempts = sent(kind, 2, &["a"]);
        assert_eq!(
            attempts.record_outcome(Outcome::Unknown, || true),
            NextStep::TryOther
        );
    }
}

#[test]
fn exhausted_budget_allows_no_second_attempt() {
    let mut attempts = sent(RouteKind::Idempotent, 2, &["a"]);
    assert_eq!(
        attempts.record_outcome(Outcome::Unknown, || false),
        NextStep::Fail
    );
    let mut attempts = sent(RouteKind::NonIdempotent, 2, &["a"]);
    assert_eq!(
        attempts.record_outcome(Outcome::NotRun, || false),
        NextStep::Refuse
    );
}

#[test]
fn last_allowed_runner_is_never_followed_by_another() {
    let mut attempts = sent(RouteKind::Idempotent, 2, &["a", "b"]);
    assert_eq!(
        attempts.record_outcome(Outcome::Unknown, || true),
        NextStep::Fail
    );
    let mut attempts = sent(RouteKind::NonIdempotent, 1, &["a"]);
    assert_eq!(
        attempts.record_outcome(Outcome::NotRun, || true),
        NextStep::TrySame
    );
    assert_eq!(attempts.only_runner().map(|name| &**name), Some("a"));
}

#[test]
fn failure_of_the_runner_is_relayed_when_no_attempt_is_left() {
    let mut attempts = sent(RouteKind::NonIdempotent, 2, &["a"]);
    assert_eq!(
        attempts.record_outcome(Outcome::Failed, || true),
        NextStep::Relay
    );
    let mut attempts = sent(RouteKind::Idempotent, 2, &["a"]);
    assert_eq!(
        attempts.record_outcome(Outcome::Failed, || true),
        NextStep::TryOther
    );
}

#[test]
fn refusal_is_never_claimed_after_a_possible_run() {
    let mut attempts = sent(RouteKind::Idempotent, 2, &["a"]);
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
fn unsent_attempts_are_free_but_bounded() {
    let mut attempts = Attempts::new(RouteKind::NonIdempotent, 1);
    let budget = || panic!("nothing arrived, so the budget is not asked");
    for _ in 0..4 {
        assert_eq!(
            attempts.record_outcome(Outcome::NotSent, budget),
            NextStep::TryAny
        );
    }
    assert_eq!(
        attempts.record_outcome(Outcome::NotSent, budget),
        NextStep::Refuse
    );
}

#[test]
fn any_sequence_of_outcomes_keeps_the_promises() {
    each(|(kind, max, outcomes): (u8, u8, Vec<u8>)| {
        let kinds = [
            RouteKind::Idempotent,
            RouteKind::NonIdempotent,
            STREAM,
            RESUMABLE,
        ];
        let kind = kinds[usize::from(kind % 4)];
        let max = u32::from(max % 3) + 1;
        replay(kind, max, &outcomes);
    });
}

/// Follows what the decisions say and checks each promise on the way.
fn replay(kind: RouteKind, max: u32, outcomes: &[u8]) {
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
        assert!(kind.is_repeatable() || runs <= 1, "ran twice");
        match next {
            NextStep::TryOther => {
                assert!(kind.is_repeatable());
                runner += 1;
            }
            NextStep::TryAny => runner += u32::from((attempts.tried().len() as u32) < max),
            NextStep::TrySame => assert!(kind.is_repeatable() || runs == 0),
            NextStep::Refuse => {
                assert_eq!(runs, 0, "refused after a run");
                return;
            }
            NextStep::Fail | NextStep::Relay => return,
        }
    }
}
