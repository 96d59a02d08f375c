//! Calls to the table service, the object store, the membership list and the weight store.

use std::time::Duration;

use edges::members::HttpMembers;
use edges::members::Instance;
use edges::members::Liveness;
use edges::members::Members as _;
use edges::members::Role;
use edges::store::HttpObjects;
use edges::store::ObjectStore as _;
use edges::table::CommitResult;
use edges::table::Condition;
use edges::table::HttpTable;
use edges::table::Table as _;
use edges::table::Transaction;
use edges::table::Write;
use edges::weights::HttpWeights;
use edges::weights::WeightStore as _;
use standins::Members;
use standins::Objects;
use standins::Table;
use standins::Weights;
use standins::WeightsConfig;
use standins::weights::digest_of;

const LONG: Duration = Duration::from_secs(5);

/// A key with characters that have a meaning in a path or a query.
const SPECIAL_KEY: &str = "claim/ws/a b?c=d&e#f%2Fg+h/\u{e9}\"";

fn tx(conditions: &[(&str, u64)], writes: &[(&str, Option<&[u8]>)]) -> Transaction {
    let condition = |(key, version): &(&str, u64)| Condition {
        key: (*key).into(),
        version: *version,
    };
    let write = |(key, value): &(&str, Option<&[u8]>)| Write {
        key: (*key).into(),
        value: value.map(|v| v.to_vec().into()),
    };
    Transaction {
        conditions: conditions.iter().map(condition).collect(),
        writes: writes.iter().map(write).collect(),
    }
}

/// Guards against a transaction that takes effect partly or although a condition does not hold.
#[tokio::test]
async fn table_transactions() {
    let table = Table::start().await;
    let client = HttpTable::new(table.addr());
    let commit = async |tx| client.commit(tx, LONG).await.unwrap();
    let binary: &[u8] = &[0, 255, 34, 10];
    let both = tx(
        &[("a", 0), (SPECIAL_KEY, 0)],
        &[("a", Some(b"1")), (SPECIAL_KEY, Some(binary))],
    );
    assert_eq!(commit(both).await, CommitResult::Committed(vec![1, 1]));
    let conflicting = tx(
        &[("a", 1), (SPECIAL_KEY, 0), ("b", 3)],
        &[("a", Some(b"2"))],
    );
    assert_eq!(
        commit(conflicting).await,
        CommitResult::Conflict(vec![SPECIAL_KEY.into(), "b".into()])
    );
    let row = client.get(SPECIAL_KEY, LONG).await.unwrap().unwrap();
    assert_eq!(
        (&*row.key, row.version, &row.value[..]),
        (SPECIAL_KEY, 1, binary)
    );
    assert_eq!(client.get("a", LONG).await.unwrap().unwrap().version, 1);
    let keys = client.list("claim/", LONG).await.unwrap();
    assert_eq!(keys, [row]);
    table.stop().await;
}

/// Guards against a row that is deleted and written again and then has a version that an earlier reader
/// still holds.
#[tokio::test]
async fn deleted_row() {
    let table = Table::start().await;
    let client = HttpTable::new(table.addr());
    let commit = async |tx| client.commit(tx, LONG).await.unwrap();
    commit(tx(&[], &[("a", Some(b"1"))])).await;
    commit(tx(&[("a", 1)], &[("a", None)])).await;
    assert_eq!(client.get("a", LONG).await.unwrap(), None);
    assert_eq!(
        commit(tx(&[("a", 0)], &[("a", Some(b"2"))])).await,
        CommitResult::Committed(vec![3])
    );
    assert_eq!(
        commit(tx(&[("a", 1)], &[("a", None)])).await,
        CommitResult::Conflict(vec!["a".into()])
    );
    table.stop().await;
}

/// Guards against a write that overwrites an object.
#[tokio::test]
async fn object_calls() {
    let objects = Objects::start().await;
    let client = HttpObjects::new(objects.addr());
    assert_eq!(client.get(SPECIAL_KEY, LONG).await.unwrap(), None);
    assert!(client.put(SPECIAL_KEY, "1".into(), LONG).await.unwrap());
    assert!(!client.put(SPECIAL_KEY, "2".into(), LONG).await.unwrap());
    assert_eq!(client.get(SPECIAL_KEY, LONG).await.unwrap().unwrap(), "1");
    assert!(client.put("b", "".into(), LONG).await.unwrap());
    assert_eq!(client.list("claim/", LONG).await.unwrap(), [SPECIAL_KEY]);
    assert_eq!(client.list("", LONG).await.unwrap(), ["b", SPECIAL_KEY]);
    assert_eq!(objects.counts().writes, 2);
    objects.stop().await;
}

fn instance(name: &str) -> Instance {
    Instance {
        name: name.into(),
        role: Role::Agent,
        state: Liveness::Live,
        peer: "127.0.0.1:9".parse().unwrap(),
        region: "r".into(),
        domain: "d".into(),
    }
}

/// Guards against a reader that misses a change or sees one before the lag of the list has passed.
#[tokio::test]
async fn membership_changes() {
    let members = Members::start(Duration::ZERO).await;
    let client = HttpMembers::new(members.addr());
    members.put(instance("a"));
    members.put(instance("b"));
    let first = client.changes(0, LONG).await.unwrap();
    assert_eq!((first.version, first.whole), (2, true));
    assert_eq!(first.changed, [instance("a"), instance("b")]);
    members.set_state("a", Liveness::Leaving);
    members.remove("b");
    let next = client.changes(2, LONG).await.unwrap();
    assert_eq!(
        (next.version, next.whole, &*next.gone),
        (4, false, &["b".to_owned()][..])
    );
    assert_eq!(next.changed[0].state, Liveness::Leaving);
    members.set_lag(Duration::from_secs(60));
    members.put(instance("c"));
    members.set_lag(Duration::ZERO);
    members.put(instance("d"));
    assert_eq!(client.changes(4, LONG).await.unwrap().changed, []);
    assert!(client.changes(99, LONG).await.unwrap().whole);
    members.stop().await;
}

/// Guards against a locator whose `/` is taken for a part of the path.
#[tokio::test]
async fn weight_info() {
    let weights = Weights::start(WeightsConfig::instant()).await;
    let client = HttpWeights::new(weights.addr());
    weights.declare("a/info", None);
    assert_eq!(client.info("a/info", LONG).await.unwrap(), None);
    let info = client.info(SPECIAL_KEY, LONG).await.unwrap().unwrap();
    assert_eq!(info.digest, digest_of(SPECIAL_KEY));
    weights.stop().await;
}
