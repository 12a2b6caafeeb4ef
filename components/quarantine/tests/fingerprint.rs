//! Fingerprints: which attempts count as the same request.

use garnet_quarantine::{RequestFingerprint, RequestIdentity};
use garnet_types::TenantId;
use proptest::prelude::*;
use rstest::rstest;

fn request<'a>() -> RequestIdentity<'a> {
    RequestIdentity {
        tenant: None,
        method: "POST",
        host: "shop.example",
        path: "/offers/7",
        query: None,
        body: b"three gem packs",
    }
}

#[rstest]
#[case::method(RequestIdentity { method: "PUT", ..request() })]
#[case::host(RequestIdentity { host: "other.example", ..request() })]
#[case::path(RequestIdentity { path: "/offers/8", ..request() })]
#[case::case_of_the_path(RequestIdentity { path: "/Offers/7", ..request() })]
#[case::body(RequestIdentity { body: b"three gem pack", ..request() })]
#[case::no_body(RequestIdentity { body: b"", ..request() })]
fn requests_that_differ_for_the_back_end_have_different_fingerprints(
    #[case] other: RequestIdentity<'_>,
) {
    assert_ne!(request().fingerprint(), other.fingerprint());
}

#[test]
fn the_tenant_is_part_of_the_fingerprint() {
    let (one, two) = (TenantId::new("one"), TenantId::new("two"));
    let of = |tenant| {
        RequestIdentity {
            tenant,
            ..request()
        }
        .fingerprint()
    };
    assert_ne!(of(Some(&one)), of(Some(&two)));
    assert_ne!(of(Some(&one)), of(None));
    assert_eq!(of(Some(&one)), of(Some(&TenantId::new("one"))));
}

#[test]
fn the_case_of_the_host_does_not_matter() {
    let other = RequestIdentity {
        host: "Shop.EXAMPLE",
        ..request()
    };
    assert_eq!(request().fingerprint(), other.fingerprint());
}

/// A caller can vary the query of a request at will, but the engine uses the body. Without a body
/// the query carries the input.
#[rstest]
#[case::beside_a_body(b"three gem packs".as_slice(), true)]
#[case::without_a_body(b"".as_slice(), false)]
fn the_query_counts_only_without_a_body(#[case] body: &[u8], #[case] same: bool) {
    let with = |query| {
        RequestIdentity {
            query,
            body,
            ..request()
        }
        .fingerprint()
    };
    assert_eq!(with(Some("page=1")) == with(Some("page=2")), same);
    assert_eq!(with(Some("page=1")) == with(None), same);
}

#[rstest]
#[case("")]
#[case("0123")]
#[case("0123456789abcdef0123456789abcdeg")]
#[case("+123456789abcdef0123456789abcdef")]
#[case("0123456789abcdef0123456789abcdef0")]
fn malformed_fingerprints_do_not_parse(#[case] text: &str) {
    let error = text.parse::<RequestFingerprint>().expect_err("refused");
    assert_eq!(error.to_string(), "a fingerprint has 32 hexadecimal digits");
}

proptest! {
    /// The boundary between two parts is part of the fingerprint.
    #[test]
    fn parts_are_delimited(path in "[a-z/]{0,6}", body in "[a-z/]{0,6}", cut in 0usize..12) {
        let whole = format!("{path}{body}");
        let cut = cut.min(whole.len());
        let (other_path, other_body) = whole.split_at(cut);
        let of = |path, body: &str| {
            RequestIdentity { path, body: body.as_bytes(), ..request() }.fingerprint()
        };
        let is_same = of(&path, &body) == of(other_path, other_body);
        prop_assert_eq!(is_same, path == other_path);
    }

    #[test]
    fn a_displayed_fingerprint_parses_to_itself(body: Vec<u8>) {
        let fingerprint = RequestIdentity { body: &body, ..request() }.fingerprint();
        prop_assert_eq!(fingerprint.to_string().parse(), Ok(fingerprint));
    }
}
