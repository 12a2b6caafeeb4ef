//! What the command lines of all programs have in common.

use std::path::Path;
use std::process::ExitCode;

use garnet_settings::{Finding, Findings};

/// Exit code of a program whose settings or arguments are wrong.
pub const EXIT_USAGE: u8 = 2;

/// Reads a settings file as text.
///
/// # Errors
/// A finding that names the file.
pub fn read_file(path: &Path) -> Result<String, Findings> {
    std::fs::read_to_string(path).map_err(|error| {
        Findings(vec![Finding {
            file: path.display().to_string(),
            line: 1,
            key: String::new(),
            message: error.to_string(),
        }])
    })
}

/// Prints a message to standard error and gives the exit code for bad usage.
pub fn usage_error(message: impl std::fmt::Display) -> ExitCode {
    eprintln!("{message}");
    ExitCode::from(EXIT_USAGE)
}
