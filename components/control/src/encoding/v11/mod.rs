//! Encoding version 11: its types, and conversions from and to the current ones. Types that
//! have not changed since are used directly; tests with recorded bytes check that they have
//! not.
//!
//! Version 11 has no tenant keys, no buying of engines, no starts of applications, no
//! quarantine, no limits, no usage and no configurations sent in parts.

mod command;
mod configuration;
mod messages;
mod state;

use garnet_types::EncodingVersion;

use super::NotInVersion;

pub(crate) use command::CommandEnvelope;
pub(crate) use configuration::{BackendRecord, BackendRegistration};
pub use messages::{ControlReply, GatewayRequest};
pub(crate) use state::State;

fn not_in_v11(item: &'static str) -> NotInVersion {
    let version = EncodingVersion::V11;
    NotInVersion { item, version }
}
