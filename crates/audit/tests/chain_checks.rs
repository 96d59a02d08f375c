//! Tampering with the stored chains.

mod support;

use support::Bed;
use support::attempt;

const CHAIN: &str = "entry-1/0000000000000001";

async fn chain_of_nine() -> Bed {
    let bed = Bed::start().await;
    bed.write("entry-1", (1..=9).map(attempt)).await;
    assert_eq!(bed.problems().await, [] as [&str; 0]);
    assert_eq!(bed.store.keys("audit/").len(), 3);
    bed
}

/// Guards against a verification that finds fault with whole chains, or skips records.
#[tokio::test]
async fn whole_chain() {
    let bed = chain_of_nine().await;
    let report = bed.verify(|_| ()).await;
    assert_eq!((report.record_count, report.chains.len()), (9, 1));
    assert_eq!(
        (report.chains[0].tip.seq, report.chains[0].closed),
        (10, true)
    );
    assert!(bed.store.keys("audit/")[1].ends_with("entry-1/0000000000000001/00000000000000000005"));
}

/// Guards against a changed record, with its old hash and with a new one.
#[tokio::test]
async fn changed_record() {
    let bed = chain_of_nine().await;
    let change = |line: &str| line.replace("\"start\":1006", "\"start\":1007");
    bed.edit(1, |lines| lines[1] = change(&lines[1]));
    assert_eq!(bed.problems().await, [format!("{CHAIN} entry 6: changed")]);
    bed.edit(1, |lines| {
        let (_, payload) = lines[1].trim_end().split_once(' ').unwrap();
        lines[1] = format!("{} {payload}\n", audit::digest(payload.as_bytes()));
    });
    let expected = [format!(
        "{CHAIN} entry 7: does not continue the entry before it"
    )];
    assert_eq!(bed.problems().await, expected);
}

/// Guards against a removed record, at the start, inside and at the end of an object, and against a
/// removed object.
#[tokio::test]
async fn removed_record() {
    for line in 0..4 {
        let bed = chain_of_nine().await;
        bed.edit(1, |lines| drop(lines.remove(line)));
        let missing = format!("{CHAIN} entry {}: 1 entries missing from here on", line + 5);
        assert!(bed.problems().await.contains(&missing), "line {line}");
    }
    let bed = chain_of_nine().await;
    bed.store
        .remove(&bed.store.keys("audit/")[0].clone())
        .unwrap();
    let missing = [format!("{CHAIN} entry 1: 4 entries missing from here on")];
    assert_eq!(bed.problems().await, missing);
}

/// Guards against swapped records, as lines, as payloads under the other's hash and as objects.
#[tokio::test]
async fn swapped_records() {
    let bed = chain_of_nine().await;
    bed.edit(1, |lines| lines.swap(1, 2));
    let expected = [format!("{CHAIN} entry 6: stands at another place")];
    assert_eq!(bed.problems().await, expected);
    bed.edit(1, |lines| lines.swap(1, 2));
    bed.edit(1, |lines| {
        let halves = |line: &str| {
            let (hash, payload) = line.split_once(' ').unwrap();
            (hash.to_owned(), payload.to_owned())
        };
        let ((hash1, payload1), (hash2, payload2)) = (halves(&lines[1]), halves(&lines[2]));
        lines[1] = format!("{hash1} {payload2}");
        lines[2] = format!("{hash2} {payload1}");
    });
    assert!(
        bed.problems()
            .await
            .contains(&format!("{CHAIN} entry 6: changed"))
    );
    let bed = chain_of_nine().await;
    let keys = bed.store.keys("audit/");
    let (first, second) = (
        bed.store.remove(&keys[0]).unwrap(),
        bed.store.remove(&keys[1]).unwrap(),
    );
    bed.store.replace(&keys[0], second);
    bed.store.replace(&keys[1], first);
    let problems = bed.problems().await;
    assert!(
        problems.contains(&format!("{CHAIN} entry 5: stands at another place")),
        "{problems:?}"
    );
}

/// Guards against removal of the newest entries and against a chain written anew from a point on.
#[tokio::test]
async fn known_tip() {
    let bed = chain_of_nine().await;
    let tip = bed.verify(|_| ()).await.chains.remove(0).tip;
    bed.edit(2, |lines| lines.truncate(1));
    let report = bed.verify(|e| e.known_tips.push(tip.clone())).await;
    let expected = format!("{CHAIN} entry 10: 1 entries missing from here on");
    assert_eq!(report.problems[0].to_string(), expected);
    assert!(!report.chains[0].closed);
    for key in bed.store.keys("audit/") {
        bed.store.remove(&key);
    }
    let report = bed.verify(|e| e.known_tips.push(tip.clone())).await;
    let expected = format!("{CHAIN} entry 1: 10 entries missing from here on");
    assert_eq!(report.problems[0].to_string(), expected);
    bed.write("entry-1", (11..=19).map(attempt)).await;
    let report = bed.verify(|e| e.known_tips.push(tip)).await;
    assert_eq!(
        report.problems[0].to_string(),
        format!("{CHAIN} entry 10: changed")
    );
}

/// Guards against a chain that is copied under the name of another process.
#[tokio::test]
async fn copied_chain() {
    let bed = chain_of_nine().await;
    let key = bed.store.keys("audit/").remove(0);
    let data = bed.store.object(&key).unwrap();
    bed.store.replace(&key.replace("entry-1", "entry-2"), data);
    let problems = bed.problems().await;
    assert_eq!(problems.len(), 1, "{problems:?}");
    assert!(problems[0].starts_with("entry-2") && problems[0].contains("does not continue"));
}

/// Guards against objects that are no audit entries and pass unnoticed.
#[tokio::test]
async fn foreign_data() {
    let bed = chain_of_nine().await;
    bed.store.replace("audit/note", "hello");
    bed.edit(0, |lines| lines.insert(2, "hello\n".into()));
    let problems = bed.problems().await;
    assert_eq!(problems.len(), 2, "{problems:?}");
    assert!(problems.iter().all(|p| p.ends_with("unreadable")));
}
