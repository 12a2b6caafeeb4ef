//! Experiments on a token mix that shifts: a deployment, its demand, the
//! strategy that decides roles, and what callers got.

mod demand;
mod deployment;
mod outcome;
mod steering;
mod traffic;

pub use demand::{Demand, Segment};
pub use deployment::{Deployment, RequestKind};
pub use outcome::{KindReport, MixReport, PART, Quantiles};
pub use steering::Strategy;

pub(crate) use deployment::SESSIONS_OF_A_KIND;
pub(crate) use steering::{REACTIVE_WINDOW, Steering};
pub(crate) use traffic::MixTraffic;

/// An experiment: a deployment under one strategy.
#[derive(Debug, Clone)]
pub struct Experiment {
    /// What is deployed and asked.
    pub deployment: Deployment,
    /// Who decides the engines' roles.
    pub strategy: Strategy,
}
