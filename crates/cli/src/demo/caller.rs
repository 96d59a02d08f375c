//! A caller of the entry, which sends requests and records the responses.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use serde_json::json;

use crate::demo::sample;

/// Time after which a caller stops waiting for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);

/// Type of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestKind {
    /// A chat completion whose response is streamed.
    StreamedChat,
    /// A chat completion with a single response body.
    Chat,
    /// A booking, which must run at most once.
    Booking,
}

/// A request to send.
#[derive(Clone, Debug)]
pub(crate) struct PlannedRequest {
    pub(crate) kind: RequestKind,
    pub(crate) route: String,
    /// Text unique to this request, which identifies it in the stand-ins' records. For a booking it
    /// is also the idempotency key.
    pub(crate) marker: String,
    /// Length of the response in tokens; unused for a booking.
    pub(crate) tokens: u32,
}

/// Outcome of a request according to the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallOutcome {
    /// A complete response arrived.
    Answered,
    /// The error says that the request did not run.
    NotRun,
    /// The error says that the request ran or may have run, or the response is unusable.
    Failed,
    /// No response arrived.
    NoResponse,
}

/// Result of sending a request once.
#[derive(Clone, Debug)]
pub(crate) struct CallResult {
    pub(crate) request: PlannedRequest,
    pub(crate) outcome: CallOutcome,
    /// Generated text as far as it was received; empty after an error.
    pub(crate) text: String,
    /// Served name on the receipt; `None` without a receipt.
    pub(crate) served_name: Option<String>,
    /// Status and error code, or a description of the failure; counted by the verdict.
    pub(crate) detail: String,
    /// Time from sending to the end of the response.
    pub(crate) latency: Duration,
}

/// An HTTP client of the entry with pooled connections.
#[derive(Clone)]
pub(crate) struct Caller {
    entry: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Caller {
    pub(crate) fn new(entry: SocketAddr) -> Caller {
        Caller {
            entry,
            client: Client::builder(TokioExecutor::new()).build_http(),
        }
    }

    /// Sends the request once and reads the response to its end.
    pub(crate) async fn send(&self, request: &PlannedRequest) -> CallResult {
        let start = Instant::now();
        let response = tokio::time::timeout(RESPONSE_TIMEOUT, self.exchange(request)).await;
        let mut result = match response {
            Ok(Ok((status, receipt, body))) => parse_response(request, status, receipt, &body),
            Ok(Err(message)) => no_response(request, message),
            Err(_) => no_response(
                request,
                format!("no answer within {} s", RESPONSE_TIMEOUT.as_secs()),
            ),
        };
        result.latency = start.elapsed();
        result
    }

    async fn exchange(
        &self,
        request: &PlannedRequest,
    ) -> Result<(u16, Option<Value>, String), String> {
        let response = self.client.request(self.encode(request)).await;
        let response = response.map_err(|err| err.to_string())?;
        let status = response.status().as_u16();
        let receipt = response.headers().get("x-dotterelwheel-receipt");
        let receipt = receipt.and_then(|value| serde_json::from_slice(value.as_bytes()).ok());
        let body = response
            .into_body()
            .collect()
            .await
            .map_err(|err| err.to_string())?;
        let body = String::from_utf8_lossy(&body.to_bytes()).into_owned();
        Ok((status, receipt, body))
    }

    fn encode(&self, request: &PlannedRequest) -> Request<Full<Bytes>> {
        let (path, body) = match request.kind {
            RequestKind::Booking => (
                format!("/v1/services/{}", request.route),
                booking_body(request),
            ),
            RequestKind::StreamedChat | RequestKind::Chat => {
                ("/v1/chat/completions".to_owned(), chat_body(request))
            }
        };
        let mut builder = Request::post(format!("http://{}{path}", self.entry))
            .header("content-type", "application/json")
            .header("authorization", format!("Bearer {}", sample::API_KEY));
        if request.kind == RequestKind::Booking {
            builder = builder.header("idempotency-key", &request.marker);
        }
        builder
            .body(Full::new(body.to_string().into()))
            .expect("the method, URI and headers are valid")
    }
}

fn booking_body(request: &PlannedRequest) -> Value {
    json!({ "marker": request.marker, "pickup": "porch" })
}

fn chat_body(request: &PlannedRequest) -> Value {
    json!({
        "model": request.route,
        "messages": [{ "role": "user", "content": "How long may the quilt hang?" }],
        "stream": request.kind == RequestKind::StreamedChat,
        "max_tokens": request.tokens,
        "marker": request.marker,
    })
}

fn no_response(request: &PlannedRequest, detail: String) -> CallResult {
    CallResult {
        request: request.clone(),
        outcome: CallOutcome::NoResponse,
        text: String::new(),
        served_name: None,
        detail,
        latency: Duration::ZERO,
    }
}

fn parse_response(
    request: &PlannedRequest,
    status: u16,
    receipt: Option<Value>,
    body: &str,
) -> CallResult {
    let result = CallResult {
        detail: format!("status {status}"),
        ..no_response(request, String::new())
    };
    if status != 200 {
        return parse_error(result, serde_json::from_str(body).ok());
    }
    match request.kind {
        RequestKind::StreamedChat => parse_stream(result, body),
        RequestKind::Chat | RequestKind::Booking => parse_body(result, receipt, body),
    }
}

fn parse_error(result: CallResult, error: Option<Value>) -> CallResult {
    let Some(error) = error else {
        return CallResult {
            outcome: CallOutcome::Failed,
            ..result
        };
    };
    let outcome = match error["error"]["ran"].as_str() {
        Some("no") => CallOutcome::NotRun,
        _ => CallOutcome::Failed,
    };
    let code = error["error"]["code"].as_str().unwrap_or("no code");
    CallResult {
        outcome,
        detail: format!("{} {code}", result.detail),
        ..result
    }
}

fn parse_body(result: CallResult, receipt: Option<Value>, body: &str) -> CallResult {
    let served_name = receipt.as_ref().and_then(served_name_of);
    let Ok(response) = serde_json::from_str::<Value>(body) else {
        return CallResult {
            outcome: CallOutcome::Failed,
            detail: "the answer is not JSON".to_owned(),
            ..result
        };
    };
    let text = response["choices"][0]["message"]["content"]
        .as_str()
        .unwrap_or_default()
        .to_owned();
    CallResult {
        outcome: CallOutcome::Answered,
        text,
        served_name,
        ..result
    }
}

fn parse_stream(result: CallResult, body: &str) -> CallResult {
    let (mut text, mut served_name, mut done, mut event) = (String::new(), None, false, "");
    for line in body.lines() {
        if let Some(name) = line.strip_prefix("event: ") {
            event = name;
        } else if let Some(data) = line.strip_prefix("data: ") {
            done |= data == "[DONE]";
            let value: Value = serde_json::from_str(data).unwrap_or_default();
            match event {
                "receipt" => served_name = served_name_of(&value),
                "error" => return parse_error(result, Some(value)),
                _ if value.get("error").is_some() => return parse_error(result, Some(value)),
                _ => text.push_str(delta_text(&value)),
            }
        } else if line.is_empty() {
            event = "";
        }
    }
    let outcome = if done {
        CallOutcome::Answered
    } else {
        CallOutcome::Failed
    };
    CallResult {
        outcome,
        text,
        served_name,
        ..result
    }
}

fn delta_text(value: &Value) -> &str {
    value["choices"][0]["delta"]["content"]
        .as_str()
        .unwrap_or_default()
}

fn served_name_of(receipt: &Value) -> Option<String> {
    let (adapter, version) = (receipt["adapter"].as_str()?, receipt["version"].as_str()?);
    if version.contains('@') {
        return Some(version.to_owned());
    }
    Some(format!("{adapter}@{version}"))
}
