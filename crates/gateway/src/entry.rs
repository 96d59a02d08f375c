//! The state that the tasks of an entry share.
//!
//! Invariants: one lock guards [`EntryState`], and it is never held across an await; the lock of
//! the connections to agents may be taken while it is held, never the other way round; the version
//! of the configuration in force only increases.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::time::Duration;

use decision::collections::Map;
use decision::time::Time;
use error_stack::Report;
use error_stack::ResultExt;
use platform::manifest::VersionAnnouncement;
use platform::settings;
use platform::store::Table;
use serving::concurrency::Concurrency;
use serving::config::Config;
use serving::config::Precedence;
use serving::crash_watch::CrashWatch;
use serving::fleet::Fleet;
use serving::idle::ConnLimits;
use serving::members::Members;
use serving::overload::OverloadDetector;
use serving::pauses::Pauses;
use serving::quarantine::Quarantine;
use serving::reconnect::ReconnectPauses;
use serving::request::Artifact;
use serving::retry_budget::Allowance;
use serving::retry_budget::RetryBudget;
use serving::stop;
use serving::stop::ResponseTimes;
use serving::store_era::RestoreCount;
use serving::versions::Versions;
use spdlog::info;
use spdlog::warn;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::RuntimeClock;
use crate::buffer::BufferBudget;
use crate::caller_memory::CallerLedger;
use crate::conns::ConnPool;
use crate::evidence::SharedEvidence;
use crate::holds::HoldChanges;
use crate::line_limits::LineLimits;
use crate::links::AgentLinks;
use crate::metrics::EntryMetrics;
use crate::process::ProcessError;
use crate::quota::Quotas;
use crate::recover::lock;
use crate::service_queue::WaitingRequests;
use crate::store::Store;

/// How long before the bound for using an announced version requests are no longer sent for older ones.
const VERSION_MARGIN: Duration = Duration::from_millis(1_500);
/// How long before that bound requests that were sent for older ones are withdrawn. The announcement is older
/// than its arrival here, and a close takes a while to reach the runner.
const WITHDRAWAL_MARGIN: Duration = Duration::from_millis(500);

/// The largest request head before a configuration is known, in bytes.
const DEFAULT_HEADER_BYTES: usize = 16 << 10;

/// The configuration, the runners and the other changing state of an entry. Guarded by one lock,
/// which is never held across an await.
#[derive(Debug)]
pub struct EntryState {
    /// The configuration in force; `None` until the store has been read.
    pub config: Option<Arc<Config>>,
    /// The number of restores of the store before the configuration was last read.
    config_restores: RestoreCount,
    /// The limits on the times between the requests of a connection.
    pub(crate) conn_limits: ConnLimits,
    /// The known runners of all services, with their load and health.
    pub fleet: Fleet,
    /// The announced versions of adapters, from which the oldest allowed ones follow.
    pub versions: Versions,
    /// Limits the attempts after the first one, over all requests.
    pub retry_budget: RetryBudget,
    /// How long requests have lately taken.
    pub(crate) response_times: ResponseTimes,
    /// Decides which requests to refuse while the entry itself is short of CPU or memory.
    pub overload: OverloadDetector,
    /// The last time in which this process did not run.
    pub(crate) pauses: Pauses,
    /// The evidence about prompt parts on which runners crash.
    pub quarantine: Quarantine,
    /// Changes of held prompt parts that are not in the store yet.
    pub(crate) hold_changes: HoldChanges,
    /// The runners without an agent on which attempts broke.
    pub(crate) crash_watch: CrashWatch,
    /// The evidence that is shared with other entries.
    pub(crate) evidence: SharedEvidence,
    /// For the choice of a service and of a runner, and for jitter.
    pub rng: fastrand::Rng,
    /// The runners that have reset connections lately.
    pub(crate) reconnects: ReconnectPauses,
    /// How many requests may be at each runner of plain services.
    pub(crate) concurrency: Concurrency,
    /// The requests that wait for room at these.
    pub(crate) waiting: WaitingRequests,
    pub(crate) members: Members,
    /// Whether the membership has been read once.
    pub(crate) members_known: bool,
    /// When the store last answered a read of each table.
    pub(crate) tables_read: Map<Table, Time>,
}

/// An entry: its state, its connections and its metrics, shared by all tasks.
pub struct Entry {
    /// The settings read at the start; a reload does not change them.
    pub settings: settings::EntrySettings,
    /// The clock of all times in the state.
    pub clock: RuntimeClock,
    /// Counters, gauges and histograms, served at the metrics address.
    pub metrics: EntryMetrics,
    /// The platform's store.
    pub store: Store,
    /// The memory for responses that are not passed on yet.
    pub buffers: Arc<BufferBudget>,
    /// The limits on log lines that callers cause.
    pub lines: LineLimits,
    /// What the connections of callers hold.
    pub callers: Arc<CallerLedger>,
    /// Idle connections to runners.
    pub conns: ConnPool,
    /// One connection to the agent of each runner that has an engine.
    pub links: AgentLinks,
    /// The limits of tenants.
    pub(crate) quotas: Quotas,
    state: Mutex<EntryState>,
    /// Notified when a read of the membership table fails.
    store_lost: Notify,
    /// Notified when a runner or an agent shows that the known membership is outdated.
    members_outdated: Notify,
    /// Notified when a version of an adapter is announced.
    pub(crate) versions_changed: Notify,
    /// Notified when membership records are missing and kept for a while.
    pub(crate) records_missing: Notify,
    /// Notified when held prompt parts have changed.
    pub(crate) holds_changed: Notify,
    /// Notified when a runner is to be checked for a crash, or one was found.
    pub(crate) crash_check_due: Notify,
    /// Notified when evidence is to be shared.
    pub(crate) evidence_changed: Notify,
    /// When requests in progress are cut off; set when the entry begins to stop.
    cut_at: OnceLock<Time>,
    /// Cancelled when requests in progress are to be answered with what is known.
    cut: CancellationToken,
}

impl EntryState {
    /// Returns whether the runners of a service have a model engine.
    pub(crate) fn has_engine(&self, service: &str) -> bool {
        let config = self.config.as_ref();
        config.is_some_and(|config| config.engine(service).is_some())
    }

    /// Returns whether a runner is known and no other one holds its address.
    pub(crate) fn is_used(&self, runner: &str) -> bool {
        self.fleet.get(runner).is_some_and(|known| !known.replaced)
    }

    /// Returns how long loading the model that a request needs takes; 0 if it needs none or the
    /// configuration does not have it.
    pub(crate) fn model_load_time(&self, service: &str, artifact: Option<&Artifact>) -> Duration {
        let engine = self
            .config
            .as_ref()
            .and_then(|config| config.engine(service));
        let Some((engine, artifact)) = engine.zip(artifact) else {
            return Duration::ZERO;
        };
        let mut models = engine.models.iter();
        let model = models.find(|model| model.name == artifact.model);
        model.map_or(Duration::ZERO, |model| model.load_time)
    }
}

impl Entry {
    /// Creates an entry that draws all its random numbers from `rng`; starts no tasks.
    ///
    /// # Errors
    ///
    /// Fails if the metrics cannot be registered.
    pub fn new(
        settings: settings::EntrySettings,
        rng: fastrand::Rng,
    ) -> Result<Arc<Entry>, Report<ProcessError>> {
        let bounds = settings.bounds;
        let allowance = Allowance {
            ratio: bounds.retry_ratio,
            slack: bounds.retry_slack,
            window: Duration::from_secs_f64(bounds.retry_window_s),
        };
        let fleet = Fleet::new(settings.domain.as_str().into());
        let entries = fleet.entries.get();
        let quota_rng = rng.clone();
        let state = EntryState {
            config: None,
            config_restores: RestoreCount::default(),
            conn_limits: ConnLimits::default(),
            fleet,
            versions: Versions::default(),
            retry_budget: RetryBudget::new(allowance, entries),
            response_times: ResponseTimes::default(),
            overload: OverloadDetector::new(settings.memory_mb),
            pauses: Pauses::default(),
            quarantine: Quarantine::default(),
            hold_changes: HoldChanges::default(),
            crash_watch: CrashWatch::default(),
            evidence: SharedEvidence::default(),
            rng,
            reconnects: ReconnectPauses::default(),
            concurrency: Concurrency::default(),
            waiting: WaitingRequests::default(),
            members: Members::new(Duration::from_millis(bounds.contact_ms)),
            members_known: false,
            tables_read: Map::default(),
        };
        let clock = RuntimeClock::start();
        let buffers = BufferBudget::new(settings.memory_mb);
        let callers = CallerLedger::new(settings.memory_mb);
        let metrics = EntryMetrics::new().change_context(ProcessError::Setup)?;
        Ok(Arc::new(Entry {
            clock,
            store: Store::new(settings.store, clock, metrics.store_restores.clone()),
            metrics,
            conns: ConnPool::new(buffers.clone()),
            buffers,
            callers,
            lines: LineLimits::default(),
            links: AgentLinks::default(),
            quotas: Quotas::new(&settings.instance, entries, &bounds, quota_rng),
            state: Mutex::new(state),
            store_lost: Notify::new(),
            members_outdated: Notify::new(),
            versions_changed: Notify::new(),
            records_missing: Notify::new(),
            holds_changed: Notify::new(),
            crash_check_due: Notify::new(),
            evidence_changed: Notify::new(),
            cut_at: OnceLock::new(),
            cut: CancellationToken::new(),
            settings,
        }))
    }

    /// Locks the state. Must not be held across an await.
    pub fn state(&self) -> MutexGuard<'_, EntryState> {
        lock(&self.state)
    }

    /// Returns the time since the start of the process's clock.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Makes the entry report that it is not ready, and refuse requests that it cannot answer before
    /// `cut_at`, until the process ends.
    pub fn begin_stop(&self, cut_at: Time) {
        // A second stop changes nothing.
        let _ = self.cut_at.set(cut_at);
    }

    /// Ends the requests in progress: those that were not sent are refused.
    pub fn cut_requests(&self) {
        self.cut.cancel();
    }

    /// Returns the largest request head that is read, in bytes.
    pub(crate) fn header_bytes(&self) -> usize {
        let state = self.state();
        let config = state.config.as_ref();
        config.map_or(DEFAULT_HEADER_BYTES, |config| config.limits.header_bytes)
    }

    /// Waits until [`Entry::cut_requests`] is called.
    pub(crate) async fn requests_cut(&self) {
        self.cut.cancelled().await;
    }

    /// Returns whether a request of a route with this deadline can be answered before the entry ends.
    pub(crate) fn can_finish(&self, route: &str, deadline: Time) -> bool {
        let Some(cut_at) = self.cut_at.get() else {
            return true;
        };
        let now = self.now();
        let expected = self.state().response_times.expected(now, route);
        stop::can_finish(now, *cut_at, deadline, expected)
    }

    /// Returns how long after the announcement of a version requests may still be sent for older ones.
    pub fn version_grace(&self) -> Duration {
        Duration::from_millis(self.settings.bounds.version_ms).saturating_sub(VERSION_MARGIN)
    }

    /// Returns how long after the announcement of a version a request for an older one may wait at a runner
    /// that has not begun to answer it.
    pub(crate) fn version_limit(&self) -> Duration {
        Duration::from_millis(self.settings.bounds.version_ms).saturating_sub(WITHDRAWAL_MARGIN)
    }

    /// Returns whether [`Entry::begin_stop`] was called.
    pub fn is_stopping(&self) -> bool {
        self.cut_at.get().is_some()
    }

    /// Checks whether the entry can serve requests.
    ///
    /// # Errors
    ///
    /// Fails with what the entry waits for, or with the reason that it is stopping.
    pub fn check_ready(&self) -> Result<(), String> {
        if self.is_stopping() {
            return Err("stopping".into());
        }
        let state = self.state();
        if state.config.is_none() {
            return Err("no configuration".into());
        }
        if !state.members_known {
            return Err("no membership".into());
        }
        Ok(())
    }

    /// Puts a configuration, read after so many restores of the store, in force unless it is the current one or
    /// an older one.
    pub fn apply_config(self: &Arc<Self>, config: Config, restores: RestoreCount) {
        let mut state = self.state();
        let known = state.config.clone();
        let known_restores = state.config_restores;
        let compared = known.as_deref().map(|known| (known, known_restores));
        let precedence = config.precedence(restores, compared);
        let version = config.version;
        let before = known.map_or(0, |known| known.version);
        if precedence == Precedence::Older {
            drop(state);
            warn!("store has an older configuration than the one in force", kv: { version, in_force = before });
            return;
        }
        state.config_restores = restores;
        if precedence == Precedence::Same {
            return;
        }
        state.conn_limits.record(self.now(), &config.limits);
        let config = Arc::new(config);
        state.config = Some(config.clone());
        drop(state);
        self.quotas.set_limits(version, config.tenants());
        self.apply_services(&config);
        let restores = restores.0;
        info!("configuration in force", kv: { version, before, restores });
    }

    /// Records an announced version of an adapter. `since` is the earliest time at which it can have
    /// been announced; if it is not known, the version binds at once.
    pub fn apply_version(&self, announced: &VersionAnnouncement, since: Option<Time>) {
        let Some(adapter) = &announced.adapter else {
            return;
        };
        let version = announced.version;
        if self.state().versions.announce(since, adapter, version) {
            self.versions_changed.notify_waiters();
            info!("adapter version announced", kv: { adapter = &**adapter, version });
        }
    }

    /// Records that the store has answered a read of a table.
    pub(crate) fn record_table_read(&self, now: Time, table: Table) {
        self.state().tables_read.insert(table, now);
    }

    /// Records that a read of a table, which began at `started_at`, failed.
    pub fn mark_store_lost(&self, table: Table, started_at: Time) {
        if table == Table::Members {
            self.state().members.store_lost(started_at);
            self.store_lost.notify_waiters();
        }
    }

    /// Waits until a read of another table fails. A pending read of this table may then be waiting
    /// on a connection that is dead as well. Only reads of the membership, the more frequent ones,
    /// are a signal for the other table.
    pub async fn other_table_failed(&self, table: Table) {
        match table {
            Table::Operator | Table::Quarantine => self.store_lost.notified().await,
            Table::Members => std::future::pending().await,
        }
    }

    /// Records that a runner or an agent has shown the known membership to be outdated, so that it is
    /// read soon.
    pub fn mark_members_outdated(&self) {
        self.members_outdated.notify_one();
    }

    /// Waits until [`Entry::mark_members_outdated`] is called, or returns at once if it was called
    /// since the last wait.
    pub async fn members_outdated(&self) {
        self.members_outdated.notified().await;
    }
}
