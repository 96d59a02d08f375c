//! Guards against incomplete, repeated or reordered events in a stream.

mod common;

use bytes::Bytes;
use bytes::BytesMut;
use common::cases::for_each_case;
use serving::events::EventSplitter;
use serving::events::EventTooLong;
use serving::events::MAX_EVENT_BYTES;

fn push(events: &mut EventSplitter, data: &[u8]) -> Bytes {
    events.push(data).expect("a short event")
}

#[test]
fn only_complete_events_are_returned() {
    let mut events = EventSplitter::default();
    assert!(push(&mut events, b"id: 1\ndata: a").is_empty());
    assert!(events.has_partial_event());
    assert_eq!(
        &push(&mut events, b"b\n\nid: 2\nda")[..],
        b"id: 1\ndata: ab\n\n"
    );
    assert_eq!(events.last_id(), Some(1));
    assert_eq!(&push(&mut events, b"ta: c\n\n")[..], b"id: 2\ndata: c\n\n");
    assert!(!events.has_partial_event());
    assert_eq!((events.first_id(), events.last_id()), (Some(1), Some(2)));
}

#[test]
fn carriage_returns_before_line_feeds_are_accepted() {
    let mut events = EventSplitter::default();
    let text = b"id: 7\r\ndata: x\r\n\r\n";
    assert_eq!(&push(&mut events, text)[..], text);
    assert_eq!(events.last_id(), Some(7));
}

#[test]
fn id_that_does_not_increase_is_detected() {
    let mut events = EventSplitter::default();
    push(&mut events, b"id: 3\ndata: a\n\n");
    assert!(!events.is_out_of_order());
    push(&mut events, b"id: 3\ndata: a\n\n");
    assert!(events.is_out_of_order());
}

#[test]
fn any_split_of_the_input_gives_the_same_bytes() {
    for_each_case(|lens: Vec<u8>| {
        let text: Vec<u8> = (1..6)
            .flat_map(|id| format!("id: {id}\ndata: {}\n\n", "x".repeat(id)).into_bytes())
            .collect();
        let mut events = EventSplitter::default();
        let mut output = BytesMut::new();
        let mut rest = &text[..];
        for len in lens {
            let (part, remaining) = rest.split_at(usize::from(len % 24).min(rest.len()));
            output.extend_from_slice(&push(&mut events, part));
            rest = remaining;
        }
        output.extend_from_slice(&push(&mut events, rest));
        assert_eq!(&output[..], &text[..]);
        assert_eq!(events.last_id(), Some(5));
        assert!(!events.has_partial_event() && !events.is_out_of_order());
    });
}

/// A runner in trouble sends bytes that never end an event, in one line or in many.
#[test]
fn event_without_end_is_an_error() {
    for part in [&b"xxxxxxxxxxxxxxxx"[..], b"data: x\ndata: y\n"] {
        let mut events = EventSplitter::default();
        let parts = MAX_EVENT_BYTES / part.len();
        for _ in 0..parts {
            assert!(push(&mut events, part).is_empty());
        }
        assert_eq!(events.push(part), Err(EventTooLong));
    }
}

/// A scan of the whole buffer for each read would take minutes for these reads.
#[test]
fn long_event_is_scanned_once() {
    let started = std::time::Instant::now();
    for _ in 0..20 {
        let mut events = EventSplitter::default();
        for _ in 0..MAX_EVENT_BYTES / 16 {
            push(&mut events, b"data: 890123456\n");
        }
        assert_eq!(push(&mut events, b"\n").len(), MAX_EVENT_BYTES + 1);
    }
    assert!(started.elapsed() < std::time::Duration::from_secs(10));
}

#[test]
fn comments_are_passed_on_but_are_no_progress() {
    let mut events = EventSplitter::default();
    assert_eq!(&push(&mut events, b": ping\n\n")[..], b": ping\n\n");
    assert!(!events.has_new_data);
    push(&mut events, b"id: 1\ndata: a\n\n");
    assert!(events.has_new_data);
}
