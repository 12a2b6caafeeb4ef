//! Fingerprints, which identify repeated attempts of the same request.

use std::fmt;
use std::str::FromStr;

use displaydoc::Display;
use garnet_types::TenantId;
use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use sha2::{Digest, Sha256};
use thiserror::Error;

/// Size of a fingerprint: large enough that callers cannot construct two requests with the same
/// one.
const FINGERPRINT_BYTES: usize = 16;

/// Identifies a request across all attempts of its caller, or a set of parts of prompts
/// ([`PartSet`](crate::PartSet)). The text form is 32 hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestFingerprint([u8; FINGERPRINT_BYTES]);

/// a fingerprint has 32 hexadecimal digits
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub struct FingerprintError;

impl RequestFingerprint {
    /// The fingerprint with these bytes.
    pub(crate) fn from_bytes(bytes: [u8; FINGERPRINT_BYTES]) -> Self {
        RequestFingerprint(bytes)
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0
            .iter()
            .try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl fmt::Debug for RequestFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "RequestFingerprint({self})")
    }
}

impl FromStr for RequestFingerprint {
    type Err = FingerprintError;

    fn from_str(text: &str) -> Result<Self, FingerprintError> {
        if text.len() != 2 * FINGERPRINT_BYTES || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Err(FingerprintError);
        }
        let mut bytes = [0; FINGERPRINT_BYTES];
        for (index, byte) in bytes.iter_mut().enumerate() {
            let pair = &text[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(pair, 16).map_err(|_| FingerprintError)?;
        }
        Ok(RequestFingerprint(bytes))
    }
}

impl Serialize for RequestFingerprint {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            serializer.collect_str(self)
        } else {
            self.0.serialize(serializer)
        }
    }
}

impl<'de> Deserialize<'de> for RequestFingerprint {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if deserializer.is_human_readable() {
            let text = String::deserialize(deserializer)?;
            text.parse().map_err(D::Error::custom)
        } else {
            <[u8; FINGERPRINT_BYTES]>::deserialize(deserializer).map(RequestFingerprint)
        }
    }
}

/// The parts of a request that determine how a back end processes it.
///
/// What may differ between attempts is left out: the caller's name for the attempt, its
/// deadline, which of several keys the caller uses, the spelling of headers, the chunks of the
/// body, and the event after which a stream resumes.
#[derive(Debug, Clone, Copy)]
pub struct RequestIdentity<'a> {
    /// Tenant of the request; `None` if callers are not distinguished.
    pub tenant: Option<&'a TenantId>,
    /// HTTP method.
    pub method: &'a str,
    /// Requested host; its case does not matter.
    pub host: &'a str,
    /// Path without its query.
    pub path: &'a str,
    /// Query. It counts only if there is no body, as it then carries the request's input.
    pub query: Option<&'a str>,
    /// Body.
    pub body: &'a [u8],
}

impl RequestIdentity<'_> {
    /// The fingerprint of all requests with this identity.
    pub fn fingerprint(&self) -> RequestFingerprint {
        let tenant = self.tenant.map(TenantId::as_str);
        let query = self.query.filter(|_| self.body.is_empty());
        let host = self.host.to_ascii_lowercase();
        let mut hash = Sha256::new();
        add(&mut hash, tenant.map(str::as_bytes));
        add(&mut hash, Some(self.method.as_bytes()));
        add(&mut hash, Some(host.as_bytes()));
        add(&mut hash, Some(self.path.as_bytes()));
        add(&mut hash, query.map(str::as_bytes));
        add(&mut hash, Some(self.body));
        let digest: [u8; 32] = hash.finalize().into();
        let mut bytes = [0; FINGERPRINT_BYTES];
        bytes.copy_from_slice(&digest[..FINGERPRINT_BYTES]);
        RequestFingerprint(bytes)
    }
}

/// Adds a part with its length, so that different lists of parts never yield the same bytes.
fn add(hash: &mut Sha256, part: Option<&[u8]>) {
    let length = part.map_or(0, |part| part.len() as u64 + 1);
    hash.update(length.to_le_bytes());
    hash.update(part.unwrap_or_default());
}
