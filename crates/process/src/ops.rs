//! HTTP server for operators' tools: metrics, health, readiness and state dump.

use std::net::SocketAddr;
use std::sync::Arc;

use prometheus::Encoder;
use prometheus::Registry;
use prometheus::TextEncoder;
use subtle::ConstantTimeEq;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use viz::IntoResponse;
use viz::Request;
use viz::Response;
use viz::Router;
use viz::StatusCode;

use crate::ops_listener::OpsListener;

/// What the server exposes.
pub struct OpsState {
    /// Metrics that `/metrics` returns in the Prometheus text format.
    pub registry: Registry,
    /// Checks whether the process can serve, for `/readyz`; `Err` says what it waits for.
    pub check_ready: Box<dyn Fn() -> Result<(), String> + Send + Sync>,
    /// Returns the state of the process as JSON, for `/dump`.
    pub dump: Box<dyn Fn() -> String + Send + Sync>,
    /// Secret that a caller of `/dump` sends as a bearer token.
    pub secret: String,
}

/// A running HTTP server for operators' tools.
pub struct OpsServer {
    addr: SocketAddr,
    stop: watch::Sender<bool>,
    task: JoinHandle<std::io::Result<()>>,
}

impl OpsServer {
    /// Binds `addr` and serves `state`.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn start(addr: SocketAddr, state: OpsState) -> std::io::Result<OpsServer> {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let (stop, mut stopped) = watch::channel(false);
        let signal = async move {
            let _ = stopped.wait_for(|stop| *stop).await;
        };
        let server = viz::serve(OpsListener::new(listener), router(Arc::new(state))).signal(signal);
        let task = tokio::spawn(async move { server.await });
        Ok(OpsServer { addr, stop, task })
    }

    /// Returns the bound address, with the actual port if port 0 was requested.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Stops the server and joins its task; does not wait for open connections.
    pub async fn stop(self) {
        let _ = self.stop.send(true);
        // Otherwise, connections that tools keep open would delay the exit of the process.
        self.task.abort();
        let _ = self.task.await;
    }
}

fn router(state: Arc<OpsState>) -> Router {
    let (metrics, ready, dump) = (state.clone(), state.clone(), state);
    Router::new()
        .get("/healthz", |_: Request| async {
            Ok::<_, viz::Error>("ok\n")
        })
        .get("/metrics", move |_: Request| {
            let text = encode_metrics(&metrics.registry);
            async move { Ok::<_, viz::Error>(text) }
        })
        .get("/readyz", move |_: Request| {
            let response = readiness_response(&ready);
            async move { Ok::<_, viz::Error>(response) }
        })
        .get("/dump", move |request: Request| {
            let response = dump_response(&dump, &request);
            async move { Ok::<_, viz::Error>(response) }
        })
}

fn encode_metrics(registry: &Registry) -> String {
    let mut text = Vec::new();
    match TextEncoder::new().encode(&registry.gather(), &mut text) {
        Ok(()) => String::from_utf8_lossy(&text).into_owned(),
        Err(err) => format!("# metrics cannot be encoded: {err}\n"),
    }
}

fn readiness_response(state: &OpsState) -> Response {
    match (state.check_ready)() {
        Ok(()) => "ready\n".into_response(),
        Err(reason) => (
            StatusCode::SERVICE_UNAVAILABLE,
            format!("not ready: {reason}\n"),
        )
            .into_response(),
    }
}

fn dump_response(state: &OpsState, request: &Request) -> Response {
    if !has_secret(request.headers(), &state.secret) {
        return (StatusCode::UNAUTHORIZED, "the secret is missing or wrong\n").into_response();
    }
    let mut response = (state.dump)().into_response();
    let json = viz::header::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(viz::header::CONTENT_TYPE, json);
    response
}

/// Returns whether the headers carry `secret` as a bearer token. The comparison takes constant time.
pub fn has_secret(headers: &viz::header::HeaderMap, secret: &str) -> bool {
    let token = headers
        .get(viz::header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok());
    let Some(token) = token.and_then(|value| value.strip_prefix("Bearer ")) else {
        return false;
    };
    bool::from(token.as_bytes().ct_eq(secret.as_bytes()))
}
