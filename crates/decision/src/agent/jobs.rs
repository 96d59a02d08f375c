//! The way of a job through the agent: admission, queue, engine, end.

use std::time::Duration;

use objects::Backend;

use super::AgentCore;
use super::Live;
use super::events::Action;
use super::events::AgentConfig;
use super::events::EngineResult;
use super::events::JobEnd;
use crate::ids::Name;
use crate::ids::Priority;
use crate::job::Failure;
use crate::job::Job;
use crate::job::Outcome;
use crate::job::Refusal;
use crate::job::Target;
use crate::ledger::Admission;
use crate::ledger::AttemptKey;
use crate::queue::PickConstraints;
use crate::queue::PushResult;
use crate::queue::QueuedJob;
use crate::time::Time;

/// The shortest retry time that a refused caller is told.
const RETRY_FLOOR: Duration = Duration::from_secs(1);

/// The share of a new sample in the mean service time.
const SMOOTHING: f64 = 0.1;

/// The share of the batch that overnight jobs leave free, at a stall weight of 1. A job of a higher
/// class then starts at once instead of waiting for a long overnight answer to end.
const RESERVE: f64 = 0.125;

impl AgentCore {
    pub(super) fn on_dispatch(&mut self, now: Time, job: Job, out: &mut Vec<Action>) {
        let key = AttemptKey::of(&job);
        match self.ledger.admit(now, &job) {
            Admission::New => {}
            Admission::Seen(Outcome::NotRun(reason)) => {
                self.counters.count(reason);
                out.push(refusal(key, reason, None));
                return;
            }
            Admission::Seen(outcome) => {
                out.push(Action::Duplicate(key, outcome));
                return;
            }
        }
        let claimed = job.claim.is_some();
        if let Err((reason, after)) = self.accept(now, job, out) {
            self.ledger.refuse(now, key, claimed, reason);
            self.counters.count(reason);
            out.push(refusal(key, reason, after));
        }
    }

    /// Queues an admitted job, or says why it is not run.
    fn accept(
        &mut self,
        now: Time,
        job: Job,
        out: &mut Vec<Action>,
    ) -> Result<(), (Refusal, Option<Duration>)> {
        if self.drain.refuses() {
            return Err((Refusal::Draining, None));
        }
        let Some(config) = &self.config else {
            return Err((Refusal::EngineDown, None));
        };
        if !serves(config, &job.target) {
            return Err((Refusal::WrongEndpoint, None));
        }
        let name = job.target.served_name().clone();
        if self.trouble.get(&name).is_some_and(|held| held.refusing) {
            return Err((Refusal::LoadFailed, None));
        }
        let deadline = now.after(job.left);
        let wait = self.expected_wait(now, &job);
        if now.after(wait) >= deadline {
            return Err((Refusal::Deadline, Some(wait.max(RETRY_FLOOR))));
        }
        self.enqueue(now, job, name, deadline, out)
    }

    fn enqueue(
        &mut self,
        now: Time,
        job: Job,
        name: Name,
        deadline: Time,
        out: &mut Vec<Action>,
    ) -> Result<(), (Refusal, Option<Duration>)> {
        let key = AttemptKey::of(&job);
        let push = self.queue.push(QueuedJob {
            key,
            name: name.clone(),
            priority: job.priority,
            arrived: now,
            deadline,
        });
        match push {
            PushResult::Queued => {}
            PushResult::Shed(shed) => self.drop_queued(now, shed.key, Refusal::Overloaded, out),
            PushResult::Full => return Err((Refusal::Overloaded, Some(self.retry_after()))),
        }
        if matches!(job.target, Target::Version { .. }) {
            self.slots.record_use(now, &name);
        }
        let stalled = (!self.is_ready(&name)).then_some(now);
        let live = Live {
            job,
            deadline,
            stalled,
            stall: Duration::ZERO,
            started: None,
            answered: false,
            overdue: false,
            cancelled: false,
            broken: false,
        };
        self.jobs.insert(key, live);
        out.push(Action::Accept(key));
        Ok(())
    }

    /// Ends a job that was taken out of the queue without running.
    pub(super) fn drop_queued(
        &mut self,
        now: Time,
        key: AttemptKey,
        reason: Refusal,
        out: &mut Vec<Action>,
    ) {
        let Some(live) = self.jobs.remove(&key) else {
            return;
        };
        let outcome = self
            .ledger
            .refuse(now, key, live.job.claim.is_some(), reason);
        self.counters.count(reason);
        let after = match reason {
            Refusal::Overloaded | Refusal::Deadline => Some(self.retry_after()),
            _ => None,
        };
        self.finish(now, key, live, (outcome, None, after), out);
    }

    /// Drops queued jobs whose deadline cannot be met, and running ones that have no answer at
    /// their deadline. Claimed work that was submitted runs to its end.
    pub(super) fn expire(&mut self, now: Time, out: &mut Vec<Action>) {
        let (slots, loads) = (&self.slots, &self.loads);
        let backend = self.config.as_ref().map(|config| &config.backend);
        let load = slots.load_time(now);
        let late = self.queue.expire(now, |name| {
            let served = backend.is_some_and(|backend| is_backend(backend, name));
            if served || slots.is_resident(name) || loads.contains_key(name) {
                Duration::ZERO
            } else {
                load
            }
        });
        let reason = if self.ready {
            Refusal::Deadline
        } else {
            Refusal::EngineDown
        };
        for job in late {
            self.drop_queued(now, job.key, reason, out);
        }
        for (key, live) in &mut self.jobs {
            let silent = live.started.is_some() && !live.answered && !live.cancelled;
            if silent && live.job.claim.is_none() && live.deadline <= now {
                live.cancelled = true;
                live.overdue = true;
                out.push(Action::CancelAtEngine(*key));
            }
        }
    }

    /// Submits queued jobs to free places of the batch.
    pub(super) fn start_jobs(&mut self, now: Time, out: &mut Vec<Action>) {
        if !self.ready || self.suspect {
            return;
        }
        while let Some(job) = self.pick(now) {
            let key = job.key;
            if !self.ledger.submit(key) {
                self.drop_queued(now, key, Refusal::StaleClaim, out);
                continue;
            }
            let Some(live) = self.jobs.get_mut(&key) else {
                continue;
            };
            live.started = Some(now);
            if matches!(live.job.target, Target::Version { .. }) {
                self.slots.pin(&job.name);
            }
            self.running += 1;
            self.last = Some(job.name);
            out.push(Action::Submit(key));
        }
    }

    fn pick(&mut self, now: Time) -> Option<QueuedJob> {
        let config = self.config.as_ref()?;
        let batch = config.batch as usize;
        if self.running >= batch {
            return None;
        }
        let reserve = (batch as f64 * RESERVE * config.set.policy.stall_weight) as usize;
        let limits = PickConstraints {
            allow_overnight: self.running + reserve < batch,
            last_started: self.last.as_ref(),
            evicting: self
                .closing
                .as_ref()
                .map(|held| (&held.victim, held.barrier)),
        };
        let backend = &config.backend;
        let slots = &self.slots;
        let ready = |name: &Name| is_backend(backend, name) || slots.is_resident(name);
        self.queue.pick(now, ready, limits)
    }

    pub(super) fn on_answer_end(
        &mut self,
        now: Time,
        key: AttemptKey,
        finish: EngineResult,
        out: &mut Vec<Action>,
    ) {
        let started = self.jobs.get(&key).and_then(|live| live.started);
        let Some(started) = started else {
            return;
        };
        let Some(live) = self.jobs.remove(&key) else {
            return;
        };
        self.running -= 1;
        if matches!(live.job.target, Target::Version { .. }) {
            self.slots.unpin(live.job.target.served_name());
        }
        let (outcome, failure) = match finish {
            EngineResult::Complete => {
                let ms = now.since(started).as_secs_f64() * 1e3;
                self.service_ms += SMOOTHING * (ms - self.service_ms);
                (Outcome::Ran, None)
            }
            EngineResult::NotRun => {
                self.suspect(now);
                (Outcome::NotRun(Refusal::EngineDown), None)
            }
            EngineResult::Refused(failure) => (Outcome::NotRun(Refusal::EngineDown), Some(failure)),
            EngineResult::Incomplete(_) if live.overdue => {
                (Outcome::Unknown, Some(Failure::Deadline))
            }
            EngineResult::Incomplete(failure) => {
                if !live.cancelled && !matches!(failure, Failure::Status { .. }) {
                    self.suspect(now);
                }
                (Outcome::Unknown, Some(failure))
            }
        };
        self.ledger.end(now, key, live.job.claim.is_some(), outcome);
        self.finish(now, key, live, (outcome, failure, None), out);
    }

    /// Holds queued jobs back until the resident versions were read: the engine may have restarted.
    fn suspect(&mut self, now: Time) {
        self.suspect = true;
        self.reading.due = now;
        self.reading.epoch += 1;
    }

    pub(super) fn on_cancel(&mut self, now: Time, key: AttemptKey, out: &mut Vec<Action>) {
        match self.jobs.get_mut(&key) {
            None => {
                self.ledger.refuse(now, key, false, Refusal::Cancelled);
            }
            Some(live) if live.started.is_some() => {
                if live.job.claim.is_none() && !live.cancelled {
                    live.cancelled = true;
                    out.push(Action::CancelAtEngine(key));
                }
            }
            Some(_) => {
                self.queue.remove(key);
                self.drop_queued(now, key, Refusal::Cancelled, out);
            }
        }
    }

    /// Cancels repeatable work of a lost entry. Claimed work goes on, and its outcome goes to the
    /// claim row.
    pub(super) fn on_sink_broken(&mut self, now: Time, key: AttemptKey, out: &mut Vec<Action>) {
        let Some(live) = self.jobs.get_mut(&key) else {
            return;
        };
        live.broken = true;
        if live.job.claim.is_none() {
            self.on_cancel(now, key, out);
        }
    }

    fn finish(
        &mut self,
        now: Time,
        key: AttemptKey,
        live: Live,
        (outcome, failure, after): (Outcome, Option<Failure>, Option<Duration>),
        out: &mut Vec<Action>,
    ) {
        let stall = live.stall + live.stalled.map_or(Duration::ZERO, |from| now.since(from));
        self.counters.note_end(stall, &outcome, &failure);
        out.push(Action::End(JobEnd {
            key,
            outcome,
            failure,
            stall,
            after,
        }));
        let Some(row) = live.job.row else {
            return;
        };
        self.writes.insert(key, (row, outcome));
        if live.broken {
            self.write_claim(key, out);
        }
    }

    /// Records whether the end of a claimed attempt reached the entry, which then writes the claim
    /// row; if it did not, the agent does.
    pub(super) fn on_delivered(&mut self, key: AttemptKey, done: bool, out: &mut Vec<Action>) {
        if done {
            self.writes.remove(&key);
        } else {
            self.write_claim(key, out);
        }
    }

    fn write_claim(&mut self, key: AttemptKey, out: &mut Vec<Action>) {
        if let Some((row, outcome)) = self.writes.get(&key).cloned() {
            out.push(Action::WriteClaim { key, row, outcome });
        }
    }

    /// Starts to count a load stall for the queued jobs of a version.
    pub(super) fn start_stall(&mut self, now: Time, name: &Name) {
        for job in self.queue.iter_for(name) {
            if let Some(live) = self.jobs.get_mut(&job.key) {
                live.stalled.get_or_insert(now);
            }
        }
    }

    /// Ends the load stall of the queued jobs of a version.
    pub(super) fn end_stall(&mut self, now: Time, name: &Name) {
        for job in self.queue.iter_for(name) {
            if let Some(live) = self.jobs.get_mut(&job.key)
                && let Some(from) = live.stalled.take()
            {
                live.stall += now.since(from);
            }
        }
    }

    /// Returns whether jobs for the served name can run now.
    pub(super) fn is_ready(&self, name: &Name) -> bool {
        let config = self.config.as_ref();
        config.is_some_and(|config| is_backend(&config.backend, name))
            || self.slots.is_resident(name)
    }

    /// Returns the expected time until a new job could start.
    fn expected_wait(&self, now: Time, job: &Job) -> Duration {
        let queue = self.queue_wait(job.priority);
        let name = job.target.served_name();
        if self.is_ready(name) {
            return queue;
        }
        queue.max(self.load_wait(now, name))
    }

    /// Returns the expected wait for a place in the batch.
    pub(super) fn queue_wait(&self, priority: Priority) -> Duration {
        let batch = self.config.as_ref().map_or(1, |config| config.batch).max(1);
        let ahead = self.queue.count_at_or_above(priority) + self.running;
        let Some(over) = (ahead + 1).checked_sub(batch as usize) else {
            return Duration::ZERO;
        };
        Duration::from_secs_f64(over as f64 * self.service_ms / batch as f64 / 1e3)
    }

    fn retry_after(&self) -> Duration {
        self.queue_wait(Priority::Overnight).max(RETRY_FLOOR)
    }
}

fn refusal(key: AttemptKey, reason: Refusal, after: Option<Duration>) -> Action {
    Action::Refuse { key, reason, after }
}

fn is_backend(backend: &Backend, name: &Name) -> bool {
    match backend {
        Backend::Model(base) => base == name,
        Backend::Service(service) => service == name,
    }
}

/// Returns whether the endpoint can run the target. A version that the agent's generation does not
/// have yet is accepted; the engine's answer still has to name it.
fn serves(config: &AgentConfig, target: &Target) -> bool {
    match (&config.backend, target) {
        (Backend::Service(own), Target::Service(name)) => own == name,
        (Backend::Model(own), Target::Model(name)) => own == name,
        (Backend::Model(own), Target::Version { name, .. }) => {
            let set = &config.set;
            let version = set.versions.get(name);
            let adapter = version.and_then(|version| set.adapters.get(&version.adapter));
            let model = adapter.and_then(|adapter| set.models.get(&adapter.model));
            model.is_none_or(|model| model.base == *own)
        }
        _ => false,
    }
}
