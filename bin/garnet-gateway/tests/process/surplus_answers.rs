//! Back ends that send an answer a second time, in the place of the answer that is due next.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use garnet_control::{
    BackendRecord, BackendRegistration, Configuration, ControlReply, CopyUpdates, GatewayRequest,
    Shared, UNKNOWN_START, WatchUpdate,
};
use garnet_quarantine::EndedRun;
use garnet_routing::LoadReport;
use garnet_runtime::frames;
use garnet_test_support::live_record;
use garnet_types::{
    BackendId, BackendKind, BuildId, EngineAssignment, EngineCapacity, EngineRole, ModelId,
    ServiceId,
};
use garnet_wire::Frame;
use rstest::rstest;

use crate::running::Running;

const MODEL: &str = "words-model";
/// Time without a result after which the gateway is taken to hang. The tests make no claim about
/// speed.
pub const HANG_TIMEOUT: Duration = Duration::from_secs(60);
pub const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time from a surplus answer to the answer that is due, in which the request runs.
const RUN_TIME: Duration = Duration::from_millis(40);
/// Number of calls after the one that is rejected.
const CALLS: usize = 2;

const REJECTED: &str = "HTTP/1.1 409 Conflict\r\ngarnet-started: no\r\ncontent-length: 22\r\n\r\n\
                        {\"reason\":\"draining\"}\n";
pub const ANSWER: &str =
    "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ncontent-length: 4\r\n\r\ngood";
pub const STREAM: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ncontent-length: 62\r\n\r\n\
                      data: {\"index\":0,\"text\":\"good\"}\n\ndata: {\"total\":1}\n\n          ";

/// A back end that rejects a request which contains `full`. If the connection is used again after a
/// rejection or a load report, that answer comes a second time before the next one.
pub struct BackEnd {
    address: String,
    runs: Arc<AtomicUsize>,
}

/// Answers the requests of a connection with an answer, and counts those that run.
type Serve = fn(TcpStream, &str, &AtomicUsize) -> Option<()>;

impl BackEnd {
    fn start(answer: &'static str) -> Self {
        Self::start_with(answer, serve)
    }

    /// Starts a back end with other connections.
    pub fn start_with(answer: &'static str, serve: Serve) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address").to_string();
        let runs = Arc::new(AtomicUsize::new(0));
        let counted = Arc::clone(&runs);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let counted = Arc::clone(&counted);
                thread::spawn(move || serve(stream, answer, &counted));
            }
        });
        BackEnd { address, runs }
    }

    pub fn runs(&self) -> usize {
        self.runs.load(Ordering::Relaxed)
    }
}

/// Answers the requests of a connection until it ends.
fn serve(mut stream: TcpStream, answer: &str, runs: &AtomicUsize) -> Option<()> {
    let mut surplus = String::new();
    loop {
        let request = read_request(&mut stream)?;
        if request.starts_with("GET ") {
            surplus = load_report();
            stream.write_all(surplus.as_bytes()).ok()?;
        } else if request.contains("full") {
            stream.write_all(REJECTED.as_bytes()).ok()?;
            surplus = REJECTED.to_owned();
        } else {
            runs.fetch_add(1, Ordering::Relaxed);
            stream.write_all(surplus.as_bytes()).ok()?;
            thread::sleep(RUN_TIME);
            stream.write_all(answer.as_bytes()).ok()?;
        }
    }
}

/// The answer to a load request. An engine that has rejected a request is left out until it reports
/// that it accepts work.
pub fn load_report() -> String {
    let report = LoadReport {
        incarnation: 1,
        build: BuildId::default(),
        role: EngineRole::Mixed,
        accepting: true,
        queued_prompt_tokens: 0,
        active_sequences: 0,
        age_ms: 0,
        capacity: EngineCapacity::default(),
        cache_events: Vec::new(),
    };
    let body = serde_json::to_string(&report).expect("plain data");
    format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Reads a request with its body.
pub fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    let mut byte = [0];
    while !bytes.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).ok()?;
        bytes.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&bytes).to_lowercase();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    let mut body = vec![0; length.and_then(|length| length.parse().ok()).unwrap_or(0)];
    stream.read_exact(&mut body).ok()?;
    bytes.extend_from_slice(&body);
    Some(String::from_utf8_lossy(&bytes).into_owned())
}

fn record(kind: BackendKind, service: &str, address: &str) -> BackendRecord {
    let assignment = (kind == BackendKind::Engine).then(|| EngineAssignment {
        role: EngineRole::Mixed,
        model: ModelId::new(MODEL),
    });
    let registration = BackendRegistration {
        id: BackendId::new(service),
        kind,
        service: ServiceId::new(service),
        address: address.to_owned(),
        zone: "a".to_owned(),
        start: UNKNOWN_START,
    };
    live_record(registration, assignment)
}

/// Runs that were reported to a leader.
pub type ReportedRuns = Arc<Mutex<Vec<EndedRun>>>;

/// Starts a leader with this configuration and returns its address.
fn lead(configuration: Configuration, reported: &ReportedRuns) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    let reported = Arc::clone(reported);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let configuration = Shared::from(configuration.clone());
            let reported = Arc::clone(&reported);
            thread::spawn(move || smol::block_on(answer_watches(stream, configuration, &reported)));
        }
    });
    address
}

async fn answer_watches(
    stream: TcpStream,
    configuration: Shared<Configuration>,
    reported: &ReportedRuns,
) -> Option<()> {
    let stream = smol::net::TcpStream::try_from(stream).ok()?;
    let (mut reader, mut writer) = frames::split(stream);
    let accepted = reader.accept().await.ok()?;
    writer.welcome(&accepted).await.ok()?;
    while let Ok(Some(frame)) = reader.next().await {
        if let Frame::Gateway(GatewayRequest::Runs(report)) = frame {
            reported.lock().expect("no panic").extend(report.runs);
            continue;
        }
        let Frame::Gateway(GatewayRequest::Watch {
            sent_at,
            configuration_index,
            ..
        }) = frame
        else {
            continue;
        };
        let update = match configuration_index < configuration.index {
            true => WatchUpdate::Snapshot(configuration.clone()),
            false => WatchUpdate::Current,
        };
        let reply = ControlReply::Watch {
            sent_at,
            update,
            group: None,
            gateways: 1,
            digest: None,
            copies: CopyUpdates::default(),
            suspects: None,
        };
        writer.send(Frame::Control(reply)).await.ok()?;
    }
    None
}

/// Starts a gateway with a single back end.
pub fn start_gateway(kind: BackendKind, service: &str, back_end: &BackEnd) -> Running {
    start_gateway_with(kind, service, back_end, "")
}

/// Starts a gateway with a single back end and more lines of settings.
pub fn start_gateway_with(
    kind: BackendKind,
    service: &str,
    back_end: &BackEnd,
    more: &str,
) -> Running {
    start(kind, service, back_end, more).0
}

/// Starts a gateway like [`start_gateway`], and returns the runs that it reports.
pub fn start_reporting_gateway(
    kind: BackendKind,
    service: &str,
    back_end: &BackEnd,
) -> (Running, ReportedRuns) {
    start(kind, service, back_end, "")
}

fn start(
    kind: BackendKind,
    service: &str,
    back_end: &BackEnd,
    more: &str,
) -> (Running, ReportedRuns) {
    let record = record(kind, service, &back_end.address);
    let configuration = Configuration {
        index: 1,
        backends: BTreeMap::from([(record.registration.id.clone(), record)]),
        ..Configuration::default()
    };
    let reported = ReportedRuns::default();
    let gateway = Running::start_with_more(&[lead(configuration, &reported)], more);
    (gateway, reported)
}

/// A call whose back end is named by its kind.
pub fn call(gateway: &Running, kind: BackendKind, text: &str) -> String {
    match kind {
        BackendKind::Application => gateway.post(&format!("/services/application/{text}"), "", "b"),
        BackendKind::Engine => {
            let body = format!("{{\"model\":\"{MODEL}\",\"prompt\":\"{text}\",\"max_tokens\":1}}");
            gateway.post(
                "/v1/completions",
                "content-type: application/json\r\n",
                &body,
            )
        }
    }
}

pub fn is_served(answer: &str) -> bool {
    answer.starts_with("HTTP/1.1 200")
}

/// Calls until the back end serves; after a rejection it is left out for a while. A call that it
/// runs may not be refused.
fn call_until_served(gateway: &Running, back_end: &BackEnd, kind: BackendKind, text: &str) {
    let began = Instant::now();
    loop {
        let runs = back_end.runs();
        let answer = call(gateway, kind, text);
        let new_runs = back_end.runs() - runs;
        assert_eq!(new_runs, usize::from(is_served(&answer)), "{answer}");
        if new_runs > 0 {
            return;
        }
        assert!(began.elapsed() < HANG_TIMEOUT, "no call was served");
        thread::sleep(POLL_INTERVAL);
    }
}

/// The second copy of a rejection or a load report came in the place of the answer to the next call,
/// which ran and was refused as not run, or failed.
#[rstest]
#[case(BackendKind::Application, "application", ANSWER)]
#[case(BackendKind::Engine, "engine", STREAM)]
fn a_second_copy_of_an_answer_fails_no_later_call(
    #[case] kind: BackendKind,
    #[case] service: &str,
    #[case] answer: &'static str,
) {
    let back_end = BackEnd::start(answer);
    let gateway = start_gateway(kind, service, &back_end);
    call_until_served(&gateway, &back_end, kind, "first");
    for number in 0..CALLS {
        let rejected = call(&gateway, kind, "full");
        assert!(!is_served(&rejected), "{rejected}");
        call_until_served(&gateway, &back_end, kind, &format!("call-{number}"));
    }
}
