//! HTTP/1.1 client on the one loop, with idle connections kept.
//!
//! Its errors keep apart what the rest of the system builds on: whether any
//! byte of the request can have reached the other end.

use std::rc::Rc;
use std::time::Duration;

use displaydoc::Display;
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::{Request, Response};
use smol::{LocalExecutor, Timer};
use thiserror::Error;

use crate::pool::{ConnectionPool, Exchange, PoolSettings};

/// Idle connections kept for one address.
const IDLE_PER_ADDRESS: usize = 32;
/// How long an idle connection is kept where the other end tells nothing.
const IDLE_TIME: Duration = Duration::from_secs(60);
/// Largest response that is read as a whole, in bytes.
const MAX_RESPONSE_BYTES: usize = 32 * 1024 * 1024;
/// Longest time to connect.
const CONNECT_TIME: Duration = Duration::from_millis(500);
/// A connection whose bytes are not acknowledged for so long is over.
const SILENCE: Duration = Duration::from_secs(5);

/// A request without its answer.
#[derive(Debug, Display, Error)]
pub enum HttpError {
    /// nothing was sent: {0}
    NotSent(String),
    /// its sender withheld it
    Withheld,
    /// no whole answer came: {0}
    Broken(String),
    /// the answer is longer than {0} bytes
    TooLong(usize),
    /// no answer came in time
    TimedOut,
}

/// A response whose body is read chunk by chunk. Dropping it closes the
/// connection, which cancels what the other end does for it.
pub struct StreamedResponse {
    /// Head.
    pub response: Response<()>,
    exchange: Exchange,
}

impl StreamedResponse {
    /// The next chunk of the body, `None` at its proper end.
    ///
    /// # Errors
    /// When the connection ends before the body does.
    pub async fn next(&mut self) -> Result<Option<Bytes>, HttpError> {
        self.exchange.next().await
    }

    /// Reads the rest of the body, up to `limit` bytes.
    ///
    /// # Errors
    /// When it is longer, or the connection ends before it does.
    pub async fn read_whole(&mut self, limit: usize) -> Result<Bytes, HttpError> {
        self.exchange.read_whole(limit).await
    }
}

/// A client for any number of addresses.
#[derive(Clone)]
pub struct HttpClient {
    pool: ConnectionPool,
}

impl HttpClient {
    /// A client whose connections run on `executor`.
    pub fn new(executor: Rc<LocalExecutor<'static>>) -> Self {
        let settings = PoolSettings {
            connect_timeout: CONNECT_TIME,
            ack_timeout: SILENCE,
            idle_timeout: IDLE_TIME,
            idle_per_address: IDLE_PER_ADDRESS,
        };
        HttpClient {
            pool: ConnectionPool::new(executor, settings),
        }
    }

    /// Sends a request and reads the whole answer within `patience`.
    ///
    /// # Errors
    /// As [`HttpError`] says.
    pub async fn send(
        &self,
        address: &str,
        request: Request<Full<Bytes>>,
        patience: Duration,
    ) -> Result<Response<Bytes>, HttpError> {
        let whole = async {
            let mut exchange = self.exchange(address, request).await?;
            let body = exchange.read_whole(MAX_RESPONSE_BYTES).await?;
            let head = exchange.head.clone();
            exchange.finish();
            Ok(Response::from_parts(head, body))
        };
        let late = async {
            Timer::after(patience).await;
            Err(HttpError::TimedOut)
        };
        smol::future::or(whole, late).await
    }

    /// Sends a request whose answer is read chunk by chunk.
    ///
    /// # Errors
    /// As [`HttpError`] says.
    pub async fn stream(
        &self,
        address: &str,
        request: Request<Full<Bytes>>,
    ) -> Result<StreamedResponse, HttpError> {
        let exchange = self.exchange(address, request).await?;
        let response = Response::from_parts(exchange.head.clone(), ());
        Ok(StreamedResponse { response, exchange })
    }

    async fn exchange(
        &self,
        address: &str,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Exchange, HttpError> {
        if let Ok(host) = address.parse() {
            request.headers_mut().entry("host").or_insert(host);
        }
        self.pool.send(address, request).await
    }
}

/// A request with a JSON body to a path of our own interfaces.
pub fn json_request(
    method: &str,
    path: &str,
    body: &impl serde::Serialize,
) -> Request<Full<Bytes>> {
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    build_request(method, path, "application/json", bytes).unwrap_or_default()
}

/// A request without a body to a path of our own interfaces.
pub fn get_request(path: &str) -> Request<Full<Bytes>> {
    build_request("GET", path, "", Vec::new()).unwrap_or_default()
}

/// A request with a body of the given type.
///
/// # Errors
/// When method or path are none that HTTP knows.
pub fn build_request(
    method: &str,
    path: &str,
    content_type: &str,
    body: Vec<u8>,
) -> Result<Request<Full<Bytes>>, HttpError> {
    let mut builder = Request::builder().method(method).uri(path);
    if !content_type.is_empty() {
        builder = builder.header("content-type", content_type);
    }
    builder
        .body(Full::new(Bytes::from(body)))
        .map_err(|error| HttpError::NotSent(error.to_string()))
}
