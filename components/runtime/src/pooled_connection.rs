//! One connection of a [`ConnectionPool`](crate::ConnectionPool).
//!
//! The HTTP library reads one answer to a request. To read another one, the connection takes its
//! stream back from the library and has a new connection of the library work on it.

use std::cell::Cell;
use std::future::poll_fn;
use std::rc::Rc;

use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1::{Builder, Connection as HttpConnection, Parts, SendRequest};
use hyper::{Method, Request, Response};
use smol::LocalExecutor;
use smol::channel::{Receiver, bounded};
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;

use crate::client::HttpError;
use crate::pool::described;
use crate::progress::{Progress, ProgressStream};
use crate::resumable_stream::ResumableStream;
use crate::sliced_body::SlicedBody;
use crate::write_monitor::{MonitoredStream, WriteMonitor};

/// Most that a connection buffers in each direction, and the longest head of an answer.
pub(crate) const MAX_CONNECTION_BUFFER_BYTES: usize = 64 * 1024;

/// Identifies a connection of a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionId(pub(crate) u64);

pub(crate) type Stream = FuturesIo<ResumableStream<ProgressStream<MonitoredStream<TcpStream>>>>;

/// An open connection.
pub(crate) struct Connection {
    pub(crate) id: ConnectionId,
    pub(crate) progress: Progress,
    sender: SendRequest<SlicedBody>,
    writes: WriteMonitor,
    /// Set while no request uses the connection. Its stream is then closed when the server ends it,
    /// and holds no descriptor.
    is_idle: Rc<Cell<bool>>,
    /// Receives the stream when the HTTP library has ended its work on it.
    stream: Receiver<Parts<Stream>>,
}

/// The head of an answer, with its connection.
pub(crate) struct Answered {
    /// Method of the request.
    pub(crate) method: Method,
    pub(crate) connection: Connection,
    pub(crate) response: Response<Incoming>,
}

impl Connection {
    /// Has the HTTP library work on a stream.
    pub(crate) async fn open(
        executor: &Rc<LocalExecutor<'static>>,
        id: ConnectionId,
        stream: Stream,
        writes: WriteMonitor,
        progress: Progress,
    ) -> hyper::Result<Self> {
        let mut builder = Builder::new();
        builder.max_buf_size(MAX_CONNECTION_BUFFER_BYTES);
        let (sender, connection) = builder.handshake(stream).await?;
        let is_idle: Rc<Cell<bool>> = Rc::default();
        let (ended, stream) = bounded(1);
        let closes_at_end = Rc::clone(&is_idle);
        let drive = async move {
            let stream = drive_to_end(connection).await;
            if !closes_at_end.get() {
                // Its receiver may be gone, which closes the stream.
                let _closed = ended.try_send(stream);
            }
        };
        executor.spawn(drive).detach();
        Ok(Connection {
            id,
            progress,
            sender,
            writes,
            is_idle,
            stream,
        })
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    /// Contains the request if nothing of it was sent.
    pub(crate) async fn send(
        mut self,
        request: Request<SlicedBody>,
    ) -> Result<Answered, TrySendError<Request<SlicedBody>>> {
        let method = request.method().clone();
        let response = self.sender.try_send_request(request).await?;
        Ok(Answered {
            method,
            connection: self,
            response,
        })
    }

    /// Takes the stream back after an answer that was read to its end. What is sent on the returned
    /// connection is discarded, and the next answer is received.
    ///
    /// # Errors
    /// When the request was not written whole, or the stream can't be used.
    pub(crate) async fn take_back(
        self,
        executor: &Rc<LocalExecutor<'static>>,
    ) -> Result<Self, HttpError> {
        if self.is_writing() {
            let cause = "answered before the request was written";
            return Err(HttpError::Broken(cause.to_owned()));
        }
        // Ends the library's work.
        drop(self.sender);
        let ended = self.stream.recv().await;
        let Parts { io, read_buf, .. } =
            ended.map_err(|error| HttpError::Broken(error.to_string()))?;
        let stream = FuturesIo::new(io.into_inner().after_answer(read_buf));
        let opened = Connection::open(executor, self.id, stream, self.writes, self.progress).await;
        opened.map_err(|error| HttpError::Broken(described(&error)))
    }

    /// Notes whether a request uses the connection.
    pub(crate) fn note_idle(&self, is_idle: bool) {
        self.is_idle.set(is_idle);
    }

    /// Waits until the connection takes a request. Returns `false` if it has ended.
    pub(crate) async fn is_ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Whether bytes of the request wait for the server to take them.
    pub(crate) fn is_writing(&self) -> bool {
        self.writes.is_waiting()
    }
}

/// Drives a connection until it has ended or its sender is dropped, and returns its stream.
async fn drive_to_end(mut connection: HttpConnection<Stream, SlicedBody>) -> Parts<Stream> {
    // Errors of the connection are returned by the requests on it.
    let _ended = poll_fn(|context| connection.poll_without_shutdown(context)).await;
    connection.into_parts()
}
