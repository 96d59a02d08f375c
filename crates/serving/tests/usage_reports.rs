//! Guards against connections whose traffic grows with the number of entries and agents, and against
//! adapters that give way because their use was not told.

use decision::time::Time;
use serving::link::Usage;
use serving::usage::BUSY_HEARTBEAT;
use serving::usage::IDLE_HEARTBEAT;
use serving::usage::UsageReporter;

fn usage(adapter: &str, inflight: u32, hits: u32) -> Usage {
    Usage {
        adapter: adapter.into(),
        inflight,
        hits,
    }
}

/// Returns how many reports are sent in 10 s if one is considered every 40 ms.
fn reports(usages: &[Usage]) -> usize {
    let mut reports = UsageReporter::default();
    let times = (0..10_000).step_by(40).map(Time::from_ms);
    let sent = times.filter(|now| reports.due(*now, usages.to_vec()).is_some());
    sent.count()
}

#[test]
fn unchanged_use_is_told_as_a_heartbeat_only() {
    let idle = 10_000 / IDLE_HEARTBEAT.as_millis() as usize + 1;
    let busy = 10_000 / BUSY_HEARTBEAT.as_millis() as usize;
    assert_eq!(reports(&[]), idle);
    assert!(reports(&[usage("m/a", 1, 0)]) <= busy);
    assert_eq!(reports(&[usage("m/a", 1, 1)]), 250, "hits are always told");
}

#[test]
fn begin_and_end_are_told_at_once() {
    let mut reports = UsageReporter::default();
    assert!(reports.due(Time::from_ms(0), Vec::new()).is_some());
    let steps = [
        (40, vec![usage("m/a", 1, 1)], true),
        (80, vec![usage("m/a", 1, 0)], false),
        (120, vec![usage("m/a", 2, 0)], true),
        (160, vec![], true),
        (200, vec![], false),
        (240, vec![usage("m/b", 0, 1)], true),
    ];
    for (ms, usages, told) in steps {
        let due = reports.due(Time::from_ms(ms), usages.clone());
        assert_eq!(due, told.then_some(usages), "at {ms} ms");
    }
}
