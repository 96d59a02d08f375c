//! Finds out whether runners without an agent have crashed when attempts break there.

use std::sync::Arc;
use std::time::Duration;

use decision::time::Time;
use serving::crash_reports::BrokenAttempt;
use serving::crash_watch::CheckResult;
use serving::crash_watch::RunnerCheck;
use serving::placement::Placement;
use spdlog::info;

use crate::attempt::AnswerProgress;
use crate::attempt::FailedAttempt;
use crate::conns::ConnectFailure;
use crate::dispatch::ActiveRequest;
use crate::entry::Entry;

/// The wait when no check is due.
const IDLE_WAIT: Duration = Duration::from_secs(60);

impl ActiveRequest {
    /// Records a failed attempt if it broke.
    pub(crate) fn report_failed(&self, placement: &Placement, failed: &FailedAttempt) {
        if let (Some(progress), Some(sent_at)) = (failed.broken, failed.sent_at) {
            self.report_broken(placement, sent_at, progress);
        }
    }

    /// Records an attempt that broke before its answer, in case the runner has crashed: with the
    /// runner's agent, or else with the entry's own watch.
    fn report_broken(&self, placement: &Placement, sent_at: Time, progress: AnswerProgress) {
        let (runner, born) = (&placement.runner, placement.born);
        let whole = self.fingerprint();
        let parts = &self.head.request.parts;
        let now = self.entry.now();
        let mut state = self.entry.state();
        let state = &mut *state;
        let Some(view) = state.fleet.get(runner) else {
            return;
        };
        // A runner that leaves ends with requests that it has not answered.
        if view.member.born != born || !view.accepts_requests() {
            return;
        }
        let attempt = BrokenAttempt {
            runner: runner.clone(),
            born,
            begun: progress == AnswerProgress::Begun,
            parts: parts.clone(),
            served: state.quarantine.record_report(now, runner, born, parts),
            whole: Some(whole),
        };
        if view.collects_crashes() {
            self.entry.tell_broken(attempt);
            return;
        }
        let addr = view.member.addr;
        state.crash_watch.record_broken(now, sent_at, addr, attempt);
        self.entry.crash_check_due.notify_one();
    }
}

impl Entry {
    /// Records that the process of an incarnation of a runner has ended: its address refuses connections,
    /// or another one answers there.
    pub(crate) fn record_runner_ended(&self, runner: &str, born: u64) {
        let now = self.now();
        let watch = &mut self.state().crash_watch;
        watch.record_check(now, runner, born, CheckResult::Ended);
        self.crash_check_due.notify_one();
    }

    /// Records the crashes that have been found, and shares them.
    fn take_crashes(&self) {
        let crashes = self.state().crash_watch.take_crashes();
        let now = self.now();
        for crash in crashes {
            let (runner, born, requests) = (&*crash.runner, crash.born, crash.whole.len());
            info!("runner crash found", kv: { runner, born, requests });
            self.share_crash(&crash);
            self.record_crash(now, crash);
        }
    }

    async fn check_runner(&self, check: RunnerCheck) {
        let RunnerCheck { runner, born, addr } = check;
        let result = match self.conns.open(self.now(), addr).await {
            Ok(conn) => {
                let now = self.now();
                self.conns.put_idle(now, &runner, born, conn, None);
                CheckResult::Unclear
            }
            Err(error) if error.kind == ConnectFailure::Refused => CheckResult::Ended,
            Err(_) => CheckResult::Unclear,
        };
        let now = self.now();
        let watch = &mut self.state().crash_watch;
        watch.record_check(now, &runner, born, result);
    }
}

/// Makes the checks that are due, and takes the crashes that follow.
pub(crate) async fn check_runners(entry: Arc<Entry>) {
    loop {
        let now = entry.now();
        let due = entry.state().crash_watch.due_checks(now);
        futures::future::join_all(due.into_iter().map(|check| entry.check_runner(check))).await;
        entry.take_crashes();
        let next = entry.state().crash_watch.next_check();
        let next = next.unwrap_or(entry.now().after(IDLE_WAIT));
        tokio::select! {
            () = tokio::time::sleep_until(entry.clock.instant(next)) => {}
            () = entry.crash_check_due.notified() => {}
        }
    }
}
