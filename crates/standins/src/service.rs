//! A fake booking service. It does not deduplicate: it runs every call that it receives, even with
//! an idempotency key that it has already seen.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU32;
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use futures::future::BoxFuture;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use tokio::time::Instant;

use crate::faults::take_fault;
use crate::reply;
use crate::reply::Reply;
use crate::server::Handler;
use crate::server::Server;
use crate::server::server_methods;

/// A booking service. Fault injection counts its calls as writes.
pub struct BookingService {
    server: Server,
    core: Arc<Core>,
}

/// One call that the service ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceCall {
    /// The header `idempotency-key`, or an empty string.
    pub key: String,
    /// The path of the request's URI, without the query.
    pub path: String,
    /// The request body, not parsed.
    pub body: Bytes,
    /// When the call ran, as time since the start of the service.
    pub at: Duration,
}

server_methods!(BookingService);

impl BookingService {
    /// Starts a service that has run no calls.
    pub async fn start() -> BookingService {
        let core = Arc::new(Core {
            start: Instant::now(),
            calls: Mutex::default(),
            rejections: AtomicU32::new(0),
        });
        let server = Server::start(core.clone()).await;
        BookingService { server, core }
    }

    /// Rejects the next `count` calls with 409, as for a room that is already booked.
    pub fn reject_calls(&self, count: u32) {
        self.core
            .rejections
            .store(count, std::sync::atomic::Ordering::SeqCst);
    }

    /// Returns all calls that ran, in order; rejected calls are not among them.
    pub fn calls(&self) -> Vec<ServiceCall> {
        self.core.lock().clone()
    }

    /// Returns the number of calls that ran with this idempotency key.
    pub fn call_count(&self, key: &str) -> usize {
        self.core.lock().iter().filter(|c| c.key == key).count()
    }
}

struct Core {
    start: Instant,
    calls: Mutex<Vec<ServiceCall>>,
    rejections: AtomicU32,
}

impl Handler for Core {
    fn handle(self: Arc<Self>, request: Request<Bytes>) -> BoxFuture<'static, Reply> {
        async move {
            match (request.method(), request.uri().path()) {
                (&Method::GET, "/health") => reply::empty(StatusCode::OK),
                (&Method::POST, _) => self.handle_call(request),
                _ => reply::empty(StatusCode::NOT_FOUND),
            }
        }
        .boxed()
    }
}

impl Core {
    fn handle_call(&self, request: Request<Bytes>) -> Reply {
        let key = request
            .headers()
            .get("idempotency-key")
            .and_then(|v| v.to_str().ok());
        let key = key.unwrap_or_default().to_owned();
        let path = request.uri().path().to_owned();
        let body = request.into_body();
        if take_fault(&self.rejections) {
            return reply::error(StatusCode::CONFLICT, "the room is already booked");
        }
        let call = ServiceCall {
            key: key.clone(),
            path,
            body,
            at: self.start.elapsed(),
        };
        let mut calls = self.lock();
        calls.push(call);
        let response = serde_json::json!({"booking": calls.len(), "key": key});
        reply::json(StatusCode::OK, &response)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<ServiceCall>> {
        self.calls.lock().expect("no panic under this lock")
    }
}
