//! Waits for a runner that can take a request and has its adapter loaded.
//!
//! Invariants: a request that cannot be served in time is refused before it requests a load of its
//! adapter.

use std::time::Duration;

use decision::time::Time;
use serving::Name;
use serving::backpressure::Slot;
use serving::concurrency::Place;
use serving::placement::Access;
use serving::placement::NoRunner;
use serving::placement::Placement;
use serving::placement::Requirements;
use serving::runner::Member;
use spdlog::info;

use crate::dispatch::ActiveRequest;
use crate::dispatch::DispatchError;
use crate::dispatch::FailureCause;
use crate::entry::EntryState;
use crate::service_queue::HeldPlace;
use crate::slot::HeldSlot;
use crate::step::Step;

/// The longest wait for an adapter, as a multiple of the route's latency goal.
const MAX_WAIT_PER_GOAL: f64 = 2.0;
/// The longest wait for an adapter, as a share of the time to the request's deadline. A request
/// that was not sent by then is refused.
const MAX_WAIT_SHARE: f64 = 0.6;
/// The longest wait for a slot of a limited runner, as a multiple of the shortest latency goal of the
/// service's routes. The rest of the goal is for the work.
const MAX_SLOT_WAIT_PER_GOAL: f64 = 0.5;
/// The interval at which a waiting request repeats its adapter request to the agent.
const REQUEST_RENEWAL_INTERVAL: Duration = Duration::from_millis(350);
/// The delay of an expected adapter after which a runner is chosen again.
const ARRIVAL_MARGIN: Duration = Duration::from_millis(20);
/// The longest wait for a state change of the chosen runner before a runner is chosen again.
const RECHECK_INTERVAL: Duration = Duration::from_millis(150);

/// What becomes of the slot that a request holds when a runner is chosen.
enum SlotChoice {
    /// It is kept, if there is one.
    Keep,
    /// It is given back, and this one is held instead.
    Replace(Option<Slot>),
}

impl ActiveRequest {
    /// Chooses a runner and waits until it has the request's adapter. Fails if no runner can be
    /// chosen, or if the adapter is not expected before the longest wait ends.
    pub(crate) async fn locate(&mut self) -> Result<Placement, DispatchError> {
        let started_at = self.entry.now();
        let deadline_share = self.deadline.since(started_at).mul_f64(MAX_WAIT_SHARE);
        let max_wait = self
            .route
            .goal
            .mul_f64(MAX_WAIT_PER_GOAL)
            .min(deadline_share);
        let wait_deadline = started_at.after(max_wait);
        let slot_limit = self.slot_wait_limit(started_at, wait_deadline);
        let mut requested_at = started_at;
        loop {
            let now = self.entry.now();
            let placement = match self.place(now, slot_limit) {
                Ok(placement) => placement,
                Err(NoRunner::Full) => {
                    self.wait_for_room().await?;
                    continue;
                }
                Err(cause) if self.attempts.may_have_run() => {
                    return Err(DispatchError::Unknown(FailureCause::NoRunner(cause)));
                }
                Err(cause) => return Err(DispatchError::Refused(FailureCause::NoRunner(cause))),
            };
            if placement.wait > wait_deadline.since(now)
                && !matches!(placement.access, Access::Ready { .. })
            {
                // A load for this request would only delay those for requests that can still be
                // served in time.
                self.wait_time += now.since(started_at);
                return Err(self.wait_timeout());
            }
            let expected_at = match placement.access {
                Access::Ready { .. } if now < placement.opens_at => {
                    self.step = Step::Slot;
                    let wake = placement.opens_at.min(now.after(RECHECK_INTERVAL));
                    tokio::time::sleep_until(self.entry.clock.instant(wake)).await;
                    continue;
                }
                Access::Ready { .. } => {
                    self.wait_time += now.since(started_at);
                    self.record_silent_choice(&placement);
                    return Ok(placement);
                }
                Access::Loading(ready_at) if now < requested_at.after(REQUEST_RENEWAL_INTERVAL) => {
                    ready_at
                }
                Access::Loading(ready_at) => {
                    requested_at = now;
                    self.renew_adapter_request(&placement.runner);
                    ready_at
                }
                Access::Absent => {
                    requested_at = now;
                    self.request_adapter(now, &placement.runner)
                }
            };
            if now >= wait_deadline {
                self.wait_time += now.since(started_at);
                return Err(self.wait_timeout());
            }
            let wake = expected_at
                .after(ARRIVAL_MARGIN)
                .min(now.after(RECHECK_INTERVAL))
                .min(wait_deadline);
            let wake = self.entry.clock.instant(wake);
            self.step = Step::Adapter;
            self.entry
                .links
                .wait_for_change(&placement.runner, wake)
                .await;
        }
    }

    /// Logs and counts the choice of a runner that does not answer its agent.
    fn record_silent_choice(&self, placement: &Placement) {
        if !placement.silent {
            return;
        }
        self.entry.metrics.silent_choices.inc();
        let runner = &*placement.runner;
        info!("silent runner chosen, no other is left", kv: { id = &*self.head.request.id, runner });
    }

    fn wait_timeout(&self) -> DispatchError {
        let cause = FailureCause::AdapterTimeout;
        if self.attempts.may_have_run() {
            DispatchError::Unknown(cause)
        } else {
            DispatchError::Refused(cause)
        }
    }

    /// Chooses a runner, and reserves a slot there if it limits its requests.
    fn place(&mut self, now: Time, wait_until: Time) -> Result<Placement, NoRunner> {
        let entry = self.entry.clone();
        self.place = None;
        let paused = self.paused_runners(now);
        let chosen = self.choose(now, wait_until, &paused, &mut entry.state());
        let (placement, slot, place) = chosen?;
        let service = &self.service;
        self.place = place.map(|place| HeldPlace::new(entry.clone(), service.clone(), place));
        if let Some(turn) = self.turn.take() {
            turn.take();
        }
        match slot {
            SlotChoice::Keep => {}
            SlotChoice::Replace(slot) => {
                self.slot = slot.map(|slot| HeldSlot::new(entry.clone(), slot));
            }
        }
        self.last_placement = Some(placement.clone());
        if let (Some(replica), Some(adapter)) = (&placement.replica, self.adapter()) {
            let version = entry.state().versions.newest(adapter);
            entry
                .links
                .request_adapter(replica, adapter, version, false);
        }
        Ok(placement)
    }

    fn choose(
        &self,
        now: Time,
        wait_until: Time,
        paused: &[Name],
        state: &mut EntryState,
    ) -> Result<(Placement, SlotChoice, Option<Place>), NoRunner> {
        if state.must_wait(&self.service, self.turn.as_ref()) {
            return Err(NoRunner::Full);
        }
        let share = state.share(&self.service);
        let held = self.slot.as_ref().and_then(HeldSlot::get);
        let held = held.filter(|slot| state.fleet.backpressure.has_time_left(now, slot));
        let adapter = self.adapter();
        let grace = self.entry.version_grace();
        let min_version =
            adapter.map_or(0, |adapter| state.versions.min_version(now, adapter, grace));
        let mut requirements = Requirements {
            service: &self.service,
            artifact: self.head.request.artifact.as_ref(),
            min_version,
            excluded: &self.excluded,
            only_runner: self.attempts.only_runner(),
            slot: held,
            wait_until,
        };
        let concurrency = &state.concurrency;
        let has_room = |member: &Member| {
            let allowed = share.is_none_or(|share| concurrency.has_room(now, member, share));
            allowed && !paused.contains(&member.id)
        };
        let fleet = &mut state.fleet;
        let mut placement = fleet.place_among(now, &mut state.rng, &requirements, &has_room);
        let must_exclude = self.attempts.excluded();
        // A runner that has just rejected the request is not tried again before it has waited.
        let awaits_other = placement == Err(NoRunner::Full) && self.turn.is_none();
        if placement.is_err() && !awaits_other && must_exclude.len() < self.excluded.len() {
            // No other runner is suitable, so allow those that rejected the request without
            // running it.
            requirements.excluded = must_exclude;
            placement = fleet.place_among(now, &mut state.rng, &requirements, &has_room);
        }
        let placement = placement?;
        let (runner, born) = (&placement.runner, placement.born);
        let slot = if held.is_some_and(|slot| slot.is_of(runner, born)) {
            SlotChoice::Keep
        } else {
            SlotChoice::Replace(state.fleet.backpressure.reserve(now, runner, born))
        };
        let view = state.fleet.get(runner);
        let place = share
            .zip(view)
            .and_then(|(share, view)| state.concurrency.take(now, &view.member, share));
        Ok((placement, slot, place))
    }

    /// Returns until when the request may wait for a runner that limits its requests. The time is the
    /// same for all routes of the service, since the patient ones would otherwise have all slots.
    fn slot_wait_limit(&self, started_at: Time, wait_deadline: Time) -> Time {
        let state = self.entry.state();
        let config = state.config.as_ref();
        let goal = config.map_or(Duration::ZERO, |config| config.least_goal(&self.service));
        let limit = started_at.after(goal.mul_f64(MAX_SLOT_WAIT_PER_GOAL));
        limit.min(wait_deadline)
    }

    /// Requests the adapter from a runner's agent and returns when it is expected to be loaded.
    fn request_adapter(&self, now: Time, runner: &Name) -> Time {
        let artifact = self.head.request.artifact.as_ref();
        let Some(adapter) = artifact.and_then(|artifact| artifact.adapter.as_ref()) else {
            return now;
        };
        let mut state = self.entry.state();
        let version = state.versions.newest(adapter);
        let expected_load = state
            .fleet
            .get(runner)
            .map(|runner| runner.load_time(adapter));
        let ready_at = now.after(expected_load.unwrap_or(RECHECK_INTERVAL));
        state
            .fleet
            .expect_adapter(runner, adapter, version, ready_at);
        drop(state);
        self.entry
            .links
            .request_adapter(runner, adapter, version, true);
        ready_at
    }

    /// Repeats the adapter request, so that the agent keeps it.
    fn renew_adapter_request(&self, runner: &str) {
        if let Some(adapter) = self.adapter() {
            let version = self.entry.state().versions.newest(adapter);
            self.entry
                .links
                .request_adapter(runner, adapter, version, true);
        }
    }
}
