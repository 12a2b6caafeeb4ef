//! Helpers shared by the tests of several packages.

mod address;
mod memory;
mod records;
mod socket_diag;
mod sockets;

pub use address::ReservedAddress;
pub use memory::peak_memory_bytes;
pub use records::live_record;
pub use sockets::{Connections, connected_process};
