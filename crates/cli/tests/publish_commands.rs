//! `publish`, `diff`, `rollback` and `history` against stand-ins for the table service and the
//! object store.

mod common;

use cli::Exit;
use common::TestPlatform;
use common::WORKSPACES;
use common::json_document;
use serde_json::json;

#[tokio::test]
async fn published_set_can_be_listed_and_rolled_back() {
    // Guards against a history or a rollback that differs from what was published.
    let platform = TestPlatform::start().await;
    let dir = platform.write_dir("a", WORKSPACES);
    let first = platform.publish(&dir, &["--publisher", "anna"]).await;
    assert_eq!(first.exit, Exit::Done, "{first:?}");
    let again = json_document(&platform.publish(&dir, &["--json"]).await);
    assert_eq!(again["outcome"], "unchanged");
    platform.write_dir("a", &WORKSPACES.replace("rate = 5", "rate = 7"));
    let second = json_document(&platform.publish(&dir, &["--json"]).await);
    assert_eq!(second["generation"]["changed"], 1);
    let back = platform.run("rollback", &["1"]).await;
    assert_eq!(back.exit, Exit::Done, "{back:?}");

    let history = json_document(&platform.run("history", &["--json"]).await);
    let rows = history["generations"].as_array().unwrap();
    let numbers: Vec<_> = rows.iter().map(|row| row["generation"].clone()).collect();
    assert_eq!(numbers, [3, 2, 1]);
    assert_eq!(rows[0]["restores"], 1);
    assert_eq!(rows[2]["publisher"], "anna");
    let text = platform.run("history", &["--limit", "1"]).await;
    assert!(text.lines[0].ends_with("(restores 1)"), "{text:?}");

    // The rollback is a generation that the directory does not have yet.
    let diff = platform.run("diff", &[&dir.display().to_string()]).await;
    assert!(
        diff.lines
            .contains(&"  ~ workspace \"harbor\": rate 7.0 -> 5.0".to_owned()),
        "{diff:?}"
    );
    let unknown = platform.run("rollback", &["9"]).await;
    assert_eq!(
        (unknown.exit, platform.head_generation()),
        (Exit::Refused, 3)
    );
}

#[tokio::test]
async fn second_of_two_concurrent_publishers_gets_a_conflict() {
    // Guards against two concurrent publishers that both report success.
    let platform = TestPlatform::start().await;
    let one = platform.write_dir("one", WORKSPACES);
    platform.publish(&one, &[]).await;
    let two = platform.write_dir("two", &WORKSPACES.replace("rate = 6", "rate = 8"));
    std::fs::copy(one.join(".published"), two.join(".published")).unwrap();
    platform.write_dir("one", &WORKSPACES.replace("rate = 6", "rate = 7"));

    // The delay makes both publishers read the head before either writes it.
    platform
        .table
        .faults()
        .set_delay(std::time::Duration::from_millis(50));
    let (left, right) = tokio::join!(platform.publish(&one, &[]), platform.publish(&two, &[]));
    platform.table.faults().set_delay(std::time::Duration::ZERO);
    let mut exit_codes = [left.exit.code(), right.exit.code()];
    exit_codes.sort_unstable();
    assert_eq!(
        (exit_codes, platform.head_generation()),
        ([0, 4], 2),
        "{left:?} {right:?}"
    );
    let (loser, dir) = match left.exit {
        Exit::Conflict => (left, &one),
        _ => (right, &two),
    };
    assert!(loser.errors[0].starts_with("error: workspace \"market\": changed here and in"));
    // Both directories change the same object, so a rebase is refused as well.
    let refused = json_document(&platform.publish(dir, &["--rebase", "--json"]).await);
    assert_eq!(
        refused["overlap"],
        json!([{ "kind": "workspace", "name": "market" }])
    );
    assert_eq!(platform.head_generation(), 2);
}

#[tokio::test]
async fn rebased_directory_never_reverts_the_other_edit() {
    // Guards against a publication after a rebase that removes the objects added by others, because
    // the directory does not have them.
    let platform = TestPlatform::start().await;
    let one = platform.write_dir("one", WORKSPACES);
    platform.publish(&one, &[]).await;
    let more = format!("{WORKSPACES}[[model]]\nname = \"m\"\nbase = \"b\"\n");
    let two = platform.write_dir("two", &more);
    std::fs::copy(one.join(".published"), two.join(".published")).unwrap();
    platform.publish(&two, &[]).await;

    platform.write_dir("one", &WORKSPACES.replace("rate = 5", "rate = 7"));
    let refused = platform.publish(&one, &[]).await;
    assert_eq!(refused.exit, Exit::Conflict, "{refused:?}");
    let rebased = platform.publish(&one, &["--rebase"]).await;
    assert_eq!(
        (rebased.exit, platform.head_generation()),
        (Exit::Done, 3),
        "{rebased:?}"
    );
    // The directory still lacks the model; a further edit publishes just that edit.
    platform.write_dir("one", &WORKSPACES.replace("rate = 5", "rate = 9"));
    let edited = json_document(&platform.publish(&one, &["--json"]).await);
    let counts = ["added", "removed", "changed"].map(|name| &edited["generation"][name]);
    assert_eq!(counts, [&json!(0), &json!(0), &json!(1)]);
}

#[tokio::test]
async fn lost_response_counts_as_published_once() {
    // Guards against publishing a set twice, or reporting a failure, when the response to the swap
    // is lost.
    let platform = TestPlatform::start().await;
    let dir = platform.write_dir("a", WORKSPACES);
    platform.table.faults().lose_responses(1);
    platform.objects.faults().lose_responses(1);
    let report = platform.publish(&dir, &[]).await;
    assert_eq!(
        (report.exit, platform.head_generation()),
        (Exit::Done, 1),
        "{report:?}"
    );
    assert_eq!(platform.table.rows("config/generation/").len(), 1);
    let again = json_document(&platform.publish(&dir, &["--json"]).await);
    assert_eq!(again["outcome"], "unchanged");
}

#[tokio::test]
async fn lost_request_is_sent_again() {
    // Guards against reporting a set as published although the request of the swap was lost.
    let platform = TestPlatform::start().await;
    let dir = platform.write_dir("a", WORKSPACES);
    platform.table.faults().lose_requests(1);
    let report = platform.publish(&dir, &[]).await;
    assert_eq!(
        (report.exit, platform.head_generation()),
        (Exit::Done, 1),
        "{report:?}"
    );
}

#[tokio::test]
async fn crash_after_the_swap_is_recognized() {
    // Guards against a second generation of the same set when the publisher crashed after the swap
    // and before it wrote the base file.
    let platform = TestPlatform::start().await;
    let dir = platform.write_dir("a", WORKSPACES);
    platform.publish(&dir, &[]).await;
    let before = std::fs::read(dir.join(".published")).unwrap();
    platform.write_dir("a", &WORKSPACES.replace("rate = 5", "rate = 7"));
    platform.publish(&dir, &[]).await;
    std::fs::write(dir.join(".published"), before).unwrap();
    let again = json_document(&platform.publish(&dir, &["--json"]).await);
    assert_eq!(
        (&again["outcome"], platform.head_generation()),
        (&json!("unchanged"), 2)
    );
    // The base file is now up to date, so the next edit causes no conflict.
    platform.write_dir("a", &WORKSPACES.replace("rate = 5", "rate = 8"));
    assert_eq!(platform.publish(&dir, &[]).await.exit, Exit::Done);
}

#[tokio::test]
async fn unusable_platform_and_sets_change_nothing() {
    // Guards against publishing an invalid set, and against wrong exit codes.
    let platform = TestPlatform::start().await;
    let dir = platform.write_dir(
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
    let TestPlatform {
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
