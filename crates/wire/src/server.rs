//! The server side: accepts connections of peers and handles their calls.

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

/// Size in bytes at which no further chunks are added to a message.
const COALESCE_BYTES: usize = 32 * 1024;

/// The server of one process, which passes the calls of peers to a [`Handler`].
pub struct Server {
    addr: SocketAddr,
    stop: watch::Sender<bool>,
    threads: Vec<JoinHandle<()>>,
}

impl Server {
    /// Binds `addr` and handles calls on `threads` RPC threads, at least one. Peers that do not send
    /// `secret` are rejected.
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
        let mut handles = Vec::new();
        for number in 0..threads.max(1) {
            let listener = listener.try_clone()?;
            let (shared, stopped) = (shared.clone(), stopped.clone());
            let main = move || serve(listener, shared, stopped);
            handles.push(thread::spawn(&format!("peer-{number}"), main)?);
        }
        Ok(Server {
            addr,
            stop,
            threads: handles,
        })
    }

    /// Returns the bound address, with the actual port if port 0 was requested.
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
            warn!("failed to register the peer listener: {err}");
            return;
        }
    };
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            _ = stopped.wait_for(|stop| *stop) => break,
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    connections.spawn_local(serve_connection(stream, shared.clone()));
                }
                Err(err) => warn!("failed to accept a peer connection: {err}"),
            },
            Some(_) = connections.join_next(), if !connections.is_empty() => {}
        }
    }
    connections.shutdown().await;
}

async fn serve_connection(stream: TcpStream, shared: Shared) {
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
            warn!("peer rejected: wrong secret", kv: { peer = name.as_str() });
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
        let peer_head = codec::read_head(params.get()?.get_head()?)?;
        let own_head = self.handler.exchange_heads(&self.name, peer_head);
        codec::write_head(results.get().init_head(), &own_head);
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
        tokio::task::spawn_local(forward_response(events, params.get_sink()?));
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
        let request = codec::from_json(params.get()?.get_ask()?)?;
        if let Some(grant) = self.handler.request_permit(request).await {
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

/// Sends the events of a response to the peer. Returns at the first call that fails, which drops
/// `events`, so that the sender gets [`SinkClosed`](crate::SinkClosed).
async fn forward_response(mut events: mpsc::Receiver<ResponseEvent>, sink: sink::Client) {
    let mut seq = 0;
    let mut pending = None;
    loop {
        let next = match pending.take() {
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
                pending = after;
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

/// Joins `first` with the chunks that are ready now; stops once the result has [`COALESCE_BYTES`] or
/// more. Also returns the event that ended the loop, if it is not a chunk.
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
