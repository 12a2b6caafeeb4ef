//! Helpers shared by the process tests of several packages.

mod address;
mod sockets;

pub use address::ReservedAddress;
pub use sockets::{connected_process, local_ports, process_between};
