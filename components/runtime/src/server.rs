//! HTTP/1.1 server on the one loop.

use std::cell::RefCell;
use std::convert::Infallible;
use std::error::Error;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use displaydoc::Display;
use futures_lite::{Stream, StreamExt};
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Bytes, Frame, Incoming};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use smol::channel::Receiver;
use smol::net::{TcpListener, TcpStream};
use smol::{LocalExecutor, Timer};
use smol_hyper::rt::{FuturesIo, SmolTimer};
use thiserror::Error;

use crate::connection_limit::{ConnectionLimit, OpenConnection};
use crate::connection_timer::{ConnectionTimeouts, ConnectionTimer, Phase, TimedBody, TimedStream};
use crate::shared::Shared;

/// Body of a response.
pub type Body = Pin<Box<dyn hyper::body::Body<Data = Bytes, Error = BodyAborted>>>;

/// The answer can't be brought to its end: its connection is closed, so that
/// what was sent does not look whole.
#[derive(Debug, Display, Error, Clone, Copy, PartialEq, Eq)]
pub enum BodyAborted {
    /// the back end broke off
    BackendDisconnected,
}

/// Bounds on what one connection may do.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Largest head, in bytes.
    pub head_bytes: usize,
    /// Longest time until the body is whole.
    pub body_time: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            body_bytes: 4 * 1024 * 1024,
            head_bytes: 32 * 1024,
            body_time: Duration::from_secs(20),
        }
    }
}

/// Why a body could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// Larger than allowed.
    TooLarge,
    /// The connection ended before it was whole.
    CutOff,
    /// It took too long.
    TooSlow,
}

/// Bounds on the time of a connection where nothing else is told.
pub const DEFAULT_TIMEOUTS: ConnectionTimeouts = ConnectionTimeouts {
    head: Duration::from_secs(5),
    idle: Duration::from_secs(5),
};

/// Pause after a connection that could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Errors of connections that were ready, before the rest is left.
const MOST_ACCEPT_ERRORS: usize = 16;
/// A stop waits for so long, in all, for a head that is on its way: of a
/// caller that has just connected, or of one that has sent a part. A round
/// trip of the farthest callers and a lost packet fit into it.
const LAST_HEAD_TIME: Duration = Duration::from_millis(500);

/// An answer that was passed on no longer ago may still be on its way to its
/// caller: a round trip of the farthest callers and two lost packets.
const ON_ITS_WAY: Duration = Duration::from_secs(1);

/// Most that is taken in of a body that is not wanted: four times the largest one
/// that is allowed where nothing else is told.
const MOST_DISCARDED_BYTES: usize = 16 * 1024 * 1024;
/// Longest time to take it in: after it callers no longer wait for a first byte.
const DISCARD_TIME: Duration = Duration::from_secs(2);

/// A listening server.
#[derive(Debug)]
pub struct HttpServer {
    /// `None` once a stop has closed it.
    listener: RefCell<Option<TcpListener>>,
    limits: Limits,
    times: Shared<ConnectionTimeouts>,
    bound: Option<Arc<ConnectionLimit>>,
}

/// Binds a port; the error names the address.
///
/// # Errors
/// When the address can't be bound, such as a port that is in use.
pub async fn bind_listener(address: SocketAddr) -> std::io::Result<TcpListener> {
    let named = |error: std::io::Error| {
        let message = format!("can't listen at {address}: {error}");
        std::io::Error::new(error.kind(), message)
    };
    TcpListener::bind(address).await.map_err(named)
}

/// A server for figures. Where its port can't be had, the process goes on
/// without them and says so.
pub fn bind_metrics(address: SocketAddr) -> Option<Rc<HttpServer>> {
    match smol::block_on(HttpServer::bind(address, Limits::default())) {
        Ok(server) => Some(Rc::new(server)),
        Err(error) => {
            log::warn!(cause = error.to_string().as_str(); "no_metrics");
            None
        }
    }
}

impl HttpServer {
    /// Listens at `address`; port 0 lets the system pick one.
    ///
    /// # Errors
    /// When the address can't be bound, such as a port that is in use.
    pub async fn bind(address: SocketAddr, limits: Limits) -> std::io::Result<Self> {
        let listener = bind_listener(address).await?;
        Ok(HttpServer {
            listener: RefCell::new(Some(listener)),
            limits,
            times: Shared::new(DEFAULT_TIMEOUTS),
            bound: None,
        })
    }

    /// The same with bounds on time that the caller may change meanwhile.
    #[must_use]
    pub fn with_timeouts(mut self, times: Shared<ConnectionTimeouts>) -> Self {
        self.times = times;
        self
    }

    /// The same, which resets connections beyond a bound.
    #[must_use]
    pub fn with_connection_limit(mut self, bound: Arc<ConnectionLimit>) -> Self {
        self.bound = Some(bound);
        self
    }

    /// The address that it listens at.
    ///
    /// # Errors
    /// When the system does not tell, or a stop has closed the listener.
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        match &*self.listener.borrow() {
            Some(listener) => listener.local_addr(),
            None => Err(std::io::ErrorKind::NotConnected.into()),
        }
    }

    /// Serves until `stop` ends. Who has connected by then is answered, whoever
    /// comes later is refused by the system; open requests finish.
    pub async fn serve<H, F>(
        &self,
        executor: Rc<LocalExecutor<'static>>,
        handler: H,
        stop: impl Future<Output = ()>,
    ) where
        H: Fn(Request<Incoming>) -> F + Clone + 'static,
        F: Future<Output = Response<Body>> + 'static,
    {
        let listener = self.listener.borrow().clone();
        let Some(listener) = listener else {
            log::error!("listener_is_closed");
            return;
        };
        let (ended, open) = smol::channel::bounded::<()>(1);
        let begin = |stream| {
            let Some((stream, counted)) = self.admit(stream) else {
                return;
            };
            let times = self.times.clone();
            let connection =
                serve_connection(stream, self.limits, times, handler.clone(), open.clone());
            let connection = async move {
                connection.await;
                drop(counted);
            };
            executor.spawn(connection).detach();
        };
        accept_until(&listener, &begin, stop).await;
        let open_connections = open.receiver_count() - 1;
        let queued_connections = accept_queue(&listener, &begin).await;
        log::info!(
            listen = self.address().map(|a| a.to_string()).unwrap_or_default().as_str(),
            open_connections = open_connections,
            queued_connections = queued_connections;
            "listener_closed"
        );
        // The kernel completes connections for as long as the socket exists;
        // their callers would wait until the last answer here is over.
        drop(listener);
        self.listener.take();
        ended.close();
        // Each open connection holds a receiver.
        while open.receiver_count() > 1 {
            Timer::after(Duration::from_millis(5)).await;
        }
    }
}

impl HttpServer {
    /// Takes a connection where no bound is reached.
    fn admit(&self, stream: TcpStream) -> Option<(TcpStream, Option<OpenConnection>)> {
        match &self.bound {
            Some(bound) => {
                let (stream, counted) = bound.admit(stream)?;
                Some((stream, Some(counted)))
            }
            None => Some((stream, None)),
        }
    }
}

/// Begins each connection that comes until `stop` ends.
async fn accept_until(
    listener: &TcpListener,
    begin: &impl Fn(TcpStream),
    stop: impl Future<Output = ()>,
) {
    let mut stop = pin!(stop);
    loop {
        let accepted = async { Some(listener.accept().await) };
        let stopped = async {
            stop.as_mut().await;
            None
        };
        match smol::future::or(stopped, accepted).await {
            None => return,
            Some(Ok((stream, _))) => begin(stream),
            // Out of file handles, for example: give the others time.
            Some(Err(error)) => {
                log::warn!(cause = error.to_string().as_str(); "not_accepted");
                Timer::after(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Begins the connections that the kernel holds ready; gives their number.
async fn accept_queue(listener: &TcpListener, begin: &impl Fn(TcpStream)) -> usize {
    let mut count = 0;
    let mut errors = 0;
    while errors < MOST_ACCEPT_ERRORS {
        match smol::future::poll_once(listener.accept()).await {
            None => break,
            Some(Ok((stream, _))) => {
                begin(stream);
                count += 1;
            }
            // One caller has gone meanwhile, for example: others wait behind it.
            Some(Err(error)) => {
                log::warn!(cause = error.to_string().as_str(); "not_accepted");
                errors += 1;
            }
        }
    }
    count
}

async fn serve_connection<H, F>(
    stream: TcpStream,
    limits: Limits,
    times: Shared<ConnectionTimeouts>,
    handler: H,
    stop: Receiver<()>,
) where
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    // Latency matters more than the count of packets.
    let _unset = stream.set_nodelay(true);
    let clock = ConnectionTimer::start();
    let serving = Rc::clone(&clock);
    let service = service_fn(move |request| {
        serving.request_began();
        let response = handler(request);
        let clock = Rc::clone(&serving);
        async move {
            let response = response.await;
            Ok::<_, Infallible>(response.map(|body| TimedBody { body, clock }))
        }
    });
    let stream = TimedStream {
        stream,
        clock: Rc::clone(&clock),
    };
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(SmolTimer::new())
        .header_read_timeout(None)
        .max_buf_size(limits.head_bytes)
        .serve_connection(FuturesIo::new(stream), service);
    let mut connection = pin!(connection);
    let asked_to_stop = async {
        let _closed = stop.recv().await;
        clock.head_is_in(LAST_HEAD_TIME).await;
        true
    };
    let overdue = async {
        clock.overdue(&times).await;
        false
    };
    let asked = {
        let finished = async {
            let ended = connection.as_mut().await;
            note_fault(&clock, ended);
            false
        };
        // The connection is polled first: it reads what the kernel holds for it
        // before a limit or a stop ends it.
        let finished = smol::future::or(finished, overdue);
        smol::future::or(finished, asked_to_stop).await
    };
    if asked {
        connection.as_mut().graceful_shutdown();
        let finished = async {
            let ended = connection.await;
            note_fault(&clock, ended);
        };
        smol::future::or(finished, clock.overdue(&times)).await;
    }
}

/// A fault of one connection concerns nobody else. Its caller may miss an answer
/// that was passed on whole, which no other line tells.
fn note_fault(clock: &ConnectionTimer, ended: hyper::Result<()>) {
    let Err(error) = ended else {
        return;
    };
    let (phase, lasted) = clock.phase();
    let source = error.source().map(ToString::to_string).unwrap_or_default();
    // Whoever leaves or is cut while it is served has a line of its own.
    let may_miss = phase == Phase::Resting && lasted < ON_ITS_WAY && !error.is_user();
    let level = if may_miss {
        log::Level::Info
    } else {
        log::Level::Debug
    };
    log::log!(
        level,
        phase = phase.as_str(),
        for_ms = lasted.as_millis() as u64,
        error = error.to_string().as_str(),
        cause = source.as_str();
        "caller_connection_failed"
    );
}

/// Reads a whole body within the limits.
///
/// # Errors
/// As [`BodyError`] says.
pub async fn read_body(mut body: Incoming, limits: &Limits) -> Result<Bytes, BodyError> {
    let read = async { Some(collect(&mut body, limits.body_bytes).await) };
    let late = async {
        Timer::after(limits.body_time).await;
        None
    };
    let read = smol::future::or(read, late).await;
    if matches!(read, Some(Err(BodyError::TooLarge))) {
        discard_body(body).await;
    }
    read.unwrap_or(Err(BodyError::TooSlow))
}

async fn collect(body: &mut Incoming, most_bytes: usize) -> Result<Bytes, BodyError> {
    let mut whole = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError::CutOff)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if whole.len() + data.len() > most_bytes {
            return Err(BodyError::TooLarge);
        }
        whole.extend_from_slice(&data);
    }
    Ok(Bytes::from(whole))
}

/// Takes in what a caller still sends of a body that is not wanted, within
/// bounds. A connection that is closed with bytes unread is reset, and the reset
/// overtakes the answer.
pub async fn discard_body(mut body: Incoming) {
    let discarding = async {
        let mut left = MOST_DISCARDED_BYTES;
        while let Some(Ok(frame)) = body.frame().await {
            let bytes = frame.data_ref().map_or(0, Bytes::len);
            left = left.saturating_sub(bytes);
            if left == 0 {
                return;
            }
        }
    };
    let late = async {
        Timer::after(DISCARD_TIME).await;
    };
    smol::future::or(discarding, late).await;
}

/// A body that is there as a whole.
pub fn bytes_body(bytes: impl Into<Bytes>) -> Body {
    let whole = Full::new(bytes.into());
    Box::pin(whole.map_err(|never| match never {}))
}

/// A body whose chunks come through a channel; it ends when the channel closes.
pub fn channel_body(chunks: Receiver<Bytes>) -> Body {
    let frames = chunks.map(|chunk| Ok(Frame::data(chunk)));
    Box::pin(StreamBody::new(frames))
}

/// A body whose chunks come from a stream, which may break off.
pub fn stream_body(chunks: impl Stream<Item = Result<Bytes, BodyAborted>> + 'static) -> Body {
    Box::pin(StreamBody::new(chunks.map(|chunk| chunk.map(Frame::data))))
}

/// A response with a JSON body.
pub fn json_response(status: u16, body: &impl serde::Serialize) -> Response<Body> {
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    with_type(status, "application/json", bytes)
}

/// A response with a text body.
pub fn text_response(status: u16, text: impl Into<String>) -> Response<Body> {
    with_type(
        status,
        "text/plain; charset=utf-8",
        text.into().into_bytes(),
    )
}

/// A response with a body of the given type.
pub fn with_type(status: u16, content_type: &str, bytes: Vec<u8>) -> Response<Body> {
    let mut response = Response::new(bytes_body(bytes));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    set_header(&mut response, "content-type", content_type);
    response
}

/// Sets a header; a value that is no header value is left out.
pub fn set_header(response: &mut Response<Body>, name: &'static str, value: &str) {
    if let Ok(value) = value.parse() {
        response.headers_mut().insert(name, value);
    }
}
