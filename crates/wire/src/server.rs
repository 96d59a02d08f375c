//! The listening side: answers the calls of peers.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::thread::JoinHandle;

use bytes::Bytes;
use bytes::BytesMut;
use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use spdlog::warn;
use subtle::ConstantTimeEq;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio_util::compat::TokioAsyncReadCompatExt;
use tokio_util::compat::TokioAsyncWriteCompatExt;

use crate::codec;
use crate::handler::Handler;
use crate::handler::ResponseEvent;
use crate::handler::ResponseSink;
use crate::thread;
use crate::wire_capnp::peer;
use crate::wire_capnp::session;
use crate::wire_capnp::sink;

/// The size up to which pieces that are ready together travel in one message.
const COALESCE_BYTES: usize = 32 * 1024;

/// The listening side of one process.
pub struct Server {
    addr: SocketAddr,
    stop: watch::Sender<bool>,
    threads: Vec<JoinHandle<()>>,
}

impl Server {
    /// Binds `addr` and answers calls on `threads` RPC threads (at least one).
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound or a thread cannot be started.
    pub async fn start(
        addr: SocketAddr,
        threads: usize,
        secret: &str,
        handler: Arc<dyn Handler>,
    ) -> std::io::Result<Server> {
        let listener = TcpListener::bind(addr).await?.into_std()?;
        let addr = listener.local_addr()?;
        let (stop, stopped) = watch::channel(false);
        let shared = Shared {
            secret: secret.as_bytes().into(),
            handler,
        };
        let mut joins = Vec::new();
        for number in 0..threads.max(1) {
            let listener = listener.try_clone()?;
            let (shared, stopped) = (shared.clone(), stopped.clone());
            let main = move || serve(listener, shared, stopped);
            joins.push(thread::spawn(&format!("peer-{number}"), main)?);
        }
        Ok(Server {
            addr,
            stop,
            threads: joins,
        })
    }

    /// Returns the address that is bound.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Closes all connections and joins the threads.
    pub async fn stop(self) {
        let _ = self.stop.send(true);
        let join = move || {
            self.threads
                .into_iter()
                .for_each(|thread| drop(thread.join()))
        };
        let _ = tokio::task::spawn_blocking(join).await;
    }
}

#[derive(Clone)]
struct Shared {
    secret: Arc<[u8]>,
    handler: Arc<dyn Handler>,
}

async fn serve(
    listener: std::net::TcpListener,
    shared: Shared,
    mut stopped: watch::Receiver<bool>,
) {
    let listener = match TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(err) => {
            warn!("peer listener cannot be registered: {err}");
            return;
        }
    };
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            _ = stopped.wait_for(|stop| *stop) => break,
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    connections.spawn_local(connection(stream, shared.clone()));
                }
                Err(err) => warn!("peer connection not accepted: {err}"),
            },
            Some(_) = connections.join_next(), if !connections.is_empty() => {}
        }
    }
    connections.shutdown().await;
}

async fn connection(stream: TcpStream, shared: Shared) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let (reader, writer) = stream.into_split();
    let network = VatNetwork::new(
        reader.compat(),
        writer.compat_write(),
        Side::Server,
        Default::default(),
    );
    let bootstrap: peer::Client = capnp_rpc::new_client(PeerServer { shared });
    let _ = RpcSystem::new(Box::new(network), Some(bootstrap.client)).await;
}

struct PeerServer {
    shared: Shared,
}

impl peer::Server for PeerServer {
    async fn hello(
        self: Rc<Self>,
        params: peer::HelloParams,
        mut results: peer::HelloResults,
    ) -> capnp::Result<()> {
        let params = params.get()?;
        let name = params.get_name()?.to_string()?;
        if !bool::from(params.get_secret()?.ct_eq(&self.shared.secret)) {
            warn!("peer refused: wrong secret", kv: { peer = name.as_str() });
            return Err(capnp::Error::failed("wrong secret".to_owned()));
        }
        let handler = self.shared.handler.clone();
        results
            .get()
            .set_session(capnp_rpc::new_client(SessionServer { name, handler }));
        Ok(())
    }
}

struct SessionServer {
    name: String,
    handler: Arc<dyn Handler>,
}

impl session::Server for SessionServer {
    async fn head(
        self: Rc<Self>,
        params: session::HeadParams,
        mut results: session::HeadResults,
    ) -> capnp::Result<()> {
        let theirs = codec::read_head(params.get()?.get_head()?)?;
        let ours = self.handler.exchange_heads(&self.name, theirs);
        codec::write_head(results.get().init_head(), &ours);
        Ok(())
    }

    async fn blob(
        self: Rc<Self>,
        params: session::BlobParams,
        mut results: session::BlobResults,
    ) -> capnp::Result<()> {
        let digest = params.get()?.get_digest()?.to_str()?;
        if let Some(data) = self.handler.blob(digest) {
            results.get().set_found(true);
            results.get().set_data(&data);
        }
        Ok(())
    }

    async fn dispatch(
        self: Rc<Self>,
        params: session::DispatchParams,
        _: session::DispatchResults,
    ) -> capnp::Result<()> {
        let params = params.get()?;
        let job = codec::read_job(params.get_job()?)?;
        let body = Bytes::copy_from_slice(params.get_body()?);
        let (sender, events) = ResponseSink::channel();
        tokio::task::spawn_local(relay(events, params.get_sink()?));
        self.handler.dispatch(job, body, sender);
        Ok(())
    }

    async fn settle(
        self: Rc<Self>,
        params: session::SettleParams,
        mut results: session::SettleResults,
    ) -> capnp::Result<()> {
        let params = params.get()?;
        let request = codec::join_id(params.get_request_high(), params.get_request_low());
        let outcome = self.handler.settle(request, params.get_attempt());
        results.get().set_outcome(&codec::to_json(&outcome));
        Ok(())
    }

    async fn cancel(
        self: Rc<Self>,
        params: session::CancelParams,
        _: session::CancelResults,
    ) -> capnp::Result<()> {
        let params = params.get()?;
        let request = codec::join_id(params.get_request_high(), params.get_request_low());
        self.handler.cancel(request, params.get_attempt());
        Ok(())
    }

    async fn report(
        self: Rc<Self>,
        params: session::ReportParams,
        mut results: session::ReportResults,
    ) -> capnp::Result<()> {
        if let Some(report) = self.handler.report(params.get()?.get_seen()) {
            results.get().set_report(&codec::to_json(&report));
        }
        Ok(())
    }

    async fn permit(
        self: Rc<Self>,
        params: session::PermitParams,
        mut results: session::PermitResults,
    ) -> capnp::Result<()> {
        let ask = codec::from_json(params.get()?.get_ask()?)?;
        if let Some(grant) = self.handler.request_permit(ask).await {
            results.get().set_grant(&codec::to_json(&grant));
        }
        Ok(())
    }

    async fn release(
        self: Rc<Self>,
        params: session::ReleaseParams,
        _: session::ReleaseResults,
    ) -> capnp::Result<()> {
        self.handler.release_permit(params.get()?.get_id());
        Ok(())
    }

    async fn dump(
        self: Rc<Self>,
        _: session::DumpParams,
        mut results: session::DumpResults,
    ) -> capnp::Result<()> {
        results.get().set_state(&*self.handler.dump());
        Ok(())
    }
}

/// Sends an answer's events to the peer; stops at the first call that fails, which closes the
/// channel and so tells the sender that the receiver is gone.
async fn relay(mut events: mpsc::Receiver<ResponseEvent>, sink: sink::Client) {
    let mut seq = 0;
    let mut held = None;
    loop {
        let next = match held.take() {
            Some(event) => Some(event),
            None => events.recv().await,
        };
        let sent = match next {
            None => return,
            Some(ResponseEvent::Begin {
                status,
                content_type,
            }) => {
                let mut call = sink.begin_request();
                call.get().set_status(status);
                call.get().set_content_type(&*content_type);
                call.send().await
            }
            Some(ResponseEvent::Chunk(first)) => {
                let (data, after) = coalesce(first, &mut events);
                held = after;
                let mut call = sink.chunk_request();
                call.get().set_seq(seq);
                call.get().set_data(&data);
                seq += 1;
                call.send().await
            }
            Some(ResponseEvent::End(mut end)) => {
                end.chunks = seq;
                let mut call = sink.end_request();
                call.get().set_end(&codec::to_json(&*end));
                let _ = call.send().promise.await;
                return;
            }
        };
        if sent.is_err() {
            return;
        }
    }
}

/// Joins the pieces that are ready now; returns them with the first event that is not a piece.
fn coalesce(
    first: Bytes,
    events: &mut mpsc::Receiver<ResponseEvent>,
) -> (Bytes, Option<ResponseEvent>) {
    let Ok(mut next) = events.try_recv() else {
        return (first, None);
    };
    let mut joined = BytesMut::from(first);
    loop {
        match next {
            ResponseEvent::Chunk(data) => joined.extend_from_slice(&data),
            other => return (joined.freeze(), Some(other)),
        }
        if joined.len() >= COALESCE_BYTES {
            return (joined.freeze(), None);
        }
        match events.try_recv() {
            Ok(event) => next = event,
            Err(_) => return (joined.freeze(), None),
        }
    }
}
