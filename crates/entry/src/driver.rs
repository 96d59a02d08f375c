//! Executes the steps of one request: claim, pick, dispatch, retry and response.

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
use crate::records::RequestState;
use crate::relay::Relay;
use crate::response_sender::ResponseSender;
use crate::shared::AdmissionGuard;
use crate::shared::PickGuard;
use crate::shared::Shared;

/// Time limit for an agent to accept a job.
const DISPATCH_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of one settle call, and of the report that confirms its incarnation.
const SETTLE_TIMEOUT: Duration = Duration::from_millis(200);

/// Inputs of [`Driver::run`].
pub(crate) struct DriverArgs {
    pub(crate) spec: RequestSpec,
    pub(crate) body: Bytes,
    /// Permits for the memory that the body takes; held until the driver is dropped.
    pub(crate) body_permit: OwnedSemaphorePermit,
    pub(crate) response: ResponseSender,
    /// Cancelled when the caller disconnects.
    pub(crate) disconnected: CancellationToken,
    /// Request identifier that the caller knows; unique within its workspace only.
    pub(crate) id: String,
    pub(crate) admission: AdmissionGuard,
}

/// Executes one request from its admission to the stored outcome.
pub(crate) struct Driver {
    pub(crate) shared: Arc<Shared>,
    pub(crate) request: Request,
    pub(crate) response: ResponseSender,
    pub(crate) relay: Relay,
    pub(crate) id: String,
    pub(crate) arrived: Time,
    /// End of the last attempt; `None` if it sent none.
    pub(crate) last_end: Option<Box<End>>,
    /// Handle to the attempt at the agent; dropping it cancels the attempt.
    pub(crate) dispatched: Option<DispatchedAttempt>,
    pub(crate) admission: Option<AdmissionGuard>,
    pub(crate) body: Bytes,
    /// Digest of the body, computed on first use.
    pub(crate) body_digest: OnceLock<String>,
    _body_permit: OwnedSemaphorePermit,
    /// Start of the current attempt, in milliseconds since the Unix epoch.
    pub(crate) attempt_start_ms: u64,
    /// Whether an attempt was written to the audit log, or will be when it ends.
    pub(crate) attempt_recorded: bool,
    /// Whether an attempt was dispatched and has not ended.
    attempt_open: bool,
    disconnected: CancellationToken,
    pick_guard: Option<PickGuard>,
    rng: fastrand::Rng,
}

impl Driver {
    /// Runs a request until its response is sent and its outcome is stored.
    ///
    /// A repeatable request is cancelled when its caller disconnects. A non-repeatable one runs on,
    /// so that its outcome is stored for the caller's retry.
    pub(crate) async fn run(shared: Arc<Shared>, args: DriverArgs) {
        let arrived = shared.clock.now();
        let (request, first_step) = {
            let retry_budget = &mut shared.accounting().retry_budget;
            Request::new(arrived, args.spec, retry_budget)
        };
        let rng = shared.routing().rng.fork();
        let mut driver = Driver {
            relay: Relay::new(shared.limits.answer_bytes),
            shared,
            request,
            response: args.response,
            id: args.id,
            arrived,
            last_end: None,
            dispatched: None,
            admission: Some(args.admission),
            body: args.body,
            body_digest: OnceLock::new(),
            _body_permit: args.body_permit,
            attempt_start_ms: unix_ms(),
            attempt_recorded: false,
            attempt_open: false,
            disconnected: args.disconnected,
            pick_guard: None,
            rng,
        };
        driver.insert_record();
        let mut step = first_step;
        loop {
            if let Step::Answer(answer) = step {
                return driver.respond(answer).await;
            }
            let Some(event) = driver.perform_or_disconnect(step).await else {
                return driver.abandon();
            };
            step = driver.next_step(event);
        }
    }

    fn next_step(&mut self, event: Event) -> Step {
        if matches!(event, Event::Expired) {
            self.on_step_timeout();
        }
        let now = self.shared.clock.now();
        let mut accounting = self.shared.accounting();
        self.request
            .next(now, &mut self.rng, &mut accounting.retry_budget, event)
    }

    /// Performs a step until its deadline; returns `None` if the caller of a repeatable request
    /// disconnects first.
    async fn perform_or_disconnect(&mut self, step: Step) -> Option<Event> {
        let remaining = self.request.step_deadline().since(self.shared.clock.now());
        let disconnected = self.disconnected.clone();
        let repeatable = self.request.claim().is_none();
        tokio::select! {
            event = tokio::time::timeout(remaining, self.perform(step)) => {
                Some(event.unwrap_or(Event::Expired))
            }
            () = disconnected.cancelled(), if repeatable => None,
        }
    }

    async fn perform(&mut self, step: Step) -> Event {
        match step {
            Step::Pick => self.pick(),
            Step::Commit { row, version } => self.write_claim(*row, version).await,
            Step::Read => self.read_claim().await,
            Step::Settle(claimed) => self.settle(&claimed).await,
            Step::Wait(until) => {
                tokio::time::sleep(until.since(self.shared.clock.now())).await;
                Event::WaitElapsed
            }
            Step::Dispatch => self.dispatch().await,
            // `run` handles this step before it calls `perform`.
            Step::Answer(_) => Event::Expired,
        }
    }

    fn pick(&mut self) -> Event {
        self.pick_guard = None;
        let guard = self.shared.pick(&self.request.pick_args());
        Event::Picked(guard.map(|guard| {
            let pick = guard.pick.clone();
            self.count_attempt(&guard);
            self.pick_guard = Some(guard);
            pick
        }))
    }

    fn count_attempt(&self, guard: &PickGuard) {
        let retry = if self.request.attempt() > 1 {
            "retry"
        } else {
            "first"
        };
        let load = guard.pick.needs_load.then_some("load");
        let probe = guard.pick.probe.then_some("probe");
        for kind in [Some(retry), load, probe].into_iter().flatten() {
            self.shared
                .metrics
                .attempts
                .with_label_values(&[kind])
                .inc();
        }
    }

    async fn write_claim(&mut self, row: ClaimRow, version: u64) -> Event {
        let Some(key) = self.claim_row_key() else {
            return Event::ReadFailed;
        };
        let result = self.shared.committer.write(key, version, row).await;
        if let WriteResult::Committed(_) = result {
            let elapsed = self.shared.clock.now().since(self.arrived);
            self.shared
                .metrics
                .claim_time
                .observe(elapsed.as_secs_f64());
        }
        Event::Written(result)
    }

    pub(crate) fn claim_row_key(&self) -> Option<String> {
        let claim = self.request.spec().claim.as_ref();
        claim.map(|claim| claim.row.clone())
    }

    async fn read_claim(&self) -> Event {
        let Some(key) = self.claim_row_key() else {
            return Event::ReadFailed;
        };
        match self.shared.external.table.get(&key, TABLE_TIMEOUT).await {
            Ok(None) => Event::RowRead(None),
            Ok(Some(stored)) => match serde_json::from_slice(&stored.value) {
                Ok(row) => Event::RowRead(Some((stored.version, row))),
                Err(err) => {
                    warn!("claim row {key} is malformed: {err}");
                    Event::ReadFailed
                }
            },
            Err(_) => Event::ReadFailed,
        }
    }

    /// Asks the agent for the outcome of an attempt.
    ///
    /// The call does not name the incarnation, so a report read afterwards must show that the
    /// claimed incarnation answered: a replaced agent never received the attempt and would report
    /// it as not run.
    async fn settle(&self, claimed: &ClaimedAttempt) -> Event {
        let Some(peer) = self.shared.peer(&claimed.endpoint) else {
            return Event::SettleFailed;
        };
        let settled = peer.settle(claimed.request, claimed.attempt, SETTLE_TIMEOUT);
        let Ok(outcome) = settled.await else {
            return Event::SettleFailed;
        };
        match peer.report(0, SETTLE_TIMEOUT).await {
            Ok(Some(report)) if report.endpoint != claimed.endpoint => Event::SettleFailed,
            Ok(Some(report)) if report.incarnation != claimed.agent => Event::AgentGone,
            Ok(Some(_)) => Event::Settled(outcome),
            Ok(None) | Err(_) => Event::SettleFailed,
        }
    }

    async fn dispatch(&mut self) -> Event {
        let dispatched_at = self.shared.clock.now();
        let Some(pick) = self.pick_guard.as_ref().map(|guard| guard.pick.clone()) else {
            return Event::LinkLost { sent: false };
        };
        self.relay = Relay::new(self.shared.limits.answer_bytes);
        self.last_end = None;
        self.attempt_start_ms = unix_ms();
        self.attempt_recorded = true;
        self.attempt_open = true;
        let event = self.relay_attempt(&pick, dispatched_at).await;
        let first_chunk_at = self
            .relay
            .first_chunk_at
            .unwrap_or_else(|| self.shared.clock.now());
        match &event {
            Event::Ended(end) => self.on_attempt_end(end, first_chunk_at.since(dispatched_at)),
            Event::LinkLost { sent } => self.on_link_lost(*sent),
            _ => {}
        }
        event
    }

    async fn relay_attempt(&mut self, pick: &Pick, dispatched_at: Time) -> Event {
        let Some(peer) = self.shared.peer(&pick.name) else {
            return Event::LinkLost { sent: false };
        };
        let job = self.request.job(dispatched_at);
        let dispatched = match peer
            .dispatch(&job, self.body.clone(), DISPATCH_TIMEOUT)
            .await
        {
            Ok(dispatched) => self.dispatched.insert(dispatched),
            Err(err) => {
                warn!("job not dispatched: {err}");
                return Event::LinkLost { sent: err.sent };
            }
        };
        let (response, request) = (&mut self.response, &mut self.request);
        let event = self
            .relay
            .run(dispatched, response, request, self.shared.clock)
            .await;
        self.dispatched = None;
        event
    }

    fn on_attempt_end(&mut self, end: &End, latency: Duration) {
        let Some(guard) = self.take_open_attempt() else {
            return;
        };
        self.audit_end(end);
        let metrics = &self.shared.metrics;
        metrics.load_stall.observe(end.stall.as_secs_f64());
        let (name, picked_incarnation) = (guard.pick.name.clone(), guard.pick.incarnation);
        guard.finish(endpoint_outcome(end, latency));
        let now = self.shared.clock.now();
        if end.incarnation == picked_incarnation {
            self.shared.polls().poll_soon(&name, now);
        } else {
            self.shared
                .routing()
                .endpoints
                .set_link(&name, Some(end.incarnation));
            self.shared.polls().reset_agent(&name, now);
        }
        self.last_end = Some(Box::new(end.clone()));
    }

    fn on_link_lost(&mut self, sent: bool) {
        let Some(guard) = self.take_open_attempt() else {
            return;
        };
        self.audit_loss(&guard.pick, sent);
        let name = guard.pick.name.clone();
        let outcome = if sent {
            EndpointOutcome::Failure
        } else {
            EndpointOutcome::Neutral
        };
        guard.finish(outcome);
        self.shared.routing().endpoints.set_link(&name, None);
        self.shared
            .polls()
            .reset_agent(&name, self.shared.clock.now());
    }

    /// Closes an attempt that did not end before the step deadline. The agent ends every attempt
    /// at its deadline, so this counts as a failure of the endpoint unless the relay is waiting for
    /// the caller to read the response.
    fn on_step_timeout(&mut self) {
        if let Some(guard) = self.take_open_attempt() {
            self.audit_loss(&guard.pick, true);
            let awaiting_caller = self.relay.awaiting_caller;
            guard.finish(if awaiting_caller {
                EndpointOutcome::Neutral
            } else {
                EndpointOutcome::Failure
            });
        }
    }

    /// Takes the guard of the attempt at an agent, if there is one, and marks the attempt as ended.
    pub(crate) fn take_open_attempt(&mut self) -> Option<PickGuard> {
        let open = std::mem::take(&mut self.attempt_open);
        self.pick_guard.take().filter(|_| open)
    }

    fn insert_record(&self) {
        let spec = self.request.spec();
        let record = crate::records::RequestRecord {
            request: spec.request,
            route: spec.resolved.route.name.clone(),
            arrived: self.arrived,
            claimed: spec.claim.is_some(),
            state: RequestState::InProgress,
        };
        let workspace = spec.resolved.route.workspace.clone();
        let mut accounting = self.shared.accounting();
        accounting
            .records
            .insert(workspace, self.id.clone(), record);
    }
}
