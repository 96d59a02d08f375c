//! The agent of one runner: it alone orders loads and unloads there, and reports the runner's state
//! to all entries.
//!
//! Invariants: one order is in progress at a time, and it is decided on a report that was read
//! after the previous order; an order names the runner and the number of orders that it has
//! accepted, so that a delayed one has no effect on the same incarnation; room is left for what a
//! later incarnation may still load by it.

mod crashes;
mod entries;
mod quota;

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use ::process::ops::OpsServer;
use ::process::ops::OpsState;
use decision::collections::Map;
use decision::time::Time;
use derive_more::Display;
use edges::ErrorKind;
use error_stack::Report;
use error_stack::ResultExt;
use platform::runner::ControlClient;
use platform::runner::OrderResult;
use platform::settings;
use serde_json::json;
use serving::Name;
use serving::crash_reports::CrashReports;
use serving::line_limit::LineLimit;
use serving::link::FromAgent;
use serving::link::RunnerState;
use serving::load_scheduler::CompletedLoad;
use serving::load_scheduler::LinkId;
use serving::load_scheduler::LoadScheduler;
use serving::load_scheduler::Order;
use serving::quota::Buckets;
use serving::told_runners::ToldRunners;
use spdlog::info;
use spdlog::warn;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::sync::broadcast;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use self::entries::accept_entries;
use crate::RuntimeClock;
use crate::logs;
use crate::metrics::AgentMetrics;
use crate::process::ProcessError;
use crate::recover::lock;
use crate::recover::supervise;
use crate::server;
use crate::signals::Signals;

/// The interval between two reads of the runner's report while no load is pending.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// The same interval while a load is pending.
const ACTIVE_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The time limit for the refusal of a connection; the runner is on the same instance.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(100);
/// The most log lines about buckets in a second.
const MAX_BUCKET_LINES: u32 = 20;
/// The most orders given in one round, before the new state is published to the entries.
const MAX_ORDERS_PER_ROUND: usize = 8;
/// The most messages about crashes that are queued for a slow entry, which hears of all recent crashes
/// again if it misses some.
const MAX_QUEUED_NEWS: usize = 256;

/// Whether the runner answers.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
enum Reach {
    /// Its report was read.
    #[display("answers")]
    Answers,
    /// It does not answer, and may go on.
    #[display("silent")]
    Silent,
    /// Its process has ended.
    #[display("ended")]
    Ended,
}

struct AgentState {
    settings: settings::AgentSettings,
    clock: RuntimeClock,
    metrics: AgentMetrics,
    control: ControlClient,
    scheduler: Mutex<LoadScheduler>,
    /// The runner's identifier and capacity, which entries send; its report has only the start of its
    /// incarnation. Locked alone.
    told_runners: Mutex<ToldRunners>,
    wake: Notify,
    /// The last state, from which each connection sends its updates.
    states: watch::Sender<RunnerState>,
    next_link: AtomicU64,
    /// The limit on log lines about ended connections.
    end_lines: Mutex<LineLimit>,
    /// For each connection of an entry, the queue of its admitted prompts. Locked after the
    /// scheduler, if both are locked.
    admissions: Mutex<Map<LinkId, mpsc::Sender<u64>>>,
    /// What entries report of crashes of the runner.
    crashes: Mutex<CrashReports>,
    /// Crashes, and parts that were cleared of them, for all entries.
    crash_news: broadcast::Sender<FromAgent>,
    /// The buckets of tenants, for all entries.
    buckets: Mutex<Buckets>,
    /// The entry at the other end of each connection over which tokens were asked for.
    holders: Mutex<Map<LinkId, u64>>,
    /// The limit on log lines about buckets.
    bucket_lines: Mutex<LineLimit>,
}

impl AgentState {
    fn scheduler(&self) -> MutexGuard<'_, LoadScheduler> {
        lock(&self.scheduler)
    }

    fn admissions(&self) -> MutexGuard<'_, Map<LinkId, mpsc::Sender<u64>>> {
        lock(&self.admissions)
    }

    /// Tells the entries which prompts may be sent now.
    fn deliver_admissions(&self) {
        let admitted = self.scheduler().admission.admit(self.now());
        let queues = self.admissions();
        for (link, prompt) in admitted {
            let Some(queue) = queues.get(&link) else {
                continue;
            };
            if queue.try_send(prompt).is_err() {
                warn!("admission dropped", kv: { link, prompt });
            }
        }
    }

    fn now(&self) -> Time {
        self.clock.now()
    }

    fn runner_id(&self, born: u64) -> Option<Name> {
        lock(&self.told_runners).runner(born).cloned()
    }

    /// Takes over what entries have told of the incarnation that the runner reports.
    fn recognize_runner(&self, born: u64) {
        let capacity = lock(&self.told_runners).report(born);
        if let Some(capacity) = capacity {
            self.scheduler().set_capacity(capacity);
        }
    }

    fn record_load(&self, load: &CompletedLoad) {
        let source = load.source.to_string();
        self.metrics
            .loads
            .with_label_values(&[source.as_str()])
            .inc();
        let waited_ms = load.waited.map_or(0, |waited| waited.as_millis() as u64);
        info!("adapter loaded", kv: {
            adapter = &*load.loaded.adapter, version = load.loaded.version,
            took_ms = load.took.as_millis() as u64, source = source.as_str(),
            awaited = load.waited.is_some(), waited_ms
        });
    }

    /// Logs when slots begin and cease to be kept free for late orders; `last` is their number at the last call.
    fn record_reserved(&self, last: &mut u32) {
        let (slots, sequence) = {
            let scheduler = self.scheduler();
            let sequence = scheduler.last_report().sequence;
            (scheduler.reserved_slots(self.now()), sequence)
        };
        if (slots > 0) != (*last > 0) {
            info!("slots kept free for late orders", kv: { slots, sequence });
        }
        *last = slots;
    }

    fn entry_count(&self) -> u32 {
        lock(&self.told_runners).entry_count()
    }

    fn dump(&self) -> String {
        let state = self.states.borrow().clone();
        json!({
            "instance": self.settings.instance,
            "runner": self.settings.runner,
            "state": state.update_since(None),
            "log_lines_dropped": logs::dropped_lines(),
        })
        .to_string()
    }
}

/// Runs an agent until SIGTERM.
///
/// # Errors
///
/// Fails if the settings cannot be used, an address cannot be bound, logs, metrics or signal
/// handlers cannot be set up, or a task panicked.
pub async fn run(path: &Path) -> Result<(), Report<ProcessError>> {
    ::process::allocator::configure();
    let mut signals = Signals::install()?;
    let settings: settings::AgentSettings =
        ::process::settings::load(path).change_context(ProcessError::Settings)?;
    logs::init().change_context(ProcessError::Setup)?;
    let instance = settings.instance.clone();
    info!("agent starting", kv: { instance = instance.as_str() });
    let listener = server::listen(settings.listen)
        .await
        .change_context(ProcessError::Bind)?;
    let (states, _) = watch::channel(RunnerState::default());
    let agent = Arc::new(AgentState {
        control: ControlClient::new(settings.runner, &settings.instance),
        clock: RuntimeClock::start(),
        metrics: AgentMetrics::new().change_context(ProcessError::Setup)?,
        scheduler: Mutex::new(LoadScheduler::default()),
        told_runners: Mutex::new(ToldRunners::default()),
        wake: Notify::new(),
        states,
        next_link: AtomicU64::new(0),
        end_lines: Mutex::new(LineLimit::default()),
        admissions: Mutex::new(Map::default()),
        crashes: Mutex::new(CrashReports::default()),
        crash_news: broadcast::Sender::new(MAX_QUEUED_NEWS),
        buckets: Mutex::new(Buckets::default()),
        holders: Mutex::new(Map::default()),
        bucket_lines: Mutex::new(LineLimit::new(MAX_BUCKET_LINES)),
        settings,
    });
    let ops = start_ops(&agent).await?;
    let stop = CancellationToken::new();
    let accept = accept_entries(agent.clone(), listener, stop.clone());
    let accept = tokio::spawn(accept);
    let control = stop
        .clone()
        .run_until_cancelled_owned(supervise("control", move || control_runner(agent.clone())));
    let control = tokio::spawn(control);
    let reload = || info!("reload ignored, settings apply at the next start", kv: { instance = instance.as_str() });
    signals.wait_for_stop(reload).await;
    info!("agent stopping", kv: { instance = instance.as_str(), cause = "SIGTERM" });
    stop.cancel();
    accept.await.change_context(ProcessError::Task)?;
    control.await.change_context(ProcessError::Task)?;
    ops.stop().await;
    Ok(())
}

async fn start_ops(agent: &Arc<AgentState>) -> Result<OpsServer, Report<ProcessError>> {
    let (ready, dump) = (agent.clone(), agent.clone());
    let state = OpsState {
        registry: agent.metrics.registry.clone(),
        check_ready: Box::new(move || {
            let up = ready.states.borrow().up;
            up.then_some(())
                .ok_or_else(|| "the runner does not answer".into())
        }),
        dump: Box::new(move || dump.dump()),
        secret: agent.settings.dump_secret.clone(),
    };
    OpsServer::start(agent.settings.metrics, state)
        .await
        .change_context(ProcessError::Bind)
}

/// Reads the runner's report, gives the orders that are due and publishes the state to the
/// connected entries, in a loop.
async fn control_runner(agent: Arc<AgentState>) {
    let mut known = Reach::Ended;
    let mut reserved = 0;
    loop {
        let reach = poll_and_order(&agent).await;
        if reach != known {
            known = reach;
            let (reach, addr) = (reach.to_string(), agent.settings.runner.to_string());
            let up = known == Reach::Answers;
            info!("runner availability changed", kv: { up, reach = reach.as_str(), addr = addr.as_str() });
        }
        agent.record_reserved(&mut reserved);
        publish_state(&agent, reach);
        agent.expire_buckets();
        agent.deliver_admissions();
        let active = agent.scheduler().is_active();
        let pause = if active {
            ACTIVE_POLL_INTERVAL
        } else {
            IDLE_POLL_INTERVAL
        };
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = agent.wake.notified() => {}
        }
    }
}

/// Reads the report and gives the orders that are due; returns whether the runner answers.
async fn poll_and_order(agent: &Arc<AgentState>) -> Reach {
    for _ in 0..MAX_ORDERS_PER_ROUND {
        match agent.control.read_report().await {
            Ok(report) => {
                agent.record_runner_seen(report.born, report.draining);
                agent.recognize_runner(report.born);
                let completed = agent.scheduler().apply_report(agent.now(), report);
                for load in completed {
                    agent.record_load(&load);
                }
            }
            Err(error) => {
                let ended = error.kind == ErrorKind::NotSent
                    && refuses_connections(agent.settings.runner).await;
                if ended {
                    agent.record_runner_down();
                }
                let reach = if ended { Reach::Ended } else { Reach::Silent };
                if agent.states.borrow().up {
                    let error = error.to_string();
                    warn!("runner report cannot be read", kv: { error = error.as_str() });
                }
                return reach;
            }
        }
        if !give_next_order(agent).await {
            break;
        }
    }
    Reach::Answers
}

/// Returns whether no process listens at the runner's address. One that is paused accepts connections,
/// or leaves them without an answer if too many wait.
async fn refuses_connections(runner: SocketAddr) -> bool {
    let connect = tokio::time::timeout(REFUSAL_TIMEOUT, TcpStream::connect(runner)).await;
    matches!(connect, Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused)
}

/// Gives the next order, if one is due; returns whether another one may follow in this round.
async fn give_next_order(agent: &Arc<AgentState>) -> bool {
    let (order, runner, sequence) = {
        let mut scheduler = agent.scheduler();
        let report = scheduler.last_report();
        let (born, sequence) = (report.born, report.sequence);
        let Some(runner) = agent.runner_id(born) else {
            return false;
        };
        let Some(order) = scheduler.next_order(agent.now()) else {
            return false;
        };
        (order, runner, sequence)
    };
    let order_result = agent.control.send_order(&runner, &order, sequence).await;
    match order_result {
        OrderResult::Accepted => agent.scheduler().order_accepted(agent.now(), &order),
        OrderResult::Unknown => {
            let mut scheduler = agent.scheduler();
            scheduler.order_unanswered(agent.now(), &order, sequence);
        }
        OrderResult::Nonexistent => agent.scheduler().order_nonexistent(&order),
        OrderResult::Conflict | OrderResult::Rejected(_) => {}
    }
    let result = order_result.to_string();
    agent
        .metrics
        .orders
        .with_label_values(&[result.as_str()])
        .inc();
    let (kind, subject, version) = describe_order(&order);
    info!("order given", kv: {
        kind, subject, version, runner = &*runner, sequence, result = result.as_str()
    });
    // Without a response, the next report shows whether the order took effect.
    matches!(
        order_result,
        OrderResult::Accepted | OrderResult::Nonexistent | OrderResult::Unknown
    )
}

fn describe_order(order: &Order) -> (&'static str, &str, u64) {
    match order {
        Order::LoadModel { model } => ("load model", model, 0),
        Order::LoadAdapter { adapter, version } => ("load", adapter, version.unwrap_or(0)),
        Order::UnloadAdapter { adapter } => ("unload", adapter, 0),
    }
}

/// Publishes the runner's state to the connections of the entries if it has changed.
fn publish_state(agent: &Arc<AgentState>, reach: Reach) {
    let state = {
        let now = agent.now();
        let mut scheduler = agent.scheduler();
        scheduler.update_rates(now);
        let state = scheduler.state(now, reach == Reach::Answers, agent.entry_count());
        match reach {
            Reach::Ended => state.into_ended(),
            Reach::Answers | Reach::Silent => state,
        }
    };
    agent.metrics.adapters.set(state.adapters.len() as i64);
    agent.states.send_if_modified(|known| {
        let changed = *known != state;
        *known = state;
        changed
    });
}
