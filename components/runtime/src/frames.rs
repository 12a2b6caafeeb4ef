//! Frames of the internal protocol over TCP.

use asynchronous_codec::{BytesMut, Encoder, FramedRead};
use futures_lite::{AsyncWriteExt, StreamExt};
use garnet_types::EncodingVersion;
use garnet_wire::{AcceptedHello, Frame, FrameCodec, Sender, WireError, check_hello};
use smol::Timer;
use smol::net::TcpStream;
use std::io;
use std::time::Duration;

use crate::connect_timeout::ConnectTimeout;
use crate::fair_stream::FairStream;
use crate::sockets::{connect_with_timeout, set_silence_timeouts};

/// Largest buffer that a connection keeps between frames.
const MAX_KEPT_BUFFER_BYTES: usize = 32 * 1024;
/// A connection ends when its bytes are not acknowledged for this time, or when a hello is
/// not answered.
const ACK_TIMEOUT: Duration = Duration::from_millis(1500);

/// The reading half of a connection.
pub struct FrameReader {
    frames: FramedRead<FairStream<TcpStream>, FrameCodec>,
}

/// The writing half of a connection.
pub struct FrameWriter {
    stream: TcpStream,
    version: EncodingVersion,
    buffer: BytesMut,
}

/// Splits a connection that begins with a hello into its halves.
pub fn split(stream: TcpStream) -> (FrameReader, FrameWriter) {
    let version = EncodingVersion::CURRENT;
    // Low latency is more important than a low packet count.
    let _unset = stream.set_nodelay(true);
    set_silence_timeouts(&stream, ACK_TIMEOUT);
    let reader = FrameReader {
        frames: FramedRead::new(FairStream::new(stream.clone()), FrameCodec::new(version)),
    };
    let writer = FrameWriter {
        stream,
        version,
        buffer: BytesMut::new(),
    };
    (reader, writer)
}

/// Opens a connection and offers a version. From [`EncodingVersion::V17`] on, the peer
/// answers with the version of the connection.
///
/// # Errors
/// When the address can't be reached within the timeout, or the peer refuses the version.
pub async fn connect(
    address: &str,
    sender: Sender,
    offered: EncodingVersion,
    connect_timeout: &mut ConnectTimeout,
) -> Result<(FrameReader, FrameWriter), WireError> {
    let connected = connect_with_timeout(address, connect_timeout.next()).await;
    match &connected {
        Ok(_) => connect_timeout.succeeded(),
        Err(_) => connect_timeout.failed(),
    }
    let stream = connected?;
    let (mut reader, mut writer) = split(stream);
    let hello = Frame::Hello {
        version: offered,
        sender,
    };
    writer.send(hello).await?;
    let version = if offered >= EncodingVersion::V17 {
        reader.welcome().await?
    } else {
        offered
    };
    reader.set_version(version);
    writer.set_version(version);
    Ok((reader, writer))
}

impl FrameReader {
    /// Reads the next frame; `None` when the peer has closed the connection.
    ///
    /// # Errors
    /// When a frame is malformed or the connection failed.
    pub async fn next(&mut self) -> Result<Option<Frame>, WireError> {
        self.frames.next().await.transpose()
    }

    /// Reads and checks the hello that opens a connection, and uses its version from then
    /// on.
    ///
    /// # Errors
    /// When the hello is missing or its version is not supported.
    pub async fn accept(&mut self) -> Result<AcceptedHello, WireError> {
        let Some(frame) = self.next().await? else {
            return Err(WireError::MissingHello);
        };
        let accepted = check_hello(frame)?;
        self.set_version(accepted.version);
        Ok(accepted)
    }

    /// Reads the answer to a hello.
    async fn welcome(&mut self) -> Result<EncodingVersion, WireError> {
        let answer = async { Some(self.next().await) };
        let timeout = async {
            Timer::after(ACK_TIMEOUT).await;
            None
        };
        match smol::future::or(answer, timeout).await {
            Some(Ok(Some(Frame::Welcome { version }))) => Ok(version),
            Some(Ok(Some(_))) => Err(WireError::Malformed(
                "received another frame instead of the welcome".to_owned(),
            )),
            Some(Ok(None) | Err(_)) => Err(WireError::HelloRefused),
            None => Err(WireError::Io(io::ErrorKind::TimedOut.into())),
        }
    }

    fn set_version(&mut self, version: EncodingVersion) {
        *self.frames.decoder_mut() = FrameCodec::new(version);
    }
}

impl FrameWriter {
    /// Answers the hello of an accepted connection, and uses its version from then on.
    ///
    /// # Errors
    /// When the connection failed.
    pub async fn welcome(&mut self, accepted: &AcceptedHello) -> Result<(), WireError> {
        let version = accepted.version;
        if accepted.awaits_welcome {
            self.send(Frame::Welcome { version }).await?;
        }
        self.set_version(version);
        Ok(())
    }

    /// The version of the connection.
    pub fn version(&self) -> EncodingVersion {
        self.version
    }

    fn set_version(&mut self, version: EncodingVersion) {
        self.version = version;
    }

    /// Sends a frame. An optional frame that the connection's version does not have is
    /// skipped.
    ///
    /// # Errors
    /// When the frame can't be encoded or the connection failed.
    pub async fn send(&mut self, frame: Frame) -> Result<(), WireError> {
        self.buffer.clear();
        FrameCodec::new(self.version).encode(frame, &mut self.buffer)?;
        self.stream.write_all(&self.buffer).await?;
        if self.buffer.capacity() > MAX_KEPT_BUFFER_BYTES {
            // Frees the memory of a large frame, as there may be many connections.
            self.buffer = BytesMut::new();
        }
        Ok(())
    }
}
