//! How the end of an answer is marked, by its headers.

use garnet_runtime::framing_of;
use garnet_types::Framing;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use rstest::rstest;

fn headers(fields: &[(&'static str, &'static str)]) -> HeaderMap {
    let fields = fields.iter();
    fields
        .map(|(name, value)| {
            (
                HeaderName::from_static(name),
                HeaderValue::from_static(value),
            )
        })
        .collect()
}

#[rstest]
#[case(&[("content-length", "4")], Framing::Delimited)]
#[case(&[("transfer-encoding", "chunked")], Framing::Delimited)]
#[case(&[("transfer-encoding", "gzip, Chunked")], Framing::Delimited)]
#[case(&[("transfer-encoding", "gzip")], Framing::UntilClose)]
#[case(&[("transfer-encoding", "identity"), ("content-length", "4")], Framing::UntilClose)]
#[case(&[("connection", "close")], Framing::UntilClose)]
fn the_headers_tell_how_the_end_is_marked(
    #[case] fields: &[(&'static str, &'static str)],
    #[case] expected: Framing,
) {
    assert_eq!(framing_of(&headers(fields), false), expected);
}

#[test]
fn an_answer_without_a_body_ends_with_its_head() {
    assert_eq!(framing_of(&headers(&[]), true), Framing::Delimited);
}
