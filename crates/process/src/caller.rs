//! The connection of a caller, and whether the caller still waits for its response.
//!
//! While a request is in progress the connection is read ahead of the HTTP server, which doesn't look
//! for its end as long as it holds bytes that follow the request.
//!
//! Invariants: bytes reach the HTTP server in their order, and none is lost; no more than
//! [`MAX_READ_AHEAD`] bytes are held; nothing is read ahead between two requests, so that a request
//! which crosses the close of its connection stays unread.
//!
//! API boundary: a server wraps the stream it accepts in a [`CallerConn`], gives the HTTP server a
//! [`CallerStream`] of it, calls [`CallerConn::begin_request`] for each request, and serves the
//! connection with [`CallerConn::drive`] and ends it with [`CallerConn::close`].

use std::io;
use std::io::IoSlice;
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;
use std::task::ready;
use std::time::Duration;

use bytes::BytesMut;
use derive_more::Display;
use futures::FutureExt;
use socket2::SockRef;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::Interest;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::Sleep;

use crate::linger;
use crate::linger::Closed;

/// The most bytes that are held ahead of the HTTP server.
const MAX_READ_AHEAD: usize = 4 << 10;
/// The most bytes of one read. The HTTP server enlarges its buffer for the connection, up to the limit on
/// heads, after a read that fills 8 KiB.
const MAX_READ: usize = (8 << 10) - 1;
/// The most bytes of one read ahead.
const READ_CHUNK: usize = 1 << 10;
/// The interval at which a connection with more unread bytes than are held is checked for its end.
const FULL_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Whether a caller still waits for its response.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Presence {
    /// The connection is open.
    #[display("waiting")]
    Waiting,
    /// The caller has closed or reset the connection.
    #[display("left")]
    Left,
}

/// What a connection has carried.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    /// When it was opened.
    pub opened_at: Instant,
    /// When the last request ended, or bytes of its response were last taken by the kernel.
    pub idle_since: Instant,
    /// Whether a request is in progress.
    pub busy: bool,
    /// Whether a part of a response waits to be written.
    pub writing: bool,
    /// The number of bytes that the HTTP server has read.
    pub received: u64,
    /// The bytes that were read for the head of the last request; 0 once the request has ended.
    pub head_bytes: usize,
    /// The number of requests whose heads were read.
    pub requests: u64,
    /// When the first bytes of the next request were read, whose head is not complete.
    pub begun_at: Option<Instant>,
    /// Whether the HTTP server has read the end of the connection.
    pub has_ended: bool,
}

/// The connection of one caller, shared by the HTTP server and the request in progress.
#[derive(Debug)]
pub struct CallerConn {
    stream: TcpStream,
    ahead: Mutex<ReadAhead>,
}

/// What is known of a connection beyond what the HTTP server has read.
#[derive(Debug)]
struct ReadAhead {
    bytes: BytesMut,
    usage: Usage,
    /// Whether the caller has closed or reset the connection.
    closed: bool,
    /// Wakes the task that serves the connection.
    server: Option<Waker>,
    /// Set while more bytes are unread than may be held.
    full_check: Option<Pin<Box<Sleep>>>,
}

/// Marks a request of a caller as in progress until it is dropped.
#[derive(Debug)]
pub struct RequestGuard {
    /// The connection that carries the request.
    pub conn: Arc<CallerConn>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let mut ahead = self.conn.ahead();
        ahead.usage.busy = false;
        ahead.usage.head_bytes = 0;
        ahead.usage.idle_since = Instant::now();
    }
}

impl CallerConn {
    /// Wraps an accepted connection.
    pub fn new(stream: TcpStream) -> Arc<CallerConn> {
        let now = Instant::now();
        let usage = Usage {
            opened_at: now,
            idle_since: now,
            busy: false,
            writing: false,
            received: 0,
            head_bytes: 0,
            requests: 0,
            begun_at: None,
            has_ended: false,
        };
        let ahead = ReadAhead {
            bytes: BytesMut::new(),
            usage,
            closed: false,
            server: None,
            full_check: None,
        };
        Arc::new(CallerConn {
            stream,
            ahead: Mutex::new(ahead),
        })
    }

    /// Returns what the connection has carried.
    pub fn usage(&self) -> Usage {
        self.ahead().usage
    }

    /// Returns whether the caller has sent bytes that the HTTP server has not read. Dropping the connection
    /// resets it then, and what was written last may be lost on its way.
    pub fn has_unread(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let peeked = SockRef::from(&self.stream).peek(&mut byte);
        !self.ahead().bytes.is_empty() || peeked.is_ok_and(|count| count > 0)
    }

    /// Closes the connection in stages after its last request; `None` if the caller has closed it before.
    pub async fn close(&self) -> Option<Closed> {
        let has_ended = {
            let ahead = self.ahead();
            ahead.closed || ahead.usage.has_ended
        };
        if has_ended {
            return None;
        }
        Some(linger::close(&self.stream).await)
    }

    /// Marks a request as in progress. The connection carries one at a time.
    pub fn begin_request(self: &Arc<Self>) -> RequestGuard {
        let mut ahead = self.ahead();
        ahead.usage.busy = true;
        ahead.usage.requests += 1;
        ahead.usage.begun_at = None;
        RequestGuard { conn: self.clone() }
    }

    /// Returns whether the caller of the request in progress still waits. This asks the kernel, not the
    /// runtime, which learns of a close only between its tasks.
    pub fn presence(&self) -> Presence {
        let mut ahead = self.ahead();
        if ahead.usage.busy && !ahead.closed {
            self.read_unread(&mut ahead);
        }
        if !ahead.closed {
            return Presence::Waiting;
        }
        if let Some(server) = ahead.server.take() {
            server.wake();
        }
        Presence::Left
    }

    /// Serves the connection until its end, or until the caller leaves while a request is in progress:
    /// `server` is then to be dropped.
    pub async fn drive<S: Future>(&self, mut server: Pin<&mut S>) -> Option<S::Output> {
        std::future::poll_fn(|context| {
            loop {
                if self.poll_ahead(context).1 == Presence::Left {
                    return Poll::Ready(None);
                }
                if let Poll::Ready(output) = server.as_mut().poll(context) {
                    return Poll::Ready(Some(output));
                }
                // The server may wait for the bytes that are read here.
                let (count, presence) = self.poll_ahead(context);
                if count == 0 && presence == Presence::Waiting {
                    return Poll::Pending;
                }
            }
        })
        .await
    }

    fn ahead(&self) -> MutexGuard<'_, ReadAhead> {
        self.ahead.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads what a caller sends behind the request in progress. Returns the number of bytes.
    fn poll_ahead(&self, context: &mut Context<'_>) -> (usize, Presence) {
        let mut ahead = self.ahead();
        let held = ahead.bytes.len();
        if ahead.usage.busy && !ahead.closed {
            ahead.register(context.waker());
            while self.poll_chunk(context, &mut ahead).is_ready() && !ahead.closed {}
        }
        let presence = match ahead.usage.busy && ahead.closed {
            true => Presence::Left,
            false => Presence::Waiting,
        };
        (ahead.bytes.len() - held, presence)
    }

    fn poll_chunk(&self, context: &mut Context<'_>, ahead: &mut ReadAhead) -> Poll<()> {
        if ahead.is_full() {
            return self.poll_full(context, ahead);
        }
        ahead.full_check = None;
        let mut chunk = [0; READ_CHUNK];
        let mut buffer = ReadBuf::new(&mut chunk);
        let received = ready!(self.poll_receive(context, &mut buffer));
        ahead.record(received.map(|()| buffer.filled()));
        Poll::Ready(())
    }

    /// Checks for the end of a connection whose unread bytes cannot be held, again and again.
    fn poll_full(&self, context: &mut Context<'_>, ahead: &mut ReadAhead) -> Poll<()> {
        let check = ahead
            .full_check
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(FULL_CHECK_INTERVAL)));
        ready!(check.as_mut().poll(context));
        ahead.full_check = None;
        ahead.closed = self.is_read_closed();
        Poll::Ready(())
    }

    /// Returns whether the runtime has seen the end of the connection, behind bytes that are unread.
    fn is_read_closed(&self) -> bool {
        let ready = self.stream.ready(Interest::READABLE).now_or_never();
        ready.is_some_and(|ready| ready.is_ok_and(|ready| ready.is_read_closed()))
    }

    /// Reads the bytes that the kernel holds, up to the bound.
    fn read_unread(&self, ahead: &mut ReadAhead) {
        while !ahead.closed && !ahead.is_full() {
            let mut chunk = [0; READ_CHUNK];
            let received = io::Read::read(&mut &*SockRef::from(&self.stream), &mut chunk);
            match received {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                received => ahead.record(received.map(|count| &chunk[..count])),
            }
        }
        ahead.closed |= self.is_read_closed();
    }

    /// Reads for the HTTP server.
    fn poll_read_part(
        &self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let most = buffer.remaining().min(MAX_READ);
        loop {
            ready!(self.stream.poll_read_ready(context))?;
            match self.stream.try_read(buffer.initialize_unfilled_to(most)) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                read => {
                    buffer.advance(read?);
                    return Poll::Ready(Ok(()));
                }
            }
        }
    }

    fn poll_receive(
        &self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.stream.poll_read_ready(context))?;
            match self.stream.try_read_buf(buffer) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                read => return Poll::Ready(read.map(|_| ())),
            }
        }
    }
}

impl ReadAhead {
    fn is_full(&self) -> bool {
        self.bytes.len() + READ_CHUNK > MAX_READ_AHEAD
    }

    fn register(&mut self, waker: &Waker) {
        let known = self.server.as_ref();
        if !known.is_some_and(|known| known.will_wake(waker)) {
            self.server = Some(waker.clone());
        }
    }

    /// Records what the HTTP server has read; nothing at the end of the connection.
    fn record_read(&mut self, bytes: &[u8]) {
        // Line ends may precede a request.
        let begins = bytes.iter().any(|byte| !matches!(byte, b'\r' | b'\n'));
        if begins && !self.usage.busy {
            self.usage.begun_at.get_or_insert_with(Instant::now);
        }
        if !self.usage.busy {
            self.usage.head_bytes += bytes.len();
        }
        self.usage.received += bytes.len() as u64;
        self.usage.has_ended |= bytes.is_empty();
    }

    fn record(&mut self, received: io::Result<&[u8]>) {
        match received {
            Ok(bytes) if !bytes.is_empty() => self.bytes.extend_from_slice(bytes),
            // The connection is broken for the HTTP server as well, which gets the error.
            Ok(_) | Err(_) => self.closed = true,
        }
    }
}

/// The byte stream of a caller's connection, for the HTTP server.
#[derive(Debug)]
pub struct CallerStream(pub Arc<CallerConn>);

impl AsyncRead for CallerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut ahead = self.0.ahead();
        if !ahead.bytes.is_empty() {
            let count = ahead.bytes.len().min(buffer.remaining());
            let bytes = ahead.bytes.split_to(count);
            if ahead.bytes.is_empty() {
                // An idle connection keeps no buffer.
                ahead.bytes = BytesMut::new();
            }
            buffer.put_slice(&bytes);
            ahead.record_read(&bytes);
            return Poll::Ready(Ok(()));
        }
        if ahead.closed {
            ahead.record_read(&[]);
            return Poll::Ready(Ok(()));
        }
        let filled = buffer.filled().len();
        ready!(self.0.poll_read_part(context, buffer))?;
        ahead.record_read(&buffer.filled()[filled..]);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.0.ahead().usage.writing = true;
        let stream = &self.0.stream;
        let written = ready!(poll_io(context, stream, |stream| stream.try_write(bytes)));
        self.0.ahead().usage.idle_since = Instant::now();
        Poll::Ready(written)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.0.ahead().usage.writing = true;
        let stream = &self.0.stream;
        let written = ready!(poll_io(context, stream, |stream| {
            stream.try_write_vectored(slices)
        }));
        self.0.ahead().usage.idle_since = Instant::now();
        Poll::Ready(written)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    /// The HTTP server flushes when the kernel has taken all that it has to write.
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.0.ahead().usage.writing = false;
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&self.0.stream).shutdown(Shutdown::Write))
    }
}

/// Repeats a write until it does not block.
fn poll_io(
    context: &mut Context<'_>,
    stream: &TcpStream,
    write: impl Fn(&TcpStream) -> io::Result<usize>,
) -> Poll<io::Result<usize>> {
    loop {
        ready!(stream.poll_write_ready(context))?;
        match write(stream) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            written => return Poll::Ready(written),
        }
    }
}
