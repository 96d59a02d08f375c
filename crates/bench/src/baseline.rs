//! Baseline policies: three ways to pick an endpoint over agents with least-recently-used slots.

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
use crate::sim::End;
use crate::sim::Policy;
use crate::sim::Refusal;
use crate::sim::Report;
use crate::site::Site;

/// How a baseline picks an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pick {
    /// Any endpoint.
    Random,
    /// The endpoint with the fewest reported and own requests.
    LeastLoaded,
    /// The first endpoint in the adapter's rendezvous order.
    Rendezvous,
}

/// What one entry knows of one endpoint.
#[derive(Clone, Copy, Debug, Default)]
struct View {
    /// Requests in the last report.
    reported: u32,
    /// Own picks since that report.
    picked: u32,
    /// Down until the next report of a ready engine.
    down: bool,
}

/// The report of a baseline's agent.
struct Load {
    /// Requests queued and running.
    requests: u32,
    /// Whether the engine is up.
    up: bool,
}

/// A baseline policy.
pub struct Baseline {
    pick: Pick,
    agents: Vec<LruAgent>,
    views: Vec<Vec<View>>,
    rng: Rng,
}

impl Baseline {
    /// Returns a baseline for a site.
    pub fn new(site: &Site, pick: Pick, seed: u64) -> Self {
        Baseline {
            pick,
            agents: (0..site.runners).map(|_| LruAgent::new(site)).collect(),
            views: vec![vec![View::default(); site.runners]; site.entries],
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
        let usable = |&endpoint: &usize| !views[endpoint].down && !tried.contains(&endpoint);
        let mut candidates: Vec<usize> = (0..views.len()).filter(usable).collect();
        if candidates.is_empty() {
            candidates = (0..views.len()).collect();
        }
        let rng = &mut self.rng;
        let best = match self.pick {
            Pick::Random => candidates.get(rng.usize(0..candidates.len())).copied(),
            Pick::LeastLoaded => candidates.into_iter().min_by_key(|&endpoint| {
                (
                    views[endpoint].reported + views[endpoint].picked,
                    rng.u32(..),
                )
            }),
            Pick::Rendezvous => candidates
                .into_iter()
                .max_by_key(|&endpoint| rank(request.adapter, endpoint)),
        }?;
        views[best].picked += 1;
        Some(best)
    }

    fn learn(&mut self, _now: Time, entry: usize, endpoint: usize, report: &dyn Any) {
        if let Some(&Load { requests, up }) = report.downcast_ref() {
            self.views[entry][endpoint] = View {
                reported: requests,
                picked: 0,
                down: !up,
            };
        }
    }

    fn outcome(&mut self, _now: Time, entry: usize, endpoint: usize, _id: usize, end: End) {
        self.views[entry][endpoint].down |= end == End::Failed;
    }

    fn offer(
        &mut self,
        now: Time,
        endpoint: usize,
        id: usize,
        request: &Request,
        out: &mut Actions,
    ) {
        let agent = &mut self.agents[endpoint];
        agent.queue.push_back(Queued {
            id,
            adapter: request.adapter,
            priority: request.priority,
            due: request.due,
        });
        agent.serve(now, endpoint, out);
    }

    fn loaded(&mut self, now: Time, endpoint: usize, adapter: u32, out: &mut Actions) {
        let agent = &mut self.agents[endpoint];
        agent.slots.insert(
            adapter,
            Slot {
                resident: true,
                pins: 0,
                used: now,
            },
        );
        agent.serve(now, endpoint, out);
    }

    fn ended(&mut self, now: Time, endpoint: usize, id: usize, _good: bool, out: &mut Actions) {
        let agent = &mut self.agents[endpoint];
        if let Some(adapter) = agent.running.remove(&id)
            && let Some(slot) = agent.slots.get_mut(&adapter)
        {
            slot.pins -= 1;
        }
        agent.serve(now, endpoint, out);
    }

    fn engine(&mut self, now: Time, endpoint: usize, up: bool, out: &mut Actions) {
        let agent = &mut self.agents[endpoint];
        agent.up = up;
        agent.running.clear();
        agent.slots.clear();
        agent.serve(now, endpoint, out);
    }

    fn tick(&mut self, now: Time, endpoint: usize, out: &mut Actions) {
        self.agents[endpoint].expire(now, endpoint, out);
    }

    fn report(&mut self, _now: Time, endpoint: usize) -> Report {
        let agent = &self.agents[endpoint];
        let requests = (agent.running.len() + agent.queue.len()) as u32;
        Rc::new(Load {
            requests,
            up: agent.up,
        })
    }
}

/// Returns the weight of an endpoint in the rendezvous order of an adapter.
fn rank(adapter: u32, endpoint: usize) -> u64 {
    Rng::with_seed(u64::from(adapter) << 32 | endpoint as u64).u64(..)
}

struct Queued {
    id: usize,
    adapter: u32,
    priority: Priority,
    due: Time,
}

struct Slot {
    resident: bool,
    pins: u32,
    used: Time,
}

/// An agent that serves by class and age, loads at once and evicts the least recently used
/// adapter that no running or queued request needs.
struct LruAgent {
    up: bool,
    capacity: usize,
    batch: usize,
    queue: VecDeque<Queued>,
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

    fn serve(&mut self, now: Time, endpoint: usize, out: &mut Actions) {
        if !self.up {
            return;
        }
        let queue = std::mem::take(&mut self.queue);
        let (rest, first): (VecDeque<Queued>, VecDeque<Queued>) = queue
            .into_iter()
            .partition(|job| job.priority == Priority::Overnight);
        let queue: VecDeque<Queued> = first.into_iter().chain(rest).collect();
        let wanted: Vec<u32> = queue.iter().map(|job| job.adapter).collect();
        for job in queue {
            if self.start(now, endpoint, &job, &wanted, out) {
                self.running.insert(job.id, job.adapter);
            } else {
                self.queue.push_back(job);
            }
        }
    }

    /// Submits a job or loads its adapter, if there is room; returns whether it was submitted.
    fn start(
        &mut self,
        now: Time,
        endpoint: usize,
        job: &Queued,
        wanted: &[u32],
        out: &mut Actions,
    ) -> bool {
        if let Some(slot) = self.slots.get_mut(&job.adapter) {
            if !slot.resident || self.running.len() >= self.batch {
                return false;
            }
            slot.pins += 1;
            slot.used = now;
            out.push((endpoint, Action::Submit(job.id)));
            return true;
        }
        if self.slots.len() >= self.capacity {
            let Some(victim) = self.victim(wanted) else {
                return false;
            };
            self.slots.remove(&victim);
            out.push((endpoint, Action::Unload(victim)));
        }
        self.slots.insert(
            job.adapter,
            Slot {
                resident: false,
                pins: 0,
                used: now,
            },
        );
        out.push((endpoint, Action::Load(job.adapter)));
        false
    }

    fn victim(&self, wanted: &[u32]) -> Option<u32> {
        let idle = self
            .slots
            .iter()
            .filter(|(adapter, slot)| slot.resident && slot.pins == 0 && !wanted.contains(adapter));
        idle.min_by_key(|(adapter, slot)| (slot.used, **adapter))
            .map(|(&adapter, _)| adapter)
    }

    fn expire(&mut self, now: Time, endpoint: usize, out: &mut Actions) {
        self.queue.retain(|job| {
            if job.due <= now {
                out.push((endpoint, Action::Refuse(job.id, Refusal::Deadline)));
            }
            job.due > now
        });
    }
}
