//! Signals to a program under test that has not installed its handlers yet.

use std::path::Path;
use std::time::Duration;

use rustix::process::Signal;
use soak::program::Process;

/// The time that the program takes until it handles SIGHUP.
const START_COMMAND: &str = "sleep 0.3; trap '' HUP; sleep 5";

/// Guards against a reload signal that kills a program because it was suspended during its start.
#[tokio::test]
async fn signal_waits_for_a_program_suspended_during_its_start() {
    let directory = tempfile::tempdir().expect("a directory");
    let log = directory.path().join("log");
    let process = Process::new("p", Path::new("/bin/sh"), &["-c", START_COMMAND], log);
    process.start().await.expect("the program starts");
    let paused = process.pause(Duration::from_millis(700)).await;
    paused.expect("the program is suspended");
    let sent = process.signal(Signal::HUP).await;
    sent.expect("the signal is sent");
    tokio::time::sleep(Duration::from_millis(100)).await;
    let exited = process.restart_if_exited().await.expect("its state");
    assert_eq!(exited, None);
    process.kill().await.expect("the program is killed");
}
