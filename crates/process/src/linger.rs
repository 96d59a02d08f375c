//! Closes a connection in stages, so that the other side can read what was written last.
//!
//! A close with unread bytes resets the connection, and so does a byte that arrives after it; what is on its way to
//! the other side is lost then. So the write side is shut down first, and the connection is read until the other
//! side has closed it as well (RFC 9112, 9.6).
//!
//! Invariants: nothing is kept of what is read; [`MAX_TIME`] and [`MAX_BYTES`] bound the close. It may be dropped at
//! any time, which closes the connection at once with its stream.
//!
//! API boundary: a server that has written its last byte calls [`close`], and drops the stream afterwards.

use std::io;
use std::net::Shutdown;
use std::time::Duration;

use derive_more::Display;
use socket2::SockRef;
use tokio::net::TcpStream;

/// The longest time for which the other side may go on sending.
pub const MAX_TIME: Duration = Duration::from_secs(2);
/// The most bytes that the other side may go on sending.
pub const MAX_BYTES: usize = 16 << 20;
/// The most bytes of one read.
const READ_BYTES: usize = 8 << 10;

/// How a close ended.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum CloseEnd {
    /// The other side has closed or reset the connection.
    #[display("closed")]
    Closed,
    /// The other side has not closed it in time.
    #[display("not closed in time")]
    TimedOut,
    /// The other side sends on and on.
    #[display("too many bytes")]
    TooLong,
}

/// What a close has dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Closed {
    /// The number of bytes that were read and dropped.
    pub bytes: usize,
    /// Why nothing further is read.
    pub end: CloseEnd,
}

/// Shuts down the write side, and drops what the other side sends until it closes the connection.
pub async fn close(stream: &TcpStream) -> Closed {
    let mut bytes = 0;
    // On a connection that is broken already, the first read fails.
    let _ = SockRef::from(stream).shutdown(Shutdown::Write);
    let ended = tokio::time::timeout(MAX_TIME, drop_bytes(stream, &mut bytes)).await;
    let end = ended.unwrap_or(CloseEnd::TimedOut);
    Closed { bytes, end }
}

async fn drop_bytes(stream: &TcpStream, bytes: &mut usize) -> CloseEnd {
    while *bytes < MAX_BYTES {
        let ready = std::future::poll_fn(|context| stream.poll_read_ready(context)).await;
        match ready.and_then(|()| read_chunk(stream)) {
            Ok(0) => return CloseEnd::Closed,
            Ok(count) => *bytes += count,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(_) => return CloseEnd::Closed,
        }
    }
    CloseEnd::TooLong
}

/// Keeps the buffer out of the future, which waits with every closing connection.
fn read_chunk(stream: &TcpStream) -> io::Result<usize> {
    stream.try_read(&mut [0; READ_BYTES])
}
