//! The agent's state machine, driven by the agent process, a test or a simulator.
//!
//! [`AgentCore::handle`] takes one [`Event`] and returns the [`Action`]s that the driver carries
//! out.

mod events;
mod eviction;
mod jobs;
mod loads;
mod view;

use std::time::Duration;

use fastrand::Rng;
use objects::Backend;
use objects::Fencing;

use crate::collections::Map;
use crate::drain::Drain;
use crate::drain::DrainStep;
use crate::drain::Reason;
use crate::drain::Remaining;
use crate::ids::Incarnation;
use crate::ids::Name;
use crate::job::Job;
use crate::job::Outcome;
use crate::lease::Lease;
use crate::ledger::AttemptKey;
use crate::ledger::Ledger;
use crate::queue::Queue;
use crate::report::Report;
use crate::slots::Slots;
use crate::time::Time;

pub use events::Action;
pub use events::AgentConfig;
pub use events::CommandFault;
pub use events::EngineResult;
pub use events::Event;
pub use events::JobEnd;
use eviction::ForcedEviction;
use loads::LoadFailures;
use loads::PendingLoad;
pub use view::Counters;
pub use view::Dump;

/// The interval at which the list of resident versions is read from the engine.
const READ_INTERVAL: Duration = Duration::from_secs(5);

/// The interval of these reads while the engine does not respond.
const READ_RETRY: Duration = Duration::from_millis(500);

/// The assumed service time of a job (the time that it occupies a batch slot) until one has been
/// measured, in milliseconds.
const INITIAL_SERVICE_MS: f64 = 500.0;

/// One job that is queued or at the engine.
#[derive(Clone, Debug)]
struct ActiveJob {
    job: Job,
    deadline: Time,
    /// Since when the job has been waiting for its version to be loaded; `None` if the version is
    /// resident.
    stalled_since: Option<Time>,
    /// The total of earlier waits for the version.
    stall: Duration,
    /// When the job was submitted to the engine; `None` while it is queued.
    submitted_at: Option<Time>,
    /// Whether the head of the engine's response has arrived.
    responded: bool,
    /// Whether the job was cancelled at the engine because its deadline passed.
    timed_out: bool,
    /// Whether the job was cancelled at the engine for any reason.
    cancelled: bool,
    /// Whether the connection to the entry broke.
    sink_broken: bool,
}

/// The state of reading the list of resident versions from the engine.
#[derive(Clone, Copy, Debug, Default)]
struct ResidentRead {
    /// Incremented to discard the response to a read that is still pending.
    epoch: u64,
    pending: bool,
    /// When to send the next read.
    due: Time,
}

/// The state machine of one agent.
#[derive(Clone, Debug)]
pub struct AgentCore {
    endpoint: Name,
    incarnation: Incarnation,
    config: Option<AgentConfig>,
    slots: Slots,
    queue: Queue,
    ledger: Ledger,
    lease: Lease,
    drain: Drain,
    jobs: Map<AttemptKey, ActiveJob>,
    running: usize,
    /// The claim row key and outcome of each ended job whose outcome has neither reached the entry
    /// nor been written to its claim row.
    unrecorded_outcomes: Map<AttemptKey, (String, Outcome)>,
    loads: Map<Name, PendingLoad>,
    load_failures: Map<Name, LoadFailures>,
    forced_eviction: Option<ForcedEviction>,
    /// Versions whose unload failed, with the time of the next attempt.
    unload_retries: Map<Name, Time>,
    peers: Vec<Name>,
    /// The earliest time of the next load without a permit.
    unpermitted_load_at: Time,
    resident_read: ResidentRead,
    /// Whether the last read of the resident versions succeeded.
    engine_ready: bool,
    /// Whether the resident versions have to be read before more jobs are submitted.
    resident_unverified: bool,
    /// The served name of the job that was submitted last.
    last_started: Option<Name>,
    mean_service_ms: f64,
    /// Moving average of the time that loads waited for a permit.
    permit_wait_ms: f64,
    last_report: Option<Report>,
    counters: Counters,
    /// Whether [`Action::Exit`] was returned.
    exited: bool,
}

impl AgentCore {
    /// Returns the state of an agent that has just started and has no configuration.
    pub fn new(endpoint: Name, incarnation: Incarnation) -> Self {
        AgentCore {
            endpoint,
            incarnation,
            config: None,
            slots: Slots::new(0),
            queue: Queue::new(0),
            ledger: Ledger::new(incarnation),
            lease: Lease::new(incarnation),
            drain: Drain::default(),
            jobs: Map::default(),
            running: 0,
            unrecorded_outcomes: Map::default(),
            loads: Map::default(),
            load_failures: Map::default(),
            forced_eviction: None,
            unload_retries: Map::default(),
            peers: Vec::new(),
            unpermitted_load_at: Time::default(),
            resident_read: ResidentRead::default(),
            engine_ready: false,
            resident_unverified: false,
            last_started: None,
            mean_service_ms: INITIAL_SERVICE_MS,
            permit_wait_ms: 0.0,
            last_report: None,
            counters: Counters::default(),
            exited: false,
        }
    }

    /// Processes one event and returns the resulting actions, in the order to carry them out.
    pub fn handle(&mut self, now: Time, event: Event, rng: &mut Rng) -> Vec<Action> {
        let mut actions = Vec::new();
        self.apply(now, event, &mut actions);
        self.expire_jobs(now, &mut actions);
        self.start_jobs(now, &mut actions);
        self.advance_loads(now, rng, &mut actions);
        self.refresh_resident(now, &mut actions);
        self.advance_drain(now, &mut actions);
        actions
    }

    fn apply(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Dispatch(job) => self.on_dispatch(now, *job, actions),
            Event::Cancel(key) => self.on_cancel(now, key, actions),
            Event::SinkBroken(key) => self.on_sink_broken(now, key, actions),
            Event::Settle(key) => {
                let outcome = self.ledger.settle(now, key);
                actions.push(Action::Settled(key, outcome));
            }
            Event::LoadEnded(name, result) => self.on_load_ended(now, name, result, actions),
            Event::UnloadEnded(name, result) => self.on_unload_ended(now, &name, result, actions),
            Event::Permit {
                version,
                from,
                reply,
            } => self.on_permit(now, &version, from, reply, actions),
            Event::ResponseStarted(key) => {
                if let Some(active) = self.jobs.get_mut(&key) {
                    active.responded = true;
                }
            }
            Event::AttemptEnded(key, result) => self.on_attempt_ended(now, key, result, actions),
            Event::Resident { epoch, names } => self.on_resident(now, epoch, names, actions),
            Event::Lease(answer) => {
                let call = self.lease.on_reply(now, answer);
                actions.extend(call.map(Action::Lease));
            }
            Event::Delivered(key, delivered) => self.on_delivered(key, delivered, actions),
            Event::ClaimWritten(key) => {
                self.unrecorded_outcomes.remove(&key);
            }
            Event::Tick => self.on_tick(now, actions),
            Event::Drain(reason, on) => self.drain.set_reason(now, reason, on),
            Event::Config(config) => self.on_config(now, *config),
            Event::Peers(names) => self.peers = names,
        }
    }

    fn on_tick(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.ledger.prune(now);
        self.load_failures
            .retain(|_, failures| failures.until > now);
        self.unload_retries.retain(|_, until| *until > now);
        if self.is_model() {
            actions.extend(self.lease.tick(now).map(Action::Lease));
        }
    }

    fn on_config(&mut self, now: Time, config: AgentConfig) {
        let stale = self
            .config
            .as_ref()
            .is_some_and(|current| current.head.generation > config.head.generation);
        if stale {
            return;
        }
        self.slots.set_limit(config.slots);
        self.queue.set_limit(config.queue);
        self.lease.set_unfenced(config.fencing == Fencing::Ignored);
        let versions = config.set.versions.values();
        let withdrawn = versions.filter(|version| version.withdrawn);
        self.slots
            .set_withdrawn(withdrawn.map(|version| version.name.clone()).collect());
        self.drain.set_reason(now, Reason::Config, config.draining);
        self.config = Some(config);
    }

    /// Compares the engine's list of resident versions with the slot table. A list that was
    /// requested before the last load or unload started or ended is outdated, and is read again.
    fn on_resident(
        &mut self,
        now: Time,
        epoch: u64,
        names: Option<Vec<Name>>,
        actions: &mut Vec<Action>,
    ) {
        self.resident_read.pending = false;
        let Some(names) = names else {
            if self.engine_ready {
                actions.push(Action::Log("engine is not responding".to_owned()));
            }
            self.engine_ready = false;
            self.resident_read.due = now.after(READ_RETRY);
            return;
        };
        self.engine_ready = true;
        if epoch != self.resident_read.epoch {
            self.resident_read.due = now;
            return;
        }
        self.resident_unverified = false;
        self.resident_read.due = now.after(READ_INTERVAL);
        let drift = self.slots.reconcile(now, &names);
        if drift.is_empty() {
            return;
        }
        self.counters.drifts += 1;
        actions.push(Action::Log(format!(
            "engine disagrees with the slot table: unexpected versions {:?}, missing versions {:?}",
            drift.found, drift.lost
        )));
        for name in &drift.found {
            self.end_stall(now, name);
        }
        for name in &drift.lost {
            self.start_stall(now, name);
        }
    }

    fn refresh_resident(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.resident_read.pending || now < self.resident_read.due || self.config.is_none() {
            return;
        }
        self.resident_read.pending = true;
        actions.push(Action::ReadResident(self.resident_read.epoch));
    }

    /// Discards the response to a pending read, because a load or unload has just started or ended,
    /// and makes the next read due.
    fn discard_pending_read(&mut self, now: Time) {
        self.resident_read.epoch += 1;
        self.resident_read.due = now;
    }

    fn advance_drain(&mut self, now: Time, actions: &mut Vec<Action>) {
        let remaining = self.remaining();
        let released = !self.is_model() || self.lease.is_released();
        match self.drain.step(now, remaining, released) {
            DrainStep::Nothing => {}
            DrainStep::Log => actions.push(Action::Log(format!(
                "draining: waiting for {} queued and {} running jobs, {} commands, {} claim rows",
                remaining.queued, remaining.running, remaining.commands, remaining.writes
            ))),
            DrainStep::ReleaseLease => {
                self.lease.start_release(now);
                if self.is_model() {
                    actions.extend(self.lease.tick(now).map(Action::Lease));
                }
            }
            DrainStep::Exit if !self.exited => {
                self.exited = true;
                actions.push(Action::Exit);
            }
            DrainStep::Exit => {}
        }
    }

    fn remaining(&self) -> Remaining {
        Remaining {
            queued: self.queue.len(),
            running: self.running,
            commands: self.commands(),
            writes: self.unrecorded_outcomes.len(),
        }
    }

    /// Returns whether the endpoint is known to be a model engine. Only these load and unload
    /// versions and need a lease.
    fn is_model(&self) -> bool {
        let backend = self.config.as_ref().map(|config| &config.backend);
        matches!(backend, Some(Backend::Model(_)))
    }
}
