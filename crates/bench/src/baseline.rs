//! Baseline policies: three rules for picking an endpoint, all with agents that evict the least
//! recently used adapter.

use std::any::Any;
use std::collections::VecDeque;
use std::rc::Rc;

use decision::collections::Map;
use decision::time::Time;
use fastrand::Rng;
use objects::Priority;

use crate::arrivals::Request;
use crate::sim::Action;
use crate::sim::Actions;
use crate::sim::AttemptOutcome;
use crate::sim::Policy;
use crate::sim::Refusal;
use crate::sim::Report;
use crate::site::Site;

/// Rule by which a baseline picks an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PickRule {
    /// A uniformly random endpoint.
    Random,
    /// The endpoint with the fewest requests: those in its last report and the entry's own picks
    /// since. Ties are broken at random.
    LeastLoaded,
    /// The endpoint with the highest rendezvous hash for the adapter.
    Rendezvous,
}

/// An entry's view of an endpoint.
#[derive(Clone, Copy, Debug, Default)]
struct EndpointView {
    /// Queued and running requests in the last report.
    reported: u32,
    /// The entry's own picks since that report.
    picked: u32,
    /// Whether the endpoint is avoided: set by a failure or a report of a stopped engine, cleared
    /// by the next report of a running one.
    is_down: bool,
}

/// Load report of a baseline's agent.
struct BaselineReport {
    requests: u32,
    up: bool,
}

/// A baseline policy: one pick rule over agents with LRU eviction.
pub struct Baseline {
    rule: PickRule,
    agents: Vec<LruAgent>,
    views: Vec<Vec<EndpointView>>,
    rng: Rng,
}

impl Baseline {
    /// Returns a baseline with no adapter loaded; `seed` determines its random picks.
    pub fn new(site: &Site, rule: PickRule, seed: u64) -> Self {
        Baseline {
            rule,
            agents: (0..site.endpoints).map(|_| LruAgent::new(site)).collect(),
            views: vec![vec![EndpointView::default(); site.endpoints]; site.entries],
            rng: Rng::with_seed(seed),
        }
    }
}

impl Policy for Baseline {
    fn pick(
        &mut self,
        _now: Time,
        _id: usize,
        request: &Request,
        tried: &[usize],
    ) -> Option<usize> {
        let views = &mut self.views[request.entry];
        let usable = |&endpoint: &usize| !views[endpoint].is_down && !tried.contains(&endpoint);
        let mut candidates: Vec<usize> = (0..views.len()).filter(usable).collect();
        if candidates.is_empty() {
            candidates = (0..views.len()).collect();
        }
        let rng = &mut self.rng;
        let best = match self.rule {
            PickRule::Random => candidates.get(rng.usize(0..candidates.len())).copied(),
            PickRule::LeastLoaded => candidates.into_iter().min_by_key(|&endpoint| {
                (
                    views[endpoint].reported + views[endpoint].picked,
                    rng.u32(..),
                )
            }),
            PickRule::Rendezvous => candidates
                .into_iter()
                .max_by_key(|&endpoint| rendezvous_weight(request.adapter, endpoint)),
        }?;
        views[best].picked += 1;
        Some(best)
    }

    fn on_report(&mut self, _now: Time, entry: usize, endpoint: usize, report: &dyn Any) {
        if let Some(&BaselineReport { requests, up }) = report.downcast_ref() {
            self.views[entry][endpoint] = EndpointView {
                reported: requests,
                picked: 0,
                is_down: !up,
            };
        }
    }

    fn on_attempt_end(
        &mut self,
        _now: Time,
        entry: usize,
        endpoint: usize,
        _id: usize,
        outcome: AttemptOutcome,
    ) {
        self.views[entry][endpoint].is_down |= outcome == AttemptOutcome::Failed;
    }

    fn on_request(
        &mut self,
        now: Time,
        endpoint: usize,
        id: usize,
        request: &Request,
        actions: &mut Actions,
    ) {
        let agent = &mut self.agents[endpoint];
        agent.queue.push_back(QueuedJob {
            id,
            adapter: request.adapter,
            priority: request.priority,
            deadline: request.deadline,
        });
        agent.start_jobs(now, endpoint, actions);
    }

    fn on_load_end(&mut self, now: Time, endpoint: usize, adapter: u32, actions: &mut Actions) {
        let agent = &mut self.agents[endpoint];
        agent.slots.insert(
            adapter,
            Slot {
                resident: true,
                running: 0,
                last_used: now,
            },
        );
        agent.start_jobs(now, endpoint, actions);
    }

    fn on_run_end(
        &mut self,
        now: Time,
        endpoint: usize,
        id: usize,
        _complete: bool,
        actions: &mut Actions,
    ) {
        let agent = &mut self.agents[endpoint];
        if let Some(adapter) = agent.running.remove(&id)
            && let Some(slot) = agent.slots.get_mut(&adapter)
        {
            slot.running -= 1;
        }
        agent.start_jobs(now, endpoint, actions);
    }

    fn on_engine_change(&mut self, now: Time, endpoint: usize, up: bool, actions: &mut Actions) {
        let agent = &mut self.agents[endpoint];
        agent.up = up;
        agent.running.clear();
        agent.slots.clear();
        agent.start_jobs(now, endpoint, actions);
    }

    fn on_tick(&mut self, now: Time, endpoint: usize, actions: &mut Actions) {
        self.agents[endpoint].refuse_expired(now, endpoint, actions);
    }

    fn report(&mut self, _now: Time, endpoint: usize) -> Report {
        let agent = &self.agents[endpoint];
        let requests = (agent.running.len() + agent.queue.len()) as u32;
        Rc::new(BaselineReport {
            requests,
            up: agent.up,
        })
    }
}

/// Returns the rendezvous hash of an adapter and an endpoint.
fn rendezvous_weight(adapter: u32, endpoint: usize) -> u64 {
    Rng::with_seed(u64::from(adapter) << 32 | endpoint as u64).u64(..)
}

struct QueuedJob {
    id: usize,
    adapter: u32,
    priority: Priority,
    deadline: Time,
}

struct Slot {
    resident: bool,
    running: u32,
    last_used: Time,
}

/// An agent that serves overnight requests last and otherwise in order of arrival.
///
/// It loads a missing adapter immediately, and evicts the least recently used adapter that no
/// running or queued request needs.
struct LruAgent {
    up: bool,
    capacity: usize,
    batch: usize,
    queue: VecDeque<QueuedJob>,
    running: Map<usize, u32>,
    slots: Map<u32, Slot>,
}

impl LruAgent {
    fn new(site: &Site) -> Self {
        LruAgent {
            up: true,
            capacity: site.slots,
            batch: site.batch,
            queue: VecDeque::new(),
            running: Map::default(),
            slots: Map::default(),
        }
    }

    fn start_jobs(&mut self, now: Time, endpoint: usize, actions: &mut Actions) {
        if !self.up {
            return;
        }
        let queue = std::mem::take(&mut self.queue);
        let (overnight, urgent): (VecDeque<QueuedJob>, VecDeque<QueuedJob>) = queue
            .into_iter()
            .partition(|job| job.priority == Priority::Overnight);
        let queue: VecDeque<QueuedJob> = urgent.into_iter().chain(overnight).collect();
        let needed: Vec<u32> = queue.iter().map(|job| job.adapter).collect();
        for job in queue {
            if self.try_start(now, endpoint, &job, &needed, actions) {
                self.running.insert(job.id, job.adapter);
            } else {
                self.queue.push_back(job);
            }
        }
    }

    /// Submits a job, or loads its adapter if it has no slot; returns whether the job was
    /// submitted.
    fn try_start(
        &mut self,
        now: Time,
        endpoint: usize,
        job: &QueuedJob,
        needed: &[u32],
        actions: &mut Actions,
    ) -> bool {
        if let Some(slot) = self.slots.get_mut(&job.adapter) {
            if !slot.resident || self.running.len() >= self.batch {
                return false;
            }
            slot.running += 1;
            slot.last_used = now;
            actions.push((endpoint, Action::Submit(job.id)));
            return true;
        }
        if self.slots.len() >= self.capacity {
            let Some(victim) = self.least_recently_used(needed) else {
                return false;
            };
            self.slots.remove(&victim);
            actions.push((endpoint, Action::Unload(victim)));
        }
        self.slots.insert(
            job.adapter,
            Slot {
                resident: false,
                running: 0,
                last_used: now,
            },
        );
        actions.push((endpoint, Action::Load(job.adapter)));
        false
    }

    fn least_recently_used(&self, needed: &[u32]) -> Option<u32> {
        let idle = self.slots.iter().filter(|(adapter, slot)| {
            slot.resident && slot.running == 0 && !needed.contains(adapter)
        });
        idle.min_by_key(|(adapter, slot)| (slot.last_used, **adapter))
            .map(|(&adapter, _)| adapter)
    }

    fn refuse_expired(&mut self, now: Time, endpoint: usize, actions: &mut Actions) {
        self.queue.retain(|job| {
            if job.deadline <= now {
                actions.push((endpoint, Action::Refuse(job.id, Refusal::Deadline)));
            }
            job.deadline > now
        });
    }
}
