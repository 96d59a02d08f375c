//! The HTTP API for callers.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use decision::claim::ClaimRow;
use decision::ids::Priority;
use decision::problem::Code;
use decision::problem::Problem;
use decision::problem::Ran;
use decision::request::ClaimKey;
use decision::request::RequestSpec;
use decision::route::Resolved;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::Version;
use serde_json::json;
use tokio::sync::OwnedSemaphorePermit;
use tokio_util::sync::CancellationToken;
use tokio_util::sync::DropGuard;
use viz::Request;
use viz::RequestExt;
use viz::Response;
use viz::Router;
use viz::header::CONNECTION;
use viz::header::HeaderValue;

use crate::body::RequestBody;
use crate::caller::Caller;
use crate::caller::malformed;
use crate::driver::Driver;
use crate::driver::DriverArgs;
use crate::records::RequestState;
use crate::reply;
use crate::response_sender::ResponseSender;
use crate::response_sender::ResponseStart;
use crate::shared::BODY_PERMIT_BYTES;
use crate::shared::Shared;

/// Timeout of the claim row read of `GET /v1/requests/{id}`.
const READ_TIMEOUT: Duration = Duration::from_millis(500);

/// Returns the router of the HTTP API.
pub(crate) fn router(shared: Arc<Shared>) -> Router {
    let bind =
        |handle: fn(Arc<Shared>, Request) -> futures::future::BoxFuture<'static, Response>| {
            let shared = shared.clone();
            move |request: Request| {
                let close_connection =
                    request.version() < Version::HTTP_2 && shared.stopping.is_cancelled();
                let result = handle(shared.clone(), request);
                async move {
                    let mut response = result.await;
                    if close_connection {
                        // Makes the caller send its next request to another entry.
                        let close = HeaderValue::from_static("close");
                        response.headers_mut().insert(CONNECTION, close);
                    }
                    Ok::<_, viz::Error>(response)
                }
            }
        };
    Router::new()
        .post(
            "/v1/chat/completions",
            bind(|s, r| Box::pin(handle_completion(s, r))),
        )
        .post(
            "/v1/completions",
            bind(|s, r| Box::pin(handle_completion(s, r))),
        )
        .post(
            "/v1/services/:route",
            bind(|s, r| Box::pin(handle_service(s, r))),
        )
        .post(
            "/services/:route",
            bind(|s, r| Box::pin(handle_service(s, r))),
        )
        .post(
            "/services/:route/*",
            bind(|s, r| Box::pin(handle_service(s, r))),
        )
        .get("/v1/models", bind(|s, r| Box::pin(list_models(s, r))))
        .get(
            "/v1/requests/:id",
            bind(|s, r| Box::pin(show_request(s, r))),
        )
        .any("/*", bind(|_, _| Box::pin(async { not_found() })))
}

fn not_found() -> Response {
    reply::problem(&Problem::not_run(Code::NotFound, "nothing is at this path"))
}

async fn handle_completion(shared: Arc<Shared>, request: Request) -> Response {
    let result = try_completion(&shared, request).await;
    result.unwrap_or_else(|problem| reject(&shared, &problem))
}

async fn try_completion(shared: &Arc<Shared>, mut request: Request) -> Result<Response, Problem> {
    let caller = authenticate_caller(shared, &request)?;
    let Body { data, permit } = read_body(shared, &mut request).await?;
    let parsed = RequestBody::parse(&data).map_err(|message| malformed(&message))?;
    let call = Call::new(shared, caller);
    let resolved = call.resolve(&parsed.model)?;
    if resolved.route.is_service() {
        return Err(model_not_found());
    }
    let served = resolved.choice.target.served_name().clone();
    let path = request.path().to_owned();
    let mut spec = call.spec(resolved, path, &data);
    spec.stream = parsed.stream;
    spec.prefix = parsed.prefix_hash(&served);
    let data = parsed.with_model(&data, &served);
    call.run(spec, Body { data, permit }).await
}

async fn handle_service(shared: Arc<Shared>, request: Request) -> Response {
    let result = try_service(&shared, request).await;
    result.unwrap_or_else(|problem| reject(&shared, &problem))
}

async fn try_service(shared: &Arc<Shared>, mut request: Request) -> Result<Response, Problem> {
    let caller = authenticate_caller(shared, &request)?;
    let (route, path) = service_path(request.path());
    let (route, path) = (route.to_owned(), path.to_owned());
    let body = read_body(shared, &mut request).await?;
    let call = Call::new(shared, caller);
    let resolved = call.resolve(&route)?;
    if !resolved.route.is_service() {
        return Err(model_not_found());
    }
    let spec = call.spec(resolved, path, &body.data);
    call.run(spec, body).await
}

/// Splits `/services/{route}/rest` and `/v1/services/{route}` into the route and the path at the
/// service.
fn service_path(path: &str) -> (&str, &str) {
    let path = path.strip_prefix("/v1").unwrap_or(path);
    let rest = path.strip_prefix("/services/").unwrap_or(path);
    match rest.find('/') {
        Some(end) => rest.split_at(end),
        None => (rest, "/"),
    }
}

async fn list_models(shared: Arc<Shared>, request: Request) -> Response {
    let caller = match authenticate_caller(&shared, &request) {
        Ok(caller) => caller,
        Err(problem) => return reject(&shared, &problem),
    };
    let config_index = shared.config_index();
    let Some(workspace_routes) = config_index.routes.workspace(&caller.workspace.name) else {
        return reject(&shared, &model_not_found());
    };
    let routes = workspace_routes
        .routes
        .values()
        .filter(|route| !route.is_service());
    let mut names: Vec<&str> = routes.map(|route| &*route.name).collect();
    names.sort_unstable();
    let owner = &workspace_routes.workspace.name;
    let model =
        |name: &&str| json!({ "id": name, "object": "model", "created": 0, "owned_by": owner });
    let data: Vec<_> = names.iter().map(model).collect();
    reply::json(200, json!({ "object": "list", "data": data }).to_string())
}

async fn show_request(shared: Arc<Shared>, request: Request) -> Response {
    let result = try_show_request(&shared, &request).await;
    result.unwrap_or_else(|problem| reply::problem(&problem))
}

async fn try_show_request(shared: &Arc<Shared>, request: &Request) -> Result<Response, Problem> {
    let caller = authenticate_caller(shared, request)?;
    let _admitted = shared.admit(&caller.workspace, Priority::Interactive)?;
    let id = request.path().rsplit('/').next().unwrap_or_default();
    let workspace = &caller.workspace.name;
    let record = shared.accounting().records.get(workspace, id).cloned();
    if let Some(record) = record {
        let receipt = match &record.state {
            RequestState::Done { receipt } => serde_json::from_str(receipt).unwrap_or_default(),
            _ => serde_json::Value::Null,
        };
        let body = json!({
            "id": id,
            "request": record.request,
            "route": record.route,
            "status": record.state,
            "receipt": receipt,
        });
        return Ok(reply::json(200, body.to_string()));
    }
    let key = ClaimRow::key(workspace, id);
    let row = shared.external.table.get(&key, READ_TIMEOUT).await;
    let row = row.map_err(|_| {
        let message = "the table service cannot be reached";
        Problem::new(Code::StorageUnavailable, Ran::Unknown, message)
    })?;
    let claim = row.and_then(|row| serde_json::from_slice::<ClaimRow>(&row.value).ok());
    let Some(claim) = claim else {
        let message = "the workspace has no such request, or it is no longer remembered";
        return Err(Problem::new(Code::RequestNotFound, Ran::Unknown, message));
    };
    let body = json!({
        "id": id,
        "request": claim.request,
        "attempt": claim.attempt,
        "claim": claim.state,
        "outcome": claim.stored.map(|stored| stored.outcome),
    });
    Ok(reply::json(200, body.to_string()))
}

fn authenticate_caller(shared: &Shared, request: &Request) -> Result<Caller, Problem> {
    shared.check_configured().map_err(|reason| {
        Problem::not_run(Code::NotReady, reason).retry_after(Duration::from_secs(1))
    })?;
    Caller::from_headers(&shared.config_index(), request.headers())
}

/// A request body and the permits for its memory.
struct Body {
    data: Bytes,
    permit: OwnedSemaphorePermit,
}

/// Reads the body.
///
/// A body of unknown length reserves memory for the largest allowed one; what it does not need is
/// released once it has been read.
async fn read_body(shared: &Shared, request: &mut Request) -> Result<Body, Problem> {
    let limit = shared.limits.body_bytes;
    let too_large = || {
        let message = format!("the body is larger than {limit} bytes");
        Problem::not_run(Code::BodyTooLarge, message)
    };
    let length = request
        .content_length()
        .map_or(limit as u64, |length| length);
    if length > limit as u64 {
        return Err(too_large());
    }
    let permits = (length as usize).div_ceil(BODY_PERMIT_BYTES) as u32;
    let permit = shared.body_memory.clone().try_acquire_many_owned(permits);
    let mut permit = permit.map_err(|_| {
        let problem = Problem::not_run(Code::Overloaded, "too many bodies are in flight");
        problem.retry_after(Duration::from_secs(1))
    })?;
    let body = std::mem::take(request.body_mut());
    let collected = Limited::new(body, limit).collect();
    match tokio::time::timeout(shared.limits.body_timeout(), collected).await {
        Ok(Ok(body)) => {
            let data = body.to_bytes();
            let used = data.len().div_ceil(BODY_PERMIT_BYTES);
            drop(permit.split((permits as usize).saturating_sub(used)));
            Ok(Body { data, permit })
        }
        Ok(Err(err)) if err.is::<LengthLimitError>() => Err(too_large()),
        Ok(Err(err)) => Err(malformed(&format!("the body broke off: {err}"))),
        Err(_) => Err(malformed("the body did not arrive in time")),
    }
}

fn model_not_found() -> Problem {
    let message = "the workspace has no route of this name";
    Problem::not_run(Code::ModelNotFound, message)
}

fn reject(shared: &Shared, problem: &Problem) -> Response {
    shared
        .metrics
        .record_request(&problem.code.to_string(), Duration::ZERO);
    reply::problem(problem)
}

/// A call of an authenticated caller.
struct Call<'a> {
    shared: &'a Arc<Shared>,
    caller: Caller,
    request: decision::ids::RequestId,
    /// Request identifier that the caller knows; unique within its workspace only.
    id: String,
}

impl<'a> Call<'a> {
    /// Generates the identifier that agents use, because another workspace may use the same caller
    /// identifier.
    fn new(shared: &'a Arc<Shared>, caller: Caller) -> Self {
        let request = shared.new_request_id();
        Call {
            id: caller
                .request_id
                .clone()
                .unwrap_or_else(|| request.to_string()),
            shared,
            caller,
            request,
        }
    }

    fn resolve(&self, name: &str) -> Result<Resolved, Problem> {
        // A retry with the same idempotency key must resolve to the same version.
        let key = self
            .caller
            .conversation
            .as_ref()
            .or(self.caller.idempotency_key.as_ref());
        let conversation = key.unwrap_or(&self.id);
        let config_index = self.shared.config_index();
        let workspace = &self.caller.workspace.name;
        let resolved = config_index.routes.resolve(workspace, name, conversation);
        resolved.map_err(|_| model_not_found())
    }

    fn spec(&self, resolved: Resolved, path: String, body: &[u8]) -> RequestSpec {
        let route = &resolved.route;
        let timeout = self
            .caller
            .deadline
            .map_or(route.deadline, |ms| ms.min(route.deadline));
        let requested = self.caller.priority.unwrap_or(Priority::Interactive);
        RequestSpec {
            request: self.request,
            priority: route.priority.max(requested),
            deadline: self.shared.clock.now().after(timeout),
            claim: (!route.repeatable).then(|| self.claim_key(&route.name, &path, body)),
            stream: false,
            prefix: 0,
            resolved,
            path,
        }
    }

    fn claim_key(&self, route: &str, path: &str, body: &[u8]) -> ClaimKey {
        let key = self.caller.idempotency_key.as_deref().unwrap_or(&self.id);
        ClaimKey {
            row: ClaimRow::key(&self.caller.workspace.name, key),
            digest: claim_digest(&[route.as_bytes(), path.as_bytes(), body]),
            nonce: self.shared.new_request_id().to_string(),
        }
    }

    async fn run(&self, spec: RequestSpec, body: Body) -> Result<Response, Problem> {
        let admission = self.shared.admit(&self.caller.workspace, spec.priority)?;
        let (sender, receiver) = ResponseSender::new();
        let disconnected = CancellationToken::new();
        let guard = disconnected.clone().drop_guard();
        let args = DriverArgs {
            spec,
            body: body.data,
            body_permit: body.permit,
            response: sender,
            disconnected,
            id: self.id.clone(),
            admission,
        };
        let task = Driver::run(self.shared.clone(), args);
        self.shared.tasks.spawn(task);
        let start = receiver.await.map_err(|_| {
            let message = "the request ended without an answer";
            Problem::new(Code::OutcomeUnknown, Ran::Unknown, message)
        })?;
        let mut response = respond(start, guard);
        reply::set_header(&mut response, reply::REQUEST_ID, &self.id);
        Ok(response)
    }
}

/// Returns the digest of `parts`. Each part is prefixed with its length, so that different lists
/// never hash the same bytes.
fn claim_digest(parts: &[&[u8]]) -> String {
    let mut hasher = audit::Hasher::default();
    for part in parts {
        hasher.update(&(part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    hasher.finish()
}

/// Builds the HTTP response. A stream holds the guard, so that dropping its body signals that the
/// caller disconnected.
fn respond(start: ResponseStart, guard: DropGuard) -> Response {
    match start {
        ResponseStart::Complete(response) => response,
        ResponseStart::Stream {
            status,
            content_type,
            chunks,
        } => {
            let stream = futures::stream::unfold((chunks, guard), |(mut chunks, guard)| async {
                let chunk = chunks.recv().await?;
                Some((Ok::<_, std::io::Error>(chunk), (chunks, guard)))
            });
            reply::with_body(status, &content_type, viz::Body::from_stream(stream))
        }
    }
}
