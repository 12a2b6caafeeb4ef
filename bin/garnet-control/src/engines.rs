//! Questions to engines, over HTTP.

use std::time::Duration;

use garnet_control::{EngineRequest, Event};
use garnet_control_shell::EnginePort;
use garnet_engine_api::paths;
use garnet_runtime::client::MAX_SHORT_ANSWER;
use garnet_runtime::{HttpClient, client};
use garnet_types::{BackendId, EngineStatus, OrderAnswer};
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::{Request, Response};
use serde::de::DeserializeOwned;

const PATIENCE: Duration = Duration::from_secs(1);

/// Engines that speak the product's own interface.
#[derive(Clone)]
pub(crate) struct EngineHttp {
    http: HttpClient,
}

impl EngineHttp {
    pub(crate) fn new(http: HttpClient) -> Self {
        EngineHttp {
            http: http.with_max_answer(MAX_SHORT_ANSWER),
        }
    }
}

impl EnginePort for EngineHttp {
    async fn ask(
        &self,
        engine: BackendId,
        address: String,
        request: EngineRequest,
    ) -> Option<Event> {
        match request {
            EngineRequest::Status => {
                let request = client::get_request(paths::STATUS);
                let status: EngineStatus = fetch(&self.http, &address, request).await?;
                Some(Event::EngineStatus { engine, status })
            }
            EngineRequest::Order(order) => {
                log::info!(
                    engine = engine.as_str(),
                    fence = order.fence.to_string().as_str(),
                    role = order.assignment.role.as_str();
                    "order_sent"
                );
                let request = client::json_request("POST", paths::ORDERS, &order);
                // An earlier answer on a kept connection would acknowledge this order.
                let sent = self.http.send_once(&address, request, PATIENCE);
                let answer: OrderAnswer = read_json(&sent.await.ok()?)?;
                Some(Event::OrderAnswered { engine, answer })
            }
        }
    }
}

/// The JSON answer to a request, if a whole and good one comes in time.
pub(crate) async fn fetch<T: DeserializeOwned>(
    http: &HttpClient,
    address: &str,
    request: Request<Full<Bytes>>,
) -> Option<T> {
    let response = http.send(address, request, PATIENCE).await.ok()?;
    read_json(&response)
}

fn read_json<T: DeserializeOwned>(response: &Response<Bytes>) -> Option<T> {
    if !response.status().is_success() {
        return None;
    }
    serde_json::from_slice(response.body()).ok()
}
