//! Serves one request: reads it, runs the allowed attempts and builds the response.

use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Duration;

use ::process::caller::RequestGuard;
use decision::time::Time;
use derive_more::Display;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header;
use hyper::header::HeaderValue;
use platform::ingress;
use platform::ingress::LocalResponse;
use platform::ingress::RequestHead;
use platform::runner::ResponseHead;
use serving::Name;
use serving::attempt::Attempts;
use serving::attempt::NextStep;
use serving::attempt::Outcome;
use serving::config::Limits;
use serving::config::Route;
use serving::overload;
use serving::placement::NoRunner;
use serving::placement::Placement;
use serving::quarantine::Refusal;
use serving::request::PartId;
use serving::retry_budget::RetryCause;
use serving::service_queue;
use serving::tenants::Tenant;
use spdlog::warn;

use crate::attempt;
use crate::attempt::AnswerResult;
use crate::attempt::AttemptResponse;
use crate::attempt::FailedAttempt;
use crate::attempt::SentAttempt;
use crate::buffer::BufferedBody;
use crate::caller_memory::ConnMemory;
use crate::entry::Entry;
use crate::line_limits::LineCause;
use crate::metrics::GaugeGuard;
use crate::quarantine::Trial;
use crate::quota::TokenCharge;
use crate::relay;
use crate::request_body;
use crate::request_body::BodyError;
use crate::request_body::RequestBody;
use crate::routing;
use crate::routing::Routed;
use crate::server::Body;
use crate::server::buffered_body;
use crate::server::full_body;
use crate::service_queue::HeldPlace;
use crate::service_queue::QueueTurn;
use crate::slot::HeldSlot;
use crate::step::Step;
use crate::unread::UnreadBody;

/// `Retry-After` of a request that is refused because the entry is overloaded.
pub(crate) const OVERLOAD_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Why a request ended without a runner's response.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum FailureCause {
    /// No runner can be chosen.
    #[display("{_0}")]
    NoRunner(NoRunner),
    /// The request may not wait, or not any longer, until a runner has room.
    #[display("{_0}")]
    Queue(service_queue::Refusal),
    /// The adapter is not expected, or did not arrive, within the longest wait for it.
    #[display("adapter not loaded in time")]
    AdapterTimeout,
    /// Every runner that was tried rejected the request, or could not be reached.
    #[display("rejected by the runners")]
    Rejected,
    /// The request was sent and its outcome is unknown.
    #[display("response lost")]
    ResponseLost,
    /// The request was sent for a version of its adapter that is too old by now, and has no answer.
    #[display("adapter version outdated")]
    VersionOutdated,
    /// The deadline passed.
    #[display("deadline exceeded")]
    DeadlineExceeded,
    /// The entry ends before it could answer.
    #[display("entry stopping")]
    Stopping,
    /// Runners have crashed on it, or on a part of its prompt.
    #[display("{_0}")]
    HeldBack(Refusal),
}

/// Why no response can be delivered.
#[derive(Debug)]
pub enum DispatchError {
    /// The request was not run, so that the caller may repeat it.
    Refused(FailureCause),
    /// The request may have run, and its response is not available.
    Unknown(FailureCause),
    /// The head and body of the failure that the runner responded with.
    RunnerFailure(Box<ResponseHead>, BufferedBody),
}

/// A request in progress, with the state of its attempts.
pub struct ActiveRequest {
    /// The entry that serves it, with its fleet, connections and metrics.
    pub entry: Arc<Entry>,
    /// The connection of its caller, on which it is in progress.
    pub caller: RequestGuard,
    /// Target, headers and the platform's fields of the request.
    pub head: RequestHead,
    /// When the request head was read.
    pub arrival: Time,
    /// The arrival plus the shorter of the caller's and the route's timeout.
    pub deadline: Time,
    /// The route as configured on arrival; a later configuration does not change it.
    pub route: Route,
    /// The tenant that it belongs to; `None` if its route needs none.
    pub tenant: Option<Arc<Tenant>>,
    /// The priority among other requests; 0 is the most urgent.
    pub priority: u8,
    /// Runners tried so far and whether one of them may have run the request.
    pub attempts: Attempts,
    pub(crate) body: RequestBody,
    /// What the request is recognized by when it comes again; computed when it is first needed.
    fingerprint: OnceLock<PartId>,
    pub(crate) service: Name,
    /// Runners to avoid in the next attempt.
    pub(crate) excluded: Vec<Name>,
    /// Time spent waiting for a runner or an adapter, over all attempts.
    pub(crate) wait_time: Duration,
    /// The part of it that was spent waiting until a runner of a plain service had room.
    pub(crate) queue_time: Duration,
    /// Time spent waiting for the admission of the prompt, over all attempts.
    pub(crate) admission_time: Duration,
    /// The longest gap between two events of a stream that were relayed.
    pub(crate) longest_gap: Duration,
    /// The time from the arrival to the complete response or to the first event of a stream.
    pub(crate) first_response: Duration,
    /// The runner that has answered last; `None` if none has.
    pub(crate) answered_by: Option<Name>,
    /// Number of times the request was written to a runner.
    pub(crate) sends: u32,
    /// When the last of these was.
    pub(crate) sent_at: Time,
    /// Set when the head of the answer to the last attempt has arrived.
    pub(crate) head_at: Arc<OnceLock<Time>>,
    pub(crate) step: Step,
    /// Whether its end is logged.
    pub(crate) ended: bool,
    pub(crate) last_placement: Option<Placement>,
    /// Whether this request tries parts of prompts that are under suspicion.
    pub(crate) trial: Option<Trial>,
    /// Its slot at a runner that limits its requests.
    pub(crate) slot: Option<HeldSlot>,
    /// Its place at the chosen runner of a plain service, until it is sent.
    pub(crate) place: Option<HeldPlace>,
    /// Its turn while it waits for a place.
    pub(crate) turn: Option<QueueTurn>,
    /// What it was charged.
    pub(crate) charge: Option<TokenCharge>,
    /// What its head holds beyond the budget of a request.
    pub(crate) _head_excess: GaugeGuard,
}

/// Serves one request of a caller. A request that is not sent to a runner gets a response of the
/// entry itself.
pub(crate) async fn handle(
    entry: Arc<Entry>,
    caller: RequestGuard,
    memory: Arc<ConnMemory>,
    request: Request<Incoming>,
) -> Response<Body> {
    let inflight = GaugeGuard::new(&entry.metrics.inflight);
    let arrival = entry.now();
    let (parts, incoming) = request.into_parts();
    let head_excess = overload::head_excess(ingress::head_bytes(&parts));
    let has_large_head = head_excess > 0;
    let head_excess = GaugeGuard::of(&entry.metrics.head_excess, head_excess);
    let mut body = UnreadBody::new(&parts, incoming, memory);
    let mut head = match ingress::decode_head(&parts) {
        Ok(head) => head,
        Err(error) => {
            if let Some(omitted) = entry.lines.admit(arrival, LineCause::Head) {
                let error = error.to_string();
                warn!("request rejected", kv: { error = error.as_str(), omitted });
            }
            drop((inflight, head_excess));
            return body.answer(&entry, LocalResponse::BadRequest, None).await;
        }
    };
    body.bound_by(head.request.timeout);
    let Routed {
        route,
        service,
        limits,
        tenant,
        priority,
        charge,
    } = match routing::find_route(&entry, &mut head, parts.uri.path()).await {
        Ok(routed) => routed,
        Err(response) => {
            let id = &*head.request.id;
            drop((inflight, head_excess));
            let mut answer = body.answer(&entry, response, Some(id)).await;
            if has_large_head {
                // A kept connection would keep the buffer that the head was read into.
                let close = HeaderValue::from_static("close");
                answer.headers_mut().insert(header::CONNECTION, close);
            }
            return answer;
        }
    };
    let timeout = head
        .request
        .timeout
        .map_or(route.timeout, |wait| wait.min(route.timeout));
    let mut request = ActiveRequest {
        attempts: Attempts::new(route.kind, route.max_attempts),
        arrival,
        deadline: arrival.after(timeout),
        body: RequestBody::default(),
        fingerprint: OnceLock::new(),
        service,
        excluded: Vec::new(),
        wait_time: Duration::ZERO,
        queue_time: Duration::ZERO,
        admission_time: Duration::ZERO,
        longest_gap: Duration::ZERO,
        first_response: Duration::ZERO,
        answered_by: None,
        sends: 0,
        sent_at: arrival,
        head_at: Arc::default(),
        step: Step::RequestBody,
        ended: false,
        last_placement: None,
        trial: None,
        slot: None,
        charge,
        tenant,
        priority,
        place: None,
        turn: None,
        _head_excess: head_excess,
        route,
        head,
        entry,
        caller,
    };
    match request.read_body(&mut body, &limits).await {
        Ok(body) => request.body = body,
        Err(error) => {
            drop(inflight);
            return request.reject(error, body).await;
        }
    }
    drop(body);
    request.serve().await
}

/// Returns a response of the entry itself, and counts it.
pub(crate) fn entry_response(
    entry: &Entry,
    response: LocalResponse,
    id: Option<&str>,
) -> Response<Body> {
    let outcome = response.to_string();
    entry
        .metrics
        .requests
        .with_label_values(&[outcome.as_str()])
        .inc();
    response.response(id).map(full_body)
}

impl ActiveRequest {
    /// Reads the request's body, no longer than to its deadline.
    async fn read_body(
        &self,
        body: &mut UnreadBody,
        limits: &Limits,
    ) -> Result<RequestBody, BodyError> {
        let deadline = self.entry.clock.instant(self.deadline);
        let error = tokio::select! {
            biased;
            read = request_body::read(body, limits) => return read,
            () = self.entry.requests_cut() => BodyError::Stopping,
            () = tokio::time::sleep_until(deadline) => BodyError::Timeout,
        };
        body.set_late();
        Err(error)
    }

    async fn serve(mut self) -> Response<Body> {
        let now = self.entry.now();
        self.entry
            .state()
            .retry_budget
            .record_request(now, &self.service);
        let entry = self.entry.clone();
        let result = tokio::select! {
            biased;
            result = self.run_attempts(None) => result,
            () = entry.requests_cut() => Err(self.stopping()),
        };
        match result {
            Ok(AttemptResponse::Complete(head, body)) => {
                self.observe_first_response();
                self.record_completion("served");
                forward_response(*head, buffered_body(body))
            }
            Ok(AttemptResponse::Stream(stream)) => {
                self.observe_first_response();
                relay::stream_response(self, *stream)
            }
            Err(DispatchError::RunnerFailure(head, body)) => {
                self.record_completion("runner failed");
                forward_response(*head, buffered_body(body))
            }
            Err(DispatchError::Refused(cause)) => self.refuse(cause),
            Err(DispatchError::Unknown(cause)) => self.fail(cause),
        }
    }

    fn observe_first_response(&mut self) {
        let age = self.entry.now().since(self.arrival);
        self.first_response = age;
        self.observe_queue_time();
        self.entry
            .metrics
            .first_response_s
            .observe(age.as_secs_f64());
        self.entry
            .metrics
            .adapter_wait_s
            .observe(self.wait_time.as_secs_f64());
        self.entry
            .metrics
            .admission_wait_s
            .observe(self.admission_time.as_secs_f64());
    }

    /// Sends the request until a runner responds or no further attempt is allowed. `resume` is the
    /// identifier of the last event that the caller has, if a stream is resumed.
    pub async fn run_attempts(
        &mut self,
        resume: Option<u64>,
    ) -> Result<AttemptResponse, DispatchError> {
        self.continue_attempts(None, resume).await
    }

    /// Does the same, beginning with an attempt that was sent already, if there is one.
    pub(crate) async fn continue_attempts(
        &mut self,
        mut sent: Option<SentAttempt>,
        resume: Option<u64>,
    ) -> Result<AttemptResponse, DispatchError> {
        loop {
            let (placement, result) = match sent.take() {
                Some(sent) => self.wait_for_answer(sent, resume).await,
                None => self.make_attempt(resume).await?,
            };
            self.record_finding(&placement, attempt::finding(&result));
            let failed = match result {
                Ok(response) => return Ok(response),
                Err(failed) => failed,
            };
            self.log_attempt(&placement, &failed);
            self.report_failed(&placement, &failed);
            if self.entry.now() >= self.deadline && failed.failure.is_none() {
                self.attempts.record_outcome(failed.outcome, || false);
                return Err(self.deadline_exceeded());
            }
            match self.next_step(failed.outcome).await {
                NextStep::TryOther => self.exclude_tried(),
                NextStep::TryAny => self.excluded = vec![placement.runner],
                NextStep::TrySame => self.excluded.clear(),
                NextStep::Refuse => return Err(DispatchError::Refused(FailureCause::Rejected)),
                NextStep::Fail => return Err(self.unknown_outcome(failed.is_outdated)),
                NextStep::Relay => {
                    let Some((head, body)) = failed.failure else {
                        return Err(self.unknown_outcome(failed.is_outdated));
                    };
                    return Err(DispatchError::RunnerFailure(head, body));
                }
            }
        }
    }

    /// Chooses a runner, sends the request there and waits for the answer.
    async fn make_attempt(
        &mut self,
        resume: Option<u64>,
    ) -> Result<(Placement, AnswerResult), DispatchError> {
        if !self.can_finish() {
            return Err(self.stopping());
        }
        if self.entry.now() >= self.deadline {
            return Err(self.deadline_exceeded());
        }
        let deadline = self.entry.clock.instant(self.deadline);
        let sent = tokio::time::timeout_at(deadline, self.send_attempt(resume)).await;
        match sent {
            Ok(Ok((_, Ok(sent)))) => Ok(self.wait_for_answer(sent, resume).await),
            Ok(Ok((placement, Err(failed)))) => Ok((placement, Err(failed))),
            Ok(Err(error)) => Err(error),
            Err(_) => Err(self.deadline_exceeded()),
        }
    }

    /// Waits for all that an attempt needs, and sends it. The caller bounds these waits.
    async fn send_attempt(
        &mut self,
        resume: Option<u64>,
    ) -> Result<(Placement, Result<SentAttempt, FailedAttempt>), DispatchError> {
        self.step = Step::Probe;
        self.pass_quarantine().await?;
        self.step = Step::Adapter;
        let placement = self.locate().await?;
        self.step = Step::Admission;
        let prompt = self.admit_prompt(&placement).await;
        let sent = self.send(placement.clone(), prompt, resume).await;
        // An attempt that was not sent uses no place.
        self.place = None;
        Ok((placement, sent))
    }

    /// Decides what follows an attempt. A request that can only go on with a retry waits for one.
    pub async fn next_step(&mut self, outcome: Outcome) -> NextStep {
        if self.attempts.awaits_retry(outcome) {
            self.wait_for_retry().await;
        }
        let now = self.entry.now();
        let (entry, service) = (&self.entry, &self.service);
        self.attempts.record_outcome(outcome, || {
            let mut state = entry.state();
            state.retry_budget.try_take(now, service, RetryCause::Ended)
        })
    }

    /// Returns whether the request can be answered before the entry ends.
    pub(crate) fn can_finish(&self) -> bool {
        self.entry.can_finish(&self.route.name, self.deadline)
    }

    /// Excludes all runners that the request was sent to from the next attempt.
    pub fn exclude_tried(&mut self) {
        self.excluded = self.attempts.tried().to_vec();
    }

    /// Returns what the request is recognized by when it comes again.
    pub(crate) fn fingerprint(&self) -> PartId {
        *self
            .fingerprint
            .get_or_init(|| self.head.fingerprint(&self.body.bytes))
    }

    /// Returns the adapter that the request needs, if any.
    pub(crate) fn adapter(&self) -> Option<&Name> {
        let artifact = self.head.request.artifact.as_ref()?;
        artifact.adapter.as_ref()
    }
}

/// Returns the caller's response with the status and headers of a runner's response.
pub fn forward_response(head: ResponseHead, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = head.headers;
    response
}
