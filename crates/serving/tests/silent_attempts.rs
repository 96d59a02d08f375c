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
use serving::silence::Rivals;
use serving::silence::SilenceScope;
use serving::silence::SilenceWatch;

const STREAM: RouteKind = RouteKind::Stream { resumable: true };
const SENT_AT: Time = Time::from_ms(1_000);
const PATIENCE: Duration = Duration::from_millis(300);

fn ms(ms: u64) -> Time {
    Time::from_ms(ms)
}

fn rivals(scope: SilenceScope, heard_at: Option<u64>, is_last: bool) -> Rivals {
    Rivals {
        scope,
        sent_at: SENT_AT,
        heard_at: heard_at.map(ms),
        is_last,
    }
}

/// Two runners at work on a stream for longer than the runners' rules allow.
#[test]
fn stream_is_at_two_runners_for_a_moment_only() {
    let handover = Handover::of(STREAM);
    let until = SENT_AT.after(MAX_OVERLAP);
    assert!(MAX_OVERLAP <= Duration::from_millis(300));
    let all = rivals(SilenceScope::Request, Some(1_010), true);
    let before = silence::choose(ms(1_100), handover, &all);
    assert_eq!(before, Choice::Both(Some(until)));
    let after = silence::choose(until, handover, &all);
    assert!(!matches!(after, Choice::Both(_)));
}

/// A silent stream that is given up for another one that is silent as well, and one that hangs for good
/// and is kept.
#[test]
fn stream_is_given_up_only_if_its_runner_answers_others() {
    let until = SENT_AT.after(MAX_OVERLAP);
    let cases = [
        (SilenceScope::Runner, Some(1_010), true, Choice::Silent),
        (SilenceScope::Request, Some(990), true, Choice::Silent),
        (SilenceScope::Request, None, true, Choice::Silent),
        (SilenceScope::Request, Some(1_010), false, Choice::Silent),
        (
            SilenceScope::Request,
            Some(1_010),
            true,
            Choice::Replacement,
        ),
    ];
    for (scope, heard_at, is_last, expected) in cases {
        let rivals = rivals(scope, heard_at, is_last);
        let choice = silence::choose(until, Handover::Exclusive, &rivals);
        assert_eq!(choice, expected, "{rivals:?}");
    }
}

/// A prompt that takes longer to read than two runners may work on it.
#[test]
fn long_prompts_are_known() {
    assert!(silence::is_long_prompt(9_190, 44));
    assert!(!silence::is_long_prompt(646, 44));
    assert!(!silence::is_long_prompt(9_190, 0));
}

/// A whole request whose first attempt is given up before the second one has answered.
#[test]
fn whole_request_waits_for_both_attempts() {
    let handover = Handover::of(RouteKind::Idempotent);
    let choice = silence::choose(
        ms(9_000),
        handover,
        &rivals(SilenceScope::Request, Some(1_010), true),
    );
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
    let cases = [
        (1_000, Some(1_900), SilenceScope::Request),
        (1_000, Some(1_500), SilenceScope::Runner),
        (1_000, None, SilenceScope::Runner),
        // The last word of others came with the last one of this attempt.
        (1_850, Some(1_900), SilenceScope::Runner),
    ];
    for (since, heard_at, expected) in cases {
        let scope = silence::scope(ms(2_000), ms(since), heard_at.map(ms));
        assert_eq!(
            scope, expected,
            "silent since {since}, heard at {heard_at:?}"
        );
    }
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

/// A request at a dead runner that is lost, or a stream that is cut, because the second runner was tried
/// beside the first one and let go.
#[test]
fn runner_tried_beside_a_dead_one_is_tried_again() {
    for kind in [RouteKind::Idempotent, STREAM] {
        for (max_runners, expected) in [(2, NextStep::TrySame), (3, NextStep::TryOther)] {
            for outcome in [Outcome::NotRun, Outcome::Unknown, Outcome::Failed] {
                let mut attempts = sent(kind, max_runners, &["a", "b"]);
                attempts.record_ended_beside(&Name::from("b"), outcome);
                let step = attempts.record_outcome(Outcome::Unknown, || true);
                assert_eq!(step, expected, "{kind:?}, {outcome:?}");
                let only = attempts.only_runner().map(|name| &**name);
                assert_eq!(only, (max_runners == 2).then_some("b"));
            }
        }
    }
}

/// A stream whose harmless pauses use up its rescues.
#[test]
fn progress_allows_new_replacements() {
    let mut attempts = sent(STREAM, 2, &["a"]);
    for _ in 0..9 {
        assert!(attempts.may_replace());
        attempts.record_sent(&Name::from("b"));
        attempts.record_ended_beside(&Name::from("b"), Outcome::Unknown);
        attempts.record_progress();
    }
}

/// A request at more runners than its route allows: one that was tried before takes the place of a new one.
#[test]
fn runner_that_was_tried_first_is_the_only_one_left() {
    for outcome in [Outcome::NotRun, Outcome::Unknown] {
        let mut attempts = sent(STREAM, 2, &["a", "b"]);
        attempts.record_ended_beside(&Name::from("a"), outcome);
        assert!(attempts.may_replace());
        assert_eq!(attempts.only_runner().map(|name| &**name), Some("a"));
    }
    let mut attempts = sent(STREAM, 2, &["a"]);
    assert_eq!(
        attempts.record_outcome(Outcome::NotRun, || true),
        NextStep::TryAny
    );
    attempts.record_sent(&Name::from("b"));
    assert!(attempts.may_replace());
    let step = attempts.record_outcome(Outcome::Unknown, || true);
    assert_eq!(step, NextStep::TrySame);
    assert_eq!(attempts.only_runner().map(|name| &**name), Some("a"));
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
