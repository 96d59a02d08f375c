//! The HTTP server under every stand-in.

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

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1024;

/// What a stand-in does with a request.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request. The future is dropped when the caller closes its connection.
    fn handle(self: Arc<Self>, request: Request<Bytes>) -> BoxFuture<'static, Reply>;

    /// Ends the tasks that the handler started itself; called after all connections were cut.
    fn stop_tasks(&self) -> BoxFuture<'_, ()> {
        futures::future::ready(()).boxed()
    }

    /// Returns whether a request counts as a write for the lost-request and lost-response faults.
    fn is_write(&self, request: &Request<Bytes>) -> bool {
        request.method() != Method::GET
    }
}

/// A running server.
pub struct Server {
    addr: SocketAddr,
    faults: Arc<FaultInjector>,
    connections: Arc<Mutex<Connections>>,
    listen: mpsc::Sender<Listen>,
    stop: DropGuard,
    task: JoinHandle<()>,
}

/// The tasks of all connections since the last cut.
#[derive(Default)]
struct Connections {
    cut: CancellationToken,
    tasks: TaskTracker,
}

/// An order to the accept loop, with a notice once it was carried out.
struct Listen {
    on: bool,
    done: oneshot::Sender<()>,
}

impl Server {
    /// Starts a server on a free loopback port.
    pub async fn start(handler: Arc<dyn Handler>) -> Server {
        Server::start_with(handler, Arc::default()).await
    }

    /// Starts a server whose handler shares the fault injector.
    pub async fn start_with(handler: Arc<dyn Handler>, faults: Arc<FaultInjector>) -> Server {
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
        let (listen, orders) = mpsc::channel(1);
        let acceptor = Acceptor {
            addr,
            handler,
            faults: faults.clone(),
            connections: connections.clone(),
            late: TaskTracker::new(),
            orders,
            stop: stop.clone(),
        };
        let task = tokio::spawn(acceptor.run(listener));
        Ok(Server {
            addr,
            faults,
            connections,
            listen,
            stop: stop.drop_guard(),
            task,
        })
    }

    /// Returns the address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the fault injector.
    pub fn faults(&self) -> &FaultInjector {
        &self.faults
    }

    /// Closes all connections and returns once their tasks have ended.
    pub async fn close_connections(&self) {
        cut(&self.connections).await;
    }

    /// Starts or stops listening; while it does not listen, connections are refused.
    pub async fn set_listening(&self, on: bool) {
        let (done, carried_out) = oneshot::channel();
        let sent = self.listen.send(Listen { on, done }).await;
        if sent.is_ok() {
            let _ = carried_out.await;
        }
    }

    /// Stops the server and returns once all its tasks have ended.
    pub async fn stop(self) {
        drop(self.stop);
        self.task.await.expect("the accept loop does not panic");
    }
}

/// Implements what all handles share; the type has a field `server`.
macro_rules! server_methods {
    ($handle:ty) => {
        impl $handle {
            /// Returns the address.
            pub fn addr(&self) -> ::std::net::SocketAddr {
                self.server.addr()
            }

            /// Returns the fault injector.
            pub fn faults(&self) -> &$crate::FaultInjector {
                self.server.faults()
            }

            /// Starts or stops listening; while it does not listen, connections are refused.
            pub async fn set_listening(&self, on: bool) {
                self.server.set_listening(on).await;
            }

            /// Closes all connections and returns once their tasks have ended.
            pub async fn close_connections(&self) {
                self.server.close_connections().await;
            }

            /// Stops the stand-in and returns once all its tasks have ended.
            pub async fn stop(self) {
                self.server.stop().await;
            }
        }
    };
}

pub(crate) use server_methods;

/// The accept loop.
struct Acceptor {
    addr: SocketAddr,
    handler: Arc<dyn Handler>,
    faults: Arc<FaultInjector>,
    connections: Arc<Mutex<Connections>>,
    late: TaskTracker,
    orders: mpsc::Receiver<Listen>,
    stop: CancellationToken,
}

/// The listening socket, or a bound one that holds the port while connections are refused.
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
                Some(order) = self.orders.recv() => {
                    socket = switch(socket, order.on, self.addr);
                    let _ = order.done.send(());
                }
                stream = accept(&socket) => self.serve(stream),
            }
        }
        drop(socket);
        cut(&self.connections).await;
        self.late.close();
        self.late.wait().await;
        self.handler.stop_tasks().await;
    }

    fn serve(&self, stream: TcpStream) {
        let handler = self.handler.clone();
        let faults = self.faults.clone();
        let late = self.late.clone();
        let service =
            service_fn(move |request| pass(handler.clone(), faults.clone(), late.clone(), request));
        let connections = self.connections.lock().expect("no panic under this lock");
        let cut = connections.cut.clone();
        connections.tasks.spawn(async move {
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            // A caller that breaks the connection is no fault of the stand-in.
            let _ = cut.run_until_cancelled(connection).await;
        });
    }
}

/// Passes one request through the fault injector.
async fn pass(
    handler: Arc<dyn Handler>,
    faults: Arc<FaultInjector>,
    late: TaskTracker,
    request: Request<Incoming>,
) -> Reply {
    faults.thaw().await;
    faults.wait_delay().await;
    if faults.is_out() {
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
    faults.wait_turn(is_write).await;
    if is_write && faults.loses_request() {
        return Err(ConnectionClosed);
    }
    if is_write && let Some(delay) = faults.takes_late() {
        late.spawn(async move {
            tokio::time::sleep(delay).await;
            let _ = handler.handle(request).await;
        });
        return Err(ConnectionClosed);
    }
    let reply = handler.handle(request).await;
    if is_write && faults.loses_response() {
        return Err(ConnectionClosed);
    }
    faults.wait_response_delay().await;
    reply
}

fn cut(connections: &Mutex<Connections>) -> impl Future<Output = ()> + use<> {
    let old = std::mem::take(&mut *connections.lock().expect("no panic under this lock"));
    old.cut.cancel();
    old.tasks.close();
    async move { old.tasks.wait().await }
}

async fn accept(socket: &Socket) -> TcpStream {
    let Socket::Open(listener) = socket else {
        return futures::future::pending().await;
    };
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            // Without this, small pieces of a stream wait for acknowledgements.
            let _ = stream.set_nodelay(true);
            return stream;
        }
        tokio::task::yield_now().await;
    }
}

fn switch(socket: Socket, on: bool, addr: SocketAddr) -> Socket {
    match (socket, on) {
        (Socket::Closed(held), true) => {
            Socket::Open(held.listen(BACKLOG).expect("a bound socket listens"))
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
