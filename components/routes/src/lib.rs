//! The route table: which service handles a request, and within which limits.
//!
//! Contract: a [`RouteTable`] is a full document with a version that only
//! increases. [`RouteTable::check`] reports all findings together, each with its
//! place in the document; a table with findings never takes effect.
//! [`RouteIndex`] finds the route of a request by host and longest path prefix,
//! and the tenant that holds a key.

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
