//! Guards against entries that take more requests than they can keep up with, and against refusals
//! after a pause that is over.

use std::time::Duration;

use serving::overload::OverloadDetector;

const URGENT: u8 = 1;
const LOW: u8 = 7;

fn delayed(delays_ms: &[u64]) -> OverloadDetector {
    let mut overload = OverloadDetector::new(160);
    for ms in delays_ms {
        overload.record_delay(Duration::from_millis(*ms));
    }
    overload
}

#[test]
fn late_timers_refuse_the_least_urgent_first() {
    let cases = [
        (vec![], true, true),
        (vec![2_000], true, true),
        (vec![2_000, 1, 2_000, 2_000], true, true),
        (vec![150, 150, 150], true, false),
        (vec![250, 300, 250], false, false),
        (vec![250, 300, 250, 10], true, true),
    ];
    for (delays, urgent, low) in cases {
        let overload = delayed(&delays);
        let admitted = (overload.admits(0, URGENT), overload.admits(0, LOW));
        assert_eq!(admitted, (urgent, low), "{delays:?}");
    }
}

#[test]
fn requests_in_progress_follow_the_memory() {
    for (memory_mb, most) in [(160, 1_280), (512, 4_096)] {
        let overload = OverloadDetector::new(memory_mb);
        assert!(overload.admits(most - 1, URGENT));
        assert!(!overload.admits(most, URGENT));
    }
}
