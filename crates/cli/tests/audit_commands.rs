//! `audit verify`, `audit show` and `audit trace` on chains written by [`audit::Log`].

mod common;

use std::sync::Arc;
use std::time::Duration;

use audit::CommandKind;
use audit::CommandRecord;
use audit::Log;
use audit::LogSettings;
use audit::Record;
use cli::Exit;
use cli::Report;
use common::TestPlatform;
use common::WORKSPACES;
use common::json_document;
use decision::ids::Head;
use decision::ids::Incarnation;
use edges::store::HttpObjects;
use edges::store::ObjectStore;

const TIMEOUT: Duration = Duration::from_secs(5);

/// Writes a closed chain of these records and returns the key of its first object.
async fn write_chain(platform: &TestPlatform, process: &str, records: Vec<Record>) -> String {
    let log = Log::new(LogSettings::new(process, Incarnation(7)));
    let store = Arc::new(HttpObjects::new(platform.objects.addr()));
    let writer = tokio::spawn({
        let (log, store) = (log.clone(), store.clone());
        async move { log.run(store).await }
    });
    records.into_iter().for_each(|record| log.record(record));
    log.close().await.unwrap();
    writer.await.unwrap();
    store.list("audit/", TIMEOUT).await.unwrap().remove(0)
}

/// Writes a chain with one unload per generation.
async fn write_unloads(platform: &TestPlatform, generations: &[u64]) -> String {
    let row = platform.table.row("config/head").unwrap();
    let head: Head = serde_json::from_slice(&row.value).unwrap();
    let unload = |(token, generation): (u64, &u64)| CommandRecord {
        endpoint: "e1".into(),
        kind: CommandKind::Unload,
        version: "a@1".into(),
        weight_digest: None,
        fencing_token: token,
        head: Head {
            generation: *generation,
            ..head.clone()
        },
        error: None,
        start: 1,
        end: 2,
    };
    let records = (1..).zip(generations).map(unload).map(Record::from);
    write_chain(platform, "e1", records.collect()).await
}

async fn verify(platform: &TestPlatform) -> Report {
    let config = platform.root.path().join("operator.toml");
    let config = config.display().to_string();
    common::run(&["audit", "verify", "--json", "--config", &config]).await
}

/// Guards against changed, removed or reordered records that `audit verify` does not find, and
/// against problems reported for an intact chain.
#[tokio::test]
async fn altered_records_are_found() {
    let platform = TestPlatform::start().await;
    platform
        .publish(&platform.write_dir("a", WORKSPACES), &[])
        .await;
    let key = write_unloads(&platform, &[1, 1, 1]).await;
    let clean = verify(&platform).await;
    assert_eq!(clean.exit, Exit::Done, "{clean:?}");
    assert_eq!(json_document(&clean)["records"], 3);
    let store = HttpObjects::new(platform.objects.addr());
    let data = store.get(&key, TIMEOUT).await.unwrap().unwrap();
    let text = String::from_utf8(data.to_vec()).unwrap();
    let lines: Vec<&str> = text.lines().collect();
    let changed = text.replacen("\"token\":2", "\"token\":9", 1);
    let removed = [lines[0], lines[2], lines[3]].join("\n");
    let swapped = [lines[1], lines[0], lines[2], lines[3]].join("\n");
    for altered in [changed, removed, swapped] {
        platform.objects.replace(&key, altered.clone().into_bytes());
        let found = verify(&platform).await;
        assert_eq!(found.exit, Exit::Refused, "{altered}");
    }
}

/// Guards against an undetected command whose generation was never published.
#[tokio::test]
async fn command_of_unknown_generation_is_found() {
    let platform = TestPlatform::start().await;
    platform
        .publish(&platform.write_dir("a", WORKSPACES), &[])
        .await;
    write_unloads(&platform, &[1, 5]).await;
    let found = verify(&platform).await;
    assert_eq!(found.exit, Exit::Refused);
    let problems = json_document(&found)["problems"].clone();
    assert_eq!(problems.as_array().unwrap().len(), 1, "{problems}");
    assert!(problems[0].as_str().unwrap().contains("generation 5"));
}

/// Runs `audit show` or `audit trace` and returns the exit status and the records found.
async fn search(platform: &TestPlatform, args: &[&str]) -> (Exit, Vec<serde_json::Value>) {
    let config = platform.root.path().join("operator.toml");
    let config = config.display().to_string();
    let all = [&["audit"], args, &["--json", "--config", &config]].concat();
    let report = common::run(&all).await;
    let records = json_document(&report)["records"].as_array().cloned();
    (report.exit, records.unwrap_or_default())
}

/// Guards against a trace that omits records of the object or includes records of others.
#[tokio::test]
async fn trace_finds_commands_of_version() {
    let platform = TestPlatform::start().await;
    platform
        .publish(&platform.write_dir("a", WORKSPACES), &[])
        .await;
    write_unloads(&platform, &[1, 1]).await;
    for object in [["version", "a@1"], ["adapter", "a"], ["endpoint", "e1"]] {
        let (exit, records) = search(&platform, &[&["trace"], &object[..]].concat()).await;
        assert_eq!((exit, records.len()), (Exit::Done, 2), "{object:?}");
    }
    let (exit, records) = search(&platform, &["trace", "version", "a@2"]).await;
    assert_eq!((exit, records.len()), (Exit::Refused, 0));
    let (exit, _) = search(&platform, &["trace", "engine", "a"]).await;
    assert_eq!(exit, Exit::Usage);
}

/// Guards against a search that misses the records of a request or includes those of others.
#[tokio::test]
async fn show_finds_one_request() {
    let platform = TestPlatform::start().await;
    platform
        .publish(&platform.write_dir("a", WORKSPACES), &[])
        .await;
    let attempt = |number| audit::AttemptRecord {
        request: decision::ids::RequestId(number),
        attempt: 1,
        workspace: "harbor".into(),
        head: Head::default(),
        route: "tides".into(),
        target: decision::job::Target::Model("base".into()),
        endpoint: Some("e1".into()),
        incarnation: None,
        claim: None,
        replay: false,
        outcome: decision::job::Outcome::Ran,
        start: 1,
        end: 2,
        request_digest: String::new(),
        response_digest: None,
    };
    let records = (1..=3).map(attempt).map(Record::from);
    write_chain(&platform, "entry-1", records.collect()).await;
    let (exit, records) = search(&platform, &["show", &format!("{:032x}", 2)]).await;
    assert_eq!((exit, records.len()), (Exit::Done, 1));
    assert_eq!(
        records[0]["record"]["attempt"]["request"],
        format!("{:032x}", 2)
    );
    let (exit, _) = search(&platform, &["show", &format!("{:032x}", 9)]).await;
    assert_eq!(exit, Exit::Refused);
    let (exit, _) = search(&platform, &["show", "not-hex"]).await;
    assert_eq!(exit, Exit::Usage);
}
