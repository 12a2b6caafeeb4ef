//! The values whose encodings are recorded.

mod commands;
mod frames;
mod values;

pub use commands::{acknowledged_commands, commands, commands_since_17, later_commands};
pub use frames::{frames, frames_since_17, later_frames};
