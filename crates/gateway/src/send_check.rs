//! A byte stream to a runner that writes a request only while its caller waits.
//!
//! Invariant: between the look at the caller's connection and the first byte of a request no other task
//! runs.

use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::task::Context;
use std::task::Poll;

use ::process::caller::CallerConn;
use ::process::caller::Presence;
use prometheus::IntCounterVec;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use crate::recover::lock;

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
    /// Nothing is to be checked.
    #[default]
    Passed,
    /// No byte of the request is written yet.
    Pending(PendingSend),
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
                Presence::Waiting => SendState::Passed,
                Presence::Left => SendState::Withheld,
            };
        }
        match *state {
            SendState::Withheld => Err(io::ErrorKind::ConnectionAborted.into()),
            SendState::Passed | SendState::Pending(_) => Ok(()),
        }
    }
}

/// The byte stream of a connection to a runner.
#[derive(Debug)]
pub struct RunnerStream {
    stream: TcpStream,
    check: SendCheck,
}

impl RunnerStream {
    /// Wraps an open connection.
    pub fn new(stream: TcpStream, check: SendCheck) -> RunnerStream {
        RunnerStream { stream, check }
    }
}

impl AsyncRead for RunnerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
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
