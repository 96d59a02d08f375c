//! A connection of a caller that is not read while it is idle, so that its close shows only to the next request.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Holds back what a connection receives until the next write.
#[derive(Clone, Default)]
pub struct ReadHold(Arc<Mutex<State>>);

#[derive(Default)]
struct State {
    held: bool,
    reader: Option<Waker>,
}

impl ReadHold {
    /// Holds reads until the next write.
    pub fn set(&self) {
        self.state().held = true;
    }

    fn release(&self) {
        let mut state = self.state();
        state.held = false;
        if let Some(reader) = state.reader.take() {
            reader.wake();
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().expect("no panics under the lock")
    }
}

/// A stream whose reads can be held.
pub struct HeldStream {
    stream: TcpStream,
    hold: ReadHold,
}

impl HeldStream {
    /// Creates a stream with the hold that its caller uses.
    pub fn new(stream: TcpStream, hold: ReadHold) -> HeldStream {
        HeldStream { stream, hold }
    }
}

impl AsyncRead for HeldStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut state = self.hold.state();
        if state.held {
            state.reader = Some(cx.waker().clone());
            return Poll::Pending;
        }
        drop(state);
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for HeldStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        if written.is_ready() {
            self.hold.release();
        }
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
