//! Finds the crashes of runners that no agent watches, from what one entry sees of them.
//!
//! An attempt that broke is no crash yet: the connection, the answer or a planned stop may be to blame.
//! The runner's address tells: it refuses connections, or another incarnation answers there or is
//! known to be there. An answer of the incarnation itself tells that it lives.
//!
//! Invariants: an incarnation is checked a few times at most, however many attempts broke; the number
//! of watched runners is bounded.
//!
//! API boundary: an entry records the attempts that broke, opens the connections that
//! [`CrashWatch::due_checks`] asks for, and takes the crashes that follow.

use std::net::SocketAddr;
use std::time::Duration;

use decision::collections::Map;
use decision::time::Time;

use crate::Name;
use crate::crash_reports::BrokenAttempt;
use crate::crash_reports::CrashReports;
use crate::quarantine::Crash;

/// The most runners that are watched; the one whose last attempt broke first is forgotten.
const MAX_RUNNERS: usize = 256;
/// The longest time from the last broken attempt to the news that its incarnation has ended. The news of
/// the next one may be delayed by the store.
const NEWS_PERIOD: Duration = Duration::from_secs(8);
/// The delays of the checks: of the first after the attempt, of the others after the one before. A
/// process that crashes may take a moment to close its port.
const CHECK_DELAYS: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(120),
    Duration::from_millis(400),
];

/// A connection that is to be opened, to see whether an incarnation lives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunnerCheck {
    /// The identifier of the runner.
    pub runner: Name,
    /// The start of the incarnation, in milliseconds since the Unix epoch.
    pub born: u64,
    /// The address at which it accepted requests.
    pub addr: SocketAddr,
}

/// What came of a check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CheckResult {
    /// The connection was refused, or another incarnation has answered: the process has ended.
    Ended,
    /// A process accepted the connection, or nothing answered.
    Unclear,
}

#[derive(Debug)]
struct Watched {
    addr: SocketAddr,
    born: u64,
    reports: CrashReports,
    /// When the first attempt broke since the last answer.
    broken_since: Time,
    /// When the last attempt broke that had been sent by then.
    broken_at: Time,
    /// The checks of the incarnation that were made.
    checks: usize,
    /// When the next one is due; `None` if none is.
    check_at: Option<Time>,
    crashed: bool,
}

/// The runners on which attempts of one entry broke lately.
#[derive(Debug, Default)]
pub struct CrashWatch {
    runners: Map<Name, Watched>,
}

impl CrashWatch {
    /// Records an attempt, sent at `sent_at`, that broke at the runner with this address. One that was sent
    /// after another one broke there met a runner that had ended, and is not to blame.
    pub fn record_broken(
        &mut self,
        now: Time,
        sent_at: Time,
        addr: SocketAddr,
        attempt: BrokenAttempt,
    ) {
        let (runner, born) = (attempt.runner.clone(), attempt.born);
        let known = self.runners.get(&runner);
        if known.is_none_or(|known| known.born < born) {
            self.watch(now, runner.clone(), born, addr);
        }
        let Some(watched) = self.runners.get_mut(&runner) else {
            return;
        };
        if sent_at > watched.broken_since {
            return;
        }
        watched.broken_at = now;
        let is_idle = watched.check_at.is_none() && !watched.crashed && watched.born == born;
        if is_idle && watched.checks < CHECK_DELAYS.len() {
            watched.check_at = Some(now.after(CHECK_DELAYS[watched.checks]));
        }
        watched.reports.record_broken(now, attempt);
    }

    /// Returns the checks that are due, which the caller makes now.
    pub fn due_checks(&mut self, now: Time) -> Vec<RunnerCheck> {
        let mut due = Vec::new();
        for (runner, watched) in &mut self.runners {
            if watched.check_at.is_some_and(|at| now >= at) {
                watched.check_at = None;
                watched.checks += 1;
                due.push(RunnerCheck {
                    runner: runner.clone(),
                    born: watched.born,
                    addr: watched.addr,
                });
            }
        }
        due
    }

    /// Returns when the next check is due.
    pub fn next_check(&self) -> Option<Time> {
        let checks = self.runners.values().filter_map(|w| w.check_at);
        checks.min()
    }

    /// Records the result of a check, or of another connection to the runner.
    pub fn record_check(&mut self, now: Time, runner: &str, born: u64, result: CheckResult) {
        let watched = self.runners.get_mut(runner);
        let Some(watched) = watched.filter(|watched| watched.born == born) else {
            return;
        };
        match result {
            CheckResult::Ended => watched.mark_crashed(now),
            CheckResult::Unclear if watched.checks < CHECK_DELAYS.len() => {
                watched.check_at = Some(now.after(CHECK_DELAYS[watched.checks]));
            }
            CheckResult::Unclear => {}
        }
    }

    /// Records that an incarnation has answered a request: what broke before was no crash of it.
    pub fn record_answer(&mut self, runner: &str, born: u64) {
        let watched = self.runners.get(runner);
        if watched.is_some_and(|watched| watched.born == born && !watched.crashed) {
            self.runners.remove(runner);
        }
    }

    /// Records that an incarnation has started at an address: an earlier one there has ended.
    pub fn record_start(&mut self, now: Time, runner: &str, addr: SocketAddr, born: u64) {
        for (id, watched) in &mut self.runners {
            let same_place = **id == *runner || watched.addr == addr;
            if same_place && watched.born < born {
                watched.mark_crashed(now);
            }
        }
    }

    /// Returns the crashes of which something is new.
    pub fn take_crashes(&mut self) -> Vec<Crash> {
        let runners = self.runners.values_mut();
        let news = runners.flat_map(|watched| watched.reports.take_changed());
        news.map(|news| news.crash).collect()
    }

    /// Watches an incarnation in place of an earlier one.
    fn watch(&mut self, now: Time, runner: Name, born: u64, addr: SocketAddr) {
        if self.runners.len() >= MAX_RUNNERS && !self.runners.contains_key(&runner) {
            let oldest = self.runners.iter().min_by_key(|(_, w)| w.broken_at);
            if let Some(oldest) = oldest.map(|(id, _)| id.clone()) {
                self.runners.remove(&oldest);
            }
        }
        let mut reports = CrashReports::default();
        reports.runner_seen(now, born, false);
        let watched = Watched {
            addr,
            born,
            reports,
            broken_since: now,
            broken_at: now,
            checks: 0,
            check_at: None,
            crashed: false,
        };
        self.runners.insert(runner, watched);
    }
}

impl Watched {
    fn mark_crashed(&mut self, now: Time) {
        self.check_at = None;
        if self.crashed || now.since(self.broken_at) > NEWS_PERIOD {
            return;
        }
        self.crashed = true;
        self.reports.runner_down(self.broken_at);
    }
}
