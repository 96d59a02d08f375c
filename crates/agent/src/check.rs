//! Checks an engine's response before any of it is passed on.

use std::borrow::Cow;

use bytes::Bytes;
use bytes::BytesMut;
use decision::ids::Name;
use decision::job::Failure;
use serde::Deserialize;
use serde::de::IgnoredAny;

/// The largest response that is not an event stream, and the largest single event of a stream.
const MAX_BUFFERED_BYTES: usize = 16 << 20;

/// How much of an engine's error body is passed on.
const MAX_MESSAGE_BYTES: usize = 512;

/// The data of the event that ends a complete stream.
const DONE_DATA: &[u8] = b"[DONE]";

/// The checked fields of a response, or of one event of a stream.
#[derive(Deserialize)]
struct CheckedFields<'a> {
    #[serde(borrow, default)]
    model: Option<Cow<'a, str>>,
    #[serde(default)]
    error: Option<IgnoredAny>,
}

/// Checks one response and releases the complete parts that name the requested version or model.
#[derive(Debug)]
pub struct ResponseCheck {
    /// The name that the response must carry.
    served_name: Name,
    /// The data received and not yet released.
    buffer: BytesMut,
    /// The length of the prefix of `buffer` that was searched for the end of an event.
    searched: usize,
    format: Format,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Format {
    /// One JSON document.
    Document,
    /// Server-sent events.
    Events {
        /// Whether an event named the served name.
        named: bool,
        /// Whether the event that ends the stream arrived.
        done: bool,
    },
}

impl ResponseCheck {
    /// Creates the check of a response with this content type, which must name `served_name`.
    pub fn new(served_name: Name, content_type: &str) -> Self {
        let is_event_stream = content_type.trim_start().starts_with("text/event-stream");
        ResponseCheck {
            served_name,
            buffer: BytesMut::new(),
            searched: 0,
            format: if is_event_stream {
                Format::Events {
                    named: false,
                    done: false,
                }
            } else {
                Format::Document
            },
        }
    }

    /// Adds a chunk of the body and returns the data that may be passed on now.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::WrongAdapter`] if an event names something else than the served name or the
    /// stream ends without naming it, [`Failure::Status`] if an event is an error, and
    /// [`Failure::Truncated`] if an event is not JSON or is longer than 16 MiB.
    pub fn feed(&mut self, data: &[u8]) -> Result<Option<Bytes>, Failure> {
        self.buffer.extend_from_slice(data);
        let Format::Events { named, done } = self.format else {
            return self.within_limit();
        };
        let (mut named, mut done) = (named, done);
        let mut checked = 0;
        while let Some(end) = event_end(&self.buffer, checked, self.searched) {
            let event = &self.buffer[checked..end];
            match event_data(event) {
                None => {}
                Some(data) if *data == *DONE_DATA => done = true,
                Some(data) => {
                    check_document(&data, &self.served_name)?;
                    named = true;
                }
            }
            checked = end;
        }
        self.searched = self.buffer.len();
        self.format = Format::Events { named, done };
        // Comments before the first named event are held back until that event arrives.
        if checked == 0 || !(named || done) {
            return self.within_limit();
        }
        if done && !named {
            return Err(Failure::WrongAdapter(String::new()));
        }
        self.searched -= checked;
        Ok(Some(self.buffer.split_to(checked).freeze()))
    }

    /// Ends the body and returns the remaining data that may be passed on.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Truncated`] if the response is incomplete. A document also fails if it does
    /// not name the served name, with the same errors as in [`ResponseCheck::feed`].
    pub fn finish(&mut self) -> Result<Option<Bytes>, Failure> {
        match self.format {
            Format::Events { done: true, .. } => Ok(None),
            Format::Events { .. } => Err(Failure::Truncated),
            Format::Document => {
                check_document(&self.buffer, &self.served_name)?;
                Ok(Some(self.buffer.split().freeze()))
            }
        }
    }

    fn within_limit(&self) -> Result<Option<Bytes>, Failure> {
        if self.buffer.len() > MAX_BUFFERED_BYTES {
            return Err(Failure::Truncated);
        }
        Ok(None)
    }
}

/// Returns the first 512 bytes of an engine's error body, as the message for the caller.
pub fn error_message(body: &[u8]) -> String {
    let end = body.len().min(MAX_MESSAGE_BYTES);
    String::from_utf8_lossy(&body[..end]).into_owned()
}

/// Returns the end of the first complete event at or after `from`, past the blank line that ends it.
/// The first `searched` bytes are known to contain no such end, so a long event that arrives in many
/// chunks is searched only once.
fn event_end(data: &[u8], from: usize, searched: usize) -> Option<usize> {
    let start = from.max(searched.saturating_sub(2));
    let ends = data[start..].iter().enumerate();
    let ends = ends.filter(|(_, byte)| **byte == b'\n');
    for (offset, _) in ends {
        let next = start + offset + 1;
        match data[next..] {
            [b'\n', ..] => return Some(next + 1),
            [b'\r', b'\n', ..] => return Some(next + 2),
            _ => {}
        }
    }
    None
}

/// Returns the `data` lines of an event, joined by newlines, or `None` if it has none.
fn event_data(event: &[u8]) -> Option<Cow<'_, [u8]>> {
    let mut data: Option<Cow<'_, [u8]>> = None;
    for line in event.split(|byte| *byte == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        let Some(text) = line.strip_prefix(b"data:") else {
            continue;
        };
        let text = text.strip_prefix(b" ").unwrap_or(text);
        match &mut data {
            None => data = Some(Cow::Borrowed(text)),
            Some(joined) => {
                let joined = joined.to_mut();
                joined.push(b'\n');
                joined.extend_from_slice(text);
            }
        }
    }
    data
}

/// Checks that a JSON document is complete and names exactly the served name.
fn check_document(data: &[u8], served_name: &str) -> Result<(), Failure> {
    let found: CheckedFields<'_> = match serde_json::from_slice(data) {
        Ok(found) => found,
        Err(err) if err.is_data() => return Err(Failure::WrongAdapter(String::new())),
        Err(_) => return Err(Failure::Truncated),
    };
    match (found.model, found.error) {
        (Some(model), _) if model == served_name => Ok(()),
        (Some(model), _) => Err(Failure::WrongAdapter(model.into_owned())),
        (None, Some(_)) => Err(Failure::Status {
            status: 500,
            message: error_message(data),
        }),
        (None, None) => Err(Failure::WrongAdapter(String::new())),
    }
}
