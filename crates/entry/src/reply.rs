//! Answers to callers: errors, receipts and the headers that go with them.

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

/// The header that carries the receipt of an answer that is not a stream.
pub(crate) const RECEIPT: HeaderName = HeaderName::from_static("x-dotterelwheel-receipt");
/// The header that names the request.
pub(crate) const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// The header of a stored answer.
pub(crate) const REPLAYED: HeaderName = HeaderName::from_static("x-dotterelwheel-replayed");

/// What ran, for the caller and the monitor.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct Receipt<'a> {
    /// The request under which agents know it.
    pub(crate) request: RequestId,
    /// The generation under which the request was resolved.
    pub(crate) generation: u64,
    /// The digest of that generation.
    pub(crate) digest: &'a str,
    /// The route that the caller named.
    pub(crate) route: &'a Name,
    /// The adapter, if there is one.
    pub(crate) adapter: Option<&'a Name>,
    /// The version within the adapter, if there is one.
    pub(crate) version: Option<&'a Name>,
    /// The digest of the weights, if there are any.
    pub(crate) weights: Option<&'a Name>,
    /// The endpoint.
    pub(crate) endpoint: &'a Name,
    /// The agent's incarnation.
    pub(crate) incarnation: Incarnation,
    /// The attempt.
    pub(crate) attempt: Attempt,
}

/// Returns the receipt of an ended attempt as JSON.
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

/// Returns the JSON form of a problem.
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

/// Returns the answer that tells of a problem.
pub(crate) fn problem(problem: &Problem) -> Response {
    let mut response = json(problem.code.status(), error_json(problem));
    if let Some(after) = problem.after {
        let seconds = after.as_secs_f64().ceil().max(1.0) as u64;
        response.headers_mut().insert(RETRY_AFTER, seconds.into());
    }
    response
}

/// Returns an answer with a JSON body.
pub(crate) fn json(status: u16, body: String) -> Response {
    full(status, "application/json", body.into())
}

/// Returns an answer with a whole body.
pub(crate) fn full(status: u16, content: &str, body: Bytes) -> Response {
    with_body(status, content, viz::Body::from(Full::new(body)))
}

/// Returns an answer with a body; a status that is not valid becomes 502.
pub(crate) fn with_body(status: u16, content: &str, body: viz::Body) -> Response {
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    set_header(&mut response, CONTENT_TYPE, content);
    response
}

/// Sets a header unless its value is not valid.
pub(crate) fn set_header(response: &mut Response, name: HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        response.headers_mut().insert(name, value);
    }
}

/// Returns the JSON form of plain data.
pub(crate) fn to_json(value: &impl Serialize) -> String {
    serde_json::to_string(value).unwrap_or_default()
}
