//! The version that is offered after a connection has ended.

use std::time::Duration;

use garnet_runtime::VersionOffers;
use garnet_types::EncodingVersion;
use rstest::rstest;

const AT_ONCE: Duration = Duration::from_millis(3);
const LATER: Duration = Duration::from_secs(5);

/// Offers whose next version is the first earlier one.
fn at_earlier() -> VersionOffers {
    let mut offers = VersionOffers::default();
    offers.refused();
    offers.refused();
    assert_eq!(offers.next(), EncodingVersion::V11);
    offers
}

/// When a peer refuses a version, the connection is closed cleanly or, as often, reset
/// while a frame is sent.
#[rstest]
#[case::refused(AT_ONCE, EncodingVersion::V16)]
#[case::accepted(LATER, EncodingVersion::CURRENT)]
fn a_connection_that_ends_at_once_counts_as_refused_however_it_ends(
    #[case] after: Duration,
    #[case] next: EncodingVersion,
) {
    let mut offers = at_earlier();
    offers.ended(EncodingVersion::V11, after);
    assert_eq!(offers.next(), next);
}

#[test]
fn the_accepted_version_is_offered_before_other_earlier_ones() {
    let mut offers = at_earlier();
    offers.refused();
    offers.accepted();
    offers.refused();
    offers.refused();
    assert_eq!(offers.next(), EncodingVersion::V16);
}

#[test]
fn a_connection_of_the_current_version_that_ended_never_counts_as_refused() {
    let mut offers = VersionOffers::default();
    offers.ended(EncodingVersion::CURRENT, AT_ONCE);
    assert_eq!(offers.next(), EncodingVersion::CURRENT);
    offers.refused();
    assert_eq!(offers.next(), EncodingVersion::CURRENT);
}
