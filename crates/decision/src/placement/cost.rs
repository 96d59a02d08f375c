//! The cost of a candidate endpoint, expressed as milliseconds of expected wait.

use objects::Policy;

use super::EndpointId;
use super::EndpointTable;
use super::pick::PickArgs;
use super::view::EndpointView;
use crate::time::Time;

/// The penalty for an endpoint whose queue is full, in milliseconds.
const FULL_QUEUE_PENALTY_MS: f32 = 5_000.0;

/// The parameters of the cost.
#[derive(Clone, Debug, PartialEq)]
pub struct CostParams {
    /// From 0, which favors fuller batches, to 1, which favors fewer load stalls. Set by the policy
    /// object.
    pub stall_weight: f32,
    /// The assumed load time while reports contain none, in milliseconds.
    pub default_load_ms: u32,
    /// The assumed duration of a job while reports contain none, in milliseconds.
    pub default_service_ms: u32,
    /// The penalty for an endpoint in another failure domain, in milliseconds.
    pub domain_penalty_ms: f32,
    /// The penalty for an endpoint with an error rate of 1, in milliseconds.
    pub error_penalty_ms: f32,
    /// The credit for the endpoint that last got the same prompt prefix, in milliseconds.
    pub prefix_credit_ms: f32,
    /// The credit for a nearly full batch at a stall weight of 0, in milliseconds.
    pub pack_credit_ms: f32,
    /// The largest relative increase of an expected wait by random jitter.
    pub jitter: f32,
}

impl Default for CostParams {
    fn default() -> Self {
        CostParams {
            stall_weight: 0.5,
            default_load_ms: 250,
            default_service_ms: 500,
            domain_penalty_ms: 1.0,
            error_penalty_ms: 500.0,
            prefix_credit_ms: 40.0,
            pack_credit_ms: 20.0,
            jitter: 0.1,
        }
    }
}

impl CostParams {
    pub(super) fn apply_policy(&mut self, policy: &Policy) {
        self.stall_weight = policy.stall_weight as f32;
    }

    /// Returns how many members of a pool are active, that is, used while none of them is busy:
    /// half of them at a stall weight of 0, all of them from 0.5 on. Fewer endpoints run fuller
    /// batches but have fewer slots.
    pub(super) fn active_count(&self, members: usize) -> usize {
        let share = (0.5 + self.stall_weight).min(1.0);
        // The tolerance makes 10 * 0.7 give 7 however the product is rounded.
        (members as f32 * share - 1e-3).ceil() as usize
    }

    /// Returns the factor on load waits: 0.5 at a stall weight of 0, 1 at 0.5, 2 at 1.
    fn stall_factor(&self) -> f32 {
        (2.0 * self.stall_weight - 1.0).exp2()
    }
}

/// The terms of a candidate's cost, each in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cost {
    /// Expected wait in the queue, with jitter.
    pub queue: f32,
    /// Expected wait for the adapter times the stall factor, with jitter.
    pub load: f32,
    /// Penalty for another failure domain.
    pub domain: f32,
    /// Penalty for recent failures.
    pub health: f32,
    /// Credit for a cached prompt prefix.
    pub prefix: f32,
    /// Credit for filling up a running batch.
    pub pack: f32,
}

impl Cost {
    /// Returns the total cost in milliseconds; lower is better.
    pub fn total(&self) -> f32 {
        self.queue + self.load + self.domain + self.health - self.prefix - self.pack
    }

    /// Returns the expected wait for queue and load in milliseconds. The load is weighted by the
    /// stall factor.
    pub fn wait(&self) -> f32 {
        self.queue + self.load
    }
}

/// Whether a candidate has the version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Residency {
    /// The version is resident, or the request needs none.
    Resident,
    /// The version is loading; the load is expected to end at this time.
    Loading(Time),
    /// The version has to be loaded first.
    Absent,
}

impl EndpointTable {
    pub(super) fn cost(
        &self,
        now: Time,
        rng: &mut fastrand::Rng,
        args: &PickArgs<'_>,
        id: EndpointId,
        residency: Residency,
    ) -> Cost {
        let view = self.view(id);
        let params = &self.cost_params;
        let jitter = 1.0 + params.jitter * rng.f32();
        let has_prefix = self.prefix_endpoint(args.prefix) == Some(id);
        Cost {
            queue: self.queue_wait(view) * jitter,
            load: self.load_wait(now, view, residency) * params.stall_factor() * jitter,
            domain: if view.same_domain {
                0.0
            } else {
                params.domain_penalty_ms
            },
            health: view.health.error_rate() * params.error_penalty_ms,
            prefix: if has_prefix {
                params.prefix_credit_ms
            } else {
                0.0
            },
            pack: self.pack_credit(view),
        }
    }

    /// Returns the expected wait until the batch has room, in milliseconds.
    fn queue_wait(&self, view: &EndpointView) -> f32 {
        let report = &view.report;
        let ahead = report.running + report.queued + report.stalled + view.unreported();
        let batch = report.batch.max(1);
        let backlog = (ahead + 1).saturating_sub(batch);
        let ms_per_job = self.service_ms(view) / batch as f32;
        let full = view.object.queue > 0 && report.queued >= view.object.queue;
        backlog as f32 * ms_per_job + if full { FULL_QUEUE_PENALTY_MS } else { 0.0 }
    }

    /// Returns the expected wait until the version is resident, in milliseconds.
    fn load_wait(&self, now: Time, view: &EndpointView, residency: Residency) -> f32 {
        match residency {
            Residency::Resident => 0.0,
            Residency::Loading(ready) => ready.since(now).as_secs_f32() * 1_000.0,
            Residency::Absent => {
                let load = self.cost_params.load_time(view.report.load_ms);
                // Without an idle slot, the load has to wait until a running job ends.
                let no_idle_slot = view.report.idle == 0 && view.report.slots > 0;
                let slot_wait = if no_idle_slot {
                    self.service_ms(view)
                } else {
                    0.0
                };
                load.as_secs_f32() * 1_000.0 + slot_wait
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
        (1.0 - self.cost_params.stall_weight) * self.cost_params.pack_credit_ms * fill
    }

    fn service_ms(&self, view: &EndpointView) -> f32 {
        let reported = view.report.service_ms;
        let ms = if reported == 0 {
            self.cost_params.default_service_ms
        } else {
            reported
        };
        ms as f32
    }
}
