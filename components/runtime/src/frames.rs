//! Frames of the internal protocol over TCP.

use asynchronous_codec::{BytesMut, Encoder, FramedRead};
use futures_lite::{AsyncWriteExt, StreamExt};
use garnet_types::EncodingVersion;
use garnet_wire::{Accepted, Frame, FrameCodec, Sender, WireError, check_hello};
use smol::Timer;
use smol::net::TcpStream;
use std::io;
use std::time::Duration;

use crate::connect_timeout::ConnectTimeout;
use crate::sockets::{connect_with_timeout, set_silence_timeouts};

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
    version: EncodingVersion,
    buffer: BytesMut,
}

/// Both halves of a connection that begins with a hello.
pub fn split(stream: TcpStream) -> (FrameReader, FrameWriter) {
    let version = EncodingVersion::CURRENT;
    // Latency matters more than the count of packets.
    let _unset = stream.set_nodelay(true);
    set_silence_timeouts(&stream, SILENCE);
    let reader = FrameReader {
        frames: FramedRead::new(stream.clone(), FrameCodec::new(version)),
    };
    let writer = FrameWriter {
        stream,
        version,
        buffer: BytesMut::new(),
    };
    (reader, writer)
}

/// Opens a connection and offers a version. From [`EncodingVersion::V17`] on, the version
/// of the connection is the one that the other end answers with.
///
/// # Errors
/// When the address can't be reached in `time`, or the other end refuses the version.
pub async fn connect(
    address: &str,
    sender: Sender,
    offered: EncodingVersion,
    time: &mut ConnectTimeout,
) -> Result<(FrameReader, FrameWriter), WireError> {
    let connected = connect_with_timeout(address, time.next()).await;
    match &connected {
        Ok(_) => time.succeeded(),
        Err(_) => time.failed(),
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
    /// The next frame; `None` when the other end closed the connection.
    ///
    /// # Errors
    /// When a frame is malformed or the connection broke.
    pub async fn next(&mut self) -> Result<Option<Frame>, WireError> {
        self.frames.next().await.transpose()
    }

    /// Reads and checks the hello that opens a connection, whose version holds from then
    /// on.
    ///
    /// # Errors
    /// When it is missing or of a version that is not spoken.
    pub async fn accept(&mut self) -> Result<Accepted, WireError> {
        let Some(frame) = self.next().await? else {
            return Err(WireError::NoHello);
        };
        let accepted = check_hello(frame)?;
        self.set_version(accepted.version);
        Ok(accepted)
    }

    /// Reads the answer to a hello.
    async fn welcome(&mut self) -> Result<EncodingVersion, WireError> {
        let answer = async { Some(self.next().await) };
        let silence = async {
            Timer::after(SILENCE).await;
            None
        };
        match smol::future::or(answer, silence).await {
            Some(Ok(Some(Frame::Welcome { version }))) => Ok(version),
            Some(Ok(Some(_))) => Err(WireError::Malformed(
                "a frame before the welcome".to_owned(),
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
    /// Answers the hello of an accepted connection, whose version holds from then on.
    ///
    /// # Errors
    /// When the connection broke.
    pub async fn welcome(&mut self, accepted: &Accepted) -> Result<(), WireError> {
        let version = accepted.version;
        if accepted.awaits_welcome {
            self.send(Frame::Welcome { version }).await?;
        }
        self.set_version(version);
        Ok(())
    }

    /// Version of the connection.
    pub fn version(&self) -> EncodingVersion {
        self.version
    }

    fn set_version(&mut self, version: EncodingVersion) {
        self.version = version;
    }

    /// Sends a frame, unless the version has no place for it and does without.
    ///
    /// # Errors
    /// When it can't be encoded or the connection broke.
    pub async fn send(&mut self, frame: Frame) -> Result<(), WireError> {
        self.buffer.clear();
        FrameCodec::new(self.version).encode(frame, &mut self.buffer)?;
        self.stream.write_all(&self.buffer).await?;
        if self.buffer.capacity() > KEPT_BUFFER_BYTES {
            // One large frame must not keep its memory for each connection.
            self.buffer = BytesMut::new();
        }
        Ok(())
    }
}
