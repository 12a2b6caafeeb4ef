//! The whole system in virtual time, with faults and checkers.
//!
//! Contract: a run is a function of its seed and [`Scenario`]. Replicas,
//! gateways, engines and applications are the daemons' own state machines; the
//! simulator is only another driver of them. After each step the checkers
//! compare what callers heard, what back ends did and what was accepted.

pub mod checker;
mod control_host;
pub mod faults;
mod gateway_host;
mod message;
mod network;
mod operators;
mod service_hosts;
mod shrink;
mod workload;
mod world;

pub use checker::{Invariant, Violation};
pub use faults::{Fault, FaultKind, plan_faults};
pub use shrink::shrink;
pub use world::{Report, Scenario, run};
