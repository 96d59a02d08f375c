//! The bounded queue of one agent.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::collections::Map;
use crate::ids::Name;
use crate::ids::Priority;
use crate::ledger::AttemptKey;
use crate::time::Time;

/// The longest time that later jobs may go ahead of an interactive job or a booking.
const OVERTAKE: Duration = Duration::from_millis(500);

/// The longest time that later jobs may go ahead of an overnight job.
const OVERTAKE_OVERNIGHT: Duration = Duration::from_secs(60);

/// The classes, from the first served to the first shed.
const CLASSES: [Priority; 3] = [
    Priority::Interactive,
    Priority::Booking,
    Priority::Overnight,
];

/// One queued job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueuedJob {
    /// The attempt.
    pub key: AttemptKey,
    /// The served name that the job needs.
    pub name: Name,
    /// The class.
    pub priority: Priority,
    /// The time at which the job was queued.
    pub arrived: Time,
    /// The deadline.
    pub deadline: Time,
}

impl QueuedJob {
    /// Returns the time from which no later job may go ahead of this one.
    pub fn overtake_deadline(&self) -> Time {
        let bound = match self.priority {
            Priority::Interactive | Priority::Booking => OVERTAKE,
            Priority::Overnight => OVERTAKE_OVERNIGHT,
        };
        self.arrived
            .after(bound.min(self.deadline.since(self.arrived) / 2))
    }
}

/// What became of a job that was pushed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PushResult {
    /// The job is queued.
    Queued,
    /// The job is queued, and this one of a lower class was dropped for it.
    Shed(QueuedJob),
    /// The queue is full and holds nothing of a lower class.
    Full,
}

/// The limits under which the next job is picked.
#[derive(Clone, Copy, Debug, Default)]
pub struct PickConstraints<'a> {
    /// Whether overnight jobs may start before their turn.
    pub allow_overnight: bool,
    /// The version that started last; its jobs go ahead of others of their class.
    pub last_started: Option<&'a Name>,
    /// A version that is to leave since this time. Its jobs whose turn came later do not start.
    pub evicting: Option<(&'a Name, Time)>,
}

type Line = BTreeMap<(Time, u64), QueuedJob>;

/// Jobs that wait, in one line per version and class, each in order of turn.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    limit: usize,
    seq: u64,
    places: Map<AttemptKey, (Name, Priority, Time, u64)>,
    lines: Map<Name, [Line; 3]>,
    counts: [usize; 3],
}

impl Queue {
    /// Returns an empty queue for at most `limit` jobs.
    pub fn new(limit: u32) -> Self {
        Queue {
            limit: limit as usize,
            ..Queue::default()
        }
    }

    /// Changes the limit; jobs above it stay.
    pub fn set_limit(&mut self, limit: u32) {
        self.limit = limit as usize;
    }

    /// Returns the number of queued jobs.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Returns whether nothing is queued.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Returns the number of queued jobs of each class.
    pub fn counts(&self) -> [usize; 3] {
        self.counts
    }

    /// Returns the number of jobs of the given class and of higher classes.
    pub fn count_at_or_above(&self, priority: Priority) -> usize {
        self.counts[..=priority as usize].iter().sum()
    }

    /// Returns the number of jobs that wait for the version.
    pub fn count_for(&self, name: &str) -> usize {
        let lines = self.lines.get(name);
        lines.map_or(0, |lines| lines.iter().map(Line::len).sum())
    }

    /// Returns whether a job whose turn came by `barrier` waits for the version.
    pub fn has_job_due_by(&self, name: &str, barrier: Time) -> bool {
        let Some(lines) = self.lines.get(name) else {
            return false;
        };
        heads(lines).any(|job| job.overtake_deadline() <= barrier)
    }

    /// Returns the versions that jobs wait for.
    pub fn names(&self) -> impl Iterator<Item = &Name> {
        self.lines.keys()
    }

    /// Returns all queued jobs, in no order.
    pub fn iter(&self) -> impl Iterator<Item = &QueuedJob> {
        let lines = self.lines.values().flatten();
        lines.flat_map(BTreeMap::values)
    }

    /// Returns the jobs that wait for the version.
    pub fn iter_for(&self, name: &str) -> impl Iterator<Item = &QueuedJob> {
        let lines = self.lines.get(name).into_iter().flatten();
        lines.flat_map(BTreeMap::values)
    }

    /// Queues a job, if need be in place of one of a lower class.
    pub fn push(&mut self, job: QueuedJob) -> PushResult {
        if self.len() < self.limit {
            self.insert(job);
            return PushResult::Queued;
        }
        let Some(shed) = self.lowest_below(job.priority) else {
            return PushResult::Full;
        };
        let shed = self.remove(shed).expect("the shed job is queued");
        self.insert(job);
        PushResult::Shed(shed)
    }

    /// Removes a job.
    pub fn remove(&mut self, key: AttemptKey) -> Option<QueuedJob> {
        let (name, class, turn, seq) = self.places.remove(&key)?;
        let lines = self.lines.get_mut(&name)?;
        let job = lines[class as usize].remove(&(turn, seq))?;
        if lines.iter().all(Line::is_empty) {
            self.lines.remove(&name);
        }
        self.counts[class as usize] -= 1;
        Some(job)
    }

    /// Removes and returns the jobs whose deadline cannot be met: `need` is the time that a job for
    /// a version takes before it can start.
    pub fn expire(&mut self, now: Time, need: impl Fn(&Name) -> Duration) -> Vec<QueuedJob> {
        let mut late: Vec<(Time, AttemptKey)> = self
            .iter()
            .filter(|job| now.after(need(&job.name)) >= job.deadline)
            .map(|job| (job.deadline, job.key))
            .collect();
        late.sort_unstable();
        late.into_iter()
            .filter_map(|(_, key)| self.remove(key))
            .collect()
    }

    /// Removes and returns the job to start next among those whose version is `ready`.
    pub fn pick(
        &mut self,
        now: Time,
        ready: impl Fn(&Name) -> bool,
        limits: PickConstraints<'_>,
    ) -> Option<QueuedJob> {
        let mut best: Option<(Rank, AttemptKey)> = None;
        for (name, lines) in &self.lines {
            if !ready(name) {
                continue;
            }
            let heads = lines.iter().filter_map(BTreeMap::first_key_value);
            for (&(turn, seq), job) in heads {
                if !may_start(now, job, &limits) {
                    continue;
                }
                let rank = Rank::new(now, job, (turn, seq), limits.last_started);
                if best.is_none_or(|(held, _)| rank < held) {
                    best = Some((rank, job.key));
                }
            }
        }
        self.remove(best?.1)
    }

    /// Returns the first job, in order of turn, that waits for a version which is not `ready`.
    pub fn first_stalled(&self, ready: impl Fn(&Name) -> bool) -> Option<&QueuedJob> {
        self.lines
            .iter()
            .filter(|(name, _)| !ready(name))
            .flat_map(|(_, lines)| heads(lines))
            .min_by_key(|job| (job.overtake_deadline(), job.key))
    }

    /// Returns the versions that wait for a load, the most urgent first: by whether the turn of a
    /// job has come, then class, then number of jobs, then turn.
    pub fn load_order(&self, now: Time, ready: impl Fn(&Name) -> bool) -> Vec<Name> {
        let mut order: Vec<_> = self
            .lines
            .iter()
            .filter(|(name, _)| !ready(name))
            .filter_map(|(name, lines)| Some((load_rank(now, lines)?, name.clone())))
            .collect();
        order.sort_unstable();
        order.into_iter().map(|(_, name)| name).collect()
    }

    fn insert(&mut self, job: QueuedJob) {
        self.seq += 1;
        let class = job.priority as usize;
        let place = (job.overtake_deadline(), self.seq);
        let key = job.key;
        self.places
            .insert(key, (job.name.clone(), job.priority, place.0, place.1));
        let lines = self.lines.entry(job.name.clone()).or_default();
        lines[class].insert(place, job);
        self.counts[class] += 1;
    }

    /// Returns the job with the last turn in the lowest class that is below `priority`.
    fn lowest_below(&self, priority: Priority) -> Option<AttemptKey> {
        let below = CLASSES.into_iter().rev().filter(|class| *class > priority);
        let class = below
            .into_iter()
            .find(|class| self.counts[*class as usize] > 0)?;
        self.lines
            .values()
            .filter_map(|lines| lines[class as usize].last_key_value())
            .max_by_key(|(place, _)| **place)
            .map(|(_, job)| job.key)
    }
}

/// The order in which jobs start: jobs whose turn has come by turn, then by class, then jobs of the
/// version that started last, then by turn.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank(u8, bool, (Time, u64));

impl Rank {
    fn new(now: Time, job: &QueuedJob, place: (Time, u64), last: Option<&Name>) -> Rank {
        if place.0 <= now {
            return Rank(0, false, place);
        }
        Rank(1 + job.priority as u8, last != Some(&job.name), place)
    }
}

fn may_start(now: Time, job: &QueuedJob, limits: &PickConstraints<'_>) -> bool {
    let turn = job.overtake_deadline();
    let closed = limits
        .evicting
        .is_some_and(|(name, barrier)| *name == job.name && turn > barrier);
    let held = job.priority == Priority::Overnight && !limits.allow_overnight && turn > now;
    !closed && !held
}

fn heads(lines: &[Line; 3]) -> impl Iterator<Item = &QueuedJob> {
    let firsts = lines.iter().filter_map(BTreeMap::first_key_value);
    firsts.map(|(_, job)| job)
}

fn load_rank(now: Time, lines: &[Line; 3]) -> Option<(u8, u64, Time)> {
    let first = heads(lines).min_by_key(|job| job.overtake_deadline())?;
    let turn = first.overtake_deadline();
    if turn <= now {
        return Some((0, 0, turn));
    }
    let class = lines.iter().position(|line| !line.is_empty())?;
    let jobs = lines[class].len() as u64;
    Some((1 + class as u8, u64::MAX - jobs, turn))
}
