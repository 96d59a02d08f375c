//! Puts together what entries report of a crash of the agent's runner.
//!
//! An entry reports each attempt that ended before its answer; only the agent knows whether its runner
//! has crashed, or whether the connection, the answer or a planned stop is to blame.
//!
//! Invariants: reports make a crash only if the runner's process has ended without a drain, within
//! [`CONFIRMATION_PERIOD`]; the number of crashes and of reports is bounded.

use std::collections::VecDeque;
use std::time::Duration;

use decision::time::Time;
use serde::Deserialize;
use serde::Serialize;

use crate::Name;
use crate::quarantine::Crash;
use crate::quarantine::MAX_CRASH_REQUESTS;
use crate::request::PartId;

/// The longest time between a report and the end of the runner's process, in either order.
const CONFIRMATION_PERIOD: Duration = Duration::from_secs(3);
/// How long a crash is told to entries that connect.
const CRASH_MEMORY: Duration = Duration::from_secs(60);
/// The most reports of one incarnation, and the most parts of which it is known that they were served.
const MAX_REPORTS: usize = 128;
/// The most incarnations whose reports or ends are kept.
const MAX_INCARNATIONS: usize = 16;

/// An attempt that ended before its answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BrokenAttempt {
    /// The identifier of the runner.
    #[serde(rename = "r")]
    pub runner: Name,
    /// The start of its incarnation, in milliseconds since the Unix epoch.
    #[serde(rename = "b")]
    pub born: u64,
    /// Whether the answer had begun.
    #[serde(rename = "g")]
    pub begun: bool,
    /// The shared parts of the request's prompt, in their order.
    #[serde(rename = "q")]
    pub parts: Vec<PartId>,
    /// Those of the parts on which the entry has served requests before.
    #[serde(rename = "s", default, skip_serializing_if = "Vec::is_empty")]
    pub served: Vec<PartId>,
    /// The fingerprint of the request; `None` in reports of an older release.
    #[serde(rename = "w", default, skip_serializing_if = "Option::is_none")]
    pub whole: Option<PartId>,
}

/// A report, as one of the incarnation's.
#[derive(Debug)]
struct Report {
    at: Time,
    begun: bool,
    parts: Vec<PartId>,
    whole: Option<PartId>,
}

/// What is known of one incarnation of the runner.
#[derive(Debug)]
struct Incarnation {
    born: u64,
    runner: Name,
    /// The reports, the oldest first.
    reports: VecDeque<Report>,
    served: Vec<PartId>,
    /// When its process ended, unless it was draining.
    crashed_at: Option<Time>,
    /// Whether something has changed since the crash was last told.
    changed: bool,
    told: bool,
}

/// A crash of which something is new.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashNews {
    /// All that is known of it.
    pub crash: Crash,
    /// Whether it was not told before.
    pub is_new: bool,
}

/// The reports about the runner of one agent.
#[derive(Debug, Default)]
pub struct CrashReports {
    /// The oldest first.
    incarnations: VecDeque<Incarnation>,
    /// The incarnation that answered last, and whether it was draining.
    last_seen: Option<(u64, bool)>,
}

impl CrashReports {
    /// Records a report of an entry.
    pub fn record_broken(&mut self, now: Time, attempt: BrokenAttempt) {
        let known = self.incarnation(attempt.born);
        known.runner = attempt.runner;
        known.add_report(Report {
            at: now,
            begun: attempt.begun,
            parts: attempt.parts,
            whole: attempt.whole,
        });
        known.add_served(&attempt.served);
    }

    /// Records that an entry has served requests on these parts before the crash.
    pub fn record_vouch(&mut self, born: u64, parts: &[PartId]) {
        let mut known = self.incarnations.iter_mut();
        if let Some(known) = known.find(|known| known.born == born) {
            known.add_served(parts);
        }
    }

    /// Records a report of the runner itself.
    pub fn runner_seen(&mut self, now: Time, born: u64, draining: bool) {
        if let Some((known, drained)) = self.last_seen
            && known != born
            && !drained
        {
            self.mark_crashed(now, known);
        }
        self.last_seen = Some((born, draining));
        let mut known = self.incarnations.iter_mut();
        if let Some(known) = known.find(|known| known.born == born) {
            // It only did not answer for a while.
            known.crashed_at = None;
        }
    }

    /// Records that the runner refuses connections.
    pub fn runner_down(&mut self, now: Time) {
        if let Some((born, false)) = self.last_seen {
            self.mark_crashed(now, born);
        }
    }

    /// Returns the crashes of which something is new, for all entries.
    pub fn take_changed(&mut self) -> Vec<CrashNews> {
        let mut news = Vec::new();
        for known in &mut self.incarnations {
            if known.changed
                && let Some(crash) = known.crash()
            {
                known.changed = false;
                let is_new = !std::mem::replace(&mut known.told, true);
                news.push(CrashNews { crash, is_new });
            }
        }
        news
    }

    /// Returns the recent crashes, for an entry that connects.
    pub fn recent(&self, now: Time) -> Vec<Crash> {
        let recent = self.incarnations.iter().filter(|known| {
            let crashed_at = known.crashed_at;
            crashed_at.is_some_and(|at| now.since(at) < CRASH_MEMORY)
        });
        recent.filter_map(Incarnation::crash).collect()
    }

    fn mark_crashed(&mut self, now: Time, born: u64) {
        let known = self.incarnation(born);
        if known.crashed_at.is_none() {
            known.crashed_at = Some(now);
            known.changed = true;
        }
    }

    fn incarnation(&mut self, born: u64) -> &mut Incarnation {
        let found = self
            .incarnations
            .iter()
            .position(|known| known.born == born);
        let index = found.unwrap_or_else(|| {
            if self.incarnations.len() >= MAX_INCARNATIONS {
                self.incarnations.pop_front();
            }
            self.incarnations.push_back(Incarnation::new(born));
            self.incarnations.len() - 1
        });
        &mut self.incarnations[index]
    }
}

impl Incarnation {
    fn new(born: u64) -> Self {
        Incarnation {
            born,
            runner: Name::from(""),
            reports: VecDeque::new(),
            served: Vec::new(),
            crashed_at: None,
            changed: false,
            told: false,
        }
    }

    fn add_report(&mut self, report: Report) {
        match self.crashed_at {
            Some(at) if report.at.since(at) > CONFIRMATION_PERIOD => return,
            Some(_) => {}
            None => self.forget_reports(report.at),
        }
        let mut known = self.reports.iter();
        let repeated = known.any(|known| {
            (known.begun, &known.parts, known.whole) == (report.begun, &report.parts, report.whole)
        });
        if !repeated && self.reports.len() < MAX_REPORTS {
            self.reports.push_back(report);
            self.changed = true;
        }
    }

    /// Forgets the reports that are too old to belong to a crash at `now`.
    fn forget_reports(&mut self, now: Time) {
        let before = self.reports.len();
        self.reports
            .retain(|report| now.since(report.at) <= CONFIRMATION_PERIOD);
        if self.reports.len() == before {
            return;
        }
        let reports = &self.reports;
        self.served
            .retain(|part| reports.iter().any(|report| report.parts.contains(part)));
    }

    fn add_served(&mut self, parts: &[PartId]) {
        for part in parts {
            if self.served.len() < MAX_REPORTS && !self.served.contains(part) {
                self.served.push(*part);
                self.changed = true;
            }
        }
    }

    /// Returns the crash, if there are reports of it. Where answers had begun, only the parts of their
    /// requests are suspect.
    fn crash(&self) -> Option<Crash> {
        let crashed_at = self.crashed_at?;
        let is_near = |report: &&Report| {
            let distance = report.at.since(crashed_at) + crashed_at.since(report.at);
            distance <= CONFIRMATION_PERIOD
        };
        let near: Vec<&Report> = self.reports.iter().filter(is_near).collect();
        let with_parts: Vec<&Report> = near
            .iter()
            .copied()
            .filter(|report| !report.parts.is_empty())
            .collect();
        let begun = with_parts.iter().any(|report| report.begun);
        let suspect = with_parts.iter().filter(|report| report.begun == begun);
        let requests: Vec<Vec<PartId>> = suspect
            .take(MAX_CRASH_REQUESTS)
            .map(|report| report.parts.clone())
            .collect();
        let whole = near.iter().filter_map(|report| report.whole);
        let whole: Vec<PartId> = whole.take(MAX_CRASH_REQUESTS).collect();
        if requests.is_empty() && whole.is_empty() {
            return None;
        }
        let listed = |part: &&PartId| requests.iter().any(|parts| parts.contains(part));
        let served = self.served.iter().filter(listed).copied().collect();
        Some(Crash {
            runner: self.runner.clone(),
            born: self.born,
            begun,
            requests,
            served,
            whole,
        })
    }
}
