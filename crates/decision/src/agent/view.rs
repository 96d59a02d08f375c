//! What an agent shows of its state: the report, the counters and the dump.

use std::time::Duration;

use serde::Serialize;

use super::AgentCore;
use super::loads::Phase;
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
    /// Attempts whose whole answer arrived.
    pub ran: u64,
    /// Attempts that were submitted and have no whole answer.
    pub unknown: u64,
    /// Attempts not run, by reason, in the order of [`Refusal`].
    pub refused: [u64; 9],
    /// Answers that named another adapter.
    pub wrong: u64,
    /// Finished loads.
    pub loads: u64,
    /// Failed loads.
    pub load_failures: u64,
    /// Finished unloads.
    pub unloads: u64,
    /// Resident lists that differed from the slot table.
    pub drifts: u64,
    /// Jobs that waited for a load.
    pub stalls: u64,
    /// The total time of these waits, in microseconds.
    pub stall_us: u64,
}

impl Counters {
    pub(super) fn count(&mut self, reason: Refusal) {
        self.refused[reason as usize] += 1;
    }

    pub(super) fn note_end(
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
    /// The endpoint.
    pub endpoint: Name,
    /// The incarnation.
    pub incarnation: Incarnation,
    /// The generation in force.
    pub generation: u64,
    /// Whether the engine is ready.
    pub ready: bool,
    /// Running jobs and the batch limit.
    pub batch: (usize, u32),
    /// Queued and running jobs.
    pub jobs: Vec<JobView>,
    /// Versions in the engine.
    pub slots: Vec<SlotView>,
    /// Versions on their way into the engine.
    pub loads: Vec<LoadView>,
    /// The state of the lease.
    pub lease: LeaseView,
    /// Numbers of attempts.
    pub ledger: LedgerCounts,
    /// Why no new work is taken.
    pub draining: Vec<Reason>,
    /// What is still in progress.
    pub remaining: Remaining,
    /// Totals since the start.
    pub counters: Counters,
}

/// One queued or running job.
#[derive(Clone, Debug, Serialize)]
pub struct JobView {
    /// The attempt.
    pub key: AttemptKey,
    /// The served name.
    pub target: Name,
    /// The class.
    pub priority: Priority,
    /// What the job waits for.
    pub waits: &'static str,
    /// The time until its deadline, in milliseconds.
    pub left_ms: u64,
}

/// One version in the engine.
#[derive(Clone, Debug, Serialize)]
pub struct SlotView {
    /// The served name.
    pub version: Name,
    /// The state.
    pub state: SlotState,
    /// Why it is not evicted now.
    pub reason: &'static str,
    /// Running jobs.
    pub pins: u32,
    /// Queued jobs.
    pub promises: usize,
    /// The time since the last use, in milliseconds.
    pub unused_ms: Option<u64>,
    /// The expected time between uses, in milliseconds.
    pub gap_ms: u64,
}

/// One version on its way into the engine.
#[derive(Clone, Debug, Serialize)]
pub struct LoadView {
    /// The served name.
    pub version: Name,
    /// What the load waits for.
    pub waits: String,
    /// The time since that wait began, in milliseconds.
    pub since_ms: u64,
}

/// The state of the lease.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct LeaseView {
    /// Whether the process holds it.
    pub held: bool,
    /// The fencing token, if commands are allowed.
    pub token: Option<u64>,
    /// The time since the last renewal, in milliseconds.
    pub age_ms: Option<u64>,
}

impl AgentCore {
    /// Returns the report for entries; its number changes when its content does.
    pub fn report(&mut self, now: Time) -> Report {
        let mut report = self.build_report(now);
        if let Some(last) = &self.report {
            report.seq = last.seq;
            if *last == report {
                return report;
            }
            report.seq += 1;
        }
        self.report = Some(report.clone());
        report
    }

    /// Returns the totals since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Returns whether the lease allows commands now.
    pub fn may_command(&self, now: Time) -> bool {
        self.lease.token(now).is_some()
    }

    /// Returns the numbers of running jobs and of queued jobs by class.
    pub fn job_counts(&self) -> (usize, [usize; 3]) {
        (self.running, self.queue.counts())
    }

    /// Returns whether a version is pinned by a running job.
    pub fn is_pinned(&self, name: &str) -> bool {
        self.slots.pins(name) > 0
    }

    /// Returns whether a queued or running attempt is claimed.
    pub fn is_claimed(&self, key: AttemptKey) -> bool {
        let live = self.jobs.get(&key);
        live.is_some_and(|live| live.job.claim.is_some())
    }

    /// Returns the state for operators.
    pub fn dump(&self, now: Time) -> Dump {
        let head = self.config.as_ref().map(|config| &config.head);
        Dump {
            endpoint: self.endpoint.clone(),
            incarnation: self.own,
            generation: head.map_or(0, |head| head.generation),
            ready: self.ready,
            batch: (self.running, self.batch()),
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
            .filter(|name| !self.is_ready(name))
            .map(|name| self.queue.count_for(name))
            .sum();
        let load = self.slots.load_time(now).as_secs_f64() * 1e3 + self.permit_ms;
        Report {
            endpoint: self.endpoint.clone(),
            incarnation: self.own,
            seq: 1,
            generation: head.map_or(0, |head| head.generation),
            running: self.running as u32,
            batch: self.batch(),
            queued: (self.queue.len() - stalled) as u32,
            stalled: stalled as u32,
            slots: self.slots.limit() as u32,
            idle: (self.slots.free() + self.idle()) as u32,
            service_ms: self.service_ms as u32,
            load_ms: load as u32,
            resident: self.versions(|state| state == SlotState::Resident),
            loading: self.versions(|state| state == SlotState::Loading),
            draining: self.drain.refuses(),
            ready: self.ready,
        }
    }

    fn batch(&self) -> u32 {
        self.config.as_ref().map_or(0, |config| config.batch)
    }

    fn versions(&self, wanted: impl Fn(SlotState) -> bool) -> Vec<Name> {
        let slots = self.slots.iter();
        let mut names: Vec<Name> = slots
            .filter(|(_, slot)| wanted(slot.state))
            .map(|(name, _)| name.clone())
            .collect();
        names.sort_unstable();
        names
    }

    fn job_views(&self, now: Time) -> Vec<JobView> {
        let mut views: Vec<JobView> = self
            .jobs
            .iter()
            .map(|(key, live)| JobView {
                key: *key,
                target: live.job.target.served_name().clone(),
                priority: live.job.priority,
                waits: match (live.started, live.answered) {
                    (Some(_), true) => "end of answer",
                    (Some(_), false) => "answer of engine",
                    (None, _) if !self.ready => "engine",
                    (None, _) if self.is_ready(live.job.target.served_name()) => "place in batch",
                    (None, _) => "load",
                },
                left_ms: live.deadline.since(now).as_millis() as u64,
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
                    reason: self.keep_reason(name),
                    pins: self.slots.pins(name),
                    promises: self.queue.count_for(name),
                    unused_ms: last.map(|last| now.since(last).as_millis() as u64),
                    gap_ms: gap.as_millis() as u64,
                }
            })
            .collect();
        views.sort_unstable_by(|a, b| a.version.cmp(&b.version));
        views
    }

    fn keep_reason(&self, name: &Name) -> &'static str {
        if self.slots.pins(name) > 0 {
            "pinned by running jobs"
        } else if self.is_promised(name) {
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
                    Phase::Permit(_) => "load permit".to_owned(),
                    Phase::Slot(victim, _) => format!("unload of {victim}"),
                    Phase::Engine(_) => "engine".to_owned(),
                },
                since_ms: now.since(load.since).as_millis() as u64,
            })
            .collect();
        views.sort_unstable_by(|a, b| a.version.cmp(&b.version));
        views
    }
}
