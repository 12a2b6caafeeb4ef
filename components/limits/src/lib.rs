//! Rate limits that back ends set for the requests of all gateways together.
//!
//! An overloaded back end reports a limit, in requests a second, in its answers. A gateway that
//! knows the limit sends a request there only with a permit of the leader ([`GatewayLimits`]).
//! The leader grants permits at that rate, to the most urgent requests first ([`LimitLedger`]).
//!
//! Invariant: in any four seconds, all gateways together send a back end at most one and a half
//! times its limit plus five requests. No gateway has a fixed share of the limit, so this holds
//! for any number of gateways. A gateway or leader starts without permits.
//!
//! Contract: no socket, file or clock.

mod bucket;
mod demand;
mod gateway_limits;
mod ledger;
mod messages;
mod rate;

pub use gateway_limits::{GatewayLimits, PermitLookup};
pub use ledger::LimitLedger;
pub use messages::{
    LimitEntry, LimitList, LimitReport, LimitReports, PERMIT_LIFETIME, PermitAnswer, PermitOutcome,
    PermitRequest,
};
pub use rate::{RateError, RequestRate};
