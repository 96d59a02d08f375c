//! An entry as a process of its own.

// No test uses all helpers.
#![allow(dead_code)]

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::time::Duration;

use platform::settings::Bounds;
use rig::deploy::EntryParams;
use rig::deploy::entry_settings;
use tempfile::TempDir;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const CALLER_PORT: u16 = 8_080;
const READY_PORT: u16 = 8_081;
const READY_CALL: &[u8] = b"GET /-/readyz HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
const START_POLL: Duration = Duration::from_millis(20);

/// The descriptor limit of the rendered settings.
const DEFAULT_MAX_FILES: usize = 4_000;

/// The resource limits in the settings of an entry.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProcessLimits {
    pub(crate) memory_mb: usize,
    pub(crate) max_files: usize,
}

/// A program that is killed at the end of the test.
pub(crate) struct Program {
    child: Child,
    _settings: TempDir,
}

impl Drop for Program {
    fn drop(&mut self) {
        // It may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Program {
    /// Returns the most memory that has been resident, in KiB.
    pub(crate) fn peak_kb(&self) -> usize {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).expect("the program lives");
        let line = status.lines().find(|line| line.starts_with("VmHWM:"));
        let value = line.and_then(|line| line.split_whitespace().nth(1));
        value
            .and_then(|value| value.parse().ok())
            .expect("the peak of the resident memory")
    }

    /// Returns the number of open file descriptors.
    #[allow(
        dead_code,
        reason = "not every test that shares this module counts them"
    )]
    pub(crate) fn open_files(&self) -> usize {
        let path = format!("/proc/{}/fd", self.child.id());
        std::fs::read_dir(path).expect("the program lives").count()
    }

    /// Returns whether it has not ended.
    pub(crate) fn is_running(&mut self) -> bool {
        self.child.try_wait().expect("its state").is_none()
    }

    /// Starts an entry with this memory limit, and waits until it is ready. Returns the address at which it
    /// accepts callers.
    pub(crate) async fn start(store: SocketAddr, memory_mb: usize) -> (Program, SocketAddr) {
        let limits = ProcessLimits {
            memory_mb,
            max_files: DEFAULT_MAX_FILES,
        };
        Program::start_limited(store, limits).await
    }

    /// Does the same with these limits.
    pub(crate) async fn start_limited(
        store: SocketAddr,
        limits: ProcessLimits,
    ) -> (Program, SocketAddr) {
        let ip = unused_loopback_ip();
        let mut program = start_entry(ip, store, limits);
        while !is_ready((ip, READY_PORT).into()).await {
            assert!(program.is_running());
            tokio::time::sleep(START_POLL).await;
        }
        (program, (ip, CALLER_PORT).into())
    }
}

/// Returns a loopback address that no other program of this or another test process uses.
fn unused_loopback_ip() -> Ipv4Addr {
    static COUNT: AtomicU8 = AtomicU8::new(1);
    let id = std::process::id();
    let count = COUNT.fetch_add(1, Ordering::Relaxed);
    Ipv4Addr::new(127, 200 + (id % 50) as u8, (id / 50 % 256) as u8, count)
}

async fn is_ready(addr: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(addr).await else {
        return false;
    };
    let mut answer = Vec::new();
    let asked = stream.write_all(READY_CALL).await;
    let read = stream.read_to_end(&mut answer).await;
    asked.is_ok() && read.is_ok() && answer.starts_with(b"HTTP/1.1 200 ")
}

/// Replaces the value of one limit in rendered settings.
fn replace_limit(settings: String, name: &str, from: usize, to: usize) -> String {
    let (from, to) = (format!("{name} = {from}"), format!("{name} = {to}"));
    assert!(settings.contains(&from), "{settings}");
    settings.replace(&from, &to)
}

fn start_entry(ip: Ipv4Addr, store: SocketAddr, limits: ProcessLimits) -> Program {
    let settings = entry_settings(&EntryParams {
        name: "e1",
        ip,
        caller_port: CALLER_PORT,
        ready_port: READY_PORT,
        store,
        agent_port: 9,
        bounds: Bounds {
            stop_s: 8.0,
            drain_ms: 500,
            contact_ms: 3_000,
            version_ms: 5_000,
            retry_ratio: 0.2,
            retry_slack: 56.0,
            retry_window_s: 10.0,
            revoke_ms: None,
            strict_revoke: false,
            quota_slack: None,
            quota_excess: None,
            quota_window_s: None,
        },
    });
    let settings = replace_limit(settings, "memory_mb", 256, limits.memory_mb);
    let settings = replace_limit(settings, "max_files", DEFAULT_MAX_FILES, limits.max_files);
    let directory = tempfile::tempdir().expect("a directory");
    let path = directory.path().join("settings.toml");
    std::fs::write(&path, settings).expect("the settings");
    let child = Command::new(env!("CARGO_BIN_EXE_dotterelwheel"))
        .args(["gateway", "--config"])
        .arg(path)
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn();
    Program {
        child: child.expect("the program starts"),
        _settings: directory,
    }
}
