//! The client side: connections to peers and calls over them.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread::JoinHandle;
use std::time::Duration;

use bytes::Bytes;
use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use decision::collections::Map;
use decision::ids::Attempt;
use decision::ids::Head;
use decision::ids::RequestId;
use decision::job::Job;
use decision::job::Outcome;
use decision::permit::Grant;
use decision::permit::PermitRequest;
use decision::report::Report;
use futures::FutureExt;
use futures::future::LocalBoxFuture;
use futures::future::Shared;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio_util::compat::TokioAsyncReadCompatExt;
use tokio_util::compat::TokioAsyncWriteCompatExt;

use crate::codec;
use crate::error::LinkError;
use crate::error::LinkResult;
use crate::handler::Identity;
use crate::handler::ResponseEvent;
use crate::handler::SINK_CAPACITY;
use crate::sink::SinkServer;
use crate::thread;
use crate::wire_capnp::peer;
use crate::wire_capnp::session;

/// Timeout for opening a connection, including the `hello` call.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

type Action = Box<dyn FnOnce(LinkResult<Session>) -> LocalBoxFuture<'static, ()> + Send>;

struct Command {
    addr: SocketAddr,
    action: Action,
}

/// The connections of one process to its peers, which run on RPC threads of their own.
///
/// Clones share the connections. Once all clones and all [`Peer`] handles are dropped, the
/// connections close and the threads end; [`Links::stop`] also joins the threads.
#[derive(Clone)]
pub struct Links {
    inner: Arc<Inner>,
}

struct Inner {
    senders: Vec<mpsc::UnboundedSender<Command>>,
    threads: Mutex<Vec<JoinHandle<()>>>,
}

impl Links {
    /// Starts `threads` RPC threads, at least one. `identity` and `secret` are sent to every peer.
    ///
    /// # Errors
    ///
    /// Fails if a thread or its runtime cannot be started.
    pub fn start(threads: usize, identity: Identity, secret: &str) -> std::io::Result<Links> {
        let mut senders = Vec::new();
        let mut handles = Vec::new();
        for number in 0..threads.max(1) {
            let (sender, receiver) = mpsc::unbounded_channel();
            let credentials = Credentials {
                identity: identity.clone(),
                secret: secret.as_bytes().to_vec(),
            };
            handles.push(thread::spawn(&format!("link-{number}"), move || {
                run(credentials, receiver)
            })?);
            senders.push(sender);
        }
        Ok(Links {
            inner: Arc::new(Inner {
                senders,
                threads: Mutex::new(handles),
            }),
        })
    }

    /// Returns a handle to the peer at `addr`. The connection is opened by the first call and shared
    /// by all handles with the same address.
    pub fn peer(&self, addr: SocketAddr) -> Peer {
        let index = usize::from(addr.port()) % self.inner.senders.len();
        Peer {
            addr,
            sender: self.inner.senders[index].clone(),
        }
    }

    /// Joins the RPC threads, which end when every [`Peer`] handle has been dropped too. Returns
    /// without joining them if another clone of `self` is left.
    pub async fn stop(self) {
        let Ok(inner) = Arc::try_unwrap(self.inner).map_err(drop) else {
            return;
        };
        drop(inner.senders);
        let threads = inner
            .threads
            .into_inner()
            .unwrap_or_else(|poison| poison.into_inner());
        let join = move || threads.into_iter().for_each(|thread| drop(thread.join()));
        let _ = tokio::task::spawn_blocking(join).await;
    }
}

/// A handle to one peer.
///
/// `timeout` arguments bound the time between sending a call and its response; opening a connection
/// has a separate, fixed timeout. After a failed call, the next one opens a new connection.
#[derive(Clone)]
pub struct Peer {
    addr: SocketAddr,
    sender: mpsc::UnboundedSender<Command>,
}

/// An attempt that was dispatched to an agent. Dropping it before its end cancels the attempt there.
pub struct DispatchedAttempt {
    events: mpsc::Receiver<ResponseEvent>,
    peer: Peer,
    request: RequestId,
    attempt: Attempt,
    skip_cancel: bool,
}

impl DispatchedAttempt {
    /// Returns the next event of the response. Returns `None` after the end, and also before it if
    /// the connection was lost or the response is not complete.
    pub async fn next(&mut self) -> Option<ResponseEvent> {
        let event = self.events.recv().await;
        if matches!(event, Some(ResponseEvent::End(_))) {
            self.skip_cancel = true;
        }
        event
    }

    /// Drops the handle without cancelling the attempt at the agent.
    pub fn detach(mut self) {
        self.skip_cancel = true;
    }
}

impl Drop for DispatchedAttempt {
    fn drop(&mut self) {
        if !self.skip_cancel {
            self.peer.cancel(self.request, self.attempt);
        }
    }
}

impl Peer {
    /// Returns the address at which the peer accepts connections from other processes.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sends `head`, the one in force here, and returns the one in force at the peer.
    pub async fn exchange_heads(&self, head: &Head, timeout: Duration) -> LinkResult<Head> {
        let head = head.clone();
        self.call("exchange heads", timeout, move |session| async move {
            let mut request = session.head_request();
            codec::write_head(request.get().init_head(), &head);
            let response = request.send().promise.await?;
            codec::read_head(response.get()?.get_head()?)
        })
        .await
    }

    /// Fetches a manifest or bucket by its digest; `None` if the peer does not have it.
    pub async fn blob(&self, digest: &str, timeout: Duration) -> LinkResult<Option<Bytes>> {
        let digest = digest.to_owned();
        self.call("fetch blob", timeout, move |session| async move {
            let mut request = session.blob_request();
            request.get().set_digest(&*digest);
            let response = request.send().promise.await?;
            let response = response.get()?;
            if !response.get_found() {
                return Ok(None);
            }
            Ok(Some(Bytes::copy_from_slice(response.get_data()?)))
        })
        .await
    }

    /// Dispatches a job. `timeout` bounds the time until the agent has accepted it or ended it; the
    /// response arrives through the returned handle.
    pub async fn dispatch(
        &self,
        job: &Job,
        body: Bytes,
        timeout: Duration,
    ) -> LinkResult<DispatchedAttempt> {
        let (sender, events) = mpsc::channel(SINK_CAPACITY);
        let (request, attempt) = (job.request, job.attempt);
        let job = job.clone();
        self.call("dispatch", timeout, move |session| async move {
            let mut call = session.dispatch_request();
            codec::write_job(call.get().init_job(), &job);
            call.get().set_body(&body);
            call.get()
                .set_sink(capnp_rpc::new_client(SinkServer::new(sender)));
            call.send().promise.await.map(drop)
        })
        .await?;
        Ok(DispatchedAttempt {
            events,
            peer: self.clone(),
            request,
            attempt,
            skip_cancel: false,
        })
    }

    /// Requests the outcome of an attempt. The agent records an attempt that it never received as
    /// refused, so that it cannot run later.
    pub async fn settle(
        &self,
        request: RequestId,
        attempt: Attempt,
        timeout: Duration,
    ) -> LinkResult<Outcome> {
        self.call("settle", timeout, move |session| async move {
            let (high, low) = codec::split_id(request);
            let mut call = session.settle_request();
            call.get().set_request_high(high);
            call.get().set_request_low(low);
            call.get().set_attempt(attempt);
            let response = call.send().promise.await?;
            codec::from_json(response.get()?.get_outcome()?)
        })
        .await
    }

    /// Cancels an attempt without waiting for a response. Errors are ignored.
    pub fn cancel(&self, request: RequestId, attempt: Attempt) {
        let action: Action = Box::new(move |session| {
            async move {
                let Ok(session) = session else { return };
                let (high, low) = codec::split_id(request);
                let mut call = session.client.cancel_request();
                call.get().set_request_high(high);
                call.get().set_request_low(low);
                call.get().set_attempt(attempt);
                let _ = call.send().promise.await;
            }
            .boxed_local()
        });
        let _ = self.sender.send(Command {
            addr: self.addr,
            action,
        });
    }

    /// Fetches the agent's load report if its sequence number is above `seen`.
    pub async fn report(&self, seen: u64, timeout: Duration) -> LinkResult<Option<Report>> {
        self.call("report", timeout, move |session| async move {
            let mut call = session.report_request();
            call.get().set_seen(seen);
            let response = call.send().promise.await?;
            read_optional(response.get()?.get_report()?)
        })
        .await
    }

    /// Requests a load permit from the peer as the permit coordinator; `None` if the peer does not
    /// grant permits, as an entry.
    pub async fn request_permit(
        &self,
        request: &PermitRequest,
        timeout: Duration,
    ) -> LinkResult<Option<Grant>> {
        let data = codec::to_json(request);
        self.call("request load permit", timeout, move |session| async move {
            let mut call = session.permit_request();
            call.get().set_ask(&data);
            let response = call.send().promise.await?;
            read_optional(response.get()?.get_grant()?)
        })
        .await
    }

    /// Returns the load permit `id` to the peer as the permit coordinator.
    pub async fn release_permit(&self, id: u64, timeout: Duration) -> LinkResult<()> {
        self.call("release load permit", timeout, move |session| async move {
            let mut call = session.release_request();
            call.get().set_id(id);
            call.send().promise.await.map(drop)
        })
        .await
    }

    /// Fetches the state of the peer's process as JSON.
    pub async fn dump(&self, timeout: Duration) -> LinkResult<String> {
        self.call("dump", timeout, move |session| async move {
            let response = session.dump_request().send().promise.await?;
            Ok(response.get()?.get_state()?.to_string()?)
        })
        .await
    }

    async fn call<T, F, C>(&self, step: &'static str, timeout: Duration, call: C) -> LinkResult<T>
    where
        T: Send + 'static,
        F: Future<Output = capnp::Result<T>> + 'static,
        C: FnOnce(session::Client) -> F + Send + 'static,
    {
        let (reply, response) = oneshot::channel();
        let peer = self.addr;
        let action: Action = Box::new(move |session| {
            async move {
                let result = match session {
                    Ok(session) => run_call(session, step, peer, timeout, call).await,
                    Err(err) => Err(LinkError { step, ..err }),
                };
                let _ = reply.send(result);
            }
            .boxed_local()
        });
        let threads_stopped = |sent| LinkError {
            step,
            peer,
            sent,
            message: "RPC threads have stopped".to_owned(),
        };
        if self.sender.send(Command { addr: peer, action }).is_err() {
            return Err(threads_stopped(false));
        }
        response
            .await
            .unwrap_or_else(|_| Err(threads_stopped(true)))
    }
}

fn read_optional<T: serde::de::DeserializeOwned>(data: &[u8]) -> capnp::Result<Option<T>> {
    if data.is_empty() {
        return Ok(None);
    }
    codec::from_json(data).map(Some)
}

async fn run_call<T, F, C>(
    session: Session,
    step: &'static str,
    peer: SocketAddr,
    timeout: Duration,
    call: C,
) -> LinkResult<T>
where
    F: Future<Output = capnp::Result<T>>,
    C: FnOnce(session::Client) -> F,
{
    let message = match tokio::time::timeout(timeout, call(session.client.clone())).await {
        Ok(Ok(value)) => return Ok(value),
        Ok(Err(err)) => err.to_string(),
        Err(_) => format!("no response within {} ms", timeout.as_millis()),
    };
    // The connection may be the cause of the failure, so the next call opens a new one.
    session.broken.set(true);
    Err(LinkError {
        step,
        peer,
        sent: true,
        message,
    })
}

#[derive(Clone)]
struct Session {
    client: session::Client,
    broken: Rc<Cell<bool>>,
}

#[derive(Clone)]
struct Credentials {
    identity: Identity,
    secret: Vec<u8>,
}

type SessionFuture = Shared<LocalBoxFuture<'static, Result<Session, String>>>;
type Sessions = Rc<RefCell<Map<SocketAddr, SessionFuture>>>;

async fn run(credentials: Credentials, mut commands: mpsc::UnboundedReceiver<Command>) {
    let sessions = Sessions::default();
    while let Some(Command { addr, action }) = commands.recv().await {
        let session = get_or_connect(&credentials, &sessions, addr);
        let sessions = sessions.clone();
        tokio::task::spawn_local(async move {
            let session = match session.clone().await {
                Ok(session) => Ok(session),
                Err(message) => {
                    remove_failed(&sessions, addr, &session);
                    Err(LinkError {
                        step: "connect",
                        peer: addr,
                        sent: false,
                        message,
                    })
                }
            };
            action(session).await;
        });
    }
}

fn get_or_connect(
    credentials: &Credentials,
    sessions: &Sessions,
    addr: SocketAddr,
) -> SessionFuture {
    if let Some(session) = sessions.borrow().get(&addr)
        && !matches!(session.peek(), Some(Ok(session)) if session.broken.get())
    {
        return session.clone();
    }
    let session = connect(credentials.clone(), addr).boxed_local().shared();
    sessions.borrow_mut().insert(addr, session.clone());
    session
}

/// Removes a failed connection unless it was already replaced by a newer one.
fn remove_failed(sessions: &Sessions, addr: SocketAddr, failed: &SessionFuture) {
    let mut sessions = sessions.borrow_mut();
    if sessions
        .get(&addr)
        .is_some_and(|session| session.ptr_eq(failed))
    {
        sessions.remove(&addr);
    }
}

async fn connect(credentials: Credentials, addr: SocketAddr) -> Result<Session, String> {
    match tokio::time::timeout(CONNECT_TIMEOUT, open_session(&credentials, addr)).await {
        Ok(Ok(session)) => Ok(session),
        Ok(Err(err)) => Err(err.to_string()),
        Err(_) => Err(format!(
            "connection not established within {} ms",
            CONNECT_TIMEOUT.as_millis()
        )),
    }
}

async fn open_session(credentials: &Credentials, addr: SocketAddr) -> capnp::Result<Session> {
    let stream = TcpStream::connect(addr).await?;
    stream.set_nodelay(true)?;
    let (reader, writer) = stream.into_split();
    let network = VatNetwork::new(
        reader.compat(),
        writer.compat_write(),
        Side::Client,
        Default::default(),
    );
    let mut system = RpcSystem::new(Box::new(network), None);
    let bootstrap: peer::Client = system.bootstrap(Side::Server);
    let broken = Rc::new(Cell::new(false));
    let flag = broken.clone();
    tokio::task::spawn_local(async move {
        let _ = system.await;
        flag.set(true);
    });
    let mut hello = bootstrap.hello_request();
    hello.get().set_secret(&credentials.secret);
    hello.get().set_name(&*credentials.identity.name);
    hello
        .get()
        .set_incarnation(credentials.identity.incarnation.0);
    let client = hello.send().promise.await?.get()?.get_session()?;
    Ok(Session { client, broken })
}
