//! One attempt: the connection, the request, and what the runner's answer means.
//!
//! Invariants: a runner is counted as tried before the first byte is written; a connection is kept
//! only after a whole answer.

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
use serving::events::EventSplitter;
use serving::fleet::HealthSignal;
use serving::placement::Access;
use serving::placement::Placement;
use spdlog::info;
use spdlog::warn;
use tokio::time::timeout_at;

use crate::conns::Conn;
use crate::dispatch::Job;
use crate::run::Live;
use crate::run::Missed;
use crate::run::Opened;
use crate::run::Run;

/// The time after which a repeatable request is sent to another runner, in multiples of its goal.
const PLAIN_PATIENCE_GOALS: f64 = 2.0;
const STREAM_PATIENCE_GOALS: f64 = 1.4;
/// The shortest such time.
const MIN_PATIENCE: Duration = Duration::from_millis(250);
/// How recently a connection must have been used for a request that may run once only; a request
/// on a connection that the runner closes at that moment may have run.
const ONCE_MAX_IDLE: Duration = Duration::from_millis(1_500);
/// The same for other requests.
const MAX_IDLE: Duration = Duration::from_secs(60);
/// The assumed time until an adapter is there again whose requests a runner turns away.
const TURNED_AWAY_PAUSE: Duration = Duration::from_millis(150);
/// The largest answer that is not a stream, in bytes.
const MAX_ANSWER: usize = 16 << 20;
/// The largest body of a refusal that is read for the sake of its connection, in bytes.
const MAX_REFUSAL: usize = 16 << 10;
/// The time for reading it.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(50);

impl Job {
    /// Makes one attempt; an error holds how it ended and the runner's failure, if it sent one.
    pub(crate) async fn attempt(
        &mut self,
        placed: &Placement,
        resume: Option<u64>,
    ) -> Result<Opened, Missed> {
        let runner = &placed.runner;
        let conn = self
            .connect(runner)
            .await
            .ok_or(Missed::from(Outcome::NotSent))?;
        let now = self.entry.now();
        let adapter = self.adapter().cloned();
        let lease = {
            let mut state = self.entry.state();
            let open = state
                .fleet
                .get(runner)
                .is_some_and(|runner| runner.accepts_requests());
            let tokens = self.head.request.prompt_tokens;
            let lease = open.then(|| state.fleet.begin_request(runner, adapter.as_ref(), tokens));
            lease.flatten().ok_or(Missed::from(Outcome::NotSent))?
        };
        let mut run = Run {
            entry: self.entry.clone(),
            lease: Some(lease),
            conn: Some(conn),
            idle: None,
        };
        let version = match placed.access {
            Access::Ready { version } if version > 0 => Some(version),
            _ => None,
        };
        let params = AttemptParams {
            runner,
            remaining: self.deadline.since(now),
            expected_version: version,
            priority: self.route.priority,
            resume_after: resume,
        };
        let request = runner::encode_request(&self.head, self.body.clone(), &params);
        let limit = self.attempt_limit(now);
        self.meaning = None;
        let limit_at = self.entry.timer.instant(limit);
        self.attempts.record_sent(runner);
        self.sends += 1;
        let sender = run.conn.as_mut().map(|conn| &mut conn.sender);
        let Some(sender) = sender else {
            return Err(Outcome::NotSent.into());
        };
        let response = match timeout_at(limit_at, sender.try_send_request(request)).await {
            Ok(Ok(response)) => response,
            Ok(Err(mut error)) => {
                let unsent = error.take_message().is_some();
                run.finish(
                    if unsent {
                        HealthSignal::Neutral
                    } else {
                        HealthSignal::Failed
                    },
                    false,
                );
                let outcome = if unsent {
                    Outcome::NotSent
                } else {
                    Outcome::Unknown
                };
                return Err(outcome.into());
            }
            Err(_) => {
                run.finish(HealthSignal::Failed, false);
                return Err(Outcome::Unknown.into());
            }
        };
        let (parts, body) = response.into_parts();
        let answer = runner::decode_response_head(&parts, &self.head.request.id, runner);
        run.idle = answer.idle_timeout;
        self.meaning = Some(answer.kind);
        if let Some(load) = answer.load {
            self.entry.state().fleet.record_load(runner, load);
        }
        self.take_answer(run, answer, body, limit).await
    }

    async fn take_answer(
        &mut self,
        run: Run,
        answer: ResponseHead,
        body: Incoming,
        limit: Time,
    ) -> Result<Opened, Missed> {
        match answer.kind {
            ResponseKind::Success if self.route.kind.is_stream() => {
                self.first_events(run, answer, body, limit).await
            }
            ResponseKind::Success | ResponseKind::Failure => {
                self.whole_answer(run, answer, body).await
            }
            ResponseKind::NotRun => {
                self.turned_away(run.runner());
                finish_drained(run, answer, body, HealthSignal::Neutral).await;
                Err(Outcome::NotRun.into())
            }
            ResponseKind::NotLoaded => {
                if let Some(adapter) = self.adapter() {
                    self.entry
                        .state()
                        .fleet
                        .remove_adapter(run.runner(), adapter);
                }
                finish_drained(run, answer, body, HealthSignal::Neutral).await;
                Err(Outcome::NotRun.into())
            }
            ResponseKind::OtherRunner => {
                info!("runner replaced", kv: { runner = run.runner() });
                self.entry.state().fleet.mark_replaced(run.runner());
                run.finish(HealthSignal::Neutral, false);
                Err(Outcome::NotRun.into())
            }
            ResponseKind::Unverified => {
                run.finish(HealthSignal::Failed, false);
                Err(Outcome::Unknown.into())
            }
        }
    }

    /// Notes that a runner did not run the request. An engine does so while it replaces or unloads
    /// the adapter, which is not there for a moment.
    fn turned_away(&self, runner: &str) {
        let now = self.entry.now();
        let mut state = self.entry.state();
        if let Some(adapter) = self.adapter() {
            let version = state.versions.newest(adapter);
            let back = now.after(TURNED_AWAY_PAUSE);
            state.fleet.expect_adapter(runner, adapter, version, back);
        }
    }

    /// Reads a whole answer.
    async fn whole_answer(
        &mut self,
        run: Run,
        answer: ResponseHead,
        body: Incoming,
    ) -> Result<Opened, Missed> {
        let limit = self.entry.timer.instant(self.deadline);
        let collect = Limited::new(body, MAX_ANSWER).collect();
        let Ok(Ok(body)) = timeout_at(limit, collect).await else {
            run.finish(HealthSignal::Failed, false);
            return Err(Outcome::Unknown.into());
        };
        let body = body.to_bytes();
        let time = self.entry.now().since(self.arrival);
        let failed = answer.kind == ResponseKind::Failure;
        let end = match (failed, answer.status.is_client_error()) {
            (true, true) => HealthSignal::Neutral,
            (true, false) => HealthSignal::Failed,
            (false, _) => HealthSignal::Success(time),
        };
        let keep = !answer.closes_connection;
        run.finish(end, keep);
        let answer = Box::new(answer);
        if failed {
            return Err(Missed {
                outcome: Outcome::Failed,
                failure: Some((answer, body)),
            });
        }
        Ok(Opened::Whole(answer, body))
    }

    /// Reads a stream up to its first whole event.
    async fn first_events(
        &mut self,
        mut run: Run,
        answer: ResponseHead,
        mut body: Incoming,
        limit: Time,
    ) -> Result<Opened, Missed> {
        let limit = self.entry.timer.instant(limit);
        let mut events = EventSplitter::default();
        loop {
            let frame = match timeout_at(limit, body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(_)) | None) | Err(_) => {
                    run.finish(HealthSignal::Failed, false);
                    return Err(Outcome::Unknown.into());
                }
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let first = events.push(&data);
            if first.is_empty() {
                continue;
            }
            if let Some(lease) = run.lease.as_mut() {
                self.entry.state().fleet.mark_answered(lease);
            }
            return Ok(Opened::Live(Box::new(Live {
                closes: answer.closes_connection,
                answer,
                run,
                body,
                first,
                events,
            })));
        }
    }

    /// Returns when an attempt is given up in favor of another one, or the request's time is up.
    fn attempt_limit(&self, now: Time) -> Time {
        let other = self.route.kind.is_repeatable() && self.attempts.tried().is_empty();
        if !other || self.route.max_attempts < 2 {
            return self.deadline;
        }
        let goals = match self.route.kind {
            RouteKind::Stream { .. } => STREAM_PATIENCE_GOALS,
            RouteKind::Idempotent | RouteKind::NonIdempotent => PLAIN_PATIENCE_GOALS,
        };
        let patience = self.route.goal.mul_f64(goals).max(MIN_PATIENCE);
        now.after(patience).min(self.deadline)
    }

    async fn connect(&self, runner: &Name) -> Option<Conn> {
        let now = self.entry.now();
        let max_idle = if self.route.kind.is_repeatable() {
            MAX_IDLE
        } else {
            ONCE_MAX_IDLE
        };
        if let Some(conn) = self.entry.conns.reuse(now, runner, max_idle) {
            return Some(conn);
        }
        let addr = self.entry.state().fleet.get(runner)?.member.addr;
        self.entry.metrics.connects.inc();
        match self.entry.conns.open(addr).await {
            Ok(conn) => Some(conn),
            Err(error) => {
                let now = self.entry.now();
                let mut state = self.entry.state();
                let state = &mut *state;
                state
                    .fleet
                    .observe(now, runner, HealthSignal::Unreachable, &mut state.rng);
                let error = error.to_string();
                warn!("runner unreachable", kv: { runner = &**runner, error = error.as_str() });
                None
            }
        }
    }
}

/// Reads the short body of a refusal, so that its connection can be used again.
async fn finish_drained(run: Run, answer: ResponseHead, body: Incoming, end: HealthSignal) {
    let collect = Limited::new(body, MAX_REFUSAL).collect();
    let whole = matches!(
        tokio::time::timeout(REFUSAL_TIMEOUT, collect).await,
        Ok(Ok(_))
    );
    run.finish(end, whole && !answer.closes_connection);
}
