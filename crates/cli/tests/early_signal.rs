//! Guards against an entry that a reload ends because it comes while the entry starts.

use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;

/// Longer than a program takes until it reads its settings.
const START: Duration = Duration::from_millis(1_500);

fn run(command: &str, args: &[&str]) {
    let status = Command::new(command).args(args).status();
    assert!(status.expect("the command starts").success(), "{command}");
}

/// Starts an entry that waits for its settings in a pipe.
fn entry(pipe: &str) -> Child {
    Command::new(env!("CARGO_BIN_EXE_dotterelwheel"))
        .args(["gateway", "--config", pipe])
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .expect("the program starts")
}

#[test]
fn reload_during_the_start_does_not_end_an_entry() {
    let directory = tempfile::tempdir().expect("a directory");
    let pipe = directory.path().join("settings.toml");
    let pipe = pipe.to_str().expect("a readable path");
    run("mkfifo", &[pipe]);
    let mut entry = entry(pipe);
    std::thread::sleep(START);
    run("kill", &["-HUP", &entry.id().to_string()]);
    std::thread::sleep(Duration::from_millis(100));
    assert_eq!(entry.try_wait().expect("its state"), None);
    // Unusable settings end it with an error instead of a signal.
    std::fs::write(pipe, "instance = 1").expect("the pipe is read");
    let status = entry.wait().expect("its end");
    assert!(status.code().is_some_and(|code| code != 0), "{status}");
}
