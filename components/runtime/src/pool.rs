//! Connection pool for requests to back ends, one request at a time per connection.
//!
//! Contract: a connection is reused only when the previous answer was read to
//! its end and nothing followed it. An [`Exchange`] that is dropped before the
//! end of its answer closes the connection, which cancels the request at the
//! server. Errors tell whether any byte can have reached the server. An answer that belongs to
//! another request can be skipped, to read the one that follows it.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::error::Error as _;
use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Duration;

use garnet_types::{Framing, Millis};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body as _, Bytes, Incoming};
use hyper::client::conn::TrySendError;
use hyper::header::{CONNECTION, HeaderMap};
use hyper::http::response::Parts;
use hyper::{Method, Request};
use smol::LocalExecutor;
use smol_hyper::rt::FuturesIo;

use crate::byte_budget::{ByteBudget, Reservation};
use crate::byte_buffer::ByteBuffer;
use crate::client::{HttpError, or_time_out};
use crate::clock::Clock;
use crate::framing::framing_of;
use crate::pooled_connection::{Answered, Connection, ConnectionId};
use crate::progress::{Progress, ProgressStream, ReadRefused};
use crate::resumable_stream::ResumableStream;
use crate::sliced_body::SlicedBody;
use crate::sockets::{connect_with_timeout, set_silence_timeouts};
use crate::write_monitor::{MonitoredStream, WriteMonitor};

/// Header in which the server announces its idle timeout.
const KEEP_ALIVE: &str = "keep-alive";
/// An idle connection is closed this long before the server would close it.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// What a request takes beside the bytes of its answer: two buffers to read and one to write, which
/// the HTTP library allocates anew as they are passed on.
const EXCHANGE_BYTES: usize = 3 * 16 * 1024;

/// Longest answer to a probe.
const MAX_PROBE_ANSWER_BYTES: usize = 64 * 1024;

/// Timeouts and limits of a connection pool.
#[derive(Debug, Clone, Copy)]
pub struct PoolSettings {
    /// Timeout of a connection attempt.
    pub connect_timeout: Duration,
    /// A connection ends when its bytes are not acknowledged for this time.
    pub ack_timeout: Duration,
    /// Idle timeout of connections whose server announces none.
    pub idle_timeout: Duration,
    /// Maximum count of idle connections to one address.
    pub idle_per_address: usize,
}

impl Default for PoolSettings {
    fn default() -> Self {
        PoolSettings {
            connect_timeout: Duration::from_millis(150),
            ack_timeout: Duration::from_millis(1200),
            idle_timeout: Duration::from_secs(4),
            idle_per_address: 64,
        }
    }
}

/// What must hold for a request to be sent.
pub struct SendConditions<S, R> {
    /// Maximum count of idle connections to the address that are kept afterwards.
    pub max_idle: usize,
    /// Whether the request may be sent. Asked when the connection is open, as the conditions
    /// may have changed while it was opened.
    pub may_send: S,
    /// Whether an idle connection may be used for this request.
    pub may_reuse: R,
}

struct Idle {
    connection: Connection,
    until: Millis,
}

/// A pool of connections to any number of addresses.
#[derive(Clone)]
pub struct ConnectionPool {
    executor: Rc<LocalExecutor<'static>>,
    settings: PoolSettings,
    /// A clock that continues while this machine is suspended, as servers close
    /// idle connections meanwhile.
    clock: Clock,
    budget: ByteBudget,
    idle: Rc<RefCell<HashMap<String, Vec<Idle>>>>,
    next_id: Rc<Cell<u64>>,
}

/// A request whose answer has begun: its status and headers have arrived.
pub struct Exchange {
    /// Status and headers of the answer.
    pub head: Parts,
    /// Whether the request was sent on a new connection.
    pub fresh: bool,
    method: Method,
    framing: Framing,
    body: Incoming,
    connection: Connection,
    /// Whether the connection can serve other requests after this one.
    is_reusable: bool,
    address: String,
    /// Maximum count of idle connections to the address, including this one.
    max_idle: usize,
    /// The room that the request takes in the budget.
    room: Reservation,
    pool: ConnectionPool,
}

impl ConnectionPool {
    /// Creates a pool whose connections run on `executor`.
    pub fn new(executor: Rc<LocalExecutor<'static>>, settings: PoolSettings) -> Self {
        ConnectionPool::with_clock(executor, settings, Clock::default())
    }

    /// Creates a pool with a clock for the idle timeouts.
    pub fn with_clock(
        executor: Rc<LocalExecutor<'static>>,
        settings: PoolSettings,
        clock: Clock,
    ) -> Self {
        ConnectionPool {
            executor,
            settings,
            clock,
            budget: ByteBudget::default(),
            idle: Rc::default(),
            next_id: Rc::default(),
        }
    }

    /// Sets the budget for answers that are read as a whole.
    #[must_use]
    pub fn with_budget(mut self, budget: ByteBudget) -> Self {
        self.budget = budget;
        self
    }

    /// Sends a request and waits for the head of its answer. If an idle connection
    /// fails before any of the request is sent, the next one is tried.
    ///
    /// # Errors
    /// See [`HttpError`].
    pub async fn send(
        &self,
        address: &str,
        request: Request<Full<Bytes>>,
    ) -> Result<Exchange, HttpError> {
        let conditions = SendConditions {
            max_idle: self.settings.idle_per_address,
            may_send: || true,
            may_reuse: |_| true,
        };
        self.send_if(address, request, conditions).await
    }

    /// Sends a request like [`Self::send`] under conditions.
    ///
    /// # Errors
    /// [`HttpError::Withheld`] if the request may not be sent; see [`HttpError`] for the others.
    pub async fn send_if(
        &self,
        address: &str,
        request: Request<Full<Bytes>>,
        conditions: SendConditions<impl Fn() -> bool, impl Fn(ConnectionId) -> bool>,
    ) -> Result<Exchange, HttpError> {
        let SendConditions {
            max_idle,
            may_send,
            may_reuse,
        } = conditions;
        let mut request = sliced(request).await;
        let mut room = self.budget.reserve();
        room.try_reserve(EXCHANGE_BYTES);
        while let Some(mut connection) = self.take_idle(address, &may_reuse) {
            if !connection.is_ready().await {
                continue;
            }
            if !may_send() {
                self.keep(address, connection, self.settings.idle_timeout, max_idle);
                return Err(HttpError::Withheld);
            }
            match connection.send(request).await {
                Ok(answered) => {
                    let exchange = self.exchange(address, answered, room, false, max_idle);
                    return Ok(exchange);
                }
                Err(mut error) => match error.take_message() {
                    Some(not_sent) => request = not_sent,
                    None => return Err(broken(error)),
                },
            }
        }
        let connection = self.connect(address).await?;
        if !may_send() {
            self.keep(address, connection, self.settings.idle_timeout, max_idle);
            return Err(HttpError::Withheld);
        }
        match connection.send(request).await {
            Ok(answered) => Ok(self.exchange(address, answered, room, true, max_idle)),
            Err(mut error) => {
                let not_sent = error.take_message().is_some();
                let error = error.into_error();
                Err(if not_sent {
                    HttpError::NotSent(described(&error))
                } else {
                    failed(&error)
                })
            }
        }
    }

    /// Sends a request on a new connection and waits for any answer, for `time_limit` at most.
    /// The connection is then closed: the answer names no request, and a second copy of it would
    /// come in the place of the answer to the next one.
    ///
    /// # Errors
    /// See [`HttpError`].
    pub async fn probe(
        &self,
        address: &str,
        request: Request<Full<Bytes>>,
        time_limit: Duration,
    ) -> Result<(), HttpError> {
        let answered = async {
            let connection = self.connect(address).await?;
            let answered = connection.send(sliced(request).await).await;
            let answered = answered.map_err(broken)?;
            let room = self.budget.reserve();
            let mut exchange = self.exchange(address, answered, room, true, 0);
            exchange.read_whole(MAX_PROBE_ANSWER_BYTES).await?;
            Ok(())
        };
        or_time_out(answered, time_limit).await
    }

    /// Closes all idle connections to an address.
    pub fn close_idle(&self, address: &str) {
        self.idle.borrow_mut().remove(address);
    }

    /// Closes the idle connections whose timeout has expired.
    pub fn close_expired(&self) {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain(|idle| idle.is_usable(now));
        }
        idle.retain(|_, connections| !connections.is_empty());
    }

    fn exchange(
        &self,
        address: &str,
        answered: Answered,
        room: Reservation,
        fresh: bool,
        max_idle: usize,
    ) -> Exchange {
        let Answered {
            method,
            connection,
            response,
        } = answered;
        let head_room = connection.progress.note_head();
        let (mut head, body) = response.into_parts();
        if let Some(head_room) = head_room {
            head.extensions.insert(head_room);
        }
        Exchange {
            method,
            framing: framing_of(&head.headers, body.is_end_stream()),
            head,
            fresh,
            body,
            connection,
            is_reusable: true,
            address: address.to_owned(),
            max_idle,
            room,
            pool: self.clone(),
        }
    }

    async fn connect(&self, address: &str) -> Result<Connection, HttpError> {
        let not_sent = |error: std::io::Error| HttpError::NotSent(error.to_string());
        let connecting = connect_with_timeout(address, self.settings.connect_timeout);
        let stream = connecting.await.map_err(not_sent)?;
        let _unset = stream.set_nodelay(true);
        set_silence_timeouts(&stream, self.settings.ack_timeout);
        let writes = WriteMonitor::default();
        let stream = MonitoredStream {
            stream,
            monitor: writes.clone(),
        };
        let progress = Progress::within(&self.budget);
        let stream = ProgressStream::new(stream, progress.clone());
        let stream = FuturesIo::new(ResumableStream::new(stream));
        let id = ConnectionId(self.next_id.get());
        self.next_id.set(id.0 + 1);
        let opened = Connection::open(&self.executor, id, stream, writes, progress).await;
        opened.map_err(|error| HttpError::NotSent(error.to_string()))
    }

    fn take_idle(
        &self,
        address: &str,
        may_reuse: &impl Fn(ConnectionId) -> bool,
    ) -> Option<Connection> {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(address)?;
        connections.retain(|idle| idle.is_usable(now));
        let newest = connections
            .iter()
            .rposition(|idle| may_reuse(idle.connection.id))?;
        let connection = connections.remove(newest).connection;
        connection.note_idle(false);
        Some(connection)
    }

    fn keep(&self, address: &str, connection: Connection, idle_timeout: Duration, max_idle: usize) {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(address.to_owned()).or_default();
        let max_idle = max_idle.min(self.settings.idle_per_address);
        connection.note_idle(true);
        connections.truncate(max_idle);
        if connections.len() < max_idle && !connection.is_closed() {
            let until = self.clock.now() + Millis(idle_timeout.as_millis() as u64);
            connections.push(Idle { connection, until });
        }
    }
}

impl Idle {
    fn is_usable(&self, now: Millis) -> bool {
        self.until > now && !self.connection.is_closed()
    }
}

impl Exchange {
    /// Returns the next chunk of the body, or `None` after the last one.
    ///
    /// # Errors
    /// When the connection ends before the body is complete.
    pub async fn next(&mut self) -> Result<Option<Bytes>, HttpError> {
        loop {
            match self.body.frame().await {
                None => return Ok(None),
                Some(Ok(frame)) => {
                    self.connection.progress.note();
                    if let Ok(data) = frame.into_data() {
                        return Ok(Some(data));
                    }
                }
                Some(Err(error)) => return Err(failed(&error)),
            }
        }
    }

    /// Replaces the framing of an answer that passes on another one.
    pub fn set_framing(&mut self, framing: Framing) {
        self.framing = framing;
    }

    /// Reads the whole body, up to `limit` bytes and within the budget of the pool.
    ///
    /// # Errors
    /// When the body is longer or finds no room, or the connection ends before it is complete.
    pub async fn read_whole(&mut self, limit: usize) -> Result<Bytes, HttpError> {
        let mut collected = ByteBuffer::new(&self.pool.budget);
        while let Some(chunk) = self.next().await? {
            if collected.len() + chunk.len() > limit {
                return Err(HttpError::TooLong(limit));
            }
            collected.extend(&chunk).map_err(HttpError::NoRoom)?;
        }
        Ok(collected.freeze())
    }

    /// The connection that the request was sent on.
    pub fn connection(&self) -> ConnectionId {
        self.connection.id
    }

    /// Reads and discards the rest of the body, so that the connection can be reused. It is closed
    /// if the rest is longer than `max_bytes` or takes longer than `max_time`.
    pub async fn discard_rest(mut self, max_bytes: usize, max_time: Duration) {
        match self.read_rest(max_bytes, max_time).await {
            Ok(()) => self.finish(),
            Err(error) => {
                let cause = error.to_string();
                log::info!(
                    address = self.address.as_str(),
                    cause = cause.as_str();
                    "connection_not_kept"
                );
            }
        }
    }

    /// Reads the rest of the body within these limits.
    async fn read_rest(&mut self, max_bytes: usize, max_time: Duration) -> Result<(), HttpError> {
        let reading = async { self.read_whole(max_bytes).await.map(drop) };
        or_time_out(reading, max_time).await
    }

    /// Skips this answer, which belongs to an earlier request of the connection, and waits for the
    /// head of the next one. The rest of the answer is discarded as by [`Self::discard_rest`]. The
    /// connection serves no other requests afterwards.
    ///
    /// # Errors
    /// When the answer is longer than `max_bytes` or takes longer than `max_time`, or the connection
    /// ends.
    pub async fn skip(
        mut self,
        max_bytes: usize,
        max_time: Duration,
    ) -> Result<Exchange, HttpError> {
        self.read_rest(max_bytes, max_time).await?;
        let Exchange {
            method,
            connection,
            address,
            max_idle,
            room,
            pool,
            ..
        } = self;
        let connection = connection.take_back(&pool.executor).await?;
        // The method tells the HTTP library whether the answer has a body.
        let mut sent_request = Request::new(SlicedBody::new(Bytes::new()));
        *sent_request.method_mut() = method;
        let answered = connection.send(sent_request).await.map_err(broken)?;
        let exchange = pool.exchange(&address, answered, room, false, max_idle);
        Ok(Exchange {
            is_reusable: false,
            ..exchange
        })
    }

    /// How the end of the answer is marked.
    pub fn framing(&self) -> Framing {
        self.framing
    }

    /// Returns the connection to the pool after the end of the body. A connection is closed if
    /// its request was answered before it was written whole, as the next one would wait there
    /// until the server reads the rest.
    pub fn finish(self) {
        let is_kept = self.is_reusable && !announces_close(&self.head.headers);
        if !is_kept || self.connection.is_writing() {
            return;
        }
        let announced = idle_timeout(&self.head.headers);
        let idle_timeout = announced.unwrap_or(self.pool.settings.idle_timeout);
        let Exchange {
            pool,
            address,
            connection,
            max_idle,
            ..
        } = self;
        pool.keep(&address, connection, idle_timeout, max_idle);
    }
}

fn broken(error: TrySendError<Request<SlicedBody>>) -> HttpError {
    failed(&error.into_error())
}

/// Why an answer was not received whole.
fn failed(error: &hyper::Error) -> HttpError {
    let source = error
        .source()
        .and_then(|source| source.downcast_ref::<std::io::Error>());
    let refused = source.and_then(|error| error.get_ref()?.downcast_ref::<ReadRefused>());
    match refused {
        Some(ReadRefused::NoRoom(exceeded)) => HttpError::NoRoom(*exceeded),
        Some(ReadRefused::NoProgress(_)) => HttpError::NoAnswer(described(error)),
        None if is_malformed(error) => HttpError::NoAnswer(described(error)),
        None => HttpError::Broken(described(error)),
    }
}

/// Whether the HTTP library gave up what it read, while the server was still connected.
fn is_malformed(error: &hyper::Error) -> bool {
    let source = error
        .source()
        .and_then(|source| source.downcast_ref::<std::io::Error>());
    let is_malformed_body = source.is_some_and(|error| {
        matches!(
            error.kind(),
            ErrorKind::InvalidData | ErrorKind::InvalidInput
        )
    });
    error.is_parse() || is_malformed_body
}

/// The error of a connection and its cause.
pub(crate) fn described(error: &hyper::Error) -> String {
    match error.source() {
        Some(cause) => format!("{error}: {cause}"),
        None => error.to_string(),
    }
}

/// The request with a body that is sent in slices.
async fn sliced(request: Request<Full<Bytes>>) -> Request<SlicedBody> {
    let (head, body) = request.into_parts();
    // A body of one frame is collected without a copy.
    let body = match body.collect().await {
        Ok(body) => body.to_bytes(),
        Err(never) => match never {},
    };
    Request::from_parts(head, SlicedBody::new(body))
}

/// Whether the server closes the connection after this answer.
pub fn announces_close(headers: &HeaderMap) -> bool {
    let value = headers
        .get(CONNECTION)
        .and_then(|value| value.to_str().ok());
    value.is_some_and(|value| value.to_ascii_lowercase().contains("close"))
}

/// How long an idle connection may be reused, as announced by the server.
fn idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let announced = value
        .split(',')
        .find_map(|item| item.trim().strip_prefix("timeout="))?;
    let seconds: u64 = announced.trim().parse().ok()?;
    Some(Duration::from_secs(seconds).saturating_sub(IDLE_MARGIN))
}
