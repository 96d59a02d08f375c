//! Whole events of a stream: only these are delivered, and the last one's id allows a resume.

use bytes::Bytes;
use bytes::BytesMut;

/// Splits the bytes of one run's stream into whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    rest: BytesMut,
    first: Option<u64>,
    last: Option<u64>,
    disordered: bool,
}

impl EventSplitter {
    /// Adds bytes and returns all events that are whole now, unchanged; empty if there are none.
    pub fn push(&mut self, data: &[u8]) -> Bytes {
        self.rest.extend_from_slice(data);
        let Some(end) = event_end(&self.rest) else {
            return Bytes::new();
        };
        let whole = self.rest.split_to(end).freeze();
        for id in ids(&whole) {
            self.disordered |= self.last.is_some_and(|last| id <= last);
            self.first = self.first.or(Some(id));
            self.last = Some(id);
        }
        whole
    }

    /// Returns the id of the last whole event.
    pub fn last_id(&self) -> Option<u64> {
        self.last
    }

    /// Returns the id of the first whole event.
    pub fn first_id(&self) -> Option<u64> {
        self.first
    }

    /// Returns whether an id did not rise.
    pub fn is_out_of_order(&self) -> bool {
        self.disordered
    }

    /// Returns whether part of an event is left over.
    pub fn has_partial_event(&self) -> bool {
        !self.rest.is_empty()
    }
}

/// Returns the position after the last blank line.
fn event_end(data: &[u8]) -> Option<usize> {
    let mut end = None;
    let mut line = 0;
    for (index, byte) in data.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let text = &data[line..index];
        if text.is_empty() || text == b"\r" {
            end = Some(index + 1);
        }
        line = index + 1;
    }
    end
}

/// Returns the ids that the events name, in their order.
fn ids(events: &[u8]) -> impl Iterator<Item = u64> {
    let lines = events.split(|byte| *byte == b'\n');
    lines.filter_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
