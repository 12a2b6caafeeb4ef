//! HTTP/1.1 client that reuses idle connections.
//!
//! Its errors tell whether any byte of the request can have reached the server,
//! as the decision to retry depends on it.

use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use displaydoc::Display;
use garnet_types::ByteCount;
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::{Request, Response};
use smol::{LocalExecutor, Timer};
use thiserror::Error;

use crate::byte_budget::{BudgetExceeded, ByteBudget};
use crate::pool::{ConnectionPool, Exchange, PoolSettings, SendConditions};

/// Maximum count of idle connections to one address.
const MAX_IDLE_PER_ADDRESS: usize = 32;
/// Idle timeout of connections whose server announces none.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum size of an answer that is read as a whole, if the client has no limit of its own.
const MAX_ANSWER_BYTES: ByteCount = ByteCount(32 * 1024 * 1024);
/// Longest answer that acknowledges an order or reports the state of a back end.
pub const MAX_SHORT_ANSWER: ByteCount = ByteCount(64 * 1024);
/// Timeout of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// A connection ends when its bytes are not acknowledged for this time.
const ACK_TIMEOUT: Duration = Duration::from_secs(5);

/// A request failed or has no complete answer.
#[derive(Debug, Display, Error)]
pub enum HttpError {
    /// the request was not sent: {0}
    NotSent(String),
    /// the request was withheld by its sender
    Withheld,
    /// the connection failed before the answer was complete: {0}
    Broken(String),
    /// what was received is no answer: {0}
    NoAnswer(String),
    /// the answer is longer than {0} bytes
    TooLong(usize),
    /// the answer was not buffered: {0}
    NoRoom(BudgetExceeded),
    /// no complete answer arrived before the timeout
    TimedOut,
}

/// A response whose body is read chunk by chunk. Dropping it closes the
/// connection, which cancels the request at the server.
pub struct StreamedResponse {
    /// Status and headers.
    pub response: Response<()>,
    exchange: Exchange,
}

impl StreamedResponse {
    fn new(exchange: Exchange) -> Self {
        let response = Response::from_parts(exchange.head.clone(), ());
        StreamedResponse { response, exchange }
    }

    /// Returns the next chunk of the body, or `None` after the last one.
    ///
    /// # Errors
    /// When the connection ends before the body is complete.
    pub async fn next(&mut self) -> Result<Option<Bytes>, HttpError> {
        self.exchange.next().await
    }

    /// Reads the rest of the body, up to `limit` bytes.
    ///
    /// # Errors
    /// When the body is longer, or the connection ends before it is complete.
    pub async fn read_whole(&mut self, limit: usize) -> Result<Bytes, HttpError> {
        self.exchange.read_whole(limit).await
    }
}

/// An HTTP client with a connection pool for all addresses.
#[derive(Clone)]
pub struct HttpClient {
    pool: ConnectionPool,
    max_answer: ByteCount,
}

impl HttpClient {
    /// Creates a client whose connections run on `executor`.
    pub fn new(executor: Rc<LocalExecutor<'static>>) -> Self {
        let settings = PoolSettings {
            connect_timeout: CONNECT_TIMEOUT,
            ack_timeout: ACK_TIMEOUT,
            idle_timeout: IDLE_TIMEOUT,
            idle_per_address: MAX_IDLE_PER_ADDRESS,
        };
        HttpClient {
            pool: ConnectionPool::new(executor, settings),
            max_answer: MAX_ANSWER_BYTES,
        }
    }

    /// Sets the budget for answers that are read as a whole.
    #[must_use]
    pub fn with_budget(mut self, budget: ByteBudget) -> Self {
        self.pool = self.pool.with_budget(budget);
        self
    }

    /// Sets the longest answer that is read as a whole.
    #[must_use]
    pub fn with_max_answer(mut self, max_answer: ByteCount) -> Self {
        self.max_answer = max_answer;
        self
    }

    /// Sends a request and reads the whole answer within `timeout`. Its extensions hold its
    /// [`Framing`](garnet_types::Framing).
    ///
    /// # Errors
    /// See [`HttpError`].
    pub async fn send(
        &self,
        address: &str,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Response<Bytes>, HttpError> {
        let complete_answer = async {
            let mut exchange = self.exchange(address, request).await?;
            let response = read_response(&mut exchange, self.max_answer).await?;
            exchange.finish();
            Ok(response)
        };
        or_time_out(complete_answer, timeout).await
    }

    /// Sends a request like [`Self::send`] on a connection of its own. An answer that names no
    /// request is certainly its own only there.
    ///
    /// # Errors
    /// See [`HttpError`].
    pub async fn send_once(
        &self,
        address: &str,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Response<Bytes>, HttpError> {
        let complete_answer = async {
            let mut exchange = self.exchange_once(address, request).await?;
            read_response(&mut exchange, self.max_answer).await
        };
        or_time_out(complete_answer, timeout).await
    }

    /// Sends a request and returns its answer as a stream of chunks.
    ///
    /// # Errors
    /// See [`HttpError`].
    pub async fn stream(
        &self,
        address: &str,
        request: Request<Full<Bytes>>,
    ) -> Result<StreamedResponse, HttpError> {
        let exchange = self.exchange(address, request).await?;
        Ok(StreamedResponse::new(exchange))
    }

    /// Sends a request like [`Self::stream`] on a connection of its own.
    ///
    /// # Errors
    /// See [`HttpError`].
    pub async fn stream_once(
        &self,
        address: &str,
        request: Request<Full<Bytes>>,
    ) -> Result<StreamedResponse, HttpError> {
        let exchange = self.exchange_once(address, request).await?;
        Ok(StreamedResponse::new(exchange))
    }

    async fn exchange(
        &self,
        address: &str,
        request: Request<Full<Bytes>>,
    ) -> Result<Exchange, HttpError> {
        self.pool.send(address, with_host(address, request)).await
    }

    /// Sends a request on a connection that serves no other one.
    async fn exchange_once(
        &self,
        address: &str,
        request: Request<Full<Bytes>>,
    ) -> Result<Exchange, HttpError> {
        let conditions = SendConditions {
            max_idle: 0,
            may_send: || true,
            may_reuse: |_| false,
        };
        let request = with_host(address, request);
        self.pool.send_if(address, request, conditions).await
    }
}

fn with_host(address: &str, mut request: Request<Full<Bytes>>) -> Request<Full<Bytes>> {
    if let Ok(host) = address.parse() {
        request.headers_mut().entry("host").or_insert(host);
    }
    request
}

async fn read_response(
    exchange: &mut Exchange,
    max_answer: ByteCount,
) -> Result<Response<Bytes>, HttpError> {
    let body = exchange.read_whole(max_answer.0).await?;
    let mut head = exchange.head.clone();
    head.extensions.insert(exchange.framing());
    Ok(Response::from_parts(head, body))
}

/// Waits for a result, for `timeout` at most.
///
/// # Errors
/// That of the result, or [`HttpError::TimedOut`].
pub(crate) async fn or_time_out<T>(
    result: impl Future<Output = Result<T, HttpError>>,
    timeout: Duration,
) -> Result<T, HttpError> {
    let timed_out = async {
        Timer::after(timeout).await;
        Err(HttpError::TimedOut)
    };
    smol::future::or(result, timed_out).await
}

/// Builds a request with a JSON body to one of this system's own interfaces.
pub fn json_request(
    method: &str,
    path: &str,
    body: &impl serde::Serialize,
) -> Request<Full<Bytes>> {
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    build_request(method, path, "application/json", bytes).unwrap_or_default()
}

/// Builds a GET request to one of this system's own interfaces.
pub fn get_request(path: &str) -> Request<Full<Bytes>> {
    build_request("GET", path, "", Vec::new()).unwrap_or_default()
}

/// Builds a request with a body of the given type.
///
/// # Errors
/// When the method or the path is invalid.
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
