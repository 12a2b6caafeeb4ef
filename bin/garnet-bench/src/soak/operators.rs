//! Operators that write, and read back what was acknowledged.

use std::rc::Rc;
use std::time::{Duration, Instant};

use rand::RngExt;
use rand_pcg::Pcg64;
use serde_json::Value;
use smol::Timer;

use super::fleet::REPLICAS;
use super::{LOOK_AGAIN, SETTLING_TIME, Soak};
use garnet_runtime::client::build_request;

const PATIENCE: Duration = Duration::from_secs(2);
const REST: Duration = Duration::from_millis(30);
const SESSION: &[u8] = br#"{"tenant": "soak", "service": "till", "model": "m"}"#;

/// The configuration as a replica read it out.
#[derive(Debug, Clone)]
pub(super) struct ConfigurationRead {
    pub(super) index: u64,
    pub(super) sessions: Vec<String>,
}

/// Creates sessions until the soak is over; one that gets no clear answer is
/// sent again to any replica.
pub(super) async fn write_until_over(soak: Rc<Soak>, mut random: Pcg64) {
    let mut number = 0_u64;
    while !soak.over.get() {
        let name = format!("session-{number}");
        if put_session(&soak, &name, random.random_range(0..REPLICAS)).await {
            soak.seen.borrow_mut().acknowledged.push(name);
            number += 1;
        }
        Timer::after(REST).await;
    }
}

async fn put_session(soak: &Soak, name: &str, place: usize) -> bool {
    let path = format!("/admin/v1/sessions/{name}");
    let Ok(mut request) = build_request("PUT", &path, "application/json", SESSION.to_vec()) else {
        return false;
    };
    if let Ok(id) = name.parse() {
        request.headers_mut().insert("garnet-command-id", id);
    }
    let admin = soak.fleet.borrow().admin(place);
    let answer = soak.http.send(&admin, request, PATIENCE).await;
    answer.is_ok_and(|answer| answer.status().is_success())
}

/// Reads the configuration until the soak is over. A read holds all that was
/// acknowledged before it began, and none is older than one that had ended.
pub(super) async fn read_until_over(soak: Rc<Soak>, mut random: Pcg64) {
    let mut newest = 0;
    while !soak.over.get() {
        let acknowledged = soak.seen.borrow().acknowledged.len();
        if let Some(read) = read(&soak, random.random_range(0..REPLICAS)).await {
            let mut seen = soak.seen.borrow_mut();
            seen.note_read(&read, newest, acknowledged);
            newest = newest.max(read.index);
        }
        Timer::after(REST).await;
    }
}

async fn read(soak: &Soak, place: usize) -> Option<ConfigurationRead> {
    let request = build_request("GET", "/admin/v1/configuration", "text/plain", Vec::new());
    let admin = soak.fleet.borrow().admin(place);
    let answer = soak.http.send(&admin, request.ok()?, PATIENCE).await.ok()?;
    if !answer.status().is_success() {
        return None;
    }
    let value: Value = serde_json::from_slice(answer.body()).ok()?;
    let sessions = value["sessions"].as_object()?;
    Some(ConfigurationRead {
        index: value["index"].as_u64()?,
        sessions: sessions.keys().cloned().collect(),
    })
}

/// What is read when everything runs again.
pub(super) async fn configuration_at_the_end(soak: &Soak) -> Result<ConfigurationRead, String> {
    let began = Instant::now();
    loop {
        for place in 0..REPLICAS {
            if let Some(read) = read(soak, place).await {
                return Ok(read);
            }
        }
        if began.elapsed() > SETTLING_TIME {
            return Err("no replica reads the configuration out at the end".to_owned());
        }
        Timer::after(LOOK_AGAIN).await;
    }
}
