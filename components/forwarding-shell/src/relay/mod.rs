//! Requests that a peer gateway sends to the back ends in place of this one.
//!
//! Contract: a gateway that has no path to the back ends of a service hands a request to a
//! relay, a gateway that has one. The relay places it, sends it and accounts for it as one of
//! its own, except that it never hands it on. The first gateway keeps the caller: it counts
//! the request, checks its key and takes repeats from its own share of the retry budget.
//!
//! A request counts as not run only if each relay that received it reports that; see
//! `docs/design/relays.md`.

mod answer;
mod message;
mod receiver;
mod sender;
mod stream;

pub use message::{RelayVersion, RelayedCall};
pub(crate) use receiver::handle;
pub(crate) use sender::serve;
pub(crate) use stream::{BegunAnswer, RelayedStream};
