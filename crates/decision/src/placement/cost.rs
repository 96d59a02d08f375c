//! The cost of a candidate, in expected milliseconds of wait.

use objects::Policy;

use super::EndpointId;
use super::EndpointTable;
use super::pick::PickArgs;
use super::view::EndpointView;
use crate::time::Time;

/// The penalty of an endpoint whose queue is full, in milliseconds.
const FULL_MS: f32 = 5_000.0;

/// The weights of the cost.
#[derive(Clone, Debug, PartialEq)]
pub struct CostParams {
    /// From 0, which favors fuller batches, to 1, which favors fewer load stalls.
    pub stall_weight: f32,
    /// The assumed load time before a report tells one, in milliseconds.
    pub load_ms: u32,
    /// The assumed time of one job before a report tells one, in milliseconds.
    pub service_ms: u32,
    /// The penalty of another failure domain, in milliseconds.
    pub domain_ms: f32,
    /// The penalty of an endpoint that always fails, in milliseconds.
    pub health_ms: f32,
    /// The credit of an endpoint that saw the prompt prefix last, in milliseconds.
    pub prefix_ms: f32,
    /// The credit of a batch that is nearly full, in milliseconds, at a stall weight of 0.
    pub pack_ms: f32,
    /// The largest share by which a wait is varied at random.
    pub jitter: f32,
}

impl Default for CostParams {
    fn default() -> Self {
        CostParams {
            stall_weight: 0.5,
            load_ms: 250,
            service_ms: 500,
            domain_ms: 1.0,
            health_ms: 500.0,
            prefix_ms: 40.0,
            pack_ms: 20.0,
            jitter: 0.1,
        }
    }
}

impl CostParams {
    pub(super) fn apply_policy(&mut self, policy: &Policy) {
        self.stall_weight = policy.stall_weight as f32;
    }

    /// Returns how many of a pool's endpoints are used while none of them is busy: half of them at
    /// a stall weight of 0, all of them from 0.5 on. Fewer endpoints run fuller batches, but have
    /// fewer slots.
    pub(super) fn active_count(&self, members: usize) -> usize {
        let share = (0.5 + self.stall_weight).min(1.0);
        // The tolerance keeps 0.7 times 10 at 7 whatever the rounding of the product.
        (members as f32 * share - 1e-3).ceil() as usize
    }

    /// Returns the factor on load waits: 1/2 at a stall weight of 0, 1 in the middle, 2 at 1.
    fn stall_factor(&self) -> f32 {
        (2.0 * self.stall_weight - 1.0).exp2()
    }
}

/// The parts of a candidate's cost, each in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cost {
    /// Expected wait in the queue.
    pub queue: f32,
    /// Expected wait for the adapter, times the stall factor.
    pub load: f32,
    /// Penalty of another failure domain.
    pub domain: f32,
    /// Penalty of recent failures.
    pub health: f32,
    /// Credit of a cached prompt prefix.
    pub prefix: f32,
    /// Credit of filling a batch that is already running.
    pub pack: f32,
}

impl Cost {
    /// Returns the cost, in milliseconds; lower is better.
    pub fn total(&self) -> f32 {
        self.queue + self.load + self.domain + self.health - self.prefix - self.pack
    }

    /// Returns the expected wait alone, in milliseconds, with the load weighted.
    pub fn wait(&self) -> f32 {
        self.queue + self.load
    }
}

/// What a candidate has of the version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Has {
    /// It is resident, or none is needed.
    Resident,
    /// It is expected at this time.
    Loading(Time),
    /// It has to be loaded.
    Absent,
}

impl EndpointTable {
    pub(super) fn cost(
        &self,
        now: Time,
        rng: &mut fastrand::Rng,
        want: &PickArgs<'_>,
        id: EndpointId,
        has: Has,
    ) -> Cost {
        let view = self.view(id);
        let params = &self.cost_params;
        let jitter = 1.0 + params.jitter * rng.f32();
        let prefix = self.prefix_place(want.prefix) == Some(id);
        Cost {
            queue: self.queue_wait(view) * jitter,
            load: self.load_wait(now, view, has) * params.stall_factor() * jitter,
            domain: if view.near { 0.0 } else { params.domain_ms },
            health: view.health.error_rate() * params.health_ms,
            prefix: if prefix { params.prefix_ms } else { 0.0 },
            pack: self.pack_credit(view),
        }
    }

    /// Returns the expected wait for a place in the batch, in milliseconds.
    fn queue_wait(&self, view: &EndpointView) -> f32 {
        let report = &view.report;
        let ahead = report.running + report.queued + report.stalled + view.unreported();
        let batch = report.batch.max(1);
        let backlog = (ahead + 1).saturating_sub(batch);
        let step = self.service_ms(view) / batch as f32;
        let full = view.object.queue > 0 && report.queued >= view.object.queue;
        backlog as f32 * step + if full { FULL_MS } else { 0.0 }
    }

    /// Returns the expected wait for the version, in milliseconds.
    fn load_wait(&self, now: Time, view: &EndpointView, has: Has) -> f32 {
        match has {
            Has::Resident => 0.0,
            Has::Loading(ready) => ready.since(now).as_secs_f32() * 1_000.0,
            Has::Absent => {
                let load = self.cost_params.load_time(view.report.load_ms);
                // Without an idle slot, the load waits until a running job ends.
                let blocked = view.report.idle == 0 && view.report.slots > 0;
                let slot = if blocked { self.service_ms(view) } else { 0.0 };
                load.as_secs_f32() * 1_000.0 + slot
            }
        }
    }

    fn pack_credit(&self, view: &EndpointView) -> f32 {
        let running = view.report.running + view.unreported();
        let batch = view.report.batch.max(1);
        if running >= batch {
            return 0.0;
        }
        let fill = running as f32 / batch as f32;
        (1.0 - self.cost_params.stall_weight) * self.cost_params.pack_ms * fill
    }

    fn service_ms(&self, view: &EndpointView) -> f32 {
        let known = view.report.service_ms;
        let ms = if known == 0 {
            self.cost_params.service_ms
        } else {
            known
        };
        ms as f32
    }
}
