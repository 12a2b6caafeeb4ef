//! Streams of events are cut between two events.

use garnet_forwarding_shell::EventSplitter;
use proptest::prelude::*;

#[test]
fn only_whole_events_are_given_out() {
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
fn a_stream_that_goes_on_knows_where() {
    let splitter = EventSplitter::after(Some("12".into()));
    assert_eq!(splitter.last_id(), Some("12"));
}

proptest! {
    /// However the bytes are cut, what is given out is the same stream.
    #[test]
    fn cuts_change_nothing(
        events in prop::collection::vec("[a-z]{0,9}", 1..20),
        cuts in prop::collection::vec(1_usize..7, 1..200),
        windows_lines in any::<bool>(),
    ) {
        let end = if windows_lines { "\r\n" } else { "\n" };
        let whole: String = events
            .iter()
            .enumerate()
            .map(|(id, data)| format!("id: {id}{end}data: {data}{end}{end}"))
            .collect();
        let mut splitter = EventSplitter::default();
        let mut given = Vec::new();
        let mut rest = whole.as_bytes();
        for cut in cuts.iter().cycle() {
            let (chunk, later) = rest.split_at((*cut).min(rest.len()));
            given.extend_from_slice(&splitter.push(chunk));
            rest = later;
            if rest.is_empty() {
                break;
            }
        }
        prop_assert!(splitter.is_at_boundary());
        prop_assert_eq!(given, whole.into_bytes());
        let last = (events.len() - 1).to_string();
        prop_assert_eq!(splitter.last_id(), Some(last.as_str()));
    }
}
