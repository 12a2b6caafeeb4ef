//! Back ends that name how many requests a second they take from all gateways
//! together.
//!
//! A back end in need says it in its answers, to whichever gateway asked. A gateway
//! that has heard it sends there only with a permit of the leader
//! ([`KnownLimits`]). The leader hands permits out at the rate that was named, the
//! most urgent first ([`LimitLedger`]).
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
    LimitList, LimitWord, LimitWords, PERMIT_LASTS, PermitAnswer, PermitAsk, PermitOutcome,
    ToldLimit,
};
pub use rate::{RateError, RequestRate};
