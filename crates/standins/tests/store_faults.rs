//! Faults of the stores and the stop of stand-ins.

use std::time::Duration;
use std::time::Instant;

use edges::Fault;
use edges::table::HttpTable;
use edges::table::Table as _;
use edges::table::Transaction;
use edges::table::Write;
use standins::Table;

const LONG: Duration = Duration::from_secs(5);

fn put(key: &str) -> Transaction {
    let write = Write {
        key: key.into(),
        value: Some("v".into()),
    };
    Transaction {
        conditions: vec![],
        writes: vec![write],
    }
}

/// Guards against a claimant that reads a row back once and takes its absence as final.
#[tokio::test]
async fn late_effect() {
    let table = Table::start().await;
    let client = HttpTable::new(table.addr());
    table
        .switches()
        .delay_effects(Duration::from_millis(100), 1);
    assert_eq!(
        client.commit(put("k"), LONG).await.unwrap_err().fault,
        Fault::NoAnswer
    );
    assert_eq!(client.get("k", LONG).await.unwrap(), None);
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert!(client.get("k", LONG).await.unwrap().is_some());
    table.stop().await;
}

/// Guards against a store without limits that hides how many requests a design makes.
#[tokio::test]
async fn request_rates() {
    let table = Table::start().await;
    let client = HttpTable::new(table.addr());
    table.switches().set_rates(1000.0, 100.0);
    let start = Instant::now();
    let writes = (0..11).map(|i| client.commit(put(&i.to_string()), LONG));
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
    client.commit(put("k"), LONG).await.unwrap();
    for _ in 0..20 {
        table.set_listening(false).await;
        table.cut().await;
        assert_eq!(
            client.get("k", LONG).await.unwrap_err().fault,
            Fault::NotSent
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
    table.switches().set_frozen(true);
    let hanging = tokio::spawn(async move { client.commit(put("k"), LONG).await });
    tokio::time::sleep(Duration::from_millis(50)).await;
    table.stop().await;
    assert_eq!(hanging.await.unwrap().unwrap_err().fault, Fault::NoAnswer);
    tokio::time::sleep(Duration::from_millis(50)).await;
    // The test's own task is not counted.
    assert_eq!(
        tokio::runtime::Handle::current()
            .metrics()
            .num_alive_tasks(),
        0
    );
}
