//! Bounds the bytes of responses that the entry holds in memory.
//!
//! Invariants: the reserved bytes of all responses together stay below the limit; a reservation is
//! released when the response has been passed on or dropped.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use bytes::BytesMut;
use derive_more::Display;
use derive_more::Error;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Body as HttpBody;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;

/// Share of the process's memory that responses may take, as a divisor.
const MEMORY_DIVISOR: usize = 4;
/// Share of the limit that one response may take, as a divisor.
const RESPONSE_DIVISOR: usize = 8;
/// The largest response, however much memory there is.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// The most parts of one response; a part of a few bytes costs as much processor time as a long one.
const MAX_PARTS: u32 = 32_768;

/// The memory for the responses of an entry.
#[derive(Debug)]
pub struct BufferBudget {
    used: AtomicUsize,
    limit: usize,
}

/// Why a response was not read to its end.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum ReadError {
    /// The response is larger, or comes in more parts, than is allowed.
    #[display("response too large")]
    TooLarge,
    /// The responses in memory leave no room for it.
    #[display("no memory for the response")]
    NoMemory,
    /// The connection broke before the end of the response.
    #[display("response broken off")]
    Broken,
}

/// A number of bytes that is taken from a budget until it is dropped.
#[derive(Debug)]
struct Reservation {
    budget: Arc<BufferBudget>,
    bytes: usize,
}

/// A complete response body, counted in its budget until it is dropped.
#[derive(Debug)]
pub struct BufferedBody {
    body: Full<Bytes>,
    _reservation: Reservation,
}

impl BufferBudget {
    /// Creates the budget of a process with this memory limit.
    pub fn new(memory_mb: u32) -> Arc<BufferBudget> {
        Arc::new(BufferBudget {
            used: AtomicUsize::new(0),
            limit: ((memory_mb as usize) << 20) / MEMORY_DIVISOR,
        })
    }

    /// Returns the number of bytes in use.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// Reads a body to its end.
    ///
    /// # Errors
    ///
    /// Fails if the body breaks off or exceeds a limit; what was read of it is dropped.
    pub async fn read(self: &Arc<Self>, mut body: Incoming) -> Result<BufferedBody, ReadError> {
        let largest = MAX_RESPONSE_BYTES.min(self.limit / RESPONSE_DIVISOR);
        let mut reservation = Reservation {
            budget: self.clone(),
            bytes: 0,
        };
        let mut bytes = BytesMut::new();
        let mut parts = 0;
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| ReadError::Broken)?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            parts += 1;
            if parts > MAX_PARTS || bytes.len() + data.len() > largest {
                return Err(ReadError::TooLarge);
            }
            reservation.grow(data.len())?;
            bytes.extend_from_slice(&data);
        }
        Ok(BufferedBody {
            body: Full::new(bytes.freeze()),
            _reservation: reservation,
        })
    }
}

impl Reservation {
    fn grow(&mut self, bytes: usize) -> Result<(), ReadError> {
        let used = self.budget.used.fetch_add(bytes, Ordering::Relaxed) + bytes;
        self.bytes += bytes;
        if used > self.budget.limit {
            return Err(ReadError::NoMemory);
        }
        Ok(())
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

impl HttpBody for BufferedBody {
    type Data = Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
