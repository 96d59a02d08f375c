//! Calls to peers.

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
use crate::handler::SINK_EVENTS;
use crate::sink::SinkServer;
use crate::thread;
use crate::wire_capnp::peer;
use crate::wire_capnp::session;

/// The time within which a connection must be made and greeted.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

type Action = Box<dyn FnOnce(LinkResult<Session>) -> LocalBoxFuture<'static, ()> + Send>;

struct Command {
    addr: SocketAddr,
    action: Action,
}

/// The connections of one process to its peers, on their own threads.
///
/// Dropping it closes all connections; [`Links::stop`] also joins the threads.
#[derive(Clone)]
pub struct Links {
    inner: Arc<Inner>,
}

struct Inner {
    senders: Vec<mpsc::UnboundedSender<Command>>,
    threads: Mutex<Vec<JoinHandle<()>>>,
}

impl Links {
    /// Starts `threads` RPC threads (at least one). Errors are those of starting a thread.
    pub fn start(threads: usize, me: Identity, secret: &str) -> std::io::Result<Links> {
        let mut senders = Vec::new();
        let mut joins = Vec::new();
        for number in 0..threads.max(1) {
            let (sender, receiver) = mpsc::unbounded_channel();
            let table = LinkTable {
                me: me.clone(),
                secret: secret.as_bytes().to_vec(),
            };
            joins.push(thread::spawn(&format!("link-{number}"), move || {
                run(table, receiver)
            })?);
            senders.push(sender);
        }
        Ok(Links {
            inner: Arc::new(Inner {
                senders,
                threads: Mutex::new(joins),
            }),
        })
    }

    /// Returns a handle to the peer at `addr`; it connects when it is first used.
    pub fn peer(&self, addr: SocketAddr) -> Peer {
        let slot = usize::from(addr.port()) % self.inner.senders.len();
        Peer {
            addr,
            sender: self.inner.senders[slot].clone(),
        }
    }

    /// Joins the RPC threads; they end when every [`Peer`] handle has been dropped too.
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

/// A handle to one peer. Calls wait for the answer until their timeout.
#[derive(Clone)]
pub struct Peer {
    addr: SocketAddr,
    sender: mpsc::UnboundedSender<Command>,
}

/// A dispatched attempt. Dropping it before its end cancels the attempt at the agent.
pub struct DispatchedAttempt {
    events: mpsc::Receiver<ResponseEvent>,
    peer: Peer,
    request: RequestId,
    attempt: Attempt,
    ended: bool,
}

impl DispatchedAttempt {
    /// Returns the next event, or `None` if the link was lost before the end.
    pub async fn next(&mut self) -> Option<ResponseEvent> {
        let event = self.events.recv().await;
        if matches!(event, Some(ResponseEvent::End(_))) {
            self.ended = true;
        }
        event
    }

    /// Lets the attempt run on at the agent after this handle is dropped.
    pub fn detach(mut self) {
        self.ended = true;
    }
}

impl Drop for DispatchedAttempt {
    fn drop(&mut self) {
        if !self.ended {
            self.peer.cancel(self.request, self.attempt);
        }
    }
}

impl Peer {
    /// Returns the peer's address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Exchanges heads; returns the peer's.
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

    /// Fetches a manifest or bucket by its digest.
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

    /// Dispatches a job. `timeout` bounds the time until the agent has taken it over.
    pub async fn dispatch(
        &self,
        job: &Job,
        body: Bytes,
        timeout: Duration,
    ) -> LinkResult<DispatchedAttempt> {
        let (sender, events) = mpsc::channel(SINK_EVENTS);
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
            ended: false,
        })
    }

    /// Asks what became of an attempt; the agent refuses one that it never saw.
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

    /// Cancels an attempt without waiting for an answer.
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

    /// Fetches the agent's report if its number is above `seen`.
    pub async fn report(&self, seen: u64, timeout: Duration) -> LinkResult<Option<Report>> {
        self.call("report", timeout, move |session| async move {
            let mut call = session.report_request();
            call.get().set_seen(seen);
            let response = call.send().promise.await?;
            read_optional(response.get()?.get_report()?)
        })
        .await
    }

    /// Asks the permit coordinator for a load permit.
    pub async fn request_permit(
        &self,
        ask: &PermitRequest,
        timeout: Duration,
    ) -> LinkResult<Option<Grant>> {
        let data = codec::to_json(ask);
        self.call("ask load permit", timeout, move |session| async move {
            let mut call = session.permit_request();
            call.get().set_ask(&data);
            let response = call.send().promise.await?;
            read_optional(response.get()?.get_grant()?)
        })
        .await
    }

    /// Returns a load permit.
    pub async fn release_permit(&self, id: u64, timeout: Duration) -> LinkResult<()> {
        self.call("return load permit", timeout, move |session| async move {
            let mut call = session.release_request();
            call.get().set_id(id);
            call.send().promise.await.map(drop)
        })
        .await
    }

    /// Fetches the peer's state as JSON.
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
        let (reply, answer) = oneshot::channel();
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
        let stopped = |sent| LinkError {
            step,
            peer,
            sent,
            message: "links are stopped".to_owned(),
        };
        if self.sender.send(Command { addr: peer, action }).is_err() {
            return Err(stopped(false));
        }
        answer.await.unwrap_or_else(|_| Err(stopped(true)))
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
    let failure = match tokio::time::timeout(timeout, call(session.client.clone())).await {
        Ok(Ok(value)) => return Ok(value),
        Ok(Err(err)) => err.to_string(),
        Err(_) => format!("no answer within {} ms", timeout.as_millis()),
    };
    // A call that failed says nothing good of the connection; the next call makes a new one.
    session.broken.set(true);
    Err(LinkError {
        step,
        peer,
        sent: true,
        message: failure,
    })
}

#[derive(Clone)]
struct Session {
    client: session::Client,
    broken: Rc<Cell<bool>>,
}

#[derive(Clone)]
struct LinkTable {
    me: Identity,
    secret: Vec<u8>,
}

type Connecting = Shared<LocalBoxFuture<'static, Result<Session, String>>>;
type Sessions = Rc<RefCell<Map<SocketAddr, Connecting>>>;

async fn run(table: LinkTable, mut commands: mpsc::UnboundedReceiver<Command>) {
    let sessions = Sessions::default();
    while let Some(Command { addr, action }) = commands.recv().await {
        let session = session(&table, &sessions, addr);
        let sessions = sessions.clone();
        tokio::task::spawn_local(async move {
            let session = match session.clone().await {
                Ok(session) => Ok(session),
                Err(message) => {
                    forget(&sessions, addr, &session);
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

fn session(table: &LinkTable, sessions: &Sessions, addr: SocketAddr) -> Connecting {
    if let Some(session) = sessions.borrow().get(&addr)
        && !matches!(session.peek(), Some(Ok(session)) if session.broken.get())
    {
        return session.clone();
    }
    let session = connect(table.clone(), addr).boxed_local().shared();
    sessions.borrow_mut().insert(addr, session.clone());
    session
}

/// Removes a failed connection unless a newer one has taken its place.
fn forget(sessions: &Sessions, addr: SocketAddr, failed: &Connecting) {
    let mut sessions = sessions.borrow_mut();
    if sessions
        .get(&addr)
        .is_some_and(|session| session.ptr_eq(failed))
    {
        sessions.remove(&addr);
    }
}

async fn connect(table: LinkTable, addr: SocketAddr) -> Result<Session, String> {
    match tokio::time::timeout(CONNECT_TIMEOUT, greet(&table, addr)).await {
        Ok(Ok(session)) => Ok(session),
        Ok(Err(err)) => Err(err.to_string()),
        Err(_) => Err(format!(
            "not connected within {} ms",
            CONNECT_TIMEOUT.as_millis()
        )),
    }
}

async fn greet(table: &LinkTable, addr: SocketAddr) -> capnp::Result<Session> {
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
    hello.get().set_secret(&table.secret);
    hello.get().set_name(&*table.me.name);
    hello.get().set_incarnation(table.me.incarnation.0);
    let client = hello.send().promise.await?.get()?.get_session()?;
    Ok(Session { client, broken })
}
