//! Checks of an engine's answer before any of it is passed on.

use std::borrow::Cow;

use bytes::Bytes;
use bytes::BytesMut;
use decision::ids::Name;
use decision::job::Failure;
use serde::Deserialize;
use serde::de::IgnoredAny;

/// The largest answer that is not a stream, and the largest single event of a stream, in bytes.
const SIZE_LIMIT: usize = 16 << 20;

/// The largest part of an engine's error that is passed on, in bytes.
const MESSAGE_LIMIT: usize = 512;

/// The data of the last event of a stream.
const DONE: &[u8] = b"[DONE]";

/// The fields of an answer, or of an event of a stream, that are checked.
#[derive(Deserialize)]
struct Named<'a> {
    #[serde(borrow, default)]
    model: Option<Cow<'a, str>>,
    #[serde(default)]
    error: Option<IgnoredAny>,
}

/// Lets the parts of one answer through that are whole and name what was asked for.
#[derive(Debug)]
pub struct ResponseCheck {
    served: Name,
    buffer: BytesMut,
    /// The length of the buffer's start that was searched for the end of an event.
    searched: usize,
    form: Form,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Form {
    /// One JSON document.
    Document,
    /// Server-sent events; the flags say whether one named the served name, and whether the last
    /// one was seen.
    Events { named: bool, done: bool },
}

impl ResponseCheck {
    /// Returns the check of an answer of this content type.
    pub fn new(served: Name, content: &str) -> Self {
        let events = content.trim_start().starts_with("text/event-stream");
        ResponseCheck {
            served,
            buffer: BytesMut::new(),
            searched: 0,
            form: if events {
                Form::Events {
                    named: false,
                    done: false,
                }
            } else {
                Form::Document
            },
        }
    }

    /// Takes a piece of the body in and returns what may be passed on now.
    ///
    /// # Errors
    ///
    /// Fails if an event names something else than what was asked for, or is no JSON.
    pub fn feed(&mut self, data: &[u8]) -> Result<Option<Bytes>, Failure> {
        self.buffer.extend_from_slice(data);
        let Form::Events { named, done } = self.form else {
            return self.within_limit();
        };
        let (mut named, mut done) = (named, done);
        let mut passed = 0;
        while let Some(end) = event_end(&self.buffer, passed, self.searched) {
            let event = &self.buffer[passed..end];
            match event_data(event) {
                None => {}
                Some(data) if *data == *DONE => done = true,
                Some(data) => {
                    check_document(&data, &self.served)?;
                    named = true;
                }
            }
            passed = end;
        }
        self.searched = self.buffer.len();
        self.form = Form::Events { named, done };
        // Comments before the first named event are held back with it.
        if passed == 0 || !(named || done) {
            return self.within_limit();
        }
        if done && !named {
            return Err(Failure::WrongAdapter(String::new()));
        }
        self.searched -= passed;
        Ok(Some(self.buffer.split_to(passed).freeze()))
    }

    /// Takes the end of the body and returns what may still be passed on.
    ///
    /// # Errors
    ///
    /// Fails if the answer is cut or names something else than what was asked for.
    pub fn finish(&mut self) -> Result<Option<Bytes>, Failure> {
        match self.form {
            Form::Events { done: true, .. } => Ok(None),
            Form::Events { .. } => Err(Failure::Truncated),
            Form::Document => {
                check_document(&self.buffer, &self.served)?;
                Ok(Some(self.buffer.split().freeze()))
            }
        }
    }

    fn within_limit(&self) -> Result<Option<Bytes>, Failure> {
        if self.buffer.len() > SIZE_LIMIT {
            return Err(Failure::Truncated);
        }
        Ok(None)
    }
}

/// Returns the start of an engine's error body, for the caller.
pub fn error_message(body: &[u8]) -> String {
    let end = body.len().min(MESSAGE_LIMIT);
    String::from_utf8_lossy(&body[..end]).into_owned()
}

/// Returns the end of the first whole event from `from` on, after the blank line that ends it.
/// `searched` is the length that was searched before, so that a long event is searched once.
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

/// Returns the data of an event, its lines joined, or `None` if it has none.
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
            Some(held) => {
                let held = held.to_mut();
                held.push(b'\n');
                held.extend_from_slice(text);
            }
        }
    }
    data
}

/// Checks that a JSON document is whole and names exactly the served name.
fn check_document(data: &[u8], served: &str) -> Result<(), Failure> {
    let found: Named<'_> = match serde_json::from_slice(data) {
        Ok(found) => found,
        Err(err) if err.is_data() => return Err(Failure::WrongAdapter(String::new())),
        Err(_) => return Err(Failure::Truncated),
    };
    match (found.model, found.error) {
        (Some(model), _) if model == served => Ok(()),
        (Some(model), _) => Err(Failure::WrongAdapter(model.into_owned())),
        (None, Some(_)) => Err(Failure::Status {
            status: 500,
            message: error_message(data),
        }),
        (None, None) => Err(Failure::WrongAdapter(String::new())),
    }
}
