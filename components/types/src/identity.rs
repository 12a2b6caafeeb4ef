//! Identifiers of tenants, services, back ends, processes and requests.

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
            /// Creates the identifier from text.
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
    /// A caller's organisation, as named in the `Garnet-Tenant` header.
    TenantId;
    /// A long-lived session, created by an operator.
    SessionId;
    /// Published name of a language model.
    ModelId;
    /// A service, which is a group of engines or of application instances.
    ServiceId;
    /// One back-end process, an engine or an application instance.
    BackendId;
    /// Build of the software of an engine, as the platform names it.
    BuildId;
    /// One gateway process; each start of the process has its own identifier.
    GatewayId;
    /// The caller's key for a request that must not run more than once.
    IdempotencyKey;
    /// Identifier that an operator gives a command; a resent command has the same one.
    CommandId;
}

/// One replica of the control group, bound to the disk on which it was created.
///
/// A replica that restarts with an empty disk gets a new identity, so that it
/// can't vote twice in a term under the same identity.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ReplicaId(pub u64);

impl fmt::Display for ReplicaId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// One caller's request, unique within a gateway process.
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

/// One attempt to claim an idempotency key: the gateway that asked, and its request.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimId {
    /// The gateway process that requested the claim.
    pub gateway: GatewayId,
    /// The request for which it did.
    pub request: RequestId,
}

/// Identifies a prompt's prefix that ends with one of the prompt's parts. Equal
/// identifiers stand for equal content.
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
