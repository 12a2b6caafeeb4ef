//! The port to engines: their state, and orders under a fence.

use std::future::Future;

use garnet_control::{EngineRequest, Event, Replica};
use garnet_types::{BackendId, Millis};

/// Asks engines.
pub trait EnginePort: Clone {
    /// Asks and gives back the answer as an event. Silence is `None`: the
    /// state that is known grows old.
    fn ask(
        &self,
        engine: BackendId,
        address: String,
        request: EngineRequest,
    ) -> impl Future<Output = Option<Event>>;
}

/// Whether a question may leave now: an order only under this leader's lease.
pub(crate) fn may_ask(replica: &Replica, request: &EngineRequest, now: Millis) -> bool {
    match request {
        EngineRequest::Status => true,
        EngineRequest::Order(order) => replica.may_send_order(order.fence, now),
    }
}
