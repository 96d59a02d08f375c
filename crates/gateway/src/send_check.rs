//! A byte stream to a runner that writes a request only while its caller waits and the runner has not
//! closed the connection.
//!
//! Invariants: between the look at both connections and the first byte of a request no other task
//! runs; a send that has ended without a byte writes none later, so that its request has not run; the end
//! of a connection on which a write has failed is never read like a proper one; a
//! connection that is given up after a request was written is reset, so that bytes which the runner has
//! not received yet are not delivered later.
//!
//! Lock order: the state of a send, then the caller's connection.

use std::io;
use std::io::IoSlice;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use ::process::caller::CallerConn;
use ::process::caller::Presence;
use derive_more::Display;
use prometheus::IntCounterVec;
use socket2::SockRef;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Sleep;

use crate::buffer::ROOM_CHECK_INTERVAL;
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
    /// The request was not written. Nothing is written any more.
    Withheld(Withhold),
}

/// Why a request was not written.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Withhold {
    /// Its caller had left.
    #[display("caller left")]
    CallerLeft,
    /// The runner had closed the connection, or sent bytes that answer no request.
    #[display("connection closed")]
    Closed,
    /// The attempt was given up before.
    #[display("given up")]
    GivenUp,
    /// A newer version of its adapter is mandatory.
    #[display("version outdated")]
    VersionOutdated,
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

    /// Returns whether the connection carries no request.
    fn is_idle(&self) -> bool {
        matches!(*lock(&self.0), SendState::Idle)
    }

    /// Ends the send of the last announced request; returns why it was not written, and never will be, or
    /// `None` if a part of it was.
    pub fn end(&self) -> Option<Withhold> {
        let mut state = lock(&self.0);
        if let SendState::Pending(_) = *state {
            *state = SendState::Withheld(Withhold::GivenUp);
        }
        match *state {
            SendState::Withheld(cause) => Some(cause),
            SendState::Idle | SendState::Pending(_) | SendState::Written => None,
        }
    }

    /// Writes to the stream, unless a request that is not begun must not be written.
    fn write(
        &self,
        stream: &mut TcpStream,
        write: impl FnOnce(Pin<&mut TcpStream>) -> Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        let mut state = lock(&self.0);
        let send = match &*state {
            SendState::Idle | SendState::Written => {
                drop(state);
                return write(Pin::new(stream));
            }
            SendState::Withheld(_) => {
                return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
            }
            SendState::Pending(send) => send,
        };
        let presence = send.caller.presence();
        let written = match presence {
            Presence::Left => Err(Withhold::CallerLeft),
            Presence::Waiting if has_ended(stream) => Err(Withhold::Closed),
            // The kernel has taken nothing if it reports an error.
            Presence::Waiting => match ready!(write(Pin::new(stream))) {
                Ok(count) if count > 0 => Ok(count),
                Ok(_) | Err(_) => Err(Withhold::Closed),
            },
        };
        let text = presence.to_string();
        send.sends.with_label_values(&[text.as_str()]).inc();
        Poll::Ready(match written {
            Ok(count) => {
                *state = SendState::Written;
                Ok(count)
            }
            Err(cause) => {
                *state = SendState::Withheld(cause);
                Err(io::ErrorKind::ConnectionAborted.into())
            }
        })
    }
}

/// Returns whether the peer has closed a connection that carries no request, or sent bytes on it. This
/// asks the kernel, not the runtime, which learns of it only between its tasks.
fn has_ended(stream: &TcpStream) -> bool {
    let peeked = SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]);
    !peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
}

/// The byte stream of a connection to a runner.
#[derive(Debug)]
pub struct RunnerStream {
    stream: TcpStream,
    check: SendCheck,
    reads: ReadReserve,
    /// Whether a write has failed. The kernel reports a reset once, to a write or to a read.
    is_broken: bool,
    /// Set while a read waits for room.
    room_check: Option<Pin<Box<Sleep>>>,
}

impl RunnerStream {
    /// Wraps an open connection.
    pub fn new(stream: TcpStream, check: SendCheck, reads: ReadReserve) -> RunnerStream {
        RunnerStream {
            stream,
            check,
            reads,
            is_broken: false,
            room_check: None,
        }
    }

    fn record_write(&mut self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        self.is_broken |= matches!(written, Poll::Ready(Err(_)));
        written
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
        let more = buffer.remaining().min(READ_BUFFER_BYTES);
        while !self.check.is_idle() && self.reads.awaits_room(more, MAX_BUFFERED_BYTES) {
            let check = self
                .room_check
                .get_or_insert_with(|| Box::pin(tokio::time::sleep(ROOM_CHECK_INTERVAL)));
            ready!(check.as_mut().poll(context));
            self.room_check = None;
        }
        let before = buffer.filled().len();
        let has_room = buffer.remaining() > 0;
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let read = buffer.filled().len() - before;
        if self.is_broken && has_room && read == 0 {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
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
        let this = &mut *self;
        let write = |stream: Pin<&mut TcpStream>| stream.poll_write(context, bytes);
        let written = this.check.write(&mut this.stream, write);
        this.record_write(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        let write = |stream: Pin<&mut TcpStream>| stream.poll_write_vectored(context, slices);
        let written = this.check.write(&mut this.stream, write);
        this.record_write(written)
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
