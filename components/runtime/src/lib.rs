//! The I/O layer shared by the daemons.
//!
//! Contract: one event loop on one thread. Everything runs on one
//! [`smol::LocalExecutor`], except file syncs, which run by [`smol::unblock`]
//! because they would block the loop (docs/design/one-loop.md).

pub mod byte_budget;
pub mod byte_buffer;
pub mod client;
pub mod clock;
mod close_mode;
pub mod command_line;
pub mod connect_timeout;
pub mod connection_limit;
mod connection_timer;
pub mod control_link;
pub mod fair_stream;
pub mod frames;
pub mod framing;
mod last_answers;
pub mod log_limit;
pub mod log_writer;
pub mod logging;
pub mod metrics;
pub mod pool;
mod pooled_connection;
mod progress;
pub mod reload;
pub mod report_link;
mod request_body;
mod resumable_stream;
pub mod server;
pub mod shared;
pub mod shell;
pub mod signal;
pub mod sliced_body;
pub mod sockets;
pub mod timers;
pub mod version_offers;
mod write_monitor;

pub use byte_budget::{BudgetExceeded, ByteBudget, Reservation};
pub use byte_buffer::ByteBuffer;
pub use client::{HttpClient, HttpError, StreamedResponse};
pub use clock::{Clock, TimeSource};
pub use connect_timeout::ConnectTimeout;
pub use connection_limit::ConnectionLimit;
pub use connection_timer::ConnectionTimeouts;
pub use fair_stream::FairStream;
pub use framing::framing_of;
pub use last_answers::until_last_answers;
pub use pool::{ConnectionPool, Exchange, PoolSettings, SendConditions, announces_close};
pub use pooled_connection::ConnectionId;
pub use request_body::RequestBody;
pub use server::{
    Body, ConnectionFilter, ConnectionHandle, HttpServer, Limits, bytes_body, json_response,
    text_response,
};
pub use shared::Shared;
pub use shell::{Shell, bind, read_json};
pub use timers::Timers;
pub use version_offers::VersionOffers;
