//! Guards against torn, repeated or reordered events in a stream.

mod common;

use bytes::BytesMut;
use common::cases::each;
use serving::events::EventSplitter;

#[test]
fn only_whole_events_pass() {
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
fn line_ends_may_have_carriage_returns() {
    let mut events = EventSplitter::default();
    let text = b"id: 7\r\ndata: x\r\n\r\n";
    assert_eq!(&events.push(text)[..], text);
    assert_eq!(events.last_id(), Some(7));
}

#[test]
fn falling_ids_are_noticed() {
    let mut events = EventSplitter::default();
    events.push(b"id: 3\ndata: a\n\n");
    assert!(!events.is_out_of_order());
    events.push(b"id: 3\ndata: a\n\n");
    assert!(events.is_out_of_order());
}

#[test]
fn any_cut_gives_the_same_bytes() {
    each(|cuts: Vec<u8>| {
        let text: Vec<u8> = (1..6)
            .flat_map(|id| format!("id: {id}\ndata: {}\n\n", "x".repeat(id)).into_bytes())
            .collect();
        let mut events = EventSplitter::default();
        let mut passed = BytesMut::new();
        let mut rest = &text[..];
        for cut in cuts {
            let (part, left) = rest.split_at(usize::from(cut % 24).min(rest.len()));
            passed.extend_from_slice(&events.push(part));
            rest = left;
        }
        passed.extend_from_slice(&events.push(rest));
        assert_eq!(&passed[..], &text[..]);
        assert_eq!(events.last_id(), Some(5));
        assert!(!events.has_partial_event() && !events.is_out_of_order());
    });
}
