//! The connection of a caller, and whether the caller still waits for its response.

use std::io;
use std::io::IoSlice;
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use derive_more::Display;
use socket2::SockRef;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// What one look at a caller's connection shows.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Presence {
    /// The connection is open.
    #[display("waiting")]
    Waiting,
    /// The caller has closed or reset the connection.
    #[display("left")]
    Left,
    /// Unread bytes lie behind the request, and a close behind them is not seen.
    #[display("unknown")]
    Unknown,
}

/// The connection of one caller, shared by the HTTP server and the request in progress.
#[derive(Debug)]
pub struct CallerConn {
    stream: TcpStream,
}

impl CallerConn {
    /// Wraps an accepted connection.
    pub fn new(stream: TcpStream) -> Arc<CallerConn> {
        Arc::new(CallerConn { stream })
    }

    /// Returns whether the caller still waits. This asks the kernel, not the runtime, which learns of
    /// a close only between its tasks.
    pub fn look(&self) -> Presence {
        match SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]) {
            Ok(0) => Presence::Left,
            Ok(_) => Presence::Unknown,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Presence::Waiting,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => Presence::Unknown,
            Err(_) => Presence::Left,
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
        let stream = &self.0.stream;
        loop {
            ready!(stream.poll_read_ready(context))?;
            match stream.try_read_buf(buffer) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                read => return Poll::Ready(read.map(|_| ())),
            }
        }
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let stream = &self.0.stream;
        poll_io(context, stream, |stream| stream.try_write(bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let stream = &self.0.stream;
        poll_io(context, stream, |stream| stream.try_write_vectored(slices))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
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
