//! Streams of events are split between two events.

use garnet_forwarding_shell::EventSplitter;
use proptest::prelude::*;

#[test]
fn only_complete_events_are_returned() {
    let mut splitter = EventSplitter::default();
    assert_eq!(&splitter.push(b"id: 1\ndata: a\n")[..], b"");
    assert_eq!(splitter.last_id(), None);
    assert_eq!(&splitter.push(b"\nid: 2\nda")[..], b"id: 1\ndata: a\n\n");
    assert_eq!(splitter.last_id(), Some("1"));
    assert!(!splitter.is_at_boundary());
    splitter.drop_partial();
    assert!(splitter.is_at_boundary());
    assert_eq!(splitter.last_id(), Some("1"));
}

#[test]
fn a_resumed_stream_starts_from_the_last_event_id() {
    let splitter = EventSplitter::after(Some("12".into()));
    assert_eq!(splitter.last_id(), Some("12"));
}

proptest! {
    /// However the bytes are split into chunks, the same stream is returned.
    #[test]
    fn chunk_sizes_do_not_change_the_stream(
        events in prop::collection::vec("[a-z]{0,9}", 1..20),
        chunk_sizes in prop::collection::vec(1_usize..7, 1..200),
        windows_lines in any::<bool>(),
    ) {
        let end = if windows_lines { "\r\n" } else { "\n" };
        let stream: String = events
            .iter()
            .enumerate()
            .map(|(id, data)| format!("id: {id}{end}data: {data}{end}{end}"))
            .collect();
        let mut splitter = EventSplitter::default();
        let mut returned = Vec::new();
        let mut rest = stream.as_bytes();
        for size in chunk_sizes.iter().cycle() {
            let (chunk, later) = rest.split_at((*size).min(rest.len()));
            returned.extend_from_slice(&splitter.push(chunk));
            rest = later;
            if rest.is_empty() {
                break;
            }
        }
        prop_assert!(splitter.is_at_boundary());
        prop_assert_eq!(returned, stream.into_bytes());
        let last = (events.len() - 1).to_string();
        prop_assert_eq!(splitter.last_id(), Some(last.as_str()));
    }
}
