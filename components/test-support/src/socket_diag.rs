//! The kernel's diagnosis of one TCP socket (`NETLINK_SOCK_DIAG`), which takes as long with many
//! sockets as with few.

use std::net::SocketAddrV4;

use rustix::net::{
    AddressFamily, RecvFlags, SendFlags, SocketFlags, SocketType, netlink, recv, send, socket_with,
};

/// Length of `struct nlmsghdr`.
const HEADER_BYTES: usize = 16;
/// Length of `struct inet_diag_req_v2`.
const REQUEST_BYTES: usize = 56;
/// Start of the inode in an answer.
const INODE_START: usize = HEADER_BYTES + 68;
/// More than an answer about one socket has.
const MAX_ANSWER_BYTES: usize = 1024;

const SOCK_DIAG_BY_FAMILY: u16 = 20;
const NLM_F_REQUEST: u16 = 1;
const AF_INET: u8 = 2;
const IPPROTO_TCP: u8 = 6;
/// In the place of the states that are asked for, and of each half of the socket's cookie.
const ANY: [u8; 4] = [0xff; 4];

/// Returns the inode of the socket that is connected from `local` to `remote`; `None` if there is
/// none, or if the kernel has no diagnosis.
pub(crate) fn inode_between(local: SocketAddrV4, remote: SocketAddrV4) -> Option<String> {
    let family = AddressFamily::NETLINK;
    let flags = SocketFlags::CLOEXEC;
    let protocol = Some(netlink::SOCK_DIAG);
    let kernel = socket_with(family, SocketType::RAW, flags, protocol).ok()?;
    send(&kernel, &request(local, remote), SendFlags::empty()).ok()?;
    let mut answer = [0; MAX_ANSWER_BYTES];
    let (length, _) = recv(&kernel, &mut answer, RecvFlags::empty()).ok()?;
    inode_in(&answer[..length])
}

fn request(local: SocketAddrV4, remote: SocketAddrV4) -> Vec<u8> {
    let length = (HEADER_BYTES + REQUEST_BYTES) as u32;
    let mut bytes = Vec::with_capacity(HEADER_BYTES + REQUEST_BYTES);
    bytes.extend(length.to_ne_bytes());
    bytes.extend(SOCK_DIAG_BY_FAMILY.to_ne_bytes());
    bytes.extend(NLM_F_REQUEST.to_ne_bytes());
    // The sequence number and the sender, which the kernel fills in.
    bytes.extend([0; 8]);
    bytes.extend([AF_INET, IPPROTO_TCP, 0, 0]);
    bytes.extend(ANY);
    bytes.extend(local.port().to_be_bytes());
    bytes.extend(remote.port().to_be_bytes());
    for address in [local, remote] {
        bytes.extend(address.ip().octets());
        // Room for an IPv6 address.
        bytes.extend([0; 12]);
    }
    // Any network interface.
    bytes.extend([0; 4]);
    bytes.extend([ANY, ANY].concat());
    bytes
}

fn inode_in(answer: &[u8]) -> Option<String> {
    let kind = answer.get(4..6)?;
    if kind != SOCK_DIAG_BY_FAMILY.to_ne_bytes() {
        return None;
    }
    let inode = answer.get(INODE_START..)?.first_chunk()?;
    Some(u32::from_ne_bytes(*inode).to_string())
}
