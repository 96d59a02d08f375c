//! Requests and responses as the handlers of stand-ins see them.

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::Response;
use hyper::StatusCode;
use hyper::Uri;
use percent_encoding::percent_decode_str;
use serde::Serialize;

/// The connection is closed at this point, in place of a response or of the rest of one.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("connection cut")]
pub struct ConnectionClosed;

/// The body of a response; its error closes the connection.
pub type Body = UnsyncBoxBody<Bytes, ConnectionClosed>;

/// A response, or the end of the connection in place of one.
pub type Reply = Result<Response<Body>, ConnectionClosed>;

/// Returns a response with a whole body.
pub fn full(status: StatusCode, content_type: &str, data: impl Into<Bytes>) -> Reply {
    let body = Full::new(data.into())
        .map_err(|e| match e {})
        .boxed_unsync();
    with_body(status, content_type, body)
}

/// Returns a response with any body.
pub fn with_body(status: StatusCode, content_type: &str, body: Body) -> Reply {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    if let Ok(value) = content_type.parse() {
        response
            .headers_mut()
            .insert(hyper::header::CONTENT_TYPE, value);
    }
    Ok(response)
}

/// Returns a JSON response.
pub fn json(status: StatusCode, value: &impl Serialize) -> Reply {
    let data = serde_json::to_vec(value).expect("replies have string keys");
    full(status, "application/json", data)
}

/// Returns a response without content.
pub fn empty(status: StatusCode) -> Reply {
    full(status, "text/plain", Bytes::new())
}

/// Returns an error response of the OpenAI form.
pub fn error(status: StatusCode, message: &str) -> Reply {
    let error = serde_json::json!({"message": message, "code": status.as_u16()});
    json(status, &serde_json::json!({ "error": error }))
}

/// Returns the response to a request whose body is not what the protocol asks for.
pub fn malformed(problem: &serde_json::Error) -> Reply {
    error(StatusCode::BAD_REQUEST, &problem.to_string())
}

/// Returns the decoded rest of the path after `prefix`.
pub fn path_suffix(uri: &Uri, prefix: &str) -> Option<String> {
    uri.path().strip_prefix(prefix).map(percent_decode)
}

/// Returns the decoded value of a query parameter.
pub fn query_param(uri: &Uri, name: &str) -> Option<String> {
    let pairs = uri.query()?.split('&').filter_map(|p| p.split_once('='));
    pairs
        .filter(|(n, _)| *n == name)
        .map(|(_, v)| percent_decode(v))
        .next()
}

/// Returns a numeric query parameter, or 0.
pub fn query_number(uri: &Uri, name: &str) -> u64 {
    query_param(uri, name)
        .and_then(|v| v.parse().ok())
        .unwrap_or_default()
}

/// Returns percent-encoded text as it was before.
pub fn percent_decode(text: &str) -> String {
    percent_decode_str(text).decode_utf8_lossy().into_owned()
}
