//! Crashes of runners without agents, as one entry finds them. Guards against broken connections that
//! are taken for crashes, against crashes that go unnoticed, and against checks without a bound.

use std::net::SocketAddr;

use decision::time::Time;
use serving::crash_reports::BrokenAttempt;
use serving::crash_watch::CheckResult;
use serving::crash_watch::CrashWatch;
use serving::request::PartId;

fn at(ms: u64) -> Time {
    Time::from_ms(ms)
}

fn addr(host: u8) -> SocketAddr {
    ([10, 0, 0, host], 80).into()
}

fn broken(born: u64, whole: u64) -> BrokenAttempt {
    BrokenAttempt {
        runner: "i-1".into(),
        born,
        begun: false,
        parts: Vec::new(),
        served: Vec::new(),
        whole: Some(PartId(whole)),
    }
}

/// Returns the requests of each crash that is new.
fn crashes(watch: &mut CrashWatch) -> Vec<Vec<PartId>> {
    let crashes = watch.take_crashes().into_iter();
    crashes.map(|crash| crash.whole).collect()
}

#[test]
fn refused_connection_makes_broken_attempts_a_crash() {
    let mut watch = CrashWatch::default();
    watch.record_broken(at(0), at(0), addr(1), broken(1, 7));
    watch.record_broken(at(1), at(0), addr(1), broken(1, 8));
    assert!(crashes(&mut watch).is_empty());
    let due = watch.due_checks(at(1));
    assert_eq!(due.len(), 1);
    assert_eq!((due[0].addr, due[0].born), (addr(1), 1));
    watch.record_check(at(2), "i-1", 1, CheckResult::Ended);
    assert_eq!(crashes(&mut watch), [[PartId(7), PartId(8)]]);
    // An attempt whose end is seen later belongs to the same crash.
    watch.record_broken(at(3), at(0), addr(1), broken(1, 9));
    assert_eq!(crashes(&mut watch), [[PartId(7), PartId(8), PartId(9)]]);
}

#[test]
fn live_runner_is_checked_a_few_times_and_has_not_crashed() {
    let mut watch = CrashWatch::default();
    let mut checks = 0;
    for ms in 0..3_000 {
        if ms % 10 == 0 {
            watch.record_broken(at(ms), at(0), addr(1), broken(1, ms));
        }
        for check in watch.due_checks(at(ms)) {
            checks += 1;
            watch.record_check(at(ms), &check.runner, check.born, CheckResult::Unclear);
        }
    }
    assert_eq!(checks, 3);
    assert_eq!(watch.next_check(), None);
    assert!(crashes(&mut watch).is_empty());
}

#[test]
fn port_that_closes_late_is_seen_by_a_later_check() {
    let mut watch = CrashWatch::default();
    watch.record_broken(at(0), at(0), addr(1), broken(1, 7));
    assert_eq!(watch.due_checks(at(0)).len(), 1);
    watch.record_check(at(1), "i-1", 1, CheckResult::Unclear);
    let next = watch.next_check().expect("another check");
    assert_eq!(watch.due_checks(next).len(), 1);
    watch.record_check(next, "i-1", 1, CheckResult::Ended);
    assert_eq!(crashes(&mut watch).len(), 1);
}

#[test]
fn later_incarnation_at_the_address_shows_the_crash() {
    let mut watch = CrashWatch::default();
    watch.record_broken(at(0), at(0), addr(1), broken(1, 7));
    watch.record_start(at(500), "i-9", addr(2), 5);
    assert!(crashes(&mut watch).is_empty());
    watch.record_start(at(900), "i-9", addr(1), 5);
    assert_eq!(crashes(&mut watch), [[PartId(7)]]);
}

#[test]
fn end_long_after_the_broken_attempt_is_no_crash_of_it() {
    let mut watch = CrashWatch::default();
    watch.record_broken(at(0), at(0), addr(1), broken(1, 7));
    watch.record_start(at(9_000), "i-9", addr(1), 5);
    assert!(crashes(&mut watch).is_empty());
}

#[test]
fn result_about_an_earlier_incarnation_changes_nothing() {
    let mut watch = CrashWatch::default();
    watch.record_broken(at(0), at(0), addr(1), broken(2, 7));
    watch.record_check(at(1), "i-1", 1, CheckResult::Ended);
    assert!(crashes(&mut watch).is_empty());
}

#[test]
fn watched_runners_are_bounded() {
    let mut watch = CrashWatch::default();
    for runner in 0..2_000u64 {
        let mut attempt = broken(1, runner);
        attempt.runner = format!("i-{runner}").as_str().into();
        watch.record_broken(at(runner), at(0), addr(1), attempt);
    }
    assert!(watch.due_checks(at(2_000)).len() <= 256);
}

#[test]
fn answer_after_the_broken_attempt_shows_that_the_runner_lives() {
    let mut watch = CrashWatch::default();
    watch.record_broken(at(0), at(0), addr(1), broken(1, 7));
    watch.record_answer("i-1", 1);
    watch.record_start(at(900), "i-9", addr(1), 5);
    assert!(crashes(&mut watch).is_empty());
}

/// The store may be away while the runner starts again.
#[test]
fn news_of_the_next_incarnation_may_take_seconds() {
    let mut watch = CrashWatch::default();
    watch.record_broken(at(0), at(0), addr(1), broken(1, 7));
    watch.record_start(at(5_000), "i-9", addr(1), 5);
    assert_eq!(crashes(&mut watch), [[PartId(7)]]);
}

/// An address behind a proxy accepts connections although its runner has ended.
#[test]
fn attempt_that_was_sent_after_the_first_one_broke_is_not_to_blame() {
    let mut watch = CrashWatch::default();
    watch.record_broken(at(10), at(0), addr(1), broken(1, 7));
    watch.record_broken(at(12), at(9), addr(1), broken(1, 8));
    watch.record_broken(at(20), at(15), addr(1), broken(1, 9));
    watch.record_start(at(900), "i-9", addr(1), 5);
    assert_eq!(crashes(&mut watch), [[PartId(7), PartId(8)]]);
}
