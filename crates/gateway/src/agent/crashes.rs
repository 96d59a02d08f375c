//! What the agent makes of its runner's crashes: entries report the attempts that broke, and all entries
//! hear of the crash.

use serving::crash_reports::BrokenAttempt;
use serving::crash_reports::CrashNews;
use serving::link::FromAgent;
use serving::request::PartId;
use spdlog::info;

use super::AgentState;
use crate::recover::lock;

impl AgentState {
    pub(super) fn record_runner_seen(&self, born: u64, draining: bool) {
        lock(&self.crashes).runner_seen(self.now(), born, draining);
        self.tell_crashes();
    }

    pub(super) fn record_runner_down(&self) {
        lock(&self.crashes).runner_down(self.now());
        self.tell_crashes();
    }

    /// Records an attempt that broke; the runner's report is read at once, to learn whether it has crashed.
    pub(super) fn record_broken(&self, attempt: BrokenAttempt) {
        lock(&self.crashes).record_broken(self.now(), attempt);
        self.tell_crashes();
        self.wake.notify_one();
    }

    pub(super) fn record_vouch(&self, born: u64, parts: &[PartId]) {
        lock(&self.crashes).record_vouch(born, parts);
        self.tell_crashes();
    }

    pub(super) fn tell_served(&self, served: Vec<PartId>) {
        self.send_news(FromAgent::Served { served });
    }

    /// Returns the recent crashes, for an entry that connects or has missed some.
    pub(super) fn recent_crashes(&self) -> Vec<FromAgent> {
        let crashes = lock(&self.crashes).recent(self.now());
        let crashes = crashes.into_iter();
        crashes.map(|crash| FromAgent::Crash { crash }).collect()
    }

    fn tell_crashes(&self) {
        let changed = lock(&self.crashes).take_changed();
        for CrashNews { crash, is_new } in changed {
            if is_new {
                let (runner, born) = (&*crash.runner, crash.born);
                info!("runner crash", kv: { runner, born, begun = crash.begun, requests = crash.requests.len() });
                self.metrics.crashes.inc();
            }
            self.send_news(FromAgent::Crash { crash });
        }
    }

    fn send_news(&self, news: FromAgent) {
        // Without connected entries nobody has to hear of it now; those that connect are told.
        let _ = self.crash_news.send(news);
    }
}
