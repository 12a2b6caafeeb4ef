//! The whole system in virtual time, with faults and checkers.
//!
//! Contract: a run is a function of its seed and [`Scenario`]. Replicas,
//! gateways, engines and applications are the daemons' own state machines; the
//! simulator is only another driver of them. After each step the checkers
//! compare what callers heard, what back ends did and what was accepted.

mod callers;
pub mod checker;
mod control_host;
pub mod faults;
mod gateway_host;
mod message;
pub mod mix;
mod network;
mod operators;
mod scenario;
mod service_hosts;
mod shrink;
mod timeline;
mod workload;
mod world;

pub use checker::{Invariant, Violation};
pub use faults::{Fault, FaultKind, plan_faults};
pub use message::Host;
pub use mix::{Deployment, Experiment, MixReport, RequestKind, Strategy};
pub use scenario::{Report, Scenario};
pub use shrink::shrink;
pub use timeline::{TimelineEntry, TimelineEvent};
pub use world::run;
