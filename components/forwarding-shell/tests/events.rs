//! Streams of events are split between two events.

use garnet_forwarding_shell::EventSplitter;
use proptest::prelude::*;
use rstest::rstest;

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

/// A line end, an event and a comment are incomplete until their last byte.
#[rstest]
#[case("data: a\n\n", true)]
#[case("data: a\r\r", true)]
#[case("data: a\r\n\r", true)]
#[case("data: a\r\n\r\n", true)]
#[case("data: a\n\n: ping\n", true)]
#[case("\u{feff}", true)]
#[case("", true)]
#[case("data: a\r\n", false)]
#[case("data: a\r", false)]
#[case("data: a\n: ping\n", false)]
#[case("data: a\n\n: pi", false)]
#[case("data", false)]
#[case("\u{feff}d", false)]
fn only_whole_events_and_comments_end_at_a_boundary(#[case] stream: &str, #[case] expected: bool) {
    let mut splitter = EventSplitter::default();
    for byte in stream.as_bytes() {
        splitter.push(&[*byte]);
    }
    assert_eq!(splitter.is_at_boundary(), expected);
}

/// Comments may follow the last event of a whole stream.
#[test]
fn a_comment_after_the_last_event_is_kept() {
    let mut splitter = EventSplitter::default();
    assert_eq!(&splitter.push(b"data: a\n\n: end\n")[..], b"data: a\n\n");
    assert!(splitter.is_at_boundary());
    assert_eq!(&splitter.take_pending()[..], b": end\n");
}

proptest! {
    /// However the bytes are split into chunks, the same stream is returned.
    #[test]
    fn chunk_sizes_do_not_change_the_stream(
        events in prop::collection::vec("[a-z]{0,9}", 1..20),
        chunk_sizes in prop::collection::vec(1_usize..7, 1..200),
        end in prop::sample::select(vec!["\n", "\r\n", "\r"]),
        begin in prop::sample::select(vec!["", "\u{feff}"]),
        comment in prop::sample::select(vec!["", ":", ": ping"]),
    ) {
        let comment = if comment.is_empty() { String::new() } else { format!("{comment}{end}") };
        let lines = |(id, data): (usize, &String)| {
            format!("{comment}id: {id}{end}{comment}data: {data}{end}{end}")
        };
        let events_text: String = events.iter().enumerate().map(lines).collect();
        let stream = format!("{begin}{events_text}");
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
