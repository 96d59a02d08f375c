//! The test harness of a run: starts the programs, stand-ins and callers, and injects the faults.
//!
//! Invariants: the recorded period of a fault begins before the fault and ends after it, so that no
//! check reports what the fault excuses; all tasks and processes that [`run`] starts have
//! ended when it returns a history.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use derive_more::Display;
use derive_more::Error;
use error_stack::Report;
use error_stack::ResultExt;
use rig::engine::NewestVersions;
use rig::runner::DEFAULT_LAST_EVENT;
use rig::runner::DeadlyParts;
use rig::runner::DeadlyPaths;
use rig::runner::FaultInjector;
use rig::runner::Phase;
use rig::runner::Runner;
use rig::store::Store;
use serving::runner::Notice;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::task::JoinSet;

use crate::caller::Caller;
use crate::deployment::LoopbackNet;
use crate::deployment::STORE_PORT;
use crate::faults;
use crate::history::AcceptedOrder;
use crate::history::Attempt;
use crate::history::Bounds;
use crate::history::Call;
use crate::history::History;
use crate::history::IdleLimit;
use crate::history::Ms;
use crate::plan::DeploymentSize;
use crate::plan::Fault;
use crate::plan::Program;
use crate::plan::fault_schedule;
use crate::plan::first_idle_limit;
use crate::program::Process;
use crate::proxy::Proxy;
use crate::tenants;

/// The bounds that the checks apply and, where a program needs them, its settings contain.
pub const BOUNDS: Bounds = Bounds {
    contact: 4_000,
    drain: 3_000,
    manifest: 3_000,
    rollback: 250,
    version: 5_000,
    limit: 2_500,
    retry_ratio: 0.2,
    retry_slack: 12.0,
    retry_window: 10_000,
    recovery: 15_000,
    cancel: 500,
    stop: 8_000,
    quota_window: 8_000,
    quota_excess: 0.1,
    quota_slack: 400.0,
};
/// The number of adapters that an engine holds; fewer than requests name, so that it must unload.
pub(crate) const SLOTS: usize = 5;
/// The interval between two checks for unexpected exits.
const EXIT_POLL: Duration = Duration::from_millis(500);
/// The interval between two checks whether requests are served again.
const RECOVERY_POLL: Duration = Duration::from_millis(500);

/// Why a run could not be completed.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum RunError {
    /// A directory or file of the run cannot be accessed.
    #[display("cannot access the programs, settings or logs")]
    Files,
    /// A stand-in or a proxy cannot be started.
    #[display("cannot start a stand-in or proxy")]
    StandIn,
    /// A program under test cannot be started or signaled.
    #[display("cannot start or signal a program")]
    Program,
    /// A task of the run panicked or did not end.
    #[display("a task of the run panicked or did not end")]
    Task,
}

/// The directories of a run.
#[derive(Clone, Debug)]
pub struct Paths {
    /// The directory with the binaries of the entry and the agent.
    pub programs: PathBuf,
    /// The directory to which logs and settings are written; created if missing.
    pub logs: PathBuf,
}

/// The proxies at the address of a runner, which outlive it, and the runner itself.
pub(crate) struct RunnerHost {
    pub(crate) proxy: Proxy,
    pub(crate) agent_proxy: Option<Proxy>,
    /// The current runner; `None` while it is down. The lock is held while it is replaced.
    pub(crate) runner: tokio::sync::Mutex<Option<Runner>>,
    /// Held while the runner says something of itself, one thing at a time.
    pub(crate) notice: tokio::sync::Mutex<()>,
    /// The faults of the server of the runner, whichever it is.
    pub(crate) faults: Arc<FaultInjector>,
    /// Held while the runner is silent.
    pub(crate) silence: tokio::sync::Mutex<()>,
}

impl RunnerHost {
    /// Sets what the runner says of itself in its responses, only if it is still the one with this
    /// identifier; returns its identifier.
    pub(crate) async fn announce(&self, expected: Option<&str>, notice: Notice) -> Option<String> {
        let current = self.runner.lock().await;
        let runner = current.as_ref()?;
        if expected.is_some_and(|id| *id != runner.id) {
            return None;
        }
        runner.announce(notice);
        Some(runner.id.clone())
    }
}

/// The programs, stand-ins and proxies of a run, and its observations so far.
pub(crate) struct Harness {
    start: Instant,
    pub(crate) net: LoopbackNet,
    pub(crate) size: DeploymentSize,
    pub(crate) store: Store,
    pub(crate) store_links: Vec<Proxy>,
    pub(crate) entries: Vec<Process>,
    pub(crate) agents: Vec<Process>,
    pub(crate) runner_hosts: Vec<RunnerHost>,
    pub(crate) entry_addrs: Vec<SocketAddr>,
    pub(crate) versions: NewestVersions,
    /// The prompt parts on which runners crash at present.
    pub(crate) deadly: DeadlyParts,
    /// The paths of the requests on which plain runners crash at present.
    pub(crate) deadly_paths: DeadlyPaths,
    /// Gets the identifiers of runners that have crashed.
    pub(crate) crashed: mpsc::UnboundedSender<String>,
    pub(crate) manifest: AtomicU64,
    pub(crate) runner_starts: AtomicU32,
    stopping: AtomicBool,
    history: Mutex<History>,
}

/// Runs the faults of a seed for `length`, then kills all programs, and returns the observations.
///
/// # Errors
///
/// Fails if the run cannot be set up, a fault cannot be injected, or a task panics.
pub async fn run(
    seed: u64,
    length: Ms,
    size: DeploymentSize,
    paths: &Paths,
) -> Result<History, Report<RunError>> {
    let (crashed, crashes) = mpsc::unbounded_channel();
    let harness = Arc::new(Harness::start(size, paths, first_idle_limit(seed), crashed).await?);
    let (stop_watcher, stopped) = oneshot::channel();
    let watcher = faults::stop_crashed_runners(harness.clone(), crashes, stopped);
    let watcher = tokio::spawn(watcher);
    let mut callers = JoinSet::new();
    for index in 0..size.callers {
        let caller = Caller::new(harness.clone(), format!("c{index}"), seed ^ index as u64);
        callers.spawn(caller.run());
    }
    let mut faults = JoinSet::new();
    for (at, fault) in fault_schedule(seed, length, size) {
        let harness = harness.clone();
        faults.spawn(async move {
            harness.sleep_until(at).await;
            harness.inject(fault).await
        });
    }
    let mut exit_watcher = JoinSet::new();
    exit_watcher.spawn(record_unexpected_exits(harness.clone()));
    while let Some(result) = faults.join_next().await {
        result.change_context(RunError::Task)??;
    }
    harness.sleep_until(length).await;
    exit_watcher.shutdown().await;
    kill_all_programs(&harness).await?;
    harness.stopping.store(true, Ordering::SeqCst);
    while let Some(result) = callers.join_next().await {
        result.change_context(RunError::Task)?;
    }
    // The watcher has ended by itself only if it failed, which its result tells.
    let _ = stop_watcher.send(());
    watcher.await.change_context(RunError::Task)??;
    let Some(harness) = Arc::into_inner(harness) else {
        return Err(Report::new(RunError::Task));
    };
    harness.stop().await
}

/// Kills all programs at once and waits until requests are served again, or the bound has passed.
async fn kill_all_programs(harness: &Arc<Harness>) -> Result<(), Report<RunError>> {
    let from = harness.now();
    let entries = (0..harness.size.entries).map(Program::Entry);
    let agents = (0..harness.size.engines).map(Program::Agent);
    let mut kills = JoinSet::new();
    for program in entries.chain(agents) {
        let harness = harness.clone();
        kills.spawn(async move { harness.inject(Fault::Kill(program, 300)).await });
    }
    while let Some(result) = kills.join_next().await {
        result.change_context(RunError::Task)??;
    }
    harness.history().killed_at = Some(from);
    let limit = from + BOUNDS.recovery + 2_000;
    let mut since = harness.now();
    while harness.now() < limit {
        tokio::time::sleep(RECOVERY_POLL).await;
        let history = harness.history();
        let recent = history.calls.iter().filter(|call| call.sent_at >= since);
        let (served, all) = recent.fold((0, 0), |(served, all), call| {
            (served + u32::from(call.is_served()), all + 1)
        });
        drop(history);
        if all > 0 && served * 4 >= all {
            return Ok(());
        }
        since = harness.now();
    }
    Ok(())
}

async fn record_unexpected_exits(harness: Arc<Harness>) {
    loop {
        tokio::time::sleep(EXIT_POLL).await;
        for process in harness.entries.iter().chain(&harness.agents) {
            match process.restart_if_exited().await {
                Ok(None) => {}
                Ok(Some(exit)) => harness.history().unexpected_exits.push(exit),
                Err(error) => harness.history().unexpected_exits.push(error.to_string()),
            }
        }
    }
}

impl Harness {
    async fn start(
        size: DeploymentSize,
        paths: &Paths,
        idle_ms: Ms,
        crashed: mpsc::UnboundedSender<String>,
    ) -> Result<Harness, Report<RunError>> {
        std::fs::create_dir_all(&paths.logs).change_context(RunError::Files)?;
        let net = LoopbackNet::for_this_process();
        let store = Store::start(net.addr(1, STORE_PORT)).await;
        let store = store.change_context(RunError::StandIn)?;
        store.put_manifest(&tenants::manifest(1, idle_ms));
        let mut harness = Harness {
            start: Instant::now(),
            net,
            size,
            store,
            store_links: Vec::new(),
            entries: Vec::new(),
            agents: Vec::new(),
            runner_hosts: Vec::new(),
            entry_addrs: Vec::new(),
            versions: NewestVersions::default(),
            deadly: DeadlyParts::default(),
            deadly_paths: DeadlyPaths::default(),
            crashed,
            manifest: AtomicU64::new(1),
            runner_starts: AtomicU32::new(0),
            stopping: AtomicBool::new(false),
            history: Mutex::new(History::new(BOUNDS, DEFAULT_LAST_EVENT)),
        };
        harness.history().manifests.push((1, 0));
        harness.record_idle_limit(1, idle_ms);
        for index in 0..size.runners() {
            harness.add_runner(index, paths).await?;
        }
        for index in 0..size.entries {
            harness.add_entry(index, paths).await?;
        }
        Ok(harness)
    }

    pub(crate) fn service(&self, index: usize) -> &'static str {
        if index < self.size.engines { "e" } else { "s" }
    }

    /// Starts a new runner at a position and writes its membership record.
    pub(crate) async fn start_member(
        &self,
        index: usize,
        service: &str,
    ) -> Result<Runner, Report<RunError>> {
        let runner = self.start_runner(index, service).await?;
        self.announce_runner(index, &runner, Phase::Ready);
        Ok(runner)
    }

    /// Records the idle limit of a manifest that is about to be stored.
    pub(crate) fn record_idle_limit(&self, version: u64, limit: Ms) {
        let stored_at = self.now();
        self.history().idle_limits.push(IdleLimit {
            version,
            limit,
            stored_at,
        });
    }

    pub(crate) fn history(&self) -> MutexGuard<'_, History> {
        self.history.lock().expect("no panics under the lock")
    }

    async fn sleep_until(&self, at: Ms) {
        let at = self.start + Duration::from_millis(at);
        tokio::time::sleep_until(at.into()).await;
    }

    pub(crate) fn ms_since_start(&self, at: Instant) -> Ms {
        at.saturating_duration_since(self.start).as_millis() as Ms
    }

    /// Stops a runner and adds its records to the history; returns its identifier.
    pub(crate) async fn stop_runner(&self, runner: Runner) -> String {
        let (id, service) = (runner.id.clone(), runner.service.clone());
        let at = self.now();
        self.history().stops.push((id.clone(), at));
        let (attempts, accepted) = runner.stop().await;
        let attempts = attempts.into_iter().map(|attempt| Attempt {
            runner: attempt.runner,
            service: service.clone(),
            request: attempt.request,
            ran: attempt.ran,
            sound: attempt.sound,
            pause: attempt.pause.as_millis() as Ms,
            adapter: attempt.adapter,
            forwarded: attempt.forwarded,
            started_at: self.ms_since_start(attempt.started_at),
            ended_at: attempt.ended_at.map(|at| self.ms_since_start(at)),
        });
        let orders = accepted.into_iter().map(|order| AcceptedOrder {
            runner: id.clone(),
            holder: order.holder,
            at: self.ms_since_start(order.at),
            over_capacity: order.over_capacity,
        });
        let mut history = self.history();
        history.attempts.extend(attempts);
        history.orders.extend(orders);
        drop(history);
        id
    }

    async fn stop(self) -> Result<History, Report<RunError>> {
        // Work for callers that disconnected at the end must stop before the records are read.
        tokio::time::sleep(Duration::from_millis(BOUNDS.cancel)).await;
        for process in self.entries.iter().chain(&self.agents) {
            process.kill().await.change_context(RunError::Program)?;
        }
        for host in &self.runner_hosts {
            if let Some(runner) = host.runner.lock().await.take() {
                self.stop_runner(runner).await;
            }
        }
        for host in self.runner_hosts {
            host.proxy.stop().await;
            if let Some(proxy) = host.agent_proxy {
                proxy.stop().await;
            }
        }
        for link in self.store_links {
            link.stop().await;
        }
        self.store.stop().await;
        Ok(self.history.into_inner().expect("no panics under the lock"))
    }
}

/// The methods that callers use.
impl Harness {
    /// Returns the time since the start of the run.
    pub(crate) fn now(&self) -> Ms {
        self.ms_since_start(Instant::now())
    }

    /// Returns the addresses at which the entries accept callers, by index.
    pub(crate) fn entry_addrs(&self) -> &[SocketAddr] {
        &self.entry_addrs
    }

    pub(crate) fn entry_starts(&self, entry: usize) -> u32 {
        self.entries[entry].start_count()
    }

    /// Returns the newest version of the manifest, perhaps shortly before it is stored.
    pub(crate) fn manifest(&self) -> u64 {
        self.manifest.load(Ordering::SeqCst)
    }

    /// Returns the idle limit of the newest manifest.
    pub(crate) fn idle_limit(&self) -> Duration {
        let history = self.history();
        let newest = history.idle_limits.last();
        Duration::from_millis(newest.map_or(0, |newest| newest.limit))
    }

    /// Returns the prompt parts on which runners crash at present.
    pub(crate) fn deadly_parts(&self) -> Vec<u64> {
        let deadly = self.deadly.lock().expect("no panics under the lock");
        let parts = deadly.iter();
        parts
            .filter_map(|part| u64::from_str_radix(part, 16).ok())
            .collect()
    }

    /// Returns the paths of the requests on which plain runners crash at present.
    pub(crate) fn deadly_paths(&self) -> Vec<String> {
        let paths = self.deadly_paths.lock().expect("no panics under the lock");
        paths.iter().cloned().collect()
    }

    /// Returns whether callers must send no further requests.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    pub(crate) fn record_call(&self, call: Call) {
        self.history().calls.push(call);
    }
}
