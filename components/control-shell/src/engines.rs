//! The port to engines: status requests, and orders that carry a fence.

use std::future::Future;

use garnet_control::{EngineRequest, Event, Replica};
use garnet_types::{BackendId, Millis};

/// Sends requests to engines.
pub trait EnginePort: Clone {
    /// Sends a request and returns the answer as an event, or `None` when no answer
    /// came: the replica then keeps the last state that it received.
    fn ask(
        &self,
        engine: BackendId,
        address: String,
        request: EngineRequest,
    ) -> impl Future<Output = Option<Event>>;
}

/// Whether a request may be sent now. An order may be sent only while this leader holds
/// its lease.
pub(crate) fn may_send(replica: &Replica, request: &EngineRequest, now: Millis) -> bool {
    match request {
        EngineRequest::Status => true,
        EngineRequest::Order(order) => replica.may_send_order(order.fence, now),
    }
}
