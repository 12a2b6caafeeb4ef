//! Loopback addresses that a test has for itself, with ports that the
//! system does not draw for anyone else.
//!
//! A port that is drawn by binding port 0 and closing the socket again is not
//! free at once: a process that another test starts in that moment inherits
//! the socket until it has executed its program. So nothing is bound ahead
//! here. An address is reserved as a whole, by a listener at a port of its own,
//! and its other ports are handed out in order.

use std::net::{Ipv4Addr, SocketAddrV4, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};

/// The port whose listener reserves an address.
const RESERVATION_PORT: u16 = 20_000;
/// Where the system's own draws begin on Linux
/// (`/proc/sys/net/ipv4/ip_local_port_range`).
const FIRST_DRAWN_PORT: u16 = 32_768;
/// Addresses that the system may hold for other uses: 127.0.0.0/16.
const FIRST_CANDIDATE: u32 = 1 << 16;
const CANDIDATES: u32 = (1 << 24) - 2 * FIRST_CANDIDATE;
/// Neighbouring process ids begin this far apart.
const CANDIDATES_PER_PROCESS: u32 = 61;

/// An address of 127.0.0.0/8 that nobody else reserves while this value lives.
pub struct ReservedAddress {
    ip: Ipv4Addr,
    next_port: u16,
    _reservation: TcpListener,
}

impl ReservedAddress {
    /// Reserves the next address that nobody holds.
    ///
    /// # Panics
    ///
    /// When every candidate is taken.
    pub fn reserve() -> Self {
        static TRIED: AtomicU32 = AtomicU32::new(0);
        let start = std::process::id().wrapping_mul(CANDIDATES_PER_PROCESS);
        for _ in 0..CANDIDATES {
            let offset = start.wrapping_add(TRIED.fetch_add(1, Ordering::Relaxed)) % CANDIDATES;
            let ip = Ipv4Addr::from((127 << 24) + FIRST_CANDIDATE + offset);
            if let Some(address) = Self::at(ip) {
                return address;
            }
        }
        panic!("every loopback address is taken");
    }

    /// Reserves this address, unless somebody holds it.
    pub fn at(ip: Ipv4Addr) -> Option<Self> {
        let reservation = TcpListener::bind((ip, RESERVATION_PORT)).ok()?;
        Some(ReservedAddress {
            ip,
            next_port: RESERVATION_PORT + 1,
            _reservation: reservation,
        })
    }

    /// The address.
    pub fn ip(&self) -> Ipv4Addr {
        self.ip
    }

    /// A port that this value has not handed out before.
    ///
    /// # Panics
    ///
    /// When all ports below those that the system draws are handed out.
    pub fn port(&mut self) -> u16 {
        let port = self.next_port;
        assert!(port < FIRST_DRAWN_PORT, "the ports are used up");
        self.next_port += 1;
        port
    }

    /// The address with a port that was not handed out before.
    pub fn socket(&mut self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip, self.port())
    }
}
