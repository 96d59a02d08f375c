//! The driver of [`AgentCore`]: turns calls and responses into events, and actions into I/O.
//!
//! The actions of an event are started in the order in which the core returned them, while the
//! lock is held. None of them blocks: I/O runs in tasks of the driver's task tracker.

mod jobs;

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use bytes::Bytes;
use decision::agent::Action;
use decision::agent::AgentConfig;
use decision::agent::AgentCore;
use decision::agent::Counters;
use decision::agent::Dump;
use decision::agent::Event;
use decision::collections::Map;
use decision::drain::Reason;
use decision::ids::Head;
use decision::ids::Name;
use decision::job::Job;
use decision::job::Outcome;
use decision::lease::LeaseCall;
use decision::ledger::AttemptKey;
use decision::permit::PermitRequest;
use decision::report::Report;
use decision::time::Time;
use edges::engine::LoadCommand;
use objects::Backend;
use objects::ObjectSet;
use process::Clock;
use process::clock::unix_ms;
use spdlog::info;
use tokio::runtime::Handle;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use wire::Identity;
use wire::ResponseSink;

use crate::claims;
use crate::external::ExternalServices;
use crate::metrics::Metrics;
use crate::permits::Permits;
use crate::records::PendingCommand;

/// A dispatched job with its request body and the sink of its response.
#[derive(Clone)]
struct DispatchedJob {
    job: Arc<Job>,
    body: Bytes,
    sink: ResponseSink,
    arrived_at: Time,
    /// The arrival time for the audit record, in milliseconds since the Unix epoch.
    arrived_unix_ms: u64,
    /// Cancelled to abort the request at the engine.
    abort: CancellationToken,
    /// Cancelled when the job has ended.
    ended: CancellationToken,
}

struct State {
    core: AgentCore,
    rng: fastrand::Rng,
    /// The accepted jobs that have not ended.
    jobs: Map<AttemptKey, DispatchedJob>,
    /// Whether the endpoint is a service rather than a model engine.
    is_service: bool,
    /// The head of the configuration in force.
    head: Head,
}

/// Drives the state machine of one agent and carries out its I/O.
pub(crate) struct Driver {
    identity: Identity,
    clock: Clock,
    external: ExternalServices,
    permits: Permits,
    metrics: Metrics,
    audit: audit::Log,
    // The only lock of this module. It is never held across an await.
    state: Mutex<State>,
    runtime: Handle,
    tasks: TaskTracker,
    /// Set to `true` when the core allows the process to exit.
    may_exit: watch::Sender<bool>,
}

impl Driver {
    /// Creates the driver of an agent that has no configuration yet. Its tasks run on the current
    /// runtime.
    pub(crate) fn new(
        identity: Identity,
        clock: Clock,
        external: ExternalServices,
        permits: Permits,
        metrics: Metrics,
    ) -> Arc<Driver> {
        let state = State {
            core: AgentCore::new(identity.name.clone(), identity.incarnation),
            rng: fastrand::Rng::with_seed(identity.incarnation.0),
            jobs: Map::default(),
            is_service: false,
            head: Head::default(),
        };
        let audit = audit::Log::new(audit::LogSettings::new(
            &identity.name,
            identity.incarnation,
        ));
        Arc::new(Driver {
            identity,
            clock,
            external,
            permits,
            metrics,
            audit,
            state: Mutex::new(state),
            runtime: Handle::current(),
            tasks: TaskTracker::new(),
            may_exit: watch::channel(false).0,
        })
    }

    /// Passes an event to the core and starts the resulting actions.
    pub(crate) fn handle_event(self: &Arc<Self>, event: Event) {
        let mut state = self.lock();
        let actions = state.handle(self.clock.now(), event);
        for action in actions {
            self.perform(&mut state, action);
        }
    }

    /// Takes a dispatched job. The end of the attempt is sent to `sink` whether or not the job is
    /// accepted.
    pub(crate) fn dispatch(self: &Arc<Self>, job: Job, body: Bytes, sink: ResponseSink) {
        let now = self.clock.now();
        let key = AttemptKey::of(&job);
        let mut pending = Some(DispatchedJob {
            job: Arc::new(job.clone()),
            body,
            sink,
            arrived_at: now,
            arrived_unix_ms: unix_ms(),
            abort: CancellationToken::new(),
            ended: CancellationToken::new(),
        });
        let mut state = self.lock();
        let actions = state.handle(now, Event::Dispatch(Box::new(job)));
        for action in actions {
            match action {
                Action::Accept(accepted) if accepted == key => {
                    if let Some(dispatched) = pending.take() {
                        self.watch_sink(key, &dispatched);
                        state.jobs.insert(key, dispatched);
                    }
                }
                Action::Refuse { reason, after, .. } => {
                    let outcome = Outcome::NotRun(reason);
                    self.end_unaccepted(&mut pending, outcome, after);
                }
                Action::Duplicate(_, outcome) => self.end_unaccepted(&mut pending, outcome, None),
                action => self.perform(&mut state, action),
            }
        }
    }

    /// Returns the outcome of an attempt. An attempt that the agent has not seen is recorded as not
    /// run.
    pub(crate) fn settle(self: &Arc<Self>, key: AttemptKey) -> Outcome {
        let mut state = self.lock();
        let actions = state.handle(self.clock.now(), Event::Settle(key));
        let mut result = Outcome::Unknown;
        for action in actions {
            match action {
                Action::Settled(_, outcome) => result = outcome,
                action => self.perform(&mut state, action),
            }
        }
        result
    }

    /// Applies a configuration. The agent drains if the object set does not contain its endpoint.
    pub(crate) fn configure(self: &Arc<Self>, set: &Arc<ObjectSet>, head: &Head) {
        self.permits.set_policy(&set.policy);
        let Some(config) = AgentConfig::for_endpoint(set, head.clone(), &self.identity.name) else {
            if head.generation > 0 {
                info!(
                    "endpoint {} is not in the configuration, draining",
                    self.identity.name
                );
                self.handle_event(Event::Drain(Reason::Config, true));
            }
            return;
        };
        {
            let mut state = self.lock();
            state.is_service = matches!(config.backend, Backend::Service(_));
            state.head = head.clone();
        }
        self.handle_event(Event::Config(Box::new(config)));
    }

    /// Returns the load report if its sequence number is greater than `seen`.
    pub(crate) fn report(&self, seen: u64) -> Option<Report> {
        let report = self.lock().core.report(self.clock.now());
        (report.seq > seen).then_some(report)
    }

    /// Returns the state of the core for the dump.
    pub(crate) fn dump(&self) -> Dump {
        self.lock().core.dump(self.clock.now())
    }

    /// Returns the values behind the metrics: the totals, the numbers of running jobs and of queued
    /// jobs by class, the load report, and whether the agent may command the engine.
    pub(crate) fn metric_values(&self) -> (Counters, (usize, [usize; 3]), Report, bool) {
        let now = self.clock.now();
        let core = &mut self.lock().core;
        let report = core.report(now);
        (
            core.counters(),
            core.job_counts(),
            report,
            core.may_command(now),
        )
    }

    pub(crate) fn permits(&self) -> &Permits {
        &self.permits
    }

    pub(crate) fn audit(&self) -> &audit::Log {
        &self.audit
    }

    pub(crate) fn endpoint(&self) -> &Name {
        &self.identity.name
    }

    /// Waits until all work has ended and the lease is released or left to expire.
    pub(crate) async fn wait_drained(&self) {
        let mut may_exit = self.may_exit.subscribe();
        let _ = may_exit.wait_for(|may_exit| *may_exit).await;
    }

    pub(crate) async fn join_tasks(&self) {
        self.tasks.close();
        self.tasks.wait().await;
    }

    /// Aborts running jobs at the engine and drops queued ones, for a stop without a drain.
    pub(crate) fn abort_jobs(&self) {
        for dispatched in self.lock().jobs.values() {
            dispatched.abort.cancel();
            dispatched.ended.cancel();
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(|poison| poison.into_inner())
    }

    fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        drop(self.tasks.spawn_on(task, &self.runtime));
    }

    /// Spawns a call whose result is passed to the core as an event.
    fn spawn_call(self: &Arc<Self>, call: impl Future<Output = Event> + Send + 'static) {
        let driver = self.clone();
        self.spawn(async move {
            let event = call.await;
            driver.handle_event(event);
        });
    }

    fn perform(self: &Arc<Self>, state: &mut State, action: Action) {
        match action {
            // These reply to a call; `dispatch` and `settle` handle them.
            Action::Accept(_)
            | Action::Refuse { .. }
            | Action::Duplicate(..)
            | Action::Settled(..) => {}
            Action::RequestPermit(to, request) => self.request_permit(to, request),
            Action::ReturnPermit(to, id) => {
                self.spawn(self.permits.release(self.clock.now(), &to, id));
            }
            Action::Load {
                version,
                weights,
                digest,
                fencing,
            } => {
                let pending = PendingCommand::load(&version, &digest, fencing, &state.head);
                let command = LoadCommand {
                    name: version,
                    weights,
                    digest,
                    fencing,
                };
                self.load(command, pending);
            }
            Action::Unload { version, fencing } => {
                let pending = PendingCommand::unload(&version, fencing, &state.head);
                self.unload(version, pending);
            }
            Action::Submit(key) => self.submit(state, key),
            Action::CancelAtEngine(key) => {
                if let Some(dispatched) = state.jobs.get(&key) {
                    dispatched.abort.cancel();
                }
            }
            Action::ReadResident(epoch) => self.read_resident(epoch, state.is_service),
            Action::End(end) => self.end_job(state, end),
            Action::WriteClaim { key, row, outcome } => self.write_claim(key, row, outcome),
            Action::Lease(call) => self.call_lease(call),
            Action::Log(line) => info!("{line}"),
            Action::Exit => {
                self.may_exit.send_replace(true);
            }
        }
    }

    fn request_permit(self: &Arc<Self>, to: Name, request: PermitRequest) {
        let version = request.version.clone();
        let reply = self.permits.request(self.clock.now(), &to, request);
        self.spawn_call(async move {
            Event::Permit {
                version,
                from: to,
                reply: reply.await,
            }
        });
    }

    fn unload(self: &Arc<Self>, version: Name, pending: PendingCommand) {
        let external = self.external.clone();
        let driver = self.clone();
        self.spawn_call(async move {
            let result = external.unload(&version, pending.token).await;
            driver.record_command(pending, result);
            Event::UnloadEnded(version, result)
        });
    }

    fn read_resident(self: &Arc<Self>, epoch: u64, is_service: bool) {
        let external = self.external.clone();
        self.spawn_call(async move {
            let names = external.resident(is_service).await;
            Event::Resident { epoch, names }
        });
    }

    fn write_claim(self: &Arc<Self>, key: AttemptKey, row: String, outcome: Outcome) {
        let external = self.external.clone();
        let incarnation = self.identity.incarnation;
        self.spawn_call(async move {
            claims::write_outcome(&external, incarnation, key, &row, outcome).await;
            Event::ClaimWritten(key)
        });
    }

    fn call_lease(self: &Arc<Self>, call: LeaseCall) {
        let external = self.external.clone();
        let endpoint = self.identity.name.clone();
        self.spawn_call(async move { Event::Lease(external.lease(&endpoint, call).await) });
    }

    fn load(self: &Arc<Self>, command: LoadCommand, pending: PendingCommand) {
        let external = self.external.clone();
        let driver = self.clone();
        let started_at = self.clock.now();
        self.spawn_call(async move {
            let version = command.name.clone();
            let result = external.load(command).await;
            let load_time = driver.clock.now().since(started_at);
            driver.metrics.record_load(load_time, result.is_ok());
            driver.record_command(pending, result);
            Event::LoadEnded(version, result)
        });
    }
}

impl State {
    fn handle(&mut self, now: Time, event: Event) -> Vec<Action> {
        self.core.handle(now, event, &mut self.rng)
    }
}
