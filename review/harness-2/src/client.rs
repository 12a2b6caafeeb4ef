//! Callers: one request on a new connection each.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::http::{self, Message};

/// Sends one request and returns the answer, or why there was none.
pub fn send(address: &str, method: &str, path: &str, headers: &[(&str, &str)], body: &[u8], timeout: Duration) -> Result<Message, String> {
    let address: SocketAddr = address.parse().map_err(|_| "bad address".to_owned())?;
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).map_err(|e| format!("connect: {e}"))?;
    let text = |e: std::io::Error| format!("no answer: {e}");
    stream.set_read_timeout(Some(timeout)).map_err(text)?;
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
        head += "Host: c\r\n";
    }
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    if !body.is_empty() {
        head += &format!("Content-Length: {}\r\n", body.len());
    }
    head += "Connection: close\r\n\r\n";
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).map_err(text)?;
    let mut buffer = Vec::new();
    let answer = http::read_head(&mut stream, &mut buffer).map_err(text)?;
    let mut answer = answer.ok_or("closed without an answer")?;
    http::read_body(&mut stream, &mut buffer, &mut answer, true).map_err(text)?;
    Ok(answer)
}
