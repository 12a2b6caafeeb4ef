//! A replicated log based on the Raft consensus algorithm, without I/O.
//!
//! Contract: the inputs of a [`Node`] are messages ([`Node::step`]), the time
//! ([`Node::tick`]) and proposals ([`Node::propose`]). Its driver then fetches a
//! [`Ready`], writes and syncs its hard state, snapshot and entries **in that
//! order**, calls [`Node::advance`], and only then sends the messages and
//! applies the committed entries.
//!
//! Source: Ongaro, "Consensus: Bridging Theory and Practice" (2014): sections
//! 3 (core), 4 (single-server membership change), 5 (snapshots), 6.4 (leader
//! lease), 9.6 (pre-vote).

mod config;
mod election;
mod entry;
mod error;
mod log;
mod membership;
mod message;
mod node;
mod progress;
mod ready;
mod replication;
mod terms;

pub use config::Config;
pub use entry::{Entry, EntryPayload, HardState, Member, Membership, Snapshot};
pub use error::ProposeError;
pub use log::ReplicatedLog;
pub use message::{Envelope, Message};
pub use node::{Node, PeerRole, Restored, Status};
pub use progress::Progress;
pub use ready::Ready;
