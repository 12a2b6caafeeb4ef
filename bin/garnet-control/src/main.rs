//! `garnet-control`: one replica of the control group.

mod admin;
mod engines;
mod machines;
mod settings;
mod start;

use std::process::ExitCode;

use garnet_runtime::{command_line, logging};
use settings::{CommandLine, HELP};

fn main() -> ExitCode {
    let command_line = match CommandLine::parse() {
        Ok(Some(command_line)) => command_line,
        Ok(None) => {
            garnet_runtime::print_out!("{HELP}");
            return ExitCode::SUCCESS;
        }
        Err(error) => return command_line::usage_error(error),
    };
    let settings = match command_line.load() {
        Ok(settings) => settings,
        Err(findings) => return command_line::usage_error(findings),
    };
    if command_line.check {
        garnet_runtime::print_line!("the settings are sound");
        return ExitCode::SUCCESS;
    }
    let _lines = logging::start(&settings.name);
    match start::run(settings, command_line.bootstrap) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!(cause = error.to_string().as_str(); "control_failed");
            eprintln!("garnet-control: {error}");
            ExitCode::FAILURE
        }
    }
}
