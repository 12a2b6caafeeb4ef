//! Functions shared by the command lines of all programs.

use std::fmt;
use std::io::{self, Write};
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

/// Prints a message to standard error and returns the exit code for wrong usage.
pub fn usage_error(message: impl std::fmt::Display) -> ExitCode {
    eprintln!("{message}");
    ExitCode::from(EXIT_USAGE)
}

/// Prints to standard output. A closed pipe, for example to `head`, is not an error.
pub fn print_text(text: fmt::Arguments<'_>) {
    let mut out = io::stdout().lock();
    match out.write_fmt(text).and_then(|()| out.flush()) {
        Ok(()) => {}
        Err(error) if error.kind() == io::ErrorKind::BrokenPipe => {}
        Err(error) => log::error!(cause = error.to_string().as_str(); "output_lost"),
    }
}

/// Prints to standard output like `print!`, using [`print_text`].
#[macro_export]
macro_rules! print_out {
    ($($argument:tt)*) => {
        $crate::command_line::print_text(format_args!($($argument)*))
    };
}

/// Prints a line to standard output like `println!`, using [`print_text`].
#[macro_export]
macro_rules! print_line {
    ($($argument:tt)*) => {
        $crate::command_line::print_text(format_args!("{}\n", format_args!($($argument)*)))
    };
}
