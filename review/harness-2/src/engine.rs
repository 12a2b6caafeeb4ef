//! Sound engines. The test may reset some of their connections.

use std::collections::HashMap;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Message};
use crate::record;

#[repr(C)]
struct Linger {
    on: i32,
    seconds: i32,
}

extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const Linger, length: u32) -> i32;
}

/// One connection of an engine.
pub struct Connection {
    stream: TcpStream,
    /// Id of the last request on it.
    pub last_id: String,
    is_reset: Arc<AtomicBool>,
}

/// How long an engine works on a request, by its path.
pub type Work = fn(path: &str) -> Duration;

pub struct Engine {
    pub id: String,
    pub service: String,
    pub zone: &'static str,
    pub address: String,
    pub connections: Arc<Mutex<HashMap<usize, Connection>>>,
    is_crashed: Arc<AtomicBool>,
}

impl Engine {
    pub fn start(address: &str, id: &str, service: &str, zone: &'static str, work: Work) -> Result<Engine, String> {
        let listener = TcpListener::bind(address).map_err(|e| e.to_string())?;
        let address = listener.local_addr().map_err(|e| e.to_string())?.to_string();
        let connections = Arc::new(Mutex::new(HashMap::new()));
        let runs = Arc::new(AtomicUsize::new(0));
        let is_crashed = Arc::new(AtomicBool::new(false));
        let engine = Engine {
            id: id.to_owned(),
            service: service.to_owned(),
            zone,
            address,
            connections: Arc::clone(&connections),
            is_crashed: Arc::clone(&is_crashed),
        };
        let id = id.to_owned();
        std::thread::spawn(move || {
            for (number, stream) in listener.incoming().flatten().enumerate() {
                if is_crashed.load(Ordering::SeqCst) {
                    return;
                }
                let (id, connections, runs) = (id.clone(), Arc::clone(&connections), Arc::clone(&runs));
                let Ok(kept) = stream.try_clone() else { continue };
                let is_reset = Arc::new(AtomicBool::new(false));
                let connection = Connection {
                    stream: kept,
                    last_id: String::new(),
                    is_reset: Arc::clone(&is_reset),
                };
                connections.lock().expect("no panic").insert(number, connection);
                std::thread::spawn(move || {
                    serve(stream, number, &id, &connections, &runs, work, &is_reset);
                    connections.lock().expect("no panic").remove(&number);
                });
            }
        });
        Ok(engine)
    }

    /// The entry in the platform's list.
    pub fn entry(&self) -> String {
        format!(
            "{{\"id\":\"{}\",\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":16,\"state\":\"ready\",\"cold-remaining-ms\":0}}",
            self.id, self.service, self.address, self.zone
        )
    }

    /// Crashes the engine: its connections are reset, and its port is closed.
    pub fn crash(&self) {
        record::line(&format!("engine {} crashes", self.id));
        self.is_crashed.store(true, Ordering::SeqCst);
        let numbers: Vec<usize> = self.connections.lock().expect("no panic").keys().copied().collect();
        for number in numbers {
            self.reset(number);
        }
        // Wakes the listener, which then ends.
        let _woken = TcpStream::connect(&self.address);
    }

    /// Resets a connection, as if the network had: the engine drops the run and goes on.
    pub fn reset(&self, number: usize) {
        let connections = self.connections.lock().expect("no panic");
        if let Some(connection) = connections.get(&number) {
            connection.is_reset.store(true, Ordering::SeqCst);
            let linger = Linger { on: 1, seconds: 0 };
            // SOL_SOCKET and SO_LINGER on Linux: closing then sends a reset.
            unsafe { setsockopt(connection.stream.as_raw_fd(), 1, 13, &linger, 8) };
            // The thread that serves the connection sees the end and closes it.
            let _gone = connection.stream.shutdown(std::net::Shutdown::Read);
        }
    }
}

fn serve(
    mut stream: TcpStream,
    number: usize,
    engine: &str,
    connections: &Mutex<HashMap<usize, Connection>>,
    runs: &AtomicUsize,
    work: Work,
    is_reset: &AtomicBool,
) {
    let _sent_at_once = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    while let Ok(Some(mut request)) = http::read_head(&mut stream, &mut buffer) {
        if http::read_body(&mut stream, &mut buffer, &mut request, false).is_err() {
            return;
        }
        let answer = match request.target() {
            "/health" => format!("HTTP/1.1 200 OK\r\nX-Garnetcourse-Instance-Id: {engine}\r\nContent-Length: 0\r\n\r\n"),
            _ => {
                let Some(answer) = run(&request, number, engine, connections, runs, work, is_reset) else {
                    return;
                };
                answer
            }
        };
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

/// Works on a request. There is no answer where the connection is reset meanwhile.
fn run(
    request: &Message,
    number: usize,
    engine: &str,
    connections: &Mutex<HashMap<usize, Connection>>,
    runs: &AtomicUsize,
    work: Work,
    is_reset: &AtomicBool,
) -> Option<String> {
    let Some(id) = request.header("x-garnetcourse-request-id") else {
        return Some("HTTP/1.1 400 Bad Request\r\nX-Garnetcourse-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".to_owned());
    };
    if request.header("x-garnetcourse-expect-instance").is_some_and(|expected| expected != engine) {
        return Some(format!(
            "HTTP/1.1 421 Misdirected Request\r\nX-Garnetcourse-Request-Id: {id}\r\nX-Garnetcourse-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
        ));
    }
    if let Some(connection) = connections.lock().expect("no panic").get_mut(&number) {
        connection.last_id = id.to_owned();
    }
    let run = runs.fetch_add(1, Ordering::SeqCst);
    record::line(&format!("engine {engine} runs {id} {}", request.first_line));
    let started = Instant::now();
    while started.elapsed() < work(request.target()) {
        if is_reset.load(Ordering::SeqCst) {
            record::line(&format!("engine {engine} drops {id}: its connection was reset"));
            return None;
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    record::line(&format!("engine {engine} answers {id}"));
    let body = format!("{engine} {run} {id}\n");
    Some(format!(
        "HTTP/1.1 200 OK\r\nX-Garnetcourse-Request-Id: {id}\r\nX-Garnetcourse-Server-Stamp: {engine}.{run}\r\nContent-Type: text/plain\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    ))
}
