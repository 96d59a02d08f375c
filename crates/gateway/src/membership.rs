//! Applies the membership of runners to what the entry knows of them.

use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use serving::Name;
use serving::config::Config;
use serving::members::Change;
use serving::members::Extent;
use serving::members::MemberRow;
use serving::members::UnusedRecord;
use serving::runner::Member;
use spdlog::info;
use spdlog::warn;

use crate::entry::Entry;
use crate::line_limits::LineCause;

/// How many characters of a record's key or service are logged.
const MAX_SHOWN_CHARS: usize = 200;

/// Why a record of the membership names no runner to use.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub(crate) enum UnusedCause {
    /// It cannot be decoded.
    #[display("unreadable")]
    Unreadable,
    /// The configuration does not name its service.
    #[display("unknown service")]
    UnnamedService,
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
        let now = self.now();
        for change in changes {
            match change {
                Change::Present(member) => self.apply_member(member),
                Change::Renewed(id) => self.state().fleet.renew(now, &id),
                Change::Gone(id) => self.remove_runner(&id),
                Change::Unused(record) => self.pass_over(&record),
            }
        }
        self.report_address_changes();
    }

    /// Logs which runners have gained or lost their address to others.
    pub(crate) fn report_address_changes(&self) {
        let now = self.now();
        let changes = self.state().fleet.take_address_changes();
        for change in changes {
            if let Some(omitted) = self.lines.admit(now, LineCause::Address) {
                let (runner, used) = (&*change.runner, change.used);
                info!("address claimed by several runners", kv: { runner, used, omitted });
            }
        }
    }

    fn remove_runner(&self, id: &Name) {
        info!("runner gone", kv: { runner = &**id });
        let mut state = self.state();
        state.fleet.leave(id);
        state.reconnects.remove(id);
        state.concurrency.remove(id);
        drop(state);
        self.conns.remove(id);
        self.leave_quota_agent(id);
        self.links.close(id);
    }

    /// Handles a record that names no runner to use.
    fn pass_over(&self, record: &UnusedRecord) {
        let cause = UnusedCause::UnnamedService;
        let shown: String = record.service.chars().take(MAX_SHOWN_CHARS).collect();
        self.report_unused(cause, &record.id, &shown);
        let is_known = self.state().fleet.get(&record.id).is_some();
        if is_known {
            self.remove_runner(&record.id);
        }
    }

    /// Logs and counts a record that is not used.
    pub(crate) fn report_unused(&self, cause: UnusedCause, key: &str, detail: &str) {
        let text = cause.to_string();
        let counter = &self.metrics.unused_records;
        counter.with_label_values(&[text.as_str()]).inc();
        let line = self.lines.admit(self.now(), LineCause::Record(cause));
        let Some(omitted) = line else {
            return;
        };
        let key: String = key.chars().take(MAX_SHOWN_CHARS).collect();
        warn!("record not used", kv: { cause = text.as_str(), key = key.as_str(), detail, omitted });
    }

    /// Applies the services of a configuration that takes effect.
    pub(crate) fn apply_services(self: &Arc<Self>, config: &Config) {
        let now = self.now();
        let services = config.service_names();
        let mut state = self.state();
        let changes = state.members.set_services(&services);
        state.fleet.set_services(now, services);
        let needs_reread = state.members.needs_reread();
        drop(state);
        self.apply_changes(changes);
        if needs_reread {
            info!("membership is read again, a service is new");
            self.mark_members_outdated();
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
        let is_used = state.is_used(&member.id);
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
        // The link of a runner that turns out to hold its address is opened by the maintenance.
        if has_engine && is_used {
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
        self.record_limits(&state);
        self.metrics
            .unnamed_records
            .set(state.members.unnamed_count() as i64);
        for (table, read_at) in &state.tables_read {
            let age = self.metrics.table_age_s.with_label_values(&[table.name()]);
            age.set(now.since(*read_at).as_secs_f64());
        }
        let unlinked = state
            .members
            .iter()
            .filter(|member| state.has_engine(&member.service) && !self.links.contains(&member.id))
            .filter(|member| state.is_used(&member.id));
        let unlinked: Vec<Member> = unlinked.cloned().collect();
        drop(state);
        for member in &unlinked {
            self.links.open(self, member);
        }
        self.apply_changes(changes);
        self.conns.close_expired(now);
    }
}
