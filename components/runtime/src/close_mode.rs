//! How a connection closes whose answer ends with it.
//!
//! Contract: the caller sees the proper end of the connection only if the answer came to its end.
//! A break, and the end of this process at any moment, reset the connection.

use std::cell::Cell;
use std::rc::Rc;

use rustix::net::sockopt::set_socket_linger;
use smol::net::TcpStream;

use crate::connection_limit::reset;

/// Whether closing a connection resets it.
#[derive(Debug)]
pub(crate) struct CloseMode {
    stream: TcpStream,
    resets: Cell<bool>,
}

impl CloseMode {
    pub(crate) fn new(stream: TcpStream) -> Rc<Self> {
        Rc::new(CloseMode {
            stream,
            resets: Cell::new(false),
        })
    }

    /// Begins an answer that ends with the connection. The kernel resets the connection when it is
    /// closed, also if the process is killed.
    pub(crate) fn begin_until_close(&self) {
        reset(&self.stream);
        self.resets.set(true);
    }

    /// Completes the answer: closing the connection no longer resets it.
    pub(crate) fn complete(&self) {
        if !self.resets.replace(false) {
            return;
        }
        if let Err(error) = set_socket_linger(&self.stream, None) {
            log::warn!(cause = error.to_string().as_str(); "end_not_sent");
        }
    }
}
