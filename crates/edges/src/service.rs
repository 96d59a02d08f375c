//! The interface of a service, and its HTTP client.

use std::net::SocketAddr;
use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use hyper::StatusCode;

use crate::EdgeResult;
use crate::ErrorKind;
use crate::engine::StreamingResponse;
use crate::engine::Submission;
use crate::http::Call;
use crate::http::Client;

/// A service that requests are routed to, as they are to model engines.
pub trait Service: Send + Sync {
    /// Calls the service and returns once the head of the response has arrived.
    fn call(
        &self,
        submission: Submission,
        timeout: Duration,
    ) -> BoxFuture<'_, EdgeResult<StreamingResponse>>;

    /// Checks the health of the service; returns an error if it is not ready.
    fn ready(&self, timeout: Duration) -> BoxFuture<'_, EdgeResult<()>>;
}

/// The largest response to a health check.
const MAX_HEALTH_BYTES: usize = 64 << 10;

/// The client of a service over HTTP.
///
/// A call is a `POST` to the path of the submission, with the request identifier as `x-request-id`
/// and `idempotency-key`. `GET /health` succeeds if the service is ready. The status of a response is
/// passed on to the caller, except for 503, which means that the service is unavailable and that the
/// call had no effect.
#[derive(Clone, Debug)]
pub struct HttpService {
    client: Client,
}

impl HttpService {
    /// Creates a client of the service at `addr`.
    pub fn new(addr: SocketAddr) -> HttpService {
        HttpService {
            client: Client::new(addr),
        }
    }
}

impl Service for HttpService {
    fn call(
        &self,
        submission: Submission,
        timeout: Duration,
    ) -> BoxFuture<'_, EdgeResult<StreamingResponse>> {
        let operation = "call service";
        let key = submission.request.clone();
        let mut call = submission.into_call(operation);
        call.headers.push(("idempotency-key", key));
        async move {
            let response = self.client.open_stream(call, timeout).await?;
            if response.status == StatusCode::SERVICE_UNAVAILABLE {
                return Err(self.client.error(operation, ErrorKind::Unavailable));
            }
            Ok(response)
        }
        .boxed()
    }

    fn ready(&self, timeout: Duration) -> BoxFuture<'_, EdgeResult<()>> {
        self.client
            .execute(
                Call::get("check service", "/health"),
                MAX_HEALTH_BYTES,
                timeout,
            )
            .boxed()
    }
}
