//! Talks to whichever replica leads.

use std::rc::Rc;
use std::time::Duration;

use garnet_runtime::HttpClient;
use garnet_runtime::client::build_request;
use serde_json::Value;
use smol::{LocalExecutor, Timer};

/// Longest wait for one answer: a waiting command has 30 seconds.
const PATIENCE: Duration = Duration::from_secs(45);
/// Rounds over all replicas before it is given up.
const ROUNDS: usize = 40;
const PAUSE: Duration = Duration::from_millis(250);

/// Status by which a replica points to the leader.
const NOT_LEADER: u16 = 421;

/// A request to the operators' interface.
#[derive(Debug, Clone)]
pub(crate) struct AdminRequest {
    pub(crate) method: &'static str,
    pub(crate) path: String,
    pub(crate) content_type: &'static str,
    pub(crate) body: Vec<u8>,
    pub(crate) command_id: String,
}

/// An answer of the operators' interface.
#[derive(Debug, Clone)]
pub(crate) struct AdminAnswer {
    pub(crate) status: u16,
    pub(crate) body: Value,
}

/// Sends a request until a leader answers. The command id makes that safe.
pub(crate) fn send(controls: &[String], request: &AdminRequest) -> Option<AdminAnswer> {
    let executor = Rc::new(LocalExecutor::new());
    let http = HttpClient::new(Rc::clone(&executor));
    smol::block_on(executor.run(send_to_leader(&http, controls, request)))
}

/// Sends a request to one replica, once.
pub(crate) fn send_once(control: &str, request: &AdminRequest) -> Option<AdminAnswer> {
    let executor = Rc::new(LocalExecutor::new());
    let http = HttpClient::new(Rc::clone(&executor));
    smol::block_on(executor.run(exchange(&http, control, request)))
}

async fn send_to_leader(
    http: &HttpClient,
    controls: &[String],
    request: &AdminRequest,
) -> Option<AdminAnswer> {
    for _ in 0..ROUNDS {
        for control in controls {
            if let Some(answer) = follow(http, control, request).await {
                return Some(answer);
            }
        }
        Timer::after(PAUSE).await;
    }
    None
}

/// Asks a replica, and the leader that it points to. `None` when neither gave
/// a final answer.
async fn follow(http: &HttpClient, control: &str, request: &AdminRequest) -> Option<AdminAnswer> {
    let answer = exchange(http, control, request).await?;
    if answer.status == NOT_LEADER {
        let leader = answer.body.get("leader")?.as_str()?.to_owned();
        let answer = exchange(http, &leader, request).await?;
        return is_final(&answer).then_some(answer);
    }
    is_final(&answer).then_some(answer)
}

fn is_final(answer: &AdminAnswer) -> bool {
    let unconfirmed = answer.body.get("code").and_then(Value::as_str) == Some("unconfirmed");
    answer.status != NOT_LEADER && !unconfirmed
}

async fn exchange(http: &HttpClient, control: &str, request: &AdminRequest) -> Option<AdminAnswer> {
    let mut built = build_request(
        request.method,
        &request.path,
        request.content_type,
        request.body.clone(),
    )
    .ok()?;
    if let Ok(id) = request.command_id.parse() {
        built.headers_mut().insert("garnet-command-id", id);
    }
    let response = http.send(control, built, PATIENCE).await.ok()?;
    let text = String::from_utf8_lossy(response.body()).into_owned();
    let body = serde_json::from_str(&text).unwrap_or(Value::String(text));
    Some(AdminAnswer {
        status: response.status().as_u16(),
        body,
    })
}
