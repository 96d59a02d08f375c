//! The search for a runner that can take a request and has its adapter.
//!
//! Invariants: a request that can't be in time is refused before it asks for its adapter.

use std::time::Duration;

use decision::time::Time;
use serving::Name;
use serving::placement::Access;
use serving::placement::NoRunner;
use serving::placement::Placement;
use serving::placement::Requirements;
use serving::placement::load_time;

use crate::dispatch::Cause;
use crate::dispatch::Ended;
use crate::dispatch::Job;

/// How long a request waits for an adapter or a runner, in multiples of its goal.
const HOLD_GOALS: f64 = 2.0;
/// The part of the caller's patience after which a request that was not sent is refused.
const HOLD_PATIENCE: f64 = 0.6;
/// How often a request tells an agent that it still waits for an adapter.
const RENEW_INTERVAL: Duration = Duration::from_millis(350);
/// How much later than expected an adapter may arrive before a runner is chosen again.
const ARRIVAL_MARGIN: Duration = Duration::from_millis(20);
/// The longest wait for one change before a runner is chosen again.
const RECHECK: Duration = Duration::from_millis(150);

impl Job {
    /// Waits until a runner can take the request and has its adapter.
    pub(crate) async fn locate(&mut self) -> Result<Placement, Ended> {
        let begun = self.entry.now();
        let patience = self.deadline.since(begun).mul_f64(HOLD_PATIENCE);
        let hold = self.route.goal.mul_f64(HOLD_GOALS).min(patience);
        let limit = begun.after(hold);
        let mut asked = begun;
        loop {
            let now = self.entry.now();
            let placed = match self.place(now) {
                Ok(placed) => placed,
                Err(cause) if self.attempts.may_have_run() => {
                    return Err(Ended::Unknown(Cause::NoRunner(cause)));
                }
                Err(cause) => return Err(Ended::Refused(Cause::NoRunner(cause))),
            };
            if placed.wait > limit.since(now) && !matches!(placed.access, Access::Ready { .. }) {
                // Its demand would only delay the adapters of requests that can still be in time.
                self.held += now.since(begun);
                return Err(self.held_too_long());
            }
            let until = match placed.access {
                Access::Ready { .. } => {
                    self.held += now.since(begun);
                    return Ok(placed);
                }
                Access::Coming(ready) if now < asked.after(RENEW_INTERVAL) => ready,
                Access::Coming(ready) => {
                    asked = now;
                    self.renew_want(&placed.runner);
                    ready
                }
                Access::Absent => {
                    asked = now;
                    self.ask_for_adapter(now, &placed.runner)
                }
            };
            if now >= limit {
                self.held += now.since(begun);
                return Err(self.held_too_long());
            }
            let wake = until
                .after(ARRIVAL_MARGIN)
                .min(now.after(RECHECK))
                .min(limit);
            let wake = self.entry.timer.instant(wake);
            self.entry.links.changed(&placed.runner, wake).await;
        }
    }

    fn held_too_long(&self) -> Ended {
        let cause = Cause::HeldTooLong;
        if self.attempts.may_have_run() {
            Ended::Unknown(cause)
        } else {
            Ended::Refused(cause)
        }
    }

    fn place(&mut self, now: Time) -> Result<Placement, NoRunner> {
        let entry = self.entry.clone();
        let mut state = entry.state();
        let state = &mut *state;
        let artifact = self.head.request.artifact.as_ref();
        let adapter = artifact.and_then(|artifact| artifact.adapter.as_ref());
        let grace = entry.version_grace();
        let required = adapter.map_or(0, |adapter| state.versions.min_version(now, adapter, grace));
        let mut want = Requirements {
            service: &self.service,
            artifact,
            min_version: required,
            excluded: &self.avoid,
            only_runner: self.attempts.only_runner(),
        };
        if let (Some(adapter), Duration::ZERO, 0) = (adapter, self.held, self.sends) {
            state.fleet.demand.record(now, adapter, 1);
        }
        let mut placed = state.fleet.place(now, &mut state.rng, &want);
        let barred = self.attempts.excluded();
        if placed.is_err() && barred.len() < self.avoid.len() {
            // Every other runner is unfit; the one that turned the request away is better than none.
            want.excluded = barred;
            placed = state.fleet.place(now, &mut state.rng, &want);
        }
        let placed = placed?;
        self.last = Some(placed.clone());
        if let (Some(replica), Some(adapter)) = (&placed.replica, adapter) {
            let version = state.versions.newest(adapter);
            entry.links.want(replica, adapter, version, false);
        }
        Ok(placed)
    }

    /// Asks a runner's agent for the adapter and returns when it is expected.
    fn ask_for_adapter(&self, now: Time, runner: &Name) -> Time {
        let artifact = self.head.request.artifact.as_ref();
        let Some(adapter) = artifact.and_then(|artifact| artifact.adapter.as_ref()) else {
            return now;
        };
        let mut state = self.entry.state();
        let version = state.versions.newest(adapter);
        let time = state
            .fleet
            .get(runner)
            .map(|runner| load_time(runner, adapter));
        let ready = now.after(time.unwrap_or(RECHECK));
        state.fleet.expect_adapter(runner, adapter, version, ready);
        drop(state);
        self.entry.links.want(runner, adapter, version, true);
        ready
    }

    /// Tells a runner's agent that the adapter is still waited for.
    fn renew_want(&self, runner: &str) {
        if let Some(adapter) = self.adapter() {
            let version = self.entry.state().versions.newest(adapter);
            self.entry.links.want(runner, adapter, version, true);
        }
    }
}
