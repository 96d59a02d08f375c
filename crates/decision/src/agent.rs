//! The agent as one state machine, driven by a process, a test or a simulator.

mod events;
mod jobs;
mod loads;
mod room;
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
use loads::Load;
use loads::Trouble;
use room::Closing;
pub use view::Counters;
pub use view::Dump;

/// The interval at which the resident versions are read back.
const READ_INTERVAL: Duration = Duration::from_secs(5);

/// The interval of reads while the engine does not answer them.
const READ_RETRY: Duration = Duration::from_millis(500);

/// The assumed time that a job occupies a place in the batch, before any was measured.
const FIRST_SERVICE_MS: f64 = 500.0;

/// One job that is queued or at the engine.
#[derive(Clone, Debug)]
struct Live {
    job: Job,
    deadline: Time,
    /// The time from which the job waits for its version, if it does.
    stalled: Option<Time>,
    stall: Duration,
    /// The time of submission.
    started: Option<Time>,
    /// Whether the head of the answer has arrived.
    answered: bool,
    /// Whether the agent cancelled the job at the engine because of its deadline.
    overdue: bool,
    /// Whether the engine was told to cancel.
    cancelled: bool,
    /// Whether the connection to the entry broke.
    broken: bool,
}

/// The resident list that was asked for.
#[derive(Clone, Copy, Debug, Default)]
struct Reading {
    epoch: u64,
    pending: bool,
    due: Time,
}

/// The decisions of one agent.
#[derive(Clone, Debug)]
pub struct AgentCore {
    endpoint: Name,
    own: Incarnation,
    config: Option<AgentConfig>,
    slots: Slots,
    queue: Queue,
    ledger: Ledger,
    lease: Lease,
    drain: Drain,
    jobs: Map<AttemptKey, Live>,
    running: usize,
    /// Outcomes that are neither with the entry nor in their claim row.
    writes: Map<AttemptKey, (String, Outcome)>,
    loads: Map<Name, Load>,
    trouble: Map<Name, Trouble>,
    closing: Option<Closing>,
    /// Versions that the engine did not unload, and the time of the next try.
    stuck: Map<Name, Time>,
    peers: Vec<Name>,
    alone: Time,
    reading: Reading,
    ready: bool,
    /// Whether the resident versions have to be read before more work goes to the engine.
    suspect: bool,
    last: Option<Name>,
    service_ms: f64,
    permit_ms: f64,
    report: Option<Report>,
    counters: Counters,
    left: bool,
}

impl AgentCore {
    /// Returns the state of an agent that has just started.
    pub fn new(endpoint: Name, own: Incarnation) -> Self {
        AgentCore {
            endpoint,
            own,
            config: None,
            slots: Slots::new(0),
            queue: Queue::new(0),
            ledger: Ledger::new(own),
            lease: Lease::new(own),
            drain: Drain::default(),
            jobs: Map::default(),
            running: 0,
            writes: Map::default(),
            loads: Map::default(),
            trouble: Map::default(),
            closing: None,
            stuck: Map::default(),
            peers: Vec::new(),
            alone: Time::default(),
            reading: Reading::default(),
            ready: false,
            suspect: false,
            last: None,
            service_ms: FIRST_SERVICE_MS,
            permit_ms: 0.0,
            report: None,
            counters: Counters::default(),
            left: false,
        }
    }

    /// Takes one event in and returns what is to be done, in order.
    pub fn handle(&mut self, now: Time, event: Event, rng: &mut Rng) -> Vec<Action> {
        let mut out = Vec::new();
        self.apply(now, event, &mut out);
        self.expire(now, &mut out);
        self.start_jobs(now, &mut out);
        self.advance_loads(now, rng, &mut out);
        self.read_back(now, &mut out);
        self.advance_drain(now, &mut out);
        out
    }

    fn apply(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Dispatch(job) => self.on_dispatch(now, *job, out),
            Event::Cancel(key) => self.on_cancel(now, key, out),
            Event::SinkBroken(key) => self.on_sink_broken(now, key, out),
            Event::Settle(key) => {
                let outcome = self.ledger.settle(now, key);
                out.push(Action::Settled(key, outcome));
            }
            Event::LoadEnded(name, result) => self.on_load_ended(now, name, result, out),
            Event::UnloadEnded(name, result) => self.on_unload_ended(now, &name, result, out),
            Event::Permit {
                version,
                from,
                reply,
            } => self.on_permit(now, &version, from, reply, out),
            Event::ResponseStarted(key) => {
                if let Some(live) = self.jobs.get_mut(&key) {
                    live.answered = true;
                }
            }
            Event::AttemptEnded(key, finish) => self.on_answer_end(now, key, finish, out),
            Event::Resident { epoch, names } => self.on_resident(now, epoch, names, out),
            Event::Lease(answer) => {
                let call = self.lease.on_reply(now, answer);
                out.extend(call.map(Action::Lease));
            }
            Event::Delivered(key, done) => self.on_delivered(key, done, out),
            Event::ClaimWritten(key) => {
                self.writes.remove(&key);
            }
            Event::Tick => self.on_tick(now, out),
            Event::Drain(reason, on) => self.drain.set_reason(now, reason, on),
            Event::Config(config) => self.on_config(now, *config),
            Event::Peers(names) => self.peers = names,
        }
    }

    fn on_tick(&mut self, now: Time, out: &mut Vec<Action>) {
        self.ledger.prune(now);
        self.trouble.retain(|_, trouble| trouble.until > now);
        self.stuck.retain(|_, until| *until > now);
        if self.is_model() {
            out.extend(self.lease.tick(now).map(Action::Lease));
        }
    }

    fn on_config(&mut self, now: Time, config: AgentConfig) {
        let stale = self
            .config
            .as_ref()
            .is_some_and(|held| held.head.generation > config.head.generation);
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

    /// Takes the engine's list of resident versions. A list that was requested before the last
    /// command started or ended says nothing about the present and is read again.
    fn on_resident(
        &mut self,
        now: Time,
        epoch: u64,
        names: Option<Vec<Name>>,
        out: &mut Vec<Action>,
    ) {
        self.reading.pending = false;
        let Some(names) = names else {
            if self.ready {
                out.push(Action::Log("engine does not answer".to_owned()));
            }
            self.ready = false;
            self.reading.due = now.after(READ_RETRY);
            return;
        };
        self.ready = true;
        if epoch != self.reading.epoch {
            self.reading.due = now;
            return;
        }
        self.suspect = false;
        self.reading.due = now.after(READ_INTERVAL);
        let drift = self.slots.reconcile(now, &names);
        if drift.is_empty() {
            return;
        }
        self.counters.drifts += 1;
        out.push(Action::Log(format!(
            "engine has {:?} that the table lacks, lacks {:?}",
            drift.found, drift.lost
        )));
        for name in &drift.found {
            self.end_stall(now, name);
        }
        for name in &drift.lost {
            self.start_stall(now, name);
        }
    }

    fn read_back(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.reading.pending || now < self.reading.due || self.config.is_none() {
            return;
        }
        self.reading.pending = true;
        out.push(Action::ReadResident(self.reading.epoch));
    }

    /// Notes that a command starts or ends, which makes lists requested earlier stale.
    fn note_command(&mut self, now: Time) {
        self.reading.epoch += 1;
        self.reading.due = now;
    }

    fn advance_drain(&mut self, now: Time, out: &mut Vec<Action>) {
        let remaining = self.remaining();
        let released = !self.is_model() || self.lease.is_released();
        match self.drain.step(now, remaining, released) {
            DrainStep::Nothing => {}
            DrainStep::Log => out.push(Action::Log(format!(
                "draining: waiting for {} queued and {} running jobs, {} commands, {} claim rows",
                remaining.queued, remaining.running, remaining.commands, remaining.writes
            ))),
            DrainStep::ReleaseLease => {
                self.lease.start_release(now);
                if self.is_model() {
                    out.extend(self.lease.tick(now).map(Action::Lease));
                }
            }
            DrainStep::Exit if !self.left => {
                self.left = true;
                out.push(Action::Exit);
            }
            DrainStep::Exit => {}
        }
    }

    fn remaining(&self) -> Remaining {
        Remaining {
            queued: self.queue.len(),
            running: self.running,
            commands: self.commands(),
            writes: self.writes.len(),
        }
    }

    /// Returns whether the endpoint is known to be a model engine, which alone takes commands.
    fn is_model(&self) -> bool {
        let backend = self.config.as_ref().map(|config| &config.backend);
        matches!(backend, Some(Backend::Model(_)))
    }
}
