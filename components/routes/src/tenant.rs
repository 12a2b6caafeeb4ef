//! Tenants and the keys with which their callers authenticate.
//!
//! A key is a secret: the `Debug` output of [`ApiKey`] and [`KeyDigest`] reveals
//! nothing of it, and a table holds only digests. [`Tenants`] maps a key to its
//! tenant in one look-up.

use std::collections::HashMap;
use std::fmt;
use std::hash::{Hash, Hasher};
use std::str::FromStr;

use displaydoc::Display;
use garnet_types::TenantId;
use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;
use thiserror::Error;

/// Size of a digest in bytes.
const DIGEST_BYTES: usize = 32;
/// Prefix of a digest in text.
const DIGEST_KIND: &str = "sha256:";

/// A key as sent by a caller.
#[derive(Clone, PartialEq, Eq)]
pub struct ApiKey(String);

impl ApiKey {
    /// The key in `text`; `None` if the text is empty.
    pub fn new(text: impl Into<String>) -> Option<Self> {
        let text = text.into();
        (!text.is_empty()).then_some(ApiKey(text))
    }

    /// Digest of the key, which is what tables hold.
    pub fn digest(&self) -> KeyDigest {
        KeyDigest(Sha256::digest(self.0.as_bytes()).into())
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("ApiKey(..)")
    }
}

/// The SHA-256 digest of a key, written as `sha256:` and 64 hexadecimal digits.
/// Digests are compared in constant time.
#[derive(Clone, Copy)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

/// Why a text is not a digest of a key. The message does not repeat the text,
/// which may be a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum KeyDigestError {
    /// a digest begins with "sha256:"
    UnknownKind,
    /// a digest has 64 hexadecimal digits
    Malformed,
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyDigest(..)")
    }
}

impl PartialEq for KeyDigest {
    fn eq(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl Eq for KeyDigest {}

impl Hash for KeyDigest {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.0.hash(state);
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(DIGEST_KIND)?;
        self.0
            .iter()
            .try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl FromStr for KeyDigest {
    type Err = KeyDigestError;

    fn from_str(text: &str) -> Result<Self, KeyDigestError> {
        let digits = text
            .strip_prefix(DIGEST_KIND)
            .ok_or(KeyDigestError::UnknownKind)?;
        if digits.len() != 2 * DIGEST_BYTES || !digits.is_ascii() {
            return Err(KeyDigestError::Malformed);
        }
        let mut digest = [0; DIGEST_BYTES];
        for (position, byte) in digest.iter_mut().enumerate() {
            let pair = &digits[2 * position..2 * position + 2];
            *byte = u8::from_str_radix(pair, 16).map_err(|_| KeyDigestError::Malformed)?;
        }
        Ok(KeyDigest(digest))
    }
}

impl Serialize for KeyDigest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            serializer.collect_str(self)
        } else {
            self.0.serialize(serializer)
        }
    }
}

impl<'de> Deserialize<'de> for KeyDigest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if deserializer.is_human_readable() {
            let text = String::deserialize(deserializer)?;
            text.parse().map_err(D::Error::custom)
        } else {
            <[u8; DIGEST_BYTES]>::deserialize(deserializer).map(KeyDigest)
        }
    }
}

/// A tenant that may send requests, with its keys.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Name of the tenant, which is sent to back ends.
    pub name: TenantId,
    /// Priority of the tenant's requests, which takes precedence over their routes'
    /// priorities; 0 is the most urgent.
    #[serde(default)]
    pub priority: Option<u8>,
    /// Digests of the tenant's keys.
    pub keys: Vec<KeyDigest>,
}

impl Tenant {
    /// Approximate size in memory, in bytes.
    pub(crate) fn len_bytes(&self) -> usize {
        size_of::<Self>() + self.name.as_str().len() + self.keys.len() * DIGEST_BYTES
    }
}

/// Index of a table's tenants by key.
#[derive(Debug, Clone, Default)]
pub(crate) struct Tenants {
    by_key: HashMap<KeyDigest, usize>,
    /// Priority number of the least urgent tenants.
    pub(crate) least_urgent: u8,
}

impl Tenants {
    /// Indexes tenants that have been checked.
    pub(crate) fn new(tenants: &[Tenant]) -> Self {
        let mut by_key = HashMap::with_capacity(tenants.iter().map(|t| t.keys.len()).sum());
        for (position, tenant) in tenants.iter().enumerate() {
            by_key.extend(tenant.keys.iter().map(|key| (*key, position)));
        }
        let least = tenants.iter().filter_map(|tenant| tenant.priority).max();
        Tenants {
            by_key,
            least_urgent: least.unwrap_or_default(),
        }
    }

    /// Position of the tenant that holds a key.
    pub(crate) fn position_of(&self, key: &ApiKey) -> Option<usize> {
        self.by_key.get(&key.digest()).copied()
    }
}
