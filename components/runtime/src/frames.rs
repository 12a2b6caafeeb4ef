//! Frames of the internal protocol over TCP.

use asynchronous_codec::{BytesMut, Encoder, FramedRead};
use futures_lite::{AsyncWriteExt, StreamExt};
use garnet_wire::{Frame, FrameCodec, PROTOCOL_VERSION, Sender, WireError, check_hello};
use smol::net::TcpStream;
use std::time::Duration;

use crate::connect_time::ConnectTime;
use crate::sockets::{connect_in_time, end_when_silent};

/// Largest buffer that a connection keeps between frames.
const KEPT_BUFFER_BYTES: usize = 32 * 1024;
/// A connection whose bytes are not acknowledged for so long is over.
const SILENCE: Duration = Duration::from_millis(1500);

/// Reads frames.
pub struct FrameReader {
    frames: FramedRead<TcpStream, FrameCodec>,
}

/// Writes frames.
pub struct FrameWriter {
    stream: TcpStream,
    buffer: BytesMut,
}

/// Both halves of a connection.
pub fn split(stream: TcpStream) -> (FrameReader, FrameWriter) {
    // Latency matters more than the count of packets.
    let _unset = stream.set_nodelay(true);
    end_when_silent(&stream, SILENCE);
    let reader = FrameReader {
        frames: FramedRead::new(stream.clone(), FrameCodec),
    };
    let writer = FrameWriter {
        stream,
        buffer: BytesMut::new(),
    };
    (reader, writer)
}

/// Opens a connection and says hello.
///
/// # Errors
/// When the address can't be reached in `time`.
pub async fn connect(
    address: &str,
    sender: Sender,
    time: &mut ConnectTime,
) -> Result<(FrameReader, FrameWriter), WireError> {
    let connected = connect_in_time(address, time.next()).await;
    match &connected {
        Ok(_) => time.succeeded(),
        Err(_) => time.failed(),
    }
    let stream = connected?;
    let (reader, mut writer) = split(stream);
    let hello = Frame::Hello {
        version: PROTOCOL_VERSION,
        sender,
    };
    writer.send(hello).await?;
    Ok((reader, writer))
}

impl FrameReader {
    /// The next frame; `None` when the other end closed the connection.
    ///
    /// # Errors
    /// When a frame is malformed or the connection broke.
    pub async fn next(&mut self) -> Result<Option<Frame>, WireError> {
        self.frames.next().await.transpose()
    }

    /// Reads and checks the hello that opens a connection.
    ///
    /// # Errors
    /// When it is missing or of another version.
    pub async fn accept(&mut self) -> Result<Sender, WireError> {
        match self.next().await? {
            Some(frame) => check_hello(frame),
            None => Err(WireError::NoHello),
        }
    }
}

impl FrameWriter {
    /// Sends a frame.
    ///
    /// # Errors
    /// When it can't be encoded or the connection broke.
    pub async fn send(&mut self, frame: Frame) -> Result<(), WireError> {
        self.buffer.clear();
        FrameCodec.encode(frame, &mut self.buffer)?;
        self.stream.write_all(&self.buffer).await?;
        if self.buffer.capacity() > KEPT_BUFFER_BYTES {
            // One large frame must not keep its memory for each connection.
            self.buffer = BytesMut::new();
        }
        Ok(())
    }
}
