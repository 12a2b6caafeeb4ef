//! Callers of streamed texts, which know the text that has to come.

use std::rc::Rc;
use std::time::Duration;

use garnet_runtime::client::{HttpError, StreamedResponse, build_request};
use garnet_stand_in::text::{BUILDS, expected_text};
use rand::RngExt;
use rand_pcg::Pcg64;
use serde_json::{Value, json};
use smol::Timer;

use super::Soak;
use super::checks::{Call, Outcome};
use super::fleet::{GATEWAYS, MODEL};
use crate::text_stream::TextStream;

/// Tokens of one text: some tenths of a second long, so that faults meet it.
const TOKENS: u64 = 24;
const DEADLINE_MS: &str = "10000";
/// A stream that says nothing for so long is left.
const PATIENCE: Duration = Duration::from_secs(15);
const LONGEST_REST_MS: u64 = 60;

/// Asks for texts until the soak is over.
pub(super) async fn ask_until_over(soak: Rc<Soak>, caller: usize, mut random: Pcg64) {
    let mut number = 0_u64;
    while !soak.over.get() {
        let gateways = soak.fleet.borrow().gateways();
        let gateway = &gateways[random.random_range(0..GATEWAYS)];
        let mut call = Call::new(format!("text-{caller}-{number}"), false);
        number += 1;
        let sent_ms = soak.elapsed_ms();
        let outcome = ask(&soak, gateway, &call.body()).await;
        call.note(gateway, sent_ms, soak.elapsed_ms(), outcome);
        soak.seen.borrow_mut().streams.push(call);
        let rest = random.random_range(1..LONGEST_REST_MS);
        Timer::after(Duration::from_millis(rest)).await;
    }
}

pub(super) async fn ask(soak: &Rc<Soak>, gateway: &str, prompt: &str) -> Outcome {
    let body = json!({"model": MODEL, "prompt": prompt, "max_tokens": TOKENS, "stream": true});
    let body = body.to_string().into_bytes();
    let Ok(mut request) = build_request("POST", "/v1/completions", "application/json", body) else {
        return Outcome::NoAnswer;
    };
    for (name, value) in [
        ("garnet-tenant", "soak"),
        ("garnet-deadline-ms", DEADLINE_MS),
    ] {
        if let Ok(value) = value.parse() {
            request.headers_mut().insert(name, value);
        }
    }
    let reading = async {
        match soak.http.stream(gateway, request).await {
            Ok(response) => read(response, prompt).await,
            Err(HttpError::NotSent(_) | HttpError::Withheld) => Outcome::NotSent,
            Err(_) => Outcome::Broken,
        }
    };
    let late = async {
        Timer::after(PATIENCE).await;
        Outcome::NoAnswer
    };
    smol::future::or(reading, late).await
}

async fn read(mut response: StreamedResponse, prompt: &str) -> Outcome {
    let mut bytes = Vec::new();
    let ended_well = loop {
        match response.next().await {
            Ok(Some(chunk)) => bytes.extend_from_slice(&chunk),
            Ok(None) => break true,
            Err(_) => break false,
        }
    };
    if response.response.status().is_success() {
        let mut stream = TextStream::default();
        stream.push(&bytes);
        let expected = BUILDS.map(|build| expected_text(build, prompt, TOKENS));
        return judge(&stream, &expected, ended_well);
    }
    let answer: Value = serde_json::from_slice(&bytes).unwrap_or_default();
    match &answer["ran"] {
        Value::Bool(false) => Outcome::NotRun,
        _ => Outcome::InDoubt,
    }
}

/// What a stream means, where one of the texts in `expected` had to come. One that broke off may
/// lack its end, and nothing else.
pub(super) fn judge<T: AsRef<str>>(
    stream: &TextStream,
    expected: &[T],
    ended_well: bool,
) -> Outcome {
    let mut expected = expected.iter().map(AsRef::as_ref);
    let Some(expected) = expected.find(|text| text.starts_with(&stream.text)) else {
        return Outcome::Garbled;
    };
    if stream.is_done && stream.text == expected {
        return if ended_well {
            Outcome::Answered
        } else {
            Outcome::Broken
        };
    }
    if stream.is_done {
        return Outcome::Garbled;
    }
    Outcome::Broken
}
