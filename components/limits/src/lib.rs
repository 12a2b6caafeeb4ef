//! Back ends that name how many requests a second they take from all gateways
//! together.
//!
//! An overloaded back end names the limit in its answers. A gateway that knows the limit
//! sends there only with a permit of the leader ([`KnownLimits`]). The leader grants
//! permits at that rate, the most urgent requests first ([`LimitLedger`]).
//!
//! Invariant: what all gateways together send a back end in any four seconds stays
//! within one and a half times its limit and five more. No part of it is a gateway's
//! own, so it holds at any number of them, and a gateway or a leader that starts
//! anew begins with none.
//!
//! Contract: no socket, file or clock.

mod bucket;
mod demand;
mod known;
mod ledger;
mod messages;
mod rate;

pub use known::{Asking, KnownLimits};
pub use ledger::LimitLedger;
pub use messages::{
    LimitEntry, LimitList, LimitReport, LimitReports, PERMIT_LASTS, PermitAnswer, PermitAsk,
    PermitOutcome,
};
pub use rate::{RateError, RequestRate};
