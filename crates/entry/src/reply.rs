//! HTTP responses to callers: errors, receipts and their headers.

use bytes::Bytes;
use decision::ids::Attempt;
use decision::ids::Incarnation;
use decision::ids::Name;
use decision::ids::RequestId;
use decision::job::End;
use decision::job::Target;
use decision::problem::Problem;
use decision::request::Request;
use http_body_util::Full;
use serde::Serialize;
use viz::Response;
use viz::StatusCode;
use viz::header::CONTENT_TYPE;
use viz::header::HeaderName;
use viz::header::HeaderValue;
use viz::header::RETRY_AFTER;

/// Header with the receipt of a response that is not a stream; a stream sends it as an event.
pub(crate) const RECEIPT: HeaderName = HeaderName::from_static("x-dotterelwheel-receipt");
/// Header with the request identifier that the caller knows.
pub(crate) const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Header that marks a response as replayed from a stored outcome.
pub(crate) const REPLAYED: HeaderName = HeaderName::from_static("x-dotterelwheel-replayed");

/// What executed a request, for callers and monitoring.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct Receipt<'a> {
    /// Request identifier that agents use.
    pub(crate) request: RequestId,
    /// Configuration generation in which the request was resolved.
    pub(crate) generation: u64,
    /// Digest of that generation.
    pub(crate) digest: &'a str,
    /// Route that the caller requested.
    pub(crate) route: &'a Name,
    /// Adapter; `None` for base models and services.
    pub(crate) adapter: Option<&'a Name>,
    /// Version of the adapter; `None` for base models and services.
    pub(crate) version: Option<&'a Name>,
    /// Digest of the adapter weights; `None` for base models and services.
    pub(crate) weights: Option<&'a Name>,
    /// Endpoint that ran the attempt.
    pub(crate) endpoint: &'a Name,
    /// Incarnation of the endpoint's agent.
    pub(crate) incarnation: Incarnation,
    /// Number of the attempt, from 1.
    pub(crate) attempt: Attempt,
}

/// Returns the receipt of a completed attempt as JSON.
pub(crate) fn receipt(request: &Request, end: &End) -> String {
    let resolved = &request.spec().resolved;
    let weights = match &resolved.choice.target {
        Target::Version { digest, .. } => Some(digest),
        Target::Model(_) | Target::Service(_) => None,
    };
    let receipt = Receipt {
        request: request.request_id(),
        generation: resolved.head.generation,
        digest: &resolved.head.digest,
        route: &resolved.route.name,
        adapter: resolved.choice.adapter.as_ref(),
        version: resolved.choice.version.as_ref(),
        weights,
        endpoint: &end.endpoint,
        incarnation: end.incarnation,
        attempt: request.attempt(),
    };
    to_json(&receipt)
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorFields<'a>,
}

#[derive(Serialize)]
struct ErrorFields<'a> {
    message: &'a str,
    #[serde(rename = "type")]
    kind: &'static str,
    code: decision::problem::Code,
    ran: decision::problem::Ran,
}

/// Serializes a problem as the JSON error body.
pub(crate) fn error_json(problem: &Problem) -> String {
    to_json(&ErrorBody {
        error: ErrorFields {
            message: &problem.message,
            kind: problem.code.kind(),
            code: problem.code,
            ran: problem.ran,
        },
    })
}

/// Returns the error response for a problem, with `Retry-After` if it names a time.
pub(crate) fn problem(problem: &Problem) -> Response {
    let mut response = json(problem.code.status(), error_json(problem));
    if let Some(after) = problem.after {
        let seconds = after.as_secs_f64().ceil().max(1.0) as u64;
        response.headers_mut().insert(RETRY_AFTER, seconds.into());
    }
    response
}

pub(crate) fn json(status: u16, body: String) -> Response {
    complete(status, "application/json", body.into())
}

pub(crate) fn complete(status: u16, content_type: &str, body: Bytes) -> Response {
    with_body(status, content_type, viz::Body::from(Full::new(body)))
}

/// Returns a response with a body; an invalid status becomes 502.
pub(crate) fn with_body(status: u16, content_type: &str, body: viz::Body) -> Response {
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    set_header(&mut response, CONTENT_TYPE, content_type);
    response
}

/// Sets a header, or leaves it out if the value is not a valid header value.
pub(crate) fn set_header(response: &mut Response, name: HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        response.headers_mut().insert(name, value);
    }
}

/// Serializes `value` as JSON; returns an empty string if that fails.
pub(crate) fn to_json(value: &impl Serialize) -> String {
    serde_json::to_string(value).unwrap_or_default()
}
