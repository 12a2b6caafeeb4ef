//! Case: an engine's surplus answer arrives late, in the place of the one due next. The surplus is
//! the engine's rejection of an earlier request.
//!
//! The only disruption is `garble`, `extra late`: one of three engines sends a second copy of 3 in
//! 100 of its answers, for 5 s, four times. Clients send `unsafe` requests, as many at once as the
//! engines can take, so that an engine is full now and then.

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use review_harness::application::{Application, Behaviour};
use review_harness::*;

const CONFIG: &str = r#"{"version":1,"routes":[{"name":"r-order","host":"ficu95.example","path-prefix":"/lohu930/","kind":"unsafe","timeout-ms":1500,"target-ms":300,"priority":2,"service":"bestel-api","max-attempts":1,"sticky":false,"resumable":false}],"services":[{"name":"bestel-api","health-path":"/health","max-conns":96,"protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}}"#;

const DEADLINE_MS: u64 = 3000;
const CLIENTS: usize = 140;
const TRAFFIC: Duration = Duration::from_secs(48);
/// When the disruption begins, after the traffic, and how long it lasts each time.
const WINDOWS: [Duration; 4] =
    [Duration::from_secs(6), Duration::from_secs(17), Duration::from_secs(28), Duration::from_secs(39)];
const WINDOW: Duration = Duration::from_secs(5);

/// How an attempt of a client ended: a status, or 0 without a whole answer.
struct Attempt {
    id: String,
    status: u16,
}

fn main() {
    let code = std::panic::catch_unwind(run);
    match code {
        Ok(code) => std::process::exit(code),
        Err(_) => could_not_run("the driver failed"),
    }
}

fn run() -> i32 {
    let record = Record::open();
    let seed = seed();
    let trouble = trouble();
    record.say(&format!("surplus: seed {seed}, trouble {trouble}"));
    let mut deployment = Deployment::start(5, 3, &VSL_HERHAAL);
    let runs = Runs::default();
    let counts = Counts::default();
    let mut listed = Vec::new();
    let surplus_on = Flag::default();
    for (number, zone) in ZONES.iter().enumerate() {
        let behaviour = Behaviour {
            slots: 6,
            queue: 24,
            max_conns: 96,
            work_ms: (20.0, 100.0),
            surplus_share: if trouble && number == 0 { 0.03 } else { 0.0 },
            surplus_on: Arc::clone(&surplus_on),
        };
        let id = format!("i-{number}{seed:04x}");
        let ip = deployment.outside;
        let entry = Application::start(
            &id, "bestel-api", zone, ip, behaviour, seed * 100 + number as u64, &record, &runs, &counts,
        );
        listed.push(entry);
    }
    *deployment.platform.list.lock().expect("no panic") = listed;
    if !deployment.put_config(CONFIG, Duration::from_secs(30)) {
        could_not_run("the configuration was not acknowledged");
    }
    if !deployment.wait_ready(Duration::from_secs(20)) {
        could_not_run("the fronts did not become ready");
    }
    thread::sleep(Duration::from_secs(3));
    record.say("traffic begins");
    let fronts: Vec<String> = deployment.of_role("front").iter().map(|node| node.listen.clone()).collect();
    let next_id = Arc::new(AtomicU64::new(1));
    let until = Instant::now() + TRAFFIC;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let front = fronts[number % fronts.len()].clone();
            let next_id = Arc::clone(&next_id);
            let record = record.clone();
            thread::spawn(move || client(&front, seed * 1000 + number as u64, until, &next_id, &record))
        })
        .collect();
    let began = until - TRAFFIC;
    for window in WINDOWS {
        thread::sleep((began + window).saturating_duration_since(Instant::now()));
        record.line(if trouble { "garble begins" } else { "garble would begin" });
        set(&surplus_on, true);
        thread::sleep(WINDOW);
        set(&surplus_on, false);
        record.line("garble ends");
    }
    let mut attempts = Vec::new();
    for client in clients {
        attempts.extend(client.join().unwrap_or_default());
    }
    thread::sleep(Duration::from_secs(2));
    let code = judge(&attempts, &runs, &counts, &record);
    deployment.end();
    code
}

/// A client with a connection for many requests, one at a time.
fn client(front: &str, seed: u64, until: Instant, next_id: &AtomicU64, record: &Record) -> Vec<Attempt> {
    let mut random = Random::new(seed);
    let mut attempts = Vec::new();
    let mut connection: Option<BufReader<TcpStream>> = None;
    while Instant::now() < until {
        thread::sleep(Duration::from_millis(random.between(0.0, 300.0) as u64));
        let id = format!("{:016x}", (seed << 32) + next_id.fetch_add(1, Ordering::Relaxed));
        let body = "o".repeat(600);
        let request = format!(
            "POST /lohu930/2f HTTP/1.1\r\nhost: ficu95.example\r\nx-garnetcourse-request-id: {id}\r\n\
             x-garnetcourse-deadline-ms: {DEADLINE_MS}\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        record.line(&format!("client sends {id} to {front}"));
        let answered = send(&mut connection, front, &request);
        let status = answered.as_ref().map_or(0, |(head, _)| head.status());
        if answered.as_ref().is_none_or(|(head, _)| head.get("connection").is_some_and(|v| v.contains("close"))) {
            connection = None;
        }
        record.line(&format!("client gets {status} for {id}"));
        if let Some(wait) = answered.and_then(|(head, _)| head.get("retry-after")?.parse::<f64>().ok()) {
            thread::sleep(Duration::from_secs_f64(wait.clamp(0.0, 1.0)));
        }
        attempts.push(Attempt { id, status });
    }
    attempts
}

fn send(connection: &mut Option<BufReader<TcpStream>>, front: &str, request: &str) -> Option<(Head, Vec<u8>)> {
    if connection.is_none() {
        let address = front.parse().ok()?;
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
        let _unset = stream.set_nodelay(true);
        stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS + 500))).ok()?;
        *connection = Some(BufReader::new(stream));
    }
    let reader = connection.as_mut()?;
    let result = (|| {
        reader.get_mut().write_all(request.as_bytes()).ok()?;
        let head = read_head(reader)?;
        let body = read_body(reader, &head, true)?;
        Some((head, body))
    })();
    if result.is_none() {
        *connection = None;
    }
    result
}

/// TWICE and REFUSED as RULES.md states them, for requests that are not idempotent.
fn judge(attempts: &[Attempt], runs: &Runs, counts: &Counts, record: &Record) -> i32 {
    let all = runs.all();
    let twice: Vec<_> = all.iter().filter(|(_, runs)| runs.len() > 1).collect();
    for (request, runs) in &twice {
        record.line(&format!("TWICE: {request} ran {} times: {runs:?}", runs.len()));
    }
    let promises = [408, 421, 429, 503];
    let refused: Vec<_> = attempts
        .iter()
        .filter(|attempt| promises.contains(&attempt.status) && all.contains_key(&attempt.id))
        .collect();
    for attempt in &refused {
        record.line(&format!("REFUSED: {} has run, yet is answered {}", attempt.id, attempt.status));
    }
    let of_status = |status| attempts.iter().filter(|attempt| attempt.status == status).count();
    record.say(&format!(
        "{} attempts: {} answered 200, {} 503, {} 502, {} 504, {} without an answer; engines: {}",
        attempts.len(), of_status(200), of_status(503), of_status(502), of_status(504), of_status(0), counts.text()
    ));
    record.say(&format!("TWICE {}, REFUSED {}", twice.len(), refused.len()));
    if of_status(200) * 2 < attempts.len() {
        record.say("less than half of the requests were served: the case says nothing");
        return COULD_NOT_RUN;
    }
    if twice.is_empty() && refused.is_empty() { HELD } else { BROKEN }
}
