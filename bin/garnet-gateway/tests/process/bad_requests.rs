//! Each mistake of a caller gets a clear error, and the process goes on.

use rstest::rstest;

use crate::running::Running;

const GOOD: &str = r#"{"model": "m", "prompt": "p", "max_tokens": 3}"#;

#[rstest]
#[case::no_json("/v1/completions", "", "{not json", 400, "invalid")]
#[case::wrong_type(
    "/v1/completions",
    "",
    r#"{"model": 7, "prompt": "p"}"#,
    400,
    "invalid"
)]
#[case::no_model("/v1/completions", "", r#"{"prompt": "p"}"#, 400, "invalid")]
#[case::no_messages("/v1/chat/completions", "", r#"{"model": "m"}"#, 400, "invalid")]
#[case::deadline_is_no_number(
    "/v1/completions",
    "garnet-deadline-ms: soon\r\n",
    GOOD,
    400,
    "invalid"
)]
#[case::deadline_in_the_past(
    "/v1/completions",
    "garnet-deadline-ms: -5\r\n",
    GOOD,
    504,
    "deadline"
)]
#[case::unknown_path("/v2/anything", "", GOOD, 404, "not_found")]
#[case::no_service("/services/", "", "", 400, "invalid")]
#[case::no_configuration("/v1/completions", "", GOOD, 503, "not_run")]
#[case::no_configuration_for_a_service("/services/orders/1", "", "", 503, "not_run")]
fn a_mistake_gets_a_clear_error(
    #[case] path: &str,
    #[case] headers: &str,
    #[case] body: &str,
    #[case] status: u16,
    #[case] code: &str,
) {
    let gateway = Running::start();
    let answer = gateway.post(path, headers, body);
    assert!(
        answer.starts_with(&format!("HTTP/1.1 {status}")),
        "{answer}"
    );
    assert!(answer.contains(&format!("\"code\":\"{code}\"")), "{answer}");
    assert!(answer.contains("garnet-request-id: "), "{answer}");
    assert!(is_healthy(&gateway));
}

#[test]
fn a_refusal_that_makes_sense_to_repeat_says_when() {
    let gateway = Running::start();
    let answer = gateway.post("/v1/completions", "", GOOD);
    assert!(answer.contains("retry-after: 1"), "{answer}");
    assert!(answer.contains("\"ran\":false"), "{answer}");
}

#[rstest]
#[case::too_large(&"x".repeat(4096), "4096")]
#[case::cut_off("{\"model\": \"m\"", "500")]
fn a_body_that_is_too_large_or_cut_off_is_an_error(#[case] body: &str, #[case] length: &str) {
    let gateway = Running::start();
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: g\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n"
    );
    let answer = gateway.send_and_close(format!("{head}{body}").as_bytes());
    let is_error = answer.is_empty() || answer.starts_with("HTTP/1.1 4");
    assert!(is_error, "{answer}");
    assert!(is_healthy(&gateway));
}

#[rstest]
#[case::random(&[0, 255, 17, 3, 200, 13, 10, 13, 10])]
#[case::headers_too_large(&large_headers())]
fn what_is_no_request_does_not_end_the_process(#[case] bytes: &[u8]) {
    let gateway = Running::start();
    let answer = gateway.send_and_close(bytes);
    assert!(!answer.starts_with("HTTP/1.1 2"), "{answer}");
    assert!(is_healthy(&gateway));
}

fn large_headers() -> Vec<u8> {
    let filler = "x".repeat(1024 * 1024);
    format!("GET /healthz HTTP/1.1\r\nhost: g\r\nfiller: {filler}\r\n\r\n").into_bytes()
}

fn is_healthy(gateway: &Running) -> bool {
    let request = "GET /healthz HTTP/1.1\r\nhost: g\r\nconnection: close\r\n\r\n";
    gateway.send(request.as_bytes()).starts_with("HTTP/1.1 200")
}
