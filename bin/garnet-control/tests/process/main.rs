//! The control group as processes with real sockets and files.

mod bad_input;
mod failures;
mod group;
mod routes;
