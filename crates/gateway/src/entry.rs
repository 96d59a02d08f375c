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

use decision::time::Time;
use error_stack::Report;
use error_stack::ResultExt;
use platform::manifest::VersionAnnouncement;
use platform::settings;
use platform::store::Table;
use serde_json::json;
use serving::config::Config;
use serving::config::Precedence;
use serving::crash_watch::CrashWatch;
use serving::fleet::Fleet;
use serving::members::Change;
use serving::members::Extent;
use serving::members::MemberRow;
use serving::members::Members;
use serving::overload::OverloadDetector;
use serving::quarantine::Quarantine;
use serving::request::Artifact;
use serving::retry_budget::Allowance;
use serving::retry_budget::RetryBudget;
use serving::runner::Member;
use serving::stop;
use serving::stop::ResponseTimes;
use serving::store_era::Generation;
use serving::versions::Versions;
use spdlog::info;
use spdlog::warn;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::RuntimeClock;
use crate::buffer::BufferBudget;
use crate::conns::ConnPool;
use crate::evidence::SharedEvidence;
use crate::holds::HoldChanges;
use crate::links::AgentLinks;
use crate::logs;
use crate::metrics::EntryMetrics;
use crate::process::ProcessError;
use crate::recover::lock;
use crate::store::Store;

/// How long before the bound for using an announced version older ones are no longer allowed.
const VERSION_MARGIN: Duration = Duration::from_millis(1_500);

/// The configuration, the runners and the other changing state of an entry. Guarded by one lock,
/// which is never held across an await.
#[derive(Debug)]
pub struct EntryState {
    /// The configuration in force; `None` until the store has been read.
    pub config: Option<Arc<Config>>,
    /// The generation of the store in which the configuration was last read.
    config_generation: Generation,
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
    members: Members,
    /// Whether the membership has been read once.
    members_known: bool,
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
    /// Idle connections to runners.
    pub conns: ConnPool,
    /// One connection to the agent of each runner that has an engine.
    pub links: AgentLinks,
    state: Mutex<EntryState>,
    /// Notified when a read of the membership table fails.
    store_lost: Notify,
    /// Notified when a runner or an agent shows that the known membership is outdated.
    members_outdated: Notify,
    /// Notified when membership records are missing and kept for a while.
    records_missing: Notify,
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
    fn has_engine(&self, service: &str) -> bool {
        let config = self.config.as_ref();
        config.is_some_and(|config| config.engine(service).is_some())
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

/// Returns the records among the rows of a whole table.
fn written(rows: Vec<MemberRow>) -> Vec<Member> {
    let records = rows.into_iter().filter_map(|row| match row {
        MemberRow::Written(member) => Some(member),
        MemberRow::Removed(_) => None,
    });
    records.collect()
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
        let state = EntryState {
            config: None,
            config_generation: Generation::default(),
            fleet,
            versions: Versions::default(),
            retry_budget: RetryBudget::new(allowance, entries),
            response_times: ResponseTimes::default(),
            overload: OverloadDetector::new(settings.memory_mb),
            quarantine: Quarantine::default(),
            hold_changes: HoldChanges::default(),
            crash_watch: CrashWatch::default(),
            evidence: SharedEvidence::default(),
            rng,
            members: Members::new(Duration::from_millis(bounds.contact_ms)),
            members_known: false,
        };
        let clock = RuntimeClock::start();
        let metrics = EntryMetrics::new().change_context(ProcessError::Setup)?;
        Ok(Arc::new(Entry {
            clock,
            store: Store::new(settings.store, clock, metrics.store_restores.clone()),
            metrics,
            buffers: BufferBudget::new(settings.memory_mb),
            conns: ConnPool::default(),
            links: AgentLinks::default(),
            state: Mutex::new(state),
            store_lost: Notify::new(),
            members_outdated: Notify::new(),
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

    /// Returns how long after the announcement of a version older ones may still be used.
    pub fn version_grace(&self) -> Duration {
        Duration::from_millis(self.settings.bounds.version_ms).saturating_sub(VERSION_MARGIN)
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

    /// Puts a configuration, read in `generation` of the store, in force unless it is the current one or
    /// an older one.
    pub fn apply_config(&self, config: Config, generation: Generation) {
        let mut state = self.state();
        let known = state.config.clone();
        let known_generation = state.config_generation;
        let compared = known.as_deref().map(|known| (known, known_generation));
        let precedence = config.precedence(generation, compared);
        let version = config.version;
        let before = known.map_or(0, |known| known.version);
        if precedence == Precedence::Older {
            drop(state);
            warn!("store has an older configuration than the one in force", kv: { version, in_force = before });
            return;
        }
        state.config_generation = generation;
        if precedence == Precedence::Same {
            return;
        }
        state.config = Some(Arc::new(config));
        drop(state);
        let generation = generation.0;
        info!("configuration in force", kv: { version, before, generation });
    }

    /// Records an announced version of an adapter. `since` is the earliest time at which it can have
    /// been announced; if it is not known, the version binds at once.
    pub fn apply_version(&self, announced: &VersionAnnouncement, since: Option<Time>) {
        let Some(adapter) = &announced.adapter else {
            return;
        };
        let version = announced.version;
        if self.state().versions.announce(since, adapter, version) {
            info!("adapter version announced", kv: { adapter = &**adapter, version });
        }
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

    /// Applies rows of the membership table.
    pub fn apply_members(self: &Arc<Self>, rows: Vec<MemberRow>, extent: Extent) {
        let now = self.now();
        let mut state = self.state();
        state.members_known = true;
        let members = &mut state.members;
        let changes = match extent {
            Extent::Changes => {
                members.store_answered(now);
                members.apply_rows(now, rows)
            }
            Extent::All => {
                members.store_answered(now);
                members.apply_snapshot(now, written(rows))
            }
            Extent::Copy => members.apply_copy(now, written(rows)),
        };
        let (missing, returned) = (members.missing_count(), members.returned_count());
        let expiry = members.next_expiry();
        drop(state);
        if extent == Extent::Copy {
            let changed = changes.len();
            info!("membership read from the restored store", kv: { changed, missing, returned });
        }
        if let Some(expiry) = expiry {
            let kept_ms = expiry.since(now).as_millis() as u64;
            if missing > 0 {
                info!("records missing after an outage are kept", kv: { missing, kept_ms });
            }
            self.records_missing.notify_one();
        }
        self.apply_changes(changes);
    }

    fn apply_changes(self: &Arc<Self>, changes: Vec<Change>) {
        for change in changes {
            match change {
                Change::Present(member) => self.apply_member(member),
                Change::Gone(id) => {
                    info!("runner gone", kv: { runner = &*id });
                    self.state().fleet.leave(&id);
                    self.conns.remove(&id);
                    self.links.close(&id);
                }
            }
        }
    }

    fn apply_member(self: &Arc<Self>, member: Member) {
        let now = self.now();
        let mut state = self.state();
        let known = state.fleet.get(&member.id).map(|runner| &runner.member);
        let restarted = known.is_some_and(|known| known.born != member.born);
        let changed = known.is_none_or(|known| restarted || known.phase != member.phase);
        let has_engine = state.has_engine(&member.service);
        state.fleet.join(now, member.clone());
        state
            .crash_watch
            .record_start(now, &member.id, member.addr, member.born);
        drop(state);
        self.crash_check_due.notify_one();
        if changed {
            let phase = format!("{:?}", member.phase);
            let addr = member.addr.to_string();
            info!("runner present", kv: {
                runner = &*member.id, service = &*member.service, phase = phase.as_str(),
                addr = addr.as_str(), born = member.born
            });
        }
        if restarted {
            self.conns.remove(&member.id);
            self.links.close(&member.id);
        }
        if has_engine {
            self.links.open(self, &member);
        }
    }

    /// Waits until [`Entry::run_maintenance`] is due: after `interval`, or when missing membership
    /// records expire.
    pub async fn maintenance_due(&self, interval: Duration) {
        let regular = self.now().after(interval);
        loop {
            let expiry = self.state().members.next_expiry();
            let due = expiry.map_or(regular, |expiry| expiry.min(regular));
            tokio::select! {
                () = tokio::time::sleep_until(self.clock.instant(due)) => return,
                () = self.records_missing.notified() => {}
            }
        }
    }

    /// Expires members and idle connections, opens missing connections to agents and updates the
    /// number of entries that share the retry budget.
    pub fn run_maintenance(self: &Arc<Self>) {
        let now = self.now();
        let mut state = self.state();
        let changes = state.members.expire(now);
        let entries = state.fleet.entries.get();
        state.retry_budget.set_entry_count(entries);
        let (held, isolated) = state.quarantine.counts(now);
        self.metrics.held_parts.set(held as i64);
        let limited = state.fleet.backpressure.limited_count(now);
        self.metrics.limited_runners.set(limited as i64);
        let paused = state.fleet.backpressure.paused_count(now);
        self.metrics.paused_runners.set(paused as i64);
        self.metrics.isolated_parts.set(isolated as i64);
        let unlinked = state
            .members
            .iter()
            .filter(|member| state.has_engine(&member.service) && !self.links.contains(&member.id));
        let unlinked: Vec<Member> = unlinked.cloned().collect();
        drop(state);
        for member in &unlinked {
            self.links.open(self, member);
        }
        self.apply_changes(changes);
        self.conns.close_expired(now);
    }

    /// Returns the state as JSON, for the dump of the process.
    pub fn dump(&self) -> String {
        let now = self.now();
        let state = self.state();
        let runners: Vec<_> = state
            .fleet
            .runners()
            .map(|runner| {
                json!({
                    "id": &*runner.member.id,
                    "service": &*runner.member.service,
                    "addr": runner.member.addr,
                    "phase": format!("{:?}", runner.member.phase),
                    "inflight": runner.inflight,
                    "others": runner.others_inflight,
                    "linked": runner.linked,
                    "up": runner.up,
                    "room": runner.room,
                    "limit": state.fleet.backpressure.rate_limit(now, &runner.member.id, runner.member.born),
                    "report_age_ms": now.since(runner.reported_at).as_millis() as u64,
                    "error_rate": runner.health.error_rate(),
                    "adapters": runner.adapters.iter().map(|(name, view)| {
                        format!("{name}@{}{}", view.version, if view.ready_at.is_some() { " coming" } else { "" })
                    }).collect::<Vec<_>>(),
                })
            })
            .collect();
        let version = state.config.as_ref().map(|config| config.version);
        let held = state.quarantine.held();
        let held: Vec<_> = held
            .map(|(part, hold)| {
                let hold_ms = hold.until.since(now).as_millis() as u64;
                json!({"part": part.to_string(), "hold_ms": hold_ms, "level": hold.level})
            })
            .collect();
        json!({
            "instance": self.settings.instance,
            "config_version": version,
            "entries": state.fleet.entries.reported(),
            "log_lines_dropped": logs::dropped_lines(),
            "runners": runners,
            "held_parts": held,
        })
        .to_string()
    }
}
