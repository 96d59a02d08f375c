//! Guards against incomplete, repeated or reordered events in a stream.

mod common;

use bytes::BytesMut;
use common::cases::for_each_case;
use serving::events::EventSplitter;

#[test]
fn only_complete_events_are_returned() {
    let mut events = EventSplitter::default();
    assert!(events.push(b"id: 1\ndata: a").is_empty());
    assert!(events.has_partial_event());
    assert_eq!(&events.push(b"b\n\nid: 2\nda")[..], b"id: 1\ndata: ab\n\n");
    assert_eq!(events.last_id(), Some(1));
    assert_eq!(&events.push(b"ta: c\n\n")[..], b"id: 2\ndata: c\n\n");
    assert!(!events.has_partial_event());
    assert_eq!((events.first_id(), events.last_id()), (Some(1), Some(2)));
}

#[test]
fn carriage_returns_before_line_feeds_are_accepted() {
    let mut events = EventSplitter::default();
    let text = b"id: 7\r\ndata: x\r\n\r\n";
    assert_eq!(&events.push(text)[..], text);
    assert_eq!(events.last_id(), Some(7));
}

#[test]
fn id_that_does_not_increase_is_detected() {
    let mut events = EventSplitter::default();
    events.push(b"id: 3\ndata: a\n\n");
    assert!(!events.is_out_of_order());
    events.push(b"id: 3\ndata: a\n\n");
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
            output.extend_from_slice(&events.push(part));
            rest = remaining;
        }
        output.extend_from_slice(&events.push(rest));
        assert_eq!(&output[..], &text[..]);
        assert_eq!(events.last_id(), Some(5));
        assert!(!events.has_partial_event() && !events.is_out_of_order());
    });
}
