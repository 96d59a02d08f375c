//! A plain service.

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

/// A plain service to which the system routes beside the model engines.
pub trait Service: Send + Sync {
    /// Calls the service; returns when the head of the answer has arrived.
    fn call(
        &self,
        work: Submission,
        timeout: Duration,
    ) -> BoxFuture<'_, EdgeResult<StreamingResponse>>;

    /// Returns whether the service is ready.
    fn ready(&self, timeout: Duration) -> BoxFuture<'_, EdgeResult<()>>;
}

/// The largest error response, in bytes.
const ERROR_LIMIT: usize = 64 << 10;

/// The client of a plain service over HTTP.
///
/// A call is a `POST` to the submission's path, with the request identifier as `x-request-id` and
/// `idempotency-key`; `GET /health` tells whether the service is ready. The status of an answer is
/// the service's own word to the caller, except that 503 means unavailable and no effect.
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
        work: Submission,
        timeout: Duration,
    ) -> BoxFuture<'_, EdgeResult<StreamingResponse>> {
        let operation = "call service";
        let key = work.request.clone();
        let mut call = work.into_call(operation);
        call.headers.push(("idempotency-key", key));
        async move {
            let answer = self.client.open_stream(call, timeout).await?;
            if answer.status == StatusCode::SERVICE_UNAVAILABLE {
                return Err(self.client.error(operation, ErrorKind::Unavailable));
            }
            Ok(answer)
        }
        .boxed()
    }

    fn ready(&self, timeout: Duration) -> BoxFuture<'_, EdgeResult<()>> {
        self.client
            .execute(Call::get("check service", "/health"), ERROR_LIMIT, timeout)
            .boxed()
    }
}
