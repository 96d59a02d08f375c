//! The pool of HTTP/1.1 connections to runners.
//!
//! Invariants: a connection carries one request at a time and belongs to one incarnation of a
//! runner; it returns to the pool only after a complete response, and dropping it closes it at
//! once, which makes the runner stop its work; one that has not returned to the pool is reset; no more
//! connections are opened to a runner than [`ConnPool::reserve`] is told.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use decision::collections::Map;
use decision::time::Time;
use derive_more::Display;
use derive_more::Error;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use serving::Name;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::buffer::BufferBudget;
use crate::buffer::ReadReserve;
use crate::recover::lock;
use crate::send_check::RunnerStream;
use crate::send_check::SendCheck;

/// The time limit for opening a connection. A lost packet is retransmitted only after about one
/// second, later than this.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// The assumed idle timeout of a runner that does not state one.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// How long before the runner's idle timeout an idle connection is closed here, at most half of it.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// The limit of one connection's read buffer.
pub(crate) const READ_BUFFER_BYTES: usize = 16 << 10;

/// Why no connection could be opened.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("connect to {peer}: {reason}")]
pub struct ConnectError {
    /// The runner's address.
    pub peer: SocketAddr,
    /// The I/O error, or `timeout`.
    pub reason: String,
    /// What the failure shows of the runner.
    pub kind: ConnectFailure,
}

/// What a failure to connect shows of a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectFailure {
    /// Its instance refused the connection, since no process listens.
    Refused,
    /// It accepted the connection and reset it at once.
    Reset,
    /// It was not reached.
    Unreachable,
}

impl ConnectError {
    fn new(peer: SocketAddr, error: &std::io::Error) -> ConnectError {
        let kind = match error.kind() {
            ErrorKind::ConnectionRefused => ConnectFailure::Refused,
            ErrorKind::ConnectionReset => ConnectFailure::Reset,
            _ => ConnectFailure::Unreachable,
        };
        ConnectError {
            peer,
            reason: error.to_string(),
            kind,
        }
    }
}

/// A connection in use; dropping it closes it.
#[derive(Debug)]
pub struct RunnerConn {
    /// Sends one request at a time.
    pub sender: SendRequest<Full<Bytes>>,
    /// Whether it came from the pool.
    pub reused: bool,
    /// When opening it began.
    pub opened_at: Time,
    /// How long connecting took.
    pub connect_time: Duration,
    /// Whether the runner has rejected a request on it. A faulty runner may write the rejection once
    /// more, in response to a later request.
    pub rejected: bool,
    /// Keeps requests whose callers have left from being written.
    pub check: SendCheck,
    /// Counts what was read and is still in its buffers.
    pub reads: ReadReserve,
    /// Counts it among the connections to its runner.
    pub(crate) permit: Option<ConnPermit>,
    task: AbortHandle,
}

/// The right to have one connection to a runner, until it is dropped.
#[derive(Debug)]
pub(crate) struct ConnPermit {
    _count: Arc<()>,
}

impl Drop for RunnerConn {
    fn drop(&mut self) {
        self.reads.close();
        self.task.abort();
    }
}

/// Which idle connections a request may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// Those that were used within this time.
    Within(Duration),
    /// Of these, those on which the runner has rejected no request.
    UnrejectedWithin(Duration),
}

impl Reuse {
    fn allows(self, now: Time, idle: &IdleConn) -> bool {
        match self {
            Reuse::Within(max_idle) => now < idle.idle_since.after(max_idle),
            Reuse::UnrejectedWithin(max_idle) => {
                !idle.conn.rejected && now < idle.idle_since.after(max_idle)
            }
        }
    }
}

#[derive(Debug)]
struct IdleConn {
    conn: RunnerConn,
    idle_since: Time,
    expires_at: Time,
}

impl IdleConn {
    fn is_usable(&self, now: Time, reuse: Reuse) -> bool {
        now < self.expires_at && reuse.allows(now, self) && self.conn.sender.is_ready()
    }
}

/// The idle connections to one incarnation of a runner.
#[derive(Debug)]
struct RunnerPool {
    born: u64,
    idle: Vec<IdleConn>,
    /// The most connections that this entry may have, in use and idle.
    max: usize,
    /// Each permit holds a reference.
    permits: Arc<()>,
}

/// The idle connections by runner, and the tasks that drive all connections.
#[derive(Debug)]
pub struct ConnPool {
    buffers: Arc<BufferBudget>,
    pools: Mutex<Map<Name, RunnerPool>>,
    tasks: TaskTracker,
    abort: CancellationToken,
}

impl ConnPool {
    /// Creates an empty pool, whose connections count their reads in `buffers`.
    pub fn new(buffers: Arc<BufferBudget>) -> ConnPool {
        ConnPool {
            buffers,
            pools: Mutex::default(),
            tasks: TaskTracker::new(),
            abort: CancellationToken::new(),
        }
    }

    /// Takes an idle connection to the incarnation that started at `born`, preferably the one used last.
    pub fn take_idle(
        &self,
        now: Time,
        runner: &str,
        born: u64,
        reuse: Reuse,
    ) -> Option<RunnerConn> {
        let mut pools = lock(&self.pools);
        let pool = pools.get_mut(runner).filter(|pool| pool.born == born)?;
        pool.close_expired(now);
        let mut idle = pool.idle.iter();
        let index = idle.rposition(|idle| idle.is_usable(now, reuse))?;
        let mut conn = pool.idle.remove(index).conn;
        conn.reused = true;
        Some(conn)
    }

    /// Returns whether there is an idle connection that [`ConnPool::take_idle`] would return.
    pub(crate) fn has_idle(&self, now: Time, runner: &str, born: u64, reuse: Reuse) -> bool {
        let pools = lock(&self.pools);
        let pool = pools.get(runner).filter(|pool| pool.born == born);
        pool.is_some_and(|pool| pool.idle.iter().any(|idle| idle.is_usable(now, reuse)))
    }

    /// Returns the right to open a connection, of which there may be `max` to the runner; idle ones are
    /// closed for it. `None` if all are in use, or the runner has started again.
    pub(crate) fn reserve(&self, runner: &Name, born: u64, max: u32) -> Option<ConnPermit> {
        let mut pools = lock(&self.pools);
        let pool = RunnerPool::of(&mut pools, runner, born)?;
        pool.max = max as usize;
        pool.close_idle(pool.max.saturating_sub(1));
        (pool.open_count() < pool.max).then(|| ConnPermit {
            _count: pool.permits.clone(),
        })
    }

    /// Opens a new connection.
    ///
    /// # Errors
    ///
    /// Fails if the connection is refused or not established in time.
    pub async fn open(&self, now: Time, addr: SocketAddr) -> Result<RunnerConn, ConnectError> {
        let error = |reason: String, kind: ConnectFailure| ConnectError {
            peer: addr,
            reason,
            kind,
        };
        let started_at = Instant::now();
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await;
        let stream = match stream {
            Ok(Ok(stream)) => stream,
            Ok(Err(e)) => return Err(ConnectError::new(addr, &e)),
            Err(_) => return Err(error("timeout".into(), ConnectFailure::Unreachable)),
        };
        let connect_time = started_at.elapsed();
        // Setting the option fails only if the connection was already reset.
        let set = stream.set_nodelay(true);
        set.map_err(|e| error(e.to_string(), ConnectFailure::Reset))?;
        let check = SendCheck::default();
        let reads = self.buffers.count_reads();
        let stream = RunnerStream::new(stream, check.clone(), reads.clone());
        let mut builder = http1::Builder::new();
        builder.max_buf_size(READ_BUFFER_BYTES);
        let handshake = builder.handshake(TokioIo::new(stream)).await;
        let (sender, connection) =
            handshake.map_err(|e| error(e.to_string(), ConnectFailure::Unreachable))?;
        // The task ends with the connection; its error is reported to the request on it.
        let task = self.spawn(connection);
        Ok(RunnerConn {
            sender,
            reused: false,
            opened_at: now,
            connect_time,
            rejected: false,
            check,
            reads,
            permit: None,
            task: task.abort_handle(),
        })
    }

    /// Runs a task of a connection; [`ConnPool::stop`] ends it, with `None`.
    pub(crate) fn spawn<T: Send + 'static>(
        &self,
        task: impl Future<Output = T> + Send + 'static,
    ) -> JoinHandle<Option<T>> {
        let abort = self.abort.clone();
        self.tasks.spawn(abort.run_until_cancelled_owned(task))
    }

    /// Returns a connection to the pool after a complete response; `timeout` is the runner's idle
    /// timeout, if it stated one. A connection to an earlier incarnation is closed.
    pub fn put_idle(
        &self,
        now: Time,
        runner: &Name,
        born: u64,
        conn: RunnerConn,
        timeout: Option<Duration>,
    ) {
        conn.check.set_idle();
        conn.reads.clear();
        let timeout = timeout.unwrap_or(DEFAULT_IDLE_TIMEOUT);
        let margin = IDLE_MARGIN.min(timeout / 2);
        let entry = IdleConn {
            conn,
            idle_since: now,
            expires_at: now.after(timeout - margin),
        };
        let mut pools = lock(&self.pools);
        if let Some(pool) = RunnerPool::of(&mut pools, runner, born) {
            pool.idle.push(entry);
            pool.close_idle(pool.max);
        }
    }

    /// Closes the idle connections to a runner that is gone or has restarted.
    pub fn remove(&self, runner: &str) {
        lock(&self.pools).remove(runner);
    }

    /// Closes the idle connections that have expired or that the runner has closed.
    pub fn close_expired(&self, now: Time) {
        lock(&self.pools).retain(|_, pool| {
            pool.close_expired(now);
            !pool.idle.is_empty() || pool.open_count() > 0
        });
    }

    /// Closes all connections, used ones included, and waits for their tasks.
    pub async fn stop(&self) {
        lock(&self.pools).clear();
        self.abort.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }
}

impl RunnerPool {
    fn new(born: u64) -> Self {
        RunnerPool {
            born,
            idle: Vec::new(),
            max: usize::MAX,
            permits: Arc::default(),
        }
    }

    /// Returns the pool of an incarnation of a runner; `None` if a later one is known.
    fn of<'a>(
        pools: &'a mut Map<Name, RunnerPool>,
        runner: &Name,
        born: u64,
    ) -> Option<&'a mut RunnerPool> {
        let pool = pools
            .entry(runner.clone())
            .or_insert_with(|| RunnerPool::new(born));
        if pool.born < born {
            *pool = RunnerPool::new(born);
        }
        (pool.born == born).then_some(pool)
    }

    /// Returns the number of connections that are open or being opened.
    fn open_count(&self) -> usize {
        Arc::strong_count(&self.permits) - 1
    }

    /// Closes the idle connections that were used the longest ago until there are no more than `count`
    /// connections.
    fn close_idle(&mut self, count: usize) {
        let excess = self.open_count().saturating_sub(count);
        self.idle.drain(..excess.min(self.idle.len()));
    }

    fn close_expired(&mut self, now: Time) {
        self.idle
            .retain(|idle| now < idle.expires_at && !idle.conn.sender.is_closed());
    }
}
