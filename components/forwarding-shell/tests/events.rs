//! Streams of events are split between two events.

use garnet_forwarding_shell::{EventRefused, EventSplitter, MAX_EVENT_BYTES};
use garnet_runtime::ByteBudget;
use garnet_types::ByteCount;
use hyper::body::Bytes;
use proptest::prelude::*;
use rstest::rstest;

fn returned(pushed: Result<Bytes, EventRefused>) -> Vec<u8> {
    pushed.expect("a short event").to_vec()
}

#[test]
fn only_complete_events_are_returned() {
    let mut splitter = EventSplitter::default();
    assert_eq!(returned(splitter.push(b"id: 1\ndata: a\n")), b"");
    assert_eq!(splitter.last_id(), None);
    let complete = returned(splitter.push(b"\nid: 2\nda"));
    assert_eq!(complete, b"id: 1\ndata: a\n\n");
    assert_eq!(splitter.last_id(), Some("1"));
    assert!(!splitter.is_at_boundary());
    splitter.drop_partial();
    assert!(splitter.is_at_boundary());
    assert_eq!(splitter.last_id(), Some("1"));
}

#[test]
fn a_resumed_stream_starts_from_the_last_event_id() {
    let splitter = EventSplitter::after(Some("12".into()), &ByteBudget::default());
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
        returned(splitter.push(&[*byte]));
    }
    assert_eq!(splitter.is_at_boundary(), expected);
}

/// Comments may follow the last event of a whole stream.
#[test]
fn a_comment_after_the_last_event_is_kept() {
    let mut splitter = EventSplitter::default();
    let complete = returned(splitter.push(b"data: a\n\n: end\n"));
    assert_eq!(complete, b"data: a\n\n");
    assert!(splitter.is_at_boundary());
    assert_eq!(&splitter.take_pending()[..], b": end\n");
}

/// The length counts from the end of the event before, comments included.
#[rstest]
#[case::one_chunk(usize::MAX)]
#[case::small_chunks(7)]
#[case::large_chunks(65_536)]
fn an_event_may_have_a_maximum_length(#[case] chunk_size: usize) {
    let comment = ": ping\n".repeat(99);
    let fields = "data: ".len() + "\n\n".len();
    for (excess, expected) in [(0, Ok(())), (1, Err(EventRefused::TooLong))] {
        let data = "d".repeat(MAX_EVENT_BYTES - comment.len() - fields + excess);
        let stream = format!("data: first\n\n{comment}data: {data}\n\ndata: last\n\n");
        let mut splitter = EventSplitter::default();
        let mut chunks = stream.as_bytes().chunks(chunk_size.min(stream.len()));
        let pushed = chunks.try_for_each(|chunk| splitter.push(chunk).map(drop));
        assert_eq!(pushed, expected);
    }
}

#[rstest]
#[case::a_line("data: d")]
#[case::lines("data: d\n")]
#[case::comments(": ping\n")]
#[case::bytes_without_a_field("\0\0")]
fn what_never_ends_an_event_is_refused(#[case] part: &str) {
    let mut splitter = EventSplitter::default();
    let pushes = MAX_EVENT_BYTES / part.len() + 1;
    let refused = (0..pushes).find_map(|_| splitter.push(part.as_bytes()).err());
    assert_eq!(refused, Some(EventRefused::TooLong));
}

/// The event that is not complete and those that were returned share the budget.
#[test]
fn events_are_buffered_within_a_budget() {
    let budget = ByteBudget::new(ByteCount(40));
    let mut splitter = EventSplitter::after(None, &budget);
    let complete = splitter.push(b"data: a\n\ndata: b").expect("room");
    assert_eq!(budget.used(), ByteCount(16));
    let refused = splitter.push(&[b'c'; 25]).expect_err("no room");
    assert!(matches!(refused, EventRefused::NoRoom(_)), "{refused}");
    drop((complete, splitter));
    assert_eq!(budget.used(), ByteCount(0));
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
        let mut all = Vec::new();
        let mut rest = stream.as_bytes();
        for size in chunk_sizes.iter().cycle() {
            let (chunk, later) = rest.split_at((*size).min(rest.len()));
            all.extend(returned(splitter.push(chunk)));
            rest = later;
            if rest.is_empty() {
                break;
            }
        }
        prop_assert!(splitter.is_at_boundary());
        prop_assert_eq!(all, stream.into_bytes());
        let last = (events.len() - 1).to_string();
        prop_assert_eq!(splitter.last_id(), Some(last.as_str()));
    }
}
