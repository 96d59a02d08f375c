//! The tasks that follow the tables of the platform's store.

use std::sync::Arc;
use std::time::Duration;

use platform::store::FeedReply;
use platform::store::Row;
use platform::store::RowBatch;
use platform::store::Table;
use serving::members::MemberRow;
use spdlog::info;
use spdlog::warn;

use crate::entry::Entry;

/// How long the store may hold a read of the membership's changes, as a share of the bound for
/// restored contact. A dead connection is noticed only after that time; the rest of the bound
/// covers the response timeout and the read of all rows.
const CONTACT_SHARE: f64 = 0.6;
/// How long the store may hold a read of the operator's changes. A dead connection is noticed
/// earlier by the reads of the membership, which are more frequent.
const OPERATOR_POLL_TIMEOUT: Duration = Duration::from_secs(20);
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

/// Reads a table in full and then its changes, and applies them to the entry. Never returns; after
/// a failure it starts again with a full read.
pub async fn follow_table(entry: Arc<Entry>, table: Table) {
    let bounds = entry.settings.bounds;
    let poll_timeout = match table {
        Table::Operator => OPERATOR_POLL_TIMEOUT,
        Table::Members => Duration::from_millis(bounds.contact_ms).mul_f64(CONTACT_SHARE),
    };
    let pause = Duration::from_millis(bounds.drain_ms).mul_f64(MEMBERS_PAUSE_SHARE);
    let mut version = None;
    let mut failures = 0;
    loop {
        let started_at = entry.now();
        let result = match version {
            None => {
                let read = entry.store.read_all(table).await;
                read.map(|read| FeedReply::Changes(read.value))
            }
            Some(after) => tokio::select! {
                feed = entry.store.wait_for_changes(table, after, poll_timeout) => {
                    feed.map(|feed| feed.value)
                }
                () = entry.other_table_failed(table) => {
                    version = None;
                    continue;
                }
            },
        };
        match result {
            Ok(FeedReply::Changes(batch)) => {
                if failures > 0 {
                    info!("store reachable again", kv: { table = table.name(), failures });
                }
                failures = 0;
                entry.metrics.store_calls.with_label_values(&["ok"]).inc();
                if version.is_some_and(|known| batch.version < known) {
                    warn!("store returned an older version", kv: { table = table.name() });
                    tokio::time::sleep(RETRY_PAUSES[1]).await;
                    continue;
                }
                let full = version.is_none();
                version = Some(batch.version);
                apply_rows(&entry, table, batch, full);
                if table == Table::Members {
                    pause_members_reads(&entry, pause).await;
                }
            }
            Ok(FeedReply::Expired) => {
                entry
                    .metrics
                    .store_calls
                    .with_label_values(&["expired"])
                    .inc();
                info!("store history expired, reading all rows", kv: { table = table.name() });
                version = None;
            }
            Err(error) => {
                entry
                    .metrics
                    .store_calls
                    .with_label_values(&["failed"])
                    .inc();
                if failures == 0 {
                    let error = error.to_string();
                    warn!("store read failed", kv: { table = table.name(), error = error.as_str() });
                }
                entry.mark_store_lost(table, started_at);
                // A restarted history or a missed removal shows only in a full read.
                version = None;
                let pause = RETRY_PAUSES[failures.min(RETRY_PAUSES.len() - 1)];
                failures += 1;
                tokio::time::sleep(pause).await;
            }
        }
    }
}

/// Waits before the next read of the membership's changes: for `pause`, or for less if the known
/// membership turns out to be outdated.
async fn pause_members_reads(entry: &Entry, pause: Duration) {
    tokio::time::sleep(MIN_MEMBERS_PAUSE.min(pause)).await;
    let rest = pause.saturating_sub(MIN_MEMBERS_PAUSE);
    // An elapsed pause and a notification both mean that the next read is due.
    let _ = tokio::time::timeout(rest, entry.members_outdated()).await;
}

fn apply_rows(entry: &Arc<Entry>, table: Table, batch: RowBatch, full: bool) {
    let mut members = Vec::new();
    for row in batch.rows {
        match row {
            Row::Config(config) => entry.apply_config(*config),
            Row::Version(announced) => entry.apply_version(&announced, !full),
            Row::Member(member) => members.push(MemberRow::Written(member)),
            Row::Removed(key) => members.push(MemberRow::Removed(key)),
            Row::Invalid(key, error) => {
                let error = error.to_string();
                warn!("row cannot be read", kv: { key = &*key, error = error.as_str() });
                members.push(MemberRow::Removed(key));
            }
            Row::Unknown => {}
        }
    }
    if table == Table::Members {
        entry.apply_members(members, full);
    }
}
