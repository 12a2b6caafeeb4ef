//! Callers that know what they sent and what came back.

use std::rc::Rc;
use std::time::Duration;

use garnet_runtime::client::HttpError;
use rand::RngExt;
use rand_pcg::Pcg64;
use serde_json::Value;
use smol::Timer;

use super::Soak;
use super::checks::{Call, Outcome};
use super::fleet::{GATEWAYS, SERVICE};
use garnet_runtime::client::build_request;

/// Longest wait for an answer: longer than the deadline that callers tell.
const PATIENCE: Duration = Duration::from_secs(15);
const DEADLINE_MS: &str = "5000";
/// Part of the calls that carry a key.
const KEYED: f64 = 0.8;
/// Most times that a call without a clear answer is sent again.
const RESENDS: usize = 3;
/// Longest rest between two calls of a caller.
const LONGEST_REST_MS: u64 = 40;

/// Whether a gateway serves a call now. It counts like any other.
pub(super) async fn probe(soak: &Rc<Soak>, gateway: &str, key: &str) -> bool {
    let mut call = Call::new(key.to_owned(), true);
    let outcome = send(soak, gateway, &mut call).await;
    soak.seen.borrow_mut().calls.push(call);
    outcome == Outcome::Answered
}

/// Calls until the soak is over.
pub(super) async fn call_until_over(soak: Rc<Soak>, caller: usize, mut random: Pcg64) {
    let mut number = 0_u64;
    while !soak.over.get() {
        let keyed = random.random_bool(KEYED);
        let mut call = Call::new(format!("call-{caller}-{number}"), keyed);
        number += 1;
        for _ in 0..=RESENDS {
            let gateways = soak.fleet.borrow().gateways();
            let gateway = &gateways[random.random_range(0..GATEWAYS)];
            let outcome = send(&soak, gateway, &mut call).await;
            if outcome.is_clear() || !keyed {
                break;
            }
            rest(&mut random).await;
        }
        soak.seen.borrow_mut().calls.push(call);
        rest(&mut random).await;
    }
}

async fn rest(random: &mut Pcg64) {
    let rest = random.random_range(1..LONGEST_REST_MS);
    Timer::after(Duration::from_millis(rest)).await;
}

/// Sends the call once and notes what came of it.
async fn send(soak: &Rc<Soak>, gateway: &str, call: &mut Call) -> Outcome {
    let path = format!("/services/{SERVICE}/check");
    let body = call.body().into_bytes();
    let Ok(mut request) = build_request("POST", &path, "text/plain", body) else {
        return Outcome::NoAnswer;
    };
    let mut set = |name: &'static str, value: &str| {
        if let Ok(value) = value.parse() {
            request.headers_mut().insert(name, value);
        }
    };
    set("garnet-tenant", "soak");
    set("garnet-deadline-ms", DEADLINE_MS);
    if call.keyed {
        set("idempotency-key", &call.key);
    }
    let sent_ms = soak.elapsed_ms();
    let outcome = match soak.http.send(gateway, request, PATIENCE).await {
        Ok(response) => judge(call, response.status().as_u16(), response.body()),
        Err(HttpError::NotSent(_) | HttpError::Withheld) => Outcome::NotSent,
        Err(
            HttpError::Broken(_)
            | HttpError::NoAnswer(_)
            | HttpError::TooLong(_)
            | HttpError::NoRoom(_),
        ) => Outcome::Broken,
        Err(HttpError::TimedOut) => Outcome::NoAnswer,
    };
    call.note(gateway, sent_ms, soak.elapsed_ms(), outcome);
    outcome
}

fn judge(call: &Call, status: u16, body: &[u8]) -> Outcome {
    let Ok(answer) = serde_json::from_slice::<Value>(body) else {
        return Outcome::Garbled;
    };
    if status == 200 {
        let own = answer["echo"].as_str() == Some(&call.body());
        return if own {
            Outcome::Answered
        } else {
            Outcome::Garbled
        };
    }
    match &answer["ran"] {
        Value::Bool(false) => Outcome::NotRun,
        _ => Outcome::InDoubt,
    }
}
