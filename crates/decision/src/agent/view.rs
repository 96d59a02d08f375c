//! The published state of an agent: the report for entries, the counters and the dump.

use std::time::Duration;

use serde::Serialize;

use super::AgentCore;
use super::loads::LoadPhase;
use crate::drain::Reason;
use crate::drain::Remaining;
use crate::ids::Incarnation;
use crate::ids::Name;
use crate::ids::Priority;
use crate::job::Failure;
use crate::job::Outcome;
use crate::job::Refusal;
use crate::ledger::AttemptKey;
use crate::ledger::LedgerCounts;
use crate::report::Report;
use crate::slots::SlotState;
use crate::time::Time;

/// Totals since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// Attempts with a complete response.
    pub ran: u64,
    /// Attempts that were submitted and have no complete response.
    pub unknown: u64,
    /// Attempts that were not run, by reason, in the order of the variants of [`Refusal`].
    pub refused: [u64; 9],
    /// Responses that named another adapter than the requested one.
    pub wrong: u64,
    /// Successful loads.
    pub loads: u64,
    /// Failed loads.
    pub load_failures: u64,
    /// Successful unloads.
    pub unloads: u64,
    /// Lists of resident versions that differed from the slot table.
    pub drifts: u64,
    /// Jobs that had to wait for a load.
    pub stalls: u64,
    /// The total duration of these waits, in microseconds.
    pub stall_us: u64,
}

impl Counters {
    pub(super) fn count_refusal(&mut self, reason: Refusal) {
        self.refused[reason as usize] += 1;
    }

    pub(super) fn count_end(
        &mut self,
        stall: Duration,
        outcome: &Outcome,
        failure: &Option<Failure>,
    ) {
        match outcome {
            Outcome::Ran => self.ran += 1,
            Outcome::Unknown => self.unknown += 1,
            Outcome::NotRun(_) | Outcome::Pending => {}
        }
        self.wrong += matches!(failure, Some(Failure::WrongAdapter(_))) as u64;
        self.stalls += !stall.is_zero() as u64;
        self.stall_us += stall.as_micros() as u64;
    }
}

/// The state of one agent, for operators.
#[derive(Clone, Debug, Serialize)]
pub struct Dump {
    /// The name of the endpoint that the agent serves.
    pub endpoint: Name,
    /// The incarnation of the agent process, new at each start.
    pub incarnation: Incarnation,
    /// The configuration generation in effect; 0 before the first.
    pub generation: u64,
    /// Whether the engine responded to the last read of its resident versions.
    pub ready: bool,
    /// The number of running jobs and its limit.
    pub batch: (usize, u32),
    /// Queued and running jobs, by request and attempt.
    pub jobs: Vec<JobView>,
    /// Versions that occupy a slot of the engine, by name.
    pub slots: Vec<SlotView>,
    /// Loads that are being prepared or executed, by name of the version.
    pub loads: Vec<LoadView>,
    /// The state of the lease.
    pub lease: LeaseView,
    /// Numbers of attempts by state.
    pub ledger: LedgerCounts,
    /// Why the agent refuses new jobs; empty if it accepts them.
    pub draining: Vec<Reason>,
    /// The work that has to end before the agent can stop.
    pub remaining: Remaining,
    /// Totals since the start of the process.
    pub counters: Counters,
}

/// One queued or running job.
#[derive(Clone, Debug, Serialize)]
pub struct JobView {
    /// The request and the number of the attempt.
    pub key: AttemptKey,
    /// The served name of the target.
    pub target: Name,
    /// The priority class.
    pub priority: Priority,
    /// What the job is waiting for.
    pub waits: &'static str,
    /// The time until the deadline, in milliseconds; 0 once it has passed.
    pub left_ms: u64,
}

/// One version that occupies a slot of the engine.
#[derive(Clone, Debug, Serialize)]
pub struct SlotView {
    /// The served name.
    pub version: Name,
    /// Whether the version is loading, resident or unloading.
    pub state: SlotState,
    /// Why the version is not evicted now.
    pub reason: &'static str,
    /// The number of running jobs that use the version.
    pub pins: u32,
    /// The number of queued jobs that need the version; it stays loaded for them.
    #[serde(rename = "promises")]
    pub reservations: usize,
    /// The time since the last use, in milliseconds; `None` if no use is on record.
    pub unused_ms: Option<u64>,
    /// The expected time between two uses, in milliseconds.
    pub gap_ms: u64,
}

/// One load that is being prepared or executed.
#[derive(Clone, Debug, Serialize)]
pub struct LoadView {
    /// The served name.
    pub version: Name,
    /// What the load is waiting for.
    pub waits: String,
    /// The time since the load was requested or, once the engine is loading, since the command was
    /// sent; in milliseconds.
    pub since_ms: u64,
}

/// The state of the lease.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct LeaseView {
    /// Whether the process holds the lease, even if it may not send commands yet.
    pub held: bool,
    /// The fencing token; `None` if the lease does not allow commands now.
    pub token: Option<u64>,
    /// The time since the last confirmed renewal was sent, in milliseconds; `None` without a lease.
    pub age_ms: Option<u64>,
}

impl AgentCore {
    /// Returns the report for entries. Its sequence number increases whenever its content changes.
    pub fn report(&mut self, now: Time) -> Report {
        let mut report = self.build_report(now);
        if let Some(last) = &self.last_report {
            report.seq = last.seq;
            if *last == report {
                return report;
            }
            report.seq += 1;
        }
        self.last_report = Some(report.clone());
        report
    }

    /// Returns the totals since the start of the process.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Returns whether the lease allows load and unload commands now.
    pub fn may_command(&self, now: Time) -> bool {
        self.lease.token(now).is_some()
    }

    /// Returns the number of running jobs, and the numbers of queued jobs by priority class.
    pub fn job_counts(&self) -> (usize, [usize; 3]) {
        (self.running, self.queue.counts())
    }

    /// Returns whether a running job uses the version.
    pub fn is_pinned(&self, name: &str) -> bool {
        self.slots.pins(name) > 0
    }

    /// Returns whether the attempt is queued or running and belongs to a claimed request.
    pub fn is_claimed(&self, key: AttemptKey) -> bool {
        let active = self.jobs.get(&key);
        active.is_some_and(|active| active.job.claim.is_some())
    }

    /// Returns a snapshot of the state for operators.
    pub fn dump(&self, now: Time) -> Dump {
        let head = self.config.as_ref().map(|config| &config.head);
        Dump {
            endpoint: self.endpoint.clone(),
            incarnation: self.incarnation,
            generation: head.map_or(0, |head| head.generation),
            ready: self.engine_ready,
            batch: (self.running, self.batch_limit()),
            jobs: self.job_views(now),
            slots: self.slot_views(now),
            loads: self.load_views(now),
            lease: LeaseView {
                held: self.lease.is_held(),
                token: self.lease.token(now),
                age_ms: self.lease.age(now).map(|age| age.as_millis() as u64),
            },
            ledger: self.ledger.counts(),
            draining: self.drain.reasons().map(|(reason, _)| reason).collect(),
            remaining: self.remaining(),
            counters: self.counters,
        }
    }

    fn build_report(&self, now: Time) -> Report {
        let head = self.config.as_ref().map(|config| &config.head);
        let stalled: usize = self
            .queue
            .names()
            .filter(|name| !self.can_run(name))
            .map(|name| self.queue.count_for(name))
            .sum();
        let load = self.slots.load_time(now).as_secs_f64() * 1e3 + self.permit_wait_ms;
        Report {
            endpoint: self.endpoint.clone(),
            incarnation: self.incarnation,
            seq: 1,
            generation: head.map_or(0, |head| head.generation),
            running: self.running as u32,
            batch: self.batch_limit(),
            queued: (self.queue.len() - stalled) as u32,
            stalled: stalled as u32,
            slots: self.slots.limit() as u32,
            idle: (self.slots.free() + self.evictable()) as u32,
            service_ms: self.mean_service_ms as u32,
            load_ms: load as u32,
            resident: self.versions_in(|state| state == SlotState::Resident),
            loading: self.versions_in(|state| state == SlotState::Loading),
            draining: self.drain.refuses(),
            ready: self.engine_ready,
        }
    }

    fn batch_limit(&self) -> u32 {
        self.config.as_ref().map_or(0, |config| config.batch)
    }

    fn versions_in(&self, matches: impl Fn(SlotState) -> bool) -> Vec<Name> {
        let slots = self.slots.iter();
        let mut names: Vec<Name> = slots
            .filter(|(_, slot)| matches(slot.state))
            .map(|(name, _)| name.clone())
            .collect();
        names.sort_unstable();
        names
    }

    fn job_views(&self, now: Time) -> Vec<JobView> {
        let mut views: Vec<JobView> = self
            .jobs
            .iter()
            .map(|(key, active)| JobView {
                key: *key,
                target: active.job.target.served_name().clone(),
                priority: active.job.priority,
                waits: match (active.submitted_at, active.responded) {
                    (Some(_), true) => "end of answer",
                    (Some(_), false) => "answer of engine",
                    (None, _) if !self.engine_ready => "engine",
                    (None, _) if self.can_run(active.job.target.served_name()) => "place in batch",
                    (None, _) => "load",
                },
                left_ms: active.deadline.since(now).as_millis() as u64,
            })
            .collect();
        views.sort_unstable_by_key(|view| view.key);
        views
    }

    fn slot_views(&self, now: Time) -> Vec<SlotView> {
        let mut views: Vec<SlotView> = self
            .slots
            .iter()
            .map(|(name, slot)| {
                let (last, gap) = self.slots.usage(now, name);
                SlotView {
                    version: name.clone(),
                    state: slot.state,
                    reason: self.retention_reason(name),
                    pins: self.slots.pins(name),
                    reservations: self.queue.count_for(name),
                    unused_ms: last.map(|last| now.since(last).as_millis() as u64),
                    gap_ms: gap.as_millis() as u64,
                }
            })
            .collect();
        views.sort_unstable_by(|a, b| a.version.cmp(&b.version));
        views
    }

    fn retention_reason(&self, name: &Name) -> &'static str {
        if self.slots.pins(name) > 0 {
            "pinned by running jobs"
        } else if self.is_reserved(name) {
            "promised to queued jobs"
        } else if self.slots.is_withdrawn(name) {
            "withdrawn, to be unloaded"
        } else {
            "no other version needs the slot"
        }
    }

    fn load_views(&self, now: Time) -> Vec<LoadView> {
        let mut views: Vec<LoadView> = self
            .loads
            .iter()
            .map(|(name, load)| LoadView {
                version: name.clone(),
                waits: match &load.phase {
                    LoadPhase::AwaitingPermit(_) => "load permit".to_owned(),
                    LoadPhase::AwaitingSlot(victim, _) => format!("unload of {victim}"),
                    LoadPhase::Loading(_) => "engine".to_owned(),
                },
                since_ms: now.since(load.since).as_millis() as u64,
            })
            .collect();
        views.sort_unstable_by(|a, b| a.version.cmp(&b.version));
        views
    }
}
