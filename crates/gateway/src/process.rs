//! Start and shutdown of an entry's process.
//!
//! Invariants: every task that is started here is joined or aborted by [`RunningEntry::stop`]; on
//! shutdown the platform first learns that the entry is not ready, then no new connections are
//! accepted, and requests in progress are finished.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use ::process::ops::OpsServer;
use ::process::ops::OpsState;
use derive_more::Display;
use derive_more::Error;
use error_stack::Report;
use error_stack::ResultExt;
use platform::settings;
use platform::store::Table;
use spdlog::info;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::crash_checks::check_runners;
use crate::entry::Entry;
use crate::evidence::share_evidence;
use crate::holds::keep_holds;
use crate::logs;
use crate::quota::keep_quotas;
use crate::recover::supervise;
use crate::server;
use crate::signals::Signals;
use crate::watch::follow_table;

/// How long a stopping entry still accepts connections, so that the platform's readiness probe
/// fails before connections are refused.
const UNREADY_PERIOD: Duration = Duration::from_millis(2_500);
/// The part of the grace period before SIGKILL that is reserved for the end of the process after
/// the requests.
const STOP_MARGIN: Duration = Duration::from_millis(700);
/// The part of [`STOP_MARGIN`] in which requests that are cut off get their last answer.
const LAST_ANSWER_PERIOD: Duration = Duration::from_millis(200);
/// The longest interval between two runs of [`Entry::run_maintenance`].
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(500);
/// The interval between two samples of the scheduling delay.
const DELAY_SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// Why a process cannot start or continue.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum ProcessError {
    /// The settings file cannot be read or is invalid.
    #[display("settings cannot be read or are invalid")]
    Settings,
    /// Logs, metrics or signal handlers cannot be set up.
    #[display("logs, metrics or signal handlers cannot be set up")]
    Setup,
    /// A task of the process panicked.
    #[display("a task panicked")]
    Task,
    /// A listening address cannot be bound.
    #[display("a listening address cannot be bound")]
    Bind,
}

/// Runs an entry until SIGTERM; SIGHUP reloads the settings.
///
/// # Errors
///
/// Fails if the settings cannot be used, an address cannot be bound, or logs, metrics or signal
/// handlers cannot be set up.
pub async fn run(path: &Path) -> Result<(), Report<ProcessError>> {
    ::process::allocator::configure();
    let mut signals = Signals::install()?;
    let settings: settings::EntrySettings =
        ::process::settings::load(path).change_context(ProcessError::Settings)?;
    logs::init().change_context(ProcessError::Setup)?;
    let running = RunningEntry::start(settings, fastrand::Rng::new()).await?;
    signals.wait_for_stop(|| reload(&running.entry, path)).await;
    running.stop(UNREADY_PERIOD).await;
    Ok(())
}

/// A started entry with its tasks; [`RunningEntry::stop`] ends them.
pub struct RunningEntry {
    /// The state that the tasks share.
    pub entry: Arc<Entry>,
    /// Ends the accepting of connections.
    stop: CancellationToken,
    /// Ends the requests in progress.
    abort: CancellationToken,
    accept_loop: JoinHandle<()>,
    background: Vec<JoinHandle<()>>,
    ops: OpsServer,
}

impl RunningEntry {
    /// Binds the addresses and starts the tasks; all random choices draw from `rng`.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound or the metrics cannot be registered.
    pub async fn start(
        settings: settings::EntrySettings,
        rng: fastrand::Rng,
    ) -> Result<RunningEntry, Report<ProcessError>> {
        let entry = Entry::new(settings, rng)?;
        let instance = entry.settings.instance.as_str();
        info!("entry starting", kv: { instance });
        let bind = |addr| server::listen(addr);
        let caller_listener = bind(entry.settings.listen)
            .await
            .change_context(ProcessError::Bind)?;
        let ready = bind(entry.settings.ready)
            .await
            .change_context(ProcessError::Bind)?;
        let ops = start_ops(&entry).await?;
        let stop = CancellationToken::new();
        let abort = CancellationToken::new();
        let background = vec![
            supervised(&entry, "operator rows", |entry| {
                follow_table(entry, Table::Operator)
            }),
            supervised(&entry, "membership", |entry| {
                follow_table(entry, Table::Members)
            }),
            supervised(&entry, "quarantine rows", |entry| {
                follow_table(entry, Table::Quarantine)
            }),
            supervised(&entry, "held parts", keep_holds),
            supervised(&entry, "evidence", share_evidence),
            supervised(&entry, "crash checks", check_runners),
            supervised(&entry, "quotas", keep_quotas),
            supervised(&entry, "maintenance", run_maintenance),
            supervised(&entry, "delay", measure_delay),
            tokio::spawn(server::serve_ready(entry.clone(), ready)),
        ];
        let accept_loop = tokio::spawn(server::accept_callers(
            entry.clone(),
            caller_listener,
            stop.clone(),
            abort.clone(),
        ));
        Ok(RunningEntry {
            entry,
            stop,
            abort,
            accept_loop,
            background,
            ops,
        })
    }

    /// Stops the entry: reports that it is not ready for `unready_period`, then stops accepting
    /// connections and finishes the requests in progress. Requests that cannot end within the grace
    /// period of the settings are refused, and those that do not are answered with what is known of
    /// them; streams are broken off.
    pub async fn stop(self, unready_period: Duration) {
        let RunningEntry {
            entry,
            stop,
            abort,
            mut accept_loop,
            background,
            ops,
        } = self;
        let instance = entry.settings.instance.as_str();
        let inflight = entry.metrics.inflight.get();
        info!("entry stopping", kv: { instance, inflight });
        let grace = Duration::from_secs_f64(entry.settings.bounds.stop_s);
        let cut_at = entry.now().after(grace.saturating_sub(STOP_MARGIN));
        entry.begin_stop(cut_at);
        tokio::time::sleep(unready_period).await;
        stop.cancel();
        let cut_at = entry.clock.instant(cut_at);
        let ended = tokio::time::timeout_at(cut_at, &mut accept_loop).await;
        if ended.is_err() {
            let inflight = entry.metrics.inflight.get();
            info!("grace period over, ending requests", kv: { inflight });
            entry.cut_requests();
            let answered = tokio::time::timeout(LAST_ANSWER_PERIOD, &mut accept_loop).await;
            if answered.is_err() {
                abort.cancel();
                // A panic has been printed by the task, and the process ends anyway.
                let _ = accept_loop.await;
            }
        }
        for task in background {
            task.abort();
            // The task was aborted above, so its result is of no interest.
            let _ = task.await;
        }
        ops.stop().await;
        entry.links.stop().await;
        entry.conns.stop().await;
        info!("entry stopped", kv: { instance });
    }
}

/// Spawns a background task that starts again if it panics.
fn supervised<F>(
    entry: &Arc<Entry>,
    name: &'static str,
    start: impl Fn(Arc<Entry>) -> F + Send + 'static,
) -> JoinHandle<()>
where
    F: Future<Output = ()> + Send + 'static,
{
    let entry = entry.clone();
    tokio::spawn(supervise(name, move || start(entry.clone())))
}

async fn run_maintenance(entry: Arc<Entry>) {
    loop {
        entry.maintenance_due(MAINTENANCE_INTERVAL).await;
        entry.run_maintenance();
        if entry.buffers.take_shortage() {
            entry.callers.evict_unread(entry.now());
        }
        let held = entry.callers.maintain(entry.now());
        entry.metrics.caller_memory.set(held as i64);
    }
}

/// Samples how late a timer of this process fires, which shows whether it gets enough CPU, and whether it was
/// suspended.
async fn measure_delay(entry: Arc<Entry>) {
    loop {
        let due = Instant::now() + DELAY_SAMPLE_INTERVAL;
        tokio::time::sleep_until(due).await;
        let now = entry.now();
        let mut state = entry.state();
        state.overload.record_delay(due.elapsed());
        let paused = state.pauses.record_tick(now);
        drop(state);
        if let Some(length) = paused {
            info!("process was paused", kv: { paused_ms = length.as_millis() as u64 });
        }
    }
}

/// Reads the settings again and logs whether they are valid. They apply from the next start.
fn reload(entry: &Arc<Entry>, path: &Path) {
    match ::process::settings::load::<settings::EntrySettings>(path) {
        Ok(settings) => {
            let changed = settings.store != entry.settings.store;
            info!("settings reloaded", kv: { store_changed = changed });
        }
        Err(report) => {
            let reason = format!("{report:?}");
            spdlog::error!("settings cannot be reloaded, keeping the current ones", kv: { reason = reason.as_str() });
        }
    }
}

async fn start_ops(entry: &Arc<Entry>) -> Result<OpsServer, Report<ProcessError>> {
    let (ready, dump) = (entry.clone(), entry.clone());
    let state = OpsState {
        registry: entry.metrics.registry.clone(),
        check_ready: Box::new(move || ready.check_ready()),
        dump: Box::new(move || dump.dump()),
        secret: entry.settings.dump_secret.clone(),
    };
    OpsServer::start(entry.settings.metrics, state)
        .await
        .change_context(ProcessError::Bind)
}
