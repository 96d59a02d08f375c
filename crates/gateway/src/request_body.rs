//! Reads the bodies of requests, within a bound on the memory of all of them together.
//!
//! Invariants: a body is in memory once, in whatever parts it came; what it takes is counted from its first byte
//! until its request ends; a body that does not fit is read and dropped, so that its caller gets the refusal; one
//! that is evicted is not read any further.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use platform::ingress::LocalResponse;
use serving::config::Limits;
use spdlog::warn;

use crate::caller_memory::BodyCharge;
use crate::caller_memory::ConnMemory;
use crate::dispatch::OVERLOAD_RETRY_AFTER;
use crate::entry::Entry;
use crate::line_limits::LineCause;
use crate::unread::UnreadBody;

/// The memory that a body of a known length gets at once; a longer one gets twice as much each time.
const FIRST_BYTES: usize = 64 << 10;

/// The complete body of a request, counted in its budget until it is dropped.
#[derive(Debug, Default)]
pub(crate) struct RequestBody {
    pub(crate) bytes: Bytes,
    _charge: Option<BodyCharge>,
}

/// Why a request has no usable body.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq, Hash)]
pub(crate) enum BodyError {
    /// It exceeds the configured limit.
    #[display("body too large")]
    TooLarge,
    /// The bodies in memory leave no room for it.
    #[display("no memory for the body")]
    NoMemory,
    /// It was evicted, since it made less progress than others, which need its memory.
    #[display("evicted")]
    Evicted,
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
            BodyError::NoMemory | BodyError::Evicted => {
                LocalResponse::Refused(OVERLOAD_RETRY_AFTER)
            }
            BodyError::Timeout => LocalResponse::BodyTimeout,
            BodyError::Broken => LocalResponse::BadRequest,
            // Another entry can take it at once.
            BodyError::Stopping => LocalResponse::Refused(Duration::ZERO),
        }
    }
}

/// Reads a body to its end.
pub(crate) async fn read(body: &mut UnreadBody, limits: &Limits) -> Result<RequestBody, BodyError> {
    if body.is_end() {
        return Ok(RequestBody::default());
    }
    if body.min_length() > limits.body_bytes as u64 {
        return Err(BodyError::TooLarge);
    }
    let memory = body.memory.clone();
    let read = tokio::select! {
        biased;
        () = memory.evicted() => Err(BodyError::Evicted),
        read = read_parts(body, limits.body_bytes) => read,
        () = tokio::time::sleep(limits.read_timeout) => Err(BodyError::Timeout),
    };
    if matches!(read, Err(BodyError::Evicted | BodyError::Timeout)) {
        body.set_late();
    }
    read
}

async fn read_parts(body: &mut UnreadBody, limit: usize) -> Result<RequestBody, BodyError> {
    // At most `limit`, as was checked before.
    let declared = body.min_length() as usize;
    let mut reader = Some(BodyReader::new(body.memory.clone(), declared));
    let mut length = 0;
    while let Some(data) = body.data().await {
        let data = data?;
        length += data.len();
        if length > limit {
            return Err(BodyError::TooLarge);
        }
        let is_whole = body.is_end();
        if let Some(open) = &mut reader
            && open.push(&data, is_whole).await.is_err()
        {
            reader = None;
        }
    }
    let reader = reader.ok_or(BodyError::NoMemory)?;
    body.memory.end_body()?;
    Ok(reader.finish())
}

/// Logs and counts a body that could not be read.
pub(crate) fn record_error(entry: &Entry, id: &str, error: BodyError, answer: &LocalResponse) {
    let lines = entry.lines.admit(entry.now(), LineCause::Body(error));
    let (error, answer) = (error.to_string(), answer.to_string());
    let errors = &entry.metrics.body_errors;
    errors.with_label_values(&[error.as_str()]).inc();
    if let Some(omitted) = lines {
        warn!("request body cannot be read", kv: { id, error = error.as_str(), answer = answer.as_str(), omitted });
    }
}

/// A body that is being read.
struct BodyReader {
    bytes: Vec<u8>,
    charge: BodyCharge,
    /// The length of the body; 0 if it is not known.
    declared: usize,
}

impl BodyReader {
    fn new(memory: Arc<ConnMemory>, declared: usize) -> BodyReader {
        BodyReader {
            bytes: Vec::new(),
            charge: BodyCharge::new(memory),
            declared,
        }
    }

    /// Adds a part, as soon as there is memory for it. `is_whole` says that it is the last one.
    async fn push(&mut self, data: &[u8], is_whole: bool) -> Result<(), BodyError> {
        let length = self.bytes.len() + data.len();
        if length > self.bytes.capacity() {
            let capacity = self.next_capacity(length);
            self.charge.grow(capacity, is_whole).await?;
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }

    fn next_capacity(&self, length: usize) -> usize {
        let doubled = length.max(2 * self.bytes.capacity());
        match self.declared {
            0 => doubled,
            declared => doubled.max(FIRST_BYTES).min(declared),
        }
    }

    fn finish(self) -> RequestBody {
        RequestBody {
            bytes: self.bytes.into(),
            _charge: Some(self.charge),
        }
    }
}
