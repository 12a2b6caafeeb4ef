//! The caller side: admission, routing, retries, claims and streams.
//!
//! Contract: [`Gateway::handle`] takes an [`Event`] with the time and leaves
//! [`Effect`]s. Each [`Call`] gets exactly one final [`Answer`], as soon as it
//! is known: a request that is given up is answered at once, never held
//! towards its deadline. No socket, file or clock inside.

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
