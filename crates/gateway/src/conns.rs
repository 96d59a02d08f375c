//! Connections to runners.
//!
//! Invariants: a connection carries one request at a time and belongs to one incarnation of a
//! runner; it is kept only after a whole answer, and dropping it closes it at once, which tells the
//! runner to stop.

use std::net::SocketAddr;
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
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// The time for opening a connection; a lost packet is sent again only after about a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// How long an idle connection is kept if the runner does not say how long it keeps it.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// How much earlier than the runner an idle connection is closed.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// The read buffer of one connection, in bytes.
const READ_BUFFER_BYTES: usize = 16 << 10;

/// Why no connection could be opened.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("connect to {peer}: {reason}")]
pub struct ConnectError {
    /// The runner's address.
    pub peer: SocketAddr,
    /// What went wrong.
    pub reason: String,
}

/// A connection that carries a request.
#[derive(Debug)]
pub struct RunnerConn {
    /// The sending half.
    pub sender: SendRequest<Full<Bytes>>,
    /// Whether it carried a request before.
    pub reused: bool,
    task: AbortHandle,
}

impl Drop for RunnerConn {
    fn drop(&mut self) {
        self.task.abort();
    }
}

#[derive(Debug)]
struct IdleConn {
    conn: RunnerConn,
    idle_since: Time,
    expires_at: Time,
}

/// The idle connections of an entry.
#[derive(Debug, Default)]
pub struct ConnPool {
    idle: Mutex<Map<Name, Vec<IdleConn>>>,
    tasks: TaskTracker,
    abort: CancellationToken,
}

impl ConnPool {
    /// Returns an idle connection to a runner that was used within `max_idle`.
    pub fn take_idle(&self, now: Time, runner: &str, max_idle: Duration) -> Option<RunnerConn> {
        let mut pools = self.idle.lock().expect("no panics under the lock");
        let pool = pools.get_mut(runner)?;
        pool.retain(|idle| now < idle.expires_at && !idle.conn.sender.is_closed());
        let usable =
            |idle: &IdleConn| now < idle.idle_since.after(max_idle) && idle.conn.sender.is_ready();
        let index = pool.iter().rposition(usable)?;
        let mut conn = pool.remove(index).conn;
        conn.reused = true;
        Some(conn)
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Fails if the runner does not accept it in time.
    pub async fn open(&self, addr: SocketAddr) -> Result<RunnerConn, ConnectError> {
        let error = |reason: String| ConnectError { peer: addr, reason };
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await;
        let stream = match stream {
            Ok(Ok(stream)) => stream,
            Ok(Err(e)) => return Err(error(e.to_string())),
            Err(_) => return Err(error("timeout".into())),
        };
        stream.set_nodelay(true).map_err(|e| error(e.to_string()))?;
        let mut builder = http1::Builder::new();
        builder.max_buf_size(READ_BUFFER_BYTES);
        let handshake = builder.handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|e| error(e.to_string()))?;
        // The task ends with the connection; what went wrong is told to the request on it.
        let abort = self.abort.clone();
        let task = self.tasks.spawn(async move {
            let _ = abort.run_until_cancelled(connection).await;
        });
        Ok(RunnerConn {
            sender,
            reused: false,
            task: task.abort_handle(),
        })
    }

    /// Keeps a connection after a whole answer; `idle` is how long the runner keeps it.
    pub fn put_idle(&self, now: Time, runner: &Name, conn: RunnerConn, idle: Option<Duration>) {
        let idle = idle.unwrap_or(DEFAULT_IDLE_TIMEOUT);
        let margin = IDLE_MARGIN.min(idle / 2);
        let entry = IdleConn {
            conn,
            idle_since: now,
            expires_at: now.after(idle - margin),
        };
        let mut pools = self.idle.lock().expect("no panics under the lock");
        pools.entry(runner.clone()).or_default().push(entry);
    }

    /// Closes the idle connections to a runner that is gone.
    pub fn remove(&self, runner: &str) {
        self.idle
            .lock()
            .expect("no panics under the lock")
            .remove(runner);
    }

    /// Closes all idle connections whose time is over.
    pub fn close_expired(&self, now: Time) {
        let mut pools = self.idle.lock().expect("no panics under the lock");
        for pool in pools.values_mut() {
            pool.retain(|idle| now < idle.expires_at && !idle.conn.sender.is_closed());
        }
    }

    /// Closes all connections.
    pub async fn stop(&self) {
        self.idle.lock().expect("no panics under the lock").clear();
        self.abort.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }
}
