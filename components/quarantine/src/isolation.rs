//! The choice of a back end for a suspected request.

use garnet_types::BackendId;
use xxhash_rust::xxh3::xxh3_64;

use crate::fingerprint::RequestFingerprint;

/// The one back end at which a suspected request runs, by rendezvous hashing: all gateways with
/// the same back ends choose the same one. Overlapping attempts of the request then crash one
/// engine rather than several, and requests that did not cause the crash complete on another one.
pub fn isolation_backend<'a>(
    fingerprint: RequestFingerprint,
    backends: impl Iterator<Item = &'a BackendId>,
) -> Option<&'a BackendId> {
    backends.max_by_key(|id| xxh3_64(format!("{fingerprint}/{id}").as_bytes()))
}
