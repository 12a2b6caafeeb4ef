//! The little of HTTP/1.1 that the stand-ins need.

use std::io::{self, Read};
use std::net::TcpStream;

/// A message head with its body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }

    /// The status of an answer.
    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or(0)
    }
}

/// Reads a head up to the empty line. `buffer` keeps what was read beyond it.
pub fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Message>> {
    loop {
        if let Some(end) = find(buffer, b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            buffer.drain(..end + 4);
            let mut lines = head.split("\r\n");
            let first_line = lines.next().unwrap_or("").to_owned();
            let headers = lines.filter_map(|line| line.split_once(':'));
            let headers = headers.map(|(k, v)| (k.trim().to_owned(), v.trim().to_owned()));
            let headers = headers.collect();
            return Ok(Some(Message { first_line, headers, body: Vec::new() }));
        }
        if !read_more(stream, buffer)? {
            return match buffer.is_empty() {
                true => Ok(None),
                false => Err(io::ErrorKind::UnexpectedEof.into()),
            };
        }
    }
}

/// Reads a body with a length or in chunks. An answer with neither ends with its connection.
pub fn read_body(stream: &mut TcpStream, buffer: &mut Vec<u8>, message: &mut Message, is_answer: bool) -> io::Result<()> {
    let chunked = message.header("transfer-encoding").is_some_and(|v| v.contains("chunked"));
    if chunked {
        loop {
            let line = read_line(stream, buffer)?;
            let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16);
            let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            fill(stream, buffer, size + 2)?;
            message.body.extend_from_slice(&buffer[..size]);
            buffer.drain(..size + 2);
            if size == 0 {
                return Ok(());
            }
        }
    }
    if let Some(length) = message.header("content-length").and_then(|v| v.parse::<usize>().ok()) {
        fill(stream, buffer, length)?;
        message.body = buffer.drain(..length).collect();
    } else if is_answer {
        while read_more(stream, buffer)? {}
        message.body = std::mem::take(buffer);
    }
    Ok(())
}

fn read_line(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<String> {
    loop {
        if let Some(end) = find(buffer, b"\r\n") {
            let line = String::from_utf8_lossy(&buffer[..end]).into_owned();
            buffer.drain(..end + 2);
            return Ok(line);
        }
        if !read_more(stream, buffer)? {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
}

fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>, length: usize) -> io::Result<()> {
    while buffer.len() < length {
        if !read_more(stream, buffer)? {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    Ok(())
}

fn read_more(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<bool> {
    let mut chunk = [0; 4096];
    let length = stream.read(&mut chunk)?;
    buffer.extend_from_slice(&chunk[..length]);
    Ok(length > 0)
}

fn find(haystack: &[u8], needle: &[u8]) -> Option<usize> {
    haystack.windows(needle.len()).position(|window| window == needle)
}
