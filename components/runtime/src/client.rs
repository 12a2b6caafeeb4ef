//! HTTP/1.1 client on the one loop, with idle connections kept.
//!
//! Its errors keep apart what the rest of the system builds on: whether any
//! byte of the request can have reached the other end.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use displaydoc::Display;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Request, Response};
use smol::net::TcpStream;
use smol::{LocalExecutor, Timer};
use smol_hyper::rt::FuturesIo;
use thiserror::Error;

/// Idle connections kept for one address.
const IDLE_PER_ADDRESS: usize = 32;
/// Largest response that is read as a whole, in bytes.
const MAX_RESPONSE_BYTES: usize = 32 * 1024 * 1024;
/// Longest time to connect.
const CONNECT_TIME: Duration = Duration::from_millis(500);

/// A request without its answer.
#[derive(Debug, Display, Error)]
pub enum HttpError {
    /// nothing was sent: {0}
    NotSent(String),
    /// no whole answer came: {0}
    Broken(String),
    /// no answer came in time
    TimedOut,
}

type Sender = SendRequest<Full<Bytes>>;

/// A response whose body is read piece by piece. Dropping it closes the
/// connection, which cancels what the other end does for it.
#[derive(Debug)]
pub struct StreamedResponse {
    /// Head.
    pub response: Response<()>,
    body: Incoming,
}

impl StreamedResponse {
    /// The next piece of the body, `None` at its proper end.
    ///
    /// # Errors
    /// When the connection ends before the body does.
    pub async fn next(&mut self) -> Result<Option<Bytes>, HttpError> {
        loop {
            match self.body.frame().await {
                None => return Ok(None),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        return Ok(Some(data));
                    }
                }
                Some(Err(error)) => return Err(HttpError::Broken(error.to_string())),
            }
        }
    }
}

/// A client for any number of addresses.
#[derive(Clone)]
pub struct HttpClient {
    executor: Rc<LocalExecutor<'static>>,
    idle: Rc<RefCell<HashMap<SocketAddr, Vec<Sender>>>>,
}

impl HttpClient {
    /// A client whose connections run on `executor`.
    pub fn new(executor: Rc<LocalExecutor<'static>>) -> Self {
        HttpClient {
            executor,
            idle: Rc::default(),
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
        let exchange = async {
            let (sender, response) = self.exchange(address, request).await?;
            let (head, body) = response.into_parts();
            let collected = Limited::new(body, MAX_RESPONSE_BYTES)
                .collect()
                .await
                .map_err(|error| HttpError::Broken(error.to_string()))?;
            self.keep(address, sender);
            Ok(Response::from_parts(head, collected.to_bytes()))
        };
        let late = async {
            Timer::after(patience).await;
            Err(HttpError::TimedOut)
        };
        smol::future::or(exchange, late).await
    }

    /// Sends a request whose answer is read piece by piece.
    ///
    /// # Errors
    /// As [`HttpError`] says.
    pub async fn stream(
        &self,
        address: &str,
        request: Request<Full<Bytes>>,
    ) -> Result<StreamedResponse, HttpError> {
        let (_, response) = self.exchange(address, request).await?;
        let (head, body) = response.into_parts();
        Ok(StreamedResponse {
            response: Response::from_parts(head, ()),
            body,
        })
    }

    /// Tries a kept connection first. One that the other end closed meanwhile
    /// gives the request back unsent, and a new one is made.
    async fn exchange(
        &self,
        address: &str,
        mut request: Request<Full<Bytes>>,
    ) -> Result<(Sender, Response<Incoming>), HttpError> {
        if let Ok(host) = address.parse() {
            request.headers_mut().entry("host").or_insert(host);
        }
        while let Some(mut sender) = self.take_idle(address) {
            if sender.ready().await.is_err() {
                continue;
            }
            match sender.try_send_request(request).await {
                Ok(response) => return Ok((sender, response)),
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(HttpError::Broken(error.into_error().to_string())),
                },
            }
        }
        let mut sender = self.connect(address).await?;
        match sender.try_send_request(request).await {
            Ok(response) => Ok((sender, response)),
            Err(mut error) => {
                let unsent = error.take_message().is_some();
                let cause = error.into_error().to_string();
                Err(if unsent {
                    HttpError::NotSent(cause)
                } else {
                    HttpError::Broken(cause)
                })
            }
        }
    }

    async fn connect(&self, address: &str) -> Result<Sender, HttpError> {
        let target: SocketAddr = address
            .parse()
            .map_err(|_| HttpError::NotSent(format!("{address} is no IP address and port")))?;
        let connecting = async {
            let stream = TcpStream::connect(target).await;
            stream.map_err(|error| HttpError::NotSent(error.to_string()))
        };
        let late = async {
            Timer::after(CONNECT_TIME).await;
            Err(HttpError::NotSent("no connection in time".to_owned()))
        };
        let stream = smol::future::or(connecting, late).await?;
        let _unset = stream.set_nodelay(true);
        let (sender, connection) = handshake(FuturesIo::new(stream))
            .await
            .map_err(|error| HttpError::NotSent(error.to_string()))?;
        let drive = async move {
            // Its faults reach the requests on it.
            let _ended = connection.await;
        };
        self.executor.spawn(drive).detach();
        Ok(sender)
    }

    fn take_idle(&self, address: &str) -> Option<Sender> {
        let address: SocketAddr = address.parse().ok()?;
        self.idle.borrow_mut().get_mut(&address)?.pop()
    }

    fn keep(&self, address: &str, sender: Sender) {
        let Ok(address) = address.parse() else {
            return;
        };
        let mut idle = self.idle.borrow_mut();
        let kept = idle.entry(address).or_default();
        if kept.len() < IDLE_PER_ADDRESS && !sender.is_closed() {
            kept.push(sender);
        }
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
