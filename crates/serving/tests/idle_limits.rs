//! The closes of idle connections. Guards against closes that a caller cannot expect, and against connections that
//! are never closed.

use std::time::Duration;

use decision::time::Time;
use serving::config::Limits;
use serving::idle::Activity;
use serving::idle::ConnLimits;
use serving::idle::Room;
use serving::idle::Verdict;

/// The times of configurations and their idle limits, both in milliseconds.
type Changes = &'static [(u64, u64)];

/// Returns limits after these configurations.
fn limits(changes: &[(u64, u64)]) -> ConnLimits {
    let mut limits = ConnLimits::default();
    for &(at, idle) in changes {
        let changed = Limits {
            header_bytes: 1,
            body_bytes: 1,
            read_timeout: Duration::from_millis(300),
            idle_timeout: Duration::from_millis(idle),
        };
        limits.record(Time::from_ms(at), &changed);
    }
    limits
}

/// Returns when a connection that is idle since `since` is closed, in milliseconds.
fn closed_at(limits: &ConnLimits, since: u64, room: Room) -> u64 {
    let activity = Activity::Idle {
        since: Time::from_ms(since),
    };
    let mut now = Time::from_ms(since);
    for _ in 0..20 {
        match limits.check(now, activity, room) {
            Verdict::Keep(Some(next)) => now = next,
            Verdict::Keep(None) => panic!("never checked again"),
            Verdict::Close => return now.as_ms(),
        }
    }
    panic!("not closed after twenty checks");
}

#[test]
fn limit_is_the_longest_one_since_the_connection_became_idle() {
    let cases: [(Changes, u64, u64); 7] = [
        (&[(0, 1_000)], 500, 1_500),
        // Raised, while it is idle.
        (&[(0, 1_000), (600, 5_000)], 500, 5_500),
        // Lowered, before and after it became idle.
        (&[(0, 5_000), (400, 1_000)], 500, 1_500),
        (&[(0, 5_000), (600, 1_000)], 500, 5_500),
        // Raised for a moment.
        (&[(0, 1_000), (600, 5_000), (700, 1_000)], 500, 5_500),
        (&[(0, 1_000), (400, 5_000), (500, 1_000)], 500, 1_500),
        (
            &[(0, 9_000), (300, 3_000), (600, 1_000), (700, 2_000)],
            500,
            3_500,
        ),
    ];
    for (changes, since, expected) in cases {
        let limits = limits(changes);
        let found = closed_at(&limits, since, Room::Scarce);
        assert_eq!(found, expected, "{changes:?}");
    }
}

#[test]
fn connection_is_kept_for_two_limits_while_there_is_room() {
    let limits = limits(&[(0, 1_000)]);
    assert_eq!(closed_at(&limits, 0, Room::Ample), 2_000);
}

#[test]
fn scarce_room_closes_what_is_past_its_limit() {
    let limits = limits(&[(0, 1_000)]);
    let idle = Activity::Idle { since: Time(0) };
    let now = Time::from_ms(1_250);
    assert_eq!(
        limits.check(now, idle, Room::Ample),
        Verdict::Keep(Some(Time::from_ms(1_500)))
    );
    assert_eq!(limits.check(now, idle, Room::Scarce), Verdict::Close);
}

#[test]
fn head_has_its_own_limit_and_requests_have_none() {
    let limits = limits(&[(0, 100)]);
    let head = Activity::Head {
        since: Time::from_ms(90),
    };
    let end = Time::from_ms(390);
    let kept = limits.check(Time::from_ms(389), head, Room::Scarce);
    assert_eq!(kept, Verdict::Keep(Some(end)));
    assert_eq!(limits.check(end, head, Room::Ample), Verdict::Close);
    let late = Time::from_ms(99_999);
    let busy = limits.check(late, Activity::Busy, Room::Scarce);
    assert_eq!(busy, Verdict::Keep(None));
}

#[test]
fn response_that_is_not_taken_ends_long_after_the_limits_only() {
    let limits = limits(&[(0, 100)]);
    let writing = Activity::Writing {
        since: Time::from_ms(1_000),
    };
    let end = Time::from_ms(61_000);
    let kept = limits.check(Time::from_ms(60_999), writing, Room::Scarce);
    assert_eq!(kept, Verdict::Keep(Some(end)));
    assert_eq!(limits.check(end, writing, Room::Ample), Verdict::Close);
}

#[test]
fn many_lowered_limits_take_bounded_memory_and_close_late_rather_than_early() {
    let changes: Vec<_> = (0..1_000).map(|step| (step, 10_000 - step)).collect();
    let limits = limits(&changes);
    for since in [0, 10, 500, 900] {
        let relied_on = 10_000 - since;
        assert!(
            closed_at(&limits, since, Room::Scarce) >= since + relied_on,
            "{since}"
        );
    }
}
