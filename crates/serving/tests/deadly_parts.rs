//! Guards against requests that keep crashing runners because of a part of their prompt, and against
//! holding back others for it.

use std::time::Duration;

use decision::time::Time;
use serving::quarantine::Admission;
use serving::quarantine::Crash;
use serving::quarantine::Quarantine;
use serving::quarantine::RefusalCause;
use serving::request::PartId;

/// The part that all requests of a route begin with.
const ROUTE: PartId = PartId(1);
/// The parts of two callers.
const CALLER: PartId = PartId(10);
const OTHER_CALLER: PartId = PartId(11);
/// Parts on which runners crash.
const DEADLY: PartId = PartId(100);
const ALSO_DEADLY: PartId = PartId(101);

fn at(ms: u64) -> Time {
    Time::from_ms(ms)
}

/// Returns the crash of runner `number`, in which the answers to these requests had begun.
fn crash(number: u64, requests: &[&[PartId]], served: &[PartId]) -> Crash {
    Crash {
        runner: format!("r{number}").into(),
        born: number,
        begun: true,
        requests: requests.iter().map(|parts| parts.to_vec()).collect(),
        served: served.to_vec(),
        whole: Vec::new(),
    }
}

/// Returns the crash of runner `number`, on which these requests were waiting.
fn crash_with_waiting(number: u64, requests: &[&[PartId]], served: &[PartId]) -> Crash {
    Crash {
        begun: false,
        ..crash(number, requests, served)
    }
}

/// Records crashes of one runner after the other, 100 ms apart from `start`, with the same requests.
fn record(
    quarantine: &mut Quarantine,
    start: u64,
    count: u64,
    requests: &[&[PartId]],
) -> Vec<PartId> {
    let mut held = Vec::new();
    for number in 0..count {
        let now = start + number * 100;
        let effect = quarantine.record_crash(at(now), crash(now, requests, &[ROUTE]));
        held.extend(effect.held);
    }
    held
}

fn refusal(quarantine: &mut Quarantine, now: Time, parts: &[PartId]) -> Option<RefusalCause> {
    match quarantine.admit(now, parts) {
        Admission::Refused(refusal) => Some(refusal.cause),
        Admission::Free | Admission::Canary(_) | Admission::Probe(_) => None,
    }
}

#[test]
fn part_of_two_crashes_is_held() {
    let mut quarantine = Quarantine::default();
    let held = record(&mut quarantine, 0, 2, &[&[ROUTE, CALLER, DEADLY]]);
    assert_eq!(held, [DEADLY]);
    let parts = [ROUTE, OTHER_CALLER, DEADLY];
    assert_eq!(
        refusal(&mut quarantine, at(200), &parts),
        Some(RefusalCause::Held)
    );
}

#[test]
fn sound_requests_of_the_caller_and_the_route_are_sent() {
    let mut quarantine = Quarantine::default();
    record(&mut quarantine, 0, 2, &[&[ROUTE, CALLER, DEADLY]]);
    assert_eq!(quarantine.admit(at(200), &[ROUTE, CALLER]), Admission::Free);
    assert_eq!(
        quarantine.admit(at(200), &[ROUTE, OTHER_CALLER]),
        Admission::Free
    );
}

#[test]
fn several_deadly_parts_are_held_each() {
    let mut quarantine = Quarantine::default();
    let mut held = record(&mut quarantine, 0, 1, &[&[ROUTE, CALLER, DEADLY]]);
    held.extend(record(
        &mut quarantine,
        1_000,
        1,
        &[&[ROUTE, CALLER, ALSO_DEADLY]],
    ));
    assert_eq!(held, [], "one crash each");
    held.extend(record(
        &mut quarantine,
        2_000,
        1,
        &[&[ROUTE, CALLER, DEADLY]],
    ));
    held.extend(record(
        &mut quarantine,
        3_000,
        1,
        &[&[ROUTE, CALLER, ALSO_DEADLY]],
    ));
    assert_eq!(held, [DEADLY, ALSO_DEADLY]);
    assert_eq!(
        quarantine.admit(at(4_000), &[ROUTE, CALLER]),
        Admission::Free
    );
}

#[test]
fn part_before_others_is_held_when_it_is_the_deadly_one() {
    let mut quarantine = Quarantine::default();
    let mut held = Vec::new();
    for number in 0..3 {
        let own = PartId(200 + number);
        let requests: [&[PartId]; 1] = [&[ROUTE, DEADLY, own]];
        held.extend(record(&mut quarantine, number * 1_000, 1, &requests));
    }
    assert_eq!(held, [DEADLY]);
}

#[test]
fn one_request_at_a_time_tries_a_part_after_a_crash() {
    let mut quarantine = Quarantine::default();
    record(&mut quarantine, 0, 1, &[&[ROUTE, CALLER, DEADLY]]);
    let parts = [ROUTE, CALLER];
    let Admission::Canary(canary) = quarantine.admit(at(10), &parts) else {
        panic!("the first request is the canary");
    };
    assert_eq!(canary, [CALLER]);
    assert_eq!(
        refusal(&mut quarantine, at(20), &parts),
        Some(RefusalCause::Isolated)
    );
    assert_eq!(
        quarantine.admit(at(20), &[ROUTE, OTHER_CALLER]),
        Admission::Free
    );
    quarantine.end_canary(&canary);
    assert!(matches!(
        quarantine.admit(at(30), &parts),
        Admission::Canary(_)
    ));
}

#[test]
fn answer_ends_the_suspicion() {
    let mut quarantine = Quarantine::default();
    record(&mut quarantine, 0, 1, &[&[ROUTE, CALLER, DEADLY]]);
    let cleared = quarantine.record_answer(at(50), &[ROUTE, CALLER]);
    assert_eq!((cleared.isolated, cleared.held), (vec![CALLER], vec![]));
    assert_eq!(quarantine.admit(at(60), &[ROUTE, CALLER]), Admission::Free);
    // The crash is told again, because another entry has reported it as well.
    quarantine.record_crash(at(70), crash(0, &[&[ROUTE, CALLER, DEADLY]], &[ROUTE]));
    assert_eq!(quarantine.admit(at(80), &[ROUTE, CALLER]), Admission::Free);
    let isolated = quarantine.admit(at(80), &[ROUTE, DEADLY]);
    assert_eq!(isolated, Admission::Canary(vec![DEADLY]));
}

/// Runners crash for other reasons: the requests that waited there are retried, and crash with the
/// next runner of a series.
#[test]
fn parts_of_waiting_requests_are_held_after_three_crashes() {
    let mut quarantine = Quarantine::default();
    let requests: [&[PartId]; 2] = [&[ROUTE, CALLER], &[ROUTE, OTHER_CALLER]];
    let mut held = Vec::new();
    for number in 0..2 {
        let crash = crash_with_waiting(number, &requests, &[ROUTE]);
        held.extend(quarantine.record_crash(at(number * 100), crash).held);
    }
    assert_eq!(held, []);
    quarantine.record_answer(at(250), &[ROUTE, OTHER_CALLER]);
    let crash = crash_with_waiting(2, &requests, &[ROUTE]);
    held.extend(quarantine.record_crash(at(300), crash).held);
    assert_eq!(held, [CALLER]);
}

#[test]
fn crash_of_all_runners_holds_back_no_route() {
    let mut quarantine = Quarantine::default();
    quarantine.record_answer(at(0), &[ROUTE, CALLER]);
    for number in 0..12 {
        let crash = crash_with_waiting(number, &[&[ROUTE, CALLER]], &[]);
        let effect = quarantine.record_crash(at(1_000 + number * 10), crash);
        assert_eq!(effect.held, []);
    }
    // The first request after the crash tries the parts, and its answer ends the suspicion.
    let admission = quarantine.admit(at(4_000), &[ROUTE, CALLER]);
    assert!(matches!(admission, Admission::Canary(_)), "{admission:?}");
    quarantine.record_answer(at(4_200), &[ROUTE, CALLER]);
    assert_eq!(
        quarantine.admit(at(4_210), &[ROUTE, CALLER]),
        Admission::Free
    );
}

#[test]
fn part_that_turns_deadly_is_held_after_four_crashes() {
    let mut quarantine = Quarantine::default();
    let parts = [ROUTE, CALLER, DEADLY];
    quarantine.record_answer(at(0), &parts);
    let mut held = Vec::new();
    for number in 0..4 {
        assert_eq!(held, [], "crash {number}");
        let now = at(1_000 + number * 100);
        let effect = quarantine.record_crash(now, crash(number, &[&parts], &[]));
        held.extend(effect.held);
    }
    assert_eq!(held, [DEADLY]);
    let told = quarantine.record_crash(at(1_400), crash(0, &[&parts], &parts));
    assert_eq!(told.released, [], "it was known to have been served");
    assert_eq!(
        refusal(&mut quarantine, at(1_500), &parts),
        Some(RefusalCause::Held)
    );
    assert_eq!(
        quarantine.admit(at(1_500), &[ROUTE, CALLER]),
        Admission::Free
    );
}

#[test]
fn part_that_was_served_before_is_held_when_its_canaries_crash_runners() {
    let mut quarantine = Quarantine::default();
    let parts = [ROUTE, CALLER, DEADLY];
    quarantine.record_answer(at(0), &parts);
    let mut held = Vec::new();
    for number in 0..5 {
        let now = at(1_000 + number * 2_000);
        let effect = quarantine.record_crash(now, crash_with_waiting(number, &[&parts], &[]));
        held.extend(effect.held);
        // Sound requests go on being answered.
        let answered_at = now.after(Duration::from_millis(50));
        quarantine.record_answer(answered_at, &[ROUTE, CALLER]);
    }
    assert_eq!(held, [DEADLY]);
    assert_eq!(
        quarantine.admit(at(10_000), &[ROUTE, CALLER]),
        Admission::Free
    );
}

#[test]
fn word_of_an_entry_that_has_served_the_part_withdraws_the_hold() {
    let mut quarantine = Quarantine::default();
    let held = record(&mut quarantine, 0, 2, &[&[ROUTE, CALLER]]);
    assert_eq!(held, [CALLER]);
    let crash = crash(0, &[&[ROUTE, CALLER]], &[ROUTE, CALLER]);
    let effect = quarantine.record_crash(at(150), crash);
    assert_eq!(effect.released, [CALLER]);
    assert_eq!(quarantine.admit(at(160), &[ROUTE, CALLER]), Admission::Free);
}

#[test]
fn entry_vouches_for_parts_that_it_has_served() {
    let mut quarantine = Quarantine::default();
    quarantine.record_answer(at(0), &[ROUTE, CALLER]);
    let crash = crash(0, &[&[ROUTE, CALLER, DEADLY]], &[ROUTE]);
    let effect = quarantine.record_crash(at(100), crash.clone());
    assert_eq!(effect.vouched, [CALLER]);
    let told = Crash {
        served: vec![ROUTE, CALLER],
        ..crash
    };
    assert_eq!(quarantine.record_crash(at(110), told).vouched, []);
}

#[test]
fn hold_expires_for_one_probe_and_doubles_when_it_crashes() {
    let mut quarantine = Quarantine::default();
    let parts = [ROUTE, CALLER, DEADLY];
    record(&mut quarantine, 0, 2, &[&parts]);
    let Admission::Refused(refusal) = quarantine.admit(at(1_100), &parts) else {
        panic!("the part is held");
    };
    assert_eq!(refusal.part, DEADLY);
    assert_eq!(refusal.retry_after, Duration::from_secs(29));
    assert_eq!(
        quarantine.admit(at(30_100), &parts),
        Admission::Probe(DEADLY)
    );
    let effect = quarantine.record_crash(at(30_300), crash(9, &[&parts], &[ROUTE]));
    assert_eq!(effect.held, [DEADLY]);
    let Admission::Refused(refusal) = quarantine.admit(at(30_300), &parts) else {
        panic!("the part is held again");
    };
    assert_eq!(refusal.retry_after, Duration::from_secs(60));
}

#[test]
fn answer_to_the_probe_ends_the_hold() {
    let mut quarantine = Quarantine::default();
    let parts = [ROUTE, CALLER, DEADLY];
    record(&mut quarantine, 0, 2, &[&parts]);
    assert_eq!(
        quarantine.admit(at(30_100), &parts),
        Admission::Probe(DEADLY)
    );
    let cleared = quarantine.record_answer(at(30_300), &parts);
    assert_eq!((cleared.isolated, cleared.held), (vec![], vec![DEADLY]));
    assert_eq!(quarantine.admit(at(30_310), &parts), Admission::Free);
}

#[test]
fn suspicion_is_forgotten() {
    let mut quarantine = Quarantine::default();
    record(&mut quarantine, 0, 1, &[&[ROUTE, CALLER, DEADLY]]);
    assert_eq!(
        quarantine.admit(at(61_000), &[ROUTE, DEADLY]),
        Admission::Free
    );
}

#[test]
fn memory_is_bounded() {
    let mut quarantine = Quarantine::default();
    for number in 0..300 {
        let parts = [ROUTE, PartId(1_000 + number)];
        quarantine.record_crash(
            at(number),
            crash(number, &[parts.as_slice(); 500], &[ROUTE]),
        );
        quarantine.record_answer(at(number), &[PartId(1_000_000 + number)]);
    }
    let (held, isolated) = quarantine.counts(at(300));
    assert!(held <= 256);
    assert!(isolated <= 64 * 32);
}
