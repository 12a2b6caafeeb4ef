//! The process at the other end of a loopback connection.

use std::fs;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;

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
pub fn process_between(local: SocketAddr, remote: SocketAddr, processes: &[u32]) -> Option<u32> {
    let inode = socket_inode(local, remote)?;
    let link = format!("socket:[{inode}]");
    let has_socket = |process: &&u32| has_file(**process, &link);
    processes.iter().find(has_socket).copied()
}

fn socket_inode(local: SocketAddr, remote: SocketAddr) -> Option<String> {
    let (local, remote) = (kernel_form(local)?, kernel_form(remote)?);
    let table = fs::read_to_string("/proc/net/tcp").ok()?;
    table.lines().find_map(|line| {
        let columns: Vec<&str> = line.split_whitespace().collect();
        let is_it = columns.get(LOCAL_COLUMN) == Some(&local.as_str())
            && columns.get(REMOTE_COLUMN) == Some(&remote.as_str());
        is_it.then(|| columns.get(INODE_COLUMN).map(|inode| (*inode).to_owned()))?
    })
}

/// The address as `/proc/net/tcp` shows it: the bytes of the IP address in the order of the
/// machine.
fn kernel_form(address: SocketAddr) -> Option<String> {
    let SocketAddr::V4(address) = address else {
        return None;
    };
    let ip = u32::from_ne_bytes(address.ip().octets());
    Some(format!("{ip:08X}:{:04X}", address.port()))
}

fn has_file(process: u32, link: &str) -> bool {
    let Ok(files) = fs::read_dir(format!("/proc/{process}/fd")) else {
        return false;
    };
    let target = Path::new(link);
    files
        .flatten()
        .any(|file| fs::read_link(file.path()).is_ok_and(|found| found == target))
}
