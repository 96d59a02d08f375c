//! Simulated callers. Each sends one request at a time and reuses its connections to the entries.

use std::io::Write;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use decision::collections::Map;
use decision::hash::hash_text;
use http_body_util::BodyExt;
use http_body_util::Empty;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use rig::caller;
use rig::caller::CallerRequest;
use rig::engine::MODEL;
use rig::runner::LONG_REQUEST_SUFFIX;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::timeout;
use tokio::time::timeout_at;

use crate::harness::BOUNDS;
use crate::harness::Harness;
use crate::held::HeldStream;
use crate::held::ReadHold;
use crate::history::Call;
use crate::history::CallOutcome;
use crate::history::Ms;
use crate::history::RELIED_PERCENT;
use crate::history::RouteKind;
use crate::plan;
use crate::plan::ADAPTERS;
use crate::tenants::ApiKey;
use crate::tenants::CLAIMED_TENANT;

/// The time limit that every request states to the entry.
const DEADLINE: Duration = Duration::from_millis(BOUNDS.limit);
/// The time for which a caller waits for the response after the time limit.
const RESPONSE_MARGIN: Duration = Duration::from_millis(500);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The range of pauses between two requests of a caller.
const REQUEST_PAUSE_MS: std::ops::Range<u64> = 5..60;
/// The probability that a caller leaves its connection idle before a request, and the range of times for
/// which it does, in percent of the idle limit.
const IDLE_PROBABILITY: f64 = 0.05;
const IDLE_PERCENT: std::ops::RangeInclusive<u32> = 40..=RELIED_PERCENT;
/// The probability that a caller disconnects before the end of the response.
const DISCONNECT_PROBABILITY: f64 = 0.08;
/// The range of times after the request at which such a caller disconnects.
const DISCONNECT_AFTER_MS: std::ops::Range<u64> = 5..120;
/// The probability that a request to an engine has one of the deadly parts, while there are any.
const DEADLY_PROBABILITY: f64 = 0.25;
/// The limit of the wait before a refused caller sends its next request.
const MAX_RETRY_WAIT: Duration = Duration::from_secs(1);

struct Conn {
    sender: SendRequest<Empty<Bytes>>,
    entry_starts: u32,
    /// When it became idle, and the limit in force then; `None` before the first response.
    idle: Option<(Instant, Duration)>,
    hold: ReadHold,
    /// Another handle to the socket.
    socket: std::net::TcpStream,
    task: AbortHandle,
}

impl Drop for Conn {
    fn drop(&mut self) {
        self.task.abort();
    }
}

pub(crate) struct Caller {
    harness: Arc<Harness>,
    name: String,
    rng: fastrand::Rng,
    conns: Map<usize, Conn>,
    tasks: JoinSet<()>,
    request_count: u64,
}

impl Caller {
    /// Creates a caller that derives its random choices from the seed.
    pub(crate) fn new(harness: Arc<Harness>, name: String, seed: u64) -> Caller {
        Caller {
            harness,
            name,
            rng: fastrand::Rng::with_seed(seed),
            conns: Map::default(),
            tasks: JoinSet::new(),
            request_count: 0,
        }
    }

    /// Sends requests until the run stops, and records all of them, including the last one.
    pub(crate) async fn run(mut self) {
        while !self.harness.is_stopping() {
            let pause = self.rng.u64(REQUEST_PAUSE_MS);
            tokio::time::sleep(Duration::from_millis(pause)).await;
            while self.tasks.try_join_next().is_some() {}
            let entry = self.rng.usize(..self.harness.entry_addrs().len());
            if self.rng.f64() < IDLE_PROBABILITY {
                self.stay_idle(entry).await;
            }
            let Some(conn) = self.connect(entry).await else {
                continue;
            };
            let kind = self.pick_kind();
            if let Some(wait) = self.send_request(entry, conn, kind).await {
                tokio::time::sleep(wait.min(MAX_RETRY_WAIT)).await;
            }
        }
    }

    /// Leaves a connection idle for a part of the limit that its caller relies on, after a request whose answer
    /// shows which manifest the entry applies.
    async fn stay_idle(&mut self, entry: usize) {
        let percent = self.rng.u32(IDLE_PERCENT);
        let newest = RouteKind::Versioned(self.harness.manifest());
        if let Some(conn) = self.connect(entry).await {
            self.send_request(entry, conn, newest).await;
        }
        let Some(conn) = self.conns.get(&entry) else {
            return;
        };
        let Some((since, limit)) = conn.idle else {
            return;
        };
        conn.hold.set();
        loop {
            let limit = limit.max(self.harness.idle_limit());
            let end = since + limit * percent / 100;
            if Instant::now() >= end || self.harness.is_stopping() {
                return;
            }
            tokio::time::sleep_until(end).await;
        }
    }

    async fn connect(&mut self, entry: usize) -> Option<Conn> {
        if let Some(conn) = self.conns.remove(&entry)
            && conn.sender.is_ready()
        {
            return Some(conn);
        }
        let entry_starts = self.harness.entry_starts(entry);
        let connect = TcpStream::connect(self.harness.entry_addrs()[entry]);
        let stream = timeout(CONNECT_TIMEOUT, connect).await.ok()?.ok()?;
        let stream = stream.into_std().ok()?;
        let socket = stream.try_clone().ok()?;
        let stream = TcpStream::from_std(stream).ok()?;
        let hold = ReadHold::default();
        let stream = HeldStream::new(stream, hold.clone());
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        let task = self.tasks.spawn(async move {
            // The request on the connection reports how it ended.
            let _ = connection.await;
        });
        Some(Conn {
            sender,
            entry_starts,
            idle: None,
            hold,
            socket,
            task,
        })
    }

    /// Sends one request and records it; returns the time after which a refused caller may retry.
    async fn send_request(
        &mut self,
        entry: usize,
        mut conn: Conn,
        kind: RouteKind,
    ) -> Option<Duration> {
        self.request_count += 1;
        let id = format!("{}.{}", self.name, self.request_count);
        let disconnects = self.rng.f64() < DISCONNECT_PROBABILITY;
        let path = self.pick_deadly_path(kind);
        let deadly = match &path {
            Some(path) => plan::deadly_number(path),
            None => self.pick_deadly_part(kind),
        };
        let api_key = ApiKey::pick(&mut self.rng, kind, self.harness.manifest());
        let request = self.build_request(&id, kind, api_key, path, disconnects, deadly)?;
        let idle = conn
            .idle
            .map(|(since, _)| since.elapsed().as_millis() as Ms);
        let sent_at = self.harness.now();
        let wait_limit = if disconnects {
            Duration::from_millis(self.rng.u64(DISCONNECT_AFTER_MS))
        } else {
            DEADLINE + RESPONSE_MARGIN
        };
        let limit = Instant::now() + wait_limit;
        let (outcome, wait) = match timeout_at(limit, conn.sender.try_send_request(request)).await {
            Err(_) => {
                if self.rng.bool() {
                    // Bytes before the close, which must not hide it. They fit into the socket.
                    let _ = (&conn.socket).write(b"\r\n");
                }
                (CallOutcome::Disconnected, None)
            }
            Ok(Err(mut error)) => {
                // An error that contains the request was raised before anything was sent; such a
                // request is not recorded.
                if error.take_message().is_some() {
                    return None;
                }
                (CallOutcome::ConnectionClosed, None)
            }
            Ok(Ok(response)) => {
                // Callers beyond their limit go on, so that it binds all the time.
                let waits = response.status() != StatusCode::TOO_MANY_REQUESTS;
                let wait = caller::retry_after(&response).filter(|_| waits);
                (read_response(response, limit).await, wait)
            }
        };
        let reusable = matches!(outcome, CallOutcome::Response { complete: true, .. });
        let call = Call {
            id,
            kind,
            api_key,
            entry,
            entry_starts: conn.entry_starts,
            deadly,
            shares_parts: kind.is_stream(),
            idle,
            sent_at,
            ended_at: self.harness.now(),
            outcome,
        };
        self.harness.record_call(call);
        if reusable {
            conn.idle = Some((Instant::now(), self.harness.idle_limit()));
            self.conns.insert(entry, conn);
        }
        wait
    }

    fn pick_kind(&mut self) -> RouteKind {
        let newest = self.harness.manifest();
        match self.rng.u32(..10) {
            0 | 1 => RouteKind::Idempotent,
            2 | 3 => RouteKind::NonIdempotent,
            4..=6 => RouteKind::Stream,
            7 => RouteKind::NonResumableStream,
            8 => RouteKind::Versioned(newest),
            _ => RouteKind::Versioned(newest.saturating_sub(self.rng.u64(1..3)).max(1)),
        }
    }

    /// Builds a request, to its own path unless it is a deadly one; `long` asks for a response that
    /// takes a long time.
    fn build_request(
        &mut self,
        id: &str,
        kind: RouteKind,
        api_key: Option<ApiKey>,
        path: Option<String>,
        long: bool,
        deadly: Option<u64>,
    ) -> Option<Request<Empty<Bytes>>> {
        let suffix = if long { LONG_REQUEST_SUFFIX } else { "/x" };
        // The smaller of two random numbers gives the first adapters most of the requests.
        let adapter = kind.is_stream().then(|| {
            let index = self.rng.usize(..ADAPTERS).min(self.rng.usize(..ADAPTERS));
            format!("{MODEL}/a{index}")
        });
        let prefix = kind.is_stream().then(|| self.prompt_parts(deadly));
        let path = path.unwrap_or_else(|| format!("/{kind}{suffix}"));
        let api_key = api_key.map(|key| key.to_string());
        caller::encode_request(&CallerRequest {
            path: &path,
            id,
            deadline: DEADLINE,
            adapter: adapter.as_deref(),
            prefix: prefix.as_deref(),
            api_key: api_key.as_deref(),
            tenant: Some(CLAIMED_TENANT),
        })
    }

    fn pick_deadly_path(&mut self, kind: RouteKind) -> Option<String> {
        if self.rng.f64() >= DEADLY_PROBABILITY {
            return None;
        }
        let route = format!("/{kind}/");
        let paths = self.harness.deadly_paths().into_iter();
        self.rng.choice(
            paths
                .filter(|path| path.starts_with(&route))
                .collect::<Vec<_>>(),
        )
    }

    fn pick_deadly_part(&mut self, kind: RouteKind) -> Option<u64> {
        if !kind.is_stream() || self.rng.f64() >= DEADLY_PROBABILITY {
            return None;
        }
        self.rng.choice(self.harness.deadly_parts())
    }

    /// Returns the parts of a prompt: those of the route and of the caller, perhaps a deadly one, and
    /// the request's own.
    fn prompt_parts(&self, deadly: Option<u64>) -> String {
        let deadly = deadly.map_or_else(String::new, |part| format!("{part:x}:20,"));
        let (caller, own) = (hash_text(&self.name), self.request_count);
        format!("1:60,{caller:x}:20,{deadly}{own:x}:10")
    }
}

async fn read_response(response: Response<Incoming>, limit: Instant) -> CallOutcome {
    let status = response.status().as_u16();
    let seal = caller::seal(&response);
    let mut body = response.into_body();
    let mut bytes = Vec::new();
    let complete = loop {
        match timeout_at(limit, body.frame()).await {
            Err(_) => return CallOutcome::Disconnected,
            Ok(None) => break true,
            Ok(Some(Err(_))) => break false,
            Ok(Some(Ok(frame))) => bytes.extend(frame.into_data().unwrap_or_default()),
        }
    };
    CallOutcome::Response {
        status,
        seal,
        body: String::from_utf8_lossy(&bytes).into_owned(),
        complete,
    }
}
