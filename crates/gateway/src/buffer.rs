//! Bounds the bytes of responses that the entry holds in memory.
//!
//! Invariants: the reserved bytes of all responses together stay below the limit; a reservation is
//! released when the response has been passed on or dropped; the less memory is free, the less one
//! response may hold, so that many large ones leave room for small ones; a response that finds no room
//! waits for it, and is not read meanwhile, unless it has no known end and holds more than others do.

mod reads;

use std::ops::DerefMut;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use derive_more::Deref;
use derive_more::Display;
use derive_more::Error;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Body as HttpBody;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use serving::events;
use serving::events::EventSplitter;
use serving::events::EventTooLong;
use serving::fleet::HealthSignal;

pub use reads::ReadReserve;

/// Share of the process's memory that responses may take, as a divisor.
const MEMORY_DIVISOR: usize = 4;
/// Share of the memory that others leave which one response may take, as a divisor.
const RESPONSE_DIVISOR: usize = 8;
/// The largest response, however much memory there is.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// The most parts of one response; a part of a few bytes costs as much processor time as a long one.
const MAX_PARTS: u32 = 32_768;

/// The interval at which a response that waits for room looks for it.
pub(crate) const ROOM_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Share of the memory that responses of a known length may claim, as a divisor.
const CLAIM_DIVISOR: usize = 2;

/// The memory for the responses of an entry.
#[derive(Debug)]
pub struct BufferBudget {
    used: AtomicUsize,
    /// The number of reservations that are not empty.
    holders: AtomicUsize,
    /// The memory that responses of a known length wait for.
    claimed: AtomicUsize,
    /// Whether a response found no room since this was last asked.
    was_short: AtomicBool,
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
    /// A stream has an event without end.
    #[display("{_0}")]
    Event(EventTooLong),
}

impl ReadError {
    /// Returns what the error says about the runner.
    pub fn health_signal(self) -> HealthSignal {
        match self {
            ReadError::NoMemory => HealthSignal::Neutral,
            ReadError::TooLarge | ReadError::Broken | ReadError::Event(_) => HealthSignal::Failed,
        }
    }
}

/// A number of bytes that is taken from a budget until it is dropped.
#[derive(Debug)]
struct Reservation {
    budget: Arc<BufferBudget>,
    bytes: usize,
}

/// Memory that others leave to a response that waits for it, until this is dropped.
struct Claim<'a> {
    budget: &'a BufferBudget,
    bytes: usize,
}

/// Bytes that are counted in their budget until they are dropped.
struct ReservedBytes {
    bytes: Bytes,
    _reservation: Reservation,
}

/// The events of one response stream. The incomplete event is counted in the budget, and so are the
/// complete ones until the caller has them.
#[derive(Debug, Deref)]
pub struct StreamEvents {
    #[deref]
    splitter: EventSplitter,
    partial: Reservation,
}

/// Complete events that are held back, counted in the budget.
#[derive(Debug)]
pub struct KeptEvents {
    bytes: BytesMut,
    reservation: Reservation,
}

/// A complete response body, counted in its budget until its bytes are written or dropped.
#[derive(Debug)]
pub struct BufferedBody {
    body: Full<Bytes>,
}

impl BufferBudget {
    /// Creates the budget of a process with this memory limit.
    pub fn new(memory_mb: u32) -> Arc<BufferBudget> {
        Arc::new(BufferBudget {
            used: AtomicUsize::new(0),
            holders: AtomicUsize::new(0),
            claimed: AtomicUsize::new(0),
            was_short: AtomicBool::new(false),
            limit: ((memory_mb as usize) << 20) / MEMORY_DIVISOR,
        })
    }

    /// Returns the number of bytes in use.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// Returns whether a response found no room since the last call.
    pub(crate) fn take_shortage(&self) -> bool {
        self.was_short.swap(false, Ordering::Relaxed)
    }

    /// Reads a body to its end.
    ///
    /// # Errors
    ///
    /// Fails if the body breaks off or exceeds a limit; what was read of it is dropped.
    pub async fn read(self: &Arc<Self>, mut body: Incoming) -> Result<BufferedBody, ReadError> {
        let largest = MAX_RESPONSE_BYTES.min(self.limit / RESPONSE_DIVISOR);
        let mut reservation = self.reserve_none();
        let mut bytes = BytesMut::new();
        let length = body.size_hint().exact();
        let length = length.map(|length| usize::try_from(length).unwrap_or(usize::MAX));
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
            let more = bytes.len() + data.len();
            match length {
                Some(length) if length <= largest => reservation.claim(more, length).await,
                _ => reservation.grow(more).await?,
            }
            bytes.extend_from_slice(&data);
        }
        let bytes = Bytes::from_owner(ReservedBytes {
            bytes: bytes.freeze(),
            _reservation: reservation,
        });
        Ok(BufferedBody {
            body: Full::new(bytes),
        })
    }

    /// Starts to split a stream into events.
    pub fn split_events(self: &Arc<Self>) -> StreamEvents {
        StreamEvents {
            splitter: EventSplitter::default(),
            partial: self.reserve_none(),
        }
    }

    /// Starts to count the reads of a connection.
    pub fn count_reads(self: &Arc<Self>) -> ReadReserve {
        ReadReserve::new(self.reserve_none())
    }

    /// Makes others leave room.
    fn claim(&self, bytes: usize) -> Claim<'_> {
        self.claimed.fetch_add(bytes, Ordering::Relaxed);
        Claim {
            budget: self,
            bytes,
        }
    }

    /// Returns whether so many bytes are more than the others hold on average.
    fn is_large(&self, bytes: usize) -> bool {
        let holders = self.holders.load(Ordering::Relaxed).max(1);
        bytes.saturating_mul(holders) > self.used()
    }

    /// Returns the limit for responses that claim nothing.
    fn unclaimed(&self) -> usize {
        let claimed = self.claimed.load(Ordering::Relaxed);
        self.limit - claimed.min(self.limit / CLAIM_DIVISOR)
    }

    fn reserve_none(self: &Arc<Self>) -> Reservation {
        Reservation {
            budget: self.clone(),
            bytes: 0,
        }
    }
}

impl StreamEvents {
    /// Starts to hold back events of this stream.
    pub fn keep_events(&self) -> KeptEvents {
        KeptEvents {
            bytes: BytesMut::new(),
            reservation: self.partial.budget.reserve_none(),
        }
    }

    /// Waits until there is room for so many bytes more; [`push`](Self::push) finds it then.
    ///
    /// # Errors
    ///
    /// Fails if there is none, and the incomplete event takes more than others do.
    pub async fn reserve(&mut self, more: usize) -> Result<(), ReadError> {
        let bytes = self.splitter.capacity_with(more);
        self.partial.grow(bytes).await
    }

    /// Adds bytes and returns all events that are now complete; empty if there are none.
    ///
    /// # Errors
    ///
    /// Fails if an event is too long or does not fit in the budget; the stream cannot be continued
    /// then.
    pub fn push(&mut self, data: &[u8]) -> Result<Bytes, ReadError> {
        self.partial
            .resize(self.splitter.capacity_with(data.len()))?;
        let events = self.splitter.push(data).map_err(ReadError::Event)?;
        if events.is_empty() {
            return Ok(events);
        }
        let passed_on = self
            .partial
            .bytes
            .saturating_sub(self.splitter.capacity_with(0));
        Ok(Bytes::from_owner(ReservedBytes {
            bytes: events,
            _reservation: self.partial.split_off(passed_on),
        }))
    }
}

impl KeptEvents {
    /// Waits until there is room for so many bytes more; [`push`](Self::push) finds it then.
    ///
    /// # Errors
    ///
    /// Fails if there is none, and the events take more than others do.
    pub async fn reserve(&mut self, more: usize) -> Result<(), ReadError> {
        let bytes = events::grown_capacity(&self.bytes, more);
        self.reservation.grow(bytes).await
    }

    /// Adds events.
    ///
    /// # Errors
    ///
    /// Fails if they do not fit in the budget.
    pub fn push(&mut self, events: &[u8]) -> Result<(), ReadError> {
        self.reservation
            .resize(events::grown_capacity(&self.bytes, events.len()))?;
        self.bytes.extend_from_slice(events);
        Ok(())
    }

    /// Returns all events and forgets them.
    pub fn take(&mut self) -> Bytes {
        let reserved = self.reservation.bytes;
        Bytes::from_owner(ReservedBytes {
            bytes: std::mem::take(&mut self.bytes).freeze(),
            _reservation: self.reservation.split_off(reserved),
        })
    }

    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns whether there are none.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }
}

impl DerefMut for StreamEvents {
    fn deref_mut(&mut self) -> &mut EventSplitter {
        &mut self.splitter
    }
}

impl Reservation {
    /// Changes the number of bytes, unless the rest of the budget is too small for more.
    fn resize(&mut self, bytes: usize) -> Result<(), ReadError> {
        let limit = self.budget.limit;
        self.resize_within(bytes, limit)
    }

    /// Changes the number of bytes as soon as there is room.
    ///
    /// # Errors
    ///
    /// Fails if there is none, and these are more bytes than others hold.
    async fn grow(&mut self, bytes: usize) -> Result<(), ReadError> {
        loop {
            let limit = self.budget.unclaimed();
            match self.resize_within(bytes, limit) {
                Err(error) if self.budget.is_large(bytes) => return Err(error),
                Err(_) => tokio::time::sleep(ROOM_CHECK_INTERVAL).await,
                Ok(()) => return Ok(()),
            }
        }
    }

    /// Does the same for a part of a response of a known length, which is not ended for another one. If it
    /// finds no room, it waits for that of the whole response, so that it need not wait again.
    async fn claim(&mut self, bytes: usize, length: usize) {
        if bytes <= self.bytes || self.resize(bytes).is_ok() {
            return;
        }
        let budget = self.budget.clone();
        let _claim = budget.claim(length.saturating_mul(RESPONSE_DIVISOR));
        while self.resize(length.max(bytes)).is_err() {
            tokio::time::sleep(ROOM_CHECK_INTERVAL).await;
        }
    }

    fn resize_within(&mut self, bytes: usize, limit: usize) -> Result<(), ReadError> {
        let Some(more) = bytes.checked_sub(self.bytes) else {
            let less = self.bytes - bytes;
            self.budget.used.fetch_sub(less, Ordering::Relaxed);
            self.set_bytes(bytes);
            return Ok(());
        };
        let used = self.budget.used.fetch_add(more, Ordering::Relaxed) + more;
        let left = (limit + bytes).saturating_sub(used);
        if more > 0 && bytes > left / RESPONSE_DIVISOR {
            self.budget.used.fetch_sub(more, Ordering::Relaxed);
            self.budget.was_short.store(true, Ordering::Relaxed);
            return Err(ReadError::NoMemory);
        }
        self.set_bytes(bytes);
        Ok(())
    }

    fn release(&mut self) {
        self.budget.used.fetch_sub(self.bytes, Ordering::Relaxed);
        self.set_bytes(0);
    }

    /// Sets the number of bytes, and counts those who hold some.
    fn set_bytes(&mut self, bytes: usize) {
        match (self.bytes, bytes) {
            (0, 1..) => self.budget.holders.fetch_add(1, Ordering::Relaxed),
            (1.., 0) => self.budget.holders.fetch_sub(1, Ordering::Relaxed),
            (0, 0) | (1.., 1..) => 0,
        };
        self.bytes = bytes;
    }

    /// Moves a part of the bytes to a reservation of its own.
    fn split_off(&mut self, bytes: usize) -> Reservation {
        let bytes = bytes.min(self.bytes);
        self.set_bytes(self.bytes - bytes);
        let mut other = self.budget.reserve_none();
        other.set_bytes(bytes);
        other
    }
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for Claim<'_> {
    fn drop(&mut self) {
        self.budget.claimed.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.release();
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
