//! The ledger of attempts: at most one submission per claimed request, and refusals that are kept.

mod harness;
use harness::*;

const T0: Time = Time(0);

fn with_attempt(job: Job, attempt: u32) -> Job {
    Job { attempt, ..job }
}

fn refused(reason: Refusal) -> Admission {
    Admission::Seen(Outcome::NotRun(reason))
}

/// Guards against a duplicated dispatch that runs a claimed request twice.
#[test]
fn duplicate_is_not_submitted() {
    let mut ledger = Ledger::new(OWN);
    assert_eq!(ledger.admit(T0, &claimed(1, "a")), Admission::New);
    assert!(ledger.submit(key(1)));
    assert!(!ledger.submit(key(1)));
    let seen = ledger.admit(T0, &claimed(1, "a"));
    assert_eq!(seen, Admission::Seen(Outcome::Pending));
    ledger.end(T0, key(1), true, Outcome::Unknown);
    assert!(!ledger.submit(key(1)));
    assert_eq!(ledger.settle(T0, key(1)), Outcome::Unknown);
}

/// Guards against running a dispatch that arrives after its entry was told that the attempt was not
/// run.
#[test]
fn settled_attempt_is_refused_later() {
    let mut ledger = Ledger::new(OWN);
    let settled = Outcome::NotRun(Refusal::Settled);
    assert_eq!(ledger.settle(T0, key(1)), settled);
    let late = ledger.admit(T0, &claimed(1, "a"));
    assert_eq!(late, refused(Refusal::Settled));
    assert!(!ledger.submit(key(1)));
}

/// Guards against running an attempt whose claim names the incarnation before a restart of the agent.
#[test]
fn claim_of_other_incarnation_is_stale() {
    let mut ledger = Ledger::new(OWN);
    let mut old = claimed(1, "a");
    old.claim = Some(Incarnation(1));
    assert_eq!(ledger.admit(T0, &old), refused(Refusal::StaleClaim));
    // The refusal was reported, so a corrected claim of the same attempt must not run either.
    let again = ledger.admit(T0, &claimed(1, "a"));
    assert_eq!(again, refused(Refusal::StaleClaim));
}

/// Guards against running the dispatch of a paused claimant that arrives after a higher attempt.
#[test]
fn superseded_attempt_is_stale() {
    let mut ledger = Ledger::new(OWN);
    let second = with_attempt(claimed(1, "a"), 2);
    assert_eq!(ledger.admit(T0, &second), Admission::New);
    let first = ledger.admit(T0, &claimed(1, "a"));
    assert_eq!(first, refused(Refusal::StaleClaim));
}

/// Guards against submitting two attempts at one claimed request that are queued at the same time.
#[test]
fn one_submission_per_claimed_request() {
    let mut ledger = Ledger::new(OWN);
    ledger.admit(T0, &claimed(1, "a"));
    let second = with_attempt(claimed(1, "a"), 2);
    assert_eq!(ledger.admit(T0, &second), Admission::New);
    assert!(!ledger.submit(key(1)));
    assert!(ledger.submit(AttemptKey::of(&second)));
    let third = with_attempt(claimed(1, "a"), 3);
    assert_eq!(ledger.admit(T0, &third), refused(Refusal::StaleClaim));
}

/// Guards against refusing the next attempt at a claimed request that the engine certainly did not
/// run, and against accepting one if the request ran or may have run.
#[test]
fn next_attempt_needs_proof() {
    for (outcome, admission) in [
        (Outcome::NotRun(Refusal::EngineDown), Admission::New),
        (Outcome::Unknown, refused(Refusal::StaleClaim)),
        (Outcome::Ran, refused(Refusal::StaleClaim)),
    ] {
        let mut ledger = Ledger::new(OWN);
        ledger.admit(T0, &claimed(1, "a"));
        ledger.submit(key(1));
        ledger.end(T0, key(1), true, outcome);
        let second = with_attempt(claimed(1, "a"), 2);
        assert_eq!(ledger.admit(T0, &second), admission, "{outcome}");
        assert!(!ledger.submit(key(1)));
    }
}

/// Guards against memory that grows with repeatable traffic, and against forgetting a claimed request.
#[test]
fn only_repeatable_attempts_are_forgotten() {
    let mut ledger = Ledger::new(OWN);
    for (id, job) in [(1, job(1, "a")), (2, claimed(2, "a"))] {
        ledger.admit(T0, &job);
        ledger.submit(key(id));
        ledger.end(T0, key(id), job.claim.is_some(), Outcome::Ran);
    }
    ledger.prune(Time::from_ms(599_000));
    assert_eq!(ledger.counts().ended, 2);
    ledger.prune(Time::from_ms(600_000));
    assert_eq!(ledger.outcome(key(1)), None);
    assert_eq!(ledger.outcome(key(2)), Some(Outcome::Ran));
    for id in 0..70_000 {
        ledger.refuse(T0, key(100 + id), false, Refusal::Overloaded);
    }
    ledger.prune(T0);
    assert!(ledger.counts().ended <= 65_537);
}
