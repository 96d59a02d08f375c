//! Server-sent events of a streamed response. The final event is held back until the response is
//! known to be complete.

use bytes::Bytes;
use decision::problem::Problem;

use crate::reply::error_json;

/// The event that ends a complete stream.
pub const DONE_EVENT: &[u8] = b"data: [DONE]\n\n";

/// Removes the final event from a chunk that consists of complete events.
///
/// Returns the other events and whether the final event was present.
pub fn split_done(data: Bytes) -> (Bytes, bool) {
    let text = data.trim_ascii_end();
    let Some(rest) = text.strip_suffix(b"[DONE]") else {
        return (data, false);
    };
    let line = rest
        .iter()
        .rposition(|byte| *byte == b'\n')
        .map_or(0, |end| end + 1);
    if rest[line..].trim_ascii_end() != b"data:" {
        return (data, false);
    }
    (data.slice(..line), true)
}

/// Returns the receipt event and the final event of a complete stream.
pub fn final_events(receipt: &str) -> Bytes {
    let mut events = format!("event: receipt\ndata: {receipt}\n\n").into_bytes();
    events.extend_from_slice(DONE_EVENT);
    events.into()
}

/// Returns the event that ends an incomplete stream; no final event follows it.
pub fn error_event(problem: &Problem) -> Bytes {
    format!("event: error\ndata: {}\n\n", error_json(problem)).into()
}
