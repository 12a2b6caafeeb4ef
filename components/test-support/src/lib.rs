//! What the process tests of several packages share.

mod address;

pub use address::ReservedAddress;
