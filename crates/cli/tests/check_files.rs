//! `check` and argument errors, which need no platform.

mod common;

use cli::Exit;
use common::WORKSPACES;
use common::json_document;
use common::run;
use serde_json::json;

#[tokio::test]
async fn check_reports_every_file() {
    // Guards against errors without a file and line, and against skipped files.
    let root = tempfile::TempDir::new().unwrap();
    let dir = root.path().display().to_string();
    std::fs::write(root.path().join("a.toml"), WORKSPACES).unwrap();
    std::fs::write(root.path().join("b.toml"), "[[model]]\nname = \"m\"\n").unwrap();
    std::fs::write(root.path().join("notes.txt"), "no object").unwrap();
    std::fs::write(root.path().join(".published"), "no object").unwrap();
    let report = run(&["check", &dir]).await;
    let line =
        format!("{dir}/b.toml:1: error: model \"m\": field `base` is missing; add `base = ...`");
    assert_eq!((report.exit, &report.errors), (Exit::Refused, &vec![line]));
    assert_eq!(report.lines, ["2 objects, 1 errors, 0 warnings"]);
    let output = json_document(&run(&["check", &dir, "--json"]).await);
    assert_eq!(output["code"], 1);
    assert_eq!(output["findings"][0]["place"]["line"], 1);
    assert_eq!(
        output["findings"][0]["object"],
        json!({ "kind": "model", "name": "m" })
    );
}

#[tokio::test]
async fn wrong_arguments_exit_with_usage() {
    // Guards against a mistyped command or path that looks like success to a script, and against
    // publishing an empty directory, which would remove all objects.
    let root = tempfile::TempDir::new().unwrap();
    let empty = root.path().display().to_string();
    let settings = root.path().join("operator.toml");
    std::fs::write(&settings, "table = \"nowhere\"\n").unwrap();
    let settings = settings.display().to_string();
    std::fs::create_dir(root.path().join("empty")).unwrap();
    let cases: [&[&str]; 8] = [
        &[],
        &["chekc", &empty],
        &["check"],
        &["check", "/nonexistent/dir"],
        &["check", &format!("{empty}/empty")],
        &["publish", &empty, "--rebase=yes"],
        &["publish", &empty, "--config", "/nonexistent/operator.toml"],
        &["history", "--config", &settings],
    ];
    for args in cases {
        let report = run(args).await;
        assert_eq!(report.exit.code(), 2, "{args:?}: {report:?}");
        assert!(
            report.lines.is_empty() && !report.errors.is_empty(),
            "{args:?}"
        );
    }
    let help = run(&["publish", "--help"]).await;
    assert!(
        help.exit == Exit::Done && help.lines[0].contains("--rebase"),
        "{help:?}"
    );
}
