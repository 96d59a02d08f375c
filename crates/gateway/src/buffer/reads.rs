//! Counts what connections to runners have read.
//!
//! Invariants: what the buffers of a connection may hold is counted from the read until the response is taken; a
//! connection whose read does not fit is closed.

use std::sync::Arc;
use std::sync::Mutex;

use super::ReadError;
use super::Reservation;
use crate::recover::lock;

/// The bytes that a connection to a runner has read and that may still be in its buffers, counted in
/// the budget. Clones share the count.
#[derive(Clone, Debug)]
pub struct ReadReserve(Arc<Mutex<BufferedReads>>);

#[derive(Debug)]
struct BufferedReads {
    reservation: Reservation,
    /// The bytes of the last read.
    last: usize,
    in_body: bool,
    /// Whether the body has a known length.
    has_end: bool,
    is_refused: bool,
    is_closed: bool,
}

impl ReadReserve {
    pub(super) fn new(reservation: Reservation) -> ReadReserve {
        ReadReserve(Arc::new(Mutex::new(BufferedReads {
            reservation,
            last: 0,
            in_body: false,
            has_end: false,
            is_refused: false,
            is_closed: false,
        })))
    }

    /// Records that the head of a response is complete. From now on the connection reads only once its
    /// buffer is empty, so that no more than two reads are in memory: one that waits to be taken and one
    /// in the buffer.
    pub fn begin_body(&self, has_end: bool) {
        let mut reads = lock(&self.0);
        reads.has_end = has_end;
        reads.last = reads.reservation.bytes;
        reads.in_body = true;
    }

    /// Records that the connection carries no response any more.
    pub fn clear(&self) {
        let mut reads = lock(&self.0);
        reads.reservation.release();
        reads.last = 0;
        reads.in_body = false;
    }

    /// Ends the count of a connection that is being closed; its buffers are dropped unread.
    pub fn close(&self) {
        self.clear();
        lock(&self.0).is_closed = true;
    }

    /// Returns whether a read did not fit in the budget.
    pub fn is_refused(&self) -> bool {
        lock(&self.0).is_refused
    }

    /// Returns whether the next read is to wait for room: there is none for `more` bytes, and a head or a body
    /// of a known length is being read, which ends by itself.
    pub fn awaits_room(&self, more: usize, most: usize) -> bool {
        let mut reads = lock(&self.0);
        if reads.is_closed || (reads.in_body && !reads.has_end) {
            return false;
        }
        let before = if reads.in_body {
            reads.last
        } else {
            reads.reservation.bytes
        };
        let held = reads.reservation.bytes;
        let has_room = reads
            .reservation
            .resize((before + more).min(most).max(held));
        // The reservation returns to its size before the check, which always fits.
        let _ = reads.reservation.resize(held);
        has_room.is_err()
    }

    /// Counts a read. The buffers hold at most `most` bytes, whatever was read before.
    ///
    /// # Errors
    ///
    /// Fails if it does not fit in the budget; the connection is to be closed then.
    pub fn record(&self, read: usize, most: usize) -> Result<(), ReadError> {
        let mut reads = lock(&self.0);
        if reads.is_closed {
            return Err(ReadError::Broken);
        }
        let before = if reads.in_body {
            reads.last
        } else {
            reads.reservation.bytes
        };
        reads.last = read;
        let resized = reads.reservation.resize((before + read).min(most));
        reads.is_refused |= resized.is_err();
        resized
    }
}
