//! The listener for callers: HTTP/1.1 and HTTP/2 on one port, with limits.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::conn::auto;
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

/// The start of an HTTP/2 connection.
const H2_PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
/// The interval at which the first bytes of a connection are looked at.
const PEEK_INTERVAL: Duration = Duration::from_millis(5);
/// The pause after a connection could not be accepted, for example for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// The time between the end of listening and the end of idle connections.
const LAST_REQUESTS: Duration = Duration::from_millis(200);
/// Concurrent requests on one HTTP/2 connection.
const MAX_STREAMS: u32 = 256;

/// The running listener.
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

    /// Stops listening, and returns once every connection has sent the answers in progress.
    pub(crate) async fn stop(self) {
        self.stop.cancel();
        let _ = self.task.await;
    }
}

async fn serve(listener: TcpListener, shared: Arc<Shared>, stop: CancellationToken) {
    let acceptor = Acceptor {
        tree: Arc::new(Tree::from(api::router(shared.clone()))),
        builder: Arc::new(builder(&shared.settings)),
        slots: Arc::new(Semaphore::new(shared.settings.connections)),
        header_time: shared.settings.header_time(),
        stop: stop.clone(),
    };
    let mut connections = JoinSet::new();
    loop {
        shared.metrics.set_present("connections", connections.len());
        tokio::select! {
            () = stop.cancelled() => break,
            Some(_) = connections.join_next(), if !connections.is_empty() => {}
            accepted = acceptor.accept(&listener) => match accepted {
                Ok((stream, connection)) => {
                    connections.spawn(connection.serve(stream));
                }
                Err(err) => {
                    warn!("connection not accepted: {err}");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }
    for (stream, connection) in acceptor.accept_last(listener) {
        connections.spawn(connection.serve(stream));
    }
    while connections.join_next().await.is_some() {}
}

struct Acceptor {
    tree: Arc<Tree>,
    builder: Arc<auto::Builder<TokioExecutor>>,
    slots: Arc<Semaphore>,
    header_time: Duration,
    stop: CancellationToken,
}

impl Acceptor {
    /// Accepts a connection once there is a place for it.
    async fn accept(&self, listener: &TcpListener) -> std::io::Result<(TcpStream, Connection)> {
        let permit = self.slots.clone().acquire_owned().await;
        let permit = permit.map_err(std::io::Error::other)?;
        let (stream, peer) = listener.accept().await?;
        Ok((stream, self.connection(peer, permit)))
    }

    /// Accepts what the system has accepted and closes the listener: those callers may have sent a
    /// request already. The listener is asked directly, since the runtime may not know yet that
    /// connections wait.
    fn accept_last(&self, listener: TcpListener) -> Vec<(TcpStream, Connection)> {
        let mut last = Vec::new();
        let Ok(listener) = listener.into_std() else {
            return last;
        };
        while let Ok(permit) = self.slots.clone().try_acquire_owned()
            && let Ok((stream, peer)) = listener.accept()
            && stream.set_nonblocking(true).is_ok()
            && let Ok(stream) = TcpStream::from_std(stream)
        {
            last.push((stream, self.connection(peer, permit)));
        }
        last
    }

    fn connection(&self, peer: SocketAddr, permit: OwnedSemaphorePermit) -> Connection {
        Connection {
            builder: self.builder.clone(),
            tree: self.tree.clone(),
            header_time: self.header_time,
            stop: self.stop.clone(),
            peer,
            _permit: permit,
        }
    }
}

fn builder(limits: &EntryLimits) -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_time())
        .max_buf_size(limits.header_bytes as usize);
    builder
        .http2()
        .timer(TokioTimer::new())
        .keep_alive_interval(Duration::from_secs(20))
        .max_concurrent_streams(MAX_STREAMS)
        .max_header_list_size(limits.header_bytes);
    builder
}

struct Connection {
    builder: Arc<auto::Builder<TokioExecutor>>,
    tree: Arc<Tree>,
    header_time: Duration,
    stop: CancellationToken,
    peer: SocketAddr,
    /// Counts the connection until it ends.
    _permit: OwnedSemaphorePermit,
}

impl Connection {
    async fn serve(self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        if !self.is_ready(&stream).await {
            return;
        }
        let responder = Responder::new(self.tree.clone(), Some(self.peer));
        let connection = self
            .builder
            .serve_connection(TokioIo::new(stream), responder);
        tokio::pin!(connection);
        let result = tokio::select! {
            result = connection.as_mut() => result,
            () = self.stopped() => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        };
        if let Err(err) = result {
            debug!("connection of {} ended: {err}", self.peer);
        }
    }

    /// Returns whether a request begins within the time for headers.
    async fn is_ready(&self, stream: &TcpStream) -> bool {
        tokio::select! {
            ready = tokio::time::timeout(self.header_time, preface(stream)) => {
                matches!(ready, Ok(true))
            }
            () = self.stopped() => false,
        }
    }

    /// Returns some time after the stop began, so that a request which is on its way is answered.
    async fn stopped(&self) {
        self.stop.cancelled().await;
        tokio::time::sleep(LAST_REQUESTS).await;
    }
}

/// Waits until the first bytes tell HTTP/1.1 from HTTP/2. The library's own detection waits for
/// them without a time limit.
async fn preface(stream: &TcpStream) -> bool {
    let mut start = [0; H2_PREFACE.len()];
    loop {
        match stream.peek(&mut start).await {
            Ok(0) | Err(_) => return false,
            Ok(count) if count == start.len() || start[..count] != H2_PREFACE[..count] => {
                return true;
            }
            Ok(_) => tokio::time::sleep(PEEK_INTERVAL).await,
        }
    }
}
