//! A byte stream to a runner that writes a request only while its caller waits.
//!
//! Invariants: between the look at the caller's connection and the first byte of a request no other task
//! runs; a connection that is given up after a request was written is reset, so that bytes which the
//! runner has not received yet are not delivered later.
//!
//! Lock order: the state of a send, then the caller's connection.

use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use ::process::caller::CallerConn;
use ::process::caller::Presence;
use prometheus::IntCounterVec;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use crate::buffer::ReadReserve;
use crate::conns::READ_BUFFER_BYTES;
use crate::recover::lock;

/// The most that a connection has read and not passed on: a part of a body that waits to be taken, and
/// a full read buffer.
const MAX_BUFFERED_BYTES: usize = 2 * READ_BUFFER_BYTES;

/// A request that is about to be written.
#[derive(Debug)]
pub struct PendingSend {
    /// The connection of the request's caller.
    pub caller: Arc<CallerConn>,
    /// Counts the request by the presence of its caller.
    pub sends: IntCounterVec,
}

/// The state of the request on a connection to a runner.
#[derive(Debug, Default)]
pub enum SendState {
    /// No request is on the connection.
    #[default]
    Idle,
    /// No byte of the request is written yet.
    Pending(PendingSend),
    /// The request was passed to the socket, and the connection is not back in the pool.
    Written,
    /// The request was not written, since its caller had left. Nothing is written any more.
    Withheld,
}

/// The state of a connection's request, shared by the connection and the attempt on it.
#[derive(Clone, Debug, Default)]
pub struct SendCheck(Arc<Mutex<SendState>>);

impl SendCheck {
    /// Announces the next request on the connection.
    pub fn announce(&self, send: PendingSend) {
        *lock(&self.0) = SendState::Pending(send);
    }

    /// Records that the connection carries no request any more.
    pub fn set_idle(&self) {
        *lock(&self.0) = SendState::Idle;
    }

    /// Returns whether the last announced request was kept from its runner.
    pub fn is_withheld(&self) -> bool {
        matches!(*lock(&self.0), SendState::Withheld)
    }

    /// Decides right before a write whether it may be made.
    fn check(&self) -> io::Result<()> {
        let mut state = lock(&self.0);
        if let SendState::Pending(send) = &*state {
            let presence = send.caller.presence();
            let text = presence.to_string();
            send.sends.with_label_values(&[text.as_str()]).inc();
            *state = match presence {
                Presence::Waiting => SendState::Written,
                Presence::Left => SendState::Withheld,
            };
        }
        match *state {
            SendState::Withheld => Err(io::ErrorKind::ConnectionAborted.into()),
            SendState::Idle | SendState::Pending(_) | SendState::Written => Ok(()),
        }
    }
}

/// The byte stream of a connection to a runner.
#[derive(Debug)]
pub struct RunnerStream {
    stream: TcpStream,
    check: SendCheck,
    reads: ReadReserve,
}

impl RunnerStream {
    /// Wraps an open connection.
    pub fn new(stream: TcpStream, check: SendCheck, reads: ReadReserve) -> RunnerStream {
        RunnerStream {
            stream,
            check,
            reads,
        }
    }
}

impl Drop for RunnerStream {
    fn drop(&mut self) {
        if matches!(*lock(&self.check.0), SendState::Written) {
            // An error means that the connection is closed already.
            let _ = self.stream.set_zero_linger();
        }
    }
}

impl AsyncRead for RunnerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let read = buffer.filled().len() - before;
        let recorded = self.reads.record(read, MAX_BUFFERED_BYTES);
        Poll::Ready(recorded.map_err(|error| io::Error::new(io::ErrorKind::OutOfMemory, error)))
    }
}

impl AsyncWrite for RunnerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check.check()?;
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.check.check()?;
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
