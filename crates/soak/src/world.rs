//! The programs, stand-ins and callers of one run, and the faults that are brought upon them.
//!
//! Invariants: a fault is noted as a span before it begins and until it is over, so that no check
//! counts what it excuses; every task and process that is started here has ended when [`run`]
//! returns.

use std::net::Ipv4Addr;
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
use rig::deploy;
use rig::deploy::EntryParams;
use rig::engine::Engine;
use rig::engine::NewestVersions;
use rig::runner::Behavior;
use rig::runner::DEFAULT_LAST_EVENT;
use rig::runner::Phase;
use rig::runner::Runner;
use rig::runner::RunnerSpec;
use rig::store::Store;
use tokio::task::JoinSet;

use crate::caller::Caller;
use crate::history::Arrival;
use crate::history::Bounds;
use crate::history::Call;
use crate::history::History;
use crate::history::Ms;
use crate::history::Order;
use crate::plan::Fault;
use crate::plan::Program;
use crate::plan::Size;
use crate::plan::plan;
use crate::program::Process;
use crate::proxy::Proxy;

/// The bounds of the deployment.
pub const BOUNDS: Bounds = Bounds {
    contact: 4_000,
    drain: 3_000,
    config: 3_000,
    rollback: 250,
    version: 5_000,
    retry_ratio: 0.2,
    retry_slack: 12.0,
    retry_window: 10_000,
    recovery: 15_000,
    gone: 500,
    stop: 8_000,
};
/// The ports on a runner's address: its proxy, itself, its agent's proxy, its agent.
const RUNNER_PORT: u16 = 7_000;
const RUNNER_REAL_PORT: u16 = 7_001;
const AGENT_PORT: u16 = 7_100;
const AGENT_REAL_PORT: u16 = 7_101;
/// The ports on an entry's address: callers, readiness, and the proxy in front of the store.
const ENTRY_PORT: u16 = 8_080;
const READY_PORT: u16 = 8_081;
const STORE_PORT: u16 = 6_000;
/// The last numbers of the first entry's and the first runner's address.
const ENTRY_BASE: usize = 10;
const RUNNER_BASE: usize = 100;
/// Adapters that an engine holds, fewer than are asked for.
pub(crate) const SLOTS: usize = 5;
/// The time of an adapter's load.
const LOAD: Duration = Duration::from_millis(120);
/// The time that runners work on a request, and between two events.
const WORK: Duration = Duration::from_millis(20);
/// How often programs that ended by themselves are looked for.
const EXIT_POLL: Duration = Duration::from_millis(500);
/// How often service is looked for after all programs were killed.
const RECOVERY_POLL: Duration = Duration::from_millis(500);
/// What runners do besides serving, with odds in a thousand.
const ODDS: [(Behavior, u32); 7] = [
    (Behavior::CloseConnection, 8),
    (Behavior::TruncateBody, 6),
    (Behavior::Fail, 10),
    (Behavior::WrongRequestId, 4),
    (Behavior::NotRun, 20),
    (Behavior::Hang, 4),
    (Behavior::BreakStream { last: 2 }, 20),
];

/// A run that could not be played.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum Failure {
    /// A directory or file cannot be written.
    #[display("logs and settings cannot be written")]
    Files,
    /// A stand-in or proxy cannot be started.
    #[display("a stand-in cannot be started")]
    StandIn,
    /// A program cannot be started or signaled.
    #[display("a program cannot be started or signaled")]
    Program,
    /// A task of the run panicked.
    #[display("a task of the run panicked")]
    Task,
}

/// Where the programs are and where logs go.
#[derive(Clone, Debug)]
pub struct Paths {
    /// The directory with the two programs.
    pub programs: PathBuf,
    /// The directory for logs and settings.
    pub logs: PathBuf,
}

/// The position of a runner, which outlives its incarnations.
pub(crate) struct Place {
    pub(crate) proxy: Proxy,
    pub(crate) agent_proxy: Option<Proxy>,
    /// The present incarnation; `None` while it is down.
    pub(crate) runner: tokio::sync::Mutex<Option<Runner>>,
}

/// What one run has started, and what it has seen so far.
pub(crate) struct World {
    start: Instant,
    net: Net,
    size: Size,
    pub(crate) store: Store,
    pub(crate) store_links: Vec<Proxy>,
    pub(crate) entries: Vec<Process>,
    pub(crate) agents: Vec<Process>,
    pub(crate) places: Vec<Place>,
    listen: Vec<SocketAddr>,
    pub(crate) newest: NewestVersions,
    pub(crate) manifest: AtomicU64,
    births: AtomicU32,
    over: AtomicBool,
    history: Mutex<History>,
}

/// The loopback addresses of one run, which differ between runs that overlap.
#[derive(Clone, Copy, Debug)]
struct Net(u8, u8);

impl Net {
    fn own() -> Net {
        let id = std::process::id();
        Net((10 + id / 256 % 200) as u8, (id % 256) as u8)
    }

    fn ip(self, host: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.0, self.1, host as u8)
    }

    fn addr(self, host: usize, port: u16) -> SocketAddr {
        (self.ip(host), port).into()
    }
}

/// Returns the bounds as the programs' settings have them.
fn settings_bounds() -> platform::settings::Bounds {
    platform::settings::Bounds {
        stop_s: BOUNDS.stop as f64 / 1_000.0,
        drain_ms: BOUNDS.drain,
        contact_ms: BOUNDS.contact,
        version_ms: BOUNDS.version,
        retry_ratio: BOUNDS.retry_ratio,
        retry_slack: BOUNDS.retry_slack,
        retry_window_s: BOUNDS.retry_window as f64 / 1_000.0,
    }
}

/// Plays one seed for `length` milliseconds and returns what was seen.
///
/// # Errors
///
/// Fails if the run cannot be set up.
pub async fn run(
    seed: u64,
    length: Ms,
    size: Size,
    paths: &Paths,
) -> Result<History, Report<Failure>> {
    let world = Arc::new(World::start(size, paths).await?);
    let mut callers = JoinSet::new();
    for index in 0..size.callers {
        let caller = Caller::new(world.clone(), format!("c{index}"), seed ^ index as u64);
        callers.spawn(caller.run());
    }
    let mut faults = JoinSet::new();
    for (at, fault) in plan(seed, length, size) {
        let world = world.clone();
        faults.spawn(async move {
            world.until(at).await;
            world.bring(fault).await
        });
    }
    let mut watch = JoinSet::new();
    watch.spawn(watch_exits(world.clone()));
    while let Some(result) = faults.join_next().await {
        result.change_context(Failure::Task)??;
    }
    world.until(length).await;
    watch.shutdown().await;
    kill_all(&world).await?;
    world.over.store(true, Ordering::SeqCst);
    while let Some(result) = callers.join_next().await {
        result.change_context(Failure::Task)?;
    }
    let Some(world) = Arc::into_inner(world) else {
        return Err(Report::new(Failure::Task));
    };
    world.stop().await
}

/// Kills all programs at once and waits until requests are served again, or the bound is over.
async fn kill_all(world: &Arc<World>) -> Result<(), Report<Failure>> {
    let from = world.now();
    let entries = (0..world.size.entries).map(Program::Entry);
    let agents = (0..world.size.engines).map(Program::Agent);
    let mut kills = JoinSet::new();
    for program in entries.chain(agents) {
        let world = world.clone();
        kills.spawn(async move { world.bring(Fault::Kill(program, 300)).await });
    }
    while let Some(result) = kills.join_next().await {
        result.change_context(Failure::Task)??;
    }
    world.history().killed = Some(from);
    let limit = from + BOUNDS.recovery + 2_000;
    let mut since = world.now();
    while world.now() < limit {
        tokio::time::sleep(RECOVERY_POLL).await;
        let history = world.history();
        let recent = history.calls.iter().filter(|call| call.sent >= since);
        let (served, all) = recent.fold((0, 0), |(served, all), call| {
            (served + u32::from(call.is_served()), all + 1)
        });
        drop(history);
        if all > 0 && served * 4 >= all {
            return Ok(());
        }
        since = world.now();
    }
    Ok(())
}

async fn watch_exits(world: Arc<World>) {
    loop {
        tokio::time::sleep(EXIT_POLL).await;
        for process in world.entries.iter().chain(&world.agents) {
            match process.ended().await {
                Ok(None) => {}
                Ok(Some(exit)) => world.history().exits.push(exit),
                Err(error) => world.history().exits.push(error.to_string()),
            }
        }
    }
}

impl World {
    async fn start(size: Size, paths: &Paths) -> Result<World, Report<Failure>> {
        std::fs::create_dir_all(&paths.logs).change_context(Failure::Files)?;
        let net = Net::own();
        let store = Store::start(net.addr(1, STORE_PORT)).await;
        let store = store.change_context(Failure::StandIn)?;
        store.put_manifest(&deploy::versioned_manifest(1, SLOTS));
        let mut world = World {
            start: Instant::now(),
            net,
            size,
            store,
            store_links: Vec::new(),
            entries: Vec::new(),
            agents: Vec::new(),
            places: Vec::new(),
            listen: Vec::new(),
            newest: NewestVersions::default(),
            manifest: AtomicU64::new(1),
            births: AtomicU32::new(0),
            over: AtomicBool::new(false),
            history: Mutex::new(History::new(BOUNDS, DEFAULT_LAST_EVENT)),
        };
        world.history().configs.push((1, 0));
        for index in 0..size.runners() {
            world.add_runner(index, paths).await?;
        }
        for index in 0..size.entries {
            world.add_entry(index, paths).await?;
        }
        Ok(world)
    }

    async fn add_entry(&mut self, index: usize, paths: &Paths) -> Result<(), Report<Failure>> {
        let host = ENTRY_BASE + index;
        let store = self.net.addr(host, STORE_PORT);
        let link = Proxy::start(store, self.store.addr).await;
        self.store_links
            .push(link.change_context(Failure::StandIn)?);
        let listen = self.net.addr(host, ENTRY_PORT);
        let name = format!("entry-{index}");
        let settings = deploy::entry_settings(&EntryParams {
            name: &name,
            ip: self.net.ip(host),
            caller_port: ENTRY_PORT,
            ready_port: READY_PORT,
            store,
            agent_port: AGENT_PORT,
            bounds: settings_bounds(),
        });
        let process = program(paths, &name, "dotterelwheel", "gateway", &settings)?;
        process.start().await.change_context(Failure::Program)?;
        self.listen.push(listen);
        self.entries.push(process);
        Ok(())
    }

    async fn add_runner(&mut self, index: usize, paths: &Paths) -> Result<(), Report<Failure>> {
        let at = |port| self.net.addr(RUNNER_BASE + index, port);
        let proxy = Proxy::start(at(RUNNER_PORT), at(RUNNER_REAL_PORT)).await;
        let proxy = proxy.change_context(Failure::StandIn)?;
        let mut agent_proxy = None;
        if index < self.size.engines {
            let link = Proxy::start(at(AGENT_PORT), at(AGENT_REAL_PORT)).await;
            agent_proxy = Some(link.change_context(Failure::StandIn)?);
            let name = format!("agent-{index}");
            let ip = self.net.ip(RUNNER_BASE + index);
            let runner = at(RUNNER_REAL_PORT);
            let settings = deploy::agent_settings(&name, ip, AGENT_REAL_PORT, runner);
            let process = program(paths, &name, "dotterelwheel-agent", "sidecar", &settings)?;
            process.start().await.change_context(Failure::Program)?;
            self.agents.push(process);
        }
        self.places.push(Place {
            proxy,
            agent_proxy,
            runner: tokio::sync::Mutex::new(None),
        });
        let mut runner = self.places[index].runner.lock().await;
        *runner = Some(self.bear(index, self.service(index)).await?);
        drop(runner);
        Ok(())
    }

    pub(crate) fn service(&self, index: usize) -> &'static str {
        if index < self.size.engines { "e" } else { "s" }
    }

    /// Starts a new incarnation of the runner at a position and announces it.
    pub(crate) async fn bear(
        &self,
        index: usize,
        service: &str,
    ) -> Result<Runner, Report<Failure>> {
        let runner = self.start_runner(index, service).await?;
        self.announce(index, &runner, Phase::Ready);
        Ok(runner)
    }

    /// Starts a new incarnation that the membership does not name yet.
    pub(crate) async fn start_runner(
        &self,
        index: usize,
        service: &str,
    ) -> Result<Runner, Report<Failure>> {
        let birth = self.births.fetch_add(1, Ordering::SeqCst) + 1;
        let id = format!("{service}-{index}.{birth}");
        let engine = (service == "e").then(|| Engine::new(SLOTS, LOAD, self.newest.clone()));
        let runner = Runner::start(RunnerSpec {
            service: service.into(),
            listen: self.net.addr(RUNNER_BASE + index, RUNNER_REAL_PORT),
            slots: 8,
            born: u64::from(birth),
            work_time: WORK,
            behavior_permille: ODDS.to_vec(),
            engine,
            ..RunnerSpec::plain(&id)
        });
        runner.await.change_context(Failure::StandIn)
    }

    pub(crate) fn announce(&self, index: usize, runner: &Runner, phase: Phase) {
        let addr = self.net.addr(RUNNER_BASE + index, RUNNER_PORT);
        self.store.put_member(runner, addr, phase);
    }

    pub(crate) fn history(&self) -> MutexGuard<'_, History> {
        self.history.lock().expect("no panics under the lock")
    }

    async fn until(&self, at: Ms) {
        let at = self.start + Duration::from_millis(at);
        tokio::time::sleep_until(at.into()).await;
    }

    pub(crate) fn ms(&self, at: Instant) -> Ms {
        at.saturating_duration_since(self.start).as_millis() as Ms
    }

    /// Ends a runner and takes over what it has recorded; returns its identifier.
    pub(crate) async fn end_runner(&self, runner: Runner) -> String {
        let (id, service) = (runner.id.clone(), runner.service.clone());
        let (arrivals, accepted) = runner.stop().await;
        let arrivals = arrivals.into_iter().map(|arrival| Arrival {
            runner: arrival.runner,
            service: service.clone(),
            request: arrival.request,
            ran: arrival.ran,
            adapter: arrival.adapter,
            begun: self.ms(arrival.started_at),
            ended: arrival.ended_at.map(|at| self.ms(at)),
        });
        let orders = accepted.into_iter().map(|order| Order {
            runner: id.clone(),
            holder: order.holder,
            at: self.ms(order.at),
            over: order.over_capacity,
        });
        let mut history = self.history();
        history.arrivals.extend(arrivals);
        history.orders.extend(orders);
        drop(history);
        id
    }

    async fn stop(self) -> Result<History, Report<Failure>> {
        // Work for callers that have just left ends before the records are taken.
        tokio::time::sleep(Duration::from_millis(BOUNDS.gone)).await;
        for process in self.entries.iter().chain(&self.agents) {
            process.end().await.change_context(Failure::Program)?;
        }
        for place in &self.places {
            if let Some(runner) = place.runner.lock().await.take() {
                self.end_runner(runner).await;
            }
        }
        for place in self.places {
            place.proxy.stop().await;
            if let Some(proxy) = place.agent_proxy {
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

/// What callers need of the run.
impl World {
    /// Returns the milliseconds since the start.
    pub(crate) fn now(&self) -> Ms {
        self.ms(Instant::now())
    }

    /// Returns where the entries listen.
    pub(crate) fn entries(&self) -> &[SocketAddr] {
        &self.listen
    }

    /// Returns how often an entry was started.
    pub(crate) fn life(&self, entry: usize) -> u32 {
        self.entries[entry].lives()
    }

    /// Returns the version of the newest manifest.
    pub(crate) fn manifest(&self) -> u64 {
        self.manifest.load(Ordering::SeqCst)
    }

    /// Returns whether callers should end.
    pub(crate) fn is_over(&self) -> bool {
        self.over.load(Ordering::SeqCst)
    }

    /// Notes a request that has ended.
    pub(crate) fn ended(&self, call: Call) {
        self.history().calls.push(call);
    }
}

/// Writes the settings of a program and describes it.
fn program(
    paths: &Paths,
    name: &str,
    binary: &str,
    verb: &str,
    settings: &str,
) -> Result<Process, Report<Failure>> {
    let file = paths.logs.join(format!("{name}.toml"));
    std::fs::write(&file, settings).change_context(Failure::Files)?;
    let file = file.to_string_lossy();
    let args = [verb, "--config", &*file];
    let log = paths.logs.join(format!("{name}.log"));
    Ok(Process::new(name, &paths.programs.join(binary), &args, log))
}
