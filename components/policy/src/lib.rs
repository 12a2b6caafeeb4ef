//! Policies: what operators say about how work is treated.
//!
//! Contract: a document is checked as a whole when it is accepted
//! ([`Policy::compile`]); evaluation ([`PolicySet::evaluate`]) always gives a
//! verdict. A condition that fails while it runs counts as not matching and is
//! reported to the caller for a counter. Conditions are CEL expressions, which
//! are bounded: no loops, no state, no I/O.

mod compile;
mod evaluate;
mod facts;

pub use compile::{MAX_DOCUMENT_BYTES, MAX_RULES, PlannerWeights, Policy};
pub use evaluate::{Evaluation, PolicySet};
pub use facts::RequestFacts;
