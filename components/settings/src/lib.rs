//! TOML documents, read with every finding collected.
//!
//! Contract: reading goes on after a mistake, so that all findings of one
//! document are reported together, each with its file, line and key. Settings
//! files and policies are both read this way.

mod finding;
mod reader;
mod suggestion;

pub use finding::{Finding, Findings};
pub use reader::{Document, TableReader};
pub use suggestion::nearest;
