//! The pooled HTTP client that the clients of all external systems use.

use std::error::Error as _;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use futures::TryStreamExt;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::header;
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::connect::capture_connection;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioTimer;
use percent_encoding::AsciiSet;
use percent_encoding::NON_ALPHANUMERIC;
use percent_encoding::utf8_percent_encode;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::EdgeError;
use crate::EdgeResult;
use crate::ErrorKind;
use crate::engine::StreamingResponse;

/// Common HTTP servers close idle connections after 5 s. A request that is written to a connection
/// just as the server closes it fails with [`ErrorKind::NoResponse`], so the client closes idle
/// connections earlier.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// How many idle connections are kept open per peer.
const MAX_IDLE_CONNECTIONS: usize = 128;

/// How many characters of an error body an error message quotes.
const MAX_QUOTED_CHARS: usize = 256;

/// The characters that are percent-encoded in a path segment or a query value: all but the unreserved
/// characters of RFC 3986.
const ENCODED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'_')
    .remove(b'.')
    .remove(b'~');

/// Percent-encodes `text` as one path segment or query value, including `/`.
pub fn encode_segment(text: &str) -> String {
    utf8_percent_encode(text, ENCODED).to_string()
}

/// One HTTP request.
#[derive(Clone, Debug)]
pub struct Call {
    /// What the call is to do, for error messages; for example `load adapter`.
    pub operation: &'static str,
    /// The HTTP method.
    pub method: Method,
    /// The path and the query, already percent-encoded.
    pub path: String,
    /// Headers beyond those that the HTTP client adds.
    pub headers: Vec<(&'static str, String)>,
    /// The body; empty if the request has none.
    pub body: Bytes,
}

impl Call {
    /// Creates a `GET` request.
    pub fn get(operation: &'static str, path: impl Into<String>) -> Call {
        Call {
            operation,
            method: Method::GET,
            path: path.into(),
            headers: Vec::new(),
            body: Bytes::new(),
        }
    }

    /// Creates a `POST` request with the JSON body `body`.
    pub fn post(operation: &'static str, path: impl Into<String>, body: Bytes) -> Call {
        Call {
            operation,
            method: Method::POST,
            path: path.into(),
            headers: vec![("content-type", "application/json".into())],
            body,
        }
    }
}

/// A response that was read completely.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The HTTP status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

impl Reply {
    /// Returns the kind of error that an unsuccessful status stands for.
    ///
    /// A server error other than 503 does not tell whether the request took effect, so it is
    /// [`ErrorKind::Malformed`].
    pub fn error_kind(&self) -> ErrorKind {
        match self.status {
            StatusCode::NOT_FOUND => ErrorKind::NotFound,
            StatusCode::CONFLICT | StatusCode::PRECONDITION_FAILED => ErrorKind::Conflict,
            StatusCode::SERVICE_UNAVAILABLE => ErrorKind::Unavailable,
            status if status.is_client_error() => ErrorKind::Refused {
                status: status.as_u16(),
                message: quote(&self.body),
            },
            status => ErrorKind::Malformed(format!("status {status}: {}", quote(&self.body))),
        }
    }
}

/// An HTTP client for one peer, with its own connection pool. Clones share the pool.
#[derive(Clone, Debug)]
pub struct Client {
    inner: legacy::Client<HttpConnector, Full<Bytes>>,
    peer: SocketAddr,
}

impl Client {
    /// Creates a client for the peer at `addr`. Connections are opened on demand.
    pub fn new(addr: SocketAddr) -> Client {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let inner = legacy::Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS)
            .build(connector);
        Client { inner, peer: addr }
    }

    /// Creates an error that names this peer.
    pub fn error(&self, operation: &'static str, kind: ErrorKind) -> EdgeError {
        EdgeError {
            operation,
            peer: self.peer.to_string(),
            kind,
        }
    }

    /// Sends a request and reads the complete response. A body of more than `limit` bytes is an error.
    pub async fn exchange(&self, call: Call, limit: usize, timeout: Duration) -> EdgeResult<Reply> {
        let operation = call.operation;
        let deadline = Instant::now() + timeout;
        let response = self.send(call, deadline).await?;
        let status = response.status();
        let headers = response.headers().clone();
        let oversized = || {
            let text = format!("response exceeds {limit} bytes");
            self.error(operation, ErrorKind::Malformed(text))
        };
        if response.body().size_hint().lower() > limit as u64 {
            return Err(oversized());
        }
        let collect = Limited::new(response.into_body(), limit).collect();
        let body = match timeout_at(deadline, collect).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(e)) if e.is::<LengthLimitError>() => return Err(oversized()),
            Ok(Err(_)) | Err(_) => return Err(self.error(operation, ErrorKind::NoResponse)),
        };
        Ok(Reply {
            status,
            headers,
            body,
        })
    }

    /// Sends a request and decodes the JSON body of a successful response. Any other status is an
    /// error, see [`Reply::error_kind`].
    pub async fn fetch<T: DeserializeOwned>(
        &self,
        call: Call,
        limit: usize,
        timeout: Duration,
    ) -> EdgeResult<T> {
        let operation = call.operation;
        let reply = self.exchange(call, limit, timeout).await?;
        self.decode(operation, &reply)
    }

    /// Like [`Client::fetch`], but returns `None` if the response is [`ErrorKind::NotFound`].
    pub async fn fetch_optional<T: DeserializeOwned>(
        &self,
        call: Call,
        limit: usize,
        timeout: Duration,
    ) -> EdgeResult<Option<T>> {
        match self.fetch(call, limit, timeout).await {
            Ok(found) => Ok(Some(found)),
            Err(e) if e.kind == ErrorKind::NotFound => Ok(None),
            Err(e) => Err(e),
        }
    }

    /// Sends a request and ignores the body of a successful response.
    pub async fn execute(&self, call: Call, limit: usize, timeout: Duration) -> EdgeResult<()> {
        let operation = call.operation;
        let reply = self.exchange(call, limit, timeout).await?;
        if !reply.status.is_success() {
            return Err(self.error(operation, reply.error_kind()));
        }
        Ok(())
    }

    /// Decodes the JSON body of a successful response. Any other status is an error.
    pub fn decode<T: DeserializeOwned>(
        &self,
        operation: &'static str,
        reply: &Reply,
    ) -> EdgeResult<T> {
        if !reply.status.is_success() {
            return Err(self.error(operation, reply.error_kind()));
        }
        self.parse(operation, reply)
    }

    /// Decodes the JSON body of a response of any status.
    pub fn parse<T: DeserializeOwned>(
        &self,
        operation: &'static str,
        reply: &Reply,
    ) -> EdgeResult<T> {
        serde_json::from_slice(&reply.body)
            .map_err(|e| self.error(operation, ErrorKind::Malformed(e.to_string())))
    }

    /// Sends a request and returns once the head of the response has arrived. The body has no timeout
    /// and no size limit. Dropping it before its end closes the connection.
    pub async fn open_stream(
        &self,
        call: Call,
        timeout: Duration,
    ) -> EdgeResult<StreamingResponse> {
        let operation = call.operation;
        let response = self.send(call, Instant::now() + timeout).await?;
        let status = response.status().as_u16();
        let content_type = response.headers().get(header::CONTENT_TYPE);
        let content_type = content_type
            .and_then(|v| v.to_str().ok())
            .unwrap_or_default()
            .to_owned();
        let client = self.clone();
        let body = response.into_body().into_data_stream();
        let body = body
            .map_err(move |_| client.error(operation, ErrorKind::NoResponse))
            .boxed();
        Ok(StreamingResponse {
            status,
            content_type,
            body,
        })
    }

    /// Reads the body of an error response, until at least `limit` bytes arrived or `deadline` passes,
    /// and returns the kind of the error.
    pub async fn read_error(
        &self,
        response: StreamingResponse,
        limit: usize,
        deadline: Instant,
    ) -> ErrorKind {
        let status = StatusCode::from_u16(response.status).unwrap_or(StatusCode::BAD_GATEWAY);
        let mut text = Vec::new();
        let mut body = response.body;
        // The status alone determines the kind, so a body that ends early is ignored.
        while let Ok(Some(Ok(chunk))) = timeout_at(deadline, body.next()).await {
            text.extend_from_slice(&chunk);
            if text.len() >= limit {
                break;
            }
        }
        Reply {
            status,
            headers: HeaderMap::new(),
            body: text.into(),
        }
        .error_kind()
    }

    /// Sends a request and returns the response once its head has arrived.
    async fn send(&self, call: Call, deadline: Instant) -> EdgeResult<Response<Incoming>> {
        let operation = call.operation;
        let mut request = self.request(call)?;
        let connection = capture_connection(&mut request);
        let response = match timeout_at(deadline, self.inner.request(request)).await {
            Ok(Ok(response)) => response,
            Ok(Err(e)) if is_unsent(&e) => return Err(self.error(operation, ErrorKind::NotSent)),
            Ok(Err(_)) => return Err(self.error(operation, ErrorKind::NoResponse)),
            Err(_) => {
                // hyper writes a request only after it has assigned a connection to it.
                let assigned = connection.connection_metadata().is_some();
                let kind = if assigned {
                    ErrorKind::NoResponse
                } else {
                    ErrorKind::NotSent
                };
                return Err(self.error(operation, kind));
            }
        };
        if !is_framed(&response) {
            let text = "response body without a length".to_owned();
            return Err(self.error(operation, ErrorKind::Malformed(text)));
        }
        Ok(response)
    }

    fn request(&self, call: Call) -> EdgeResult<Request<Full<Bytes>>> {
        let uri = format!("http://{}{}", self.peer, call.path);
        let mut builder = Request::builder().method(call.method).uri(uri);
        for (name, value) in &call.headers {
            builder = builder.header(*name, value);
        }
        // Fails if a header or the path contains characters that HTTP does not allow.
        builder
            .body(Full::new(call.body))
            .map_err(|_| self.error(call.operation, ErrorKind::NotSent))
    }
}

/// Encodes a value as JSON.
pub(crate) fn json(value: &impl Serialize) -> Bytes {
    serde_json::to_vec(value)
        .expect("request bodies have string keys")
        .into()
}

/// Returns whether hyper failed before it wrote any part of the request: no connection could be
/// opened, or the connection was closed while the request waited for it.
fn is_unsent(error: &legacy::Error) -> bool {
    let source = error
        .source()
        .and_then(|e| e.downcast_ref::<hyper::Error>());
    error.is_connect() || source.is_some_and(hyper::Error::is_canceled)
}

/// Returns whether the body has a length or is chunked. Otherwise a broken connection cannot be told
/// from the end of the body.
fn is_framed(response: &Response<Incoming>) -> bool {
    if response.body().size_hint().exact().is_some() {
        return true;
    }
    let encoding = response
        .headers()
        .get_all(header::TRANSFER_ENCODING)
        .iter()
        .next_back();
    let encoding = encoding.and_then(|v| v.to_str().ok()).unwrap_or_default();
    encoding.trim().to_ascii_lowercase().ends_with("chunked")
}

fn quote(body: &[u8]) -> String {
    String::from_utf8_lossy(body)
        .chars()
        .take(MAX_QUOTED_CHARS)
        .collect()
}
