//! Publish, diff, rollback and history against stand-ins of the table and the object store.

mod common;

use cli::Exit;
use common::Platform;
use common::WORKSPACES;
use common::document;
use serde_json::json;

#[tokio::test]
async fn published_set_can_be_listed_and_rolled_back() {
    // Guards against a history or a rollback that does not match what was published.
    let platform = Platform::start().await;
    let dir = platform.dir("a", WORKSPACES);
    let first = platform.publish(&dir, &["--publisher", "anna"]).await;
    assert_eq!(first.exit, Exit::Done, "{first:?}");
    let again = document(&platform.publish(&dir, &["--json"]).await);
    assert_eq!(again["outcome"], "unchanged");
    platform.dir("a", &WORKSPACES.replace("rate = 5", "rate = 7"));
    let second = document(&platform.publish(&dir, &["--json"]).await);
    assert_eq!(second["generation"]["changed"], 1);
    let back = platform.run("rollback", &["1"]).await;
    assert_eq!(back.exit, Exit::Done, "{back:?}");

    let history = document(&platform.run("history", &["--json"]).await);
    let rows = history["generations"].as_array().unwrap();
    let numbers: Vec<_> = rows.iter().map(|row| row["generation"].clone()).collect();
    assert_eq!(numbers, [3, 2, 1]);
    assert_eq!(rows[0]["restores"], 1);
    assert_eq!(rows[2]["publisher"], "anna");
    let text = platform.run("history", &["--limit", "1"]).await;
    assert!(text.lines[0].ends_with("(restores 1)"), "{text:?}");

    // The directory is now behind the rollback.
    let diff = platform.run("diff", &[&dir.display().to_string()]).await;
    assert!(
        diff.lines
            .contains(&"  ~ workspace \"harbor\": rate 7.0 -> 5.0".to_owned()),
        "{diff:?}"
    );
    let unknown = platform.run("rollback", &["9"]).await;
    assert_eq!((unknown.exit, platform.generation()), (Exit::Refused, 3));
}

#[tokio::test]
async fn one_of_two_publishers_at_once_gets_a_conflict() {
    // Guards against two publishers that both believe their set is in force.
    let platform = Platform::start().await;
    let one = platform.dir("one", WORKSPACES);
    platform.publish(&one, &[]).await;
    let two = platform.dir("two", &WORKSPACES.replace("rate = 6", "rate = 8"));
    std::fs::copy(one.join(".published"), two.join(".published")).unwrap();
    platform.dir("one", &WORKSPACES.replace("rate = 6", "rate = 7"));

    // The delay lets both read the head before either writes it.
    platform
        .table
        .faults()
        .set_delay(std::time::Duration::from_millis(50));
    let (left, right) = tokio::join!(platform.publish(&one, &[]), platform.publish(&two, &[]));
    platform.table.faults().set_delay(std::time::Duration::ZERO);
    let mut ends = [left.exit.code(), right.exit.code()];
    ends.sort_unstable();
    assert_eq!(
        (ends, platform.generation()),
        ([0, 4], 2),
        "{left:?} {right:?}"
    );
    let (loser, dir) = match left.exit {
        Exit::Conflict => (left, &one),
        _ => (right, &two),
    };
    assert!(loser.errors[0].starts_with("error: workspace \"market\": changed here and in"));
    // Both changed the same object, so a rebase is refused as well.
    let refused = document(&platform.publish(dir, &["--rebase", "--json"]).await);
    assert_eq!(
        refused["overlap"],
        json!([{ "kind": "workspace", "name": "market" }])
    );
    assert_eq!(platform.generation(), 2);
}

#[tokio::test]
async fn rebased_directory_never_reverts_the_other_edit() {
    // Guards against a later publication that takes the objects of others for removed ones.
    let platform = Platform::start().await;
    let one = platform.dir("one", WORKSPACES);
    platform.publish(&one, &[]).await;
    let more = format!("{WORKSPACES}[[model]]\nname = \"m\"\nbase = \"b\"\n");
    let two = platform.dir("two", &more);
    std::fs::copy(one.join(".published"), two.join(".published")).unwrap();
    platform.publish(&two, &[]).await;

    platform.dir("one", &WORKSPACES.replace("rate = 5", "rate = 7"));
    let refused = platform.publish(&one, &[]).await;
    assert_eq!(refused.exit, Exit::Conflict, "{refused:?}");
    let rebased = platform.publish(&one, &["--rebase"]).await;
    assert_eq!(
        (rebased.exit, platform.generation()),
        (Exit::Done, 3),
        "{rebased:?}"
    );
    // The directory still lacks the model; a further edit publishes just that edit.
    platform.dir("one", &WORKSPACES.replace("rate = 5", "rate = 9"));
    let edited = document(&platform.publish(&one, &["--json"]).await);
    let counts = ["added", "removed", "changed"].map(|name| &edited["generation"][name]);
    assert_eq!(counts, [&json!(0), &json!(0), &json!(1)]);
}

#[tokio::test]
async fn lost_response_counts_as_published_once() {
    // Guards against a set that is published twice, or reported as failed, after the response to
    // the swap was lost.
    let platform = Platform::start().await;
    let dir = platform.dir("a", WORKSPACES);
    platform.table.faults().lose_responses(1);
    platform.objects.faults().lose_responses(1);
    let report = platform.publish(&dir, &[]).await;
    assert_eq!(
        (report.exit, platform.generation()),
        (Exit::Done, 1),
        "{report:?}"
    );
    assert_eq!(platform.table.rows("config/generation/").len(), 1);
    let again = document(&platform.publish(&dir, &["--json"]).await);
    assert_eq!(again["outcome"], "unchanged");
}

#[tokio::test]
async fn lost_request_is_sent_again() {
    // Guards against a set that is reported as published although the swap never arrived.
    let platform = Platform::start().await;
    let dir = platform.dir("a", WORKSPACES);
    platform.table.faults().lose_requests(1);
    let report = platform.publish(&dir, &[]).await;
    assert_eq!(
        (report.exit, platform.generation()),
        (Exit::Done, 1),
        "{report:?}"
    );
}

#[tokio::test]
async fn crash_after_the_swap_is_recognized() {
    // Guards against a second generation when the publisher died before it recorded the first.
    let platform = Platform::start().await;
    let dir = platform.dir("a", WORKSPACES);
    platform.publish(&dir, &[]).await;
    let before = std::fs::read(dir.join(".published")).unwrap();
    platform.dir("a", &WORKSPACES.replace("rate = 5", "rate = 7"));
    platform.publish(&dir, &[]).await;
    std::fs::write(dir.join(".published"), before).unwrap();
    let again = document(&platform.publish(&dir, &["--json"]).await);
    assert_eq!(
        (&again["outcome"], platform.generation()),
        (&json!("unchanged"), 2)
    );
    // The record is repaired, so the next edit is no conflict.
    platform.dir("a", &WORKSPACES.replace("rate = 5", "rate = 8"));
    assert_eq!(platform.publish(&dir, &[]).await.exit, Exit::Done);
}

#[tokio::test]
async fn unusable_platform_and_sets_change_nothing() {
    // Guards against a broken set in force, and against wrong exit codes for scripts.
    let platform = Platform::start().await;
    let dir = platform.dir(
        "a",
        "[[adapter]]\nname = \"a\"\nmodel = \"m\"\nworkspace = \"w\"\n",
    );
    let report = platform.publish(&dir, &[]).await;
    let file = dir.join("set.toml").display().to_string();
    let first = format!(
        "{file}:3: error: adapter \"a\": model \"m\" does not exist; add `[[model]]` with this \
         name or correct `model`"
    );
    assert_eq!((report.exit, &report.errors[0]), (Exit::Refused, &first));
    let Platform {
        table,
        objects,
        root,
    } = platform;
    let down = format!(
        "table = \"{}\"\nobjects = \"{}\"\n",
        table.addr(),
        objects.addr()
    );
    table.stop().await;
    let config = root.path().join("down.toml");
    std::fs::write(&config, down).unwrap();
    let history = common::run(&["history", "--config", &config.display().to_string()]).await;
    assert_eq!(history.exit, Exit::Unreachable, "{history:?}");
    objects.stop().await;
}
