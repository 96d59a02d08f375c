//! One request: from its head to the answer, over as many attempts as it may have.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use decision::time::Time;
use derive_more::Display;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper::body::Body as _;
use hyper::body::Incoming;
use platform::ingress;
use platform::ingress::Head;
use platform::ingress::Own;
use platform::runner;
use platform::runner::Answer;
use platform::runner::Meaning;
use platform::runner::Sending;
use serving::Name;
use serving::attempt::Attempts;
use serving::attempt::Next;
use serving::attempt::Outcome;
use serving::config::Kind;
use serving::config::Limits;
use serving::config::Route;
use serving::events::Events;
use serving::fleet::End;
use serving::fleet::Lease;
use serving::place::Access;
use serving::place::NoRunner;
use serving::place::Placed;
use serving::place::Want;
use serving::place::load_time;
use spdlog::info;
use spdlog::warn;
use tokio::time::timeout_at;

use crate::conns::Conn;
use crate::entry::Entry;
use crate::front::Body;
use crate::front::whole;
use crate::relay;

/// The wait before the return of a caller that an entry without a configuration refuses.
const UNCONFIGURED_RETRY: Duration = Duration::from_millis(400);
/// The shortest wait before the return of a refused caller, and the random part on top of it.
const RETRY_MIN: Duration = Duration::from_millis(150);
const RETRY_SPREAD: Duration = Duration::from_millis(350);
/// How long a request waits for an adapter or a runner, in multiples of its goal.
const HOLD_GOALS: f64 = 2.0;
/// The part of the caller's patience after which a request that was not sent is refused.
const HOLD_PATIENCE: f64 = 0.6;
/// The time after which a repeatable request is sent to another runner, in multiples of its goal.
const PLAIN_PATIENCE_GOALS: f64 = 2.0;
const STREAM_PATIENCE_GOALS: f64 = 1.4;
/// The shortest such time.
const MIN_PATIENCE: Duration = Duration::from_millis(250);
/// How often a request tells an agent that it still waits for an adapter.
const RENEW_INTERVAL: Duration = Duration::from_millis(350);
/// The longest wait for one change before a runner is chosen again.
const RECHECK: Duration = Duration::from_millis(150);
/// How recently a connection must have been used for a request that may run once only; a request
/// on a connection that the runner closes at that moment may have run.
const ONCE_MAX_IDLE: Duration = Duration::from_millis(1_500);
/// The same for other requests.
const MAX_IDLE: Duration = Duration::from_secs(60);
/// The assumed time until an adapter is there again whose requests a runner turns away.
const TURNED_AWAY_PAUSE: Duration = Duration::from_millis(150);
/// The largest answer that is not a stream, in bytes.
const MAX_ANSWER: usize = 16 << 20;

/// Why a request ended without a runner's answer.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Cause {
    /// No runner could take it.
    #[display("{_0}")]
    NoRunner(NoRunner),
    /// It waited too long for an adapter.
    #[display("adapter not there in time")]
    HeldTooLong,
    /// Runners turned it away, or no connection could be opened.
    #[display("turned away")]
    TurnedAway,
    /// It was sent and its outcome is unknown.
    #[display("answer lost")]
    Lost,
    /// Its time is up.
    #[display("time is up")]
    TimeUp,
}

/// How opening an answer ended without one.
#[derive(Debug)]
pub enum Ended {
    /// The request was not run.
    Refused(Cause),
    /// The request may have run.
    Unknown(Cause),
    /// The runner answered with a failure.
    Failure(Box<Answer>, Bytes),
}

/// An answer that can be delivered.
pub enum Opened {
    /// A whole answer.
    Whole(Box<Answer>, Bytes),
    /// A stream whose first events are there.
    Live(Box<Live>),
}

/// A stream in progress.
pub struct Live {
    /// The head of the answer.
    pub answer: Answer,
    /// The request at its runner.
    pub run: Run,
    /// The rest of the stream.
    pub body: Incoming,
    /// The events that arrived so far.
    pub first: Bytes,
    /// The state of the stream.
    pub events: Events,
    /// Whether the runner closes the connection after the stream.
    pub closes: bool,
}

/// A request at a runner; dropping it stops the runner's work.
pub struct Run {
    entry: Arc<Entry>,
    lease: Option<Lease>,
    conn: Option<Conn>,
    idle: Option<Duration>,
}

impl Run {
    /// Returns the runner.
    pub fn runner(&self) -> &str {
        self.lease.as_ref().map_or("", |lease| &lease.runner)
    }

    /// Ends the run; `keep` says whether the connection can carry another request.
    pub fn finish(mut self, end: End, keep: bool) {
        let conn = self.conn.take();
        if let (true, Some(conn), Some(lease)) = (keep, conn, &self.lease) {
            let now = self.entry.now();
            self.entry.conns.keep(now, &lease.runner, conn, self.idle);
        }
        self.end(end);
    }

    fn end(&mut self, end: End) {
        let Some(lease) = self.lease.take() else {
            return;
        };
        let now = self.entry.now();
        let mut state = self.entry.state();
        let state = &mut *state;
        state.fleet.end(now, lease, end, &mut state.rng);
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        self.end(End::Neutral);
    }
}

/// A request that is being served.
pub struct Job {
    /// The entry.
    pub entry: Arc<Entry>,
    /// The head of the request.
    pub head: Head,
    /// When it arrived.
    pub arrival: Time,
    /// When its time is up.
    pub deadline: Time,
    /// Its route.
    pub route: Route,
    /// The attempts so far.
    pub attempts: Attempts,
    body: Bytes,
    service: Name,
    avoid: Vec<Name>,
    held: Duration,
    sends: u32,
    last: Option<Placed>,
    meaning: Option<Meaning>,
}

/// Serves one request of a caller.
pub async fn handle(entry: Arc<Entry>, request: Request<Incoming>) -> Response<Body> {
    let arrival = entry.now();
    let (parts, incoming) = request.into_parts();
    let head = match ingress::head(&parts) {
        Ok(head) => head,
        Err(error) => {
            let error = error.to_string();
            warn!("request rejected", kv: { error = error.as_str() });
            return own(&entry, Own::Bad, None);
        }
    };
    let id = head.request.id.clone();
    let config = entry.state().config.clone();
    let Some(config) = config else {
        return own(&entry, Own::Refused(UNCONFIGURED_RETRY), Some(&id));
    };
    let Some(route) = config.route(&head.request.host, parts.uri.path()).cloned() else {
        let (version, path) = (config.version, parts.uri.path());
        info!("no route", kv: { id = &*id, host = &*head.request.host, path, config = version });
        return own(&entry, Own::NoRoute, Some(&id));
    };
    let body = match read_body(incoming, &config.limits).await {
        Ok(body) => body,
        Err(answer) => {
            warn!("body not read", kv: { id = &*id, answer = answer.to_string().as_str() });
            return own(&entry, answer, Some(&id));
        }
    };
    let draw = entry.state().rng.u64(..);
    let Some(service) = route.target(draw).cloned() else {
        return own(&entry, Own::Refused(UNCONFIGURED_RETRY), Some(&id));
    };
    let patience = head
        .request
        .patience
        .map_or(route.timeout, |wait| wait.min(route.timeout));
    let job = Job {
        attempts: Attempts::new(route.kind, route.max_attempts),
        arrival,
        deadline: arrival.after(patience),
        body,
        service,
        avoid: Vec::new(),
        held: Duration::ZERO,
        sends: 0,
        last: None,
        meaning: None,
        route,
        head,
        entry,
    };
    job.serve().await
}

fn own(entry: &Entry, answer: Own, id: Option<&str>) -> Response<Body> {
    let outcome = answer.to_string();
    entry
        .metrics
        .requests
        .with_label_values(&[outcome.as_str()])
        .inc();
    answer.response(id).map(whole)
}

async fn read_body(body: Incoming, limits: &Limits) -> Result<Bytes, Own> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    if body.size_hint().lower() > limits.body_bytes as u64 {
        return Err(Own::TooLarge);
    }
    let collect = Limited::new(body, limits.body_bytes).collect();
    match tokio::time::timeout(limits.read_timeout, collect).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Own::TooLarge),
        Ok(Err(_)) => Err(Own::Bad),
        Err(_) => Err(Own::BodyTimeout),
    }
}

impl Job {
    async fn serve(mut self) -> Response<Body> {
        let now = self.entry.now();
        self.entry.state().budget.request(now, &self.service);
        match self.open(None).await {
            Ok(Opened::Whole(answer, body)) => {
                self.observe_first();
                self.done("served");
                response(*answer, whole(body))
            }
            Ok(Opened::Live(live)) => {
                self.observe_first();
                relay::response(self, *live)
            }
            Err(Ended::Failure(answer, body)) => {
                self.done("runner failed");
                response(*answer, whole(body))
            }
            Err(Ended::Refused(cause)) => self.refuse(cause),
            Err(Ended::Unknown(cause)) => self.fail(cause),
        }
    }

    fn observe_first(&self) {
        let age = self.entry.now().since(self.arrival);
        self.entry.metrics.first_s.observe(age.as_secs_f64());
        self.entry.metrics.hold_s.observe(self.held.as_secs_f64());
    }

    fn refuse(self, cause: Cause) -> Response<Body> {
        let spread = RETRY_SPREAD.mul_f64(self.entry.state().rng.f64());
        self.failed("refused", cause);
        own(
            &self.entry,
            Own::Refused(RETRY_MIN + spread),
            Some(&self.head.request.id),
        )
    }

    fn fail(self, cause: Cause) -> Response<Body> {
        let answer = match cause {
            Cause::TimeUp => Own::Timeout,
            _ => Own::Lost,
        };
        self.failed("failed", cause);
        own(&self.entry, answer, Some(&self.head.request.id))
    }

    /// Logs and counts the end of a request that a runner answered.
    pub fn done(&self, outcome: &'static str) {
        self.entry
            .metrics
            .requests
            .with_label_values(&[outcome])
            .inc();
        let runner = self.attempts.tried().last().map_or("", |name| &**name);
        info!("request ended", kv: {
            id = &*self.head.request.id, outcome, route = &*self.route.name, runner,
            sends = self.sends, held_ms = self.held.as_millis() as u64,
            total_ms = self.entry.now().since(self.arrival).as_millis() as u64
        });
    }

    /// Logs the end of a request that no runner answered in full.
    pub fn failed(&self, outcome: &'static str, cause: Cause) {
        let cause = cause.to_string();
        let runner = self.last.as_ref().map_or("", |placed| &*placed.runner);
        let access = self.last.as_ref().map(|placed| placed.access.to_string());
        let access = access.unwrap_or_default();
        let adapter = self.adapter().map_or("", |adapter| &**adapter);
        let state = self.entry.state();
        let view = state.fleet.get(runner);
        let report_ms = view.map(|view| self.entry.now().since(view.reported).as_millis() as u64);
        let coming = view.map_or(0, serving::fleet::Runner::coming);
        let room = view.map_or(0, |view| view.room);
        drop(state);
        warn!("request ended", kv: {
            id = &*self.head.request.id, outcome, cause = cause.as_str(),
            route = &*self.route.name, service = &*self.service, adapter, runner,
            access = access.as_str(), report_ms = report_ms.unwrap_or(0), coming, room,
            sends = self.sends, held_ms = self.held.as_millis() as u64,
            total_ms = self.entry.now().since(self.arrival).as_millis() as u64
        });
    }

    /// Sends the request until a runner answers or no further attempt is allowed. `resume` is the
    /// last event that the caller has, if a stream goes on.
    pub async fn open(&mut self, resume: Option<u64>) -> Result<Opened, Ended> {
        loop {
            let placed = self.locate().await?;
            let (outcome, failure) = match self.attempt(&placed, resume).await {
                Ok(opened) => return Ok(opened),
                Err(ended) => ended,
            };
            self.log_attempt(&placed, outcome);
            let next = self.next(outcome);
            match next {
                Next::Other => self.avoid_tried(),
                Next::Any => self.avoid = vec![placed.runner],
                Next::Same => self.avoid.clear(),
                Next::Refuse => return Err(Ended::Refused(Cause::TurnedAway)),
                Next::Fail => return Err(self.unknown()),
                Next::Relay => {
                    let Some((answer, body)) = failure else {
                        return Err(self.unknown());
                    };
                    return Err(Ended::Failure(answer, body));
                }
            }
            if self.entry.now() >= self.deadline {
                return Err(self.late());
            }
        }
    }

    /// Decides what follows an attempt.
    pub fn next(&mut self, outcome: Outcome) -> Next {
        let now = self.entry.now();
        let (entry, service) = (&self.entry, &self.service);
        self.attempts
            .ended(outcome, || entry.state().budget.take(now, service))
    }

    /// Avoids all runners that the request was sent to.
    pub fn avoid_tried(&mut self) {
        self.avoid = self.attempts.tried().to_vec();
    }

    fn log_attempt(&self, placed: &Placed, outcome: Outcome) {
        let outcome = format!("{outcome:?}");
        self.entry
            .metrics
            .attempts
            .with_label_values(&[outcome.as_str()])
            .inc();
        let access = placed.access.to_string();
        let meaning = self.meaning.map(|meaning| meaning.to_string());
        let adapter = self.adapter().map_or("", |adapter| &**adapter);
        info!("attempt ended", kv: {
            id = &*self.head.request.id, runner = &*placed.runner, outcome = outcome.as_str(),
            meaning = meaning.as_deref().unwrap_or("none"), adapter, access = access.as_str(), cost_ms = placed.cost,
            total_ms = self.entry.now().since(self.arrival).as_millis() as u64
        });
    }

    fn unknown(&self) -> Ended {
        let late = self.entry.now() >= self.deadline;
        Ended::Unknown(if late { Cause::TimeUp } else { Cause::Lost })
    }

    fn late(&self) -> Ended {
        if self.attempts.may_have_run() {
            Ended::Unknown(Cause::TimeUp)
        } else {
            Ended::Refused(Cause::TimeUp)
        }
    }

    /// Waits until a runner can take the request and has its adapter.
    async fn locate(&mut self) -> Result<Placed, Ended> {
        let begun = self.entry.now();
        let patience = self.deadline.since(begun).mul_f64(HOLD_PATIENCE);
        let hold = self.route.goal.mul_f64(HOLD_GOALS).min(patience);
        let limit = begun.after(hold);
        let mut asked = begun;
        loop {
            let now = self.entry.now();
            let placed = match self.place(now) {
                Ok(placed) => placed,
                Err(cause) if self.attempts.may_have_run() => {
                    return Err(Ended::Unknown(Cause::NoRunner(cause)));
                }
                Err(cause) => return Err(Ended::Refused(Cause::NoRunner(cause))),
            };
            if placed.wait > limit.since(now) && !matches!(placed.access, Access::Ready { .. }) {
                // Its demand would only delay the adapters of requests that can still be in time.
                self.held += now.since(begun);
                return Err(self.held_too_long());
            }
            let until = match placed.access {
                Access::Ready { .. } => {
                    self.held += now.since(begun);
                    return Ok(placed);
                }
                Access::Coming(ready) if now < asked.after(RENEW_INTERVAL) => ready,
                Access::Coming(ready) => {
                    asked = now;
                    self.renew_want(&placed.runner);
                    ready
                }
                Access::Absent => {
                    asked = now;
                    self.ask_for_adapter(now, &placed.runner, true)
                }
            };
            if now >= limit {
                self.held += now.since(begun);
                return Err(self.held_too_long());
            }
            let wake = until
                .after(Duration::from_millis(20))
                .min(now.after(RECHECK))
                .min(limit);
            let wake = self.entry.timer.instant(wake);
            self.entry.links.changed(&placed.runner, wake).await;
        }
    }

    fn held_too_long(&self) -> Ended {
        let cause = Cause::HeldTooLong;
        if self.attempts.may_have_run() {
            Ended::Unknown(cause)
        } else {
            Ended::Refused(cause)
        }
    }

    fn place(&mut self, now: Time) -> Result<Placed, NoRunner> {
        let entry = self.entry.clone();
        let mut state = entry.state();
        let state = &mut *state;
        let artifact = self.head.request.artifact.as_ref();
        let adapter = artifact.and_then(|artifact| artifact.adapter.as_ref());
        let grace = entry.version_grace();
        let required = adapter.map_or(0, |adapter| state.versions.required(now, adapter, grace));
        let mut want = Want {
            service: &self.service,
            artifact,
            required,
            tokens: self.head.request.prompt_tokens,
            avoid: &self.avoid,
            only: self.attempts.confined(),
        };
        if let (Some(adapter), Duration::ZERO, 0) = (adapter, self.held, self.sends) {
            state.fleet.demand.record(now, adapter, 1);
        }
        let mut placed = state.fleet.place(now, &mut state.rng, &want);
        if placed.is_err() && self.attempts.tried().len() < self.avoid.len() + 1 {
            // Every other runner is unfit; the one that turned the request away is better than none.
            want.avoid = &[];
            if self.attempts.may_have_run() {
                want.avoid = self.attempts.tried();
            }
            placed = state.fleet.place(now, &mut state.rng, &want);
        }
        let placed = placed?;
        self.last = Some(placed.clone());
        if let (Some(replica), Some(adapter)) = (&placed.replica, adapter) {
            let version = state.versions.newest(adapter);
            entry.links.want(replica, adapter, version, false);
        }
        Ok(placed)
    }

    /// Asks a runner's agent for the adapter and returns when it is expected.
    fn ask_for_adapter(&self, now: Time, runner: &Name, urgent: bool) -> Time {
        let artifact = self.head.request.artifact.as_ref();
        let Some(adapter) = artifact.and_then(|artifact| artifact.adapter.as_ref()) else {
            return now;
        };
        let mut state = self.entry.state();
        let version = state.versions.newest(adapter);
        let time = state
            .fleet
            .get(runner)
            .map(|runner| load_time(runner, adapter));
        let ready = now.after(time.unwrap_or(RECHECK));
        state.fleet.expect(runner, adapter, version, ready);
        drop(state);
        self.entry.links.want(runner, adapter, version, urgent);
        ready
    }

    /// Tells a runner's agent that the adapter is still waited for.
    fn renew_want(&self, runner: &str) {
        if let Some(adapter) = self.adapter() {
            let version = self.entry.state().versions.newest(adapter);
            self.entry.links.want(runner, adapter, version, true);
        }
    }

    /// Makes one attempt; an error holds how it ended and the runner's failure, if it sent one.
    async fn attempt(
        &mut self,
        placed: &Placed,
        resume: Option<u64>,
    ) -> Result<Opened, (Outcome, Option<(Box<Answer>, Bytes)>)> {
        let runner = &placed.runner;
        let conn = self.connect(runner).await.ok_or((Outcome::NotSent, None))?;
        let now = self.entry.now();
        let adapter = self.adapter().cloned();
        let lease = {
            let mut state = self.entry.state();
            let open = state
                .fleet
                .get(runner)
                .is_some_and(|runner| runner.is_open());
            let tokens = self.head.request.prompt_tokens;
            let lease = open.then(|| state.fleet.begin(now, runner, adapter.as_ref(), tokens));
            lease.flatten().ok_or((Outcome::NotSent, None))?
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
        let sending = Sending {
            runner,
            left: self.deadline.since(now),
            version,
            priority: self.route.priority,
            resume,
        };
        let request = runner::request(&self.head, self.body.clone(), &sending);
        let limit = self.attempt_limit(now);
        self.meaning = None;
        let limit_at = self.entry.timer.instant(limit);
        self.attempts.sent(runner);
        self.sends += 1;
        let sender = run.conn.as_mut().map(|conn| &mut conn.sender);
        let Some(sender) = sender else {
            return Err((Outcome::NotSent, None));
        };
        let response = match timeout_at(limit_at, sender.try_send_request(request)).await {
            Ok(Ok(response)) => response,
            Ok(Err(mut error)) => {
                let unsent = error.take_message().is_some();
                run.finish(if unsent { End::Neutral } else { End::Failed }, false);
                let outcome = if unsent {
                    Outcome::NotSent
                } else {
                    Outcome::Unknown
                };
                return Err((outcome, None));
            }
            Err(_) => {
                run.finish(End::Failed, false);
                return Err((Outcome::Unknown, None));
            }
        };
        let (parts, body) = response.into_parts();
        let answer = runner::answer(&parts, &self.head.request.id, runner);
        run.idle = answer.idle;
        self.meaning = Some(answer.meaning);
        if let Some(load) = answer.load {
            self.entry.state().fleet.load(runner, load);
        }
        self.take_answer(run, answer, body, limit).await
    }

    async fn take_answer(
        &mut self,
        run: Run,
        answer: Answer,
        body: Incoming,
        limit: Time,
    ) -> Result<Opened, (Outcome, Option<(Box<Answer>, Bytes)>)> {
        match answer.meaning {
            Meaning::Success if self.route.kind.is_stream() => {
                self.first_events(run, answer, body, limit).await
            }
            Meaning::Success | Meaning::Failure => self.whole_answer(run, answer, body).await,
            Meaning::NotRun => {
                self.turned_away(run.runner());
                finish_drained(run, answer, body, End::Neutral).await;
                Err((Outcome::NotRun, None))
            }
            Meaning::NotHeld => {
                if let Some(adapter) = self.adapter() {
                    self.entry.state().fleet.lacks(run.runner(), adapter);
                }
                finish_drained(run, answer, body, End::Neutral).await;
                Err((Outcome::NotRun, None))
            }
            Meaning::OtherRunner => {
                info!("runner replaced", kv: { runner = run.runner() });
                self.entry.state().fleet.replaced(run.runner());
                run.finish(End::Unreachable, false);
                Err((Outcome::NotRun, None))
            }
            Meaning::Foreign => {
                run.finish(End::Failed, false);
                Err((Outcome::Unknown, None))
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
            state.fleet.expect(runner, adapter, version, back);
        }
    }

    /// Reads a whole answer.
    async fn whole_answer(
        &mut self,
        run: Run,
        answer: Answer,
        body: Incoming,
    ) -> Result<Opened, (Outcome, Option<(Box<Answer>, Bytes)>)> {
        let limit = self.entry.timer.instant(self.deadline);
        let collect = Limited::new(body, MAX_ANSWER).collect();
        let Ok(Ok(body)) = timeout_at(limit, collect).await else {
            run.finish(End::Failed, false);
            return Err((Outcome::Unknown, None));
        };
        let body = body.to_bytes();
        let time = self.entry.now().since(self.arrival);
        let failed = answer.meaning == Meaning::Failure;
        let end = match (failed, answer.status.is_client_error()) {
            (true, true) => End::Neutral,
            (true, false) => End::Failed,
            (false, _) => End::Good(time),
        };
        let keep = !answer.closes;
        run.finish(end, keep);
        let answer = Box::new(answer);
        if failed {
            return Err((Outcome::Failed, Some((answer, body))));
        }
        Ok(Opened::Whole(answer, body))
    }

    /// Reads a stream up to its first whole event.
    async fn first_events(
        &mut self,
        mut run: Run,
        answer: Answer,
        mut body: Incoming,
        limit: Time,
    ) -> Result<Opened, (Outcome, Option<(Box<Answer>, Bytes)>)> {
        let limit = self.entry.timer.instant(limit);
        let mut events = Events::default();
        loop {
            let frame = match timeout_at(limit, body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(_)) | None) | Err(_) => {
                    run.finish(End::Failed, false);
                    return Err((Outcome::Unknown, None));
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
                self.entry.state().fleet.answered(lease);
            }
            return Ok(Opened::Live(Box::new(Live {
                closes: answer.closes,
                answer,
                run,
                body,
                first,
                events,
            })));
        }
    }

    /// Returns the adapter that the request names.
    fn adapter(&self) -> Option<&Name> {
        let artifact = self.head.request.artifact.as_ref()?;
        artifact.adapter.as_ref()
    }

    /// Returns when an attempt is given up in favor of another one, or the request's time is up.
    fn attempt_limit(&self, now: Time) -> Time {
        let other = self.route.kind.is_repeatable() && self.attempts.tried().is_empty();
        if !other || self.route.max_attempts < 2 {
            return self.deadline;
        }
        let goals = match self.route.kind {
            Kind::Stream { .. } => STREAM_PATIENCE_GOALS,
            Kind::Idempotent | Kind::Once => PLAIN_PATIENCE_GOALS,
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
                    .observe(now, runner, End::Unreachable, &mut state.rng);
                let error = error.to_string();
                warn!("runner unreachable", kv: { runner = &**runner, error = error.as_str() });
                None
            }
        }
    }
}

/// Reads the short body of a refusal, so that its connection can be used again.
async fn finish_drained(run: Run, answer: Answer, body: Incoming, end: End) {
    const LIMIT: usize = 16 << 10;
    const TIMEOUT: Duration = Duration::from_millis(50);
    let collect = Limited::new(body, LIMIT).collect();
    let whole = matches!(tokio::time::timeout(TIMEOUT, collect).await, Ok(Ok(_)));
    run.finish(end, whole && !answer.closes);
}

/// Encodes a runner's answer for the caller.
pub fn response(answer: Answer, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    response
}
