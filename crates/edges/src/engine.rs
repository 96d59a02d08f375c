//! The interface of a model engine, and its HTTP client.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use decision::ids::Name;
use decision::ids::Priority;
use futures::FutureExt;
use futures::future::BoxFuture;
use futures::stream::BoxStream;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use crate::EdgeResult;
use crate::http::Call;
use crate::http::Client;
use crate::http::json;

/// A command to load one adapter version under its served name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadCommand {
    /// The served name, `adapter@version`.
    pub name: Name,
    /// The locator of the weights in the weight store.
    pub weights: Name,
    /// The digest that the weights must have.
    pub digest: Name,
    /// The fencing token, from the agent's lease.
    pub fencing: u64,
}

/// A request for the engine or service to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Submission {
    /// The HTTP path, for example `/v1/chat/completions`.
    pub path: String,
    /// The body. For an engine, its `model` is the served name.
    pub body: Bytes,
    /// The priority class, sent as `x-priority`.
    pub priority: Priority,
    /// The request identifier, sent as `x-request-id`.
    pub request: String,
}

impl Submission {
    pub(crate) fn into_call(self, operation: &'static str) -> Call {
        let mut call = Call::post(operation, self.path, self.body);
        call.headers.push(("x-request-id", self.request));
        call.headers.push(("x-priority", self.priority.to_string()));
        call
    }
}

/// A response whose body is received as a stream. Dropping it cancels the request.
pub struct StreamingResponse {
    /// The HTTP status.
    pub status: u16,
    /// The content type; empty if the response has none.
    pub content_type: String,
    /// The body. The stream yields an error if the connection breaks before its end.
    pub body: BoxStream<'static, EdgeResult<Bytes>>,
}

/// The engine's report of its load, which may lag behind its state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// The number of running sequences.
    pub running: u32,
    /// The number of sequences that wait in the engine.
    pub waiting: u32,
    /// The maximum number of sequences that run concurrently.
    pub batch: u32,
}

/// The cache events from a requested number on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// The number of the event after the last one here.
    pub next: u64,
    /// Whether requested events before the first one here are no longer available.
    pub gap: bool,
    /// The hashes of prefixes that were stored (`true`) or evicted (`false`), in command.
    pub events: Vec<(u64, bool)>,
}

/// A model engine. Only one agent loads and unloads its adapters.
pub trait Engine: Send + Sync {
    /// Lists the served names of resident adapter versions, without the base model.
    fn resident(&self, timeout: Duration) -> BoxFuture<'_, EdgeResult<Vec<String>>>;

    /// Loads an adapter version and returns once it is resident.
    fn load(&self, command: LoadCommand, timeout: Duration) -> BoxFuture<'_, EdgeResult<()>>;

    /// Unloads the adapter version with this served name.
    fn unload(&self, name: &str, fencing: u64, timeout: Duration) -> BoxFuture<'_, EdgeResult<()>>;

    /// Submits a request and returns once the head of the response has arrived.
    fn submit(
        &self,
        submission: Submission,
        timeout: Duration,
    ) -> BoxFuture<'_, EdgeResult<StreamingResponse>>;

    /// Reads the load report.
    fn load_report(&self, timeout: Duration) -> BoxFuture<'_, EdgeResult<EngineLoad>>;

    /// Reads cache events from number `since` on.
    fn cache_events(&self, since: u64, timeout: Duration)
    -> BoxFuture<'_, EdgeResult<CacheEvents>>;
}

/// The largest response to any call but a submission.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// How much of the error response to a submission is read.
const MAX_ERROR_BYTES: usize = 64 << 10;

/// The client of an engine with an OpenAI-compatible HTTP interface and vLLM's calls for loading and
/// unloading adapters.
///
/// A submission with a 4xx status or 503 is an error and had no effect. Any other status is returned
/// with the response.
#[derive(Clone, Debug)]
pub struct HttpEngine {
    client: Client,
}

impl HttpEngine {
    /// Creates a client of the engine at `addr`.
    pub fn new(addr: SocketAddr) -> HttpEngine {
        HttpEngine {
            client: Client::new(addr),
        }
    }
}

impl Engine for HttpEngine {
    fn resident(&self, timeout: Duration) -> BoxFuture<'_, EdgeResult<Vec<String>>> {
        async move {
            let call = Call::get("list adapters", "/v1/models");
            let list: ModelList = self.client.fetch(call, MAX_RESPONSE_BYTES, timeout).await?;
            let adapters = list.data.into_iter().filter(|m| m.parent.is_some());
            Ok(adapters.map(|m| m.id).collect())
        }
        .boxed()
    }

    fn load(&self, command: LoadCommand, timeout: Duration) -> BoxFuture<'_, EdgeResult<()>> {
        let body = LoadBody {
            lora_name: command.name,
            lora_path: command.weights,
            digest: command.digest,
            fencing: command.fencing,
        };
        let call = Call::post("load adapter", "/v1/load_lora_adapter", json(&body));
        self.client
            .execute(call, MAX_RESPONSE_BYTES, timeout)
            .boxed()
    }

    fn unload(&self, name: &str, fencing: u64, timeout: Duration) -> BoxFuture<'_, EdgeResult<()>> {
        let body = UnloadBody {
            lora_name: name.into(),
            fencing,
        };
        let call = Call::post("unload adapter", "/v1/unload_lora_adapter", json(&body));
        self.client
            .execute(call, MAX_RESPONSE_BYTES, timeout)
            .boxed()
    }

    fn submit(
        &self,
        submission: Submission,
        timeout: Duration,
    ) -> BoxFuture<'_, EdgeResult<StreamingResponse>> {
        let operation = "submit request";
        let call = submission.into_call(operation);
        async move {
            let deadline = Instant::now() + timeout;
            let response = self.client.open_stream(call, timeout).await?;
            if matches!(response.status, 400..=499 | 503) {
                let kind = self
                    .client
                    .read_error(response, MAX_ERROR_BYTES, deadline)
                    .await;
                return Err(self.client.error(operation, kind));
            }
            Ok(response)
        }
        .boxed()
    }

    fn load_report(&self, timeout: Duration) -> BoxFuture<'_, EdgeResult<EngineLoad>> {
        let call = Call::get("read load report", "/load");
        self.client.fetch(call, MAX_RESPONSE_BYTES, timeout).boxed()
    }

    fn cache_events(
        &self,
        since: u64,
        timeout: Duration,
    ) -> BoxFuture<'_, EdgeResult<CacheEvents>> {
        let call = Call::get("read cache events", format!("/cache_events?since={since}"));
        self.client.fetch(call, MAX_RESPONSE_BYTES, timeout).boxed()
    }
}

/// The response to `GET /v1/models`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ModelList {
    /// The base models and the resident adapters.
    pub data: Vec<ModelEntry>,
}

/// One entry of [`ModelList`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ModelEntry {
    /// The served name of a base model or adapter.
    pub id: String,
    /// The base model of an adapter; `None` for a base model.
    #[serde(default)]
    pub parent: Option<String>,
}

/// The request body of `POST /v1/load_lora_adapter`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LoadBody {
    /// The served name, `adapter@version`.
    pub lora_name: Name,
    /// The locator of the weights in the weight store.
    pub lora_path: Name,
    /// The digest that the weights must have.
    pub digest: Name,
    /// The fencing token.
    pub fencing: u64,
}

/// The request body of `POST /v1/unload_lora_adapter`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct UnloadBody {
    /// The served name, `adapter@version`.
    pub lora_name: Name,
    /// The fencing token.
    pub fencing: u64,
}
