//! HTTP server for callers: HTTP/1.1 and HTTP/2 on one port, with limits.

use std::convert::Infallible;
use std::error::Error;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use futures::future::BoxFuture;
use http_body_util::BodyExt;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::service::Service;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::conn::auto;
use process::caller::CallerConn;
use process::caller::CallerStream;
use process::caller::RequestGuard;
use spdlog::debug;
use spdlog::warn;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;
use viz::Responder;
use viz::Tree;

use crate::api;
use crate::settings::EntryLimits;
use crate::shared::Shared;

/// Connection preface of HTTP/2 (RFC 9113, section 3.4).
const H2_PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
/// Interval at which the first bytes of a connection are peeked.
const PEEK_INTERVAL: Duration = Duration::from_millis(5);
/// Pause after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time from the end of listening until idle connections are closed.
const SHUTDOWN_GRACE: Duration = Duration::from_millis(200);
/// Maximum number of concurrent requests on one HTTP/2 connection.
const MAX_H2_STREAMS: u32 = 256;

/// Handle to the running HTTP server.
pub(crate) struct Listener {
    addr: SocketAddr,
    stop: CancellationToken,
    task: tokio::task::JoinHandle<()>,
}

impl Listener {
    /// Binds `addr` and serves callers.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub(crate) async fn start(addr: SocketAddr, shared: Arc<Shared>) -> std::io::Result<Listener> {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let stop = CancellationToken::new();
        let task = tokio::spawn(serve(listener, shared, stop.clone()));
        Ok(Listener { addr, stop, task })
    }

    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Stops listening, and returns once every connection has sent its responses in progress.
    pub(crate) async fn stop(self) {
        self.stop.cancel();
        let _ = self.task.await;
    }
}

async fn serve(listener: TcpListener, shared: Arc<Shared>, stop: CancellationToken) {
    let acceptor = Acceptor {
        tree: Arc::new(Tree::from(api::router(shared.clone()))),
        builder: Arc::new(http_builder(&shared.limits)),
        connection_slots: Arc::new(Semaphore::new(shared.limits.connections)),
        header_timeout: shared.limits.header_timeout(),
        stop: stop.clone(),
    };
    let mut connections = JoinSet::new();
    loop {
        shared.metrics.set_gauge("connections", connections.len());
        tokio::select! {
            () = stop.cancelled() => break,
            Some(_) = connections.join_next(), if !connections.is_empty() => {}
            accepted = acceptor.accept(&listener) => match accepted {
                Ok((stream, connection)) => {
                    connections.spawn(connection.serve(stream));
                }
                Err(err) => {
                    warn!("failed to accept connection: {err}");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }
    for (stream, connection) in acceptor.accept_pending(listener) {
        connections.spawn(connection.serve(stream));
    }
    while connections.join_next().await.is_some() {}
}

struct Acceptor {
    tree: Arc<Tree>,
    builder: Arc<auto::Builder<TokioExecutor>>,
    connection_slots: Arc<Semaphore>,
    header_timeout: Duration,
    stop: CancellationToken,
}

impl Acceptor {
    /// Accepts a connection once a connection slot is free.
    async fn accept(&self, listener: &TcpListener) -> std::io::Result<(TcpStream, Connection)> {
        let permit = self.connection_slots.clone().acquire_owned().await;
        let permit = permit.map_err(std::io::Error::other)?;
        let (stream, peer) = listener.accept().await?;
        Ok((stream, self.connection(peer, permit)))
    }

    /// Accepts the connections in the kernel's accept queue and closes the listener: those callers
    /// may already have sent a request. This accepts from the standard listener because the runtime
    /// may not know of queued connections yet.
    fn accept_pending(&self, listener: TcpListener) -> Vec<(TcpStream, Connection)> {
        let mut pending = Vec::new();
        let Ok(listener) = listener.into_std() else {
            return pending;
        };
        while let Ok(permit) = self.connection_slots.clone().try_acquire_owned()
            && let Ok((stream, peer)) = listener.accept()
            && stream.set_nonblocking(true).is_ok()
            && let Ok(stream) = TcpStream::from_std(stream)
        {
            pending.push((stream, self.connection(peer, permit)));
        }
        pending
    }

    fn connection(&self, peer: SocketAddr, permit: OwnedSemaphorePermit) -> Connection {
        Connection {
            builder: self.builder.clone(),
            tree: self.tree.clone(),
            header_timeout: self.header_timeout,
            stop: self.stop.clone(),
            peer,
            _permit: permit,
        }
    }
}

fn http_builder(limits: &EntryLimits) -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout())
        .max_buf_size(limits.header_bytes as usize);
    builder
        .http2()
        .timer(TokioTimer::new())
        .keep_alive_interval(Duration::from_secs(20))
        .max_concurrent_streams(MAX_H2_STREAMS)
        .max_header_list_size(limits.header_bytes);
    builder
}

struct Connection {
    builder: Arc<auto::Builder<TokioExecutor>>,
    tree: Arc<Tree>,
    header_timeout: Duration,
    stop: CancellationToken,
    peer: SocketAddr,
    /// Occupies a connection slot until the connection ends.
    _permit: OwnedSemaphorePermit,
}

impl Connection {
    async fn serve(self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Some(protocol) = self.wait_for_request(&stream).await else {
            return;
        };
        let caller = CallerConn::new(stream);
        let service = CallerService {
            caller: caller.clone(),
            protocol,
            responder: Responder::new(self.tree.clone(), Some(self.peer)),
        };
        let stream = TokioIo::new(CallerStream(caller.clone()));
        let connection = self.builder.serve_connection(stream, service);
        tokio::pin!(connection);
        let result = tokio::select! {
            result = caller.drive(connection.as_mut()) => result,
            () = self.shutdown_grace_elapsed() => {
                connection.as_mut().graceful_shutdown();
                caller.drive(connection.as_mut()).await
            }
        };
        match result {
            Some(Err(err)) => debug!("connection from {} ended with an error: {err}", self.peer),
            None => debug!("caller {} left during a request", self.peer),
            Some(Ok(())) => {}
        }
    }

    /// Returns the protocol of the first request; `None` if the caller starts none within the header
    /// timeout.
    async fn wait_for_request(&self, stream: &TcpStream) -> Option<Protocol> {
        tokio::select! {
            protocol = tokio::time::timeout(self.header_timeout, wait_for_protocol(stream)) => {
                protocol.ok().flatten()
            }
            () = self.shutdown_grace_elapsed() => None,
        }
    }

    /// Waits until [`SHUTDOWN_GRACE`] after the stop began, so that requests already on their way
    /// are served.
    async fn shutdown_grace_elapsed(&self) {
        self.stop.cancelled().await;
        tokio::time::sleep(SHUTDOWN_GRACE).await;
    }
}

/// The protocol of a caller's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Protocol {
    Http1,
    Http2,
}

/// Serves the requests of one caller.
struct CallerService {
    caller: Arc<CallerConn>,
    protocol: Protocol,
    responder: Responder<SocketAddr>,
}

impl Service<Request<Incoming>> for CallerService {
    type Response = Response<UnsyncBoxBody<Bytes, Box<dyn Error + Send + Sync>>>;
    type Error = Infallible;
    type Future = BoxFuture<'static, Result<Self::Response, Infallible>>;

    /// The request counts as in progress until its response is sent or dropped.
    fn call(&self, request: Request<Incoming>) -> Self::Future {
        // HTTP/2 reads a connection to its end while requests are in progress.
        let guard = (self.protocol == Protocol::Http1).then(|| self.caller.begin_request());
        let response = self.responder.call(request);
        async move {
            let response = response.await?;
            Ok(response.map(|body| hold_until_sent(body, guard)))
        }
        .boxed()
    }
}

fn hold_until_sent(
    body: viz::Body,
    guard: Option<RequestGuard>,
) -> UnsyncBoxBody<Bytes, Box<dyn Error + Send + Sync>> {
    let held = body.map_frame(move |frame| {
        let _guard = &guard;
        frame
    });
    held.map_err(Into::into).boxed_unsync()
}

/// Waits until the received bytes tell HTTP/1.1 from HTTP/2; returns `None` if the connection ends
/// before. Hyper's own detection waits for these bytes without a time limit.
async fn wait_for_protocol(stream: &TcpStream) -> Option<Protocol> {
    let mut start = [0; H2_PREFACE.len()];
    loop {
        match stream.peek(&mut start).await {
            Ok(0) | Err(_) => return None,
            Ok(count) if start[..count] != H2_PREFACE[..count] => return Some(Protocol::Http1),
            Ok(count) if count == start.len() => return Some(Protocol::Http2),
            Ok(_) => tokio::time::sleep(PEEK_INTERVAL).await,
        }
    }
}
