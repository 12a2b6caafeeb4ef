//! Settings of one gateway.

use garnet_routing::AdmissionSettings;
use garnet_types::{GatewayId, Millis};

/// Settings of one gateway.
#[derive(Debug, Clone)]
pub struct GatewaySettings {
    /// This start of the process.
    pub id: GatewayId,
    /// Zone it stands in; back ends in the same zone are preferred on a tie.
    pub zone: String,
    /// Seed of its choices.
    pub seed: u64,
    /// Highest configuration index that an earlier start worked by: nothing
    /// older is accepted.
    pub highest_index: u64,
    /// How often the leader is asked for changes.
    pub watch_interval: Millis,
    /// How often each engine is asked for its load.
    pub load_interval: Millis,
    /// How long an unanswered message about a claim waits until it is sent again.
    pub claim_resend_interval: Millis,
    /// Most requests that wait for room.
    pub waiting_capacity: usize,
    /// Most requests at one application instance at once.
    pub application_concurrency: usize,
    /// Admission.
    pub admission: AdmissionSettings,
}

impl GatewaySettings {
    /// Settings for a gateway near its replicas and back ends.
    pub fn new(id: GatewayId, seed: u64) -> Self {
        GatewaySettings {
            id,
            zone: String::new(),
            seed,
            highest_index: 0,
            watch_interval: Millis(400),
            load_interval: Millis(250),
            claim_resend_interval: Millis(500),
            waiting_capacity: 1024,
            application_concurrency: 64,
            admission: AdmissionSettings::default(),
        }
    }
}
