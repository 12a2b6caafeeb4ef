//! TCP connections that end when the other end is gone without a word.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use rustix::net::sockopt;
use smol::Timer;
use smol::net::TcpStream;

/// Rest after which the other end of an idle connection is probed.
const PROBE_AFTER: Duration = Duration::from_secs(5);
/// Pause between two probes.
const PROBE_EVERY: Duration = Duration::from_secs(1);
/// Probes without an answer that end a connection.
const PROBES: u32 = 2;

/// Connects within `time`. A machine without power answers nothing.
///
/// # Errors
/// When the address is wrong, refuses or stays silent.
pub async fn connect_with_timeout(address: &str, time: Duration) -> io::Result<TcpStream> {
    let target: SocketAddr = address.parse().map_err(|_| {
        let message = format!("{address} is no IP address and port");
        io::Error::new(io::ErrorKind::InvalidInput, message)
    })?;
    let late = async {
        Timer::after(time).await;
        Err(io::Error::new(
            io::ErrorKind::TimedOut,
            "no connection in time",
        ))
    };
    smol::future::or(TcpStream::connect(target), late).await
}

/// Ends the connection when sent bytes are not acknowledged within `silence`,
/// or when an idle one does not answer probes. What the system does not know
/// how to set is left as it is.
pub fn set_silence_timeouts(stream: &TcpStream, silence: Duration) {
    let milliseconds = u32::try_from(silence.as_millis()).unwrap_or(u32::MAX);
    let _unset = sockopt::set_tcp_user_timeout(stream, milliseconds);
    let probed = sockopt::set_socket_keepalive(stream, true)
        .and_then(|()| sockopt::set_tcp_keepidle(stream, PROBE_AFTER))
        .and_then(|()| sockopt::set_tcp_keepintvl(stream, PROBE_EVERY))
        .and_then(|()| sockopt::set_tcp_keepcnt(stream, PROBES));
    let _unset = probed;
}
