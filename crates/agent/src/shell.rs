//! The shell around [`AgentCore`]: turns calls and answers into events, and actions into I/O.
//!
//! All actions of one event are started under the one lock, so that their order is the core's; none
//! of them waits. What waits runs in tasks of the shell's tracker.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use bytes::Bytes;
use decision::agent::Action;
use decision::agent::AgentConfig;
use decision::agent::AgentCore;
use decision::agent::Counters;
use decision::agent::Dump;
use decision::agent::EngineResult;
use decision::agent::Event;
use decision::agent::JobEnd;
use decision::collections::Map;
use decision::drain::Reason;
use decision::ids::Head;
use decision::ids::Name;
use decision::job::End;
use decision::job::Failure;
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
use crate::records::Sent;
use crate::run::Run;

/// The time that the entry has to take the end of an attempt over. A lost connection ends the wait
/// at once; a slow caller must not lose the last part of its answer when the agent stops.
const END_TIMEOUT: Duration = Duration::from_secs(60);

/// An accepted job with what is needed to run it.
#[derive(Clone)]
struct Held {
    job: Arc<Job>,
    body: Bytes,
    sink: ResponseSink,
    arrived: Time,
    /// The arrival in milliseconds since the Unix epoch, for the audit.
    start: u64,
    /// Cancelled when the engine is to stop working on the job.
    stop: CancellationToken,
    /// Cancelled when the job has ended.
    ended: CancellationToken,
}

struct Inner {
    core: AgentCore,
    rng: fastrand::Rng,
    jobs: Map<AttemptKey, Held>,
    service: bool,
    /// The configuration in force.
    head: Head,
}

/// One agent's state and its I/O.
pub(crate) struct Shell {
    me: Identity,
    clock: Clock,
    external: ExternalServices,
    permits: Permits,
    metrics: Metrics,
    audit: audit::Log,
    // The only lock of this module; it is never held across an await.
    inner: Mutex<Inner>,
    runtime: Handle,
    tasks: TaskTracker,
    leave: watch::Sender<bool>,
}

impl Shell {
    /// Returns the shell of an agent without configuration. Tasks run on the present runtime.
    pub(crate) fn new(
        me: Identity,
        clock: Clock,
        external: ExternalServices,
        permits: Permits,
        metrics: Metrics,
    ) -> Arc<Shell> {
        let inner = Inner {
            core: AgentCore::new(me.name.clone(), me.incarnation),
            rng: fastrand::Rng::with_seed(me.incarnation.0),
            jobs: Map::default(),
            service: false,
            head: Head::default(),
        };
        let audit = audit::Log::new(audit::Settings::new(&me.name, me.incarnation));
        Arc::new(Shell {
            me,
            clock,
            external,
            permits,
            metrics,
            audit,
            inner: Mutex::new(inner),
            runtime: Handle::current(),
            tasks: TaskTracker::new(),
            leave: watch::channel(false).0,
        })
    }

    /// Takes an event in and starts what is to be done.
    pub(crate) fn event(self: &Arc<Self>, event: Event) {
        let mut inner = self.lock();
        let actions = inner.handle(self.clock.now(), event);
        for action in actions {
            self.perform(&mut inner, action);
        }
    }

    /// Takes a job in. Its end goes to `sink` in any case.
    pub(crate) fn dispatch(self: &Arc<Self>, job: Job, body: Bytes, sink: ResponseSink) {
        let now = self.clock.now();
        let key = AttemptKey::of(&job);
        let mut fresh = Some(Held {
            job: Arc::new(job.clone()),
            body,
            sink,
            arrived: now,
            start: unix_ms(),
            stop: CancellationToken::new(),
            ended: CancellationToken::new(),
        });
        let mut inner = self.lock();
        let actions = inner.handle(now, Event::Dispatch(Box::new(job)));
        for action in actions {
            match action {
                Action::Accept(accepted) if accepted == key => {
                    if let Some(held) = fresh.take() {
                        self.watch_sink(key, &held);
                        inner.jobs.insert(key, held);
                    }
                }
                Action::Refuse { reason, after, .. } => {
                    let outcome = Outcome::NotRun(reason);
                    self.answer_at_once(&mut fresh, outcome, after);
                }
                Action::Duplicate(_, outcome) => self.answer_at_once(&mut fresh, outcome, None),
                action => self.perform(&mut inner, action),
            }
        }
    }

    /// Tells what became of an attempt.
    pub(crate) fn settle(self: &Arc<Self>, key: AttemptKey) -> Outcome {
        let mut inner = self.lock();
        let actions = inner.handle(self.clock.now(), Event::Settle(key));
        let mut settled = Outcome::Unknown;
        for action in actions {
            match action {
                Action::Settled(_, outcome) => settled = outcome,
                action => self.perform(&mut inner, action),
            }
        }
        settled
    }

    /// Puts a configuration in force; an endpoint that the set does not have takes no new work.
    pub(crate) fn configure(self: &Arc<Self>, set: &Arc<ObjectSet>, head: &Head) {
        self.permits.set_policy(&set.policy);
        let Some(config) = AgentConfig::for_endpoint(set, head.clone(), &self.me.name) else {
            if head.generation > 0 {
                info!("the set has no endpoint {}", self.me.name);
                self.event(Event::Drain(Reason::Config, true));
            }
            return;
        };
        {
            let mut inner = self.lock();
            inner.service = matches!(config.backend, Backend::Service(_));
            inner.head = head.clone();
        }
        self.event(Event::Config(Box::new(config)));
    }

    /// Returns the report if its number is above `seen`.
    pub(crate) fn report(&self, seen: u64) -> Option<Report> {
        let report = self.lock().core.report(self.clock.now());
        (report.seq > seen).then_some(report)
    }

    /// Returns the state for operators.
    pub(crate) fn dump(&self) -> Dump {
        self.lock().core.dump(self.clock.now())
    }

    /// Returns the totals, running and queued jobs, the report and whether commands are allowed.
    pub(crate) fn figures(&self) -> (Counters, (usize, [usize; 3]), Report, bool) {
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

    /// Returns the permits of the weight store.
    pub(crate) fn permits(&self) -> &Permits {
        &self.permits
    }

    /// Returns the audit log.
    pub(crate) fn audit(&self) -> &audit::Log {
        &self.audit
    }

    /// Returns the name of the endpoint.
    pub(crate) fn endpoint(&self) -> &Name {
        &self.me.name
    }

    /// Waits until all work is done and the lease is released.
    pub(crate) async fn wait_drained(&self) {
        let mut leave = self.leave.subscribe();
        let _ = leave.wait_for(|left| *left).await;
    }

    /// Joins the tasks.
    pub(crate) async fn join(&self) {
        self.tasks.close();
        self.tasks.wait().await;
    }

    /// Breaks off what still runs and drops what is queued, for a stop that does not wait.
    pub(crate) fn abort(&self) {
        for held in self.lock().jobs.values() {
            held.stop.cancel();
            held.ended.cancel();
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner
            .lock()
            .unwrap_or_else(|poison| poison.into_inner())
    }

    fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        drop(self.tasks.spawn_on(task, &self.runtime));
    }

    /// Runs a call and takes its result in as an event.
    fn call(self: &Arc<Self>, call: impl Future<Output = Event> + Send + 'static) {
        let shell = self.clone();
        self.spawn(async move {
            let event = call.await;
            shell.event(event);
        });
    }

    fn perform(self: &Arc<Self>, inner: &mut Inner, action: Action) {
        match action {
            // These answer a call and are taken up where the call is made.
            Action::Accept(_)
            | Action::Refuse { .. }
            | Action::Duplicate(..)
            | Action::Settled(..) => {}
            Action::AskPermit(to, ask) => self.ask_permit(to, ask),
            Action::ReturnPermit(to, id) => {
                self.spawn(self.permits.release(self.clock.now(), &to, id));
            }
            Action::Load {
                version,
                weights,
                digest,
                fencing,
            } => {
                let sent = Sent::load(&version, &digest, fencing, &inner.head);
                let order = LoadCommand {
                    name: version,
                    weights,
                    digest,
                    fencing,
                };
                self.load(order, sent);
            }
            Action::Unload { version, fencing } => {
                let sent = Sent::unload(&version, fencing, &inner.head);
                self.unload(version, sent);
            }
            Action::Submit(key) => self.submit(inner, key),
            Action::CancelAtEngine(key) => {
                if let Some(held) = inner.jobs.get(&key) {
                    held.stop.cancel();
                }
            }
            Action::ReadResident(epoch) => self.read_resident(epoch, inner.service),
            Action::End(ended) => self.end(inner, ended),
            Action::WriteClaim { key, row, outcome } => self.write_claim(key, row, outcome),
            Action::Lease(call) => self.call_lease(call),
            Action::Log(line) => info!("{line}"),
            Action::Exit => {
                self.leave.send_replace(true);
            }
        }
    }

    fn ask_permit(self: &Arc<Self>, to: Name, ask: PermitRequest) {
        let version = ask.version.clone();
        let reply = self.permits.ask(self.clock.now(), &to, ask);
        self.call(async move {
            Event::Permit {
                version,
                from: to,
                reply: reply.await,
            }
        });
    }

    fn unload(self: &Arc<Self>, version: Name, sent: Sent) {
        let external = self.external.clone();
        let shell = self.clone();
        self.call(async move {
            let result = external.unload(&version, sent.token).await;
            shell.record_command(sent, result);
            Event::UnloadEnded(version, result)
        });
    }

    fn read_resident(self: &Arc<Self>, epoch: u64, service: bool) {
        let external = self.external.clone();
        self.call(async move {
            let names = external.resident(service).await;
            Event::Resident { epoch, names }
        });
    }

    fn write_claim(self: &Arc<Self>, key: AttemptKey, row: String, outcome: Outcome) {
        let external = self.external.clone();
        let own = self.me.incarnation;
        self.call(async move {
            claims::write_outcome(&external, own, key, &row, outcome).await;
            Event::ClaimWritten(key)
        });
    }

    fn call_lease(self: &Arc<Self>, call: LeaseCall) {
        let external = self.external.clone();
        let endpoint = self.me.name.clone();
        self.call(async move { Event::Lease(external.lease(&endpoint, call).await) });
    }

    fn load(self: &Arc<Self>, order: LoadCommand, sent: Sent) {
        let external = self.external.clone();
        let shell = self.clone();
        let started = self.clock.now();
        self.call(async move {
            let version = order.name.clone();
            let result = external.load(order).await;
            let took = shell.clock.now().since(started);
            shell.metrics.note_load(took, result.is_ok());
            shell.record_command(sent, result);
            Event::LoadEnded(version, result)
        });
    }

    fn submit(self: &Arc<Self>, inner: &Inner, key: AttemptKey) {
        let Some(held) = inner.jobs.get(&key).cloned() else {
            return;
        };
        let shell = self.clone();
        self.call(async move {
            let finish = shell.run(key, &held).await;
            Event::AttemptEnded(key, finish)
        });
    }

    /// Runs a job to its end or until it is cancelled. Dropping the answer closes the connection,
    /// which cancels the request at the engine.
    async fn run(self: &Arc<Self>, key: AttemptKey, held: &Held) -> EngineResult {
        let run = Run {
            external: &self.external,
            job: &held.job,
            sink: &held.sink,
        };
        let waited = self.clock.now().since(held.arrived);
        let left = held.job.left.saturating_sub(waited);
        let work = async {
            let answer = match run.submit(held.body.clone(), left).await {
                Ok(answer) => answer,
                Err(finish) => return finish,
            };
            self.event(Event::ResponseStarted(key));
            run.relay(answer).await
        };
        tokio::select! {
            biased;
            () = held.stop.cancelled() => EngineResult::Incomplete(Failure::Truncated),
            finish = work => finish,
        }
    }

    /// Reports the loss of the entry's connection while the job has not ended.
    fn watch_sink(self: &Arc<Self>, key: AttemptKey, held: &Held) {
        let (sink, ended) = (held.sink.clone(), held.ended.clone());
        let shell = self.clone();
        self.spawn(async move {
            tokio::select! {
                () = sink.closed() => shell.event(Event::SinkBroken(key)),
                () = ended.cancelled() => {}
            }
        });
    }

    fn end(self: &Arc<Self>, inner: &mut Inner, ended: JobEnd) {
        let Some(held) = inner.jobs.remove(&ended.key) else {
            return;
        };
        held.ended.cancel();
        self.metrics.note_stall(ended.stall);
        let end = self.end_of(ended.outcome, ended.failure, ended.stall, ended.after);
        let claimed = held.job.row.is_some();
        let shell = self.clone();
        self.spawn(async move {
            shell.record_end(&held.job, &end, held.start, &held.body);
            let delivered = deliver(held.sink, end).await;
            if claimed {
                shell.event(Event::Delivered(ended.key, delivered));
            }
        });
    }

    fn answer_at_once(
        self: &Arc<Self>,
        fresh: &mut Option<Held>,
        outcome: Outcome,
        after: Option<Duration>,
    ) {
        let Some(held) = fresh.take() else {
            return;
        };
        // An attempt that was seen before is recorded at its own end, and its answer went to the
        // first dispatch: without a failure, nothing at all would look like a whole answer.
        let is_first = matches!(outcome, Outcome::NotRun(_));
        let failure = (!is_first).then_some(Failure::Truncated);
        let end = self.end_of(outcome, failure, Duration::ZERO, after);
        let shell = self.clone();
        self.spawn(async move {
            if is_first {
                shell.record_end(&held.job, &end, held.start, &held.body);
            }
            deliver(held.sink, end).await;
        });
    }

    fn end_of(
        &self,
        outcome: Outcome,
        failure: Option<Failure>,
        stall: Duration,
        after: Option<Duration>,
    ) -> End {
        End {
            outcome,
            failure,
            incarnation: self.me.incarnation,
            endpoint: self.me.name.clone(),
            stall,
            chunks: 0,
            after,
        }
    }
}

impl Inner {
    fn handle(&mut self, now: Time, event: Event) -> Vec<Action> {
        self.core.handle(now, event, &mut self.rng)
    }
}

/// Sends the end and waits until the connection has taken it over; returns whether it was still
/// open.
async fn deliver(sink: ResponseSink, end: End) -> bool {
    let sent = async {
        let open = sink.end(end).await.is_ok();
        sink.closed().await;
        open
    };
    tokio::time::timeout(END_TIMEOUT, sent)
        .await
        .unwrap_or(false)
}
