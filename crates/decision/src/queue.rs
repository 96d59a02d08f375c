//! The bounded priority queue of one agent.
//!
//! Later jobs may overtake a job, for example to run jobs of one version together, but only until its
//! overtake deadline ([`QueuedJob::overtake_deadline`]).

use std::collections::BTreeMap;
use std::time::Duration;

use crate::collections::Map;
use crate::ids::Name;
use crate::ids::Priority;
use crate::ledger::AttemptKey;
use crate::time::Time;

/// How long an interactive job or a booking may be overtaken by later jobs.
const MAX_OVERTAKE: Duration = Duration::from_millis(500);

/// How long an overnight job may be overtaken by later jobs.
const MAX_OVERTAKE_OVERNIGHT: Duration = Duration::from_secs(60);

/// The priority classes in the order in which they are served; shedding starts with the last.
const CLASSES: [Priority; 3] = [
    Priority::Interactive,
    Priority::Booking,
    Priority::Overnight,
];

/// A job that waits to be submitted to the engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueuedJob {
    /// The request and attempt that the job belongs to.
    pub key: AttemptKey,
    /// The served name of the version, model or service that the job needs.
    pub name: Name,
    /// The priority class.
    pub priority: Priority,
    /// The time at which the job was queued.
    pub arrived: Time,
    /// The deadline of the request.
    pub deadline: Time,
}

impl QueuedJob {
    /// Returns the time from which no later job may overtake this one. At most half of the
    /// time to the job's deadline is spent on being overtaken.
    pub fn overtake_deadline(&self) -> Time {
        let bound = match self.priority {
            Priority::Interactive | Priority::Booking => MAX_OVERTAKE,
            Priority::Overnight => MAX_OVERTAKE_OVERNIGHT,
        };
        self.arrived
            .after(bound.min(self.deadline.since(self.arrived) / 2))
    }
}

/// The result of [`Queue::push`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PushResult {
    /// The job is queued.
    Queued,
    /// The job is queued, and this job of a lower class was removed to make room for it.
    Shed(QueuedJob),
    /// The job is not queued: the queue is full and holds no job of a lower class.
    Full,
}

/// Constraints on the choice of the next job.
#[derive(Clone, Copy, Debug, Default)]
pub struct PickConstraints<'a> {
    /// Whether overnight jobs may start before their overtake deadline.
    pub allow_overnight: bool,
    /// The version of the job that started last. Its jobs are preferred within their class, so that
    /// one batch mixes fewer versions.
    pub last_started: Option<&'a Name>,
    /// A version that is being evicted, and since when. Its jobs whose overtake deadline is later do
    /// not start.
    pub evicting: Option<(&'a Name, Time)>,
}

/// Jobs in order of overtake deadline, then of arrival in the queue.
type Lane = BTreeMap<(Time, u64), QueuedJob>;

/// The waiting jobs of one agent, in one lane per version and priority class.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    limit: usize,
    seq: u64,
    /// The lane and the position in it of each job.
    positions: Map<AttemptKey, (Name, Priority, Time, u64)>,
    lanes: Map<Name, [Lane; 3]>,
    /// The number of jobs of each priority class.
    counts: [usize; 3],
}

impl Queue {
    /// Creates an empty queue for at most `limit` jobs.
    pub fn new(limit: u32) -> Self {
        Queue {
            limit: limit as usize,
            ..Queue::default()
        }
    }

    /// Changes the limit. Jobs already queued stay, even if they exceed it.
    pub fn set_limit(&mut self, limit: u32) {
        self.limit = limit as usize;
    }

    /// Returns the number of queued jobs.
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Returns whether no job is queued.
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    /// Returns the number of queued jobs of each priority class, highest class first.
    pub fn counts(&self) -> [usize; 3] {
        self.counts
    }

    /// Returns the number of queued jobs of the given class and all higher ones.
    pub fn count_at_or_above(&self, priority: Priority) -> usize {
        self.counts[..=priority as usize].iter().sum()
    }

    /// Returns the number of jobs that wait for a version.
    pub fn count_for(&self, name: &str) -> usize {
        let lanes = self.lanes.get(name);
        lanes.map_or(0, |lanes| lanes.iter().map(Lane::len).sum())
    }

    /// Returns whether a job with an overtake deadline of at most `time` waits for a version.
    pub fn has_job_due_by(&self, name: &str, time: Time) -> bool {
        let Some(lanes) = self.lanes.get(name) else {
            return false;
        };
        heads(lanes).any(|job| job.overtake_deadline() <= time)
    }

    /// Returns the versions that jobs wait for, in no particular order.
    pub fn names(&self) -> impl Iterator<Item = &Name> {
        self.lanes.keys()
    }

    /// Returns all queued jobs, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &QueuedJob> {
        let lanes = self.lanes.values().flatten();
        lanes.flat_map(BTreeMap::values)
    }

    /// Returns the jobs that wait for a version, by class, then by overtake deadline.
    pub fn iter_for(&self, name: &str) -> impl Iterator<Item = &QueuedJob> {
        let lanes = self.lanes.get(name).into_iter().flatten();
        lanes.flat_map(BTreeMap::values)
    }

    /// Queues a job. If the queue is full, the job replaces one of a lower class.
    pub fn push(&mut self, job: QueuedJob) -> PushResult {
        if self.len() < self.limit {
            self.insert(job);
            return PushResult::Queued;
        }
        let Some(shed) = self.shed_candidate(job.priority) else {
            return PushResult::Full;
        };
        let shed = self.remove(shed).expect("the shed job is queued");
        self.insert(job);
        PushResult::Shed(shed)
    }

    /// Removes and returns a job; returns `None` if it is not queued.
    pub fn remove(&mut self, key: AttemptKey) -> Option<QueuedJob> {
        let (name, class, overtake_deadline, seq) = self.positions.remove(&key)?;
        let lanes = self.lanes.get_mut(&name)?;
        let job = lanes[class as usize].remove(&(overtake_deadline, seq))?;
        if lanes.iter().all(Lane::is_empty) {
            self.lanes.remove(&name);
        }
        self.counts[class as usize] -= 1;
        Some(job)
    }

    /// Removes and returns the jobs whose deadline cannot be met, earliest deadline first.
    /// `start_delay` returns the time until a job of the version can start.
    pub fn expire(&mut self, now: Time, start_delay: impl Fn(&Name) -> Duration) -> Vec<QueuedJob> {
        let mut late: Vec<(Time, AttemptKey)> = self
            .iter()
            .filter(|job| now.after(start_delay(&job.name)) >= job.deadline)
            .map(|job| (job.deadline, job.key))
            .collect();
        late.sort_unstable();
        late.into_iter()
            .filter_map(|(_, key)| self.remove(key))
            .collect()
    }

    /// Removes and returns the job to start next, among those whose version is `ready`. Returns
    /// `None` if no such job may start under the constraints.
    pub fn pick(
        &mut self,
        now: Time,
        ready: impl Fn(&Name) -> bool,
        constraints: PickConstraints<'_>,
    ) -> Option<QueuedJob> {
        let mut best: Option<(Rank, AttemptKey)> = None;
        for (name, lanes) in &self.lanes {
            if !ready(name) {
                continue;
            }
            let heads = lanes.iter().filter_map(BTreeMap::first_key_value);
            for (&(overtake_deadline, seq), job) in heads {
                if !may_start(now, job, &constraints) {
                    continue;
                }
                let rank = Rank::new(now, job, (overtake_deadline, seq), constraints.last_started);
                if best.is_none_or(|(best_rank, _)| rank < best_rank) {
                    best = Some((rank, job.key));
                }
            }
        }
        self.remove(best?.1)
    }

    /// Returns the job with the earliest overtake deadline among those whose version is not `ready`.
    pub fn first_stalled(&self, ready: impl Fn(&Name) -> bool) -> Option<&QueuedJob> {
        self.lanes
            .iter()
            .filter(|(name, _)| !ready(name))
            .flat_map(|(_, lanes)| heads(lanes))
            .min_by_key(|job| (job.overtake_deadline(), job.key))
    }

    /// Returns the versions that jobs wait for and that are not `ready`, most urgent first: by whether
    /// an overtake deadline has passed, then by the highest class, then by the number of jobs in that
    /// class, then by the earliest overtake deadline.
    pub fn load_order(&self, now: Time, ready: impl Fn(&Name) -> bool) -> Vec<Name> {
        let mut order: Vec<_> = self
            .lanes
            .iter()
            .filter(|(name, _)| !ready(name))
            .filter_map(|(name, lanes)| Some((load_rank(now, lanes)?, name.clone())))
            .collect();
        order.sort_unstable();
        order.into_iter().map(|(_, name)| name).collect()
    }

    fn insert(&mut self, job: QueuedJob) {
        self.seq += 1;
        let class = job.priority as usize;
        let position = (job.overtake_deadline(), self.seq);
        let key = job.key;
        self.positions.insert(
            key,
            (job.name.clone(), job.priority, position.0, position.1),
        );
        let lanes = self.lanes.entry(job.name.clone()).or_default();
        lanes[class].insert(position, job);
        self.counts[class] += 1;
    }

    /// Returns the job to shed for one of class `priority`: the one with the latest overtake deadline
    /// in the lowest class that has jobs, if that class is below `priority`.
    fn shed_candidate(&self, priority: Priority) -> Option<AttemptKey> {
        let below = CLASSES.into_iter().rev().filter(|class| *class > priority);
        let class = below
            .into_iter()
            .find(|class| self.counts[*class as usize] > 0)?;
        self.lanes
            .values()
            .filter_map(|lanes| lanes[class as usize].last_key_value())
            .max_by_key(|(position, _)| **position)
            .map(|(_, job)| job.key)
    }
}

/// The order in which jobs start. Jobs past their overtake deadline come first, by that deadline;
/// the others are ordered by class, then by whether their version started last, then by overtake
/// deadline.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank(u8, bool, (Time, u64));

impl Rank {
    fn new(now: Time, job: &QueuedJob, position: (Time, u64), last: Option<&Name>) -> Rank {
        if position.0 <= now {
            return Rank(0, false, position);
        }
        Rank(1 + job.priority as u8, last != Some(&job.name), position)
    }
}

fn may_start(now: Time, job: &QueuedJob, constraints: &PickConstraints<'_>) -> bool {
    let overtake_deadline = job.overtake_deadline();
    let evicted = constraints
        .evicting
        .is_some_and(|(name, since)| *name == job.name && overtake_deadline > since);
    let held_back = job.priority == Priority::Overnight
        && !constraints.allow_overnight
        && overtake_deadline > now;
    !evicted && !held_back
}

/// Returns the first job of each lane.
fn heads(lanes: &[Lane; 3]) -> impl Iterator<Item = &QueuedJob> {
    let firsts = lanes.iter().filter_map(BTreeMap::first_key_value);
    firsts.map(|(_, job)| job)
}

/// Returns the key of [`Queue::load_order`]; a lower one is more urgent.
fn load_rank(now: Time, lanes: &[Lane; 3]) -> Option<(u8, u64, Time)> {
    let first = heads(lanes).min_by_key(|job| job.overtake_deadline())?;
    let overtake_deadline = first.overtake_deadline();
    if overtake_deadline <= now {
        return Some((0, 0, overtake_deadline));
    }
    let class = lanes.iter().position(|lane| !lane.is_empty())?;
    let jobs = lanes[class].len() as u64;
    Some((1 + class as u8, u64::MAX - jobs, overtake_deadline))
}
