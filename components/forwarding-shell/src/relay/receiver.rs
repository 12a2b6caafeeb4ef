//! Requests that peer gateways hand to this one.

use std::rc::Rc;

use garnet_runtime::Body;
use garnet_runtime::RequestBody;
use garnet_runtime::server::{read_body_within, text_response};
use garnet_types::{BuildId, Framing};
use hyper::{Request, Response};

use crate::answers::OwnAnswer;
use crate::gateway::Gateway;
use crate::ports::{BackendPort, CallerPort};
use crate::request::{
    Handover, LEFT_TO_PEER, Unserved, begin_relayed, body_limits, own_answer, quarantine_answer,
    record_end, serve_directly, with_connection_close,
};

use super::message::{
    RelayOutcome, RelayedCall, take_build, write_build, write_framing, write_version,
};

/// Maximum number of peers' requests in flight. A gateway without a path hands over all of its
/// requests at once, and their bodies take memory.
const MAX_RELAYED_REQUESTS: usize = 256;

/// Answers a request of a peer gateway.
pub(crate) async fn handle<C, B>(
    gateway: Rc<Gateway<C, B>>,
    request: Request<RequestBody>,
) -> Response<Body>
where
    C: CallerPort + 'static,
    B: BackendPort + 'static,
{
    let mut response = match answer(&gateway, request).await {
        Ok(response) => {
            let own = response.extensions().get::<OwnAnswer>().copied();
            let outcome = own.map_or(RelayOutcome::Answered, RelayOutcome::Own);
            with_outcome(response, outcome)
        }
        Err(Declined::NotTaken(cause)) => {
            log::info!(cause = cause; "relayed_request_not_taken");
            let response = text_response(503, "not run; this gateway does not take the request\n");
            with_outcome(response, RelayOutcome::Unavailable)
        }
        Err(Declined::Left) => {
            let response = text_response(502, "this gateway stops; the request may have run\n");
            with_outcome(response, RelayOutcome::Left)
        }
    };
    response = with_connection_close(&gateway, response);
    response
}

/// Why a request is left to the peer.
enum Declined {
    /// It is not taken, for this reason, and has not run.
    NotTaken(&'static str),
    /// It may have run, and has no answer shortly before the end of a planned stop.
    Left,
}

async fn answer<C, B>(
    gateway: &Rc<Gateway<C, B>>,
    request: Request<RequestBody>,
) -> Result<Response<Body>, Declined>
where
    C: CallerPort + 'static,
    B: BackendPort + 'static,
{
    let arrived = gateway.now();
    let (mut head, body) = request.into_parts();
    let call = RelayedCall::take(&mut head.headers);
    let build = take_build(&mut head.headers);
    let limits = gateway.forwarder.borrow().limits();
    let body = read_body_within(&gateway.budget, body, &body_limits(limits)).await;
    let call = call.ok_or(Declined::NotTaken("malformed"))?;
    let body = body.map_err(|_| Declined::NotTaken("body"))?;
    let facts = gateway
        .callers
        .read(&head)
        .map_err(|_| Declined::NotTaken("head"))?;
    if gateway.is_stopping() {
        return Err(Declined::NotTaken("stopping"));
    }
    if gateway.relayed_requests.get() >= MAX_RELAYED_REQUESTS {
        return Err(Declined::NotTaken("too_many"));
    }
    let version = gateway.forwarder.borrow().routes_version();
    if version.is_none_or(|version| version < call.routes_version) {
        return Err(Declined::NotTaken("older_routes"));
    }
    let handover = Handover {
        service: call.service,
        tenant: call.tenant,
        arrived: arrived.since(call.elapsed),
        due: arrived + call.remaining,
        attempts_left: call.attempts_left,
        resume_after: call.resume_after,
        is_counted: call.is_counted,
        build,
    };
    let running = begin_relayed(gateway, head, facts, body, handover);
    let running = running.ok_or(Declined::NotTaken("no_route"))?;
    let unserved = match quarantine_answer(gateway, &running).await {
        Some(answer) => Unserved { running, answer },
        None => match serve_directly(gateway, running).await {
            Ok(response) => return Ok(response),
            Err(unserved) => unserved,
        },
    };
    answer_unserved(gateway, &unserved)
}

fn answer_unserved<C, B>(
    gateway: &Gateway<C, B>,
    unserved: &Unserved,
) -> Result<Response<Body>, Declined>
where
    C: CallerPort + 'static,
    B: BackendPort + 'static,
{
    let Unserved { running, answer } = unserved;
    match answer {
        OwnAnswer::Stopping => {
            record_end(gateway, running, OwnAnswer::Stopping.as_str(), 0);
            Err(Declined::NotTaken("stopping"))
        }
        OwnAnswer::InDoubt if gateway.stop_end.is_near() => {
            record_end(gateway, running, LEFT_TO_PEER, 0);
            Err(Declined::Left)
        }
        answer => Ok(own_answer(gateway, running, *answer)),
    }
}

/// Adds the outcome, the version of this relay, and how the back end marked the end of its answer.
/// The answer to the peer always marks its end, as the peer could not distinguish the end of a relay
/// otherwise.
fn with_outcome(mut response: Response<Body>, outcome: RelayOutcome) -> Response<Body> {
    let build = response.extensions_mut().remove::<BuildId>();
    write_build(build.as_ref(), response.headers_mut());
    let framing = response.extensions_mut().remove::<Framing>();
    write_framing(
        framing.unwrap_or(Framing::Delimited),
        response.headers_mut(),
    );
    write_version(response.headers_mut());
    outcome.write(response.headers_mut());
    response
}
