//! The route table: which service takes a request, and within which bounds.
//!
//! Contract: a [`RouteTable`] is a whole document under a version that only
//! rises. [`RouteTable::check`] reports every finding together, each with its
//! place; a table with findings never comes into force. [`RouteIndex`] finds
//! the route of a request by host and longest path prefix, and the tenant of a
//! key.

mod check;
mod document;
mod index;
mod table;
mod tenant;

pub use check::{RouteFinding, RouteFindings};
pub use document::read_document;
pub use index::RouteIndex;
pub use table::{
    CallerLimits, EngineLimits, PriceMilli, Route, RouteTable, ScalingSettings, ServiceSettings,
    WeightedService, WorkKind,
};
pub use tenant::{ApiKey, KeyDigest, KeyDigestError, Tenant};
