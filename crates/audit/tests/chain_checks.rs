//! Verification of stored chains that were tampered with.

mod support;

use support::Harness;
use support::attempt;

const CHAIN: &str = "entry-1/0000000000000001";

async fn chain_of_nine_records() -> Harness {
    let harness = Harness::start().await;
    harness.write("entry-1", (1..=9).map(attempt)).await;
    assert_eq!(harness.problems().await, [] as [&str; 0]);
    assert_eq!(harness.store.keys("audit/").len(), 3);
    harness
}

/// Guards against a verification that reports problems in an intact chain or skips records.
#[tokio::test]
async fn intact_chain() {
    let harness = chain_of_nine_records().await;
    let report = harness.verify(|_| ()).await;
    assert_eq!((report.record_count, report.chains.len()), (9, 1));
    assert_eq!(
        (report.chains[0].tip.seq, report.chains[0].closed),
        (10, true)
    );
    assert!(
        harness.store.keys("audit/")[1].ends_with("entry-1/0000000000000001/00000000000000000005")
    );
}

/// Guards against an undetected change of a record, with its old hash and with a recomputed one.
#[tokio::test]
async fn changed_record() {
    let harness = chain_of_nine_records().await;
    let change = |line: &str| line.replace("\"start\":1006", "\"start\":1007");
    harness.edit(1, |lines| lines[1] = change(&lines[1]));
    assert_eq!(
        harness.problems().await,
        [format!("{CHAIN} entry 6: changed")]
    );
    harness.edit(1, |lines| {
        let (_, payload) = lines[1].trim_end().split_once(' ').unwrap();
        lines[1] = format!("{} {payload}\n", audit::digest(payload.as_bytes()));
    });
    let expected = [format!(
        "{CHAIN} entry 7: does not continue the entry before it"
    )];
    assert_eq!(harness.problems().await, expected);
}

/// Guards against the undetected removal of a record at the start, inside or at the end of an
/// object, and of a whole object.
#[tokio::test]
async fn removed_record() {
    for line in 0..4 {
        let harness = chain_of_nine_records().await;
        harness.edit(1, |lines| drop(lines.remove(line)));
        let missing = format!("{CHAIN} entry {}: 1 entries missing from here on", line + 5);
        assert!(harness.problems().await.contains(&missing), "line {line}");
    }
    let harness = chain_of_nine_records().await;
    harness
        .store
        .remove(&harness.store.keys("audit/")[0].clone())
        .unwrap();
    let missing = [format!("{CHAIN} entry 1: 4 entries missing from here on")];
    assert_eq!(harness.problems().await, missing);
}

/// Guards against undetected swaps: of lines, of payloads under each other's hash and of objects.
#[tokio::test]
async fn swapped_records() {
    let harness = chain_of_nine_records().await;
    harness.edit(1, |lines| lines.swap(1, 2));
    let expected = [format!("{CHAIN} entry 6: stands at another place")];
    assert_eq!(harness.problems().await, expected);
    harness.edit(1, |lines| lines.swap(1, 2));
    harness.edit(1, |lines| {
        let split = |line: &str| {
            let (hash, payload) = line.split_once(' ').unwrap();
            (hash.to_owned(), payload.to_owned())
        };
        let ((hash1, payload1), (hash2, payload2)) = (split(&lines[1]), split(&lines[2]));
        lines[1] = format!("{hash1} {payload2}");
        lines[2] = format!("{hash2} {payload1}");
    });
    assert!(
        harness
            .problems()
            .await
            .contains(&format!("{CHAIN} entry 6: changed"))
    );
    let harness = chain_of_nine_records().await;
    let keys = harness.store.keys("audit/");
    let (first, second) = (
        harness.store.remove(&keys[0]).unwrap(),
        harness.store.remove(&keys[1]).unwrap(),
    );
    harness.store.replace(&keys[0], second);
    harness.store.replace(&keys[1], first);
    let problems = harness.problems().await;
    assert!(
        problems.contains(&format!("{CHAIN} entry 5: stands at another place")),
        "{problems:?}"
    );
}

/// Guards against undetected removal of the newest entries or the whole chain, and against a chain
/// rewritten from some entry on. Only a known tip reveals these.
#[tokio::test]
async fn known_tip() {
    let harness = chain_of_nine_records().await;
    let tip = harness.verify(|_| ()).await.chains.remove(0).tip;
    harness.edit(2, |lines| lines.truncate(1));
    let report = harness
        .verify(|reference| reference.known_tips.push(tip.clone()))
        .await;
    let expected = format!("{CHAIN} entry 10: 1 entries missing from here on");
    assert_eq!(report.problems[0].to_string(), expected);
    assert!(!report.chains[0].closed);
    for key in harness.store.keys("audit/") {
        harness.store.remove(&key);
    }
    let report = harness
        .verify(|reference| reference.known_tips.push(tip.clone()))
        .await;
    let expected = format!("{CHAIN} entry 1: 10 entries missing from here on");
    assert_eq!(report.problems[0].to_string(), expected);
    harness.write("entry-1", (11..=19).map(attempt)).await;
    let report = harness
        .verify(|reference| reference.known_tips.push(tip))
        .await;
    assert_eq!(
        report.problems[0].to_string(),
        format!("{CHAIN} entry 10: changed")
    );
}

/// Guards against an undetected copy of a chain under the name of another process.
#[tokio::test]
async fn copied_chain() {
    let harness = chain_of_nine_records().await;
    let key = harness.store.keys("audit/").remove(0);
    let data = harness.store.object(&key).unwrap();
    harness
        .store
        .replace(&key.replace("entry-1", "entry-2"), data);
    let problems = harness.problems().await;
    assert_eq!(problems.len(), 1, "{problems:?}");
    assert!(problems[0].starts_with("entry-2") && problems[0].contains("does not continue"));
}

/// Guards against objects and lines that are not audit entries and go unreported.
#[tokio::test]
async fn foreign_data() {
    let harness = chain_of_nine_records().await;
    harness.store.replace("audit/note", "hello");
    harness.edit(0, |lines| lines.insert(2, "hello\n".into()));
    let problems = harness.problems().await;
    assert_eq!(problems.len(), 2, "{problems:?}");
    assert!(problems.iter().all(|p| p.ends_with("unreadable")));
}
