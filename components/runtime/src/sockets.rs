//! TCP options that detect a peer that disappears without closing the connection.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use rustix::net::sockopt;
use smol::Timer;
use smol::net::TcpStream;

/// Idle time of a connection before keep-alive probes start.
const PROBE_DELAY: Duration = Duration::from_secs(5);
/// Time between two probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Count of unanswered probes that end a connection.
const MAX_PROBES: u32 = 2;

/// Connects within `timeout`, as a machine without power answers nothing.
///
/// # Errors
/// When the address is invalid, refuses the connection or does not answer in time.
pub async fn connect_with_timeout(address: &str, timeout: Duration) -> io::Result<TcpStream> {
    let target: SocketAddr = address.parse().map_err(|_| {
        let message = format!("{address} is not an IP address and port");
        io::Error::new(io::ErrorKind::InvalidInput, message)
    })?;
    let timed_out = async {
        Timer::after(timeout).await;
        Err(io::Error::new(
            io::ErrorKind::TimedOut,
            "timed out while connecting",
        ))
    };
    smol::future::or(TcpStream::connect(target), timed_out).await
}

/// Makes the connection end when sent bytes are not acknowledged within
/// `ack_timeout`, or when it is idle and does not answer keep-alive probes.
/// Options that the system does not support are left unchanged.
pub fn set_silence_timeouts(stream: &TcpStream, ack_timeout: Duration) {
    let milliseconds = u32::try_from(ack_timeout.as_millis()).unwrap_or(u32::MAX);
    let _unset = sockopt::set_tcp_user_timeout(stream, milliseconds);
    let probed = sockopt::set_socket_keepalive(stream, true)
        .and_then(|()| sockopt::set_tcp_keepidle(stream, PROBE_DELAY))
        .and_then(|()| sockopt::set_tcp_keepintvl(stream, PROBE_INTERVAL))
        .and_then(|()| sockopt::set_tcp_keepcnt(stream, MAX_PROBES));
    let _unset = probed;
}
