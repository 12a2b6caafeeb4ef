//! The operators' HTTP interface, under `/admin/v1/`.

use std::rc::Rc;
use std::sync::Arc;

use garnet_control::{
    Command, CommandAnswer, CommandEnvelope, MemberChange, OperatorAnswer, OperatorRequest,
    Session, StatusView,
};
use garnet_runtime::RequestBody;
use garnet_runtime::metrics::{self, Sample};
use garnet_runtime::server::{read_body, set_header, with_type};
use garnet_runtime::{Body, Limits, json_response, read_json, text_response};
use garnet_types::{
    BackendId, CommandId, EngineAssignment, Millis, ModelId, ReplicaId, ServiceId, SessionId,
    TenantId,
};
use hyper::{Method, Request, Response};
use serde::Deserialize;
use serde_json::json;

use garnet_control_shell::{Connections, ReplicaMetrics};

const PREFIX: &str = "/admin/v1/";
/// Header that names a command, so that it can be sent again.
const COMMAND_ID_HEADER: &str = "garnet-command-id";

/// What the interface needs of the process.
#[derive(Clone)]
pub(crate) struct Admin {
    connections: Connections,
    metrics: Rc<ReplicaMetrics>,
}

impl Admin {
    pub(crate) fn new(connections: Connections, metrics: Rc<ReplicaMetrics>) -> Self {
        Admin {
            connections,
            metrics,
        }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct SessionBody {
    tenant: String,
    service: String,
    model: Option<String>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct MemberBody {
    id: u64,
    peer: String,
    admin: String,
}

/// What the query and the headers say of a command.
struct Options {
    expected_revision: Option<u64>,
    wait: bool,
    command_id: Option<CommandId>,
}

/// Answers one request.
pub(crate) async fn handle(admin: Admin, request: Request<RequestBody>) -> Response<Body> {
    let path = request.uri().path().to_owned();
    match path.as_str() {
        "/healthz" => return text_response(200, "ok\n"),
        "/readyz" => return ready(&admin).await,
        "/metrics" => return show_metrics(&admin).await,
        _ => {}
    }
    let Some(rest) = path.strip_prefix(PREFIX) else {
        return unknown_path();
    };
    let parts: Vec<&str> = rest.split('/').collect();
    let options = match read_options(&request) {
        Ok(options) => options,
        Err(message) => return bad_request(&message),
    };
    let method = request.method().clone();
    match (method, parts.as_slice()) {
        (Method::GET, ["status"]) => ask(&admin, OperatorRequest::Status).await,
        (Method::GET, ["configuration"]) => ask(&admin, OperatorRequest::Configuration).await,
        (Method::PUT, ["sessions", id]) => put_session(&admin, id, request, options).await,
        (Method::DELETE, ["sessions", id]) => {
            let command = Command::CloseSession(SessionId::new(*id));
            submit(&admin, command, options).await
        }
        (Method::PUT, ["policies", name]) => put_policy(&admin, name, request, options).await,
        (Method::DELETE, ["policies", name]) => {
            let command = Command::WithdrawPolicy((*name).to_owned());
            submit(&admin, command, options).await
        }
        (Method::GET, ["routes"]) => ask(&admin, OperatorRequest::Routes).await,
        (Method::PUT, ["routes"]) => put_routes(&admin, request, options).await,
        (Method::PUT, ["engines", id, "assignment"]) => {
            put_assignment(&admin, id, request, options).await
        }
        (Method::DELETE, ["backends", id]) => {
            let command = Command::RemoveBackend(BackendId::new(*id));
            submit(&admin, command, options).await
        }
        (Method::DELETE, ["quarantine", fingerprint]) => {
            release(&admin, fingerprint, options).await
        }
        (Method::POST, ["members"]) => add_member(&admin, request).await,
        (Method::POST, ["members", id, "promote"]) => {
            change_member(&admin, id, MemberChange::Promote).await
        }
        (Method::DELETE, ["members", id]) => change_member(&admin, id, MemberChange::Remove).await,
        (Method::POST, ["level"]) => ask(&admin, OperatorRequest::RaiseLevel).await,
        (Method::POST, ["leader", "transfer"]) => {
            let change = MemberChange::TransferLeadership;
            ask(&admin, OperatorRequest::Member(change)).await
        }
        _ => unknown_path(),
    }
}

// ---- Commands ----

/// A request that is refused may be sent to engines again.
async fn release(admin: &Admin, fingerprint: &str, options: Options) -> Response<Body> {
    match fingerprint.parse() {
        Ok(fingerprint) => submit(admin, Command::ReleaseRequest(fingerprint), options).await,
        Err(error) => bad_request(&format!("{fingerprint}: {error}")),
    }
}

async fn put_session(
    admin: &Admin,
    id: &str,
    request: Request<RequestBody>,
    options: Options,
) -> Response<Body> {
    let body: SessionBody = match read_json(request).await {
        Ok(body) => body,
        Err(response) => return response,
    };
    let session = Session {
        id: SessionId::new(id),
        tenant: TenantId::new(body.tenant),
        service: ServiceId::new(body.service),
        model: body.model.map(ModelId::new),
    };
    submit(admin, Command::CreateSession(session), options).await
}

async fn put_policy(
    admin: &Admin,
    name: &str,
    request: Request<RequestBody>,
    options: Options,
) -> Response<Body> {
    match read_text(request).await {
        Ok(document) => {
            let name = name.to_owned();
            submit(admin, Command::PutPolicy { name, document }, options).await
        }
        Err(response) => response,
    }
}

async fn put_routes(
    admin: &Admin,
    request: Request<RequestBody>,
    options: Options,
) -> Response<Body> {
    let document = match read_text(request).await {
        Ok(document) => document,
        Err(response) => return response,
    };
    match garnet_routes::read_document(&document) {
        Ok(table) => {
            let table = Arc::new(table);
            submit(admin, Command::PutRoutes { table, document }, options).await
        }
        Err(findings) => json_response(400, &json!({"code": "invalid", "findings": findings.0})),
    }
}

async fn read_text(request: Request<RequestBody>) -> Result<String, Response<Body>> {
    let Ok(bytes) = read_body(request.into_body(), &Limits::default()).await else {
        return Err(bad_request("the body is not whole, or too large"));
    };
    String::from_utf8(bytes.to_vec()).map_err(|_| bad_request("the document is not UTF-8 text"))
}

async fn put_assignment(
    admin: &Admin,
    id: &str,
    request: Request<RequestBody>,
    options: Options,
) -> Response<Body> {
    let assignment: EngineAssignment = match read_json(request).await {
        Ok(assignment) => assignment,
        Err(response) => return response,
    };
    let engine = BackendId::new(id);
    submit(admin, Command::Assign { engine, assignment }, options).await
}

async fn submit(admin: &Admin, command: Command, options: Options) -> Response<Body> {
    let envelope = CommandEnvelope {
        command_id: options.command_id,
        expected_revision: options.expected_revision,
        at: Millis::ZERO,
        command,
    };
    let wait = options.wait;
    ask(admin, OperatorRequest::Command { envelope, wait }).await
}

// ---- Members ----

async fn add_member(admin: &Admin, request: Request<RequestBody>) -> Response<Body> {
    let body: MemberBody = match read_json(request).await {
        Ok(body) => body,
        Err(response) => return response,
    };
    let change = MemberChange::AddLearner {
        id: ReplicaId(body.id),
        peer_address: body.peer,
        admin_address: body.admin,
    };
    ask(admin, OperatorRequest::Member(change)).await
}

async fn change_member(
    admin: &Admin,
    id: &str,
    change: impl Fn(ReplicaId) -> MemberChange,
) -> Response<Body> {
    match id.parse() {
        Ok(id) => {
            let change = change(ReplicaId(id));
            ask(admin, OperatorRequest::Member(change)).await
        }
        Err(_) => bad_request("a member's identity is a whole number"),
    }
}

// ---- Answers ----

async fn ask(admin: &Admin, request: OperatorRequest) -> Response<Body> {
    match admin.connections.ask(request).await {
        Some(answer) => answer_response(answer),
        None => json_response(
            504,
            &json!({"code": "unconfirmed", "message": "no answer in time; send it again"}),
        ),
    }
}

fn answer_response(answer: OperatorAnswer) -> Response<Body> {
    match answer {
        OperatorAnswer::Committed { answer, in_force } => committed_response(answer, in_force),
        OperatorAnswer::Configuration(configuration) => json_response(200, &configuration),
        OperatorAnswer::Routes(Some(document)) => {
            with_type(200, "application/json", document.into_bytes())
        }
        OperatorAnswer::Routes(None) => json_response(404, &json!({"code": "not_found"})),
        OperatorAnswer::Status(status) => json_response(200, &status),
        OperatorAnswer::Refused(message) => {
            json_response(400, &json!({"code": "refused", "message": message}))
        }
        OperatorAnswer::NotYet(message) => {
            json_response(503, &json!({"code": "not_yet", "message": message}))
        }
        OperatorAnswer::Unconfirmed => json_response(
            503,
            &json!({"code": "unconfirmed", "message": "the leader changed; send it again with the same command id"}),
        ),
        OperatorAnswer::NotLeader(leader) => not_leader_response(leader),
    }
}

fn committed_response(answer: CommandAnswer, in_force: bool) -> Response<Body> {
    match answer {
        CommandAnswer::Accepted { revision } => json_response(
            200,
            &json!({"code": "accepted", "revision": revision, "in_force": in_force}),
        ),
        CommandAnswer::Conflict { current_revision } => json_response(
            409,
            &json!({"code": "conflict", "current_revision": current_revision}),
        ),
        CommandAnswer::NotFound => json_response(404, &json!({"code": "not_found"})),
        CommandAnswer::Rejected(message) => {
            json_response(409, &json!({"code": "rejected", "message": message}))
        }
        CommandAnswer::Claim(_) => json_response(500, &json!({"code": "internal"})),
    }
}

fn not_leader_response(leader: Option<String>) -> Response<Body> {
    let body = json!({"code": "not_leader", "leader": leader});
    let mut response = json_response(421, &body);
    if let Some(leader) = leader {
        set_header(&mut response, "garnet-leader", &leader);
    }
    response
}

fn unknown_path() -> Response<Body> {
    json_response(404, &json!({"code": "unknown_path"}))
}

fn bad_request(message: &str) -> Response<Body> {
    json_response(400, &json!({"code": "invalid", "message": message}))
}

fn read_options(request: &Request<RequestBody>) -> Result<Options, String> {
    let mut options = Options {
        expected_revision: None,
        wait: false,
        command_id: request
            .headers()
            .get(COMMAND_ID_HEADER)
            .and_then(|value| value.to_str().ok())
            .map(CommandId::new),
    };
    for pair in request.uri().query().unwrap_or("").split('&') {
        match pair.split_once('=') {
            Some(("wait", flag)) => options.wait = flag == "true",
            Some(("expected_revision", number)) => {
                let parsed = number.parse();
                let revision = parsed.map_err(|_| "expected_revision is no whole number")?;
                options.expected_revision = Some(revision);
            }
            None if pair.is_empty() => {}
            _ => return Err(format!("unknown option \"{pair}\"")),
        }
    }
    Ok(options)
}

// ---- Health ----

async fn status(admin: &Admin) -> Option<StatusView> {
    match admin.connections.ask(OperatorRequest::Status).await {
        Some(OperatorAnswer::Status(status)) => Some(*status),
        _ => None,
    }
}

/// Ready: it knows a leader, so it can answer or point to it.
async fn ready(admin: &Admin) -> Response<Body> {
    match status(admin).await {
        Some(status) if status.leader.is_some() => text_response(200, "ready\n"),
        _ => text_response(503, "no leader is known\n"),
    }
}

async fn show_metrics(admin: &Admin) -> Response<Body> {
    let Some(status) = status(admin).await else {
        return text_response(503, "the replica does not answer\n");
    };
    let leads = u64::from(status.holds_lease);
    let samples = [
        Sample::new("control_term", "Term of the replica.", status.term),
        Sample::new(
            "control_leader",
            "Whether it leads and holds its lease.",
            leads,
        ),
        Sample::new(
            "control_commit_index",
            "Highest committed index.",
            status.commit_index,
        ),
        Sample::new(
            "control_applied_index",
            "Highest applied index.",
            status.applied_index,
        ),
        Sample::new(
            "control_configuration_index",
            "Index of the configuration.",
            status.configuration_index,
        ),
        Sample::new(
            "control_claims",
            "Claims that are kept.",
            status.claims as u64,
        ),
        Sample::new(
            "control_gateways",
            "Gateways known.",
            status.gateways.len() as u64,
        ),
        Sample::new(
            "control_orders",
            "Orders not settled.",
            status.orders.len() as u64,
        ),
    ];
    let text = metrics::join_pages(&metrics::render(&samples), &admin.metrics.render());
    with_type(200, metrics::CONTENT_TYPE, text.into_bytes())
}
