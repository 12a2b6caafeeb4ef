//! A value that goes to many gateways and is encoded once for all of them.

use std::ops::Deref;
use std::sync::{Arc, OnceLock};

use serde::de::{DeserializeOwned, Error as _};
use serde::ser::Error as _;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// A shared value and its encoding. Whoever sends it first encodes it.
#[derive(Debug, Clone)]
pub struct Shared<T> {
    value: Arc<T>,
    encoded: Arc<OnceLock<Vec<u8>>>,
}

impl<T> Shared<T> {
    /// The value, to be kept.
    pub fn value(&self) -> Arc<T> {
        Arc::clone(&self.value)
    }
}

impl<T: Clone> Shared<T> {
    /// The value itself; copied where others share it.
    pub fn into_inner(self) -> T {
        Arc::unwrap_or_clone(self.value)
    }
}

impl<T> From<Arc<T>> for Shared<T> {
    fn from(value: Arc<T>) -> Self {
        Shared {
            value,
            encoded: Arc::default(),
        }
    }
}

impl<T> From<T> for Shared<T> {
    fn from(value: T) -> Self {
        Shared::from(Arc::new(value))
    }
}

impl<T> Deref for Shared<T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.value
    }
}

impl<T: PartialEq> PartialEq for Shared<T> {
    fn eq(&self, other: &Self) -> bool {
        self.value == other.value
    }
}

impl<T: Eq> Eq for Shared<T> {}

impl<T: Serialize> Serialize for Shared<T> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if let Some(bytes) = self.encoded.get() {
            return serializer.serialize_bytes(bytes);
        }
        let encoded = bincode::serde::encode_to_vec(&*self.value, bincode::config::standard());
        let bytes = encoded.map_err(S::Error::custom)?;
        serializer.serialize_bytes(self.encoded.get_or_init(|| bytes))
    }
}

impl<'de, T: DeserializeOwned> Deserialize<'de> for Shared<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let bytes = serde_bytes::ByteBuf::deserialize(deserializer)?;
        let (value, read) = bincode::serde::decode_from_slice(&bytes, bincode::config::standard())
            .map_err(D::Error::custom)?;
        if read != bytes.len() {
            return Err(D::Error::custom("bytes are left over"));
        }
        Ok(Shared::from(Arc::new(value)))
    }
}
