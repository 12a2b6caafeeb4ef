//! HTTP/1.1 server.

use std::cell::{Cell, RefCell};
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
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Bytes, Frame, Incoming};
use hyper::header::CONTENT_LENGTH;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode, Version};
use smol::channel::Receiver;
use smol::net::{TcpListener, TcpStream};
use smol::{LocalExecutor, Timer};
use smol_hyper::rt::{FuturesIo, SmolTimer};
use thiserror::Error;

use crate::byte_budget::{BudgetExceeded, ByteBudget};
use crate::byte_buffer::ByteBuffer;
use crate::close_mode::CloseMode;
use crate::connection_limit::{ConnectionLimit, OpenConnection, reset};
use crate::connection_timer::{ConnectionTimeouts, ConnectionTimer, Phase, TimedBody, TimedStream};
use crate::fair_stream::reactor_turn;
use crate::progress::{Progress, ProgressStream};
use crate::request_body::RequestBody;
use crate::shared::Shared;
use crate::sliced_body::SlicedBody;
use garnet_types::Framing;

/// Body of a response.
pub type Body = Pin<Box<dyn hyper::body::Body<Data = Bytes, Error = BodyAborted>>>;

/// The answer can't be completed. Its connection is closed, so that the sent part
/// does not look like a complete answer.
#[derive(Debug, Display, Error, Clone, Copy, PartialEq, Eq)]
pub enum BodyAborted {
    /// the back end did not complete the answer
    BackendDisconnected,
}

/// Limits of a request.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Maximum size of a body, in bytes.
    pub body_bytes: usize,
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum time to receive the whole body.
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
    /// The body exceeds the size limit.
    TooLarge,
    /// The connection ended before the body was complete.
    CutOff,
    /// The body was not received in time.
    TooSlow,
    /// The budget of the process has no room for the body.
    NoRoom(BudgetExceeded),
}

/// Default timeouts of a connection.
pub const DEFAULT_TIMEOUTS: ConnectionTimeouts = ConnectionTimeouts {
    head: Duration::from_secs(5),
    idle: Duration::from_secs(5),
};

/// Number of connections accepted in a row before other tasks run.
const MAX_ACCEPTS_PER_TURN: usize = 64;
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Maximum count of errors while the accept queue is emptied during a stop.
const MAX_ACCEPT_ERRORS: usize = 16;
/// Maximum total time that a stop waits for a request head from a caller that has just
/// connected or has sent a part of it. Allows for a round trip of the farthest
/// callers and one lost packet.
const LAST_HEAD_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after its end in which an answer may not have reached its caller yet: a
/// round trip of the farthest callers and two lost packets.
const MAX_DELIVERY_TIME: Duration = Duration::from_secs(1);

/// Maximum size read of a body that is discarded: four times the default body limit.
const MAX_DISCARDED_BYTES: usize = 16 * 1024 * 1024;
/// Maximum time to read a discarded body. After it callers no longer wait for the first
/// byte of the answer.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// Resets some of a server's connections.
pub trait ConnectionFilter: std::fmt::Debug {
    /// Whether a new connection is served; it is reset otherwise. Nothing is read from it
    /// before.
    fn admit(&self, stream: &TcpStream) -> Pin<Box<dyn Future<Output = bool>>>;
    /// Completes when the connection, which is being served, is to be reset.
    fn interrupted(&self, stream: &TcpStream) -> Pin<Box<dyn Future<Output = ()>>>;
}

/// The connection of a request, for handlers that write to it beside the HTTP library, as stand-ins
/// of faulty back ends do. Bytes may be written from the arrival of a request until the response
/// is returned.
#[derive(Debug, Clone)]
pub struct ConnectionHandle {
    /// Number of the connection, unique in its server.
    pub number: u64,
    /// The socket.
    pub stream: TcpStream,
}

/// A listening server.
#[derive(Debug)]
pub struct HttpServer {
    /// `None` after a stop has closed it.
    listener: RefCell<Option<TcpListener>>,
    limits: Limits,
    timeouts: Shared<ConnectionTimeouts>,
    connection_limit: Option<Arc<ConnectionLimit>>,
    filter: Option<Rc<dyn ConnectionFilter>>,
    /// Number of the next connection, if requests carry a [`ConnectionHandle`].
    next_connection: Option<Cell<u64>>,
}

/// Binds a listener; the error names the address.
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

/// Binds a server for metrics. If its port can't be bound, this is logged and the
/// process runs without metrics.
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
    /// Binds a server to `address`; with port 0 the system picks a port.
    ///
    /// # Errors
    /// When the address can't be bound, such as a port that is in use.
    pub async fn bind(address: SocketAddr, limits: Limits) -> std::io::Result<Self> {
        let listener = bind_listener(address).await?;
        Ok(HttpServer {
            listener: RefCell::new(Some(listener)),
            limits,
            timeouts: Shared::new(DEFAULT_TIMEOUTS),
            connection_limit: None,
            filter: None,
            next_connection: None,
        })
    }

    /// Sets the timeouts of connections, which may change while the server runs.
    #[must_use]
    pub fn with_timeouts(mut self, timeouts: Shared<ConnectionTimeouts>) -> Self {
        self.timeouts = timeouts;
        self
    }

    /// Sets a limit on open connections; connections above it are reset.
    #[must_use]
    pub fn with_connection_limit(mut self, connection_limit: Arc<ConnectionLimit>) -> Self {
        self.connection_limit = Some(connection_limit);
        self
    }

    /// Sets a filter for connections.
    #[must_use]
    pub fn with_filter(mut self, filter: Rc<dyn ConnectionFilter>) -> Self {
        self.filter = Some(filter);
        self
    }

    /// Adds a [`ConnectionHandle`] to the extensions of each request.
    #[must_use]
    pub fn with_connection_handles(mut self) -> Self {
        self.next_connection = Some(Cell::new(0));
        self
    }

    /// The address of the listener.
    ///
    /// # Errors
    /// When the system can't tell it, or a stop has closed the listener.
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        match &*self.listener.borrow() {
            Some(listener) => listener.local_addr(),
            None => Err(std::io::ErrorKind::NotConnected.into()),
        }
    }

    /// Serves until `stop` completes. Callers that connected before are answered,
    /// later connections are refused by the system, and open requests finish.
    pub async fn serve<H, F>(
        &self,
        executor: Rc<LocalExecutor<'static>>,
        handler: H,
        stop: impl Future<Output = ()>,
    ) where
        H: Fn(Request<RequestBody>) -> F + Clone + 'static,
        F: Future<Output = Response<Body>> + 'static,
    {
        let listener = self.listener.borrow().clone();
        let Some(listener) = listener else {
            log::error!("listener_is_closed");
            return;
        };
        let (ended, open) = smol::channel::bounded::<()>(1);
        let on_accept = |stream| {
            let Some((stream, counted)) = self.admit(stream) else {
                return;
            };
            let timeouts = self.timeouts.clone();
            let connection = serve_connection(
                stream.clone(),
                self.limits,
                timeouts,
                self.connection_handle(&stream),
                handler.clone(),
                open.clone(),
            );
            let connection = filtered(self.filter.clone(), stream, connection);
            let connection = async move {
                connection.await;
                drop(counted);
            };
            executor.spawn(connection).detach();
        };
        accept_until(&listener, &on_accept, stop).await;
        let open_connections = open.receiver_count() - 1;
        let queued_connections = accept_queue(&listener, &on_accept).await;
        log::info!(
            listen = self.address().map(|a| a.to_string()).unwrap_or_default().as_str(),
            open_connections = open_connections,
            queued_connections = queued_connections;
            "listener_closed"
        );
        // The kernel completes connections as long as the socket exists; their
        // callers would wait until the last answer has ended.
        drop(listener);
        self.listener.take();
        ended.close();
        // Each open connection holds a receiver of the channel.
        while open.receiver_count() > 1 {
            Timer::after(Duration::from_millis(5)).await;
        }
    }
}

impl HttpServer {
    /// The handle of a new connection, if requests carry one.
    fn connection_handle(&self, stream: &TcpStream) -> Option<ConnectionHandle> {
        let next = self.next_connection.as_ref()?;
        let number = next.get();
        next.set(number + 1);
        Some(ConnectionHandle {
            number,
            stream: stream.clone(),
        })
    }

    /// Admits a connection, unless the connection limit is reached.
    fn admit(&self, stream: TcpStream) -> Option<(TcpStream, Option<OpenConnection>)> {
        match &self.connection_limit {
            Some(connection_limit) => {
                let (stream, counted) = connection_limit.admit(stream)?;
                Some((stream, Some(counted)))
            }
            None => Some((stream, None)),
        }
    }
}

/// Serves a connection until the filter, if there is one, interrupts it.
async fn filtered(
    filter: Option<Rc<dyn ConnectionFilter>>,
    stream: TcpStream,
    connection: impl Future<Output = ()>,
) {
    let Some(filter) = filter else {
        return connection.await;
    };
    if !filter.admit(&stream).await {
        return reset(&stream);
    }
    let interrupted = async {
        filter.interrupted(&stream).await;
        reset(&stream);
    };
    smol::future::or(connection, interrupted).await;
}

/// Accepts connections until `stop` completes.
async fn accept_until(
    listener: &TcpListener,
    on_accept: &impl Fn(TcpStream),
    stop: impl Future<Output = ()>,
) {
    let mut stop = pin!(stop);
    let mut accepted_in_turn = 0;
    loop {
        if accepted_in_turn == MAX_ACCEPTS_PER_TURN {
            accepted_in_turn = 0;
            reactor_turn().await;
        }
        accepted_in_turn += 1;
        let accepted = async { Some(listener.accept().await) };
        let stopped = async {
            stop.as_mut().await;
            None
        };
        match smol::future::or(stopped, accepted).await {
            None => return,
            Some(Ok((stream, _))) => on_accept(stream),
            // For example out of file handles: waits until others are closed.
            Some(Err(error)) => {
                log::warn!(cause = error.to_string().as_str(); "not_accepted");
                Timer::after(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Accepts the connections in the kernel's accept queue and returns their count.
async fn accept_queue(listener: &TcpListener, on_accept: &impl Fn(TcpStream)) -> usize {
    let mut count = 0;
    let mut errors = 0;
    while errors < MAX_ACCEPT_ERRORS {
        match smol::future::poll_once(listener.accept()).await {
            None => break,
            Some(Ok((stream, _))) => {
                on_accept(stream);
                count += 1;
            }
            // For example a caller has disconnected; there may be others in the queue.
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
    timeouts: Shared<ConnectionTimeouts>,
    handle: Option<ConnectionHandle>,
    handler: H,
    stop: Receiver<()>,
) where
    H: Fn(Request<RequestBody>) -> F + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    // Low latency is more important than a low packet count.
    let _unset = stream.set_nodelay(true);
    let connection_timer = ConnectionTimer::start();
    let close_mode = CloseMode::new(stream.clone());
    let serving = Rc::clone(&connection_timer);
    let closing = Rc::clone(&close_mode);
    let progress = Progress::default();
    let received = progress.clone();
    let service = service_fn(move |mut request: Request<Incoming>| {
        serving.on_request();
        received.note();
        if let Some(handle) = &handle {
            request.extensions_mut().insert(handle.clone());
        }
        let body = |body| RequestBody::new(body, received.clone());
        let response = handler(request.map(body));
        let connection_timer = Rc::clone(&serving);
        let close_mode = Rc::clone(&closing);
        async move {
            let mut response = response.await;
            let framing = response.extensions_mut().remove::<Framing>();
            let framing = framing.unwrap_or(Framing::Delimited);
            // The version of an answer that is passed on is of another connection.
            *response.version_mut() = Version::HTTP_11;
            if framing == Framing::UntilClose {
                close_mode.begin_until_close();
                set_until_close(&mut response);
            }
            Ok::<_, Infallible>(
                response.map(|body| TimedBody::new(body, framing, connection_timer)),
            )
        }
    });
    let stream = TimedStream {
        stream: ProgressStream::new(stream, progress),
        connection_timer: Rc::clone(&connection_timer),
        close_mode,
    };
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(SmolTimer::new())
        .header_read_timeout(None)
        .max_buf_size(limits.head_bytes)
        .serve_connection(FuturesIo::new(stream), service);
    let mut connection = pin!(connection);
    let stop_requested = async {
        let _closed = stop.recv().await;
        connection_timer.head_received(LAST_HEAD_TIMEOUT).await;
        true
    };
    let timed_out = async {
        connection_timer.timed_out(&timeouts).await;
        log_timeout(&connection_timer);
        false
    };
    let stopping = {
        let finished = async {
            let ended = connection.as_mut().await;
            log_connection_error(&connection_timer, ended);
            false
        };
        // The connection is polled first, so that it reads the bytes that have
        // arrived before a timeout or a stop ends it.
        let finished = smol::future::or(finished, timed_out);
        smol::future::or(finished, stop_requested).await
    };
    if stopping {
        connection.as_mut().graceful_shutdown();
        let finished = async {
            let ended = connection.await;
            log_connection_error(&connection_timer, ended);
        };
        let timed_out = async {
            connection_timer.timed_out(&timeouts).await;
            log_timeout(&connection_timer);
        };
        smol::future::or(finished, timed_out).await;
    }
}

/// Makes the end of the connection the end of the answer. The HTTP library has no other way to send
/// an answer without a length or chunks than in version 1.0.
fn set_until_close(response: &mut Response<Body>) {
    *response.version_mut() = Version::HTTP_10;
    response.headers_mut().remove(CONTENT_LENGTH);
    set_header(response, "connection", "close");
}

/// The level of a line that is of use to operators in some cases only.
fn info_if(is_of_use: bool) -> log::Level {
    if is_of_use {
        log::Level::Info
    } else {
        log::Level::Debug
    }
}

/// Logs that a timeout of this server ends a connection. Its caller sees a connection that
/// ends, as after any other failure.
fn log_timeout(connection_timer: &ConnectionTimer) {
    let (phase, elapsed) = connection_timer.phase();
    let has_unsent = connection_timer.has_unsent();
    let is_unfinished = phase != Phase::Idle || has_unsent;
    log::log!(
        info_if(is_unfinished),
        phase = phase.as_str(),
        for_ms = elapsed.as_millis() as u64,
        has_unsent = has_unsent;
        "caller_connection_timed_out"
    );
}

/// Logs the error of a connection, which affects no other connection. Its caller may
/// have missed a complete answer, which no other line reports.
fn log_connection_error(connection_timer: &ConnectionTimer, ended: hyper::Result<()>) {
    let Err(error) = ended else {
        return;
    };
    let (phase, elapsed) = connection_timer.phase();
    let source = error.source().map(ToString::to_string).unwrap_or_default();
    // An answer that is cut off is logged elsewhere.
    let may_be_undelivered = match phase {
        Phase::Idle => elapsed < MAX_DELIVERY_TIME && !error.is_user(),
        Phase::Head => false,
        Phase::Serving => !error.is_user(),
    };
    log::log!(
        info_if(may_be_undelivered),
        phase = phase.as_str(),
        for_ms = elapsed.as_millis() as u64,
        error = error.to_string().as_str(),
        cause = source.as_str();
        "caller_connection_failed"
    );
}

/// Reads a whole body within the limits, whatever else is buffered.
///
/// # Errors
/// See [`BodyError`].
pub async fn read_body(body: RequestBody, limits: &Limits) -> Result<Bytes, BodyError> {
    read_body_within(&ByteBudget::default(), body, limits).await
}

/// Reads a whole body within the limits and a budget.
///
/// # Errors
/// See [`BodyError`].
pub async fn read_body_within(
    budget: &ByteBudget,
    mut body: RequestBody,
    limits: &Limits,
) -> Result<Bytes, BodyError> {
    let collected = ByteBuffer::new(budget);
    let read = async { Some(collect(&mut body, collected, limits.body_bytes).await) };
    let expired = async {
        Timer::after(limits.body_time).await;
        None
    };
    let read = smol::future::or(read, expired).await;
    if matches!(read, Some(Err(BodyError::TooLarge | BodyError::NoRoom(_)))) {
        discard_body(body).await;
    }
    read.unwrap_or(Err(BodyError::TooSlow))
}

async fn collect(
    body: &mut RequestBody,
    mut collected: ByteBuffer,
    max_bytes: usize,
) -> Result<Bytes, BodyError> {
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError::CutOff)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if collected.len() + data.len() > max_bytes {
            return Err(BodyError::TooLarge);
        }
        collected.extend(&data).map_err(BodyError::NoRoom)?;
    }
    Ok(collected.freeze())
}

/// Reads and discards the rest of a body, within limits. Closing a connection
/// with unread bytes resets it, and the reset would overtake the answer.
pub async fn discard_body(mut body: RequestBody) {
    let discarding = async {
        let mut remaining = MAX_DISCARDED_BYTES;
        while let Some(Ok(frame)) = body.frame().await {
            let bytes = frame.data_ref().map_or(0, Bytes::len);
            remaining = remaining.saturating_sub(bytes);
            if remaining == 0 {
                return;
            }
        }
    };
    let expired = async {
        Timer::after(DISCARD_TIMEOUT).await;
    };
    smol::future::or(discarding, expired).await;
}

/// Creates a body from bytes.
pub fn bytes_body(bytes: impl Into<Bytes>) -> Body {
    let sliced = SlicedBody::new(bytes.into());
    Box::pin(sliced.map_err(|never| match never {}))
}

/// Creates a body from a channel of chunks; it ends when the channel closes.
pub fn channel_body(chunks: Receiver<Bytes>) -> Body {
    let frames = chunks.map(|chunk| Ok(Frame::data(chunk)));
    Box::pin(StreamBody::new(frames))
}

/// Creates a body from a stream of chunks, which may fail.
pub fn stream_body(chunks: impl Stream<Item = Result<Bytes, BodyAborted>> + 'static) -> Body {
    Box::pin(StreamBody::new(chunks.map(|chunk| chunk.map(Frame::data))))
}

/// Creates a response with a JSON body.
pub fn json_response(status: u16, body: &impl serde::Serialize) -> Response<Body> {
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    with_type(status, "application/json", bytes)
}

/// Creates a response with a text body.
pub fn text_response(status: u16, text: impl Into<String>) -> Response<Body> {
    with_type(
        status,
        "text/plain; charset=utf-8",
        text.into().into_bytes(),
    )
}

/// Creates a response with a body of the given type.
pub fn with_type(status: u16, content_type: &str, bytes: Vec<u8>) -> Response<Body> {
    let mut response = Response::new(bytes_body(bytes));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    set_header(&mut response, "content-type", content_type);
    response
}

/// Sets a header. Does nothing if the value is not a valid header value.
pub fn set_header(response: &mut Response<Body>, name: &'static str, value: &str) {
    if let Ok(value) = value.parse() {
        response.headers_mut().insert(name, value);
    }
}
