//! Bodies that are sent in slices.

use garnet_runtime::sliced_body::{MAX_SLICE_BYTES, SlicedBody};
use http_body_util::BodyExt;
use hyper::body::{Body, Bytes};
use rstest::rstest;
use smol::block_on;

#[rstest]
#[case(0, 0)]
#[case(1, 1)]
#[case(MAX_SLICE_BYTES, 1)]
#[case(MAX_SLICE_BYTES + 1, 2)]
#[case(4 * 1024 * 1024, 256)]
fn a_body_is_sent_in_slices(#[case] len: usize, #[case] slices: usize) {
    let bytes: Vec<u8> = (0..len).map(|idx| idx as u8).collect();
    let mut body = SlicedBody::new(Bytes::from(bytes.clone()));
    let mut received = Vec::new();
    let mut count = 0;
    assert_eq!(body.is_end_stream(), bytes.is_empty());
    while let Some(frame) = block_on(body.frame()) {
        let slice = frame.expect("no error").into_data().expect("data");
        assert!(slice.len() <= MAX_SLICE_BYTES);
        received.extend_from_slice(&slice);
        count += 1;
        let left = (len - received.len()) as u64;
        assert_eq!(body.size_hint().exact(), Some(left));
    }
    assert_eq!(count, slices);
    assert_eq!(received, bytes);
    assert!(body.is_end_stream());
}
