//! Whole requests on which runners crash. Guards against repeats that go on crashing runners, against
//! sound requests that are held for the crashes of others, and against evidence without a bound.

use std::time::Duration;

use decision::time::Time;
use serving::quarantine::Admission;
use serving::quarantine::CRASH_MEMORY;
use serving::quarantine::Crash;
use serving::quarantine::MAX_CRASH_REQUESTS;
use serving::quarantine::Quarantine;
use serving::quarantine::RefusalCause;
use serving::request::PartId;

const DEADLY: PartId = PartId(0xdead);
const SOUND: PartId = PartId(0x50);
const OTHER: PartId = PartId(0x51);

fn at(ms: u64) -> Time {
    Time::from_ms(ms)
}

/// Returns the crash of an incarnation that was running these requests.
fn crash(born: u64, whole: &[PartId]) -> Crash {
    Crash {
        runner: "i-1".into(),
        born,
        begun: false,
        requests: Vec::new(),
        served: Vec::new(),
        whole: whole.to_vec(),
    }
}

fn admit(quarantine: &mut Quarantine, ms: u64, whole: PartId) -> Admission {
    quarantine.admit_whole(at(ms), &[], Some(whole))
}

fn refused(admission: &Admission) -> Option<RefusalCause> {
    match admission {
        Admission::Refused(refusal) => Some(refusal.cause),
        _ => None,
    }
}

#[test]
fn third_crash_holds_the_request() {
    let mut quarantine = Quarantine::default();
    for born in 0..2 {
        let effect = quarantine.record_crash(at(born), crash(born, &[DEADLY]));
        assert!(effect.held.is_empty());
    }
    let effect = quarantine.record_crash(at(2), crash(2, &[DEADLY]));
    assert_eq!(effect.held, [DEADLY]);
    let admission = admit(&mut quarantine, 3, DEADLY);
    assert_eq!(refused(&admission), Some(RefusalCause::Held));
    let Admission::Refused(refusal) = admission else {
        panic!("it is refused");
    };
    assert!(refusal.whole);
    assert_eq!(refusal.to_string(), "runners crash on request dead");
    assert_eq!(admit(&mut quarantine, 3, SOUND), Admission::Free);
}

#[test]
fn crash_that_several_entries_tell_of_counts_once() {
    let mut quarantine = Quarantine::default();
    for _ in 0..5 {
        quarantine.record_crash(at(0), crash(0, &[DEADLY]));
        quarantine.record_crash(at(0), crash(0, &[SOUND]));
    }
    assert_ne!(
        refused(&admit(&mut quarantine, 1, DEADLY)),
        Some(RefusalCause::Held)
    );
}

#[test]
fn repeats_are_tried_one_at_a_time_after_a_crash() {
    let mut quarantine = Quarantine::default();
    quarantine.record_crash(at(0), crash(0, &[DEADLY, SOUND]));
    let canary = Admission::Canary(vec![DEADLY]);
    assert_eq!(admit(&mut quarantine, 1, DEADLY), canary);
    assert_eq!(
        refused(&admit(&mut quarantine, 1, DEADLY)),
        Some(RefusalCause::Isolated)
    );
    // Another one of the crash is tried beside it.
    assert_eq!(
        admit(&mut quarantine, 1, SOUND),
        Admission::Canary(vec![SOUND])
    );
    quarantine.end_canary(&[DEADLY]);
    assert_eq!(admit(&mut quarantine, 2, DEADLY), canary);
}

/// Sound requests that crashed with the deadly one twice must not be with it a third time.
#[test]
fn requests_of_two_crashes_are_tried_one_after_the_other() {
    let mut quarantine = Quarantine::default();
    for born in 0..2 {
        quarantine.record_crash(at(born), crash(born, &[DEADLY, SOUND, OTHER]));
    }
    assert_eq!(
        admit(&mut quarantine, 2, SOUND),
        Admission::Canary(vec![SOUND])
    );
    assert_eq!(
        refused(&admit(&mut quarantine, 2, DEADLY)),
        Some(RefusalCause::Isolated)
    );
    quarantine.end_canary(&[SOUND]);
    quarantine.clear(at(3), &[SOUND]);
    assert_eq!(admit(&mut quarantine, 3, SOUND), Admission::Free);
    assert_eq!(
        admit(&mut quarantine, 3, DEADLY),
        Admission::Canary(vec![DEADLY])
    );
    quarantine.end_canary(&[DEADLY]);
    let effect = quarantine.record_crash(at(4), crash(4, &[DEADLY]));
    assert_eq!(effect.held, [DEADLY]);
    assert!(matches!(
        admit(&mut quarantine, 5, OTHER),
        Admission::Free | Admission::Canary(_)
    ));
}

/// A caller that sends the same all day must not be held for crashes that it lived through.
#[test]
fn answer_between_the_crashes_clears_the_request() {
    let mut quarantine = Quarantine::default();
    for born in 0..6 {
        quarantine.record_crash(at(born * 100), crash(born, &[SOUND]));
        quarantine.clear(at(born * 100 + 50), &[SOUND]);
    }
    assert_eq!(admit(&mut quarantine, 700, SOUND), Admission::Free);
    assert_eq!(quarantine.counts(at(700)), (0, 0));
}

#[test]
fn old_crashes_are_no_evidence() {
    let mut quarantine = Quarantine::default();
    let memory = CRASH_MEMORY.as_millis() as u64;
    for born in 0..5 {
        let effect = quarantine.record_crash(at(born * memory / 2), crash(born, &[DEADLY]));
        assert!(effect.held.is_empty());
    }
}

#[test]
fn hold_ends_in_a_probe_and_doubles_when_that_crashes() {
    let mut quarantine = Quarantine::default();
    for born in 0..3 {
        quarantine.record_crash(at(born), crash(born, &[DEADLY]));
    }
    let until = 2 + Quarantine::hold_time(0).as_millis() as u64;
    assert_eq!(
        refused(&admit(&mut quarantine, until - 1, DEADLY)),
        Some(RefusalCause::Held)
    );
    assert_eq!(
        admit(&mut quarantine, until, DEADLY),
        Admission::Probe(DEADLY)
    );
    quarantine.record_crash(at(until + 100), crash(9, &[DEADLY]));
    let (_, hold) = quarantine.find_held(&[DEADLY]).expect("it is held");
    assert_eq!(hold.until, at(until + 100).after(Quarantine::hold_time(1)));
}

#[test]
fn part_of_a_prompt_is_found_beside_the_requests_that_have_it() {
    let mut quarantine = Quarantine::default();
    let part = PartId(7);
    let mut held = Vec::new();
    for born in 0..3 {
        let mut crash = crash(born, &[PartId(100 + born)]);
        crash.begun = true;
        crash.requests = vec![vec![PartId(1), part]];
        crash.served = vec![PartId(1)];
        held.extend(quarantine.record_crash(at(born), crash).held);
    }
    assert_eq!(held, [part]);
    assert_eq!(quarantine.find_held(&[PartId(102)]), None);
}

/// A caller that crashes runners with ever new requests fills no table and holds nobody else.
#[test]
fn attack_with_many_requests_is_bounded() {
    let mut quarantine = Quarantine::default();
    for born in 0..200 {
        let whole: Vec<PartId> = (0..100).map(|n| PartId(1_000 + born * 100 + n)).collect();
        quarantine.record_crash(at(born), crash(born, &whole));
    }
    let (held, isolated) = quarantine.counts(at(200));
    assert_eq!(held, 0);
    assert!(isolated <= 64 * MAX_CRASH_REQUESTS, "{isolated}");
    assert_eq!(admit(&mut quarantine, 201, SOUND), Admission::Free);
    let later = at(200).after(CRASH_MEMORY + Duration::from_millis(1));
    assert_eq!(quarantine.counts(later), (0, 0));
}

/// A request that many callers send alike is running in each crash; holding it would refuse them all,
/// and hide the one to blame.
#[test]
fn request_beside_the_deadly_one_is_not_held_in_its_place() {
    let mut quarantine = Quarantine::default();
    for born in 0..3 {
        let effect = quarantine.record_crash(at(born), crash(born, &[SOUND, DEADLY]));
        assert!(effect.held.is_empty(), "{effect:?}");
    }
    // Each of them is tried alone.
    assert_eq!(
        admit(&mut quarantine, 4, SOUND),
        Admission::Canary(vec![SOUND])
    );
    quarantine.end_canary(&[SOUND]);
    quarantine.clear(at(5), &[SOUND]);
    let (held, _) = quarantine.counts(at(5));
    assert_eq!(held, 0);
    let effect = quarantine.record_crash(at(6), crash(6, &[DEADLY, OTHER]));
    assert_eq!(effect.held, [DEADLY]);
}

#[test]
fn requests_that_always_crash_together_are_held_in_the_end() {
    let mut quarantine = Quarantine::default();
    let mut held = Vec::new();
    for born in 0..6 {
        held.extend(
            quarantine
                .record_crash(at(born), crash(born, &[OTHER, DEADLY]))
                .held,
        );
    }
    assert_eq!(held.len(), 1);
}
