//! The HTTP interface for callers.

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
use crate::drive::Driver;
use crate::drive::Start;
use crate::outlet::Head;
use crate::outlet::Outlet;
use crate::records::State;
use crate::reply;
use crate::shared::BODY_UNIT;
use crate::shared::Shared;

/// The timeout of a read of a claim row for a caller who asks for a request.
const READ_TIMEOUT: Duration = Duration::from_millis(500);

/// Returns the routes of the interface.
pub(crate) fn router(shared: Arc<Shared>) -> Router {
    let on = |handle: fn(Arc<Shared>, Request) -> futures::future::BoxFuture<'static, Response>| {
        let shared = shared.clone();
        move |request: Request| {
            let last = request.version() < Version::HTTP_2 && shared.stopping.is_cancelled();
            let answer = handle(shared.clone(), request);
            async move {
                let mut response = answer.await;
                if last {
                    // The caller then takes its next request to another entry.
                    let close = HeaderValue::from_static("close");
                    response.headers_mut().insert(CONNECTION, close);
                }
                Ok::<_, viz::Error>(response)
            }
        }
    };
    Router::new()
        .post("/v1/chat/completions", on(|s, r| Box::pin(complete(s, r))))
        .post("/v1/completions", on(|s, r| Box::pin(complete(s, r))))
        .post(
            "/v1/services/:route",
            on(|s, r| Box::pin(call_service(s, r))),
        )
        .post("/services/:route", on(|s, r| Box::pin(call_service(s, r))))
        .post(
            "/services/:route/*",
            on(|s, r| Box::pin(call_service(s, r))),
        )
        .get("/v1/models", on(|s, r| Box::pin(list_models(s, r))))
        .get("/v1/requests/:id", on(|s, r| Box::pin(show_request(s, r))))
        .any("/*", on(|_, _| Box::pin(async { not_found() })))
}

fn not_found() -> Response {
    reply::problem(&Problem::not_run(Code::NotFound, "nothing is at this path"))
}

async fn complete(shared: Arc<Shared>, request: Request) -> Response {
    let answer = try_complete(&shared, request).await;
    answer.unwrap_or_else(|problem| refuse(&shared, &problem))
}

async fn try_complete(shared: &Arc<Shared>, mut request: Request) -> Result<Response, Problem> {
    let caller = admit_caller(shared, &request)?;
    let Body { data, memory } = read_body(shared, &mut request).await?;
    let parsed = RequestBody::parse(&data).map_err(|message| malformed(&message))?;
    let call = Call::new(shared, caller);
    let resolved = call.resolve(&parsed.model)?;
    if resolved.route.is_service() {
        return Err(no_model());
    }
    let served = resolved.choice.target.served_name().clone();
    let path = request.path().to_owned();
    let mut arrival = call.arrival(resolved, path, &data);
    arrival.stream = parsed.stream;
    arrival.prefix = parsed.prefix_hash(&served);
    let data = parsed.with_model(&data, &served);
    call.run(arrival, Body { data, memory }).await
}

async fn call_service(shared: Arc<Shared>, request: Request) -> Response {
    let answer = try_service(&shared, request).await;
    answer.unwrap_or_else(|problem| refuse(&shared, &problem))
}

async fn try_service(shared: &Arc<Shared>, mut request: Request) -> Result<Response, Problem> {
    let caller = admit_caller(shared, &request)?;
    let (route, path) = service_path(request.path());
    let (route, path) = (route.to_owned(), path.to_owned());
    let body = read_body(shared, &mut request).await?;
    let call = Call::new(shared, caller);
    let resolved = call.resolve(&route)?;
    if !resolved.route.is_service() {
        return Err(no_model());
    }
    let arrival = call.arrival(resolved, path, &body.data);
    call.run(arrival, body).await
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
    let caller = match admit_caller(&shared, &request) {
        Ok(caller) => caller,
        Err(problem) => return refuse(&shared, &problem),
    };
    let directory = shared.directory();
    let Some(tenant) = directory.table.workspace(&caller.workspace.name) else {
        return refuse(&shared, &no_model());
    };
    let routes = tenant.routes.values().filter(|route| !route.is_service());
    let mut names: Vec<&str> = routes.map(|route| &*route.name).collect();
    names.sort_unstable();
    let owner = &tenant.workspace.name;
    let model =
        |name: &&str| json!({ "id": name, "object": "model", "created": 0, "owned_by": owner });
    let data: Vec<_> = names.iter().map(model).collect();
    reply::json(200, json!({ "object": "list", "data": data }).to_string())
}

async fn show_request(shared: Arc<Shared>, request: Request) -> Response {
    let answer = try_show(&shared, &request).await;
    answer.unwrap_or_else(|problem| reply::problem(&problem))
}

async fn try_show(shared: &Arc<Shared>, request: &Request) -> Result<Response, Problem> {
    let caller = admit_caller(shared, request)?;
    let _admitted = shared.admit(&caller.workspace, Priority::Interactive)?;
    let id = request.path().rsplit('/').next().unwrap_or_default();
    let workspace = &caller.workspace.name;
    let record = shared.book().records.get(workspace, id).cloned();
    if let Some(record) = record {
        let receipt = match &record.state {
            State::Done { receipt } => serde_json::from_str(receipt).unwrap_or_default(),
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

fn admit_caller(shared: &Shared, request: &Request) -> Result<Caller, Problem> {
    shared.configured().map_err(|reason| {
        Problem::not_run(Code::NotReady, reason).retry_after(Duration::from_secs(1))
    })?;
    Caller::read(&shared.directory(), request.headers())
}

/// A body and the memory that is set aside for it.
struct Body {
    data: Bytes,
    memory: OwnedSemaphorePermit,
}

/// Reads the body; one of unknown length counts as the largest.
async fn read_body(shared: &Shared, request: &mut Request) -> Result<Body, Problem> {
    let limit = shared.settings.body_bytes;
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
    let units = (length as usize).div_ceil(BODY_UNIT) as u32;
    let memory = shared.bodies.clone().try_acquire_many_owned(units);
    let mut memory = memory.map_err(|_| {
        let problem = Problem::not_run(Code::Overloaded, "too many bodies are in flight");
        problem.retry_after(Duration::from_secs(1))
    })?;
    let body = std::mem::take(request.body_mut());
    let collected = Limited::new(body, limit).collect();
    match tokio::time::timeout(shared.settings.body_time(), collected).await {
        Ok(Ok(body)) => {
            let data = body.to_bytes();
            let taken = data.len().div_ceil(BODY_UNIT);
            drop(memory.split((units as usize).saturating_sub(taken)));
            Ok(Body { data, memory })
        }
        Ok(Err(err)) if err.is::<LengthLimitError>() => Err(too_large()),
        Ok(Err(err)) => Err(malformed(&format!("the body broke off: {err}"))),
        Err(_) => Err(malformed("the body did not arrive in time")),
    }
}

fn no_model() -> Problem {
    let message = "the workspace has no route of this name";
    Problem::not_run(Code::ModelNotFound, message)
}

fn refuse(shared: &Shared, problem: &Problem) -> Response {
    shared
        .metrics
        .answered(&problem.code.to_string(), Duration::ZERO);
    reply::problem(problem)
}

/// A call of a known caller.
struct Call<'a> {
    shared: &'a Arc<Shared>,
    caller: Caller,
    request: decision::ids::RequestId,
    /// The identifier that the caller knows.
    id: String,
}

impl<'a> Call<'a> {
    /// Agents know the call by a new identifier; the one of the caller might be used by another
    /// workspace as well.
    fn new(shared: &'a Arc<Shared>, caller: Caller) -> Self {
        let request = shared.draw_id();
        Call {
            id: caller.id.clone().unwrap_or_else(|| request.to_string()),
            shared,
            caller,
            request,
        }
    }

    fn resolve(&self, name: &str) -> Result<Resolved, Problem> {
        // A retry with the same idempotency key has to reach the same version.
        let key = self
            .caller
            .conversation
            .as_ref()
            .or(self.caller.key.as_ref());
        let conversation = key.unwrap_or(&self.id);
        let directory = self.shared.directory();
        let workspace = &self.caller.workspace.name;
        let resolved = directory.table.resolve(workspace, name, conversation);
        resolved.map_err(|_| no_model())
    }

    fn arrival(&self, resolved: Resolved, path: String, body: &[u8]) -> RequestSpec {
        let route = &resolved.route;
        let allowed = self
            .caller
            .deadline
            .map_or(route.deadline, |ms| ms.min(route.deadline));
        let lowered = self.caller.priority.unwrap_or(Priority::Interactive);
        RequestSpec {
            request: self.request,
            priority: route.priority.max(lowered),
            deadline: self.shared.clock.now().after(allowed),
            claim: (!route.repeatable).then(|| self.claim_key(&route.name, &path, body)),
            stream: false,
            prefix: 0,
            resolved,
            path,
        }
    }

    fn claim_key(&self, route: &str, path: &str, body: &[u8]) -> ClaimKey {
        let key = self.caller.key.as_deref().unwrap_or(&self.id);
        ClaimKey {
            row: ClaimRow::key(&self.caller.workspace.name, key),
            digest: claim_digest(&[route.as_bytes(), path.as_bytes(), body]),
            nonce: self.shared.draw_id().to_string(),
        }
    }

    async fn run(&self, arrival: RequestSpec, body: Body) -> Result<Response, Problem> {
        let admitted = self
            .shared
            .admit(&self.caller.workspace, arrival.priority)?;
        let (outlet, answer) = Outlet::new();
        let gone = CancellationToken::new();
        let guard = gone.clone().drop_guard();
        let start = Start {
            arrival,
            body: body.data,
            memory: body.memory,
            outlet,
            gone,
            id: self.id.clone(),
            admitted,
        };
        let task = Driver::run(self.shared.clone(), start);
        self.shared.tasks.spawn(task);
        let head = answer.await.map_err(|_| {
            let message = "the request ended without an answer";
            Problem::new(Code::OutcomeUnknown, Ran::Unknown, message)
        })?;
        let mut response = respond(head, guard);
        reply::set_header(&mut response, reply::REQUEST_ID, &self.id);
        Ok(response)
    }
}

/// Returns the digest of the parts, each preceded by its length, so that no two lists of parts are
/// the same bytes.
fn claim_digest(parts: &[&[u8]]) -> String {
    let mut hasher = audit::Hasher::default();
    for part in parts {
        hasher.update(&(part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    hasher.finish()
}

/// Makes the response; the guard lives as long as the caller takes the answer.
fn respond(head: Head, guard: DropGuard) -> Response {
    match head {
        Head::Whole(response) => response,
        Head::Stream {
            status,
            content,
            pieces,
        } => {
            let stream = futures::stream::unfold((pieces, guard), |(mut pieces, guard)| async {
                let piece = pieces.recv().await?;
                Some((Ok::<_, std::io::Error>(piece), (pieces, guard)))
            });
            reply::with_body(status, &content, viz::Body::from_stream(stream))
        }
    }
}
