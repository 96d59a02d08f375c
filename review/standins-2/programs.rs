//! The real programs as the deploy file starts them, and what the platform does with their processes.

use std::fs::File;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use crate::http::Conn;

/// The memory of a front machine in `sites/pinecrest-airing.toml`, in MB.
pub const ENTRY_MEMORY_MB: u64 = 260;

/// A folder for settings and logs, which is removed at the end.
pub struct Folder(PathBuf);

impl Folder {
    pub fn create() -> std::io::Result<Folder> {
        let path = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&path)?;
        Ok(Folder(path))
    }

    pub fn file(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}

/// Returns a free port of a loopback address.
pub fn free_port(ip: Ipv4Addr) -> std::io::Result<u16> {
    Ok(TcpListener::bind((ip, 0))?.local_addr()?.port())
}

/// A process of the system; it is killed when this is dropped.
pub struct Program {
    name: String,
    run: [&'static str; 2],
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

impl Program {
    fn start(name: &str, run: [&'static str; 2], folder: &Folder, settings: &str) -> std::io::Result<Program> {
        let path = folder.file(&format!("{name}.toml"));
        std::fs::write(&path, settings)?;
        let log = folder.file(&format!("{name}.log"));
        let child = spawn(run, &path, &log)?;
        Ok(Program {
            name: name.to_owned(),
            run,
            settings: path,
            log,
            child,
        })
    }

    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the resident memory in MB; `None` if the process has ended.
    pub fn memory_mb(&mut self) -> Option<u64> {
        if !matches!(self.child.try_wait(), Ok(None)) {
            return None;
        }
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        let kb: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(kb >> 10)
    }

    /// Kills the process, as the platform does with one that exceeds its memory.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts the process again with the same settings.
    pub fn restart(&mut self) -> std::io::Result<()> {
        self.kill();
        self.child = spawn(self.run, &self.settings, &self.log)?;
        Ok(())
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(run: [&'static str; 2], settings: &PathBuf, log: &PathBuf) -> std::io::Result<Child> {
    let log = File::options().create(true).append(true).open(log)?;
    let errors = log.try_clone()?;
    Command::new(run[0])
        .arg(run[1])
        .env_clear()
        .env("DOTTERELWHEEL_CONFIG", settings)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(errors)
        .spawn()
}

/// An entry with its addresses.
pub struct Entry {
    pub program: Program,
    pub callers: SocketAddr,
    ready: SocketAddr,
}

impl Entry {
    /// Starts an entry with the bounds of `sites/pinecrest-airing.toml`.
    pub fn start(name: &str, ip: Ipv4Addr, store: SocketAddr, agent_port: u16, folder: &Folder) -> std::io::Result<Entry> {
        let callers = SocketAddr::from((ip, free_port(ip)?));
        let ready = SocketAddr::from((ip, free_port(ip)?));
        let metrics = SocketAddr::from((ip, free_port(ip)?));
        let settings = format!(
            "instance = \"{name}\"\ndomain = \"z\"\nlisten = \"{callers}\"\nready = \"{ready}\"\n\
             metrics = \"{metrics}\"\nstore = \"{store}\"\nagent_port = {agent_port}\nmax_files = 4100\n\
             memory_mb = {ENTRY_MEMORY_MB}\ndump_secret = \"{name}-state-dump\"\n\n[bounds]\nstop_s = 8\n\
             drain_ms = 2000\ncontact_ms = 3000\nversion_ms = 5000\nretry_ratio = 0.2\nretry_slack = 56\n\
             retry_window_s = 10\n"
        );
        let run = ["target/release/dotterelwheel", "gateway"];
        Ok(Entry {
            program: Program::start(name, run, folder, &settings)?,
            callers,
            ready,
        })
    }

    /// Returns whether the readiness check is answered with 200.
    pub fn is_ready(&self) -> bool {
        let timeout = Duration::from_millis(500);
        let Ok(mut conn) = Conn::open(self.ready, timeout) else {
            return false;
        };
        let reply = conn.call(b"GET /-/readyz HTTP/1.1\r\nhost: p\r\n\r\n");
        reply.is_ok_and(|reply| reply.status() == 200)
    }

    /// Waits until the entry is ready.
    pub fn wait_ready(&self, limit: Duration) -> Result<(), String> {
        let end = Instant::now() + limit;
        while !self.is_ready() {
            if Instant::now() > end {
                return Err(format!("{} is not ready", self.program.name()));
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }
}

/// Starts the agent beside a runner.
pub fn start_agent(name: &str, ip: Ipv4Addr, port: u16, runner: SocketAddr, folder: &Folder) -> std::io::Result<Program> {
    let metrics = SocketAddr::from((ip, free_port(ip)?));
    let settings = format!(
        "instance = \"{name}\"\nlisten = \"{ip}:{port}\"\nmetrics = \"{metrics}\"\nrunner = \"{runner}\"\n\
         dump_secret = \"{name}-state-dump\"\n"
    );
    let run = ["target/release/dotterelwheel-agent", "sidecar"];
    Program::start(name, run, folder, &settings)
}
