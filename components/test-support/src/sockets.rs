//! The process at the other end of a loopback connection.

use std::collections::BTreeSet;
use std::fs;
use std::net::{SocketAddr, SocketAddrV4, TcpStream};
use std::path::PathBuf;

use crate::socket_diag;

/// Column of `/proc/net/tcp` with the local address.
const LOCAL_COLUMN: usize = 1;
/// Column with the remote address.
const REMOTE_COLUMN: usize = 2;
/// Column with the inode of the socket.
const INODE_COLUMN: usize = 9;

/// Returns which of `processes` has the other end of an accepted loopback connection.
pub fn connected_process(accepted: &TcpStream, processes: &[u32]) -> Option<u32> {
    let own = accepted.local_addr().ok()?;
    let peer = accepted.peer_addr().ok()?;
    process_between(peer, own, processes)
}

/// Returns which of `processes` has the socket that is connected from `local` to `remote`.
fn process_between(local: SocketAddr, remote: SocketAddr, processes: &[u32]) -> Option<u32> {
    if processes.is_empty() {
        return None;
    }
    let (SocketAddr::V4(local), SocketAddr::V4(remote)) = (local, remote) else {
        return None;
    };
    // The diagnosis does not tell a kernel without it from a socket that is gone.
    let inode =
        socket_diag::inode_between(local, remote).or_else(|| listed_inode(local, remote))?;
    let has_socket = |process: &&u32| open_sockets(**process).contains(&inode);
    processes.iter().find(has_socket).copied()
}

/// The inode in the table of all sockets, which takes milliseconds with tens of thousands of them.
fn listed_inode(local: SocketAddrV4, remote: SocketAddrV4) -> Option<String> {
    let (local, remote) = (kernel_form(local), kernel_form(remote));
    let is_it = |socket: &Socket| socket.local == local && socket.remote == remote;
    let socket = connected_sockets().into_iter().find(is_it)?;
    Some(socket.inode)
}

/// The connections of some processes at one time.
#[derive(Debug, Clone, Default)]
pub struct Connections(BTreeSet<(String, String)>);

impl Connections {
    /// Reads the connections of these processes.
    pub fn of(processes: &[u32]) -> Self {
        let own: BTreeSet<String> = processes
            .iter()
            .flat_map(|process| open_sockets(*process))
            .collect();
        let sockets = connected_sockets().into_iter();
        let of_processes = sockets.filter(|socket| own.contains(&socket.inode));
        Connections(
            of_processes
                .map(|socket| (socket.local, socket.remote))
                .collect(),
        )
    }

    /// The local ports of all of them, those of listeners included.
    pub fn local_ports(&self) -> BTreeSet<u16> {
        let ports = self.0.iter().filter_map(|(local, _)| port(local));
        ports.collect()
    }

    /// Whether one of them is connected from `local` to `remote`.
    pub fn has(&self, local: SocketAddr, remote: SocketAddr) -> bool {
        let (SocketAddr::V4(local), SocketAddr::V4(remote)) = (local, remote) else {
            return false;
        };
        let addresses = (kernel_form(local), kernel_form(remote));
        self.0.contains(&addresses)
    }
}

/// A line of `/proc/net/tcp`.
struct Socket {
    local: String,
    remote: String,
    inode: String,
}

impl Socket {
    fn read(line: &str) -> Option<Self> {
        let columns: Vec<&str> = line.split_whitespace().collect();
        let column = |number: usize| columns.get(number).map(|text| (*text).to_owned());
        Some(Socket {
            local: column(LOCAL_COLUMN)?,
            remote: column(REMOTE_COLUMN)?,
            inode: column(INODE_COLUMN)?,
        })
    }
}

fn connected_sockets() -> Vec<Socket> {
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    table.lines().filter_map(Socket::read).collect()
}

/// Inodes of the sockets that a process has open.
fn open_sockets(process: u32) -> BTreeSet<String> {
    let Ok(files) = fs::read_dir(format!("/proc/{process}/fd")) else {
        return BTreeSet::new();
    };
    let inode = |link: PathBuf| {
        let link = link.to_str()?;
        let inode = link.strip_prefix("socket:[")?.strip_suffix(']')?;
        Some(inode.to_owned())
    };
    let links = files
        .flatten()
        .filter_map(|file| fs::read_link(file.path()).ok());
    links.filter_map(inode).collect()
}

/// The address as `/proc/net/tcp` shows it: the bytes of the IP address in the order of the
/// machine.
fn kernel_form(address: SocketAddrV4) -> String {
    let ip = u32::from_ne_bytes(address.ip().octets());
    format!("{ip:08X}:{:04X}", address.port())
}

/// The port of an address in that form.
fn port(address: &str) -> Option<u16> {
    let (_, port) = address.split_once(':')?;
    u16::from_str_radix(port, 16).ok()
}
