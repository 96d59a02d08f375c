//! The hold of a read and the longest time until a table is known again. Guards against a hold that
//! leaves a lost answer unnoticed beyond the bound.

use std::time::Duration;

use serving::table_reads::MIN_HOLD;
use serving::table_reads::ReadTimes;

const MS: Duration = Duration::from_millis(1);

fn times(pause: u32) -> ReadTimes {
    ReadTimes {
        pause: pause * MS,
        hold: Duration::ZERO,
        response: 900 * MS,
        retry: 50 * MS,
        read: 500 * MS,
    }
}

#[test]
fn sum_of_all_times_is_the_bound() {
    for (pause, bound, hold) in [
        (0, 3_000, 1_550),
        (900, 3_000, 650),
        (1_800, 5_000, 1_750),
        (0, 12_000, 10_550),
    ] {
        let times = times(pause).within(bound * MS);
        assert_eq!(times.hold, hold * MS, "{pause} {bound}");
        assert_eq!(times.total(), bound * MS, "{pause} {bound}");
    }
}

#[test]
fn bound_that_is_too_short_shows_in_the_sum() {
    for bound in [0, 900, 1_549] {
        let times = times(0).within(bound * MS);
        assert_eq!(times.hold, MIN_HOLD);
        assert!(times.total() > bound * MS, "{bound}");
    }
}
