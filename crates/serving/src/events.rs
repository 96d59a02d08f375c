//! Splits a server-sent event stream into complete events.
//!
//! Only complete events are passed to the caller; the id of the last one is the position from which
//! the stream can be resumed.

use bytes::Bytes;
use bytes::BytesMut;

/// Splits the response stream of one attempt into complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    first_id: Option<u64>,
    last_id: Option<u64>,
    out_of_order: bool,
}

impl EventSplitter {
    /// Adds bytes and returns the bytes of all events that are now complete, unchanged; empty if
    /// there are none.
    pub fn push(&mut self, data: &[u8]) -> Bytes {
        self.buffer.extend_from_slice(data);
        let Some(end) = event_end(&self.buffer) else {
            return Bytes::new();
        };
        let complete = self.buffer.split_to(end).freeze();
        for id in ids(&complete) {
            self.out_of_order |= self.last_id.is_some_and(|last| id <= last);
            self.first_id = self.first_id.or(Some(id));
            self.last_id = Some(id);
        }
        complete
    }

    /// Returns the id of the last complete event that has a numeric one.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns the id of the first complete event that has a numeric one.
    pub fn first_id(&self) -> Option<u64> {
        self.first_id
    }

    /// Returns whether an id was not greater than the one before it.
    pub fn is_out_of_order(&self) -> bool {
        self.out_of_order
    }

    /// Returns whether the buffer holds the start of an incomplete event.
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }
}

/// Returns the position after the last blank line, which ends an event; `None` if there is none.
fn event_end(data: &[u8]) -> Option<usize> {
    let mut end = None;
    let mut line_start = 0;
    for (index, byte) in data.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &data[line_start..index];
        if line.is_empty() || line == b"\r" {
            end = Some(index + 1);
        }
        line_start = index + 1;
    }
    end
}

/// Returns the numeric ids of the events, in stream order.
fn ids(events: &[u8]) -> impl Iterator<Item = u64> {
    let lines = events.split(|byte| *byte == b'\n');
    lines.filter_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
