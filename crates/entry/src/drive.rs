//! Carries out the steps of one request.

use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Duration;

use bytes::Bytes;
use decision::claim::ClaimRow;
use decision::claim::ClaimedAttempt;
use decision::claim::group::WriteResult;
use decision::job::End;
use decision::placement::EndpointOutcome;
use decision::placement::Pick;
use decision::request::Event;
use decision::request::Request;
use decision::request::RequestSpec;
use decision::request::Step;
use decision::request::endpoint_outcome;
use decision::time::Time;
use process::clock::unix_ms;
use spdlog::warn;
use tokio::sync::OwnedSemaphorePermit;
use tokio_util::sync::CancellationToken;
use wire::DispatchedAttempt;

use crate::committer::TABLE_TIMEOUT;
use crate::outlet::Outlet;
use crate::records::State;
use crate::relay::Relay;
use crate::shared::Admitted;
use crate::shared::Placed;
use crate::shared::Shared;

/// The time within which an agent must take a job over.
const DISPATCH_TIMEOUT: Duration = Duration::from_millis(500);
/// The timeout of one settle.
const SETTLE_TIMEOUT: Duration = Duration::from_millis(200);

/// What a request is started with.
pub(crate) struct Start {
    pub(crate) arrival: RequestSpec,
    pub(crate) body: Bytes,
    /// The memory that the body takes.
    pub(crate) memory: OwnedSemaphorePermit,
    pub(crate) outlet: Outlet,
    /// Cancelled once the caller is gone.
    pub(crate) gone: CancellationToken,
    /// The identifier that the caller knows.
    pub(crate) id: String,
    pub(crate) admitted: Admitted,
}

/// One request in progress.
pub(crate) struct Driver {
    pub(crate) shared: Arc<Shared>,
    pub(crate) request: Request,
    pub(crate) outlet: Outlet,
    pub(crate) relay: Relay,
    pub(crate) id: String,
    pub(crate) arrived: Time,
    /// The end of the last attempt.
    pub(crate) end: Option<Box<End>>,
    /// The attempt at the agent; dropping it cancels the attempt.
    pub(crate) flight: Option<DispatchedAttempt>,
    pub(crate) admitted: Option<Admitted>,
    pub(crate) body: Bytes,
    /// The digest of the body, once it was asked for.
    pub(crate) asked: OnceLock<String>,
    _memory: OwnedSemaphorePermit,
    /// The start of the present attempt, in milliseconds since the Unix epoch.
    pub(crate) started: u64,
    /// Whether an attempt was recorded for the audit, or will be.
    pub(crate) recorded: bool,
    /// Whether an attempt is at an agent.
    open: bool,
    gone: CancellationToken,
    placed: Option<Placed>,
    rng: fastrand::Rng,
}

impl Driver {
    /// Drives a request to its answer.
    ///
    /// A repeatable request ends when its caller is gone. One that is not runs on, so that its
    /// outcome is stored for the caller's retry.
    pub(crate) async fn run(shared: Arc<Shared>, start: Start) {
        let arrived = shared.clock.now();
        let (request, first) = {
            let budget = &mut shared.book().budget;
            Request::new(arrived, start.arrival, budget)
        };
        let rng = shared.routing().rng.fork();
        let mut driver = Driver {
            relay: Relay::new(shared.settings.answer_bytes),
            shared,
            request,
            outlet: start.outlet,
            id: start.id,
            arrived,
            end: None,
            flight: None,
            admitted: Some(start.admitted),
            body: start.body,
            asked: OnceLock::new(),
            _memory: start.memory,
            started: unix_ms(),
            recorded: false,
            open: false,
            gone: start.gone,
            placed: None,
            rng,
        };
        driver.open_record();
        let mut step = first;
        loop {
            if let Step::Answer(answer) = step {
                return driver.answer(answer).await;
            }
            let Some(event) = driver.perform_wanted(step).await else {
                return driver.abandon();
            };
            step = driver.next(event);
        }
    }

    fn next(&mut self, event: Event) -> Step {
        if matches!(event, Event::Expired) {
            self.take_silence();
        }
        let now = self.shared.clock.now();
        let mut book = self.shared.book();
        self.request
            .next(now, &mut self.rng, &mut book.budget, event)
    }

    /// Performs a step within its time; returns `None` if the caller of a repeatable request is
    /// gone.
    async fn perform_wanted(&mut self, step: Step) -> Option<Event> {
        let left = self.request.step_deadline().since(self.shared.clock.now());
        let gone = self.gone.clone();
        let repeatable = self.request.claim().is_none();
        tokio::select! {
            event = tokio::time::timeout(left, self.perform(step)) => {
                Some(event.unwrap_or(Event::Expired))
            }
            () = gone.cancelled(), if repeatable => None,
        }
    }

    async fn perform(&mut self, step: Step) -> Event {
        match step {
            Step::Pick => self.pick(),
            Step::Commit { row, version } => self.commit(*row, version).await,
            Step::Read => self.read().await,
            Step::Settle(named) => self.settle(&named).await,
            Step::Wait(until) => {
                tokio::time::sleep(until.since(self.shared.clock.now())).await;
                Event::Woke
            }
            Step::Dispatch => self.dispatch().await,
            // The loop ends before an answer is performed.
            Step::Answer(_) => Event::Expired,
        }
    }

    fn pick(&mut self) -> Event {
        self.placed = None;
        let placed = self.shared.pick(&self.request.pick_args());
        Event::Picked(placed.map(|placed| {
            let pick = placed.pick.clone();
            self.count_attempt(&placed);
            self.placed = Some(placed);
            pick
        }))
    }

    fn count_attempt(&self, placed: &Placed) {
        let retry = if self.request.attempt() > 1 {
            "retry"
        } else {
            "first"
        };
        let load = placed.pick.needs_load.then_some("load");
        let probe = placed.pick.probe.then_some("probe");
        for kind in [Some(retry), load, probe].into_iter().flatten() {
            self.shared
                .metrics
                .attempts
                .with_label_values(&[kind])
                .inc();
        }
    }

    async fn commit(&mut self, row: ClaimRow, version: u64) -> Event {
        let Some(key) = self.row_key() else {
            return Event::ReadFailed;
        };
        let result = self.shared.committer.write(key, version, row).await;
        if let WriteResult::Committed(_) = result {
            let took = self.shared.clock.now().since(self.arrived);
            self.shared.metrics.claim.observe(took.as_secs_f64());
        }
        Event::Written(result)
    }

    pub(crate) fn row_key(&self) -> Option<String> {
        let claim = self.request.spec().claim.as_ref();
        claim.map(|claim| claim.row.clone())
    }

    async fn read(&self) -> Event {
        let Some(key) = self.row_key() else {
            return Event::ReadFailed;
        };
        match self.shared.external.table.get(&key, TABLE_TIMEOUT).await {
            Ok(None) => Event::Row(None),
            Ok(Some(held)) => match serde_json::from_slice(&held.value) {
                Ok(row) => Event::Row(Some((held.version, row))),
                Err(err) => {
                    warn!("claim row {key} is malformed: {err}");
                    Event::ReadFailed
                }
            },
            Err(_) => Event::ReadFailed,
        }
    }

    /// Asks the agent what became of an attempt. The call does not name the incarnation, so a
    /// report that is read afterwards has to show that the named one answered it: an agent that was
    /// replaced never saw the attempt and would call it not run.
    async fn settle(&self, named: &ClaimedAttempt) -> Event {
        let Some(peer) = self.shared.peer(&named.endpoint) else {
            return Event::SettleFailed;
        };
        let settled = peer.settle(named.request, named.attempt, SETTLE_TIMEOUT);
        let Ok(outcome) = settled.await else {
            return Event::SettleFailed;
        };
        match peer.report(0, SETTLE_TIMEOUT).await {
            Ok(Some(report)) if report.endpoint != named.endpoint => Event::SettleFailed,
            Ok(Some(report)) if report.incarnation != named.agent => Event::AgentGone,
            Ok(Some(_)) => Event::Settled(outcome),
            Ok(None) | Err(_) => Event::SettleFailed,
        }
    }

    async fn dispatch(&mut self) -> Event {
        let begun = self.shared.clock.now();
        let Some(pick) = self.placed.as_ref().map(|placed| placed.pick.clone()) else {
            return Event::LinkLost { sent: false };
        };
        self.relay = Relay::new(self.shared.settings.answer_bytes);
        self.end = None;
        self.started = unix_ms();
        self.recorded = true;
        self.open = true;
        let event = self.relay_attempt(&pick, begun).await;
        let first = self.relay.first.unwrap_or_else(|| self.shared.clock.now());
        match &event {
            Event::Ended(end) => self.take_end(end, first.since(begun)),
            Event::LinkLost { sent } => self.take_loss(*sent),
            _ => {}
        }
        event
    }

    async fn relay_attempt(&mut self, pick: &Pick, begun: Time) -> Event {
        let Some(peer) = self.shared.peer(&pick.name) else {
            return Event::LinkLost { sent: false };
        };
        let job = self.request.job(begun);
        let flight = match peer
            .dispatch(&job, self.body.clone(), DISPATCH_TIMEOUT)
            .await
        {
            Ok(flight) => self.flight.insert(flight),
            Err(err) => {
                warn!("job not dispatched: {err}");
                return Event::LinkLost { sent: err.sent };
            }
        };
        let (outlet, request) = (&mut self.outlet, &mut self.request);
        let event = self
            .relay
            .run(flight, outlet, request, self.shared.clock)
            .await;
        self.flight = None;
        event
    }

    fn take_end(&mut self, end: &End, latency: Duration) {
        let Some(placed) = self.close_attempt() else {
            return;
        };
        self.record_end(end);
        let metrics = &self.shared.metrics;
        metrics.stall.observe(end.stall.as_secs_f64());
        let (name, known) = (placed.pick.name.clone(), placed.pick.incarnation);
        placed.finish(endpoint_outcome(end, latency));
        let now = self.shared.clock.now();
        if end.incarnation == known {
            self.shared.polls().hasten(&name, now);
        } else {
            self.shared
                .routing()
                .places
                .set_link(&name, Some(end.incarnation));
            self.shared.polls().renew(&name, now);
        }
        self.end = Some(Box::new(end.clone()));
    }

    fn take_loss(&mut self, sent: bool) {
        let Some(placed) = self.close_attempt() else {
            return;
        };
        self.record_loss(&placed.pick, sent);
        let name = placed.pick.name.clone();
        let end = if sent {
            EndpointOutcome::Failure
        } else {
            EndpointOutcome::Neutral
        };
        placed.finish(end);
        self.shared.routing().places.set_link(&name, None);
        self.shared.polls().renew(&name, self.shared.clock.now());
    }

    /// Notes that an attempt gave no sign within its time. The agent ends an attempt at its
    /// deadline, so the fault is the endpoint's unless the caller does not take the answer.
    fn take_silence(&mut self) {
        if let Some(placed) = self.close_attempt() {
            self.record_loss(&placed.pick, true);
            let blocked = self.relay.blocked;
            placed.finish(if blocked {
                EndpointOutcome::Neutral
            } else {
                EndpointOutcome::Failure
            });
        }
    }

    /// Returns the attempt that is at an agent, if there is one, and takes it as ended.
    pub(crate) fn close_attempt(&mut self) -> Option<Placed> {
        let open = std::mem::take(&mut self.open);
        self.placed.take().filter(|_| open)
    }

    fn open_record(&self) {
        let arrival = self.request.spec();
        let record = crate::records::Record {
            request: arrival.request,
            route: arrival.resolved.route.name.clone(),
            arrived: self.arrived,
            claimed: arrival.claim.is_some(),
            state: State::InProgress,
        };
        let workspace = arrival.resolved.route.workspace.clone();
        let mut book = self.shared.book();
        book.records.insert(workspace, self.id.clone(), record);
    }
}
