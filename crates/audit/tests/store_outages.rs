//! The log when the object store is down, slow or loses responses.

mod support;

use std::time::Duration;

use audit::Log;
use audit::LogSettings;
use audit::Problem;
use standins::calls::wait_until;
use support::Harness;
use support::TIMEOUT;
use support::attempt;

/// Guards against records lost in an outage during which the buffer does not fill up.
#[tokio::test]
async fn short_outage() {
    let harness = Harness::start().await;
    let (log, task) = harness.log(harness.settings("entry-1"));
    harness.store.faults().set_outage(true);
    (1..=50).map(attempt).for_each(|r| log.record(r));
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(
        (log.state().pending_entries, harness.store.keys("").len()),
        (50, 0)
    );
    harness.store.faults().set_outage(false);
    wait_until(TIMEOUT, || log.state().pending_entries == 0).await;
    log.close().await.unwrap();
    task.await.unwrap();
    let report = harness
        .verify(|reference| reference.known_tips.push(log.state().written_tip))
        .await;
    assert_eq!((report.record_count, report.problems), (50, vec![]));
}

/// Guards against a full buffer that drops records without a gap entry, or that keeps growing.
#[tokio::test]
async fn long_outage() {
    let harness = Harness::start().await;
    let (log, task) = harness.log(LogSettings {
        capacity: 10,
        ..harness.settings("entry-1")
    });
    harness.store.set_listening(false).await;
    (1..=30).map(attempt).for_each(|r| log.record(r));
    let state = log.state();
    assert_eq!((state.pending_entries, state.lost_records), (11, 20));
    harness.store.set_listening(true).await;
    wait_until(TIMEOUT, || log.state().pending_entries == 0).await;
    (31..=40).map(attempt).for_each(|r| log.record(r));
    log.close().await.unwrap();
    task.await.unwrap();
    let report = harness.verify(|_| ()).await;
    assert_eq!(report.record_count, 20);
    let [
        Problem::Gap {
            place,
            lost,
            first,
            last,
        },
    ] = &report.problems[..]
    else {
        panic!("{:?}", report.problems);
    };
    assert_eq!((place.seq, *lost, *first, *last), (11, 20, 2011, 2030));
}

/// Guards against a batch that is written twice or changed after its response was lost, its effect
/// was delayed, or the write timed out.
#[tokio::test]
async fn lost_responses() {
    let harness = Harness::start().await;
    let (log, task) = harness.log(harness.settings("entry-1"));
    for round in 0..4 {
        match round {
            0 => harness.store.faults().lose_responses(3),
            1 => harness.store.faults().lose_requests(3),
            2 => harness
                .store
                .faults()
                .delay_effects(Duration::from_millis(30), 2),
            _ => harness
                .store
                .faults()
                .set_response_delay(Duration::from_millis(250)),
        }
        let before = harness.store.keys("").len();
        (1..=10)
            .map(|n| attempt(round * 10 + n))
            .for_each(|r| log.record(r));
        wait_until(TIMEOUT, || harness.store.keys("").len() > before).await;
        if round == 3 {
            tokio::time::sleep(Duration::from_millis(300)).await;
            harness.store.faults().set_response_delay(Duration::ZERO);
        }
        wait_until(TIMEOUT, || log.state().pending_entries == 0).await;
    }
    log.close().await.unwrap();
    task.await.unwrap();
    let report = harness.verify(|_| ()).await;
    assert_eq!((report.record_count, report.problems), (40, vec![]));
}

/// Guards against a log that can't be closed while the store is down, or that closes without
/// reporting the unwritten entries.
#[tokio::test]
async fn close_in_outage() {
    let harness = Harness::start().await;
    let close_timeout = Duration::from_millis(200);
    let (log, task) = harness.log(LogSettings {
        close_timeout,
        ..harness.settings("entry-1")
    });
    harness.store.faults().set_outage(true);
    (1..=5).map(attempt).for_each(|r| log.record(r));
    assert_eq!(log.close().await.unwrap_err().entries, 6);
    task.await.unwrap();
    let unstarted = Log::new(LogSettings {
        close_timeout,
        ..harness.settings("entry-2")
    });
    unstarted.record(attempt(1));
    assert_eq!(unstarted.close().await.unwrap_err().entries, 2);
}
