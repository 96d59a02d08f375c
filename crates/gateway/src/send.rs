//! One attempt: opens a connection, sends the request and interprets the runner's response.
//!
//! Invariants: a runner is recorded as tried before the first byte is written; a connection is
//! reused only after a complete response.

use std::time::Duration;

use decision::time::Time;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::body::Incoming;
use platform::runner;
use platform::runner::AttemptParams;
use platform::runner::ResponseHead;
use platform::runner::ResponseKind;
use serving::Name;
use serving::attempt::Outcome;
use serving::config::RouteKind;
use serving::fleet::HealthSignal;
use serving::placement::Access;
use serving::placement::Placement;
use spdlog::info;
use spdlog::warn;
use tokio::time::timeout_at;

use crate::admit::AnnouncedPrompt;
use crate::attempt::AnswerProgress;
use crate::attempt::AttemptResponse;
use crate::attempt::FailedAttempt;
use crate::attempt::OpenStream;
use crate::attempt::RunningAttempt;
use crate::buffer::ReadError;
use crate::conns::Reuse;
use crate::conns::RunnerConn;
use crate::dispatch::ActiveRequest;
use crate::dispatch::Step;
use crate::send_check::PendingSend;
use crate::slot::HeldSlot;

/// The time after which a repeatable request without a stream is sent to another runner, as a
/// multiple of the route's latency goal.
const ATTEMPT_GOAL_FACTOR: f64 = 2.0;
/// As [`ATTEMPT_GOAL_FACTOR`], up to the first event of a stream.
const STREAM_ATTEMPT_GOAL_FACTOR: f64 = 1.4;
/// The lower bound of the time computed from these factors.
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(250);
/// The longest idle time of a connection that is reused for a request that must not run twice. If
/// the runner closes an idle connection while the request is being sent, the request may have run
/// and cannot be repeated.
const NON_IDEMPOTENT_MAX_IDLE: Duration = Duration::from_millis(1_500);
/// The longest idle time of a connection that is reused for other requests.
const MAX_IDLE: Duration = Duration::from_secs(60);
/// The length of a prompt from which its prefill is worth more than the wait of others, in tokens.
const LONG_PROMPT_TOKENS: u32 = 4_096;
/// The assumed time until a runner that rejects requests for an adapter has it loaded again.
const REJECTED_ADAPTER_DELAY: Duration = Duration::from_millis(150);
/// The largest body of a rejection that is read so that its connection can be reused.
const MAX_REJECTION_BYTES: usize = 16 << 10;
/// The time limit for reading the body of a rejection.
const REJECTION_TIMEOUT: Duration = Duration::from_millis(50);

impl ActiveRequest {
    /// Returns the priority of the request at the engine. A request that is preempted is read anew, so
    /// a long prompt, whose prefill would be lost, is as urgent there as any other.
    fn engine_priority(&self) -> u8 {
        if self.head.request.prompt_tokens >= LONG_PROMPT_TOKENS {
            return 0;
        }
        self.route.priority
    }

    /// Runs one attempt at the chosen runner; the error holds its outcome and the failure response
    /// of the runner, if there was one.
    pub(crate) async fn run_attempt(
        &mut self,
        placement: &Placement,
        prompt: Option<AnnouncedPrompt>,
        resume: Option<u64>,
    ) -> Result<AttemptResponse, FailedAttempt> {
        let runner = &placement.runner;
        self.step = Step::Connection;
        let conn = self
            .connect(placement)
            .await
            .ok_or(FailedAttempt::from(Outcome::NotSent))?;
        let now = self.entry.now();
        let adapter = self.adapter().cloned();
        let tokens = self.head.request.prompt_tokens;
        if self.is_held() {
            return Err(Outcome::NotSent.into());
        }
        let slot = self.slot.take();
        // The runner may have begun to leave, or have started again, since it was chosen.
        let begun = self.entry.state().fleet.begin_request(
            now,
            runner,
            placement.born,
            adapter.as_ref(),
            tokens,
            slot.as_ref().and_then(HeldSlot::get),
        );
        let inflight = begun.ok_or(FailedAttempt::from(Outcome::NotSent))?;
        if let Some(slot) = slot {
            slot.set_used();
        }
        let mut attempt = RunningAttempt {
            entry: self.entry.clone(),
            inflight: Some(inflight),
            conn: Some(conn),
            prompt,
            idle_timeout: None,
        };
        let version = match placement.access {
            Access::Ready { version } if version > 0 => Some(version),
            _ => None,
        };
        let params = AttemptParams {
            runner,
            remaining: self.deadline.since(now),
            expected_version: version,
            priority: self.engine_priority(),
            resume_after: resume,
        };
        let request = runner::encode_request(&self.head, self.body.clone(), &params);
        let deadline = self.attempt_deadline(now);
        self.response_kind = None;
        let deadline_at = self.entry.clock.instant(deadline);
        self.attempts.record_sent(runner);
        self.record_send(now);
        let Some(conn) = attempt.conn.as_mut() else {
            return Err(Outcome::NotSent.into());
        };
        conn.check.announce(PendingSend {
            caller: self.caller.conn.clone(),
            sends: self.entry.metrics.sends.clone(),
        });
        let sent = timeout_at(deadline_at, conn.sender.try_send_request(request)).await;
        let withheld = conn.check.is_withheld();
        let response = match sent {
            Ok(Ok(response)) => response,
            _ if withheld => return Err(Outcome::NotSent.into()),
            Ok(Err(mut error)) => {
                let not_sent = error.take_message().is_some();
                if conn.reads.is_refused() {
                    let runner = attempt.runner();
                    self.log_unreadable(runner, &ReadError::NoMemory.to_string());
                    attempt.finish(HealthSignal::Neutral, false);
                    return Err(Outcome::Unknown.into());
                }
                attempt.finish(
                    if not_sent {
                        HealthSignal::Neutral
                    } else {
                        HealthSignal::Failed
                    },
                    false,
                );
                if not_sent {
                    return Err(Outcome::NotSent.into());
                }
                return Err(AnswerProgress::Waiting.into());
            }
            Err(_) => {
                attempt.finish(HealthSignal::Failed, false);
                return Err(AnswerProgress::Waiting.into());
            }
        };
        conn.reads.begin_body();
        self.step = Step::ResponseBody;
        let (parts, body) = response.into_parts();
        let reused = attempt.conn.as_ref().is_some_and(|conn| conn.reused);
        let id = &self.head.request.id;
        let response_head = runner::decode_response_head(&parts, id, runner, reused);
        attempt.idle_timeout = response_head.idle_timeout;
        self.response_kind = Some(response_head.kind);
        self.record_notice(placement, &response_head);
        if let Some(load) = response_head.load {
            self.entry.state().fleet.record_load(runner, load);
        }
        let continues = resume.is_some() && response_head.kind == ResponseKind::Success;
        if continues && !response_head.is_event_stream {
            // Its text must not reach the caller in the middle of a stream.
            self.log_unreadable(runner, "no stream of events");
            attempt.finish(HealthSignal::Failed, false);
            return Err(Outcome::Unknown.into());
        }
        self.handle_response(attempt, response_head, body, deadline)
            .await
    }

    fn record_send(&mut self, now: Time) {
        self.sends += 1;
        self.sent_at = now;
        self.step = Step::Response;
    }

    async fn handle_response(
        &mut self,
        attempt: RunningAttempt,
        response_head: ResponseHead,
        body: Incoming,
        deadline: Time,
    ) -> Result<AttemptResponse, FailedAttempt> {
        match response_head.kind {
            ResponseKind::Success if self.route.kind.is_stream() => {
                self.read_first_events(attempt, response_head, body, deadline)
                    .await
            }
            ResponseKind::Success | ResponseKind::Failure => {
                self.read_response(attempt, response_head, body).await
            }
            ResponseKind::NotRun => {
                self.record_rejection(attempt.runner());
                finish_after_body(attempt, response_head, body, HealthSignal::Neutral).await;
                Err(Outcome::NotRun.into())
            }
            ResponseKind::NotLoaded => {
                if let Some(adapter) = self.adapter() {
                    self.entry
                        .state()
                        .fleet
                        .remove_adapter(attempt.runner(), adapter);
                }
                finish_after_body(attempt, response_head, body, HealthSignal::Neutral).await;
                Err(Outcome::NotRun.into())
            }
            ResponseKind::OtherRunner => {
                let by = response_head.instance.as_deref().unwrap_or_default();
                info!("runner replaced", kv: { runner = attempt.runner(), by });
                let mut state = self.entry.state();
                state.fleet.mark_replaced(attempt.runner());
                state.fleet.mark_answering(attempt.runner(), by);
                drop(state);
                if let Some(born) = attempt.born() {
                    self.entry.record_runner_ended(attempt.runner(), born);
                }
                self.entry.mark_members_outdated();
                attempt.finish(HealthSignal::Neutral, false);
                Err(Outcome::NotRun.into())
            }
            ResponseKind::Unverified => {
                attempt.finish(HealthSignal::Failed, false);
                Err(Outcome::Unknown.into())
            }
        }
    }

    /// Marks the adapter as not ready for a moment at a runner that did not run the request: an
    /// engine rejects requests while it replaces or unloads their adapter.
    fn record_rejection(&self, runner: &str) {
        let now = self.entry.now();
        let mut state = self.entry.state();
        if let Some(adapter) = self.adapter() {
            let version = state.versions.newest(adapter);
            let ready_at = now.after(REJECTED_ADAPTER_DELAY);
            state
                .fleet
                .expect_adapter(runner, adapter, version, ready_at);
        }
    }

    /// Reads the complete body of a response.
    async fn read_response(
        &mut self,
        attempt: RunningAttempt,
        response_head: ResponseHead,
        body: Incoming,
    ) -> Result<AttemptResponse, FailedAttempt> {
        let deadline = self.entry.clock.instant(self.deadline);
        let read = timeout_at(deadline, self.entry.buffers.read(body)).await;
        let body = match read {
            Ok(Ok(body)) => body,
            Ok(Err(error)) => {
                self.log_unreadable(attempt.runner(), &error.to_string());
                attempt.finish(error.health_signal(), false);
                return Err(AnswerProgress::Begun.into());
            }
            Err(_) => {
                attempt.finish(HealthSignal::Failed, false);
                return Err(AnswerProgress::Begun.into());
            }
        };
        self.record_answer(&attempt);
        let time = self.entry.now().since(self.arrival);
        let failed = response_head.kind == ResponseKind::Failure;
        let signal = match (failed, response_head.status.is_client_error()) {
            (true, true) => HealthSignal::Neutral,
            (true, false) => HealthSignal::Failed,
            (false, _) => HealthSignal::Success(time),
        };
        let reusable = !response_head.closes_connection;
        attempt.finish(signal, reusable);
        let response_head = Box::new(response_head);
        if failed {
            return Err(FailedAttempt {
                outcome: Outcome::Failed,
                failure: Some((response_head, body)),
                broken: None,
            });
        }
        Ok(AttemptResponse::Complete(response_head, body))
    }

    pub(crate) fn log_unreadable(&self, runner: &str, error: &str) {
        let unreadable = &self.entry.metrics.unreadable;
        unreadable.with_label_values(&[error]).inc();
        warn!("response cannot be read", kv: { id = &*self.head.request.id, runner, error });
    }

    /// Reads a stream up to its first complete event.
    async fn read_first_events(
        &mut self,
        mut attempt: RunningAttempt,
        response_head: ResponseHead,
        mut body: Incoming,
        deadline: Time,
    ) -> Result<AttemptResponse, FailedAttempt> {
        let deadline = self.entry.clock.instant(deadline);
        let mut splitter = self.entry.buffers.split_events();
        loop {
            let frame = match timeout_at(deadline, body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(_)) | None) | Err(_) => {
                    attempt.finish(HealthSignal::Failed, false);
                    return Err(AnswerProgress::Begun.into());
                }
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let first_events = match splitter.push(&data) {
                Ok(events) => events,
                Err(error) => {
                    self.log_unreadable(attempt.runner(), &error.to_string());
                    attempt.finish(error.health_signal(), false);
                    return Err(Outcome::Unknown.into());
                }
            };
            if first_events.is_empty() {
                continue;
            }
            attempt.prompt = None;
            self.record_answer(&attempt);
            if let Some(inflight) = attempt.inflight.as_mut() {
                self.entry.state().fleet.mark_answered(inflight);
            }
            return Ok(AttemptResponse::Stream(Box::new(OpenStream {
                closes_connection: response_head.closes_connection,
                response_head,
                attempt,
                body,
                first_events,
                splitter,
            })));
        }
    }

    /// Returns when the attempt is abandoned: early enough for another runner if the request may be
    /// sent to one, otherwise at the request's deadline.
    fn attempt_deadline(&self, now: Time) -> Time {
        let can_retry = self.route.kind.is_repeatable() && self.attempts.tried().is_empty();
        if !can_retry || self.route.max_attempts < 2 {
            return self.deadline;
        }
        let goal_factor = match self.route.kind {
            RouteKind::Stream { .. } => STREAM_ATTEMPT_GOAL_FACTOR,
            RouteKind::Idempotent | RouteKind::NonIdempotent => ATTEMPT_GOAL_FACTOR,
        };
        let timeout = self
            .route
            .goal
            .mul_f64(goal_factor)
            .max(MIN_ATTEMPT_TIMEOUT);
        now.after(timeout).min(self.deadline)
    }

    /// Takes or opens a connection to the incarnation that was chosen.
    async fn connect(&self, placement: &Placement) -> Option<RunnerConn> {
        let now = self.entry.now();
        let (runner, born) = (&placement.runner, placement.born);
        let reuse = if self.route.kind.is_repeatable() {
            Reuse::Within(MAX_IDLE)
        } else {
            Reuse::UnrejectedWithin(NON_IDEMPOTENT_MAX_IDLE)
        };
        if let Some(conn) = self.entry.conns.take_idle(now, runner, born, reuse) {
            return Some(conn);
        }
        let addr = {
            let state = self.entry.state();
            let member = &state.fleet.get(runner)?.member;
            (member.born == born).then_some(member.addr)?
        };
        self.entry.metrics.runner_connects.inc();
        match self.entry.conns.open(addr).await {
            Ok(conn) => Some(conn),
            Err(error) => {
                self.record_unreachable(runner);
                if error.refused {
                    self.entry.record_runner_ended(runner, born);
                }
                let error = error.to_string();
                warn!("runner unreachable", kv: { runner = &**runner, error = error.as_str() });
                None
            }
        }
    }
}

impl ActiveRequest {
    fn record_unreachable(&self, runner: &Name) {
        let now = self.entry.now();
        let mut state = self.entry.state();
        let state = &mut *state;
        state
            .fleet
            .observe(now, runner, HealthSignal::Unreachable, &mut state.rng);
    }
}

/// Reads the short body of a rejection, so that its connection can be reused.
async fn finish_after_body(
    mut attempt: RunningAttempt,
    response_head: ResponseHead,
    body: Incoming,
    signal: HealthSignal,
) {
    let collect = Limited::new(body, MAX_REJECTION_BYTES).collect();
    let complete = matches!(
        tokio::time::timeout(REJECTION_TIMEOUT, collect).await,
        Ok(Ok(_))
    );
    if let Some(conn) = &mut attempt.conn {
        conn.rejected = true;
    }
    attempt.finish(signal, complete && !response_head.closes_connection);
}
