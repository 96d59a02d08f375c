//! Guards against news that waited for a suspended process and counts as new when the process goes on, and against
//! news that counts as old although the process ran.

use std::time::Duration;

use decision::time::Time;
use serving::pauses::Pauses;

/// Ticks every 100 ms.
fn run(pauses: &mut Pauses, from_ms: u64, to_ms: u64) {
    for at in (from_ms..=to_ms).step_by(100) {
        pauses.record_tick(Time::from_ms(at));
    }
}

#[test]
fn news_of_a_running_process_is_new() {
    let mut pauses = Pauses::default();
    run(&mut pauses, 100, 2_000);
    for at in [2_000, 2_090, 2_499] {
        let at = Time::from_ms(at);
        assert_eq!(pauses.received_since(at), at);
    }
}

/// The order in which the tasks of a process go on after a pause decides which of these is first.
#[test]
fn news_after_a_pause_dates_from_its_beginning() {
    let mut pauses = Pauses::default();
    run(&mut pauses, 100, 2_000);
    let (began_at, ended_at) = (Time::from_ms(2_000), Time::from_ms(9_000));
    assert_eq!(pauses.received_since(ended_at), began_at);
    let length = pauses.record_tick(ended_at);
    assert_eq!(length, Some(Duration::from_secs(7)));
    assert_eq!(pauses.received_since(ended_at), began_at);
    run(&mut pauses, 9_100, 9_400);
    assert_eq!(pauses.received_since(Time::from_ms(9_450)), began_at);
}

#[test]
fn pause_is_forgotten_soon() {
    let mut pauses = Pauses::default();
    run(&mut pauses, 100, 2_000);
    run(&mut pauses, 9_000, 9_600);
    let at = Time::from_ms(9_600);
    assert_eq!(pauses.received_since(at), at);
}
