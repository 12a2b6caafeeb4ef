//! Whether a caller may send a request, by the key that it presents.
//!
//! Decided for each request anew, by the table in force when it comes: a key
//! that is withdrawn while its connection stays open opens nothing more.

use garnet_routes::{ApiKey, Route, RouteIndex, Tenant};

/// What a caller presents to prove who it is.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum Credential {
    /// Nothing.
    #[default]
    Missing,
    /// Something that holds no key, or several.
    Malformed,
    /// A key.
    Key(ApiKey),
}

/// Why a request is not let in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AccessDenied {
    /// There is no key.
    Missing,
    /// What is there is no key.
    Malformed,
    /// No tenant holds the key.
    Unknown,
}

impl AccessDenied {
    /// Name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            AccessDenied::Missing => "key_missing",
            AccessDenied::Malformed => "key_malformed",
            AccessDenied::Unknown => "key_unknown",
        }
    }
}

/// The tenant of a request on `route`; `None` where nobody is asked for a key,
/// and on a public route for a caller without a known one.
pub(crate) fn authorize<'a>(
    routes: &'a RouteIndex,
    route: &Route,
    credential: &Credential,
) -> Result<Option<&'a Tenant>, AccessDenied> {
    if !routes.asks_for_keys() {
        return Ok(None);
    }
    let found = match credential {
        Credential::Missing => Err(AccessDenied::Missing),
        Credential::Malformed => Err(AccessDenied::Malformed),
        Credential::Key(key) => routes.tenant_of(key).ok_or(AccessDenied::Unknown),
    };
    match found {
        Ok(tenant) => Ok(Some(tenant)),
        Err(_) if route.public => Ok(None),
        Err(denied) => Err(denied),
    }
}
