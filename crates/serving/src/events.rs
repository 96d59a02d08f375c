//! Splits a server-sent event stream into complete events.
//!
//! Only complete events are passed to the caller; the id of the last one is the position from which
//! the stream can be resumed.

use bytes::Bytes;
use bytes::BytesMut;
use derive_more::Display;
use derive_more::Error;

/// The largest incomplete event that is kept.
pub const MAX_EVENT_BYTES: usize = 256 << 10;

/// A runner sends bytes without end in place of an event.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("an event is longer than {MAX_EVENT_BYTES} bytes")]
pub struct EventTooLong;

/// Splits the response stream of one attempt into complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Length of the part of the buffer in which no event ends.
    scanned: usize,
    /// Start of the line that is not complete yet.
    line_start: usize,
    /// Whether an event with data was completed since this was last reset.
    pub has_new_data: bool,
    /// Whether an event without an identifier came before the first one that has one.
    first_unnumbered: bool,
    first_id: Option<u64>,
    last_id: Option<u64>,
    out_of_order: bool,
}

impl EventSplitter {
    /// Adds bytes and returns the bytes of all events that are now complete, unchanged; empty if
    /// there are none.
    ///
    /// # Errors
    ///
    /// Fails if the incomplete event is longer than [`MAX_EVENT_BYTES`]; the stream cannot be
    /// continued then.
    pub fn push(&mut self, data: &[u8]) -> Result<Bytes, EventTooLong> {
        self.buffer.extend_from_slice(data);
        let Some(end) = self.find_event_end() else {
            return self.check_length().map(|()| Bytes::new());
        };
        // The rest moves to a buffer of its own, so that it does not keep the memory of the events.
        let rest = BytesMut::from(&self.buffer[end..]);
        let mut complete = std::mem::replace(&mut self.buffer, rest);
        complete.truncate(end);
        let complete = complete.freeze();
        self.scanned -= end;
        self.line_start -= end;
        self.check_length()?;
        self.has_new_data |= has_data(&complete);
        if self.first_id.is_none() {
            self.first_unnumbered |= begins_unnumbered(&complete);
        }
        for id in ids(&complete) {
            self.out_of_order |= self.last_id.is_some_and(|last| id <= last);
            self.first_id = self.first_id.or(Some(id));
            self.last_id = Some(id);
        }
        Ok(complete)
    }

    /// Returns the position after the last blank line, which ends an event, if one was added since the
    /// last call.
    fn find_event_end(&mut self) -> Option<usize> {
        let mut end = None;
        for index in self.scanned..self.buffer.len() {
            if self.buffer[index] != b'\n' {
                continue;
            }
            let line = &self.buffer[self.line_start..index];
            if line.is_empty() || line == b"\r" {
                end = Some(index + 1);
            }
            self.line_start = index + 1;
        }
        self.scanned = self.buffer.len();
        end
    }

    fn check_length(&self) -> Result<(), EventTooLong> {
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(EventTooLong);
        }
        Ok(())
    }

    /// Returns the id of the last complete event that has a numeric one.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns the id of the first complete event, comments aside; `None` if it has no numeric one.
    pub fn first_id(&self) -> Option<u64> {
        self.first_id.filter(|_| !self.first_unnumbered)
    }

    /// Returns whether an id was not greater than the one before it.
    pub fn is_out_of_order(&self) -> bool {
        self.out_of_order
    }

    /// Returns whether the buffer holds the start of an incomplete event.
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns the memory that the buffer takes once `more` bytes have been added.
    pub fn capacity_with(&self, more: usize) -> usize {
        grown_capacity(&self.buffer, more)
    }
}

/// Returns the memory that a buffer takes once `more` bytes have been added.
pub fn grown_capacity(buffer: &BytesMut, more: usize) -> usize {
    let (len, capacity) = (buffer.len(), buffer.capacity());
    if len + more <= capacity {
        return capacity;
    }
    (len + more).max(2 * capacity)
}

/// Returns whether the first event, comments aside, has no numeric id.
fn begins_unnumbered(events: &[u8]) -> bool {
    let mut begun = false;
    for line in events.split(|byte| *byte == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if line.is_empty() && begun {
            return true;
        }
        if ids(line).next().is_some() {
            return false;
        }
        begun |= !line.is_empty() && !line.starts_with(b":");
    }
    false
}

fn has_data(events: &[u8]) -> bool {
    let mut lines = events.split(|byte| *byte == b'\n');
    lines.any(|line| line.starts_with(b"data") || line.starts_with(b"id"))
}

/// Returns the numeric ids of the events, in stream order.
fn ids(events: &[u8]) -> impl Iterator<Item = u64> {
    let lines = events.split(|byte| *byte == b'\n');
    lines.filter_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
