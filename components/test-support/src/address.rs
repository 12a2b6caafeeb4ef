//! Loopback addresses reserved for a test, with ports outside the ephemeral range.
//!
//! A port that is found by binding port 0 and closing the socket again may not be
//! free at once: a process that another test starts meanwhile inherits the socket
//! until it has executed its program. So this module binds no port in advance. A
//! listener at a dedicated port reserves a whole address, and the other ports of
//! the address are handed out in order.

use std::net::{Ipv4Addr, SocketAddrV4, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};

/// The port whose listener reserves an address.
const RESERVATION_PORT: u16 = 20_000;
/// Start of the ephemeral port range on Linux
/// (`/proc/sys/net/ipv4/ip_local_port_range`).
const FIRST_EPHEMERAL_PORT: u16 = 32_768;
/// First candidate, as an offset from 127.0.0.0. The system may use addresses of
/// 127.0.0.0/16 for other purposes.
const FIRST_CANDIDATE: u32 = 1 << 16;
/// Number of candidates, up to 127.254.255.255.
const CANDIDATES: u32 = (1 << 24) - 2 * FIRST_CANDIDATE;
/// Distance between the first candidates of consecutive process ids.
const CANDIDATES_PER_PROCESS: u32 = 61;

/// An address of 127.0.0.0/8 that nothing else can reserve while this value exists.
pub struct ReservedAddress {
    ip: Ipv4Addr,
    next_port: u16,
    _reservation: TcpListener,
}

impl ReservedAddress {
    /// Reserves the next free address.
    ///
    /// # Panics
    ///
    /// If every candidate is reserved.
    pub fn reserve() -> Self {
        static ATTEMPTS: AtomicU32 = AtomicU32::new(0);
        let start = std::process::id().wrapping_mul(CANDIDATES_PER_PROCESS);
        for _ in 0..CANDIDATES {
            let offset = start.wrapping_add(ATTEMPTS.fetch_add(1, Ordering::Relaxed)) % CANDIDATES;
            let ip = Ipv4Addr::from((127 << 24) + FIRST_CANDIDATE + offset);
            if let Some(address) = Self::at(ip) {
                return address;
            }
        }
        panic!("every loopback address is taken");
    }

    /// Reserves this address, or returns `None` if it is already reserved.
    pub fn at(ip: Ipv4Addr) -> Option<Self> {
        let reservation = TcpListener::bind((ip, RESERVATION_PORT)).ok()?;
        Some(ReservedAddress {
            ip,
            next_port: RESERVATION_PORT + 1,
            _reservation: reservation,
        })
    }

    /// The reserved address.
    pub fn ip(&self) -> Ipv4Addr {
        self.ip
    }

    /// The next port that has not been handed out.
    ///
    /// # Panics
    ///
    /// If all ports below the ephemeral range have been handed out.
    pub fn port(&mut self) -> u16 {
        let port = self.next_port;
        assert!(port < FIRST_EPHEMERAL_PORT, "the ports are used up");
        self.next_port += 1;
        port
    }

    /// The address with the next port that has not been handed out.
    pub fn socket(&mut self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip, self.port())
    }
}
