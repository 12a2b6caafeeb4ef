//! From answers to HTTP responses.

use garnet_gateway::{Answer, Call, CompletedText, openai};
use garnet_runtime::server::{set_header, with_type};
use garnet_runtime::{Body, json_response};
use garnet_types::{RecordedResponse, Refusal, RequestId};
use hyper::Response;

/// The whole response to a call that does not stream.
pub(crate) fn whole(call: &Call, answer: Answer) -> Response<Body> {
    match answer {
        Answer::Text(text) => text_response(call, &text),
        Answer::Response(response) => recorded_response(call.id, response),
        Answer::Refused(refusal) => refusal_response(call.id, &refusal),
    }
}

fn text_response(call: &Call, text: &CompletedText) -> Response<Body> {
    recorded_response(call.id, openai::completion_response(call, text))
}

fn recorded_response(id: RequestId, recorded: RecordedResponse) -> Response<Body> {
    let mut response = with_type(recorded.status, &recorded.content_type, recorded.body);
    set_header(&mut response, "garnet-served-by", &recorded.served_by);
    with_request_id(response, id)
}

/// The response to a refused call.
pub(crate) fn refusal_response(id: RequestId, refusal: &Refusal) -> Response<Body> {
    let body = openai::error_body(refusal, id);
    let mut response = json_response(refusal.code.status(), &body);
    if let Some(wait) = refusal.retry_after {
        let seconds = wait.as_secs_ceil().max(1).to_string();
        set_header(&mut response, "retry-after", &seconds);
    }
    with_request_id(response, id)
}

/// Adds the request's name.
pub(crate) fn with_request_id(mut response: Response<Body>, id: RequestId) -> Response<Body> {
    set_header(&mut response, "garnet-request-id", &id.to_string());
    response
}
