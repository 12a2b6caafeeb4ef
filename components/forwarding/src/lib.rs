//! The decisions of a gateway about forwarded work: opaque requests with typed facts,
//! which are passed on to the back ends of a route's service.
//!
//! Contract: no socket, file or clock. [`Forwarder`] holds the gateway's view: the route
//! table, the back ends, and estimates of their load and health. The choice of a back end
//! is a pure function over that view ([`placement`]), and so is the decision after an
//! attempt ended ([`next_move`]).

mod access;
mod admission;
mod answer_times;
mod attempts;
mod backend_groups;
mod backends;
mod cache_lifetime;
mod connections;
mod forwarder;
mod output_length;
mod pace;
mod paths;
mod peer_load;
pub mod placement;
mod prefill_choice;
mod relays;
mod residency;
mod retry_budget;
mod silence;
mod usage;
mod work;

pub use access::{AccessDenied, Credential};
pub use admission::{Admission, Arrival, MIN_RETRY_AFTER};
pub use attempts::{AttemptEnd, GivenUp, NextMove, NotRunReason, Progress, next_move};
pub use backends::{Backend, BackendLoad, LoadReport};
pub use connections::ConnectionShare;
pub use forwarder::{
    Forwarder, ForwarderSettings, GatewayReport, PrefillWork, ReportedLimit, RouteChoice,
};
pub use garnet_routing::{Probe, RetryAfter, RetryAfterError};
pub use pace::{PrefillPace, TokenTime};
pub use paths::{PathChange, PathId, PathPhase};
pub use placement::{Failures, Placement, PlacementContext};
pub use relays::RelayDirectory;
pub use residency::Residency;
pub use retry_budget::SharedRetryBudget;
pub use silence::SilenceLimits;
pub use usage::UsageMeter;
pub use work::{Prefix, Prompt, PromptPart, Work};
