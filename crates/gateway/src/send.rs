//! Sends a request to a chosen runner: opens a connection and begins the attempt.
//!
//! Invariants: a runner is recorded as tried before the first byte is written; a request that takes a
//! retry from the budget is sent at once.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Duration;

use decision::time::Time;
use futures::FutureExt;
use platform::runner;
use platform::runner::AttemptParams;
use serving::Name;
use serving::attempt::Outcome;
use serving::fleet::HealthSignal;
use serving::fleet::InflightRequest;
use serving::placement::Placement;
use serving::silence;
use spdlog::warn;

use crate::admit::AnnouncedPrompt;
use crate::answer::AnswerReader;
use crate::attempt::FailedAttempt;
use crate::attempt::RunningAttempt;
use crate::attempt::SentAttempt;
use crate::conns::ConnPermit;
use crate::conns::ConnectFailure;
use crate::conns::Reuse;
use crate::conns::RunnerConn;
use crate::dispatch::ActiveRequest;
use crate::entry::Entry;
use crate::send_check::PendingSend;
use crate::slot::HeldSlot;
use crate::step::Step;

/// The longest idle time of a connection that is reused for a request that must not run twice. If
/// the runner closes an idle connection while the request is being sent, the request may have run
/// and cannot be repeated.
const NON_IDEMPOTENT_MAX_IDLE: Duration = Duration::from_millis(1_500);
/// The longest idle time of a connection that is reused for other requests.
const MAX_IDLE: Duration = Duration::from_secs(60);
/// The length of a prompt from which its prefill is worth more than the wait of others, in tokens.
const LONG_PROMPT_TOKENS: u32 = 4_096;

/// All that an attempt needs before its first byte can be written.
pub(crate) struct PreparedAttempt {
    pub(crate) placement: Placement,
    pub(crate) prompt: Option<AnnouncedPrompt>,
    pub(crate) conn: RunnerConn,
    /// The last event that the caller has, if a stream is resumed.
    pub(crate) resume: Option<u64>,
}

impl ActiveRequest {
    /// Returns the priority of the request at the engine. A request that is preempted is read anew, so
    /// a long prompt, whose prefill would be lost, is as urgent there as any other.
    fn engine_priority(&self) -> u8 {
        if self.head.request.prompt_tokens >= LONG_PROMPT_TOKENS {
            return 0;
        }
        self.priority
    }

    /// Sends the request to the chosen runner.
    pub(crate) async fn send(
        &mut self,
        placement: Placement,
        prompt: Option<AnnouncedPrompt>,
        resume: Option<u64>,
    ) -> Result<SentAttempt, FailedAttempt> {
        self.step = Step::Connection;
        let conn = self.connect(&placement).await;
        let conn = conn.ok_or(FailedAttempt::from(Outcome::NotSent))?;
        if self.is_held() {
            return Err(Outcome::NotSent.into());
        }
        let now = self.entry.now();
        let inflight = self.begin(now, &placement);
        let inflight = inflight.ok_or(FailedAttempt::from(Outcome::NotSent))?;
        let prepared = PreparedAttempt {
            placement,
            prompt,
            conn,
            resume,
        };
        Ok(self.start(now, prepared, inflight))
    }

    /// Counts the request as in flight at the chosen runner; `None` if that one has begun to leave, or has
    /// started again, since it was chosen, or its version of the adapter has become too old.
    pub(crate) fn begin(&mut self, now: Time, placement: &Placement) -> Option<InflightRequest> {
        if self.is_outdated(now, placement) {
            return None;
        }
        let adapter = self.adapter().cloned();
        let slot = self.slot.take();
        let inflight = self.entry.state().fleet.begin_request(
            now,
            &placement.runner,
            placement.born,
            adapter.as_ref(),
            self.head.request.prompt_tokens,
            slot.as_ref().and_then(HeldSlot::get),
        )?;
        if let Some(slot) = slot {
            slot.set_used();
        }
        Some(inflight)
    }

    /// Starts an attempt; its request is written when its answer is first polled.
    pub(crate) fn start(
        &mut self,
        now: Time,
        prepared: PreparedAttempt,
        inflight: InflightRequest,
    ) -> SentAttempt {
        let PreparedAttempt {
            placement,
            prompt,
            conn,
            resume,
        } = prepared;
        let version = placement.access.version();
        let params = AttemptParams {
            runner: &placement.runner,
            remaining: self.deadline.since(now),
            expected_version: (version > 0).then_some(version),
            priority: self.engine_priority(),
            resume_after: resume,
        };
        let request = runner::encode_request(&self.head, self.body.bytes.clone(), &params);
        self.attempts.record_sent(&placement.runner);
        self.sends += 1;
        self.sent_at = now;
        self.step = Step::Response;
        conn.check.announce(PendingSend {
            caller: self.caller.conn.clone(),
            sends: self.entry.metrics.sends.clone(),
        });
        let head_at = Arc::<OnceLock<Time>>::default();
        let patience = silence::answer_patience(self.route.kind, self.route.goal);
        let settle_time = self.settle_time(&conn);
        let is_watched = self.route.kind.is_repeatable() && self.route.max_attempts > 1;
        self.head_at = head_at.clone();
        let reader = AnswerReader {
            entry: self.entry.clone(),
            id: self.head.request.id.clone(),
            kind: self.route.kind,
            adapter: self.adapter().cloned(),
            version,
            runner: placement.runner.clone(),
            born: placement.born,
            arrival: self.arrival,
            sent_at: now,
            deadline: self.deadline,
            resume,
            patience: (!is_watched).then_some(patience),
            head_at: head_at.clone(),
            settle_time,
        };
        let attempt = RunningAttempt {
            entry: self.entry.clone(),
            inflight: Some(inflight),
            conn: Some(conn),
            prompt,
            place: self.place.take(),
            idle_timeout: None,
        };
        SentAttempt {
            placement,
            sent_at: now,
            head_at,
            answer: reader.exchange(attempt, request).boxed(),
        }
    }

    /// Returns which idle connections the request may use.
    pub(crate) fn reuse(&self) -> Reuse {
        if self.route.kind.is_repeatable() {
            Reuse::Within(MAX_IDLE)
        } else {
            Reuse::UnrejectedWithin(NON_IDEMPOTENT_MAX_IDLE)
        }
    }

    /// Takes or opens a connection to the incarnation that was chosen.
    pub(crate) async fn connect(&self, placement: &Placement) -> Option<RunnerConn> {
        let now = self.entry.now();
        let (runner, born) = (&placement.runner, placement.born);
        let reuse = self.reuse();
        if let Some(conn) = self.entry.conns.take_idle(now, runner, born, reuse) {
            return Some(conn);
        }
        let (addr, max_conns) = {
            let state = self.entry.state();
            if state.reconnects.paused_until(now, runner, born).is_some() {
                return None;
            }
            let member = &state.fleet.get(runner)?.member;
            let addr = (member.born == born).then_some(member.addr)?;
            let share = state.share(&self.service);
            let max_conns = share.map(|share| state.concurrency.conns(member, share));
            (addr, max_conns.unwrap_or(u32::MAX))
        };
        let permit = self.entry.conns.reserve(runner, born, max_conns)?;
        self.entry.metrics.runner_connects.inc();
        let opening = open(self.entry.clone(), addr, runner.clone(), born, permit);
        let mut opening = Box::pin(opening);
        let deadline = self.entry.clock.instant(self.deadline);
        if let Ok(conn) = tokio::time::timeout_at(deadline, &mut opening).await {
            return conn;
        }
        // It goes on, so that requests with little time find out a runner that takes no connections.
        self.entry.conns.spawn(opening);
        None
    }
}

/// Opens a connection to an incarnation of a runner, and records what a failure shows.
async fn open(
    entry: Arc<Entry>,
    addr: SocketAddr,
    runner: Name,
    born: u64,
    permit: ConnPermit,
) -> Option<RunnerConn> {
    let now = entry.now();
    let error = match entry.conns.open(now, addr).await {
        Ok(mut conn) => {
            conn.permit = Some(permit);
            return Some(conn);
        }
        Err(error) => error,
    };
    match error.kind {
        ConnectFailure::Reset if !entry.has_engine(&runner) => {
            entry.record_reset(&runner, born, now);
            return None;
        }
        ConnectFailure::Refused => {
            let mut state = entry.state();
            state.concurrency.record_overload(now, &runner, born, now);
            drop(state);
            entry.record_unreachable(&runner);
            entry.record_runner_ended(&runner, born);
        }
        ConnectFailure::Reset | ConnectFailure::Unreachable => entry.record_unreachable(&runner),
    }
    let error = error.to_string();
    warn!("runner unreachable", kv: { runner = &*runner, error = error.as_str() });
    None
}

impl Entry {
    fn record_unreachable(&self, runner: &Name) {
        let now = self.now();
        let mut state = self.state();
        let state = &mut *state;
        state
            .fleet
            .observe(now, runner, HealthSignal::Unreachable, &mut state.rng);
    }
}
