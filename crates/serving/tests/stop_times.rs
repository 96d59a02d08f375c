//! Which requests a stopping entry takes. Guards against requests that are cut off at its end, and
//! against refusals of those that would be answered.

use std::time::Duration;

use decision::time::Time;
use serving::Name;
use serving::stop::ResponseTimes;
use serving::stop::can_finish;

fn at(ms: u64) -> Time {
    Time::from_ms(ms)
}

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn requests_that_end_before_the_cut_are_taken() {
    // The deadline, the expected time, and whether the request is taken at 1,000 with a cut at 3,300.
    let cases = [
        (3_300, None, true),
        (3_301, None, false),
        (9_000, Some(2_300), true),
        (9_000, Some(2_301), false),
        (3_000, Some(5_000), true),
    ];
    for (deadline, expected, taken) in cases {
        let can = can_finish(at(1_000), at(3_300), at(deadline), expected.map(ms));
        assert_eq!(can, taken, "{deadline} {expected:?}");
    }
}

#[test]
fn expected_time_follows_the_longest_of_late() {
    let route = Name::from("r");
    let mut times = ResponseTimes::default();
    for n in 0..7 {
        times.record(at(n), &route, ms(100 + n));
    }
    assert_eq!(times.expected(at(10), "r"), None, "too few");
    times.record(at(8), &route, ms(40));
    assert_eq!(times.expected(at(10), "r"), Some(ms(159)));
    assert_eq!(times.expected(at(10), "other"), None);
    // The longest one is forgotten after the second window.
    for n in 0..30 {
        times.record(at(1_000 * n), &route, ms(20));
    }
    assert_eq!(times.expected(at(30_000), "r"), Some(ms(30)));
    assert_eq!(times.expected(at(90_000), "r"), None);
}

/// Guards against refusals by all stopping entries because a runner was silent for a moment, and against
/// requests that are cut off because long responses of their route are taken for such moments.
#[test]
fn few_long_responses_do_not_raise_the_expected_time() {
    // The responses, how many of them are long, and the expected time.
    let cases = [
        (49, 1, 3_000),
        (50, 1, 45),
        (100, 2, 45),
        (100, 3, 3_000),
        (2_000, 7, 45),
        (2_000, 8, 3_000),
    ];
    for (count, long, expected) in cases {
        let route = Name::from("r");
        let mut times = ResponseTimes::default();
        for n in 0..count {
            let time = if n < long { 2_000 } else { 30 };
            // The long ones are of the window before.
            let now = if n < long { 5_000 } else { 16_000 };
            times.record(at(now), &route, ms(time));
        }
        let found = times.expected(at(17_000), "r");
        assert_eq!(found, Some(ms(expected)), "{long} of {count}");
    }
}
