//! The lifecycle of a job: admission, queueing, submission to the engine, end.

use std::time::Duration;

use objects::Backend;

use super::ActiveJob;
use super::AgentCore;
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

/// The shortest retry delay that is sent to a refused caller.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The weight of a new sample in the moving average of the service time.
const SERVICE_SMOOTHING: f64 = 0.1;

/// The fraction of the batch that overnight jobs leave free, at a stall weight of 1. It lets a job
/// of a higher class start at once instead of waiting for a long overnight response to end.
const OVERNIGHT_RESERVE: f64 = 0.125;

impl AgentCore {
    pub(super) fn on_dispatch(&mut self, now: Time, job: Job, actions: &mut Vec<Action>) {
        let key = AttemptKey::of(&job);
        match self.ledger.admit(now, &job) {
            Admission::New => {}
            Admission::Seen(Outcome::NotRun(reason)) => {
                self.counters.count_refusal(reason);
                actions.push(refusal(key, reason, None));
                return;
            }
            Admission::Seen(outcome) => {
                actions.push(Action::Duplicate(key, outcome));
                return;
            }
        }
        let claimed = job.claim.is_some();
        if let Err((reason, after)) = self.accept(now, job, actions) {
            self.ledger.refuse(now, key, claimed, reason);
            self.counters.count_refusal(reason);
            actions.push(refusal(key, reason, after));
        }
    }

    /// Queues an admitted job, or returns why it is refused and when to retry.
    fn accept(
        &mut self,
        now: Time,
        job: Job,
        actions: &mut Vec<Action>,
    ) -> Result<(), (Refusal, Option<Duration>)> {
        if self.drain.refuses() {
            return Err((Refusal::Draining, None));
        }
        let Some(config) = &self.config else {
            return Err((Refusal::EngineDown, None));
        };
        if !can_serve(config, &job.target) {
            return Err((Refusal::WrongEndpoint, None));
        }
        let name = job.target.served_name().clone();
        if self
            .load_failures
            .get(&name)
            .is_some_and(|failures| failures.refusing)
        {
            return Err((Refusal::LoadFailed, None));
        }
        let deadline = now.after(job.left);
        let wait = self.expected_wait(now, &job);
        if now.after(wait) >= deadline {
            return Err((Refusal::Deadline, Some(wait.max(MIN_RETRY_AFTER))));
        }
        self.enqueue(now, job, name, deadline, actions)
    }

    fn enqueue(
        &mut self,
        now: Time,
        job: Job,
        name: Name,
        deadline: Time,
        actions: &mut Vec<Action>,
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
            PushResult::Shed(shed) => self.drop_queued(now, shed.key, Refusal::Overloaded, actions),
            PushResult::Full => return Err((Refusal::Overloaded, Some(self.retry_after()))),
        }
        if matches!(job.target, Target::Version { .. }) {
            self.slots.record_use(now, &name);
        }
        let stalled_since = (!self.can_run(&name)).then_some(now);
        let active = ActiveJob {
            job,
            deadline,
            stalled_since,
            stall: Duration::ZERO,
            submitted_at: None,
            responded: false,
            timed_out: false,
            cancelled: false,
            sink_broken: false,
        };
        self.jobs.insert(key, active);
        actions.push(Action::Accept(key));
        Ok(())
    }

    /// Ends a job that was removed from the queue and does not run.
    pub(super) fn drop_queued(
        &mut self,
        now: Time,
        key: AttemptKey,
        reason: Refusal,
        actions: &mut Vec<Action>,
    ) {
        let Some(active) = self.jobs.remove(&key) else {
            return;
        };
        let outcome = self
            .ledger
            .refuse(now, key, active.job.claim.is_some(), reason);
        self.counters.count_refusal(reason);
        let after = match reason {
            Refusal::Overloaded | Refusal::Deadline => Some(self.retry_after()),
            _ => None,
        };
        self.finish_job(now, key, active, (outcome, None, after), actions);
    }

    /// Drops queued jobs whose deadline cannot be met, and cancels running jobs for which the
    /// engine has not started a response by their deadline. A claimed job runs to its end once
    /// submitted.
    pub(super) fn expire_jobs(&mut self, now: Time, actions: &mut Vec<Action>) {
        let (slots, loads) = (&self.slots, &self.loads);
        let backend = self.config.as_ref().map(|config| &config.backend);
        let load = slots.load_time(now);
        let expired = self.queue.expire(now, |name| {
            let served = backend.is_some_and(|backend| is_backend_name(backend, name));
            if served || slots.is_resident(name) || loads.contains_key(name) {
                Duration::ZERO
            } else {
                load
            }
        });
        let reason = if self.engine_ready {
            Refusal::Deadline
        } else {
            Refusal::EngineDown
        };
        for job in expired {
            self.drop_queued(now, job.key, reason, actions);
        }
        for (key, active) in &mut self.jobs {
            let unanswered =
                active.submitted_at.is_some() && !active.responded && !active.cancelled;
            if unanswered && active.job.claim.is_none() && active.deadline <= now {
                active.cancelled = true;
                active.timed_out = true;
                actions.push(Action::CancelAtEngine(*key));
            }
        }
    }

    /// Submits queued jobs while the batch has room.
    pub(super) fn start_jobs(&mut self, now: Time, actions: &mut Vec<Action>) {
        if !self.engine_ready || self.resident_unverified {
            return;
        }
        while let Some(job) = self.next_job(now) {
            let key = job.key;
            if !self.ledger.submit(key) {
                self.drop_queued(now, key, Refusal::StaleClaim, actions);
                continue;
            }
            let Some(active) = self.jobs.get_mut(&key) else {
                continue;
            };
            active.submitted_at = Some(now);
            if matches!(active.job.target, Target::Version { .. }) {
                self.slots.pin(&job.name);
            }
            self.running += 1;
            self.last_started = Some(job.name);
            actions.push(Action::Submit(key));
        }
    }

    fn next_job(&mut self, now: Time) -> Option<QueuedJob> {
        let config = self.config.as_ref()?;
        let batch = config.batch as usize;
        if self.running >= batch {
            return None;
        }
        let reserve = (batch as f64 * OVERNIGHT_RESERVE * config.set.policy.stall_weight) as usize;
        let limits = PickConstraints {
            allow_overnight: self.running + reserve < batch,
            last_started: self.last_started.as_ref(),
            evicting: self
                .forced_eviction
                .as_ref()
                .map(|eviction| (&eviction.victim, eviction.cutoff)),
        };
        let backend = &config.backend;
        let slots = &self.slots;
        let ready = |name: &Name| is_backend_name(backend, name) || slots.is_resident(name);
        self.queue.pick(now, ready, limits)
    }

    pub(super) fn on_attempt_ended(
        &mut self,
        now: Time,
        key: AttemptKey,
        result: EngineResult,
        actions: &mut Vec<Action>,
    ) {
        let submitted_at = self.jobs.get(&key).and_then(|active| active.submitted_at);
        let Some(submitted_at) = submitted_at else {
            return;
        };
        let Some(active) = self.jobs.remove(&key) else {
            return;
        };
        self.running -= 1;
        if matches!(active.job.target, Target::Version { .. }) {
            self.slots.unpin(active.job.target.served_name());
        }
        let (outcome, failure) = match result {
            EngineResult::Complete => {
                let ms = now.since(submitted_at).as_secs_f64() * 1e3;
                self.mean_service_ms += SERVICE_SMOOTHING * (ms - self.mean_service_ms);
                (Outcome::Ran, None)
            }
            EngineResult::NotRun => {
                self.require_resident_read(now);
                (Outcome::NotRun(Refusal::EngineDown), None)
            }
            EngineResult::Refused(failure) => (Outcome::NotRun(Refusal::EngineDown), Some(failure)),
            EngineResult::Incomplete(_) if active.timed_out => {
                (Outcome::Unknown, Some(Failure::Deadline))
            }
            EngineResult::Incomplete(failure) => {
                if !active.cancelled && !matches!(failure, Failure::Status { .. }) {
                    self.require_resident_read(now);
                }
                (Outcome::Unknown, Some(failure))
            }
        };
        self.ledger
            .end(now, key, active.job.claim.is_some(), outcome);
        self.finish_job(now, key, active, (outcome, failure, None), actions);
    }

    /// Stops submitting jobs until the resident versions have been read again, because the engine
    /// may have restarted.
    fn require_resident_read(&mut self, now: Time) {
        self.resident_unverified = true;
        self.resident_read.due = now;
        self.resident_read.epoch += 1;
    }

    pub(super) fn on_cancel(&mut self, now: Time, key: AttemptKey, actions: &mut Vec<Action>) {
        match self.jobs.get_mut(&key) {
            None => {
                self.ledger.refuse(now, key, false, Refusal::Cancelled);
            }
            Some(active) if active.submitted_at.is_some() => {
                if active.job.claim.is_none() && !active.cancelled {
                    active.cancelled = true;
                    actions.push(Action::CancelAtEngine(key));
                }
            }
            Some(_) => {
                self.queue.remove(key);
                self.drop_queued(now, key, Refusal::Cancelled, actions);
            }
        }
    }

    /// Cancels a repeatable job whose connection to the entry broke. A claimed job continues, and
    /// the agent writes its outcome to the claim row.
    pub(super) fn on_sink_broken(&mut self, now: Time, key: AttemptKey, actions: &mut Vec<Action>) {
        let Some(active) = self.jobs.get_mut(&key) else {
            return;
        };
        active.sink_broken = true;
        if active.job.claim.is_none() {
            self.on_cancel(now, key, actions);
        }
    }

    fn finish_job(
        &mut self,
        now: Time,
        key: AttemptKey,
        active: ActiveJob,
        (outcome, failure, after): (Outcome, Option<Failure>, Option<Duration>),
        actions: &mut Vec<Action>,
    ) {
        let stall = active.stall
            + active
                .stalled_since
                .map_or(Duration::ZERO, |since| now.since(since));
        self.counters.count_end(stall, &outcome, &failure);
        actions.push(Action::End(JobEnd {
            key,
            outcome,
            failure,
            stall,
            after,
        }));
        let Some(row) = active.job.row else {
            return;
        };
        self.unrecorded_outcomes.insert(key, (row, outcome));
        if active.sink_broken {
            self.write_claim(key, actions);
        }
    }

    /// Handles the delivery result for the end of a claimed attempt. If the end reached the entry,
    /// the entry writes the claim row; otherwise the agent does.
    pub(super) fn on_delivered(
        &mut self,
        key: AttemptKey,
        delivered: bool,
        actions: &mut Vec<Action>,
    ) {
        if delivered {
            self.unrecorded_outcomes.remove(&key);
        } else {
            self.write_claim(key, actions);
        }
    }

    fn write_claim(&mut self, key: AttemptKey, actions: &mut Vec<Action>) {
        if let Some((row, outcome)) = self.unrecorded_outcomes.get(&key).cloned() {
            actions.push(Action::WriteClaim { key, row, outcome });
        }
    }

    /// Marks the queued jobs of a version as waiting for it to be loaded.
    pub(super) fn start_stall(&mut self, now: Time, name: &Name) {
        for job in self.queue.iter_for(name) {
            if let Some(active) = self.jobs.get_mut(&job.key) {
                active.stalled_since.get_or_insert(now);
            }
        }
    }

    /// Adds up the time that the queued jobs of a version have waited for it to be loaded.
    pub(super) fn end_stall(&mut self, now: Time, name: &Name) {
        for job in self.queue.iter_for(name) {
            if let Some(active) = self.jobs.get_mut(&job.key)
                && let Some(since) = active.stalled_since.take()
            {
                active.stall += now.since(since);
            }
        }
    }

    /// Returns whether the engine can run jobs for the served name now.
    pub(super) fn can_run(&self, name: &Name) -> bool {
        let config = self.config.as_ref();
        config.is_some_and(|config| is_backend_name(&config.backend, name))
            || self.slots.is_resident(name)
    }

    /// Returns the expected time until a new job could start.
    fn expected_wait(&self, now: Time, job: &Job) -> Duration {
        let queue = self.queue_wait(job.priority);
        let name = job.target.served_name();
        if self.can_run(name) {
            return queue;
        }
        queue.max(self.load_wait(now, name))
    }

    /// Returns the expected wait until the batch has room for a new job of the class.
    pub(super) fn queue_wait(&self, priority: Priority) -> Duration {
        let batch = self.config.as_ref().map_or(1, |config| config.batch).max(1);
        let ahead = self.queue.count_at_or_above(priority) + self.running;
        let Some(excess) = (ahead + 1).checked_sub(batch as usize) else {
            return Duration::ZERO;
        };
        Duration::from_secs_f64(excess as f64 * self.mean_service_ms / batch as f64 / 1e3)
    }

    fn retry_after(&self) -> Duration {
        self.queue_wait(Priority::Overnight).max(MIN_RETRY_AFTER)
    }
}

fn refusal(key: AttemptKey, reason: Refusal, after: Option<Duration>) -> Action {
    Action::Refuse { key, reason, after }
}

fn is_backend_name(backend: &Backend, name: &Name) -> bool {
    match backend {
        Backend::Model(base) => base == name,
        Backend::Service(service) => service == name,
    }
}

/// Returns whether the endpoint can run the target. A version that the agent's generation does not
/// contain yet is accepted; the engine's response still has to name it.
fn can_serve(config: &AgentConfig, target: &Target) -> bool {
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
