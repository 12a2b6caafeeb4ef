//! Helpers shared by the process tests of several packages.

mod address;

pub use address::ReservedAddress;
