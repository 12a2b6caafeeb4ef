//! Encoding version 11: types as that version encodes them, and conversions from and to
//! the present ones. What has not changed since is used as it is; recorded bytes show
//! that it has not.
//!
//! It knows no keys of tenants, no buying of engines, no starts of applications, no
//! quarantine, no limits, no usage and no parts of a configuration.

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
