//! `audit verify` over chains that were written by a log.

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
use common::Platform;
use common::WORKSPACES;
use common::document;
use decision::ids::Head;
use decision::ids::Incarnation;
use edges::store::HttpObjects;
use edges::store::ObjectStore;

const TIMEOUT: Duration = Duration::from_secs(5);

/// Writes a closed chain of these records and returns the key of its object.
async fn write_chain(platform: &Platform, process: &str, records: Vec<Record>) -> String {
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

/// Writes a chain of unloads, one for each generation.
async fn write_unloads(platform: &Platform, generations: &[u64]) -> String {
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

async fn verify(platform: &Platform) -> Report {
    let config = platform.root.path().join("operator.toml");
    let config = config.display().to_string();
    common::run(&["audit", "verify", "--json", "--config", &config]).await
}

/// Guards against a changed, removed or swapped record that the command does not find, and against
/// problems in an untouched chain.
#[tokio::test]
async fn altered_records_are_found() {
    let platform = Platform::start().await;
    platform.publish(&platform.dir("a", WORKSPACES), &[]).await;
    let key = write_unloads(&platform, &[1, 1, 1]).await;
    let clean = verify(&platform).await;
    assert_eq!(clean.exit, Exit::Done, "{clean:?}");
    assert_eq!(document(&clean)["records"], 3);
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

/// Guards against a command that no published generation explains and that goes unnoticed.
#[tokio::test]
async fn unexplained_command_is_found() {
    let platform = Platform::start().await;
    platform.publish(&platform.dir("a", WORKSPACES), &[]).await;
    write_unloads(&platform, &[1, 5]).await;
    let found = verify(&platform).await;
    assert_eq!(found.exit, Exit::Refused);
    let problems = document(&found)["problems"].clone();
    assert_eq!(problems.as_array().unwrap().len(), 1, "{problems}");
    assert!(problems[0].as_str().unwrap().contains("generation 5"));
}

/// Runs a search of the audit and returns its exit and its records.
async fn search(platform: &Platform, args: &[&str]) -> (Exit, Vec<serde_json::Value>) {
    let config = platform.root.path().join("operator.toml");
    let config = config.display().to_string();
    let all = [&["audit"], args, &["--json", "--config", &config]].concat();
    let report = common::run(&all).await;
    let records = document(&report)["records"].as_array().cloned();
    (report.exit, records.unwrap_or_default())
}

/// Guards against a trace that leaves out what ran under an object, or shows what did not.
#[tokio::test]
async fn trace_finds_commands_of_version() {
    let platform = Platform::start().await;
    platform.publish(&platform.dir("a", WORKSPACES), &[]).await;
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

/// Guards against a request that cannot be followed, and against one that is mixed up with others.
#[tokio::test]
async fn show_finds_one_request() {
    let platform = Platform::start().await;
    platform.publish(&platform.dir("a", WORKSPACES), &[]).await;
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
