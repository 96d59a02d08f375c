//! Reads the bodies of requests, within a bound on the memory of all of them together.
//!
//! Invariants: a body is in memory once, in whatever parts it came; what it takes beyond [`FREE_KB`]
//! is counted until its request ends; a body that does not fit is read and dropped, so that its caller
//! gets the refusal.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use derive_more::Display;
use derive_more::Error;
use platform::ingress::LocalResponse;
use serving::config::Limits;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

use crate::dispatch::OVERLOAD_RETRY_AFTER;
use crate::unread::UnreadBody;

/// Share of the process's memory that the bodies of requests may take, as a divisor.
const MEMORY_DIVISOR: usize = 3;
/// The part of a body that is not counted, in KiB: each request in progress may have so much.
const FREE_KB: usize = 32;

/// The memory for the bodies of an entry's requests.
#[derive(Debug)]
pub struct BodyBudget {
    /// One permit for each KiB.
    permits: Arc<Semaphore>,
}

/// The complete body of a request, counted in its budget until it is dropped.
#[derive(Debug, Default)]
pub(crate) struct RequestBody {
    pub(crate) bytes: Bytes,
    _permit: Option<OwnedSemaphorePermit>,
}

/// Why a request has no usable body.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub(crate) enum BodyError {
    /// It exceeds the configured limit.
    #[display("body too large")]
    TooLarge,
    /// The bodies in memory leave no room for it.
    #[display("no memory for the body")]
    NoMemory,
    /// It did not arrive within the time limit.
    #[display("body timeout")]
    Timeout,
    /// The connection broke before its end.
    #[display("body broken off")]
    Broken,
    /// The stopping entry ends the requests in progress.
    #[display("entry stopping")]
    Stopping,
}

impl From<BodyError> for LocalResponse {
    fn from(error: BodyError) -> LocalResponse {
        match error {
            BodyError::TooLarge => LocalResponse::BodyTooLarge,
            BodyError::NoMemory => LocalResponse::Refused(OVERLOAD_RETRY_AFTER),
            BodyError::Timeout => LocalResponse::BodyTimeout,
            BodyError::Broken => LocalResponse::BadRequest,
            // Another entry can take it at once.
            BodyError::Stopping => LocalResponse::Refused(Duration::ZERO),
        }
    }
}

impl BodyBudget {
    /// Creates the budget of a process with this memory limit.
    pub fn new(memory_mb: u32) -> BodyBudget {
        let permits = (memory_mb as usize).saturating_mul(1_024) / MEMORY_DIVISOR;
        BodyBudget {
            permits: Arc::new(Semaphore::new(permits.min(Semaphore::MAX_PERMITS))),
        }
    }

    /// Reads a body to its end.
    pub(crate) async fn read(
        &self,
        body: &mut UnreadBody,
        limits: &Limits,
    ) -> Result<RequestBody, BodyError> {
        if body.is_end() {
            return Ok(RequestBody::default());
        }
        if body.min_length() > limits.body_bytes as u64 {
            return Err(BodyError::TooLarge);
        }
        let read = self.read_parts(body, limits.body_bytes);
        let read = tokio::time::timeout(limits.read_timeout, read).await;
        read.unwrap_or_else(|_| {
            body.set_late();
            Err(BodyError::Timeout)
        })
    }

    async fn read_parts(
        &self,
        body: &mut UnreadBody,
        limit: usize,
    ) -> Result<RequestBody, BodyError> {
        let mut reader = BodyReader::new(&self.permits);
        // At most `limit`, as was checked before.
        let declared = body.min_length() as usize;
        let mut is_full = reader.reserve(declared).is_err();
        let mut length = 0;
        while let Some(data) = body.data().await {
            let data = data?;
            length += data.len();
            if length > limit {
                return Err(BodyError::TooLarge);
            }
            is_full = is_full || reader.push(&data).is_err();
            if is_full {
                reader = BodyReader::new(&self.permits);
            }
        }
        if is_full {
            return Err(BodyError::NoMemory);
        }
        Ok(reader.finish())
    }
}

/// A body that is being read.
struct BodyReader<'a> {
    budget: &'a Arc<Semaphore>,
    bytes: BytesMut,
    permit: Option<OwnedSemaphorePermit>,
}

impl BodyReader<'_> {
    fn new(budget: &Arc<Semaphore>) -> BodyReader<'_> {
        BodyReader {
            budget,
            bytes: BytesMut::new(),
            permit: None,
        }
    }

    /// Makes room for so many bytes in all.
    fn reserve(&mut self, capacity: usize) -> Result<(), BodyError> {
        let held = self
            .permit
            .as_ref()
            .map_or(0, OwnedSemaphorePermit::num_permits);
        let wanted = capacity.div_ceil(1_024).saturating_sub(FREE_KB);
        if wanted > held {
            let more = u32::try_from(wanted - held).map_err(|_| BodyError::NoMemory)?;
            let more = self.budget.clone().try_acquire_many_owned(more);
            let more = more.map_err(|_| BodyError::NoMemory)?;
            match &mut self.permit {
                Some(permit) => permit.merge(more),
                None => self.permit = Some(more),
            }
        }
        self.bytes
            .reserve(capacity.saturating_sub(self.bytes.len()));
        Ok(())
    }

    fn push(&mut self, data: &[u8]) -> Result<(), BodyError> {
        let length = self.bytes.len() + data.len();
        if length > self.bytes.capacity() {
            self.reserve(length.max(2 * self.bytes.capacity()))?;
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }

    fn finish(self) -> RequestBody {
        RequestBody {
            bytes: self.bytes.freeze(),
            _permit: self.permit,
        }
    }
}
