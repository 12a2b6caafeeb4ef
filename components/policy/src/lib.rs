//! Policies: rules by which operators classify requests.
//!
//! A document is checked completely when it is accepted ([`Policy::compile`]), so evaluation
//! ([`PolicySet::evaluate`]) always returns a verdict. A condition whose evaluation fails counts
//! as not matching, and the caller gets the number of failures for a metric. Conditions are CEL
//! expressions, which are bounded: they have no loops, no state and no I/O.

mod compile;
mod evaluate;
mod facts;

pub use compile::{MAX_DOCUMENT_BYTES, MAX_RULES, PlannerWeights, Policy};
pub use evaluate::{Evaluation, PolicySet};
pub use facts::RequestFacts;
