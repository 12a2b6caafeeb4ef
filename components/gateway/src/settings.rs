//! Settings of one gateway.

use garnet_routing::AdmissionSettings;
use garnet_types::{GatewayId, Millis};

/// Settings of one gateway.
#[derive(Debug, Clone)]
pub struct GatewaySettings {
    /// Identifier of this gateway and this start of its process.
    pub id: GatewayId,
    /// Zone of the gateway; on a tie, back ends in the same zone are preferred.
    pub zone: String,
    /// Seed for random choices.
    pub seed: u64,
    /// Highest configuration index used by an earlier start of the process; older
    /// configurations are not accepted.
    pub highest_index: u64,
    /// Interval between watches, which request configuration changes from the leader.
    pub watch_interval: Millis,
    /// Interval between load polls of each engine.
    pub load_interval: Millis,
    /// Time after which an unanswered message about a claim is sent again.
    pub claim_resend_interval: Millis,
    /// Maximum number of requests that wait for capacity.
    pub waiting_capacity: usize,
    /// Maximum number of requests in flight at one application instance.
    pub application_concurrency: usize,
    /// Settings of admission control.
    pub admission: AdmissionSettings,
    /// Whether the gateway records the runs during which an engine crashed. Simulations run
    /// gateways of earlier builds, which do not.
    pub records_crashes: bool,
}

impl GatewaySettings {
    /// Default settings, for a gateway close to its replicas and back ends.
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
            records_crashes: true,
        }
    }
}
