//! The HTTP server that all fakes share.

use std::future::Future;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use bytes::Bytes;
use futures::FutureExt;
use futures::future::BoxFuture;
use http_body_util::BodyExt;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;
use tokio_util::sync::DropGuard;
use tokio_util::task::TaskTracker;

use crate::faults::FaultInjector;
use crate::reply;
use crate::reply::ConnectionClosed;
use crate::reply::Reply;

/// The maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 1024;

/// The request handler of a fake server.
pub trait Handler: Send + Sync + 'static {
    /// Handles one request. The future is dropped when the caller closes its connection.
    fn handle(self: Arc<Self>, request: Request<Bytes>) -> BoxFuture<'static, Reply>;

    /// Stops the tasks that the handler spawned. Called after all connections were closed.
    fn stop_tasks(&self) -> BoxFuture<'_, ()> {
        futures::future::ready(()).boxed()
    }

    /// Returns whether fault injection treats a request as a write. Lost requests, lost responses
    /// and delayed effects apply to writes only; reads and writes have separate rate limits.
    fn is_write(&self, request: &Request<Bytes>) -> bool {
        request.method() != Method::GET
    }
}

/// A running server. Dropping it stops the server without waiting for its tasks.
pub struct Server {
    addr: SocketAddr,
    faults: Arc<FaultInjector>,
    connections: Arc<Mutex<Connections>>,
    listen_commands: mpsc::Sender<ListenCommand>,
    stop: DropGuard,
    task: JoinHandle<()>,
}

/// The tasks of all connections accepted since the last call of [`close_connections`].
#[derive(Default)]
struct Connections {
    close: CancellationToken,
    tasks: TaskTracker,
}

/// A command to the accept loop, which sends `done` once it has taken effect.
struct ListenCommand {
    listening: bool,
    done: oneshot::Sender<()>,
}

impl Server {
    /// Starts a server on a free loopback port.
    pub async fn start(handler: Arc<dyn Handler>) -> Server {
        Server::start_with_faults(handler, Arc::default()).await
    }

    /// Starts a server on a free loopback port with a fault injector that the handler uses as well.
    pub async fn start_with_faults(
        handler: Arc<dyn Handler>,
        faults: Arc<FaultInjector>,
    ) -> Server {
        let addr = (Ipv4Addr::LOCALHOST, 0).into();
        let server = Server::start_at(addr, handler, faults).await;
        server.expect("loopback ports are available")
    }

    /// Starts a server at an address.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn start_at(
        addr: SocketAddr,
        handler: Arc<dyn Handler>,
        faults: Arc<FaultInjector>,
    ) -> std::io::Result<Server> {
        let socket = bind(addr)?;
        let listener = socket.listen(BACKLOG).expect("a bound socket listens");
        let addr = listener.local_addr().expect("a listener has an address");
        let connections = Arc::new(Mutex::new(Connections::default()));
        let stop = CancellationToken::new();
        let (listen_commands, commands) = mpsc::channel(1);
        let acceptor = Acceptor {
            addr,
            handler,
            faults: faults.clone(),
            connections: connections.clone(),
            delayed_effects: TaskTracker::new(),
            commands,
            stop: stop.clone(),
        };
        let task = tokio::spawn(acceptor.run(listener));
        Ok(Server {
            addr,
            faults,
            connections,
            listen_commands,
            stop: stop.drop_guard(),
            task,
        })
    }

    /// Returns the address; it stays the same while the server does not listen.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the fault injector, in which all faults are off at first.
    pub fn faults(&self) -> &FaultInjector {
        &self.faults
    }

    /// Closes all connections and returns once their tasks have ended.
    pub async fn close_connections(&self) {
        close_connections(&self.connections).await;
    }

    /// Starts or stops listening. While the server does not listen, new connections are refused and
    /// open ones stay.
    pub async fn set_listening(&self, listening: bool) {
        let (done, completed) = oneshot::channel();
        let sent = self
            .listen_commands
            .send(ListenCommand { listening, done })
            .await;
        if sent.is_ok() {
            let _ = completed.await;
        }
    }

    /// Stops the server and returns once all its tasks have ended.
    pub async fn stop(self) {
        drop(self.stop);
        self.task.await.expect("the accept loop does not panic");
    }
}

/// Implements the methods that all handles share, for a type with a field `server`.
macro_rules! server_methods {
    ($handle:ty) => {
        impl $handle {
            /// Returns the address; it stays the same while the server does not listen.
            pub fn addr(&self) -> ::std::net::SocketAddr {
                self.server.addr()
            }

            /// Returns the fault injector, in which all faults are off at first.
            pub fn faults(&self) -> &$crate::FaultInjector {
                self.server.faults()
            }

            /// Starts or stops listening. While the server does not listen, new connections are
            /// refused and open ones stay.
            pub async fn set_listening(&self, listening: bool) {
                self.server.set_listening(listening).await;
            }

            /// Closes all connections and returns once their tasks have ended.
            pub async fn close_connections(&self) {
                self.server.close_connections().await;
            }

            /// Stops the server and returns once all its tasks have ended.
            pub async fn stop(self) {
                self.server.stop().await;
            }
        }
    };
}

pub(crate) use server_methods;

/// Accepts connections until the server stops.
struct Acceptor {
    addr: SocketAddr,
    handler: Arc<dyn Handler>,
    faults: Arc<FaultInjector>,
    connections: Arc<Mutex<Connections>>,
    delayed_effects: TaskTracker,
    commands: mpsc::Receiver<ListenCommand>,
    stop: CancellationToken,
}

/// A listening socket, or one that is only bound and reserves the port while connections are
/// refused.
enum Socket {
    Open(TcpListener),
    Closed(TcpSocket),
}

impl Acceptor {
    async fn run(mut self, listener: TcpListener) {
        let mut socket = Socket::Open(listener);
        loop {
            tokio::select! {
                () = self.stop.cancelled() => break,
                Some(command) = self.commands.recv() => {
                    socket = set_socket_listening(socket, command.listening, self.addr);
                    let _ = command.done.send(());
                }
                stream = accept(&socket) => self.serve(stream),
            }
        }
        drop(socket);
        close_connections(&self.connections).await;
        self.delayed_effects.close();
        self.delayed_effects.wait().await;
        self.handler.stop_tasks().await;
    }

    fn serve(&self, stream: TcpStream) {
        let handler = self.handler.clone();
        let faults = self.faults.clone();
        let delayed_effects = self.delayed_effects.clone();
        let service = service_fn(move |request| {
            handle_with_faults(
                handler.clone(),
                faults.clone(),
                delayed_effects.clone(),
                request,
            )
        });
        let connections = self.connections.lock().expect("no panic under this lock");
        let close = connections.close.clone();
        connections.tasks.spawn(async move {
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            // Callers may close their connection at any time, so errors are expected.
            let _ = close.run_until_cancelled(connection).await;
        });
    }
}

/// Handles one request, with the injected faults in the order that [`FaultInjector`] documents.
async fn handle_with_faults(
    handler: Arc<dyn Handler>,
    faults: Arc<FaultInjector>,
    delayed_effects: TaskTracker,
    request: Request<Incoming>,
) -> Reply {
    faults.wait_unfrozen().await;
    faults.wait_delay().await;
    if faults.has_outage() {
        return reply::error(StatusCode::SERVICE_UNAVAILABLE, "unavailable");
    }
    let (head, body) = request.into_parts();
    let body = body
        .collect()
        .await
        .map_err(|_| ConnectionClosed)?
        .to_bytes();
    let request = Request::from_parts(head, body);
    let is_write = handler.is_write(&request);
    faults.wait_rate_limit(is_write).await;
    if is_write && faults.take_lost_request() {
        return Err(ConnectionClosed);
    }
    if is_write && let Some(delay) = faults.take_effect_delay() {
        delayed_effects.spawn(async move {
            tokio::time::sleep(delay).await;
            let _ = handler.handle(request).await;
        });
        return Err(ConnectionClosed);
    }
    let reply = handler.handle(request).await;
    if is_write && faults.take_lost_response() {
        return Err(ConnectionClosed);
    }
    faults.wait_response_delay().await;
    reply
}

fn close_connections(connections: &Mutex<Connections>) -> impl Future<Output = ()> + use<> {
    let old = std::mem::take(&mut *connections.lock().expect("no panic under this lock"));
    old.close.cancel();
    old.tasks.close();
    async move { old.tasks.wait().await }
}

async fn accept(socket: &Socket) -> TcpStream {
    let Socket::Open(listener) = socket else {
        return futures::future::pending().await;
    };
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            // With Nagle's algorithm, small chunks of a stream would wait for acknowledgements.
            let _ = stream.set_nodelay(true);
            return stream;
        }
        tokio::task::yield_now().await;
    }
}

fn set_socket_listening(socket: Socket, listening: bool, addr: SocketAddr) -> Socket {
    match (socket, listening) {
        (Socket::Closed(reserved), true) => {
            Socket::Open(reserved.listen(BACKLOG).expect("a bound socket listens"))
        }
        (Socket::Open(listener), false) => {
            drop(listener);
            Socket::Closed(bind(addr).expect("the address is free"))
        }
        (socket, _) => socket,
    }
}

fn bind(addr: SocketAddr) -> std::io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    Ok(socket)
}
