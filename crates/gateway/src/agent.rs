//! The agent beside one runner: it alone orders loads there, and tells entries what the runner has.
//!
//! Invariants: one order is under way at a time, decided on a report that is read after the order
//! before; an order names the runner's incarnation and the number of orders it has accepted, so that
//! a late one has no effect.

use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use ::process::ops::OpsServer;
use ::process::ops::OpsState;
use decision::collections::Map;
use decision::time::Time;
use error_stack::Report;
use error_stack::ResultExt;
use futures::StreamExt;
use platform::runner::ControlClient;
use platform::runner::OrderResult;
use platform::settings;
use serde_json::json;
use serving::Name;
use serving::link::IDLE_SILENCE_TIMEOUT;
use serving::link::IDLE_STATE_INTERVAL;
use serving::link::IN_USE_PERIOD;
use serving::link::RunnerState;
use serving::link::SILENCE_TIMEOUT;
use serving::link::STATE_INTERVAL;
use serving::link::ToAgent;
use serving::load_scheduler::LinkId;
use serving::load_scheduler::LoadScheduler;
use serving::load_scheduler::Order;
use spdlog::info;
use spdlog::warn;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::Timer;
use crate::front;
use crate::front::ACCEPT_PAUSE;
use crate::lines;
use crate::lines::Lines;
use crate::logs;
use crate::metrics::AgentMetrics;
use crate::process::Failure;
use crate::signals::Signals;

/// How often the report is read while nothing is on its way.
const IDLE_POLL: Duration = Duration::from_millis(200);
/// How often it is read while an adapter is on its way.
const ACTIVE_POLL: Duration = Duration::from_millis(20);
/// Orders that are given between two rounds at most.
const MAX_ORDERS: usize = 8;
/// How often changes are told for which no request waits, such as the load.
const CALM_INTERVAL: Duration = Duration::from_millis(200);

struct Shared {
    settings: settings::AgentSettings,
    timer: Timer,
    metrics: AgentMetrics,
    control: ControlClient,
    slots: Mutex<LoadScheduler>,
    /// The runner's identifier by the start of the incarnation, as entries told it.
    names: Mutex<Map<u64, Name>>,
    wake: Notify,
    states: watch::Sender<RunnerState>,
    links: AtomicU64,
}

impl Shared {
    fn slots(&self) -> MutexGuard<'_, LoadScheduler> {
        self.slots.lock().expect("no panics under the lock")
    }

    fn now(&self) -> Time {
        self.timer.now()
    }

    fn name(&self, born: u64) -> Option<Name> {
        let names = self.names.lock().expect("no panics under the lock");
        names.get(&born).cloned()
    }

    /// Forgets the names of the incarnations before the present one.
    fn forget_before(&self, born: u64) {
        let mut names = self.names.lock().expect("no panics under the lock");
        names.retain(|known, _| *known >= born);
    }

    fn entries(&self) -> u32 {
        self.metrics.entries.get().try_into().unwrap_or(0)
    }

    fn dump(&self) -> String {
        let state = self.states.borrow().clone();
        json!({
            "instance": self.settings.instance,
            "runner": self.settings.runner,
            "state": state.update_since(None),
            "log_lines_dropped": logs::dropped(),
        })
        .to_string()
    }
}

/// Runs an agent until a signal asks it to stop.
///
/// # Errors
///
/// Fails if the process cannot be set up.
pub async fn run(path: &Path) -> Result<(), Report<Failure>> {
    let mut signals = Signals::catch()?;
    let settings: settings::AgentSettings =
        ::process::settings::load(path).change_context(Failure::Settings)?;
    logs::init().change_context(Failure::Setup)?;
    let instance = settings.instance.clone();
    info!("agent starts", kv: { instance = instance.as_str() });
    let listener = front::listen(settings.listen)
        .await
        .change_context(Failure::Bind)?;
    let (states, _) = watch::channel(RunnerState::default());
    let shared = Arc::new(Shared {
        control: ControlClient::new(settings.runner, &settings.instance),
        timer: Timer::start(),
        metrics: AgentMetrics::new().change_context(Failure::Setup)?,
        slots: Mutex::new(LoadScheduler::default()),
        names: Mutex::new(Map::default()),
        wake: Notify::new(),
        states,
        links: AtomicU64::new(0),
        settings,
    });
    let ops = start_ops(&shared).await?;
    let stop = CancellationToken::new();
    let accept = accept_entries(shared.clone(), listener, stop.clone());
    let accept = tokio::spawn(accept);
    let control = stop
        .clone()
        .run_until_cancelled_owned(control_runner(shared));
    let control = tokio::spawn(control);
    let reload =
        || info!("settings are read at the next start", kv: { instance = instance.as_str() });
    signals.stop(reload).await;
    info!("agent stops", kv: { instance = instance.as_str(), cause = "SIGTERM" });
    stop.cancel();
    accept.await.change_context(Failure::Task)?;
    control.await.change_context(Failure::Task)?;
    ops.stop().await;
    Ok(())
}

async fn start_ops(shared: &Arc<Shared>) -> Result<OpsServer, Report<Failure>> {
    let (ready, dump) = (shared.clone(), shared.clone());
    let state = OpsState {
        registry: shared.metrics.registry.clone(),
        check_ready: Box::new(move || {
            let up = ready.states.borrow().up;
            up.then_some(())
                .ok_or_else(|| "the runner does not answer".into())
        }),
        dump: Box::new(move || dump.dump()),
        secret: shared.settings.dump_secret.clone(),
    };
    OpsServer::start(shared.settings.metrics, state)
        .await
        .change_context(Failure::Bind)
}

/// Reads the runner's report, orders what is due and tells the entries.
async fn control_runner(shared: Arc<Shared>) {
    let mut up = false;
    loop {
        let answers = round(&shared).await;
        if answers != up {
            up = answers;
            info!("runner", kv: { up, addr = shared.settings.runner.to_string().as_str() });
        }
        tell(&shared, up);
        let active = shared.slots().is_active();
        let pause = if active { ACTIVE_POLL } else { IDLE_POLL };
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = shared.wake.notified() => {}
        }
    }
}

/// Gives the orders that are due; returns whether the runner answers.
async fn round(shared: &Arc<Shared>) -> bool {
    for _ in 0..MAX_ORDERS {
        match shared.control.read_report().await {
            Ok(report) => {
                shared.forget_before(report.born);
                let arrivals = shared.slots().apply_report(shared.now(), report);
                for (held, time) in arrivals {
                    info!("adapter loaded", kv: {
                        adapter = &*held.adapter, version = held.version,
                        took_ms = time.as_millis() as u64
                    });
                }
            }
            Err(error) => {
                if shared.states.borrow().up {
                    let error = error.to_string();
                    warn!("runner lost", kv: { error = error.as_str() });
                }
                return false;
            }
        }
        if !order_next(shared).await {
            break;
        }
    }
    true
}

/// Gives one order; returns whether another one may follow.
async fn order_next(shared: &Arc<Shared>) -> bool {
    let (order, runner, sequence) = {
        let mut slots = shared.slots();
        let report = slots.last_report();
        let (born, sequence) = (report.born, report.sequence);
        let Some(runner) = shared.name(born) else {
            return false;
        };
        let Some(order) = slots.next_order(shared.now()) else {
            return false;
        };
        (order, runner, sequence)
    };
    let taken = shared.control.send_order(&runner, &order, sequence).await;
    if taken == OrderResult::Accepted {
        shared.slots().order_accepted(shared.now(), &order);
    }
    let result = taken.to_string();
    shared
        .metrics
        .orders
        .with_label_values(&[result.as_str()])
        .inc();
    let (kind, subject, version) = describe(&order);
    info!("order", kv: {
        kind, subject, version, runner = &*runner, sequence, result = result.as_str()
    });
    // Without an answer, the next report tells whether it took effect.
    matches!(taken, OrderResult::Accepted | OrderResult::Unknown)
}

fn describe(order: &Order) -> (&'static str, &str, u64) {
    match order {
        Order::LoadModel { model } => ("load model", model, 0),
        Order::LoadAdapter { adapter, version } => ("load", adapter, version.unwrap_or(0)),
        Order::UnloadAdapter { adapter } => ("unload", adapter, 0),
    }
}

/// Tells the entries what has changed; a change of the load alone waits a little.
fn tell(shared: &Arc<Shared>, up: bool) {
    let state = shared.slots().state(shared.now(), up, shared.entries());
    shared.metrics.adapters.set(state.adapters.len() as i64);
    shared.states.send_if_modified(|known| {
        let changed = *known != state;
        *known = state;
        changed
    });
}

/// Talks with all entries until the agent stops, and then ends their connections.
async fn accept_entries(shared: Arc<Shared>, listener: TcpListener, stop: CancellationToken) {
    let mut links = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(_) = links.join_next() => continue,
            () = stop.cancelled() => break,
        };
        match accepted {
            Ok((stream, _)) => {
                links.spawn(serve_entry(shared.clone(), stream));
            }
            Err(error) => {
                let error = error.to_string();
                warn!("accept failed", kv: { error = error.as_str() });
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    links.shutdown().await;
}

/// Talks with one entry until its connection ends.
async fn serve_entry(shared: Arc<Shared>, stream: TcpStream) {
    let link = shared.links.fetch_add(1, Ordering::Relaxed);
    shared.metrics.entries.inc();
    let reason = talk(&shared, link, stream).await;
    shared.metrics.entries.dec();
    shared.slots().remove_link(link);
    info!("entry lost", kv: { link, reason = reason.as_str() });
}

async fn talk(shared: &Arc<Shared>, link: LinkId, stream: TcpStream) -> String {
    let mut lines = match lines::wrap(stream) {
        Ok(lines) => lines,
        Err(reason) => return reason,
    };
    let mut states = shared.states.subscribe();
    states.mark_changed();
    let mut heard = Instant::now();
    let mut used = Instant::now();
    let mut told: Option<(RunnerState, Instant)> = None;
    loop {
        let in_use = used.elapsed() < IN_USE_PERIOD;
        let interval = if in_use {
            STATE_INTERVAL
        } else {
            IDLE_STATE_INTERVAL
        };
        let due = told
            .as_ref()
            .map_or(Instant::now(), |(_, at)| *at + interval);
        let silence = if shared.slots().is_used_by(link) {
            SILENCE_TIMEOUT
        } else {
            IDLE_SILENCE_TIMEOUT
        };
        let result = tokio::select! {
            line = lines.next() => match line {
                Some(Ok(line)) => {
                    heard = Instant::now();
                    take_message(shared, link, &line).map(|is_use| {
                        if is_use {
                            used = heard;
                        }
                    })
                }
                Some(Err(e)) => Err(e.to_string()),
                None => Err("closed".into()),
            },
            changed = states.changed() => match changed {
                Ok(()) => {
                    let state = states.borrow_and_update().clone();
                    let pause = if in_use { CALM_INTERVAL } else { interval };
                    tell_entry(&mut lines, &mut told, state, pause).await
                }
                Err(_) => Err("stopping".into()),
            },
            () = tokio::time::sleep_until(due) => {
                let state = states.borrow_and_update().clone();
                tell_entry(&mut lines, &mut told, state, Duration::ZERO).await
            }
            () = tokio::time::sleep_until(heard + silence) => Err("silent".into()),
        };
        if let Err(reason) = result {
            return reason;
        }
    }
}

/// Tells an entry what has changed since the last message; what is not urgent waits until `pause`
/// has passed since then.
async fn tell_entry(
    lines: &mut Lines,
    told: &mut Option<(RunnerState, Instant)>,
    state: RunnerState,
    pause: Duration,
) -> Result<(), String> {
    let now = Instant::now();
    if let Some((known, at)) = told
        && now < *at + pause
        && !state.is_urgent_after(known)
    {
        return Ok(());
    }
    let known = told.as_ref().map(|(known, _)| known);
    let update = state.update_since(known);
    lines::send(lines, &update).await?;
    *told = Some((state, now));
    Ok(())
}

/// Takes a message of an entry; returns whether it tells that the entry uses the runner.
fn take_message(shared: &Arc<Shared>, link: LinkId, line: &str) -> Result<bool, String> {
    let message: ToAgent = serde_json::from_str(line).map_err(|e| e.to_string())?;
    let now = shared.now();
    match message {
        ToAgent::Hello {
            runner,
            born,
            capacity,
        } => {
            info!("entry connected", kv: { link, runner = &*runner, born });
            let mut names = shared.names.lock().expect("no panics under the lock");
            names.insert(born, runner);
            drop(names);
            shared.slots().set_capacity(capacity);
            shared.wake.notify_one();
            Ok(true)
        }
        ToAgent::Want {
            adapter,
            version,
            urgent,
        } => {
            shared
                .slots()
                .request_adapter(now, &adapter, version, urgent);
            shared.wake.notify_one();
            Ok(true)
        }
        ToAgent::Usage(usages) => {
            shared.slots().apply_usage(now, link, &usages);
            Ok(!usages.is_empty())
        }
    }
}
