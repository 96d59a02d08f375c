//! Guards against crashes that are put together wrongly: from broken connections without a crash,
//! from planned stops, or from requests that had nothing to do with it.

use decision::time::Time;
use serving::crash_reports::BrokenAttempt;
use serving::crash_reports::CrashReports;
use serving::quarantine::Crash;
use serving::request::PartId;

const BORN: u64 = 7;
const A: PartId = PartId(1);
const B: PartId = PartId(2);
const C: PartId = PartId(3);

fn at(ms: u64) -> Time {
    Time::from_ms(ms)
}

fn broken(begun: bool, parts: &[PartId]) -> BrokenAttempt {
    BrokenAttempt {
        runner: "r".into(),
        born: BORN,
        begun,
        parts: parts.to_vec(),
        served: Vec::new(),
        whole: None,
    }
}

fn crash(begun: bool, requests: &[&[PartId]], served: &[PartId]) -> Crash {
    Crash {
        runner: "r".into(),
        born: BORN,
        begun,
        requests: requests.iter().map(|parts| parts.to_vec()).collect(),
        served: served.to_vec(),
        whole: Vec::new(),
    }
}

/// Returns the reports of an agent whose runner has answered.
fn reports() -> CrashReports {
    let mut reports = CrashReports::default();
    reports.runner_seen(at(0), BORN, false);
    reports
}

fn changed(reports: &mut CrashReports) -> Vec<Crash> {
    let news = reports.take_changed().into_iter();
    news.map(|news| news.crash).collect()
}

#[test]
fn crash_is_new_once() {
    let mut reports = reports();
    reports.record_broken(at(100), broken(true, &[A, B]));
    reports.runner_down(at(100));
    let is_new = |reports: &mut CrashReports| reports.take_changed()[0].is_new;
    assert!(is_new(&mut reports));
    reports.record_broken(at(110), broken(true, &[A, C]));
    assert!(!is_new(&mut reports));
}

#[test]
fn broken_attempts_are_a_crash_once_the_runner_is_down() {
    let mut reports = reports();
    reports.record_broken(at(100), broken(false, &[A, B]));
    assert_eq!(changed(&mut reports), []);
    reports.runner_down(at(150));
    assert_eq!(changed(&mut reports), [crash(false, &[&[A, B]], &[])]);
    assert_eq!(changed(&mut reports), [], "told once");
    reports.record_broken(at(160), broken(false, &[A, C]));
    assert_eq!(
        changed(&mut reports),
        [crash(false, &[&[A, B], &[A, C]], &[])]
    );
}

#[test]
fn down_may_be_seen_before_the_reports() {
    let mut reports = reports();
    reports.runner_down(at(100));
    assert_eq!(changed(&mut reports), []);
    reports.record_broken(at(400), broken(true, &[A, B]));
    assert_eq!(changed(&mut reports), [crash(true, &[&[A, B]], &[])]);
}

#[test]
fn restart_shows_a_crash_that_was_not_seen() {
    let mut reports = reports();
    reports.record_broken(at(100), broken(true, &[A, B]));
    reports.runner_seen(at(300), BORN + 1, false);
    assert_eq!(changed(&mut reports), [crash(true, &[&[A, B]], &[])]);
}

#[test]
fn only_begun_answers_are_suspect_where_there_are_any() {
    let mut reports = reports();
    reports.record_broken(at(100), broken(false, &[A, B]));
    reports.runner_down(at(100));
    changed(&mut reports);
    reports.record_broken(at(110), broken(true, &[A, C]));
    assert_eq!(changed(&mut reports), [crash(true, &[&[A, C]], &[])]);
}

#[test]
fn broken_connections_of_a_live_runner_are_no_crash() {
    let mut reports = reports();
    reports.record_broken(at(100), broken(true, &[A, B]));
    reports.runner_seen(at(300), BORN, false);
    assert_eq!(changed(&mut reports), []);
    reports.runner_down(at(10_000));
    assert_eq!(changed(&mut reports), [], "the report is too old");
}

/// A runner that breaks off some answers may crash much later.
#[test]
fn earlier_broken_connections_do_not_hide_a_crash() {
    let mut reports = reports();
    for number in 0..100 {
        reports.record_broken(at(100 + number), broken(true, &[A, PartId(1_000 + number)]));
    }
    reports.runner_seen(at(60_000), BORN, false);
    reports.record_broken(at(60_100), broken(true, &[A, B]));
    reports.runner_down(at(60_150));
    assert_eq!(changed(&mut reports), [crash(true, &[&[A, B]], &[])]);
    reports.record_broken(at(70_000), broken(true, &[A, C]));
    assert_eq!(changed(&mut reports), [], "the crash is long over");
}

#[test]
fn runner_that_answers_again_has_not_crashed() {
    let mut reports = reports();
    reports.runner_down(at(100));
    reports.runner_seen(at(300), BORN, false);
    reports.record_broken(at(400), broken(true, &[A, B]));
    assert_eq!(changed(&mut reports), []);
}

#[test]
fn end_of_a_draining_runner_is_no_crash() {
    let mut reports = reports();
    reports.runner_seen(at(50), BORN, true);
    reports.record_broken(at(100), broken(true, &[A, B]));
    reports.runner_down(at(110));
    reports.runner_seen(at(300), BORN + 1, false);
    assert_eq!(changed(&mut reports), []);
}

#[test]
fn served_parts_are_put_together() {
    let mut reports = reports();
    let attempt = BrokenAttempt {
        served: vec![A],
        ..broken(true, &[A, B, C])
    };
    reports.record_broken(at(100), attempt);
    reports.runner_down(at(100));
    assert_eq!(changed(&mut reports), [crash(true, &[&[A, B, C]], &[A])]);
    reports.record_vouch(BORN, &[B]);
    assert_eq!(changed(&mut reports), [crash(true, &[&[A, B, C]], &[A, B])]);
    reports.record_vouch(BORN, &[B]);
    assert_eq!(changed(&mut reports), []);
}

#[test]
fn requests_without_shared_parts_are_no_evidence() {
    let mut reports = reports();
    reports.record_broken(at(100), broken(true, &[]));
    reports.runner_down(at(100));
    assert_eq!(changed(&mut reports), []);
}

#[test]
fn recent_crashes_are_told_to_new_entries() {
    let mut reports = reports();
    reports.record_broken(at(100), broken(true, &[A, B]));
    reports.runner_down(at(100));
    changed(&mut reports);
    assert_eq!(reports.recent(at(30_000)), [crash(true, &[&[A, B]], &[])]);
    assert_eq!(reports.recent(at(61_000)), []);
}

#[test]
fn memory_is_bounded() {
    let mut reports = CrashReports::default();
    for born in 0..1_000 {
        reports.runner_seen(at(born), born, false);
        for number in 0..100 {
            let attempt = BrokenAttempt {
                born,
                served: vec![PartId(number)],
                ..broken(true, &[PartId(number)])
            };
            reports.record_broken(at(born), attempt);
        }
    }
    let recent = reports.recent(at(1_000));
    assert!(recent.len() <= 16);
    assert!(recent.iter().all(|crash| crash.requests.len() <= 32));
}
