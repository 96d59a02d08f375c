//! A model engine.

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

/// An order to load one adapter version under its served name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadCommand {
    /// The served name, `adapter@version`.
    pub name: Name,
    /// The locator in the weight store.
    pub weights: Name,
    /// The digest of the weights.
    pub digest: Name,
    /// The fencing number.
    pub fencing: u64,
}

/// A request to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Submission {
    /// The HTTP path, for example `/v1/chat/completions`.
    pub path: String,
    /// The body, whose `model` is the served name already.
    pub body: Bytes,
    /// The priority class.
    pub priority: Priority,
    /// The request identifier, for the engine's log.
    pub request: String,
}

impl Submission {
    /// Returns the HTTP request, with the request identifier and the priority class as headers.
    pub(crate) fn into_call(self, operation: &'static str) -> Call {
        let mut call = Call::post(operation, self.path, self.body);
        call.headers.push(("x-request-id", self.request));
        call.headers.push(("x-priority", self.priority.to_string()));
        call
    }
}

/// An answer whose body arrives piece by piece. Dropping it cancels the request.
pub struct StreamingResponse {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub content_type: String,
    /// The body.
    pub body: BoxStream<'static, EdgeResult<Bytes>>,
}

/// The engine's lagged load report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Sequences running.
    pub running: u32,
    /// Sequences waiting inside the engine.
    pub waiting: u32,
    /// The batch limit.
    pub batch: u32,
}

/// Cache events since a number; a gap means that some are missing.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// The number after the last event.
    pub next: u64,
    /// Whether events before the first one here were lost.
    pub gap: bool,
    /// Prefix hashes that were stored (`true`) or evicted (`false`).
    pub events: Vec<(u64, bool)>,
}

/// A model engine. One agent alone gives it orders.
pub trait Engine: Send + Sync {
    /// Lists the served names of resident adapter versions, without the base model.
    fn resident(&self, timeout: Duration) -> BoxFuture<'_, EdgeResult<Vec<String>>>;

    /// Loads an adapter version; returns once it is resident.
    fn load(&self, order: LoadCommand, timeout: Duration) -> BoxFuture<'_, EdgeResult<()>>;

    /// Unloads the adapter version with this served name.
    fn unload(&self, name: &str, fencing: u64, timeout: Duration) -> BoxFuture<'_, EdgeResult<()>>;

    /// Submits a request; returns when the head of the answer has arrived.
    fn submit(
        &self,
        work: Submission,
        timeout: Duration,
    ) -> BoxFuture<'_, EdgeResult<StreamingResponse>>;

    /// Reads the load report.
    fn load_report(&self, timeout: Duration) -> BoxFuture<'_, EdgeResult<EngineLoad>>;

    /// Reads cache events from number `since` on.
    fn cache_events(&self, since: u64, timeout: Duration)
    -> BoxFuture<'_, EdgeResult<CacheEvents>>;
}

/// The largest response that is no answer to a submission, in bytes.
const ANSWER_LIMIT: usize = 16 << 20;

/// The largest error response to a submission, in bytes.
const ERROR_LIMIT: usize = 64 << 10;

/// The client of an engine with an OpenAI-style HTTP interface and adapter calls as in vLLM.
///
/// A submission that the engine refuses with a 4xx status or 503 is an error without effect; any
/// other status is the status of the answer.
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
            let list: ModelList = self.client.fetch(call, ANSWER_LIMIT, timeout).await?;
            let adapters = list.data.into_iter().filter(|m| m.parent.is_some());
            Ok(adapters.map(|m| m.id).collect())
        }
        .boxed()
    }

    fn load(&self, order: LoadCommand, timeout: Duration) -> BoxFuture<'_, EdgeResult<()>> {
        let body = LoadBody {
            lora_name: order.name,
            lora_path: order.weights,
            digest: order.digest,
            fencing: order.fencing,
        };
        let call = Call::post("load adapter", "/v1/load_lora_adapter", json(&body));
        self.client.execute(call, ANSWER_LIMIT, timeout).boxed()
    }

    fn unload(&self, name: &str, fencing: u64, timeout: Duration) -> BoxFuture<'_, EdgeResult<()>> {
        let body = UnloadBody {
            lora_name: name.into(),
            fencing,
        };
        let call = Call::post("unload adapter", "/v1/unload_lora_adapter", json(&body));
        self.client.execute(call, ANSWER_LIMIT, timeout).boxed()
    }

    fn submit(
        &self,
        work: Submission,
        timeout: Duration,
    ) -> BoxFuture<'_, EdgeResult<StreamingResponse>> {
        let operation = "submit request";
        let call = work.into_call(operation);
        async move {
            let deadline = Instant::now() + timeout;
            let answer = self.client.open_stream(call, timeout).await?;
            if matches!(answer.status, 400..=499 | 503) {
                let kind = self.client.read_error(answer, ERROR_LIMIT, deadline).await;
                return Err(self.client.error(operation, kind));
            }
            Ok(answer)
        }
        .boxed()
    }

    fn load_report(&self, timeout: Duration) -> BoxFuture<'_, EdgeResult<EngineLoad>> {
        let call = Call::get("read load report", "/load");
        self.client.fetch(call, ANSWER_LIMIT, timeout).boxed()
    }

    fn cache_events(
        &self,
        since: u64,
        timeout: Duration,
    ) -> BoxFuture<'_, EdgeResult<CacheEvents>> {
        let call = Call::get("read cache events", format!("/cache_events?since={since}"));
        self.client.fetch(call, ANSWER_LIMIT, timeout).boxed()
    }
}

/// The response to `GET /v1/models`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ModelList {
    /// Base models and adapters.
    pub data: Vec<ModelEntry>,
}

/// One entry of [`ModelList`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ModelEntry {
    /// The served name.
    pub id: String,
    /// The base model of an adapter; absent for a base model.
    #[serde(default)]
    pub parent: Option<String>,
}

/// The body of an order to load an adapter.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LoadBody {
    /// The served name, `adapter@version`.
    pub lora_name: Name,
    /// The locator in the weight store.
    pub lora_path: Name,
    /// The digest of the weights.
    pub digest: Name,
    /// The fencing number.
    pub fencing: u64,
}

/// The body of an order to unload an adapter.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct UnloadBody {
    /// The served name, `adapter@version`.
    pub lora_name: Name,
    /// The fencing number.
    pub fencing: u64,
}
