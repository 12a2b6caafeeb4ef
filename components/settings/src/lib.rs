//! A reader for TOML documents that collects all errors.
//!
//! Contract: reading continues after an error, so that all findings of a
//! document are reported together, each with its file, line and key. Settings
//! files and policies are both read with this crate.

mod finding;
mod reader;
mod suggestion;

pub use finding::{Finding, Findings};
pub use reader::{Document, TableReader};
pub use suggestion::nearest;
