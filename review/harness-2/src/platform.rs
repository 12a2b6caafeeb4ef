//! The platform's list of engines.

use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

use crate::http;

pub struct Platform {
    pub address: String,
    entries: Arc<Mutex<Vec<String>>>,
}

impl Platform {
    pub fn start(address: &str) -> Result<Platform, String> {
        let listener = TcpListener::bind(address).map_err(|e| e.to_string())?;
        let address = listener.local_addr().map_err(|e| e.to_string())?.to_string();
        let entries = Arc::new(Mutex::new(Vec::new()));
        let shared = Arc::clone(&entries);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let entries = Arc::clone(&shared);
                std::thread::spawn(move || serve(stream, &entries));
            }
        });
        Ok(Platform { address, entries })
    }

    pub fn set_entries(&self, entries: Vec<String>) {
        *self.entries.lock().expect("no panic") = entries;
    }
}

fn serve(mut stream: TcpStream, entries: &Mutex<Vec<String>>) {
    let mut buffer = Vec::new();
    while let Ok(Some(mut request)) = http::read_head(&mut stream, &mut buffer) {
        if http::read_body(&mut stream, &mut buffer, &mut request, false).is_err() {
            return;
        }
        let (status, body) = match request.target().starts_with("/instances") {
            true => {
                let entries = entries.lock().expect("no panic").join(",");
                ("200 OK", format!("{{\"instances\":[{entries}],\"next-token\":null}}"))
            }
            false => ("404 Not Found", "{}".to_owned()),
        };
        let answer = format!(
            "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}
