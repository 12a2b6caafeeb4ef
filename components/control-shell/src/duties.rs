//! The port to the platform for duties that only one replica performs at a time:
//! reporting usage and ordering engines.

use std::future::Future;

use garnet_control::{Duty, DutyAnswer, DutyCall};

/// Calls the platform.
pub trait DutyPort: Clone {
    /// Makes the call. Its connection is closed when no answer arrives in time.
    fn call(&self, call: DutyCall) -> impl Future<Output = DutyAnswer>;
}

/// A platform without duties: each call is refused.
#[derive(Debug, Clone, Copy)]
pub struct NoDuties;

impl DutyPort for NoDuties {
    async fn call(&self, _call: DutyCall) -> DutyAnswer {
        DutyAnswer::Refused
    }
}

/// Logs the outcome of a call.
pub(crate) fn log_answer(call: &DutyCall, answer: DutyAnswer) {
    match &call.duty {
        Duty::Usage { window, counts } => log::info!(
            token = call.token,
            window = window.0,
            tenants = counts.len(),
            requests = counts.values().sum::<u64>(),
            answer = answer.as_str();
            "usage_told"
        ),
        Duty::Fleet {
            service,
            zone,
            kind,
            engines,
        } => log::info!(
            token = call.token,
            service = service.as_str(),
            zone = zone.as_str(),
            kind = kind.as_str(),
            engines = *engines,
            answer = answer.as_str();
            "engines_ordered"
        ),
    }
}
