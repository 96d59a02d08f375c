//! Test helpers: a platform of stand-ins with a settings file, and directories of object files.
#![allow(dead_code, reason = "not every test file uses every helper")]

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use cli::Report;
use serde_json::Value;
use standins::Objects;
use standins::Table;
use tempfile::TempDir;

pub(crate) const WORKSPACES: &str = "\
[[workspace]]
name = \"harbor\"
rate = 5
inflight = 10

[[workspace]]
name = \"market\"
rate = 6
inflight = 12
";

/// Stand-ins for the table service and the object store, and a directory whose `operator.toml`
/// points to them.
pub(crate) struct TestPlatform {
    pub(crate) table: Table,
    pub(crate) objects: Objects,
    pub(crate) root: TempDir,
}

impl TestPlatform {
    pub(crate) async fn start() -> TestPlatform {
        let (table, objects) = (Table::start().await, Objects::start().await);
        let root = TempDir::new().unwrap();
        let settings = format!(
            "table = \"{}\"\nobjects = \"{}\"\nsecret = \"a secret of 24 bytes ...\"\npeers = []\n",
            table.addr(),
            objects.addr()
        );
        fs::write(root.path().join("operator.toml"), settings).unwrap();
        TestPlatform {
            table,
            objects,
            root,
        }
    }

    /// Writes `text` to the only object file of the directory `name`, which is created if it does
    /// not exist.
    pub(crate) fn write_dir(&self, name: &str, text: &str) -> PathBuf {
        let dir = self.root.path().join(name);
        fs::create_dir_all(&dir).unwrap();
        fs::write(dir.join("set.toml"), text).unwrap();
        dir
    }

    /// Runs a command with the settings file of this platform.
    pub(crate) async fn run(&self, command: &str, operands: &[&str]) -> Report {
        let config = self.root.path().join("operator.toml");
        let config = config.display().to_string();
        let mut args = vec![command, "--config", &config];
        args.extend(operands);
        run(&args).await
    }

    pub(crate) async fn publish(&self, dir: &Path, options: &[&str]) -> Report {
        let dir = dir.display().to_string();
        let mut operands = vec![&*dir];
        operands.extend(options);
        self.run("publish", &operands).await
    }

    /// Returns the generation in the head row, 0 without a row.
    pub(crate) fn head_generation(&self) -> u64 {
        let Some(row) = self.table.row("config/head") else {
            return 0;
        };
        let head: Value = serde_json::from_slice(&row.value).unwrap();
        head["generation"].as_u64().unwrap()
    }
}

pub(crate) async fn run(args: &[&str]) -> Report {
    let args: Vec<_> = args.iter().map(ToString::to_string).collect();
    cli::run(&args).await
}

/// Returns the JSON document that must be the only output of a report.
pub(crate) fn json_document(report: &Report) -> Value {
    assert_eq!(
        (report.lines.len(), report.errors.len()),
        (1, 0),
        "{report:?}"
    );
    serde_json::from_str(&report.lines[0]).unwrap()
}
