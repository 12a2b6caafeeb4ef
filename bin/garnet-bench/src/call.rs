//! One call through a gateway, as a caller makes it.

use std::rc::Rc;

use garnet_runtime::HttpClient;
use garnet_runtime::client::{build_request, json_request};
use garnet_stand_in::text::is_expected_text;
use http_body_util::Full;
use hyper::Request;
use hyper::body::Bytes;
use serde_json::{Value, json};
use smol::LocalExecutor;

use crate::options::Options;
use crate::text_stream::TextStream;

const HELP: &str = "\
Usage: garnet-bench call completion --gateway IP:PORT --model M --prompt TEXT
           [--max-tokens N] [--stream] [--session S] [--tenant T] [--key K]
       garnet-bench call service --gateway IP:PORT --service S --path /P
           [--method POST] [--body TEXT] [--session S] [--tenant T] [--key K]

Prints the answer. A completion is checked word by word against what the
stand-in engines generate. Exit codes: 0 a whole answer, 1 none, 2 usage.
";

/// An answer as a caller sees it.
struct Seen {
    status: u16,
    served_by: String,
    text: String,
    whole: bool,
}

pub(crate) fn run(options: &Options) -> Result<bool, String> {
    if options.flag("help") {
        garnet_runtime::print_out!("{HELP}");
        return Ok(true);
    }
    let executor = Rc::new(LocalExecutor::new());
    let http = HttpClient::new(Rc::clone(&executor));
    let gateway = options.needed("gateway")?.to_owned();
    match options.word(1) {
        Some("completion") => {
            let prompt = options.needed("prompt")?.to_owned();
            let tokens = options.value("max-tokens", 16_u64)?;
            let body = json!({
                "model": options.needed("model")?,
                "prompt": prompt,
                "max_tokens": tokens,
                "stream": options.flag("stream"),
            });
            let mut request = json_request("POST", "/v1/completions", &body);
            add_headers(options, &mut request)?;
            let streams = options.flag("stream");
            let seen = smol::block_on(executor.run(complete(&http, &gateway, request, streams)))?;
            let is_expected = is_expected_text(&seen.text, &prompt, tokens);
            Ok(report_completion(&seen, is_expected))
        }
        Some("service") => {
            let service = options.needed("service")?;
            let path = format!("/services/{service}{}", options.needed("path")?);
            let method = options.text("method").unwrap_or("POST");
            let body = options.text("body").unwrap_or_default().as_bytes().to_vec();
            let mut request = build_request(method, &path, "text/plain", body)
                .map_err(|error| error.to_string())?;
            add_headers(options, &mut request)?;
            let seen = smol::block_on(executor.run(whole(&http, &gateway, request)))?;
            garnet_runtime::print_line!(
                "status={} served_by={} {}",
                seen.status,
                seen.served_by,
                seen.text
            );
            Ok(seen.status == 200)
        }
        _ => Err(HELP.to_owned()),
    }
}

fn add_headers(options: &Options, request: &mut Request<Full<Bytes>>) -> Result<(), String> {
    let headers = [
        ("session", "garnet-session"),
        ("tenant", "garnet-tenant"),
        ("key", "idempotency-key"),
        ("deadline-ms", "garnet-deadline-ms"),
    ];
    for (option, header) in headers {
        if let Some(text) = options.text(option) {
            let value = text
                .parse()
                .map_err(|_| format!("--{option} is no header value"))?;
            request.headers_mut().insert(header, value);
        }
    }
    options.check_all_asked()
}

fn report_completion(seen: &Seen, is_expected: bool) -> bool {
    let right = seen.whole && is_expected;
    garnet_runtime::print_line!(
        "status={} served_by={} whole={} as_expected={} text={:?}",
        seen.status,
        seen.served_by,
        seen.whole,
        right,
        seen.text
    );
    right
}

async fn complete(
    http: &HttpClient,
    gateway: &str,
    request: Request<Full<Bytes>>,
    streams: bool,
) -> Result<Seen, String> {
    if streams {
        return stream(http, gateway, request).await;
    }
    let mut seen = whole(http, gateway, request).await?;
    let body: Value = serde_json::from_str(&seen.text).map_err(|error| error.to_string())?;
    match body["choices"][0]["text"].as_str() {
        Some(text) => seen.text = text.to_owned(),
        None => seen.whole = false,
    }
    Ok(seen)
}

async fn whole(
    http: &HttpClient,
    gateway: &str,
    request: Request<Full<Bytes>>,
) -> Result<Seen, String> {
    let patience = std::time::Duration::from_secs(120);
    let response = http
        .send(gateway, request, patience)
        .await
        .map_err(|error| error.to_string())?;
    Ok(Seen {
        status: response.status().as_u16(),
        served_by: header(response.headers()),
        text: String::from_utf8_lossy(response.body()).into_owned(),
        whole: response.status().is_success(),
    })
}

async fn stream(
    http: &HttpClient,
    gateway: &str,
    request: Request<Full<Bytes>>,
) -> Result<Seen, String> {
    let mut response = http
        .stream(gateway, request)
        .await
        .map_err(|error| error.to_string())?;
    let mut seen = Seen {
        status: response.response.status().as_u16(),
        served_by: header(response.response.headers()),
        text: String::new(),
        whole: false,
    };
    let mut stream = TextStream::default();
    while let Ok(Some(chunk)) = response.next().await {
        stream.push(&chunk);
    }
    seen.whole = stream.is_done;
    seen.text = stream.text;
    seen.served_by = stream.served_by.unwrap_or(seen.served_by);
    Ok(seen)
}

fn header(headers: &hyper::HeaderMap) -> String {
    headers
        .get("garnet-served-by")
        .and_then(|value| value.to_str().ok())
        .unwrap_or("-")
        .to_owned()
}
