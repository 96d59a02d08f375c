//! The connections of operators' tools, bounded in number, in time and in what they may send.
//!
//! Invariants: at most [`MAX_CONNS`] connections are open; one that sends more than [`MAX_REQUEST_BYTES`], or takes
//! longer than its time limit, without taking a part of an answer, is broken off.
//!
//! API boundary: [`crate::ops`] serves the connections that an [`OpsListener`] accepts.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::time::Instant;
use tokio::time::Sleep;

/// The most connections that are open; further ones wait in the listener's queue.
pub const MAX_CONNS: usize = 64;
/// The most bytes of one request.
pub const MAX_REQUEST_BYTES: usize = 16 << 10;
/// The time from the opening to the first answer.
pub const FIRST_TIMEOUT: Duration = Duration::from_secs(5);
/// The time from one answer to the next one, since tools keep their connections between two scrapes.
pub const NEXT_TIMEOUT: Duration = Duration::from_secs(60);

/// Accepts the connections of tools.
pub(crate) struct OpsListener {
    listener: TcpListener,
    places: Arc<Semaphore>,
}

/// The connection of a tool, which holds its place until it is dropped.
pub(crate) struct OpsStream {
    stream: TcpStream,
    /// When the connection is broken off.
    expiry: Pin<Box<Sleep>>,
    /// The bytes that were read since the last answer.
    unanswered: usize,
    _place: OwnedSemaphorePermit,
}

impl OpsListener {
    pub(crate) fn new(listener: TcpListener) -> OpsListener {
        OpsListener {
            listener,
            places: Arc::new(Semaphore::new(MAX_CONNS)),
        }
    }
}

impl viz::Listener for OpsListener {
    type Io = OpsStream;
    type Addr = SocketAddr;

    async fn accept(&self) -> io::Result<(OpsStream, SocketAddr)> {
        let place = self.places.clone().acquire_owned().await;
        let place = place.map_err(io::Error::other)?;
        let (stream, addr) = self.listener.accept().await?;
        let stream = OpsStream {
            stream,
            expiry: Box::pin(tokio::time::sleep(FIRST_TIMEOUT)),
            unanswered: 0,
            _place: place,
        };
        Ok((stream, addr))
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }
}

impl OpsStream {
    fn check_expiry(&mut self, context: &mut Context<'_>) -> io::Result<()> {
        match self.expiry.as_mut().poll(context) {
            Poll::Ready(()) => Err(io::ErrorKind::TimedOut.into()),
            Poll::Pending => Ok(()),
        }
    }

    fn record_write(&mut self) {
        self.unanswered = 0;
        let next = Instant::now() + NEXT_TIMEOUT;
        self.expiry.as_mut().reset(next);
    }
}

impl AsyncRead for OpsStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.check_expiry(context)?;
        let filled = buffer.filled().len();
        std::task::ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        self.unanswered += buffer.filled().len() - filled;
        if self.unanswered > MAX_REQUEST_BYTES {
            return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for OpsStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check_expiry(context)?;
        let written = std::task::ready!(Pin::new(&mut self.stream).poll_write(context, bytes))?;
        self.record_write();
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
