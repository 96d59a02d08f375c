//! A caller of the entry: sends requests and writes down what it was told.

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

/// The time after which a caller gives up on an answer.
const PATIENCE: Duration = Duration::from_secs(30);

/// What kind of request it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    /// A chat whose answer is streamed.
    Stream,
    /// A chat whose answer comes whole.
    Whole,
    /// A booking, which may run once at most.
    Booking,
}

/// A request as the caller means it.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    /// The kind.
    pub(crate) kind: Kind,
    /// The route.
    pub(crate) route: String,
    /// A text that no other request carries; a booking's idempotency key.
    pub(crate) marker: String,
    /// The length of the answer.
    pub(crate) tokens: u32,
}

/// Whether the request ran, as the caller was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Told {
    /// A whole answer arrived.
    Answered,
    /// The error says that the request was not run.
    NotRun,
    /// The error says that the request ran, or that it is not known.
    Failed,
    /// No answer arrived.
    Nothing,
}

/// What the caller saw.
#[derive(Clone, Debug)]
pub(crate) struct Seen {
    /// The request.
    pub(crate) plan: Plan,
    /// Whether it ran, as the caller was told.
    pub(crate) told: Told,
    /// The text of the answer.
    pub(crate) text: String,
    /// The served name on the receipt.
    pub(crate) version: Option<String>,
    /// The status or the error, for the report of a violation.
    pub(crate) detail: String,
    /// The time to the end of the answer.
    pub(crate) took: Duration,
}

/// A caller with pooled connections.
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

    /// Sends the request and reads the answer to its end.
    pub(crate) async fn send(&self, plan: &Plan) -> Seen {
        let start = Instant::now();
        let answer = tokio::time::timeout(PATIENCE, self.exchange(plan)).await;
        let mut seen = match answer {
            Ok(Ok((status, receipt, body))) => read_answer(plan, status, receipt, &body),
            Ok(Err(message)) => nothing(plan, message),
            Err(_) => nothing(plan, format!("no answer within {} s", PATIENCE.as_secs())),
        };
        seen.took = start.elapsed();
        seen
    }

    async fn exchange(&self, plan: &Plan) -> Result<(u16, Option<Value>, String), String> {
        let response = self.client.request(self.request(plan)).await;
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

    fn request(&self, plan: &Plan) -> Request<Full<Bytes>> {
        let (path, body) = match plan.kind {
            Kind::Booking => (format!("/v1/services/{}", plan.route), booking_body(plan)),
            Kind::Stream | Kind::Whole => ("/v1/chat/completions".to_owned(), chat_body(plan)),
        };
        let mut request = Request::post(format!("http://{}{path}", self.entry))
            .header("content-type", "application/json")
            .header("authorization", format!("Bearer {}", sample::API_KEY));
        if plan.kind == Kind::Booking {
            request = request.header("idempotency-key", &plan.marker);
        }
        request
            .body(Full::new(body.to_string().into()))
            .expect("the parts are valid")
    }
}

fn booking_body(plan: &Plan) -> Value {
    json!({ "marker": plan.marker, "pickup": "porch" })
}

fn chat_body(plan: &Plan) -> Value {
    json!({
        "model": plan.route,
        "messages": [{ "role": "user", "content": "How long may the quilt hang?" }],
        "stream": plan.kind == Kind::Stream,
        "max_tokens": plan.tokens,
        "marker": plan.marker,
    })
}

fn nothing(plan: &Plan, detail: String) -> Seen {
    Seen {
        plan: plan.clone(),
        told: Told::Nothing,
        text: String::new(),
        version: None,
        detail,
        took: Duration::ZERO,
    }
}

fn read_answer(plan: &Plan, status: u16, receipt: Option<Value>, body: &str) -> Seen {
    let seen = Seen {
        detail: format!("status {status}"),
        ..nothing(plan, String::new())
    };
    if status != 200 {
        return read_error(seen, serde_json::from_str(body).ok());
    }
    match plan.kind {
        Kind::Stream => read_stream(seen, body),
        Kind::Whole | Kind::Booking => read_whole(seen, receipt, body),
    }
}

fn read_error(seen: Seen, error: Option<Value>) -> Seen {
    let Some(error) = error else {
        return Seen {
            told: Told::Failed,
            ..seen
        };
    };
    let told = match error["error"]["ran"].as_str() {
        Some("no") => Told::NotRun,
        _ => Told::Failed,
    };
    let code = error["error"]["code"].as_str().unwrap_or("no code");
    Seen {
        told,
        detail: format!("{} {code}", seen.detail),
        ..seen
    }
}

fn read_whole(seen: Seen, receipt: Option<Value>, body: &str) -> Seen {
    let version = receipt.as_ref().and_then(served_name);
    let Ok(answer) = serde_json::from_str::<Value>(body) else {
        return Seen {
            told: Told::Failed,
            detail: "the answer is not JSON".to_owned(),
            ..seen
        };
    };
    let text = answer["choices"][0]["message"]["content"]
        .as_str()
        .unwrap_or_default()
        .to_owned();
    Seen {
        told: Told::Answered,
        text,
        version,
        ..seen
    }
}

fn read_stream(seen: Seen, body: &str) -> Seen {
    let (mut text, mut version, mut done, mut event) = (String::new(), None, false, "");
    for line in body.lines() {
        if let Some(name) = line.strip_prefix("event: ") {
            event = name;
        } else if let Some(data) = line.strip_prefix("data: ") {
            done |= data == "[DONE]";
            let value: Value = serde_json::from_str(data).unwrap_or_default();
            match event {
                "receipt" => version = served_name(&value),
                "error" => return read_error(seen, Some(value)),
                _ if value.get("error").is_some() => return read_error(seen, Some(value)),
                _ => text.push_str(delta(&value)),
            }
        } else if line.is_empty() {
            event = "";
        }
    }
    let told = if done { Told::Answered } else { Told::Failed };
    Seen {
        told,
        text,
        version,
        ..seen
    }
}

fn delta(value: &Value) -> &str {
    value["choices"][0]["delta"]["content"]
        .as_str()
        .unwrap_or_default()
}

fn served_name(receipt: &Value) -> Option<String> {
    let (adapter, version) = (receipt["adapter"].as_str()?, receipt["version"].as_str()?);
    if version.contains('@') {
        return Some(version.to_owned());
    }
    Some(format!("{adapter}@{version}"))
}
