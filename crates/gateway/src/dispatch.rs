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
use platform::ingress::LocalResponse;
use platform::ingress::RequestHead;
use platform::runner::ResponseHead;
use platform::runner::ResponseKind;
use serving::Name;
use serving::attempt::Attempts;
use serving::attempt::NextStep;
use serving::attempt::Outcome;
use serving::config::Limits;
use serving::config::Route;
use serving::placement::NoRunner;
use serving::placement::Placement;
use spdlog::info;
use spdlog::warn;

use crate::entry::Entry;
use crate::front::Body;
use crate::front::whole;
use crate::relay;
use crate::run::Missed;
use crate::run::Opened;

/// The wait before the return of a caller that an entry without a configuration refuses.
const UNCONFIGURED_RETRY: Duration = Duration::from_millis(400);
/// The same for an entry that cannot keep up.
const OVERLOAD_RETRY: Duration = Duration::from_millis(500);
/// The bounds of the wait before the return of a refused caller, and the random part on top of it.
const RETRY_MIN: Duration = Duration::from_millis(150);
const RETRY_MAX: Duration = Duration::from_millis(1_500);
const RETRY_SPREAD: Duration = Duration::from_millis(350);

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
    Failure(Box<ResponseHead>, Bytes),
}

/// A request that is being served.
pub struct Job {
    /// The entry.
    pub entry: Arc<Entry>,
    /// The head of the request.
    pub head: RequestHead,
    /// When it arrived.
    pub arrival: Time,
    /// When its time is up.
    pub deadline: Time,
    /// Its route.
    pub route: Route,
    /// The attempts so far.
    pub attempts: Attempts,
    pub(crate) body: Bytes,
    pub(crate) service: Name,
    pub(crate) avoid: Vec<Name>,
    pub(crate) held: Duration,
    /// The time from the arrival to the answer or its first event.
    pub(crate) first: Duration,
    pub(crate) sends: u32,
    pub(crate) last: Option<Placement>,
    pub(crate) meaning: Option<ResponseKind>,
}

/// Serves one request of a caller.
pub async fn handle(entry: Arc<Entry>, request: Request<Incoming>) -> Response<Body> {
    let arrival = entry.now();
    let (parts, incoming) = request.into_parts();
    let head = match ingress::decode_head(&parts) {
        Ok(head) => head,
        Err(error) => {
            let error = error.to_string();
            warn!("request rejected", kv: { error = error.as_str() });
            return own(&entry, LocalResponse::BadRequest, None);
        }
    };
    let id = head.request.id.clone();
    let config = entry.state().config.clone();
    let Some(config) = config else {
        return own(
            &entry,
            LocalResponse::Refused(UNCONFIGURED_RETRY),
            Some(&id),
        );
    };
    let Some(route) = config.route(&head.request.host, parts.uri.path()).cloned() else {
        let (version, path) = (config.version, parts.uri.path());
        info!("no route", kv: { id = &*id, host = &*head.request.host, path, config = version });
        return own(&entry, LocalResponse::NoRoute, Some(&id));
    };
    let inflight = entry.metrics.inflight.get().try_into().unwrap_or(0);
    if !entry.state().overload.admits(inflight, route.priority) {
        warn!("request refused, the entry is overloaded", kv: { id = &*id, inflight });
        return own(&entry, LocalResponse::Refused(OVERLOAD_RETRY), Some(&id));
    }
    let body = match read_body(incoming, &config.limits).await {
        Ok(body) => body,
        Err(answer) => {
            warn!("body not read", kv: { id = &*id, answer = answer.to_string().as_str() });
            return own(&entry, answer, Some(&id));
        }
    };
    let draw = entry.state().rng.u64(..);
    let Some(service) = route.pick_service(draw).cloned() else {
        return own(
            &entry,
            LocalResponse::Refused(UNCONFIGURED_RETRY),
            Some(&id),
        );
    };
    let patience = head
        .request
        .timeout
        .map_or(route.timeout, |wait| wait.min(route.timeout));
    let job = Job {
        attempts: Attempts::new(route.kind, route.max_attempts),
        arrival,
        deadline: arrival.after(patience),
        body,
        service,
        avoid: Vec::new(),
        held: Duration::ZERO,
        first: Duration::ZERO,
        sends: 0,
        last: None,
        meaning: None,
        route,
        head,
        entry,
    };
    job.serve().await
}

fn own(entry: &Entry, answer: LocalResponse, id: Option<&str>) -> Response<Body> {
    let outcome = answer.to_string();
    entry
        .metrics
        .requests
        .with_label_values(&[outcome.as_str()])
        .inc();
    answer.response(id).map(whole)
}

async fn read_body(body: Incoming, limits: &Limits) -> Result<Bytes, LocalResponse> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    if body.size_hint().lower() > limits.body_bytes as u64 {
        return Err(LocalResponse::BodyTooLarge);
    }
    let collect = Limited::new(body, limits.body_bytes).collect();
    match tokio::time::timeout(limits.read_timeout, collect).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(LocalResponse::BodyTooLarge),
        Ok(Err(_)) => Err(LocalResponse::BadRequest),
        Err(_) => Err(LocalResponse::BodyTimeout),
    }
}

impl Job {
    async fn serve(mut self) -> Response<Body> {
        let now = self.entry.now();
        self.entry.state().budget.record_request(now, &self.service);
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

    fn observe_first(&mut self) {
        let age = self.entry.now().since(self.arrival);
        self.first = age;
        self.entry.metrics.first_s.observe(age.as_secs_f64());
        self.entry.metrics.hold_s.observe(self.held.as_secs_f64());
    }

    fn refuse(self, cause: Cause) -> Response<Body> {
        let spread = RETRY_SPREAD.mul_f64(self.entry.state().rng.f64());
        let wait = self.back_in(cause).unwrap_or(RETRY_MIN);
        self.failed("refused", cause);
        own(
            &self.entry,
            LocalResponse::Refused(wait.clamp(RETRY_MIN, RETRY_MAX) + spread),
            Some(&self.head.request.id),
        )
    }

    /// Returns when a refused caller can be served at the earliest, as far as is known.
    fn back_in(&self, cause: Cause) -> Option<Duration> {
        match cause {
            Cause::NoRunner(cause) => {
                let artifact = self.head.request.artifact.as_ref();
                let load = self.entry.state().model_load(&self.service, artifact);
                cause.retry_after(self.entry.now(), load)
            }
            Cause::HeldTooLong => self.last.as_ref().map(|placed| placed.wait),
            Cause::TurnedAway | Cause::Lost | Cause::TimeUp => None,
        }
    }

    fn fail(self, cause: Cause) -> Response<Body> {
        let answer = match cause {
            Cause::TimeUp => LocalResponse::Timeout,
            _ => LocalResponse::ResponseLost,
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
            tokens = self.head.request.prompt_tokens,
            first_ms = self.first.as_millis() as u64, goal_ms = self.route.goal.as_millis() as u64,
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
        let report_ms =
            view.map(|view| self.entry.now().since(view.reported_at).as_millis() as u64);
        let coming = view.map_or(0, serving::fleet::Runner::loading_count);
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
            let Missed { outcome, failure } = match self.attempt(&placed, resume).await {
                Ok(opened) => return Ok(opened),
                Err(missed) => missed,
            };
            self.log_attempt(&placed, outcome);
            let next = self.next(outcome);
            match next {
                NextStep::TryOther => self.avoid_tried(),
                NextStep::TryAny => self.avoid = vec![placed.runner],
                NextStep::TrySame => self.avoid.clear(),
                NextStep::Refuse => return Err(Ended::Refused(Cause::TurnedAway)),
                NextStep::Fail => return Err(self.unknown()),
                NextStep::Relay => {
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
    pub fn next(&mut self, outcome: Outcome) -> NextStep {
        let now = self.entry.now();
        let (entry, service) = (&self.entry, &self.service);
        self.attempts
            .record_outcome(outcome, || entry.state().budget.try_take(now, service))
    }

    /// Avoids all runners that the request was sent to.
    pub fn avoid_tried(&mut self) {
        self.avoid = self.attempts.tried().to_vec();
    }

    fn log_attempt(&self, placed: &Placement, outcome: Outcome) {
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
            meaning = meaning.as_deref().unwrap_or("none"), adapter, access = access.as_str(), cost_ms = placed.cost_ms,
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

    /// Returns the adapter that the request names.
    pub(crate) fn adapter(&self) -> Option<&Name> {
        let artifact = self.head.request.artifact.as_ref()?;
        artifact.adapter.as_ref()
    }
}

/// Encodes a runner's answer for the caller.
pub fn response(answer: ResponseHead, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    response
}
