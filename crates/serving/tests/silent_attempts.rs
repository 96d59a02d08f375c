//! Guards against live attempts that are given up for nothing, and against silent ones that nobody
//! replaces.

use std::time::Duration;

use decision::time::Time;
use serving::Name;
use serving::attempt::Attempts;
use serving::attempt::NextStep;
use serving::attempt::Outcome;
use serving::config::RouteKind;
use serving::retry_budget::Allowance;
use serving::retry_budget::RetryBudget;
use serving::retry_budget::RetryCause;
use serving::silence;
use serving::silence::Choice;
use serving::silence::Handover;
use serving::silence::MAX_OVERLAP;
use serving::silence::RECHECK_INTERVAL;
use serving::silence::SilenceScope;
use serving::silence::SilenceWatch;

const STREAM: RouteKind = RouteKind::Stream { resumable: true };
const SENT_AT: Time = Time::from_ms(1_000);
const PATIENCE: Duration = Duration::from_millis(300);

fn ms(ms: u64) -> Time {
    Time::from_ms(ms)
}

/// Two runners at work on a stream for longer than the runners' rules allow, and a silent stream that is
/// given up for another one that is silent as well.
#[test]
fn stream_is_at_two_runners_for_a_moment_only() {
    let handover = Handover::of(STREAM);
    let until = SENT_AT.after(MAX_OVERLAP);
    assert!(MAX_OVERLAP <= Duration::from_millis(300));
    let before = silence::choose(ms(1_100), handover, SENT_AT);
    assert_eq!(before, Choice::Both(Some(until)));
    assert_eq!(silence::choose(until, handover, SENT_AT), Choice::Silent);
}

/// A whole request whose first attempt is given up before the second one has answered.
#[test]
fn whole_request_waits_for_both_attempts() {
    let handover = Handover::of(RouteKind::Idempotent);
    let choice = silence::choose(ms(9_000), handover, SENT_AT);
    assert_eq!(choice, Choice::Both(None));
}

/// A replacement that is looked for once, or without a pause.
#[test]
fn replacement_is_looked_for_again_after_a_pause() {
    let mut watch = SilenceWatch::new(SENT_AT, PATIENCE);
    assert_eq!(watch.due_at(), ms(1_300));
    assert!(watch.is_first_check());
    watch.record_check(ms(1_310));
    assert_eq!(watch.due_at(), ms(1_310).after(RECHECK_INTERVAL));
    assert!(!watch.is_first_check());
    watch.record_progress(ms(2_000));
    assert_eq!(watch.due_at(), ms(2_300));
    assert!(watch.is_first_check());
}

/// A paused runner that is taken for one that hangs on single requests, or the other way round.
#[test]
fn runner_that_answers_others_is_not_silent() {
    assert_eq!(
        silence::scope(ms(2_000), Some(ms(1_900))),
        SilenceScope::Request
    );
    assert_eq!(
        silence::scope(ms(2_000), Some(ms(1_500))),
        SilenceScope::Runner
    );
    assert_eq!(silence::scope(ms(2_000), None), SilenceScope::Runner);
}

fn sent(kind: RouteKind, max_runners: u32, runners: &[&str]) -> Attempts {
    let mut attempts = Attempts::new(kind, max_runners);
    for runner in runners {
        attempts.record_sent(&Name::from(*runner));
    }
    attempts
}

/// A request at more runners than its route allows, or at two although it may run once.
#[test]
fn replacements_keep_to_the_allowed_attempts() {
    assert!(sent(RouteKind::Idempotent, 2, &["a"]).may_replace());
    assert!(sent(STREAM, 2, &["a"]).may_replace());
    assert!(!sent(RouteKind::Idempotent, 1, &["a"]).may_replace());
    assert!(!sent(RouteKind::NonIdempotent, 3, &["a"]).may_replace());
    assert!(!sent(RouteKind::Stream { resumable: false }, 3, &["a"]).may_replace());
    assert!(!sent(RouteKind::Idempotent, 3, &["a", "b"]).may_replace());
}

/// A hanging request that is not rescued because the second runner was full or silent for a moment, and
/// one that is sent on and on.
#[test]
fn ended_replacement_may_be_sent_again() {
    for (outcome, most) in [(Outcome::NotRun, 4), (Outcome::Unknown, 3)] {
        let mut attempts = sent(STREAM, 2, &["a"]);
        let mut replacements = 0;
        while attempts.may_replace() && replacements < 100 {
            attempts.record_sent(&Name::from("b"));
            assert!(!attempts.may_replace());
            attempts.record_ended_beside(&Name::from("b"), outcome);
            assert_eq!(attempts.tried().len(), 2);
            replacements += 1;
        }
        assert_eq!(replacements, most, "{outcome:?}");
    }
}

/// A request whose silent first attempt is given up, and that is sent back to its runner.
#[test]
fn given_up_runner_is_not_tried_again() {
    let mut attempts = sent(STREAM, 2, &["a", "b"]);
    attempts.record_ended_beside(&Name::from("a"), Outcome::Unknown);
    assert!(!attempts.may_replace());
}

/// A request that is refused as not run while, or after, another attempt may have run it.
#[test]
fn attempt_beside_another_leaves_the_outcome_open() {
    let mut attempts = sent(RouteKind::Idempotent, 2, &["a", "b"]);
    attempts.record_ended_beside(&Name::from("a"), Outcome::Unknown);
    let step = attempts.record_outcome(Outcome::NotRun, || false);
    assert_eq!(step, NextStep::Fail);

    let mut attempts = sent(RouteKind::Idempotent, 3, &["a", "b"]);
    attempts.record_ended_beside(&Name::from("b"), Outcome::NotRun);
    assert!(attempts.may_have_run());
    assert_eq!(attempts.excluded().len(), 2);
}

/// A moment of silence that takes the retries of requests whose runners have crashed.
#[test]
fn silent_attempts_leave_retries_for_broken_ones() {
    let service = Name::from("chat");
    let allowance = Allowance {
        ratio: 0.2,
        slack: 56.0,
        window: Duration::from_secs(10),
    };
    let mut budget = RetryBudget::new(allowance, 4);
    for at in 0..500 {
        budget.record_request(ms(at), &service);
    }
    let now = ms(500);
    let mut take = |cause| {
        let tries = 0..1_000;
        tries
            .filter(|_| budget.try_take(now, &service, cause))
            .count()
    };
    let silent = take(RetryCause::Silent);
    let ended = take(RetryCause::Ended);
    assert!(silent > 0);
    assert!(ended * 5 >= silent, "{ended} left beside {silent}");
    assert!((silent + ended) as f64 <= 0.2 * 500.0 + 56.0 / 4.0);
}
