//! Guards against a request that runs twice, runs after a refusal, or visits too many runners.

mod common;

use common::cases::each;
use serving::Name;
use serving::attempt::Attempts;
use serving::attempt::Next;
use serving::attempt::Outcome;
use serving::config::Kind;

const RESUMABLE: Kind = Kind::Stream { resumable: true };
const STREAM: Kind = Kind::Stream { resumable: false };

fn sent(kind: Kind, max: u32, runners: &[&str]) -> Attempts {
    let mut attempts = Attempts::new(kind, max);
    for runner in runners {
        attempts.sent(&Name::from(*runner));
    }
    attempts
}

#[test]
fn unknown_outcome_ends_a_request_that_runs_once() {
    for kind in [Kind::Once, STREAM] {
        let mut attempts = sent(kind, 3, &["a"]);
        assert_eq!(attempts.ended(Outcome::Unknown, || true), Next::Fail);
    }
}

#[test]
fn unknown_outcome_sends_a_repeatable_request_elsewhere() {
    for kind in [Kind::Idempotent, RESUMABLE] {
        let mut attempts = sent(kind, 2, &["a"]);
        assert_eq!(attempts.ended(Outcome::Unknown, || true), Next::Other);
    }
}

#[test]
fn exhausted_budget_allows_no_second_attempt() {
    let mut attempts = sent(Kind::Idempotent, 2, &["a"]);
    assert_eq!(attempts.ended(Outcome::Unknown, || false), Next::Fail);
    let mut attempts = sent(Kind::Once, 2, &["a"]);
    assert_eq!(attempts.ended(Outcome::NotRun, || false), Next::Refuse);
}

#[test]
fn last_allowed_runner_is_never_followed_by_another() {
    let mut attempts = sent(Kind::Idempotent, 2, &["a", "b"]);
    assert_eq!(attempts.ended(Outcome::Unknown, || true), Next::Fail);
    let mut attempts = sent(Kind::Once, 1, &["a"]);
    assert_eq!(attempts.ended(Outcome::NotRun, || true), Next::Same);
    assert_eq!(attempts.confined().map(|name| &**name), Some("a"));
}

#[test]
fn failure_of_the_runner_is_relayed_when_no_attempt_is_left() {
    let mut attempts = sent(Kind::Once, 2, &["a"]);
    assert_eq!(attempts.ended(Outcome::Failed, || true), Next::Relay);
    let mut attempts = sent(Kind::Idempotent, 2, &["a"]);
    assert_eq!(attempts.ended(Outcome::Failed, || true), Next::Other);
}

#[test]
fn refusal_is_never_claimed_after_a_possible_run() {
    let mut attempts = sent(Kind::Idempotent, 2, &["a"]);
    assert_eq!(attempts.ended(Outcome::Unknown, || true), Next::Other);
    attempts.sent(&Name::from("b"));
    assert_eq!(attempts.ended(Outcome::NotRun, || false), Next::Fail);
    assert!(attempts.may_have_run());
}

#[test]
fn unsent_attempts_are_free_but_bounded() {
    let mut attempts = Attempts::new(Kind::Once, 1);
    let budget = || panic!("nothing arrived, so the budget is not asked");
    for _ in 0..4 {
        assert_eq!(attempts.ended(Outcome::NotSent, budget), Next::Any);
    }
    assert_eq!(attempts.ended(Outcome::NotSent, budget), Next::Refuse);
}

#[test]
fn any_sequence_of_outcomes_keeps_the_promises() {
    each(|(kind, max, outcomes): (u8, u8, Vec<u8>)| {
        let kinds = [Kind::Idempotent, Kind::Once, STREAM, RESUMABLE];
        let kind = kinds[usize::from(kind % 4)];
        let max = u32::from(max % 3) + 1;
        replay(kind, max, &outcomes);
    });
}

/// Follows what the decisions say and checks each promise on the way.
fn replay(kind: Kind, max: u32, outcomes: &[u8]) {
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
            attempts.sent(&Name::from(format!("r{runner}")));
        }
        runs += u32::from(matches!(outcome, Outcome::Unknown | Outcome::Failed));
        let next = attempts.ended(outcome, || true);
        assert!(attempts.tried().len() as u32 <= max);
        assert!(kind.is_repeatable() || runs <= 1, "ran twice");
        match next {
            Next::Other => {
                assert!(kind.is_repeatable());
                runner += 1;
            }
            Next::Any => runner += u32::from((attempts.tried().len() as u32) < max),
            Next::Same => assert!(kind.is_repeatable() || runs == 0),
            Next::Refuse => {
                assert_eq!(runs, 0, "refused after a run");
                return;
            }
            Next::Fail | Next::Relay => return,
        }
    }
}
