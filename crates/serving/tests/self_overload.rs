//! Guards against entries that admit more requests than they can handle, and against refusals after
//! a single long pause.

use std::time::Duration;

use serving::overload::OverloadDetector;
use serving::overload::head_excess;

const URGENT: u8 = 1;
const LOW: u8 = 7;

/// Returns a detector that has recorded these scheduling delays.
fn detector(delays_ms: &[u64]) -> OverloadDetector {
    let mut detector = OverloadDetector::new(160);
    for ms in delays_ms {
        detector.record_delay(Duration::from_millis(*ms));
    }
    detector
}

#[test]
fn low_priority_requests_are_refused_first() {
    let cases = [
        (vec![], true, true),
        (vec![2_000], true, true),
        (vec![2_000, 1, 2_000, 2_000], true, true),
        (vec![150, 150, 150], true, false),
        (vec![250, 300, 250], false, false),
        (vec![250, 300, 250, 10], true, true),
    ];
    for (delays, urgent, low) in cases {
        let detector = detector(&delays);
        let admitted = (detector.admits(0, 0, URGENT), detector.admits(0, 0, LOW));
        assert_eq!(admitted, (urgent, low), "{delays:?}");
    }
}

#[test]
fn requests_in_progress_are_limited_by_the_memory() {
    for (memory_mb, max_inflight) in [(160, 1_280), (512, 4_096)] {
        let detector = OverloadDetector::new(memory_mb);
        assert!(detector.admits(max_inflight - 1, 0, URGENT));
        assert!(!detector.admits(max_inflight, 0, URGENT));
    }
}

/// Large heads are held several times over, so that fewer such requests fit.
#[test]
fn large_heads_count_against_the_memory() {
    assert_eq!(head_excess(1 << 10), 0, "an ordinary head");
    let detector = OverloadDetector::new(260);
    let most =
        (0..).take_while(|count| detector.admits(*count, count * head_excess(16_042), URGENT));
    let held_mb = most.count() * 130 / 1_024;
    assert!(held_mb <= 260 / 2, "{held_mb} MB at 130 KB each");
}
