//! Guards against runners that crash one after the other on requests of one kind: a fleet without a
//! network, whose entries see few of the crashes each.

mod crash_sim;

use std::time::Duration;

use crash_sim::Day;
use crash_sim::Outcome;
use crash_sim::play;

const LENGTH: Duration = Duration::from_secs(40);
const SEEDS: u64 = 4;
/// The most requests with a deadly part that may reach runners later than the contact bound after its
/// fifth crash.
const MAX_LATE: u32 = 3;
/// The least share of sound requests that must be sent at their first attempt.
const MIN_SENT: f64 = 0.5;

fn check(day: Day) {
    for seed in 0..SEEDS {
        let outcome = play(day, seed, LENGTH);
        let Outcome {
            late,
            sound_sent,
            sound,
            ..
        } = &outcome;
        assert!(
            late.iter().all(|late| *late <= MAX_LATE),
            "seed {seed}, {day:?}: {outcome:?}"
        );
        let sent = f64::from(*sound_sent) / f64::from((*sound).max(1));
        assert!(sent >= MIN_SENT, "seed {seed}, {day:?}: {outcome:?}");
    }
}

#[test]
fn frequent_and_rare_deadly_requests_are_held_back() {
    for share in [0.005, 0.02, 0.05, 0.2, 0.5] {
        check(Day {
            share,
            ..Day::DEFAULT
        });
    }
}

#[test]
fn several_deadly_parts_are_held_back() {
    for share in [0.005, 0.05, 0.2] {
        check(Day {
            share,
            deadly: 4,
            ..Day::DEFAULT
        });
    }
}

#[test]
fn crashes_before_the_head_of_the_answer_are_seen() {
    for share in [0.005, 0.05, 0.2] {
        check(Day {
            share,
            begins: false,
            ..Day::DEFAULT
        });
    }
}

#[test]
fn runners_crash_for_other_reasons_as_well() {
    for share in [0.0, 0.005, 0.05] {
        check(Day {
            share,
            other_crashes: 1.0,
            ..Day::DEFAULT
        });
        check(Day {
            share,
            other_crashes: 1.0,
            begins: false,
            ..Day::DEFAULT
        });
    }
}

#[test]
fn entries_that_start_again_hear_of_the_crashes() {
    check(Day {
        restart: true,
        ..Day::DEFAULT
    });
    check(Day {
        restart: true,
        share: 0.01,
        deadly: 3,
        ..Day::DEFAULT
    });
}

#[test]
fn part_that_turns_deadly_is_held_back() {
    for share in [0.005, 0.02, 0.05, 0.2] {
        let turns_deadly = true;
        check(Day {
            share,
            turns_deadly,
            ..Day::DEFAULT
        });
    }
}

#[test]
fn quiet_route_is_protected() {
    for share in [0.02, 0.1] {
        check(Day {
            rate: 16,
            share,
            ..Day::DEFAULT
        });
    }
}
