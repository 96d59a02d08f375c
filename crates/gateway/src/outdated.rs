//! Withdraws requests that would begin on an adapter version which is too old by then.
//!
//! Invariants: a request is never withdrawn after the head of its answer has arrived, since it runs already; one of
//! which a part was written may have run, and is treated so.
//!
//! Boundary: [`Versions`](serving::versions::Versions) decides; this module waits, closes and logs.

use std::time::Duration;

use decision::time::Time;
use serving::placement::Placement;
use serving::silence;
use serving::versions::Successor;
use serving::versions::Validity;
use spdlog::info;

use crate::answer::AnswerReader;
use crate::attempt::FailedAttempt;
use crate::attempt::RunningAttempt;
use crate::dispatch::ActiveRequest;
use crate::entry::Entry;
use crate::send_check::Withhold;

impl ActiveRequest {
    /// Returns whether requests are no longer sent for the version that the chosen runner holds; what the
    /// request has waited for since then may have taken a while.
    pub(crate) fn is_outdated(&self, now: Time, placement: &Placement) -> bool {
        let Some(adapter) = self.adapter() else {
            return false;
        };
        let grace = self.entry.version_grace();
        let version = placement.access.version();
        let validity = self.entry.validity(now, adapter, version, grace);
        let Validity::Outdated(successor) = validity else {
            return false;
        };
        info!("request not written", kv: {
            id = &*self.head.request.id, runner = &*placement.runner,
            cause = Withhold::VersionOutdated.to_string().as_str(), version, newest = successor.version
        });
        true
    }
}

impl Entry {
    fn validity(&self, now: Time, adapter: &str, version: u64, limit: Duration) -> Validity {
        let state = self.state();
        state.versions.validity(now, adapter, version, limit)
    }
}

impl AnswerReader {
    /// Waits until the version that the request names is too old; forever if it needs no adapter.
    pub(crate) async fn outdated(&self) -> Successor {
        let Some(adapter) = &self.adapter else {
            return std::future::pending().await;
        };
        let limit = self.entry.version_limit();
        loop {
            let changed = self.entry.versions_changed.notified();
            let now = self.entry.now();
            match self.entry.validity(now, adapter, self.version, limit) {
                Validity::Outdated(successor) => return successor,
                Validity::Valid(None) => changed.await,
                Validity::Valid(Some(end)) => {
                    let end = self.entry.clock.instant(end);
                    // A later announcement may take effect earlier, if it is older.
                    let _ = tokio::time::timeout_at(end, changed).await;
                }
            }
        }
    }

    /// Ends an attempt whose version is too old. Closing its connection keeps the runner from beginning it.
    pub(crate) fn withdraw(&self, attempt: RunningAttempt, successor: Successor) -> FailedAttempt {
        let unwritten = attempt.conn.as_ref().and_then(|conn| conn.check.end());
        if unwritten.is_some() {
            return self.withhold(attempt, Withhold::VersionOutdated);
        }
        self.record_withdrawal(successor);
        FailedAttempt {
            is_outdated: true,
            ..self.time_out(attempt)
        }
    }

    fn record_withdrawal(&self, successor: Successor) {
        let now = self.entry.now();
        let state = self.entry.state();
        let view = state.fleet.get(&self.runner);
        let view = view.filter(|view| view.member.born == self.born);
        let heard_at = view.and_then(|view| view.heard_at);
        drop(state);
        let scope = silence::scope(now, self.sent_at, heard_at).to_string();
        let counter = &self.entry.metrics.outdated_attempts;
        counter.with_label_values(&[scope.as_str()]).inc();
        let age = successor.announced_at.map(|at| now.since(at));
        info!("attempt withdrawn", kv: {
            id = &*self.id, runner = &*self.runner, adapter = self.adapter.as_deref().unwrap_or_default(),
            version = self.version, newest = successor.version,
            newest_ms = age.unwrap_or_default().as_millis() as u64,
            silent_ms = now.since(self.sent_at).as_millis() as u64, scope = scope.as_str()
        });
    }
}
