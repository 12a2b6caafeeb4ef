//! Parts of prompts, and sets of them that requests at one service may share.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use garnet_types::ServiceId;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3Default;

use crate::fingerprint::RequestFingerprint;

/// Maximum number of parts of a [`PartSet`].
pub const MAX_PARTS_PER_SET: usize = 3;
/// Number of parts of a prompt of which sets of several are formed, to bound the number of sets.
const MAX_COMBINED_PARTS: usize = 16;

/// Identifies the content of a part of a prompt. The text form is hexadecimal, as callers write
/// it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PartId(pub u64);

impl fmt::Display for PartId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:x}", self.0)
    }
}

impl FromStr for PartId {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        u64::from_str_radix(text, 16).map(PartId)
    }
}

/// The parts as text, separated by commas.
pub fn part_list(parts: &[PartId]) -> String {
    let parts: Vec<String> = parts.iter().map(PartId::to_string).collect();
    parts.join(",")
}

/// Parts that are refused at a service where one prompt contains all of them.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct PartSet {
    /// The service at whose engines the parts were.
    pub service: ServiceId,
    /// The parts, sorted.
    pub parts: Vec<PartId>,
}

impl PartSet {
    /// A set of these parts, in any order.
    pub fn new(service: ServiceId, mut parts: Vec<PartId>) -> Self {
        parts.sort_unstable();
        parts.dedup();
        PartSet { service, parts }
    }

    /// The fingerprint under which verdicts on the set are stored and published.
    pub fn fingerprint(&self) -> RequestFingerprint {
        fingerprint(&service_hash(&self.service), &self.parts)
    }
}

/// The sets that a request at the service matches if its prompt shares these parts.
pub(crate) fn matching_sets(service: &ServiceId, parts: &[PartId]) -> Vec<PartSet> {
    let combinations = combinations(parts).into_iter();
    let set = |parts| PartSet {
        service: service.clone(),
        parts,
    };
    combinations.map(set).collect()
}

/// Fingerprints of the sets that a request at the service matches if its prompt shares these
/// parts.
pub fn matching_fingerprints(service: &ServiceId, parts: &[PartId]) -> Vec<RequestFingerprint> {
    let hash = service_hash(service);
    let combinations = combinations(parts).into_iter();
    combinations
        .map(|parts| fingerprint(&hash, &parts))
        .collect()
}

/// The sorted combinations of up to [`MAX_PARTS_PER_SET`] parts.
fn combinations(parts: &[PartId]) -> Vec<Vec<PartId>> {
    let mut parts = parts.to_vec();
    parts.sort_unstable();
    parts.dedup();
    let mut combinations: Vec<Vec<PartId>> = parts.iter().map(|part| vec![*part]).collect();
    parts.truncate(MAX_COMBINED_PARTS);
    for (idx, first) in parts.iter().enumerate() {
        let rest = &parts[idx + 1..];
        for (idx, second) in rest.iter().enumerate() {
            combinations.push(vec![*first, *second]);
            let thirds = rest[idx + 1..].iter();
            combinations.extend(thirds.map(|third| vec![*first, *second, *third]));
        }
    }
    combinations
}

/// The state of the hash after the service, which all sets at it share.
fn service_hash(service: &ServiceId) -> Xxh3Default {
    let mut hash = Xxh3Default::new();
    let name = service.as_str().as_bytes();
    hash.update(&(name.len() as u64).to_le_bytes());
    hash.update(name);
    hash
}

fn fingerprint(service: &Xxh3Default, parts: &[PartId]) -> RequestFingerprint {
    let mut hash = service.clone();
    for part in parts {
        hash.update(&part.0.to_le_bytes());
    }
    RequestFingerprint::from_bytes(hash.digest128().to_le_bytes())
}
