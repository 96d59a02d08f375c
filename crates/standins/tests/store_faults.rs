//! Faults of the stores and the stop of stand-ins.

use std::time::Duration;
use std::time::Instant;

use edges::ErrorKind;
use edges::table::HttpTable;
use edges::table::Table as _;
use standins::Table;
use standins::calls::insert_row;
use standins::calls::wait_until;

const LONG: Duration = Duration::from_secs(5);

/// Guards against a claimant that reads a row back once and takes its absence as final.
#[tokio::test]
async fn late_effect() {
    let table = Table::start().await;
    let client = HttpTable::new(table.addr());
    table.faults().delay_effects(Duration::from_millis(500), 1);
    assert_eq!(
        client
            .commit(insert_row("k", "v"), LONG)
            .await
            .unwrap_err()
            .kind,
        ErrorKind::NoResponse
    );
    assert_eq!(client.get("k", LONG).await.unwrap(), None);
    wait_until(LONG, || table.row("k").is_some()).await;
    table.stop().await;
}

/// Guards against a store without limits that hides how many requests a design makes.
#[tokio::test]
async fn request_rates() {
    let table = Table::start().await;
    let client = HttpTable::new(table.addr());
    table.faults().set_rate_limits(1000.0, 100.0);
    let start = Instant::now();
    let writes = (0..11).map(|i| client.commit(insert_row(&i.to_string(), "v"), LONG));
    futures::future::try_join_all(writes).await.unwrap();
    assert!(start.elapsed() >= Duration::from_millis(100));
    let counts = table.counts();
    assert_eq!((counts.reads, counts.commits, counts.writes), (0, 11, 11));
    table.stop().await;
}

/// Guards against a store that comes back from an outage without its rows or at another address.
#[tokio::test]
async fn closed_port() {
    let table = Table::start().await;
    let client = HttpTable::new(table.addr());
    client.commit(insert_row("k", "v"), LONG).await.unwrap();
    for _ in 0..20 {
        table.set_listening(false).await;
        table.close_connections().await;
        assert_eq!(
            client.get("k", LONG).await.unwrap_err().kind,
            ErrorKind::NotSent
        );
        table.set_listening(true).await;
        assert!(client.get("k", LONG).await.unwrap().is_some());
    }
    table.stop().await;
}

/// Guards against tasks that outlive `stop`, also with a request that hangs.
#[tokio::test]
async fn clean_stop() {
    let table = Table::start().await;
    let client = HttpTable::new(table.addr());
    table.faults().set_frozen(true);
    let hanging = tokio::spawn(async move { client.commit(insert_row("k", "v"), LONG).await });
    tokio::time::sleep(Duration::from_millis(300)).await;
    table.stop().await;
    assert_eq!(
        hanging.await.unwrap().unwrap_err().kind,
        ErrorKind::NoResponse
    );
    // The client's connection task ends by itself; the test's own task is not counted.
    let metrics = tokio::runtime::Handle::current().metrics();
    wait_until(LONG, || metrics.num_alive_tasks() == 0).await;
}
