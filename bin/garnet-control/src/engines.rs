//! Questions to engines, over HTTP.

use std::time::Duration;

use garnet_control::{EngineRequest, Event, Replica};
use garnet_engine_api::paths;
use garnet_runtime::{HttpClient, client};
use garnet_types::{BackendId, EngineStatus, Millis, OrderAnswer};
use http_body_util::Full;
use hyper::Request;
use hyper::body::Bytes;
use serde::de::DeserializeOwned;
use smol::channel::Sender;

const PATIENCE: Duration = Duration::from_secs(1);

/// Whether a question may leave now: an order only under this leader's lease.
pub(crate) fn may_ask(replica: &Replica, request: &EngineRequest, now: Millis) -> bool {
    match request {
        EngineRequest::Status => true,
        EngineRequest::Order(order) => replica.may_send_order(order.fence, now),
    }
}

/// Asks and reports the answer. Silence is no event: the status grows old.
pub(crate) async fn ask(
    http: HttpClient,
    events: Sender<Event>,
    engine: BackendId,
    address: String,
    request: EngineRequest,
) {
    let event = match request {
        EngineRequest::Status => {
            let request = client::get_request(paths::STATUS);
            let status: Option<EngineStatus> = fetch(&http, &address, request).await;
            status.map(|status| Event::EngineStatus { engine, status })
        }
        EngineRequest::Order(order) => {
            log::info!(
                engine = engine.as_str(),
                fence = order.fence.to_string().as_str(),
                role = order.assignment.role.as_str();
                "order_sent"
            );
            let request = client::json_request("POST", paths::ORDERS, &order);
            let answer: Option<OrderAnswer> = fetch(&http, &address, request).await;
            answer.map(|answer| Event::EngineOrder { engine, answer })
        }
    };
    if let Some(event) = event {
        // The process may be stopping.
        let _unheard = events.send(event).await;
    }
}

/// The JSON answer to a request, if a whole and good one comes in time.
pub(crate) async fn fetch<T: DeserializeOwned>(
    http: &HttpClient,
    address: &str,
    request: Request<Full<Bytes>>,
) -> Option<T> {
    let response = http.send(address, request, PATIENCE).await.ok()?;
    if !response.status().is_success() {
        return None;
    }
    serde_json::from_slice(response.body()).ok()
}
