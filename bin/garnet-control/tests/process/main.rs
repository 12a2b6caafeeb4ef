//! The control group as processes with real sockets and files.

mod failures;
mod group;
