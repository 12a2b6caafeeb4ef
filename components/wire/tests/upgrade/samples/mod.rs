//! The values whose encodings are recorded.

mod commands;
mod frames;
mod values;

pub use commands::{acknowledged_commands, commands, commands_since_16, commands_since_17};
pub use frames::{
    frames, frames_since_16, frames_since_17, frames_since_18, frames_since_19, frames_since_20,
    frames_since_21,
};
