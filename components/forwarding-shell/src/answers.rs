//! Answers that the gateway gives itself.

use garnet_forwarding::{AccessDenied, MIN_RETRY_AFTER};
use garnet_runtime::server::set_header;
use garnet_runtime::{Body, text_response};
use garnet_types::Millis;
use hyper::Response;

/// An answer of the gateway's own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OwnAnswer {
    /// The request is not in order.
    BadRequest,
    /// No route takes it.
    NoRoute,
    /// Its caller does not prove who it is.
    Unauthorized(AccessDenied),
    /// Its body is larger than allowed.
    TooLarge,
    /// Its body did not come in time; it has not run.
    TooSlow,
    /// It has not run and will not; come again after this time.
    NotRun(Millis),
    /// It has not run and will not: engines ended under it. For so long it is
    /// refused.
    Quarantined(Millis),
    /// It may have run, and there is no answer.
    InDoubt,
    /// Its time is over, and it may have run.
    TimedOut,
}

impl OwnAnswer {
    /// Name in logs and metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            OwnAnswer::BadRequest => "bad_request",
            OwnAnswer::NoRoute => "no_route",
            OwnAnswer::Unauthorized(denied) => denied.as_str(),
            OwnAnswer::TooLarge => "too_large",
            OwnAnswer::TooSlow => "too_slow",
            OwnAnswer::NotRun(_) => "not_run",
            OwnAnswer::Quarantined(_) => "quarantined",
            OwnAnswer::InDoubt => "in_doubt",
            OwnAnswer::TimedOut => "timed_out",
        }
    }

    /// The response.
    pub(crate) fn response(self, detail: &str) -> Response<Body> {
        let (status, text) = match self {
            OwnAnswer::BadRequest => (400, "the request is not in order"),
            OwnAnswer::NoRoute => (404, "no route takes this host and path"),
            OwnAnswer::Unauthorized(_) => (401, "the key is missing or not known"),
            OwnAnswer::TooLarge => (413, "the body is too large"),
            OwnAnswer::TooSlow => (408, "the body did not come in time; not run"),
            OwnAnswer::NotRun(_) => (503, "not run; it may be sent again"),
            // Of the two statuses that say "not run", the one that blames the
            // caller's requests and not the service.
            OwnAnswer::Quarantined(_) => (429, "not run; engines ended under this request"),
            OwnAnswer::InDoubt => (502, "no whole answer came; it may have run"),
            OwnAnswer::TimedOut => (504, "no answer in time; it may have run"),
        };
        let text = if detail.is_empty() {
            format!("{text}\n")
        } else {
            format!("{text}: {detail}\n")
        };
        let mut response = text_response(status, text);
        match self {
            OwnAnswer::NotRun(after) | OwnAnswer::Quarantined(after) => {
                let seconds = format!("{:.3}", after.as_secs_f64());
                set_header(&mut response, "retry-after", &seconds);
            }
            OwnAnswer::Unauthorized(_) => {
                set_header(&mut response, "www-authenticate", "Bearer");
            }
            _ => {}
        }
        response
    }
}

/// When a caller that was refused may come again: late enough for a moment's
/// crowd to pass, early enough for its answer to be useful.
pub(crate) fn retry_after(objective: Millis) -> Millis {
    Millis(objective.0 / 4).max(MIN_RETRY_AFTER)
}
