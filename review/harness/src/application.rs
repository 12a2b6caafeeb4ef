//! A stand-in of an application engine, by PROTOCOL.md, "Engines": it works on some requests at a
//! time, queues a few more, and rejects the rest with `X-Garnetcourse-Not-Executed`.

use std::collections::VecDeque;
use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::{Counts, Flag, Listed, Random, Record, Runs, is_set, peer_has_closed, read_body, read_head};

/// How an application engine behaves.
#[derive(Clone)]
pub struct Behaviour {
    pub slots: usize,
    pub queue: usize,
    pub max_conns: usize,
    /// Shortest and longest work of a request, in ms.
    pub work_ms: (f64, f64),
    /// Share of the answers that are followed by a surplus copy, which arrives late: in the place
    /// of the next answer on the connection. It applies while `surplus_on` is set.
    pub surplus_share: f64,
    pub surplus_on: Flag,
}

#[derive(Default)]
struct Load {
    running: usize,
    waiting: VecDeque<u64>,
    connections: usize,
    next_ticket: u64,
}

pub struct Application {
    id: String,
    behaviour: Behaviour,
    load: Mutex<Load>,
    random: Mutex<Random>,
    record: Record,
    runs: Runs,
    pub counts: Counts,
}

enum Slot {
    Taken,
    Full,
    TooLate,
    Left,
}

impl Application {
    /// Starts an engine at a free port, and returns it with its entry in the platform's list.
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        ip: Ipv4Addr,
        behaviour: Behaviour,
        seed: u64,
        record: &Record,
        runs: &Runs,
        counts: &Counts,
    ) -> Listed {
        let listener = TcpListener::bind((ip, 0)).unwrap_or_else(|e| crate::could_not_run(&e.to_string()));
        let address = listener.local_addr().expect("an address").to_string();
        let slots = behaviour.slots as u32;
        let engine = Arc::new(Application {
            id: id.to_owned(),
            behaviour,
            load: Mutex::default(),
            random: Mutex::new(Random::new(seed)),
            record: record.clone(),
            runs: runs.clone(),
            counts: counts.clone(),
        });
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let engine = Arc::clone(&engine);
                {
                    let mut load = engine.load.lock().expect("no panic");
                    if load.connections >= engine.behaviour.max_conns {
                        engine.counts.add("connections beyond max-conns");
                        continue;
                    }
                    load.connections += 1;
                }
                thread::spawn(move || {
                    engine.serve(stream);
                    engine.load.lock().expect("no panic").connections -= 1;
                });
            }
        });
        Listed {
            id: id.to_owned(),
            service: service.to_owned(),
            address,
            zone: zone.to_owned(),
            slots,
            state: "ready".to_owned(),
            stage: None,
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _unset = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        // The surplus answer that is still to arrive on this connection.
        let mut surplus: Option<(String, String)> = None;
        while let Some(head) = read_head(&mut reader) {
            if read_body(&mut reader, &head, false).is_none() {
                return;
            }
            let arrived = Instant::now();
            let request = head.get("x-garnetcourse-request-id").map(str::to_owned);
            if let (Some((of, answer)), Some(request)) = (surplus.take(), request.as_deref()) {
                self.record.line(&format!(
                    "engine {} sends the surplus answer of {of} ({}) as {request} has arrived on its connection",
                    self.id,
                    answer.split("\r\n").next().unwrap_or("")
                ));
                self.counts.add("surplus answers");
                if writer.write_all(answer.as_bytes()).is_err() {
                    return;
                }
            }
            if head.method() == "GET" && head.path() == "/health" {
                let answer = format!(
                    "HTTP/1.1 200 OK\r\nx-garnetcourse-instance-id: {}\r\ncontent-length: 0\r\n\r\n",
                    self.id
                );
                if writer.write_all(answer.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let Some(request) = request else {
                let answer = "HTTP/1.1 400 Bad Request\r\nx-garnetcourse-not-executed: 1\r\ncontent-length: 0\r\n\r\n";
                if writer.write_all(answer.as_bytes()).is_err() {
                    return;
                }
                continue;
            };
            let expected = head.get("x-garnetcourse-expect-instance");
            let answer = if expected.is_some_and(|expected| expected != self.id) {
                self.answer(&request, "421 Misdirected Request", true, "")
            } else {
                let deadline = head.get("x-garnetcourse-deadline-ms").and_then(|v| v.parse().ok());
                let deadline = arrived + Duration::from_millis(deadline.unwrap_or(60_000));
                match self.take_slot(&writer, deadline) {
                    Slot::Taken => {
                        self.runs.begun(&self.record, &request, &self.id);
                        let ran = self.work(&writer, deadline);
                        self.load.lock().expect("no panic").running -= 1;
                        match ran {
                            Some(true) => self.answer(&request, "200 OK", false, &"b".repeat(800)),
                            Some(false) => self.answer(&request, "504 Gateway Timeout", false, ""),
                            None => {
                                self.counts.add("runs dropped as their connection closed");
                                return;
                            }
                        }
                    }
                    Slot::Full => {
                        self.counts.add("rejected as full");
                        self.answer(&request, "503 Service Unavailable", true, "")
                    }
                    Slot::TooLate => {
                        self.counts.add("rejected as late");
                        self.answer(&request, "503 Service Unavailable", true, "")
                    }
                    Slot::Left => return,
                }
            };
            self.counts.add("answers");
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
            let drawn = self.random.lock().expect("no panic").share();
            if is_set(&self.behaviour.surplus_on) && drawn < self.behaviour.surplus_share {
                surplus = Some((request, answer));
            }
        }
    }

    /// Waits for a slot, in order of arrival.
    fn take_slot(&self, stream: &TcpStream, deadline: Instant) -> Slot {
        let ticket = {
            let mut load = self.load.lock().expect("no panic");
            if load.running < self.behaviour.slots && load.waiting.is_empty() {
                load.running += 1;
                return Slot::Taken;
            }
            if load.waiting.len() >= self.behaviour.queue {
                return Slot::Full;
            }
            load.next_ticket += 1;
            let ticket = load.next_ticket;
            load.waiting.push_back(ticket);
            ticket
        };
        loop {
            thread::sleep(Duration::from_millis(1));
            let left = peer_has_closed(stream);
            let late = Instant::now() >= deadline;
            let mut load = self.load.lock().expect("no panic");
            if left || late {
                load.waiting.retain(|waiting| *waiting != ticket);
                return if left { Slot::Left } else { Slot::TooLate };
            }
            if load.waiting.front() == Some(&ticket) && load.running < self.behaviour.slots {
                load.waiting.pop_front();
                load.running += 1;
                return Slot::Taken;
            }
        }
    }

    /// Works on a request: whether it was done by the deadline, or `None` if its connection closed.
    fn work(&self, stream: &TcpStream, deadline: Instant) -> Option<bool> {
        let (from, to) = self.behaviour.work_ms;
        let work = self.random.lock().expect("no panic").between(from, to);
        let done = Instant::now() + Duration::from_micros((work * 1000.0) as u64);
        loop {
            let now = Instant::now();
            if now >= done {
                return Some(true);
            }
            if now >= deadline {
                return Some(false);
            }
            if peer_has_closed(stream) {
                return None;
            }
            thread::sleep((done - now).min(Duration::from_millis(5)));
        }
    }

    fn answer(&self, request: &str, status: &str, not_executed: bool, body: &str) -> String {
        let load = self.load.lock().expect("no panic");
        let not_executed = if not_executed { "x-garnetcourse-not-executed: 1\r\n" } else { "" };
        format!(
            "HTTP/1.1 {status}\r\nx-garnetcourse-request-id: {request}\r\n\
             x-garnetcourse-server-stamp: {}.{request}\r\nx-garnetcourse-instance-id: {}\r\n\
             x-garnetcourse-load-report: {},{},{}\r\n{not_executed}content-length: {}\r\n\r\n{body}",
            self.id, self.id, load.running, load.waiting.len(), self.behaviour.slots, body.len()
        )
    }
}
