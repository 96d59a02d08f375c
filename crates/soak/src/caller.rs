//! Callers: each keeps its connections to entries open and sends one request after the other.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use decision::collections::Map;
use http_body_util::BodyExt;
use http_body_util::Empty;
use hyper::Request;
use hyper::Response;
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

use crate::history::Call;
use crate::history::End;
use crate::history::Kind;
use crate::plan::ADAPTERS;
use crate::world::World;

/// The time that a request may take.
const DEADLINE: Duration = Duration::from_millis(2_500);
/// How much longer a caller waits for the answer.
const PATIENCE: Duration = Duration::from_millis(500);
/// The time for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The pauses between two requests of a caller, in milliseconds.
const PAUSES_MS: std::ops::Range<u64> = 5..60;
/// The share of requests whose caller leaves early.
const LEAVING: f64 = 0.08;
/// When it leaves, in milliseconds after it sent the request.
const LEAVE_MS: std::ops::Range<u64> = 5..120;
/// The longest wait for the return of a refused caller.
const MAX_RETURN: Duration = Duration::from_secs(1);

struct Conn {
    sender: SendRequest<Empty<Bytes>>,
    life: u32,
    task: AbortHandle,
}

impl Drop for Conn {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// One caller.
pub(crate) struct Caller {
    world: Arc<World>,
    name: String,
    rng: fastrand::Rng,
    conns: Map<usize, Conn>,
    tasks: JoinSet<()>,
    sent: u64,
}

impl Caller {
    /// Creates a caller; what it sends follows from the seed.
    pub(crate) fn new(world: Arc<World>, name: String, seed: u64) -> Caller {
        Caller {
            world,
            name,
            rng: fastrand::Rng::with_seed(seed),
            conns: Map::default(),
            tasks: JoinSet::new(),
            sent: 0,
        }
    }

    /// Sends requests until the run is over; the last one is noted too.
    pub(crate) async fn run(mut self) {
        while !self.world.is_over() {
            let pause = self.rng.u64(PAUSES_MS);
            tokio::time::sleep(Duration::from_millis(pause)).await;
            while self.tasks.try_join_next().is_some() {}
            let entry = self.rng.usize(..self.world.entries().len());
            let Some(conn) = self.connect(entry).await else {
                continue;
            };
            if let Some(wait) = self.call(entry, conn).await {
                tokio::time::sleep(wait.min(MAX_RETURN)).await;
            }
        }
    }

    async fn connect(&mut self, entry: usize) -> Option<Conn> {
        if let Some(conn) = self.conns.remove(&entry)
            && conn.sender.is_ready()
        {
            return Some(conn);
        }
        let life = self.world.life(entry);
        let connect = TcpStream::connect(self.world.entries()[entry]);
        let stream = timeout(CONNECT_TIMEOUT, connect).await.ok()?.ok()?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        let task = self.tasks.spawn(async move {
            // How a connection ends is seen by the request on it.
            let _ = connection.await;
        });
        Some(Conn { sender, life, task })
    }

    /// Sends one request; returns how long to wait if it was refused.
    async fn call(&mut self, entry: usize, mut conn: Conn) -> Option<Duration> {
        self.sent += 1;
        let id = format!("{}.{}", self.name, self.sent);
        let kind = self.kind();
        let leaves = self.rng.f64() < LEAVING;
        let request = self.request(&id, kind, leaves)?;
        let sent = self.world.now();
        let patience = if leaves {
            Duration::from_millis(self.rng.u64(LEAVE_MS))
        } else {
            DEADLINE + PATIENCE
        };
        let limit = Instant::now() + patience;
        let (end, wait) = match timeout_at(limit, conn.sender.try_send_request(request)).await {
            Err(_) => (End::Left, None),
            Ok(Err(mut error)) => {
                // Whether the connection was closed before anything was written.
                if error.take_message().is_some() {
                    return None;
                }
                (End::Closed, None)
            }
            Ok(Ok(response)) => {
                let wait = caller::retry_after(&response);
                (read(response, limit).await, wait)
            }
        };
        let kept = matches!(end, End::Answer { whole: true, .. });
        let call = Call {
            id,
            kind,
            entry,
            life: conn.life,
            sent,
            ended: self.world.now(),
            end,
        };
        self.world.ended(call);
        if kept {
            self.conns.insert(entry, conn);
        }
        wait
    }

    fn kind(&mut self) -> Kind {
        let newest = self.world.manifest();
        match self.rng.u32(..10) {
            0 | 1 => Kind::Safe,
            2 | 3 => Kind::Once,
            4..=6 => Kind::Stream,
            7 => Kind::Single,
            8 => Kind::Dated(newest),
            _ => Kind::Dated(newest.saturating_sub(self.rng.u64(1..3)).max(1)),
        }
    }

    /// Returns a request; a caller that is going to leave asks for an answer that takes long.
    fn request(&mut self, id: &str, kind: Kind, leaves: bool) -> Option<Request<Empty<Bytes>>> {
        let end = if leaves { LONG_REQUEST_SUFFIX } else { "/x" };
        // A few adapters get most of the requests.
        let adapter = kind.is_stream().then(|| {
            let index = self.rng.usize(..ADAPTERS).min(self.rng.usize(..ADAPTERS));
            format!("{MODEL}/a{index}")
        });
        caller::encode_request(&CallerRequest {
            path: &format!("/{kind}{end}"),
            id,
            deadline: DEADLINE,
            adapter: adapter.as_deref(),
        })
    }
}

async fn read(response: Response<Incoming>, limit: Instant) -> End {
    let status = response.status().as_u16();
    let seal = caller::seal(&response);
    let mut body = response.into_body();
    let mut bytes = Vec::new();
    let whole = loop {
        match timeout_at(limit, body.frame()).await {
            Err(_) => return End::Left,
            Ok(None) => break true,
            Ok(Some(Err(_))) => break false,
            Ok(Some(Ok(frame))) => bytes.extend(frame.into_data().unwrap_or_default()),
        }
    };
    End::Answer {
        status,
        seal,
        body: String::from_utf8_lossy(&bytes).into_owned(),
        whole,
    }
}
