//! Guards against a reload signal (SIGHUP) that terminates an entry because it arrives during
//! startup. The test's settings file is a pipe, which keeps the entry in its startup.

use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;

/// Longer than the program takes until it reads its settings.
const STARTUP_TIME: Duration = Duration::from_millis(1_500);

fn run_command(command: &str, args: &[&str]) {
    let status = Command::new(command).args(args).status();
    assert!(status.expect("the command starts").success(), "{command}");
}

/// Starts an entry that blocks on reading its settings from a pipe.
fn spawn_entry(pipe: &str) -> Child {
    Command::new(env!("CARGO_BIN_EXE_dotterelwheel"))
        .args(["gateway", "--config", pipe])
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .expect("the program starts")
}

#[test]
fn sighup_during_startup_does_not_terminate_an_entry() {
    let directory = tempfile::tempdir().expect("a directory");
    let pipe = directory.path().join("settings.toml");
    let pipe = pipe.to_str().expect("a readable path");
    run_command("mkfifo", &[pipe]);
    let mut entry = spawn_entry(pipe);
    std::thread::sleep(STARTUP_TIME);
    run_command("kill", &["-HUP", &entry.id().to_string()]);
    std::thread::sleep(Duration::from_millis(100));
    assert_eq!(entry.try_wait().expect("its state"), None);
    // Invalid settings end the entry with an error code, so its end is not due to the signal.
    std::fs::write(pipe, "instance = 1").expect("the pipe is read");
    let status = entry.wait().expect("its end");
    assert!(status.code().is_some_and(|code| code != 0), "{status}");
}
