//! Helpers for request handlers: building responses and decoding URIs.

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

/// Closes the connection instead of sending a response or the rest of one.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("connection closed")]
pub struct ConnectionClosed;

/// The body of a response. An error from it closes the connection.
pub type Body = UnsyncBoxBody<Bytes, ConnectionClosed>;

/// A response, or [`ConnectionClosed`] to close the connection without one.
pub type Reply = Result<Response<Body>, ConnectionClosed>;

/// Returns a response with a complete body.
pub fn full(status: StatusCode, content_type: &str, data: impl Into<Bytes>) -> Reply {
    let body = Full::new(data.into())
        .map_err(|e| match e {})
        .boxed_unsync();
    with_body(status, content_type, body)
}

/// Returns a response with the given body, which may be a stream.
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

/// Returns a response with an empty body.
pub fn empty(status: StatusCode) -> Reply {
    full(status, "text/plain", Bytes::new())
}

/// Returns an error response in the format of the OpenAI API.
pub fn error(status: StatusCode, message: &str) -> Reply {
    let error = serde_json::json!({"message": message, "code": status.as_u16()});
    json(status, &serde_json::json!({ "error": error }))
}

/// Returns a 400 response for a request body that cannot be deserialized.
pub fn malformed(problem: &serde_json::Error) -> Reply {
    error(StatusCode::BAD_REQUEST, &problem.to_string())
}

/// Returns the percent-decoded part of the path after `prefix`, or `None` if the path does not
/// start with it.
pub fn path_suffix(uri: &Uri, prefix: &str) -> Option<String> {
    uri.path().strip_prefix(prefix).map(percent_decode)
}

/// Returns the percent-decoded value of a query parameter.
pub fn query_param(uri: &Uri, name: &str) -> Option<String> {
    let pairs = uri.query()?.split('&').filter_map(|p| p.split_once('='));
    pairs
        .filter(|(n, _)| *n == name)
        .map(|(_, v)| percent_decode(v))
        .next()
}

/// Returns a numeric query parameter, or 0 if it is absent or not a number.
pub fn query_number(uri: &Uri, name: &str) -> u64 {
    query_param(uri, name)
        .and_then(|v| v.parse().ok())
        .unwrap_or_default()
}

/// Decodes percent-encoded text; invalid UTF-8 becomes U+FFFD.
pub fn percent_decode(text: &str) -> String {
    percent_decode_str(text).decode_utf8_lossy().into_owned()
}
