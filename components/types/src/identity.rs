//! Names of the things the system keeps apart.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

macro_rules! text_identifier {
    ($($(#[$attribute:meta])* $name:ident;)*) => {$(
        $(#[$attribute])*
        #[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub String);

        impl $name {
            /// Builds the identifier from text.
            pub fn new(text: impl Into<String>) -> Self {
                $name(text.into())
            }
            /// The identifier as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }
    )*};
}

text_identifier! {
    /// A caller's organisation, as the `Garnet-Tenant` header gives it.
    TenantId;
    /// A long-lived session that an operator created.
    SessionId;
    /// A language model by its published name.
    ModelId;
    /// A service: a group of engines or of application instances.
    ServiceId;
    /// One back end process: an engine or an application instance.
    BackendId;
    /// One gateway process, unique for each start of the process.
    GatewayId;
    /// The caller's key that marks a request as not repeatable.
    IdempotencyKey;
    /// The operator's name for one command; a resent command carries it again.
    CommandId;
}

/// One replica of the control group, bound to the disk it was made on.
///
/// A replica that returns with an empty disk has another identity, so that it
/// can't vote a second time as its former self.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ReplicaId(pub u64);

impl fmt::Display for ReplicaId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// One caller's request inside one gateway process.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RequestId(pub u64);

impl fmt::Display for RequestId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

impl FromStr for RequestId {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        u64::from_str_radix(text, 16).map(RequestId)
    }
}

/// The one try to own a key: which gateway asked, and for which request.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimId {
    /// The gateway process that asked.
    pub gateway: GatewayId,
    /// The request it asked for.
    pub request: RequestId,
}

/// A prompt's prefix that ends with one of its parts: equal ones have equal
/// content.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct PrefixId(pub u64);

impl fmt::Display for PrefixId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

impl FromStr for PrefixId {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        u64::from_str_radix(text, 16).map(PrefixId)
    }
}
