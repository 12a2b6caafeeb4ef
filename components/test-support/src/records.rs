//! Back ends as a configuration lists them.

use garnet_control::{BackendRecord, BackendRegistration, EngineObservation};
use garnet_types::{EngineAssignment, MachineState};

/// A registered back end whose machine is up and which has no order. An engine carries out
/// `assignment`.
pub fn live_record(
    registration: BackendRegistration,
    assignment: Option<EngineAssignment>,
) -> BackendRecord {
    let observed = assignment.map(|assignment| EngineObservation {
        incarnation: 1,
        assignment,
    });
    BackendRecord {
        registration,
        machine: MachineState::Live,
        desired: None,
        observed,
        order: None,
        revision: 1,
    }
}
