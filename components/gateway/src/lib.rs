//! The gateway's state machine: admission, routing, retries, claims and streams.
//!
//! [`Gateway::handle`] takes an [`Event`] and the time, and produces [`Effect`]s. Each [`Call`]
//! gets exactly one final [`Answer`], as soon as it is known: a request that can't succeed is
//! refused at once, not at its deadline. The crate uses no sockets, files or clocks.

mod application;
mod backends;
mod body_hash;
mod call;
mod claims;
mod completion;
mod configuration;
mod effects;
mod gateway;
mod request;
mod settings;

pub mod openai;

pub use call::{Answer, Call, CompletedText, Work, count_tokens};
pub use effects::{AttemptEvent, AttemptId, Effect, Event, Job, KvSource};
pub use gateway::{Counters, Gateway};
pub use settings::GatewaySettings;
