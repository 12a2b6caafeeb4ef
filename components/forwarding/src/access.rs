//! Authorization of requests by the API key that the caller presents.
//!
//! Each request is checked against the route table in force when it arrives, so a
//! withdrawn key stops working on connections that are already open.

use garnet_routes::{ApiKey, Route, RouteIndex, Tenant};

/// The credential of a caller.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum Credential {
    /// No credential.
    #[default]
    Missing,
    /// A credential that holds no key, or several.
    Malformed,
    /// An API key.
    Key(ApiKey),
}

/// Why a request is denied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AccessDenied {
    /// The request has no key.
    Missing,
    /// The credential can't be parsed as one key.
    Malformed,
    /// The key belongs to no tenant.
    Unknown,
}

impl AccessDenied {
    /// The name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            AccessDenied::Missing => "key_missing",
            AccessDenied::Malformed => "key_malformed",
            AccessDenied::Unknown => "key_unknown",
        }
    }
}

/// Returns the tenant of a request on `route`. `None` if the route table requires no
/// keys, or if the route is public and the caller has no known key.
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
