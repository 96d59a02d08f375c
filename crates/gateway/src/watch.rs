//! The tasks that follow the tables of the platform's store.

use std::sync::Arc;
use std::time::Duration;

use decision::time::Time;
use edges::EdgeError;
use platform::settings::Bounds;
use platform::store::FeedReply;
use platform::store::RESPONSE_TIMEOUT;
use platform::store::Row;
use platform::store::RowBatch;
use platform::store::Table;
use serving::members::Extent;
use serving::members::MemberRow;
use serving::store_era::RestoreCount;
use serving::table_reads::ReadTimes;
use spdlog::info;
use spdlog::warn;
use tokio::sync::watch;

use crate::entry::Entry;
use crate::membership::UnusedCause;
use crate::store::Fresh;
use crate::store::StoreError;

/// The time for connecting to the store, reading all rows of a table and applying them.
const READ_TIME: Duration = Duration::from_millis(500);
/// The pause between two reads of the membership's changes, as a share of the drain bound. Each
/// heartbeat of a runner is a change and each call has a price, so one read collects many of them.
const MEMBERS_PAUSE_SHARE: f64 = 0.45;
/// The shortest pause between two reads of the membership's changes, when a runner or an agent has
/// shown that the known membership is outdated.
const MIN_MEMBERS_PAUSE: Duration = Duration::from_millis(600);
/// The pauses after consecutive failed reads; the last one is repeated.
const RETRY_PAUSES: [Duration; 3] = [
    Duration::from_millis(50),
    Duration::from_millis(250),
    Duration::from_millis(500),
];

/// How often a lower version is answered until all rows are read again. A replica of the store that
/// lags behind catches up sooner.
const MAX_LOWER_ANSWERS: u32 = 4;
/// How long the store may hold the reads in between.
const LOWER_POLL_TIMEOUT: Duration = Duration::from_millis(500);

/// Up to where a table is known.
#[derive(Clone, Copy, Debug)]
struct Position {
    restores: RestoreCount,
    version: u64,
}

/// Reads a table in full and then its changes, and applies them to the entry. Never returns; after
/// a failure, or when the store has come back from a copy, it starts again with a full read.
pub async fn follow_table(entry: Arc<Entry>, table: Table) {
    let restored = entry.store.subscribe();
    let bounds = &entry.settings.bounds;
    let times = read_times(table, bounds);
    log_read_times(table, &times, bounds.contact_ms);
    let mut follower = Follower {
        entry,
        table,
        hold: times.hold,
        restored,
        position: None,
        restores: RestoreCount::default(),
        answered_at: None,
        failures: 0,
        lower_answers: 0,
    };
    loop {
        follower.advance().await;
    }
}

/// Follows one table.
struct Follower {
    entry: Arc<Entry>,
    table: Table,
    /// How long the store may hold a read of changes.
    hold: Duration,
    /// Changes when the store turns out to be restored.
    restored: watch::Receiver<RestoreCount>,
    /// `None` if all rows are to be read.
    position: Option<Position>,
    /// The number of restores before the last full read.
    restores: RestoreCount,
    /// When the store last answered with rows; `None` before the first answer.
    answered_at: Option<Time>,
    /// Reads that have failed since the last answer.
    failures: u32,
    /// Answers with a lower version than the known one since the last other answer.
    lower_answers: u32,
}

impl Follower {
    /// Makes one read and applies its rows.
    async fn advance(&mut self) {
        let started_at = self.entry.now();
        match self.read().await {
            None => self.position = None,
            Some(Ok(answer)) => {
                self.record_success();
                self.handle_answer(answer).await;
            }
            Some(Err(StoreError::Outdated)) => self.position = None,
            Some(Err(StoreError::Call(error))) => self.handle_failure(started_at, &error).await,
        }
    }

    /// Returns `None` if the read was given up because all rows are to be read again.
    async fn read(&mut self) -> Option<Result<Fresh<FeedReply>, StoreError>> {
        let (entry, table) = (&self.entry, self.table);
        let restores = *self.restored.borrow_and_update();
        if table == Table::Members && entry.state().members.needs_reread() {
            self.position = None;
        }
        let Some(position) = self.position.filter(|known| known.restores == restores) else {
            let read = entry.store.read_all(table).await;
            return Some(read.map(|read| Fresh {
                value: FeedReply::Changes(read.value),
                restores: read.restores,
            }));
        };
        let mut wait = self.hold;
        if self.lower_answers > 0 {
            wait = wait.min(LOWER_POLL_TIMEOUT);
        }
        tokio::select! {
            biased;
            feed = entry.store.wait_for_changes(table, position.version, wait) => Some(feed),
            // Fails only without a store.
            _ = self.restored.changed() => None,
            () = entry.other_table_failed(table) => None,
        }
    }

    async fn handle_answer(&mut self, answer: Fresh<FeedReply>) {
        let restores = answer.restores;
        let known = self.position;
        if known.is_some_and(|known| known.restores != restores) {
            // What was lost and what the copy has shows only in a full read.
            self.position = None;
            return;
        }
        let FeedReply::Changes(batch) = answer.value else {
            self.handle_expired();
            return;
        };
        self.count("ok");
        if known.is_some_and(|known| batch.version < known.version) {
            self.handle_lower_version().await;
            return;
        }
        self.lower_answers = 0;
        let extent = match known {
            Some(_) => Extent::Changes,
            None if self.restores == restores => Extent::All,
            None => Extent::Copy,
        };
        self.restores = restores;
        self.position = Some(Position {
            restores,
            version: batch.version,
        });
        let now = self.entry.now();
        let origin = Origin {
            extent,
            restores,
            // What is new in a full read was written after the answer before it.
            written_at: match extent {
                Extent::Changes => Some(self.entry.state().pauses.received_since(now)),
                Extent::All | Extent::Copy => self.answered_at,
            },
        };
        self.answered_at = Some(now);
        self.entry.record_table_read(now, self.table);
        apply_rows(&self.entry, self.table, batch, origin);
        if self.table == Table::Members {
            self.pause_members_reads().await;
        }
    }

    /// Waits before the next read of the membership's changes; less long if the known membership turns
    /// out to be outdated, or the store to be restored.
    async fn pause_members_reads(&mut self) {
        let pause = members_pause(&self.entry.settings.bounds);
        tokio::time::sleep(MIN_MEMBERS_PAUSE.min(pause)).await;
        tokio::select! {
            () = tokio::time::sleep(pause.saturating_sub(MIN_MEMBERS_PAUSE)) => {}
            () = self.entry.members_outdated() => {}
            // Fails only without a store.
            _ = self.restored.changed() => {}
        }
    }

    /// Returns how long ago the store last answered a read of the table.
    fn table_age(&self) -> Duration {
        let answered_at = self.answered_at.unwrap_or_default();
        self.entry.now().since(answered_at)
    }

    fn record_success(&mut self) {
        if self.failures > 0 {
            let (table, failures) = (self.table.name(), self.failures);
            let unknown_ms = self.table_age().as_millis() as u64;
            info!("store reachable again", kv: { table, failures, unknown_ms });
        }
        self.failures = 0;
    }

    fn handle_expired(&mut self) {
        self.count("expired");
        info!("store history expired, reading all rows", kv: { table = self.table.name() });
        self.position = None;
    }

    async fn handle_lower_version(&mut self) {
        warn!("store returned an older version", kv: { table = self.table.name() });
        self.lower_answers += 1;
        if self.lower_answers > MAX_LOWER_ANSWERS {
            self.lower_answers = 0;
            self.position = None;
        }
        tokio::time::sleep(RETRY_PAUSES[1]).await;
    }

    async fn handle_failure(&mut self, started_at: Time, error: &EdgeError) {
        self.count("failed");
        if self.failures == 0 {
            let (table, error) = (self.table.name(), error.to_string());
            let waited_ms = self.entry.now().since(started_at).as_millis() as u64;
            let unknown_ms = self.table_age().as_millis() as u64;
            warn!("store read failed", kv: { table, waited_ms, unknown_ms, error = error.as_str() });
        }
        self.entry.mark_store_lost(self.table, started_at);
        // A restarted history or a missed removal shows only in a full read.
        self.position = None;
        let pause = RETRY_PAUSES[(self.failures as usize).min(RETRY_PAUSES.len() - 1)];
        self.failures += 1;
        tokio::time::sleep(pause).await;
    }

    fn count(&self, result: &str) {
        let calls = &self.entry.metrics.store_calls;
        calls.with_label_values(&[result]).inc();
    }
}

/// Returns the times of a table's reads, which add up to the bound for being up to date with a store
/// that can be reached.
fn read_times(table: Table, bounds: &Bounds) -> ReadTimes {
    let pause = match table {
        Table::Members => members_pause(bounds),
        Table::Operator | Table::Quarantine => Duration::ZERO,
    };
    let times = ReadTimes {
        pause,
        hold: Duration::ZERO,
        response: RESPONSE_TIMEOUT,
        retry: RETRY_PAUSES[0],
        read: READ_TIME,
    };
    times.within(Duration::from_millis(bounds.contact_ms))
}

fn members_pause(bounds: &Bounds) -> Duration {
    Duration::from_millis(bounds.drain_ms).mul_f64(MEMBERS_PAUSE_SHARE)
}

/// Logs the longest time for which a table may be out of date, and warns if that is beyond the bound.
fn log_read_times(table: Table, times: &ReadTimes, contact_ms: u64) {
    let (table, hold_ms) = (table.name(), times.hold.as_millis() as u64);
    let total_ms = times.total().as_millis() as u64;
    if total_ms > contact_ms {
        warn!("a lost answer of the store is noticed too late", kv: { table, hold_ms, total_ms, bound_ms = contact_ms });
    } else {
        info!("following table", kv: { table, hold_ms, total_ms });
    }
}

/// Where rows come from.
#[derive(Clone, Copy, Debug)]
struct Origin {
    extent: Extent,
    restores: RestoreCount,
    /// The earliest time at which rows that were not known can have been written; `None` if it is not
    /// known.
    written_at: Option<Time>,
}

fn apply_rows(entry: &Arc<Entry>, table: Table, batch: RowBatch, origin: Origin) {
    let mut members = Vec::new();
    for row in batch.rows {
        match row {
            Row::Config(config) => entry.apply_config(*config, origin.restores),
            Row::Version(announced) => entry.apply_version(&announced, origin.written_at),
            Row::Member(member) => members.push(MemberRow::Written(member)),
            Row::Hold(hold) => entry.adopt_stored_hold(&hold, origin.extent),
            Row::Evidence(key, evidence) => match origin.written_at {
                Some(at) => entry.apply_evidence(at, key, evidence, origin.extent),
                None => entry.adopt_evidence(key),
            },
            Row::Removed(key) if table == Table::Quarantine => entry.apply_removed_hold(&key),
            Row::Removed(key) => members.push(MemberRow::Removed(key)),
            Row::Invalid(key, error) => {
                report_unreadable(entry, table, &key, &error.to_string());
                members.push(MemberRow::Removed(key));
            }
            Row::Unknown => {}
        }
    }
    if table == Table::Members {
        entry.apply_members(members, origin.extent);
    }
}

/// Logs a row that cannot be decoded. Any writer may fill the membership with them.
fn report_unreadable(entry: &Entry, table: Table, key: &str, error: &str) {
    if table == Table::Members {
        entry.report_unused(UnusedCause::Unreadable, key, error);
    } else {
        warn!("row cannot be read", kv: { key, error });
    }
}
