//! Injected faults of the fake table, and the shutdown of fakes.

use std::time::Duration;
use std::time::Instant;

use edges::ErrorKind;
use edges::table::HttpTable;
use edges::table::Table as _;
use standins::Table;
use standins::calls::insert_row;
use standins::calls::wait_until;

const TIMEOUT: Duration = Duration::from_secs(5);

/// Guards against a delayed write that takes effect at once or never. Tests of claims depend on the
/// delay: a claimant that reads a row back once must not take its absence as final.
#[tokio::test]
async fn delayed_effect() {
    let table = Table::start().await;
    let client = HttpTable::new(table.addr());
    table.faults().delay_effects(Duration::from_millis(500), 1);
    assert_eq!(
        client
            .commit(insert_row("k", "v"), TIMEOUT)
            .await
            .unwrap_err()
            .kind,
        ErrorKind::NoResponse
    );
    assert_eq!(client.get("k", TIMEOUT).await.unwrap(), None);
    wait_until(TIMEOUT, || table.row("k").is_some()).await;
    table.stop().await;
}

/// Guards against a store that ignores its rate limits or miscounts requests, which would hide how
/// many requests a design makes.
#[tokio::test]
async fn request_rates() {
    let table = Table::start().await;
    let client = HttpTable::new(table.addr());
    table.faults().set_rate_limits(1000.0, 100.0);
    let start = Instant::now();
    let writes = (0..11).map(|i| client.commit(insert_row(&i.to_string(), "v"), TIMEOUT));
    futures::future::try_join_all(writes).await.unwrap();
    assert!(start.elapsed() >= Duration::from_millis(100));
    let counts = table.counts();
    assert_eq!((counts.reads, counts.commits, counts.writes), (0, 11, 11));
    table.stop().await;
}

/// Guards against a store that loses its rows or its address while it does not listen.
#[tokio::test]
async fn closed_port() {
    let table = Table::start().await;
    let client = HttpTable::new(table.addr());
    client.commit(insert_row("k", "v"), TIMEOUT).await.unwrap();
    for _ in 0..20 {
        table.set_listening(false).await;
        table.close_connections().await;
        assert_eq!(
            client.get("k", TIMEOUT).await.unwrap_err().kind,
            ErrorKind::NotSent
        );
        table.set_listening(true).await;
        assert!(client.get("k", TIMEOUT).await.unwrap().is_some());
    }
    table.stop().await;
}

/// Guards against tasks that outlive `stop`, even while a request hangs.
#[tokio::test]
async fn clean_stop() {
    let table = Table::start().await;
    let client = HttpTable::new(table.addr());
    table.faults().set_frozen(true);
    let hanging = tokio::spawn(async move { client.commit(insert_row("k", "v"), TIMEOUT).await });
    tokio::time::sleep(Duration::from_millis(300)).await;
    table.stop().await;
    assert_eq!(
        hanging.await.unwrap().unwrap_err().kind,
        ErrorKind::NoResponse
    );
    // The client's connection task ends on its own; the test's own task is not counted.
    let metrics = tokio::runtime::Handle::current().metrics();
    wait_until(TIMEOUT, || metrics.num_alive_tasks() == 0).await;
}
