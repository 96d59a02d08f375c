//! Guards against usage reports whose traffic grows with the number of connections, and against
//! adapters that are evicted because their use was not reported.

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

/// Returns the number of reports sent in 10 s when one is considered every 40 ms.
fn report_count(usages: &[Usage]) -> usize {
    let mut reporter = UsageReporter::default();
    let times = (0..10_000).step_by(40).map(Time::from_ms);
    let sent = times.filter(|now| reporter.due(*now, usages.to_vec()).is_some());
    sent.count()
}

#[test]
fn unchanged_usage_is_reported_only_as_a_heartbeat() {
    let idle = 10_000 / IDLE_HEARTBEAT.as_millis() as usize + 1;
    let busy = 10_000 / BUSY_HEARTBEAT.as_millis() as usize;
    assert_eq!(report_count(&[]), idle);
    assert!(report_count(&[usage("m/a", 1, 0)]) <= busy);
    assert_eq!(
        report_count(&[usage("m/a", 1, 1)]),
        250,
        "hits are always reported"
    );
}

#[test]
fn start_and_end_of_use_are_reported_immediately() {
    let mut reporter = UsageReporter::default();
    assert!(reporter.due(Time::from_ms(0), Vec::new()).is_some());
    let steps = [
        (40, vec![usage("m/a", 1, 1)], true),
        (80, vec![usage("m/a", 1, 0)], false),
        (120, vec![usage("m/a", 2, 0)], true),
        (160, vec![], true),
        (200, vec![], false),
        (240, vec![usage("m/b", 0, 1)], true),
    ];
    for (ms, usages, reported) in steps {
        let due = reporter.due(Time::from_ms(ms), usages.clone());
        assert_eq!(due, reported.then_some(usages), "at {ms} ms");
    }
}
