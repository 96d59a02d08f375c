//! The HTTP servers of an entry: one for callers and one for the platform's readiness probe.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use ::process::caller::CallerConn;
use ::process::caller::CallerStream;
use ::process::caller::RequestGuard;
use bytes::Bytes;
use futures::FutureExt;
use http_body_util::BodyExt;
use http_body_util::Empty;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::Version;
use hyper::body::Incoming;
use hyper::header;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::HttpService;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use spdlog::warn;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::buffer::BufferedBody;
use crate::caller_memory::ConnMemory;
use crate::closing::Closings;
use crate::conn_end;
use crate::conn_end::ConnEnd;
use crate::dispatch;
use crate::entry::Entry;
use crate::idle::Driven;
use crate::idle::IdleWatch;
use crate::line_limits::LineCause;
use crate::metrics::GaugeGuard;
use crate::relay::StreamTruncated;
use crate::unread::BodyUnread;

/// The body of a response to a caller.
pub type Body = UnsyncBoxBody<Bytes, StreamTruncated>;

/// The length of the queue of connections that are not accepted yet.
const BACKLOG: u32 = 1_024;
/// The pause after a failed accept, which usually means that file descriptors have run out.
pub(crate) const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);
/// How long after the stop a connection is still read, and the listener's queue accepted, since
/// requests may be on their way.
const LAST_REQUEST_PERIOD: Duration = Duration::from_millis(200);
/// The wait for a connection in the listener's queue after the stop, at which the queue counts as
/// empty.
const QUEUE_EMPTY_PERIOD: Duration = Duration::from_millis(20);
/// The idle timeout of readiness probes.
const PROBE_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Tells a caller for how long its idle connection may be used.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
/// Read buffer beyond the largest head, since the buffer also holds the start of the body.
const BUFFER_MARGIN_BYTES: usize = 8 << 10;
/// File descriptors that are not available to callers: those for files, the store, agents and
/// connections to runners.
const RESERVED_DESCRIPTORS: u32 = 1_200;
/// The connections that may be open beyond the limit while evicted ones end.
const SPARE_CONNS: usize = 16;
/// The connections that may be open in any case.
const MIN_CONNS: usize = 64;

/// Binds a listening IPv4 socket.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn listen(addr: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    socket.listen(BACKLOG)
}

/// Accepts callers until `stop` and those that wait in the listener's queue by then. Then waits for the
/// requests in progress, which `abort` ends.
pub async fn accept_callers(
    entry: Arc<Entry>,
    listener: TcpListener,
    stop: CancellationToken,
    abort: CancellationToken,
) {
    let mut callers = Callers::new(entry, stop.clone(), abort);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => break,
        };
        callers.serve(accepted).await;
    }
    let queue_deadline = Instant::now() + LAST_REQUEST_PERIOD;
    loop {
        let deadline = queue_deadline.min(Instant::now() + QUEUE_EMPTY_PERIOD);
        let Ok(accepted) = tokio::time::timeout_at(deadline, listener.accept()).await else {
            break;
        };
        callers.serve(accepted).await;
    }
    drop(listener);
    callers.tasks.close();
    callers.tasks.wait().await;
}

/// The connections of callers.
struct Callers {
    entry: Arc<Entry>,
    closings: Closings,
    abort: CancellationToken,
    tasks: TaskTracker,
    limit: usize,
}

impl Callers {
    fn new(entry: Arc<Entry>, stop: CancellationToken, abort: CancellationToken) -> Callers {
        let descriptors = entry.settings.max_files;
        let limit = descriptors.saturating_sub(RESERVED_DESCRIPTORS) as usize;
        let limit = limit.min(entry.callers.max_idle_conns());
        Callers {
            entry,
            closings: Closings::new(stop),
            abort,
            tasks: TaskTracker::new(),
            limit: limit.max(MIN_CONNS),
        }
    }

    /// Makes room for a new connection if there is none. Returns whether there is some now.
    fn make_room(&self) -> bool {
        let open = self.tasks.len();
        let has_room = self.closings.make_room(open, self.limit);
        has_room
            || (open < self.limit + SPARE_CONNS && self.entry.callers.evict_for_place(&self.entry))
    }

    async fn serve(&mut self, accepted: std::io::Result<(TcpStream, SocketAddr)>) {
        self.entry.callers.yield_to_evicted().await;
        match accepted {
            Ok((stream, _)) if self.make_room() => {
                let closings = self.closings.clone();
                let caller = serve_caller(self.entry.clone(), stream, self.limit, closings);
                self.tasks
                    .spawn(self.abort.clone().run_until_cancelled_owned(caller));
            }
            Ok(_) => {
                let entry = &self.entry;
                entry.metrics.conns_refused.inc();
                if let Some(omitted) = entry.lines.admit(entry.now(), LineCause::NoPlace) {
                    let open = self.tasks.len();
                    warn!("connection closed, too many open connections", kv: { open, omitted });
                }
            }
            Err(error) => {
                let error = error.to_string();
                warn!("accept failed", kv: { error = error.as_str() });
                tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
            }
        }
    }
}

/// Serves a connection to its end.
async fn serve_caller(entry: Arc<Entry>, stream: TcpStream, max_conns: usize, closings: Closings) {
    if let Err(error) = stream.set_nodelay(true) {
        let error = error.to_string();
        warn!("connection cannot be set up", kv: { error = error.as_str() });
        return;
    }
    let header_bytes = entry.header_bytes();
    let caller = CallerConn::new(stream);
    let memory = ConnMemory::open(&entry);
    let agreed = AtomicBool::new(false);
    let service = service_fn(|request| {
        let outdated = entry.header_bytes() > header_bytes;
        respond(
            entry.clone(),
            caller.begin_request(),
            memory.clone(),
            &agreed,
            outdated,
            request,
        )
    });
    let connection = http1::Builder::new()
        // `IdleWatch` has the timers.
        .header_read_timeout(None)
        .max_buf_size(header_bytes + BUFFER_MARGIN_BYTES)
        .serve_connection(TokioIo::new(CallerStream(caller.clone())), service);
    let open = GaugeGuard::new(&entry.metrics.caller_conns);
    let watch = IdleWatch::new(entry.clone(), caller.clone(), memory.clone(), max_conns);
    let driven = drive_until_stop(watch, connection, closings.stop.clone()).await;
    let agreed = agreed.into_inner();
    let end = ConnEnd::new(driven, &caller.usage(), agreed, entry.is_stopping());
    entry.record_conn_end(end, &caller);
    drop(open);
    memory.set_closing();
    closings.close(&entry, &caller, end).await;
}

/// Drives a connection to its end, or through one more request after the stop.
async fn drive_until_stop<S>(
    mut watch: IdleWatch,
    connection: http1::Connection<TokioIo<CallerStream>, S>,
    stop: CancellationToken,
) -> Driven
where
    S: HttpService<Incoming, ResBody = Body, Error = Infallible>,
{
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        driven = watch.drive(connection.as_mut()) => return driven,
        () = stop.cancelled() => {}
    }
    // Responses close the connection from now on, so it is read for one more request at most.
    let last_request =
        tokio::time::timeout(LAST_REQUEST_PERIOD, watch.drive(connection.as_mut())).await;
    if let Ok(driven) = last_request {
        return driven;
    }
    connection.as_mut().graceful_shutdown();
    watch.drive(connection.as_mut()).await
}

async fn respond(
    entry: Arc<Entry>,
    caller: RequestGuard,
    memory: Arc<ConnMemory>,
    agreed: &AtomicBool,
    outdated: bool,
    request: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    let is_last = conn_end::says_close(request.version(), request.headers());
    // The future is large; boxing it keeps idle connections small.
    let mut response = dispatch::handle(entry.clone(), caller, memory.clone(), request)
        .boxed()
        .await;
    // A connection keeps the limit on heads of its opening.
    if entry.is_stopping() || outdated || memory.is_evicted() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    if let Some(time) = entry.state().conn_limits.reuse_time() {
        let time = format!("timeout={}", time.as_secs());
        if let Ok(value) = HeaderValue::from_str(&time) {
            response.headers_mut().insert(KEEP_ALIVE, value);
        }
    }
    let is_unread = response.extensions().get::<BodyUnread>().is_some();
    let closes = is_last || conn_end::says_close(Version::HTTP_11, response.headers());
    if closes && !is_unread {
        agreed.store(true, Ordering::Relaxed);
    }
    Ok(response)
}

/// Serves the platform's readiness probe: 200 if the entry is ready, otherwise 503.
pub async fn serve_ready(entry: Arc<Entry>, listener: TcpListener) {
    let tasks = TaskTracker::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
            continue;
        };
        let entry = entry.clone();
        tasks.spawn(async move {
            let service = service_fn(|_: Request<Incoming>| {
                let ready = entry.check_ready().is_ok();
                async move { Ok::<_, Infallible>(readiness_response(ready)) }
            });
            // The platform repeats the probe, so an error of this connection does not matter.
            let _ = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(PROBE_IDLE_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

fn readiness_response(ready: bool) -> Response<Empty<Bytes>> {
    let mut response = Response::new(Empty::new());
    if !ready {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}

/// Returns a body that is sent whole, without streaming.
pub fn buffered_body(body: BufferedBody) -> Body {
    body.map_err(|never| match never {}).boxed_unsync()
}

/// Returns a body with these bytes.
pub fn full_body(bytes: Bytes) -> Body {
    http_body_util::Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}
