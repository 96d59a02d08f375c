//! The programs, stand-ins and proxies of a run: their addresses, settings and start.
//!
//! Invariants: entries reach the store, the runners and the agents only through a proxy; the address of
//! a position stays the same when its runner or program is replaced.

use std::io::ErrorKind;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use error_stack::Report;
use error_stack::ResultExt;
use rig::deploy;
use rig::deploy::EntryParams;
use rig::engine::Engine;
use rig::runner::Behavior;
use rig::runner::CrashTrigger;
use rig::runner::Phase;
use rig::runner::Runner;
use rig::runner::RunnerSpec;

use crate::harness::BOUNDS;
use crate::harness::Harness;
use crate::harness::Paths;
use crate::harness::RunError;
use crate::harness::RunnerHost;
use crate::harness::SLOTS;
use crate::program::Process;
use crate::proxy::Proxy;

/// The ports on a runner's address: the runner and its agent, each with the proxy in front of it on
/// the port that entries use.
const RUNNER_PORT: u16 = 7_000;
const RUNNER_REAL_PORT: u16 = 7_001;
const AGENT_PORT: u16 = 7_100;
const AGENT_REAL_PORT: u16 = 7_101;
/// The ports on an entry's address: callers, readiness, and the proxy in front of the store.
const ENTRY_PORT: u16 = 8_080;
const READY_PORT: u16 = 8_081;
pub(crate) const STORE_PORT: u16 = 6_000;
/// The last octet of the addresses of the first entry and the first runner.
const FIRST_ENTRY_HOST: usize = 10;
const FIRST_RUNNER_HOST: usize = 100;
/// The time that an engine takes to load an adapter.
const LOAD_TIME: Duration = Duration::from_millis(120);
/// The time before a response of a runner, and between two events of a stream.
const WORK_TIME: Duration = Duration::from_millis(20);
/// How long a runner waits for the address of the one before it. A program that is being started holds
/// all sockets of this process until it has replaced the process image.
const ADDRESS_RELEASE_LIMIT: Duration = Duration::from_secs(2);
const ADDRESS_RELEASE_POLL: Duration = Duration::from_millis(5);
/// The behaviors of runners other than a success, each with its probability per mille.
const BEHAVIOR_PERMILLE: [(Behavior, u32); 8] = [
    (Behavior::CloseConnection, 8),
    (Behavior::TruncateBody, 6),
    (Behavior::Fail, 10),
    (Behavior::WrongRequestId, 4),
    (Behavior::NotRun, 20),
    (Behavior::Hang, 4),
    (Behavior::EndlessBytes, 4),
    (Behavior::BreakStream { last: 2 }, 20),
];

/// The network `127.A.B.0/24` of a run. It is derived from the process id, so that concurrent runs
/// rarely share addresses.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoopbackNet(u8, u8);

impl LoopbackNet {
    pub(crate) fn for_this_process() -> LoopbackNet {
        let id = std::process::id();
        LoopbackNet((10 + id / 256 % 200) as u8, (id % 256) as u8)
    }

    fn ip(self, host: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.0, self.1, host as u8)
    }

    pub(crate) fn addr(self, host: usize, port: u16) -> SocketAddr {
        (self.ip(host), port).into()
    }
}

/// Converts the bounds to the form that the settings of the programs have.
fn deployment_bounds() -> platform::settings::Bounds {
    platform::settings::Bounds {
        stop_s: BOUNDS.stop as f64 / 1_000.0,
        drain_ms: BOUNDS.drain,
        contact_ms: BOUNDS.contact,
        version_ms: BOUNDS.version,
        retry_ratio: BOUNDS.retry_ratio,
        retry_slack: BOUNDS.retry_slack,
        retry_window_s: BOUNDS.retry_window as f64 / 1_000.0,
        revoke_ms: None,
        strict_revoke: false,
        quota_slack: Some(BOUNDS.quota_slack),
        quota_excess: Some(BOUNDS.quota_excess),
        quota_window_s: Some(BOUNDS.quota_window as f64 / 1_000.0),
    }
}

impl Harness {
    pub(crate) async fn add_entry(
        &mut self,
        index: usize,
        paths: &Paths,
    ) -> Result<(), Report<RunError>> {
        let host = FIRST_ENTRY_HOST + index;
        let store = self.net.addr(host, STORE_PORT);
        let link = Proxy::start(store, self.store.addr).await;
        self.store_links
            .push(link.change_context(RunError::StandIn)?);
        let listen = self.net.addr(host, ENTRY_PORT);
        let name = format!("entry-{index}");
        let settings = deploy::entry_settings(&EntryParams {
            name: &name,
            ip: self.net.ip(host),
            caller_port: ENTRY_PORT,
            ready_port: READY_PORT,
            store,
            agent_port: AGENT_PORT,
            bounds: deployment_bounds(),
        });
        let process = write_settings(paths, &name, "dotterelwheel", "gateway", &settings)?;
        process.start().await.change_context(RunError::Program)?;
        self.entry_addrs.push(listen);
        self.entries.push(process);
        Ok(())
    }

    pub(crate) async fn add_runner(
        &mut self,
        index: usize,
        paths: &Paths,
    ) -> Result<(), Report<RunError>> {
        let at = |port| self.net.addr(FIRST_RUNNER_HOST + index, port);
        let proxy = Proxy::start(at(RUNNER_PORT), at(RUNNER_REAL_PORT)).await;
        let proxy = proxy.change_context(RunError::StandIn)?;
        let mut agent_proxy = None;
        if index < self.size.engines {
            let link = Proxy::start(at(AGENT_PORT), at(AGENT_REAL_PORT)).await;
            agent_proxy = Some(link.change_context(RunError::StandIn)?);
            let name = format!("agent-{index}");
            let ip = self.net.ip(FIRST_RUNNER_HOST + index);
            let runner = at(RUNNER_REAL_PORT);
            let settings = deploy::agent_settings(&name, ip, AGENT_REAL_PORT, runner);
            let process =
                write_settings(paths, &name, "dotterelwheel-agent", "sidecar", &settings)?;
            process.start().await.change_context(RunError::Program)?;
            self.agents.push(process);
        }
        self.runner_hosts.push(RunnerHost {
            proxy,
            agent_proxy,
            runner: tokio::sync::Mutex::new(None),
            notice: tokio::sync::Mutex::default(),
            faults: Arc::default(),
            silence: tokio::sync::Mutex::default(),
        });
        let mut runner = self.runner_hosts[index].runner.lock().await;
        *runner = Some(self.start_member(index, self.service(index)).await?);
        drop(runner);
        Ok(())
    }

    /// Starts a new runner without a membership record.
    pub(crate) async fn start_runner(
        &self,
        index: usize,
        service: &str,
    ) -> Result<Runner, Report<RunError>> {
        let start_number = self.runner_starts.fetch_add(1, Ordering::SeqCst) + 1;
        let id = format!("{service}-{index}.{start_number}");
        let spec = || RunnerSpec {
            service: service.into(),
            listen: self.net.addr(FIRST_RUNNER_HOST + index, RUNNER_REAL_PORT),
            slots: 8,
            born: u64::from(start_number),
            work_time: WORK_TIME,
            behavior_permille: BEHAVIOR_PERMILLE.to_vec(),
            engine: (service == "e").then(|| Engine::new(SLOTS, LOAD_TIME, self.versions.clone())),
            crash: CrashTrigger {
                deadly: self.deadly.clone(),
                crashed: Some(self.crashed.clone()),
                deadly_paths: self.deadly_paths.clone(),
                loses_head: start_number.is_multiple_of(2),
            },
            faults: self.runner_hosts[index].faults.clone(),
            ..RunnerSpec::plain(&id)
        };
        let limit = Instant::now() + ADDRESS_RELEASE_LIMIT;
        loop {
            match Runner::start(spec()).await {
                Err(error) if error.kind() == ErrorKind::AddrInUse && Instant::now() < limit => {
                    tokio::time::sleep(ADDRESS_RELEASE_POLL).await;
                }
                result => return result.change_context(RunError::StandIn),
            }
        }
    }

    pub(crate) fn announce_runner(&self, index: usize, runner: &Runner, phase: Phase) {
        let addr = self.net.addr(FIRST_RUNNER_HOST + index, RUNNER_PORT);
        self.store.put_member(runner, addr, phase);
    }
}

/// Writes the settings file of a program and returns the process, which is not started yet.
fn write_settings(
    paths: &Paths,
    name: &str,
    binary: &str,
    subcommand: &str,
    settings: &str,
) -> Result<Process, Report<RunError>> {
    let file = paths.logs.join(format!("{name}.toml"));
    std::fs::write(&file, settings).change_context(RunError::Files)?;
    let file = file.to_string_lossy();
    let args = [subcommand, "--config", &*file];
    let log = paths.logs.join(format!("{name}.log"));
    Ok(Process::new(name, &paths.programs.join(binary), &args, log))
}
