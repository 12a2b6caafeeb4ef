//! Tenants and the keys that callers prove themselves with.
//!
//! A key is a secret: [`ApiKey`] and [`KeyDigest`] print nothing of it, and
//! only digests are kept in a table. [`Tenants`] leads from a key to its tenant
//! in one look-up.

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

/// Bytes of a digest.
const DIGEST_BYTES: usize = 32;
/// What the text of a digest begins with.
const DIGEST_KIND: &str = "sha256:";

/// A key as a caller presents it.
#[derive(Clone, PartialEq, Eq)]
pub struct ApiKey(String);

impl ApiKey {
    /// The key; `None` where the text holds none.
    pub fn new(text: impl Into<String>) -> Option<Self> {
        let text = text.into();
        (!text.is_empty()).then_some(ApiKey(text))
    }

    /// What is kept of the key.
    pub fn digest(&self) -> KeyDigest {
        KeyDigest(Sha256::digest(self.0.as_bytes()).into())
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("ApiKey(..)")
    }
}

/// The SHA-256 digest of a key. Digests are compared in constant time. In text
/// it is `sha256:` and 64 hexadecimal digits.
#[derive(Clone, Copy)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

/// A text that is no digest of a key. It does not repeat the text, which may
/// be a key.
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
        for (place, byte) in digest.iter_mut().enumerate() {
            let pair = &digits[2 * place..2 * place + 2];
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

/// Who may send requests, and with which keys.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Its name, which back ends are told.
    pub name: TenantId,
    /// Rank of its requests, ahead of their routes': 0 is the most urgent.
    #[serde(default)]
    pub priority: Option<u8>,
    /// Digests of its keys.
    pub keys: Vec<KeyDigest>,
}

/// The tenants of a table, made ready for looking up by key.
#[derive(Debug, Clone, Default)]
pub(crate) struct Tenants {
    by_key: HashMap<KeyDigest, usize>,
    /// Priority of the least urgent tenants.
    pub(crate) least_urgent: u8,
}

impl Tenants {
    /// Indexes tenants that were checked.
    pub(crate) fn new(tenants: &[Tenant]) -> Self {
        let mut by_key = HashMap::with_capacity(tenants.iter().map(|t| t.keys.len()).sum());
        for (place, tenant) in tenants.iter().enumerate() {
            by_key.extend(tenant.keys.iter().map(|key| (*key, place)));
        }
        let least = tenants.iter().filter_map(|tenant| tenant.priority).max();
        Tenants {
            by_key,
            least_urgent: least.unwrap_or_default(),
        }
    }

    /// Place of the tenant that holds a key.
    pub(crate) fn place_of(&self, key: &ApiKey) -> Option<usize> {
        self.by_key.get(&key.digest()).copied()
    }
}
