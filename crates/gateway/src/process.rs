//! The start and stop of an entry's process.
//!
//! Invariants: every task that is started here is joined or ended by [`RunningEntry::stop`]; at a stop
//! the platform learns first that the entry is not ready, then new connections end, and requests in
//! progress are finished.

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

use crate::entry::Entry;
use crate::logs;
use crate::server;
use crate::signals::Signals;
use crate::watch::follow_table;

/// How long a stopping entry still accepts connections, so that the platform notices first that it
/// is not ready.
const UNREADY_PERIOD: Duration = Duration::from_millis(2_500);
/// The part of the time to SIGKILL that is left for the end of the process.
const STOP_MARGIN: Duration = Duration::from_millis(700);
/// The pause between two rounds of upkeep.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(500);
/// The pause between two measurements of the scheduling delay.
const DELAY_SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// A process that cannot start or go on.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum ProcessError {
    /// The settings cannot be used.
    #[display("settings cannot be used")]
    Settings,
    /// Logs, metrics or signals cannot be set up.
    #[display("process cannot be set up")]
    Setup,
    /// A task of the process panicked.
    #[display("a task panicked")]
    Task,
    /// An address cannot be bound.
    #[display("address cannot be bound")]
    Bind,
}

/// Runs an entry until a signal asks it to stop.
///
/// # Errors
///
/// Fails if the process cannot be set up.
pub async fn run(path: &Path) -> Result<(), Report<ProcessError>> {
    let mut signals = Signals::install()?;
    let settings: settings::EntrySettings =
        ::process::settings::load(path).change_context(ProcessError::Settings)?;
    logs::init().change_context(ProcessError::Setup)?;
    let running = RunningEntry::start(settings).await?;
    signals.wait_for_stop(|| reload(&running.entry, path)).await;
    running.stop(UNREADY_PERIOD).await;
    Ok(())
}

/// The tasks of a started entry.
pub struct RunningEntry {
    /// The entry.
    pub entry: Arc<Entry>,
    stop: CancellationToken,
    abort: CancellationToken,
    accept_loop: JoinHandle<()>,
    background: Vec<JoinHandle<()>>,
    ops: OpsServer,
}

impl RunningEntry {
    /// Starts an entry.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound.
    pub async fn start(
        settings: settings::EntrySettings,
    ) -> Result<RunningEntry, Report<ProcessError>> {
        let entry = Entry::new(settings)?;
        let instance = entry.settings.instance.as_str();
        info!("entry starts", kv: { instance });
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
            tokio::spawn(follow_table(entry.clone(), Table::Operator)),
            tokio::spawn(follow_table(entry.clone(), Table::Members)),
            tokio::spawn(run_maintenance(entry.clone())),
            tokio::spawn(measure_delay(entry.clone())),
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

    /// Stops the entry: it is unready for `unready`, then accepts no connections and finishes what
    /// is in progress, within the time that the settings allow.
    pub async fn stop(self, unready_period: Duration) {
        let RunningEntry {
            entry,
            stop,
            abort,
            mut accept_loop,
            background,
            ops,
        } = self;
        let started_at = entry.now();
        let instance = entry.settings.instance.as_str();
        let inflight = entry.metrics.inflight.get();
        info!("entry stops", kv: { instance, inflight });
        entry.begin_stop();
        tokio::time::sleep(unready_period).await;
        stop.cancel();
        let grace = Duration::from_secs_f64(entry.settings.bounds.stop_s);
        let deadline = started_at.after(grace.saturating_sub(STOP_MARGIN));
        let deadline = entry.clock.instant(deadline);
        if tokio::time::timeout_at(deadline, &mut accept_loop)
            .await
            .is_err()
        {
            let inflight = entry.metrics.inflight.get();
            info!("requests cut off at the stop", kv: { inflight });
            abort.cancel();
            // A panic was printed where it happened, and the process ends anyway.
            let _ = accept_loop.await;
        }
        for task in background {
            task.abort();
            // The task was ended here; its result says nothing.
            let _ = task.await;
        }
        ops.stop().await;
        entry.links.stop().await;
        entry.conns.stop().await;
        info!("entry stopped", kv: { instance });
    }
}

async fn run_maintenance(entry: Arc<Entry>) {
    loop {
        tokio::time::sleep(MAINTENANCE_INTERVAL).await;
        entry.run_maintenance();
    }
}

/// Measures how late the process gets to run.
async fn measure_delay(entry: Arc<Entry>) {
    loop {
        let due = Instant::now() + DELAY_SAMPLE_INTERVAL;
        tokio::time::sleep_until(due).await;
        entry.state().overload.record_delay(due.elapsed());
    }
}

/// Reads the settings again. The ones that shape running connections apply from the next start.
fn reload(entry: &Arc<Entry>, path: &Path) {
    match ::process::settings::load::<settings::EntrySettings>(path) {
        Ok(settings) => {
            let changed = settings.store != entry.settings.store;
            info!("settings reloaded", kv: { store_changed = changed });
        }
        Err(report) => {
            let reason = format!("{report:?}");
            spdlog::error!("settings kept, the new ones cannot be used", kv: { reason = reason.as_str() });
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
